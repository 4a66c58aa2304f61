//! When the next step starts.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::pace::Pace;

struct WaitCase {
    name: &'static str,
    weight_percent: u32,
    step_s: u64,
    published: bool,
    wait_s: u64,
}

/// A trainer takes 40 s for each lot. Samples drafted at once are a version old
/// when it takes them; started too late, they leave it idle.
#[test]
fn a_step_starts_when_its_weight_says() {
    let case = |name, weight_percent, step_s, published, wait_s| WaitCase {
        name,
        weight_percent,
        step_s,
        published,
        wait_s,
    };
    let cases = [
        case("idle time alone counts", 0, 10, false, 0),
        case("a little: with time to spare", 1, 10, false, 25),
        case("half", 50, 20, false, 15),
        case(
            "a step longer than the training starts at once",
            25,
            60,
            false,
            0,
        ),
        case(
            "staleness alone counts: for new weights",
            100,
            10,
            false,
            50,
        ),
        case("weights are published, not served yet", 100, 10, true, 10),
        case("published weights end any other wait", 99, 10, true, 0),
    ];
    for case in cases {
        let start = Instant::now();
        let train = Duration::from_secs(40);
        let mut pace = Pace::default();
        pace.accepted(start);
        pace.published(start + train);
        pace.drafted(Duration::from_secs(case.step_s));
        pace.accepted(start + train);
        if case.published {
            pace.published(start + train + train);
        }
        let now = if case.published {
            start + train + train
        } else {
            start + train
        };
        let wait = pace.wait(case.weight_percent, now);
        assert_eq!(wait.as_secs(), case.wait_s, "{}", case.name);
    }
}

/// A new holder knows nothing of its trainer and must not keep it waiting.
#[test]
fn a_feed_that_has_learnt_nothing_starts_at_once() {
    let mut pace = Pace::default();
    let now = Instant::now();
    assert_eq!(pace.wait(100, now), Duration::ZERO);
    pace.accepted(now);
    assert_eq!(pace.wait(100, now), Duration::ZERO);
}

/// The trainer's weights are published and every engine serves them: the wait
/// for fresh samples ends, and begins again with the next lot.
#[test]
fn served_weights_end_the_wait() {
    let start = Instant::now();
    let train = Duration::from_secs(40);
    let mut pace = Pace::default();
    pace.drafted(Duration::from_secs(10));
    pace.accepted(start);
    pace.published(start + train);
    assert!(pace.wait(100, start + train) > Duration::ZERO);
    pace.swapped();
    assert_eq!(pace.wait(100, start + train), Duration::ZERO);
    pace.accepted(start + train);
    pace.swapped();
    assert!(pace.wait(100, start + train) > Duration::ZERO);
}
