//! Decides which engines load new weights next and which models each engine serves.
//!
//! Several trainers announce a new version every few seconds. A load takes about a second, longer
//! while many run, and a loading engine starts no sample of that model. If every engine loaded
//! every version, a pool of twelve with two loads at a time would need longer than the time between
//! versions.
//!
//! A step uses the announced version and the one before it, and arrives when its version is
//! announced. So each model has two sets of engines that get the versions alternately, engines with
//! unusable versions first. The step starts on the set that has the previous version and continues
//! on the other one once that has loaded. With several models, each engine serves two of them.

use std::cmp::Reverse;

use crate::placement::ModelKey;
use crate::work::UpstreamKey;

/// An engine this many versions behind is unusable: the next step uses the announced version and
/// the one before it.
const UNUSABLE_LAG: u64 = 2;

/// Part of all engines that may load concurrently: enough to keep the weight store of a small pool
/// busy while a finished load is not known yet. [`crate::load_limit`] limits large pools to what
/// the weight store can serve.
const MAX_LOADING_FRACTION: f64 = 1.0 / 4.0;

/// How many versions one engine is behind on one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionLag {
    /// Index of the engine.
    pub engine: usize,
    /// The model.
    pub model: ModelKey,
    /// Position of the engine in the model's order ([`crate::pool::rendezvous_hash`]).
    pub order: u64,
    /// Number of versions.
    pub versions_behind: u64,
}

/// Part of a model's equal share of the engines that gets each version, in quarters: these are all
/// the engines that the next step has at first. With half of the share, samples wait on a small
/// pool; with all of it, loads take longer than the time between versions.
const QUARTERS_PER_VERSION: usize = 3;

/// Number of engine sets that get a model's versions alternately.
pub(crate) const SETS_PER_MODEL: usize = 2;

/// An engine keeps its models up to this many versions behind, because it gets every other version.
const MAX_KEPT_LAG: u64 = 2;

/// Number of engines that the steps of one model need concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineNeed {
    /// The model.
    pub model: ModelKey,
    /// Number of engines.
    pub engines: usize,
}

/// Input to the assignment of models to engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelShares {
    /// Number of all engines.
    pub engines: usize,
    /// Number of all models.
    pub models: usize,
    /// Sorted by model. A model that is missing gets its equal share.
    pub needs: Vec<EngineNeed>,
}

impl ModelShares {
    /// Equal share of the engines for each model.
    fn equal_share(&self) -> usize {
        self.engines.div_ceil(self.models.max(1))
    }

    fn needed_engines(&self, model: ModelKey) -> usize {
        let found = self.needs.binary_search_by_key(&model, |entry| entry.model);
        found.map_or(usize::MAX, |at| self.needs[at].engines)
    }

    /// Number of engines that get each version of a model.
    fn engines_per_version(&self, model: ModelKey) -> usize {
        let of_share = (self.equal_share() * QUARTERS_PER_VERSION).div_ceil(4);
        of_share.min(self.needed_engines(model))
    }

    /// Number of engines in both sets of a model.
    fn engines_in_both_sets(&self, model: ModelKey) -> usize {
        (SETS_PER_MODEL * self.engines_per_version(model)).min(self.engines)
    }
}

/// Assigns models to engines; an engine's own model is its first. Each model gets an equal share
/// or, if that is less, what it needs. Engines that are at most `MAX_KEPT_LAG` versions behind on a
/// model are assigned to it first.
///
/// All nodes compute the same result from the same list. Assigning engines by their index would be
/// simpler, but each engine that joins or leaves would move all later ones to another model, and
/// each such change is a load.
#[must_use]
pub fn assign_models(model_shares: &ModelShares, lags: &[VersionLag]) -> Vec<Vec<ModelKey>> {
    let mut models: Vec<ModelKey> = lags.iter().map(|lag| lag.model).collect();
    models.sort_unstable();
    models.dedup();
    let mut pairs = lags.to_vec();
    pairs.sort_by_key(|lag| (lag.versions_behind > MAX_KEPT_LAG, lag.order, lag.engine));
    let mut assigned = vec![Vec::new(); model_shares.engines];
    let engines_in_both_sets = |model| model_shares.engines_in_both_sets(model);
    let primary_count = |model| model_shares.equal_share().min(engines_in_both_sets(model));
    assign_up_to(&mut assigned, &models, &pairs, 1, primary_count);
    if models.len() > 1 {
        assign_up_to(
            &mut assigned,
            &models,
            &pairs,
            SETS_PER_MODEL,
            engines_in_both_sets,
        );
    }
    assigned
}

