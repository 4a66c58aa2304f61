//! Start times of the next step.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::step_pacing::StepPacer;

struct WaitCase {
    name: &'static str,
    weight_percent: u32,
    step_s: u64,
    is_published: bool,
    wait_s: u64,
}

/// Guards against samples that are one version old because they were generated too early, and
/// against an idle trainer because they were generated too late. It trains 40 s on each lot.
#[test]
fn the_staleness_weight_determines_the_start() {
    let case = |name, weight_percent, step_s, is_published, wait_s| WaitCase {
        name,
        weight_percent,
        step_s,
        is_published,
        wait_s,
    };
    let cases = [
        case("only idle time counts", 0, 10, false, 0),
        case("low weight: with time to spare", 1, 10, false, 25),
        case("half weight", 50, 20, false, 15),
        case(
            "a step longer than the training starts at once",
            25,
            60,
            false,
            0,
        ),
        case(
            "only staleness counts: waits for new weights",
            100,
            10,
            false,
            50,
        ),
        case(
            "weights are published but not served yet",
            100,
            10,
            true,
            10,
        ),
        case(
            "published weights end the wait at a lower weight",
            99,
            10,
            true,
            0,
        ),
    ];
    for case in cases {
        let start = Instant::now();
        let train = Duration::from_secs(40);
        let mut pacer = StepPacer::default();
        pacer.record_step_accepted(start);
        pacer.record_version_published(start + train);
        pacer.record_step_generated(Duration::from_secs(case.step_s));
        pacer.record_step_accepted(start + train);
        if case.is_published {
            pacer.record_version_published(start + train + train);
        }
        let now = if case.is_published {
            start + train + train
        } else {
            start + train
        };
        let wait = pacer.start_delay(case.weight_percent, now);
        assert_eq!(wait.as_secs(), case.wait_s, "{}", case.name);
    }
}

/// Guards against a node that has just taken over the feed and delays the trainer before it has
/// measured any durations.
#[test]
fn a_feed_without_measurements_starts_at_once() {
    let mut pacer = StepPacer::default();
    let now = Instant::now();
    assert_eq!(pacer.start_delay(100, now), Duration::ZERO);
    pacer.record_step_accepted(now);
    assert_eq!(pacer.start_delay(100, now), Duration::ZERO);
}

/// Guards against a wait that continues after every engine serves the published weights, and
/// against one that does not start again with the next lot.
#[test]
fn served_weights_end_the_wait() {
    let start = Instant::now();
    let train = Duration::from_secs(40);
    let mut pacer = StepPacer::default();
    pacer.record_step_generated(Duration::from_secs(10));
    pacer.record_step_accepted(start);
    pacer.record_version_published(start + train);
    assert!(pacer.start_delay(100, start + train) > Duration::ZERO);
    pacer.record_weights_served();
    assert_eq!(pacer.start_delay(100, start + train), Duration::ZERO);
    pacer.record_step_accepted(start + train);
    pacer.record_weights_served();
    assert!(pacer.start_delay(100, start + train) > Duration::ZERO);
}
