//! Load that a fleet puts on a store after an outage.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::relist::ListCost;
use firweir_policy::relist::RelistTimer;

/// Entries of an upstream list of the largest fleet.
const ENTRIES: usize = 10_000;

/// Pages of that list.
const PAGES: u64 = 50;

/// Interval at which a node polls its seeds.
const PAUSE_MS: u64 = 700;

/// Reads that the store serves per second; others queue, and time out after a second.
const READS_PER_S: f64 = 16_000.0;

struct Case {
    name: &'static str,
    nodes: usize,
    outage_ms: u64,
}

struct Outcome {
    calls: u64,
    up_to_date_ms: u64,
}

/// Simulates nodes with outdated lists that poll three seeds. The store is unavailable from
/// time 0 until the end of the outage, when the seeds list first. Lists are served one after
/// the other at the store's rate. `cost` of `None` lets nodes list without a wait.
fn play(case: &Case, cost: Option<ListCost>) -> Outcome {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let spread = cost.and_then(|cost| cost.jitter_window());
    let mut relists = vec![RelistTimer::default(); case.nodes];
    let mut events: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut random = 7_u64;
    let mut part = || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 11) as f64 / (1_u64 << 53) as f64
    };
    for node in 0..case.nodes {
        let first = (part() * PAUSE_MS as f64) as u64;
        events.push(Reverse((first, node)));
    }
    // Lists of seeds queue at the store like all others.
    let mut busy_until_ms = case.outage_ms;
    let mut seeds_at_ms = None;
    let mut outcome = Outcome {
        calls: 0,
        up_to_date_ms: 0,
    };
    let list_ms = (PAGES as f64 / READS_PER_S * 1_000.0).ceil() as u64;
    while let Some(Reverse((now, node))) = events.pop() {
        if now >= case.outage_ms && seeds_at_ms.is_none() {
            busy_until_ms += 3 * list_ms;
            seeds_at_ms = Some(busy_until_ms);
            outcome.calls += 3 * PAGES;
        }
        if seeds_at_ms.is_some_and(|ready| now >= ready) {
            outcome.up_to_date_ms = outcome.up_to_date_ms.max(now);
            continue;
        }
        if !relists[node].is_due(at(now), spread, part()) {
            events.push(Reverse((now + PAUSE_MS, node)));
            continue;
        }
        if now < case.outage_ms {
            outcome.calls += 1;
            events.push(Reverse((now + PAUSE_MS, node)));
            continue;
        }
        // A page that waits longer than the timeout of a call fails, and the list with it.
        let wait = busy_until_ms.saturating_sub(now);
        if wait > 1_000 {
            outcome.calls += 1;
            events.push(Reverse((now + 1_000 + PAUSE_MS, node)));
            continue;
        }
        busy_until_ms = busy_until_ms.max(now) + list_ms;
        outcome.calls += PAGES;
        outcome.up_to_date_ms = outcome.up_to_date_ms.max(busy_until_ms);
    }
    outcome
}

/// Guards against a fleet that lists all upstreams from a store that comes back: its rate is
/// used up for seconds, and steps of trainers are neither accepted nor read.
#[test]
fn a_store_that_comes_back_is_not_listed_by_the_whole_fleet() {
    let cases = [
        Case {
            name: "200 nodes",
            nodes: 200,
            outage_ms: 5_000,
        },
        Case {
            name: "800 nodes",
            nodes: 800,
            outage_ms: 5_000,
        },
        Case {
            name: "800 nodes, a short outage",
            nodes: 800,
            outage_ms: 1_500,
        },
        Case {
            name: "3,200 nodes",
            nodes: 3_200,
            outage_ms: 5_000,
        },
    ];
    for case in &cases {
        let cost = ListCost {
            nodes: case.nodes,
            entries: ENTRIES,
            reads_per_s: READS_PER_S,
        };
        let with = play(case, Some(cost));
        let without = play(case, None);
        let name = case.name;
        assert!(with.calls < 6_000, "{name}: {} calls", with.calls);
        let late_ms = with.up_to_date_ms - case.outage_ms;
        assert!(late_ms < 2_000, "{name}: all up to date after {late_ms} ms");
        assert!(
            with.calls * 2 < without.calls,
            "{name}: {} for {}",
            with.calls,
            without.calls
        );
    }
}

/// Guards against a needless wait in a small fleet, where all nodes can list at once.
#[test]
fn lists_of_a_small_fleet_are_no_burden() {
    let cost = ListCost {
        nodes: 80,
        entries: 60,
        reads_per_s: 6_000.0,
    };
    assert_eq!(cost.jitter_window(), None);
    assert!(RelistTimer::default().is_due(Instant::now(), cost.jitter_window(), 0.9));
}

/// Guards against nodes that list all upstreams again and again while the store is slow: a
/// list that was due begins a new wait.
#[test]
fn a_list_that_failed_waits_anew() {
    let now = Instant::now();
    let spread = Some(Duration::from_secs(30));
    let mut relist = RelistTimer::default();
    assert!(!relist.is_due(now, spread, 0.1));
    let later = now + Duration::from_secs(3);
    assert!(relist.is_due(later, spread, 0.5));
    assert!(!relist.is_due(later, spread, 0.5));
    relist.cancel();
    assert!(
        !relist.is_due(later + Duration::from_secs(20), spread, 0.5),
        "the wait began anew"
    );
}
