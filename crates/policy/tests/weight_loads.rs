//! Which engines load weights, which models they serve, and the order of samples in a step.

use std::cmp::Reverse;

use firweir_policy::longest_first::Sample;
use firweir_policy::longest_first::rank_by_length;
use firweir_policy::placement::ModelKey;
use firweir_policy::pool::rendezvous_hash;
use firweir_policy::weight_loads::EngineNeed;
use firweir_policy::weight_loads::EngineWeights;
use firweir_policy::weight_loads::ModelShares;
use firweir_policy::weight_loads::VersionLag;
use firweir_policy::weight_loads::assign_models;
use firweir_policy::weight_loads::max_concurrent_loads;
use firweir_policy::weight_loads::next_loads;
use firweir_policy::work::UpstreamKey;
use proptest::prelude::*;

struct Case {
    name: &'static str,
    /// Versions of twelve engines; the trainer has announced version 5.
    versions: [u64; 12],
    loading: &'static [usize],
    unavailable: &'static [usize],
    /// Engines that are expected to load, in order.
    loads: &'static [usize],
}

#[test]
fn engines_that_load_next() {
    let cases = [
        Case {
            name: "three quarters have the version: the others keep the previous one",
            versions: [5, 5, 5, 5, 5, 5, 5, 5, 5, 4, 4, 4],
            loading: &[],
            unavailable: &[],
            loads: &[],
        },
        Case {
            name: "unusable engines load first, three at a time",
            versions: [4, 4, 4, 4, 4, 4, 3, 3, 3, 3, 3, 3],
            loading: &[],
            unavailable: &[],
            loads: &[11, 10, 9],
        },
        Case {
            name: "a running load counts",
            versions: [4, 4, 4, 4, 4, 4, 3, 3, 3, 3, 3, 3],
            loading: &[6],
            unavailable: &[],
            loads: &[11, 10],
        },
        Case {
            name: "the maximum number of loads runs",
            versions: [3; 12],
            loading: &[0, 1, 2],
            unavailable: &[],
            loads: &[],
        },
        Case {
            name: "unavailable engines are skipped",
            versions: [5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 3, 3],
            loading: &[],
            unavailable: &[11],
            loads: &[10],
        },
    ];
    for case in cases {
        let engine = |(at, version): (usize, u64)| EngineWeights {
            engine: UpstreamKey(at as u32),
            model: ModelKey(0),
            version,
            latest_version: 5,
            loading: case.loading.contains(&at),
            unavailable: case.unavailable.contains(&at),
        };
        let engines: Vec<_> = case.versions.into_iter().enumerate().map(engine).collect();
        let loads = next_loads(&engines, max_concurrent_loads(12), &equal_shares(12, 1));
        assert_eq!(loads, case.loads, "{}", case.name);
    }
}

/// Shares of models whose needs are not known.
const fn equal_shares(engines: usize, models: usize) -> ModelShares {
    ModelShares {
        engines,
        models,
        needs: Vec::new(),
    }
}

fn lags(engines: &[usize], behind: impl Fn(usize, u32) -> u64) -> Vec<VersionLag> {
    let pairs = engines.iter().enumerate();
    pairs
        .flat_map(|(at, engine)| {
            let lag = |model| VersionLag {
                engine: at,
                order: rendezvous_hash(*engine as u64, u64::from(model)),
                model: ModelKey(model),
                versions_behind: behind(*engine, model),
            };
            [lag(0), lag(1), lag(2)]
        })
        .collect()
}

#[test]
fn models_share_engines_evenly_and_keep_them() {
    let all: Vec<usize> = (0..12).collect();
    let first = assign_models(&equal_shares(12, 3), &lags(&all, |_, _| 0));
    for model in 0..3 {
        let model = ModelKey(model);
        let own = first.iter().filter(|models| models[0] == model);
        assert_eq!(own.count(), 4, "{model:?}");
        // Two sets of three engines, which get the versions alternately.
        let both = first.iter().filter(|models| models.contains(&model));
        assert_eq!(both.count(), 6, "{model:?}");
    }
    // Each engine has current weights of its models and is behind on the others.
    let behind =
        |engine: usize, model: u32| u64::from(!first[engine].contains(&ModelKey(model))) * 3;
    assert_eq!(
        assign_models(&equal_shares(12, 3), &lags(&all, behind)),
        first,
        "no model moves"
    );
    // One of the sets is two versions behind until it has loaded.
    let with_alternating_sets =
        |engine: usize, model: u32| behind(engine, model) + (engine as u64 % 2) * 2;
    let kept = assign_models(
        &equal_shares(12, 3),
        &lags(&all, |engine, model| {
            with_alternating_sets(engine, model).min(3)
        }),
    );
    assert_eq!(kept, first, "an older version moves no model");
    let left = &all[1..];
    let second = assign_models(&equal_shares(11, 3), &lags(left, behind));
    for (before, after) in first[1..].iter().zip(&second) {
        let kept = before.iter().all(|model| after.contains(model));
        assert!(
            kept,
            "an engine that leaves moves no model of others: {before:?} {after:?}"
        );
    }
}

