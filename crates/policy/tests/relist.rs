//! Load of a fleet on the store after an outage of the store.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::relist::ListCost;
use firweir_policy::relist::RelistTimer;

/// Number of entries in the upstream list of the largest fleet.
const ENTRIES: usize = 10_000;

/// Number of pages of that list.
const PAGES: u64 = 50;

/// Interval at which a node polls its seed nodes.
const POLL_INTERVAL_MS: u64 = 700;

/// Reads that the store serves per second; further reads queue, and time out after a second.
const READS_PER_S: f64 = 16_000.0;

struct Case {
    name: &'static str,
    nodes: usize,
    outage_ms: u64,
}

struct Outcome {
    /// Number of calls to the store.
    calls: u64,
    /// Time at which all nodes are up to date.
    up_to_date_ms: u64,
}

/// Simulates nodes with outdated lists that poll three seed nodes. The store is unavailable from
/// time 0 until the end of the outage, when the seed nodes list first. Lists are served one after
/// the other at the store's rate. With a `cost` of `None`, nodes list without a wait.
fn simulate(case: &Case, cost: Option<ListCost>) -> Outcome {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let window = cost.and_then(|cost| cost.jitter_window());
    let mut timers = vec![RelistTimer::default(); case.nodes];
    let mut events: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut state = 7_u64;
    let mut random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    for node in 0..case.nodes {
        let first_ms = (random() * POLL_INTERVAL_MS as f64) as u64;
        events.push(Reverse((first_ms, node)));
    }
    // Lists of seed nodes queue at the store like all others.
    let mut busy_until_ms = case.outage_ms;
    let mut seeds_ready_ms = None;
    let mut outcome = Outcome {
        calls: 0,
        up_to_date_ms: 0,
    };
    let list_ms = (PAGES as f64 / READS_PER_S * 1_000.0).ceil() as u64;
    while let Some(Reverse((now_ms, node))) = events.pop() {
        if now_ms >= case.outage_ms && seeds_ready_ms.is_none() {
            busy_until_ms += 3 * list_ms;
            seeds_ready_ms = Some(busy_until_ms);
            outcome.calls += 3 * PAGES;
        }
        if seeds_ready_ms.is_some_and(|ready_ms| now_ms >= ready_ms) {
            outcome.up_to_date_ms = outcome.up_to_date_ms.max(now_ms);
            continue;
        }
        if !timers[node].is_due(at(now_ms), window, random()) {
            events.push(Reverse((now_ms + POLL_INTERVAL_MS, node)));
            continue;
        }
        if now_ms < case.outage_ms {
            outcome.calls += 1;
            events.push(Reverse((now_ms + POLL_INTERVAL_MS, node)));
            continue;
        }
        // A page that queues for longer than the timeout of a call fails, and the list with it.
        let wait_ms = busy_until_ms.saturating_sub(now_ms);
        if wait_ms > 1_000 {
            outcome.calls += 1;
            events.push(Reverse((now_ms + 1_000 + POLL_INTERVAL_MS, node)));
            continue;
        }
        busy_until_ms = busy_until_ms.max(now_ms) + list_ms;
        outcome.calls += PAGES;
        outcome.up_to_date_ms = outcome.up_to_date_ms.max(busy_until_ms);
    }
    outcome
}

/// Guards against a fleet that lists all upstreams when the store is available again: this exhausts
/// its rate for seconds, in which steps of trainers are neither accepted nor read.
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
        let with = simulate(case, Some(cost));
        let without = simulate(case, None);
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

/// Guards against an unnecessary wait in a small fleet, where all nodes can list at the same time.
#[test]
fn a_small_fleet_lists_without_a_wait() {
    let cost = ListCost {
        nodes: 80,
        entries: 60,
        reads_per_s: 6_000.0,
    };
    assert_eq!(cost.jitter_window(), None);
    assert!(RelistTimer::default().is_due(Instant::now(), cost.jitter_window(), 0.9));
}

/// Guards against nodes that list all upstreams repeatedly while the store is slow: a list that was
/// due starts a new wait.
#[test]
fn a_list_that_failed_waits_anew() {
    let now = Instant::now();
    let window = Some(Duration::from_secs(30));
    let mut timer = RelistTimer::default();
    assert!(!timer.is_due(now, window, 0.1));
    let later = now + Duration::from_secs(3);
    assert!(timer.is_due(later, window, 0.5));
    assert!(!timer.is_due(later, window, 0.5));
    timer.cancel();
    assert!(
        !timer.is_due(later + Duration::from_secs(20), window, 0.5),
        "a new wait started"
    );
}
