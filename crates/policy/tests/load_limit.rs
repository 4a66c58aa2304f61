//! How many engines load at once, against a weight store of any size.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::load_limit::LoadLimit;

struct Case {
    name: &'static str,
    engines: usize,
    /// Loads that the weight store serves at once without slowing down.
    served_at_once: usize,
    /// Loads at once, after a minute.
    at_once: std::ops::RangeInclusive<usize>,
}

/// Time of a load alone.
const LOAD: Duration = Duration::from_millis(900);

/// That a load has ended is known this much later.
const LAG: Duration = Duration::from_millis(200);

/// Guards against loads that crowd the weight store, so that no engine has a version in time.
#[test]
fn as_many_load_as_the_weight_store_serves() {
    let cases = [
        Case {
            name: "a small pool: a quarter of it, as before",
            engines: 12,
            served_at_once: 2,
            at_once: 3..=3,
        },
        Case {
            name: "a pool for which the store is made",
            engines: 62,
            served_at_once: 12,
            at_once: 13..=16,
        },
        Case {
            name: "a pool that the store is too small for",
            engines: 3_000,
            served_at_once: 12,
            at_once: 10..=24,
        },
        Case {
            name: "a store that serves many",
            engines: 3_000,
            served_at_once: 300,
            at_once: 250..=600,
        },
    ];
    for case in cases {
        let at_once = after(&case, Duration::from_secs(60));
        let name = case.name;
        assert!(case.at_once.contains(&at_once), "{name}: {at_once}");
    }
}

/// Guards against first versions that wait for a limit that grows slowly: the time until a
/// version's engines may all load must not grow with the pool.
#[test]
fn a_large_pool_has_its_first_versions_in_seconds() {
    for engines in [10_000, 20_000] {
        let case = Case {
            name: "a fleet",
            engines,
            served_at_once: engines / 5,
            at_once: 400..=engines,
        };
        let at_once = after(&case, Duration::from_secs(6));
        assert!(case.at_once.contains(&at_once), "{engines}: {at_once}");
    }
}

/// Plays loads one after the other at each of as many engines as may load.
fn after(case: &Case, time: Duration) -> usize {
    let start = Instant::now();
    let most = (case.engines as f64 / 4.0).round() as usize;
    let mut limit = LoadLimit::default();
    let mut running: Vec<(Instant, Instant)> = Vec::new();
    let mut now = start;
    while now < start + time {
        now += Duration::from_millis(20);
        let full = running.len() >= limit.at_once(most);
        let ended: Vec<_> = running.extract_if(.., |(_, end)| *end <= now).collect();
        for (began, _) in &ended {
            limit.ended(now, now.duration_since(*began), full);
        }
        while running.len() < limit.at_once(most) {
            let crowd = (running.len() + 1) as f64 / case.served_at_once as f64;
            let takes = LOAD.mul_f64(crowd.max(1.0)) + LAG;
            running.push((now, now + takes));
        }
    }
    limit.at_once(most)
}