/// Guards against a step that arrives while all engines of its model are loading.
#[test]
fn a_step_begins_on_one_set_while_the_other_loads() {
    // Six engines serve the model, in two sets; all also serve another model, which has no new
    // version.
    let versions = [4, 4, 4, 3, 3, 3];
    let mut weights = Vec::new();
    for (at, version) in versions.into_iter().enumerate() {
        for (model, version, latest_version) in [(0, version, 5), (1, 1, 1)] {
            weights.push(EngineWeights {
                engine: UpstreamKey(at as u32),
                model: ModelKey(model),
                version,
                latest_version,
                loading: false,
                unavailable: false,
            });
        }
    }
    let mut loaded = Vec::new();
    loop {
        let loads = next_loads(&weights, max_concurrent_loads(6), &equal_shares(6, 2));
        let Some(first) = loads.first() else {
            break;
        };
        loaded.push(weights[*first].engine.0);
        weights[*first].version = 5;
    }
    loaded.sort_unstable();
    assert_eq!(loaded, [3, 4, 5]);
}

/// Guards against a model that waits for its first engine while other models' second sets load.
#[test]
fn the_model_without_a_usable_engine_loads_first() {
    let mut weights = Vec::new();
    let mut add = |engine: u32, model: u32, version: u64| {
        weights.push(EngineWeights {
            engine: UpstreamKey(engine),
            model: ModelKey(model),
            version,
            latest_version: 5,
            loading: false,
            unavailable: false,
        });
    };
    for engine in 0..3 {
        add(engine, 0, 4);
        add(engine + 3, 0, 2);
        add(engine + 6, 1, 3);
        add(engine + 9, 1, 3);
    }
    let loads = next_loads(&weights, max_concurrent_loads(12), &equal_shares(12, 2));
    let models: Vec<u32> = loads.iter().map(|at| weights[*at].model.0).collect();
    assert_eq!(models, [1, 1, 1]);
}

struct OrderCase {
    name: &'static str,
    /// Group and expected tokens of each sample.
    samples: &'static [(usize, u32)],
    target_groups: usize,
    /// Indexes of the samples in the order in which they start.
    expected: &'static [usize],
}

#[test]
fn sample_order_of_a_step() {
    let cases = [
        OrderCase {
            name: "long samples first",
            samples: &[(0, 10), (0, 90), (1, 50), (1, 20)],
            target_groups: 2,
            expected: &[1, 2, 3, 0],
        },
        OrderCase {
            name: "the group beyond the target goes last, with all its samples",
            samples: &[(0, 10), (1, 10), (2, 900), (2, 5), (3, 20)],
            target_groups: 3,
            expected: &[4, 0, 1, 2, 3],
        },
        OrderCase {
            name: "resubmitted groups stand first and are never moved to the end",
            samples: &[(0, 900), (1, 10), (2, 20)],
            target_groups: 2,
            expected: &[0, 1, 2],
        },
    ];
    for case in cases {
        let sample = |(group, expected_tokens): &(usize, u32)| Sample {
            group: *group,
            expected_tokens: *expected_tokens,
        };
        let samples: Vec<Sample> = case.samples.iter().map(sample).collect();
        let ranks = rank_by_length(&samples, case.target_groups, 1_000);
        let mut order: Vec<usize> = (0..samples.len()).collect();
        order.sort_by_key(|at| ranks[*at]);
        assert_eq!(order, case.expected, "{}", case.name);
    }
}

