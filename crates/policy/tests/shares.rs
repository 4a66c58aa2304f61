//! How entries divide limits, choose subsets of the upstreams and retry work.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::retry::RetryBudget;
use firweir_policy::route::SUBSET_SIZE;
use firweir_policy::route::splitmix64;
use firweir_policy::route::subset;
use firweir_policy::share::EffectiveShare;
use firweir_policy::share::ShareRange;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;

struct ShareCase {
    name: &'static str,
    demands: &'static [u32],
    limit: f64,
    upstreams: u32,
}

const CASES: [ShareCase; 4] = [
    ShareCase {
        name: "equal demand, limit not divisible",
        demands: &[50; 9],
        limit: 32.0,
        upstreams: 12,
    },
    ShareCase {
        name: "one busy entry",
        demands: &[0, 0, 400, 0, 0, 0, 0],
        limit: 32.0,
        upstreams: 12,
    },
    ShareCase {
        name: "more demand than fits everywhere",
        demands: &[300, 500, 900, 200],
        limit: 72.0,
        upstreams: 3,
    },
    ShareCase {
        name: "fewer slots than entries",
        demands: &[3; 9],
        limit: 4.0,
        upstreams: 1,
    },
];

/// Where all entries know the same demands, their slots sum exactly to the limit of each
/// upstream.
#[test]
fn equal_views_share_the_limit_exactly() {
    for case in &CASES {
        let capacity = case.limit * f64::from(case.upstreams);
        for upstream in 0..case.upstreams {
            let offset = splitmix64(u64::from(upstream)) as f64 / u64::MAX as f64;
            let slots = |rank| {
                let entry_demands = EntryDemands {
                    demands: case.demands,
                    rank,
                    known_entries: case.demands.len(),
                };
                ShareRange::of_entry(&entry_demands, capacity).slots(case.limit, offset)
            };
            let sum: u32 = (0..case.demands.len()).map(slots).sum();
            assert_eq!(sum, case.limit as u32, "{}", case.name);
        }
    }
}

/// A busy entry gets the slots that idle ones do not need.
#[test]
fn a_busy_entry_gets_most_of_the_limit() {
    let entry_demands = EntryDemands {
        demands: &[0, 0, 400, 0, 0, 0, 0],
        rank: 2,
        known_entries: 7,
    };
    assert!(ShareRange::of_entry(&entry_demands, 384.0).width() > 0.8);
}

/// Guards against overload by an entry that is partitioned from its peers and takes them for
/// dead: if it used the whole limit, the upstreams would get twice the limit or more.
#[test]
fn an_entry_that_is_cut_off_takes_an_equal_part_only() {
    let alone = EntryDemands {
        demands: &[100],
        rank: 0,
        known_entries: 9,
    };
    assert!(ShareRange::of_entry(&alone, 384.0).width() <= 1.0 / 9.0 + 1e-9);
}

/// Guards against using a larger share before the other entry has reduced its own: demand moves
/// from one entry to another, and the one that gains learns of it first.
#[test]
fn a_larger_part_waits_until_the_others_have_learnt_of_it() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rising = EffectiveShare::default();
    let mut falling = EffectiveShare::default();
    let view = |demands, rank| EntryDemands {
        demands,
        rank,
        known_entries: 2,
    };
    rising.set(at(0), &view(&[0, 400], 0), 100.0);
    falling.set(at(0), &view(&[0, 400], 1), 100.0);
    rising.set(at(10_000), &view(&[400, 0], 0), 100.0);
    for ms in (5_000..20_000).step_by(100) {
        if ms == 12_000 {
            falling.set(at(ms), &view(&[400, 0], 1), 100.0);
        }
        let sum = rising.get(at(ms)).width() + falling.get(at(ms)).width();
        assert!(sum < 1.01, "{ms}: {sum}");
    }
    assert!(rising.get(at(20_000)).width() > 0.8);
}

/// The subsets of all entries cover thousands of upstreams evenly: each upstream is in 3 to 6
/// subsets.
#[test]
fn subsets_cover_the_upstreams_evenly() {
    let upstreams: Vec<UpstreamState> = (0..4_800)
        .map(|key| UpstreamState {
            key: UpstreamKey(key),
            address_hash: u64::from(key) * 31,
            local_zone: false,
            leaving: false,
            limit: 32,
        })
        .collect();
    let mut used = vec![0_u32; upstreams.len()];
    for rank in 0..420 {
        let chosen = subset(&upstreams, rank, 420);
        assert_eq!(chosen.len(), SUBSET_SIZE);
        for state in chosen {
            used[state.key.0 as usize] += 1;
        }
    }
    let (least, most) = (used.iter().min(), used.iter().max());
    assert!(least >= Some(&3) && most <= Some(&6), "{least:?} {most:?}");
}

/// Guards against retries that double the load on failing upstreams when every call fails.
#[test]
fn retries_add_a_tenth_at_most() {
    let mut budget = RetryBudget::default();
    let mut retries = 0_u32;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw(Ending::Failed, true, 1));
    }
    assert!(retries <= 110, "{retries}");
    assert!(retries >= 100, "{retries}");
}

struct RetryCase {
    ending: Ending,
    idempotent: bool,
    tries: u32,
    allowed: bool,
}

/// Work that may have run is retried only if it is idempotent.
#[test]
fn only_safe_work_is_tried_again() {
    let case = |ending, idempotent, tries, allowed| RetryCase {
        ending,
        idempotent,
        tries,
        allowed,
    };
    let cases = [
        case(Ending::Unreachable, false, 1, true),
        case(Ending::Failed, true, 1, true),
        case(Ending::Failed, false, 1, false),
        case(Ending::Abandoned, true, 1, false),
        case(Ending::Answered, true, 1, false),
        case(Ending::Failed, true, 3, false),
    ];
    for case in cases {
        let got = RetryBudget::default().try_withdraw(case.ending, case.idempotent, case.tries);
        assert_eq!(got, case.allowed, "{:?} {}", case.ending, case.idempotent);
    }
}