/// Assigns models in the order of `pairs`, with at most `max_per_engine` models per engine and at
/// most `limit_of(model)` engines per model. `models` is sorted.
fn assign_up_to(
    assigned: &mut [Vec<ModelKey>],
    models: &[ModelKey],
    pairs: &[VersionLag],
    max_per_engine: usize,
    limit_of: impl Fn(ModelKey) -> usize,
) {
    let has = |engine_models: &[ModelKey], model| engine_models.contains(&model);
    // Counted once instead of for each pair.
    let mut counts: Vec<usize> = models
        .iter()
        .map(|model| {
            assigned
                .iter()
                .filter(|engine_models| has(engine_models, *model))
                .count()
        })
        .collect();
    let limits: Vec<usize> = models.iter().map(|model| limit_of(*model)).collect();
    for lag in pairs {
        let Ok(at) = models.binary_search(&lag.model) else {
            continue;
        };
        let engine_models = &mut assigned[lag.engine];
        if counts[at] < limits[at]
            && engine_models.len() < max_per_engine
            && !has(engine_models, lag.model)
        {
            engine_models.push(lag.model);
            counts[at] += 1;
        }
    }
}

/// One pair of engine and model: the weights of the model on that engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub engine: UpstreamKey,
    /// A model that is assigned to it.
    pub model: ModelKey,
    /// Loaded version.
    pub version: u64,
    /// Latest version that the trainer has announced.
    pub latest_version: u64,
    /// A load of this model has been ordered and has not ended.
    pub loading: bool,
    /// It accepts no load order now.
    pub unavailable: bool,
}

/// Number of engines that may load concurrently, from the size of the pool alone.
#[must_use]
pub fn max_concurrent_loads(engines: usize) -> usize {
    ((engines as f64 * MAX_LOADING_FRACTION).round() as usize).max(1)
}

/// Loads to order now, as indexes into `weights`, so that at most `max_concurrent` run at a time.
#[must_use]
pub fn next_loads(
    weights: &[EngineWeights],
    max_concurrent: usize,
    model_shares: &ModelShares,
) -> Vec<usize> {
    plan_loads(weights, max_concurrent, |model| {
        model_shares.engines_per_version(model)
    })
}

/// Loads to order now if every engine gets every version of its models.
#[must_use]
pub fn next_loads_on_all_engines(weights: &[EngineWeights], max_concurrent: usize) -> Vec<usize> {
    plan_loads(weights, max_concurrent, |_model| usize::MAX)
}

/// Loads to order now if `engines_per_version(model)` engines get each version of a model.
///
/// Sorts each model's candidates once and updates counts with each load, instead of comparing each
/// candidate with every pair.
fn plan_loads(
    weights: &[EngineWeights],
    max_concurrent: usize,
    engines_per_version: impl Fn(ModelKey) -> usize,
) -> Vec<usize> {
    let mut plan = Plan::of(weights, engines_per_version);
    let mut loads = Vec::new();
    while plan.loading < max_concurrent {
        let Some(at) = plan.next(weights) else {
            break;
        };
        plan.add_load(&weights[at]);
        loads.push(at);
    }
    loads
}

/// Counts and candidates of one model while loads are planned.
#[derive(Debug)]
struct ModelPlan {
    model: ModelKey,
    /// Number of engines that get each version.
    engines_per_version: usize,
    /// Number of engines that the next step can use now or after a running load.
    usable: usize,
    /// Number of engines that have the latest version or load it.
    newest: usize,
    /// Indexes of unusable engines that serve this model alone, best last. They load in any case.
    sole_candidates: Vec<usize>,
    /// Indexes of the other engines that are behind, best last. They load while too few engines
    /// have the latest version.
    other_candidates: Vec<usize>,
}

/// Planned loads, with the counts that select the next one.
#[derive(Debug)]
struct Plan {
    /// Sorted by model.
    models: Vec<ModelPlan>,
    /// Engines that load or have a planned load, sorted.
    busy: Vec<UpstreamKey>,
    /// Number of running and planned loads.
    loading: usize,
}