/// Reference implementation of the plan in `weight_loads`: orders one load at a time and compares
/// every pair, which is slow on many engines.
fn reference_loads(
    weights: &[EngineWeights],
    max_concurrent: usize,
    engines_per_version: usize,
) -> Vec<usize> {
    let mut planned = weights.to_vec();
    let mut loads = Vec::new();
    while planned.iter().filter(|pair| pair.loading).count() < max_concurrent {
        let wanted = |at: &usize| {
            let pair = planned[*at];
            let same_engine = || planned.iter().filter(|other| other.engine == pair.engine);
            let busy = same_engine().any(|other| other.loading);
            let behind = pair.latest_version.saturating_sub(pair.version);
            let same_model = planned.iter().filter(|other| other.model == pair.model);
            let newest =
                same_model.filter(|other| other.loading || other.version >= other.latest_version);
            let alone = behind >= 2 && same_engine().count() == 1;
            !busy
                && !pair.unavailable
                && behind > 0
                && (alone || newest.count() < engines_per_version)
        };
        let usable = |model: ModelKey| {
            let of_model = planned.iter().filter(|pair| pair.model == model);
            let usable = of_model.filter(|pair| {
                pair.loading || pair.latest_version.saturating_sub(pair.version) < 2
            });
            usable.count()
        };
        let next = (0..planned.len()).filter(wanted).min_by_key(|at| {
            let pair = planned[*at];
            let behind = pair.latest_version.saturating_sub(pair.version);
            (usable(pair.model), Reverse(behind), Reverse(*at))
        });
        let Some(at) = next else {
            break;
        };
        planned[at].loading = true;
        loads.push(at);
    }
    loads
}

proptest! {
    /// The plan that updates counts orders the same loads as the reference, whatever engines have,
    /// load or refuse.
    #[test]
    fn plan_matches_the_reference(
        engines in prop::collection::vec((1u32..8, 0u64..4, 0u64..4, 0u64..4, 0u8..8), 1..24),
    ) {
        let mut weights = Vec::new();
        for (at, (served, first, second, third, flags)) in engines.iter().enumerate() {
            for (model, version) in [(0, *first), (1, *second), (2, *third)] {
                if served & (1 << model) != 0 {
                    weights.push(EngineWeights {
                        engine: UpstreamKey(at as u32),
                        model: ModelKey(model),
                        version,
                        latest_version: 2,
                        loading: *flags == 0,
                        unavailable: *flags == 1,
                    });
                }
            }
        }
        let mut models: Vec<u32> = weights.iter().map(|pair| pair.model.0).collect();
        models.sort_unstable();
        models.dedup();
        let share = engines.len().div_ceil(models.len());
        let max_concurrent = max_concurrent_loads(engines.len());
        let expected = reference_loads(&weights, max_concurrent, (share * 3).div_ceil(4));
        let model_shares = equal_shares(engines.len(), models.len());
        prop_assert_eq!(next_loads(&weights, max_concurrent, &model_shares), expected);
    }
}

struct NeedCase {
    name: &'static str,
    engines: usize,
    /// Number of engines that each of three models needs.
    needs: [usize; 3],
    /// Number of engines expected to serve each model, and to load its next version.
    serve: [usize; 3],
    load: [usize; 3],
}

/// Guards against a share of the whole fleet loading each version regardless of what the steps of
/// its model can use: the number of loads must not grow with the fleet.
#[test]
fn loads_follow_what_steps_need() {
    let cases = [
        NeedCase {
            name: "a pool smaller than the need",
            engines: 12,
            needs: [40; 3],
            serve: [6; 3],
            load: [3; 3],
        },
        NeedCase {
            name: "a fleet",
            engines: 1_000,
            needs: [40, 60, 20],
            serve: [80, 120, 40],
            load: [40, 60, 20],
        },
        NeedCase {
            name: "ten times that fleet",
            engines: 10_000,
            needs: [40, 60, 20],
            serve: [80, 120, 40],
            load: [40, 60, 20],
        },
    ];
    for case in cases {
        let needs = (0..3).map(|model| EngineNeed {
            model: ModelKey(model),
            engines: case.needs[model as usize],
        });
        let model_shares = ModelShares {
            needs: needs.collect(),
            ..equal_shares(case.engines, 3)
        };
        let all: Vec<usize> = (0..case.engines).collect();
        let assigned = assign_models(&model_shares, &lags(&all, |_, _| 0));
        let mut weights: Vec<EngineWeights> = Vec::new();
        for (engine, models) in assigned.iter().enumerate() {
            for model in models {
                let before = weights.iter().filter(|pair| pair.model == *model);
                weights.push(EngineWeights {
                    engine: UpstreamKey(engine as u32),
                    model: *model,
                    // One of the model's sets has the previous version, the other is further
                    // behind.
                    version: 1 + before.count() as u64 % 2,
                    latest_version: 3,
                    loading: false,
                    unavailable: false,
                });
            }
        }
        let loads = next_loads(&weights, usize::MAX, &model_shares);
        for model in 0..3 {
            let of_model = |pair: &&EngineWeights| pair.model.0 == model as u32;
            let serve = weights.iter().filter(of_model).count();
            assert_eq!(serve, case.serve[model], "{}: model {model}", case.name);
            let loads = loads.iter().map(|at| &weights[*at]).filter(of_model);
            assert_eq!(
                loads.count(),
                case.load[model],
                "{}: loads of model {model}",
                case.name
            );
        }
    }
}
