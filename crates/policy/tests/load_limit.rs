//! Limit of concurrent loads for weight stores of any capacity.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::load_limit::LoadLimit;

struct Case {
    name: &'static str,
    engines: usize,
    /// Number of concurrent loads that the weight store serves without slowing down.
    store_capacity: usize,
    /// Expected limit of concurrent loads.
    limit: std::ops::RangeInclusive<usize>,
}

/// Time of a load while no other runs.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// Delay until the end of a load is noticed.
const NOTICE_DELAY: Duration = Duration::from_millis(200);

/// Guards against loads that overload the weight store, so that no engine has a version in time.
#[test]
fn as_many_load_as_the_weight_store_serves() {
    let cases = [
        Case {
            name: "a small pool: a quarter of it",
            engines: 12,
            store_capacity: 2,
            limit: 3..=3,
        },
        Case {
            name: "a pool that matches the capacity of the store",
            engines: 62,
            store_capacity: 12,
            limit: 13..=16,
        },
        Case {
            name: "a pool that is too large for the store",
            engines: 3_000,
            store_capacity: 12,
            limit: 10..=24,
        },
        Case {
            name: "a store with a high capacity",
            engines: 3_000,
            store_capacity: 300,
            limit: 250..=600,
        },
    ];
    for case in cases {
        let limit = limit_after(&case, Duration::from_secs(60));
        let name = case.name;
        assert!(case.limit.contains(&limit), "{name}: {limit}");
    }
}

/// Guards against a limit that grows too slowly for the first versions: the time until all engines
/// of a version may load must not grow with the pool.
#[test]
fn a_large_pool_has_its_first_versions_in_seconds() {
    for engines in [10_000, 20_000] {
        let case = Case {
            name: "a fleet",
            engines,
            store_capacity: engines / 5,
            limit: 400..=engines,
        };
        let limit = limit_after(&case, Duration::from_secs(6));
        assert!(case.limit.contains(&limit), "{engines}: {limit}");
    }
}

/// Limit after a simulation of this length, in which as many engines load as the limit allows.
fn limit_after(case: &Case, time: Duration) -> usize {
    let start = Instant::now();
    let max_loads = (case.engines as f64 / 4.0).round() as usize;
    let mut limit = LoadLimit::default();
    let mut running: Vec<(Instant, Instant)> = Vec::new();
    let mut now = start;
    while now < start + time {
        now += Duration::from_millis(20);
        let is_full = running.len() >= limit.max_concurrent(max_loads);
        let ended: Vec<_> = running.extract_if(.., |(_, end)| *end <= now).collect();
        for (started, _) in &ended {
            limit.record_ended(now, now.duration_since(*started), is_full);
        }
        while running.len() < limit.max_concurrent(max_loads) {
            let utilization = (running.len() + 1) as f64 / case.store_capacity as f64;
            let load_time = LOAD_TIME.mul_f64(utilization.max(1.0)) + NOTICE_DELAY;
            running.push((now, now + load_time));
        }
    }
    limit.max_concurrent(max_loads)
}