impl Plan {
    fn of(weights: &[EngineWeights], engines_per_version: impl Fn(ModelKey) -> usize) -> Self {
        let mut busy: Vec<UpstreamKey> = loading_pairs(weights).map(|pair| pair.engine).collect();
        busy.sort_unstable();
        let mut engines: Vec<UpstreamKey> = weights.iter().map(|pair| pair.engine).collect();
        engines.sort_unstable();
        let mut models: Vec<ModelKey> = weights.iter().map(|pair| pair.model).collect();
        models.sort_unstable();
        models.dedup();
        let plan_of = |model| ModelPlan::of(model, weights, &engines, engines_per_version(model));
        Self {
            models: models.into_iter().map(plan_of).collect(),
            busy,
            loading: loading_pairs(weights).count(),
        }
    }

    /// Index of the next load. Models with the fewest usable engines come first: if those with the
    /// oldest version did, one trainer's step would wait for its first engine while other models
    /// get their second set.
    fn next(&mut self, weights: &[EngineWeights]) -> Option<usize> {
        let busy = &self.busy;
        let is_busy = |at: &usize| busy.binary_search(&weights[*at].engine).is_ok();
        let candidates = self.models.iter_mut().filter_map(|model| {
            let at = model.next(weights, is_busy)?;
            Some((model.usable, load_order(weights, at), at))
        });
        candidates.min().map(|(_, _, at)| at)
    }

    fn add_load(&mut self, pair: &EngineWeights) {
        self.loading += 1;
        if let Err(at) = self.busy.binary_search(&pair.engine) {
            self.busy.insert(at, pair.engine);
        }
        let found = self
            .models
            .binary_search_by_key(&pair.model, |plan| plan.model);
        if let Ok(at) = found {
            let model = &mut self.models[at];
            model.newest += 1;
            model.usable += usize::from(pair.behind() >= UNUSABLE_LAG);
        }
    }
}

impl ModelPlan {
    /// `engines` holds the engine of each pair, sorted.
    fn of(
        model: ModelKey,
        weights: &[EngineWeights],
        engines: &[UpstreamKey],
        engines_per_version: usize,
    ) -> Self {
        let of_model = || weights.iter().filter(|pair| pair.model == model);
        let usable = of_model().filter(|pair| pair.loading || pair.behind() < UNUSABLE_LAG);
        let newest = of_model().filter(|pair| pair.loading || pair.behind() == 0);
        let models_at = |engine: UpstreamKey| {
            let first = engines.partition_point(|other| *other < engine);
            engines[first..].partition_point(|other| *other == engine)
        };
        let is_sole_model = |at: &usize| {
            let pair = &weights[*at];
            pair.behind() >= UNUSABLE_LAG && models_at(pair.engine) == 1
        };
        let is_behind = |at: &usize| {
            let pair = &weights[*at];
            pair.model == model && pair.behind() > 0 && !pair.unavailable
        };
        let mut behind: Vec<usize> = (0..weights.len()).filter(is_behind).collect();
        behind.sort_unstable_by_key(|at| Reverse(load_order(weights, *at)));
        let (sole_candidates, other_candidates) = behind.into_iter().partition(is_sole_model);
        Self {
            model,
            engines_per_version,
            usable: usable.count(),
            newest: newest.count(),
            sole_candidates,
            other_candidates,
        }
    }

    /// The best engine to load this model now, if another load is wanted.
    fn next(
        &mut self,
        weights: &[EngineWeights],
        is_busy: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        // An engine that loads one model stays busy while loads are planned.
        for candidates in [&mut self.sole_candidates, &mut self.other_candidates] {
            while candidates.last().is_some_and(&is_busy) {
                candidates.pop();
            }
        }
        let is_wanted = self.newest < self.engines_per_version;
        let other = self.other_candidates.last().filter(|_| is_wanted);
        let wanted = [self.sole_candidates.last(), other]
            .into_iter()
            .flatten()
            .copied();
        wanted.min_by_key(|at| load_order(weights, *at))
    }
}

impl EngineWeights {
    /// Number of versions behind the announced one.
    const fn behind(&self) -> u64 {
        self.latest_version.saturating_sub(self.version)
    }
}

/// Sort key of the engines of one model; the lowest loads first.
fn load_order(weights: &[EngineWeights], at: usize) -> (Reverse<u64>, Reverse<usize>) {
    (Reverse(weights[at].behind()), Reverse(at))
}

fn loading_pairs(weights: &[EngineWeights]) -> impl Iterator<Item = &EngineWeights> {
    weights.iter().filter(|pair| pair.loading)
}
