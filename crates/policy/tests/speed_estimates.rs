//! Undisturbed times and disturbances as estimated from events and reports.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::speed::CallSpeed;
use firweir_policy::speed::PeerStats;
use firweir_policy::speed::Speed;
use firweir_policy::work::ReportedLoad;

/// Guards against ignoring a second disturbance as a figure that never changes, because it has the
/// same value as an earlier one.
#[test]
fn an_equal_report_after_a_gap_counts() {
    let start = Instant::now();
    let later = start + Duration::from_secs(10);
    let mut speed = Speed::default();
    speed.record_report(start, 250);
    speed.record_report(later, 250);
    assert!((speed.disturbance(later) - 2.5).abs() < 1e-9);
}

/// Guards against taking a figure that is repeated unchanged for seconds for a disturbance.
#[test]
fn an_unchanging_figure_is_ignored() {
    let start = Instant::now();
    let mut speed = Speed::default();
    for at_ms in (0..=4_000).step_by(500) {
        speed.record_report(start + Duration::from_millis(at_ms), 250);
    }
    let now = start + Duration::from_secs(4);
    assert!((speed.disturbance(now) - 1.0).abs() < 1e-9);
}

/// Undisturbed time per event, in seconds, after events of 50 ms for 2 s and of 125 ms for 0.6 s.
/// `is_reported`: the upstream reports the second phase as a disturbance.
fn undisturbed_s_after(is_reported: bool) -> f64 {
    let start = Instant::now();
    let mut speed = Speed::default();
    speed.record_report(start, 100);
    let at = |ms| start + Duration::from_millis(ms);
    (1..=40).for_each(|event| {
        speed.record_report(at(event * 50), 100);
        speed.record_time(at(event * 50), Duration::from_millis(50));
    });
    for ms in (2_000..2_625).step_by(25) {
        if is_reported && ms % 100 == 0 {
            speed.record_report(at(ms), 250);
        }
        if ms > 2_000 && ms % 125 == 0 {
            speed.record_time(at(ms), Duration::from_millis(125));
        }
    }
    speed.undisturbed_s().unwrap_or_default()
}

/// Guards against a reported disturbance that enters the undisturbed time of an engine.
#[test]
fn a_reported_disturbance_does_not_change_the_undisturbed_time() {
    let event_s = undisturbed_s_after(true);
    assert!((event_s / 0.05 - 1.0).abs() < 0.02, "{event_s}");
}

/// Guards against ignoring the running calls of this node once the report has expired.
#[test]
fn own_calls_count_after_a_report_has_expired() {
    let start = Instant::now();
    let idle = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 6,
        time_percent: Some(100),
    };
    let upstream = CallSpeed::new(start, idle);
    let peers = PeerStats::of(start, [upstream].iter());
    let load = upstream.load_with_next_call(start + Duration::from_secs(2), 3, &peers);
    assert!((load - 4.0 / 6.0).abs() < 1e-9, "{load}");
}

/// Guards against an upstream that gets no calls because of a high load reported long ago.
#[test]
fn an_old_high_load_is_not_in_the_mean() {
    let start = Instant::now();
    let later = start + Duration::from_secs(10);
    let load = |running| ReportedLoad {
        running,
        waiting: 0,
        slots: 6,
        time_percent: Some(100),
    };
    let full = CallSpeed::new(start, load(30));
    let idle = CallSpeed::new(later, load(0));
    let peers = PeerStats::of(later, [full, idle, idle].iter());
    let expected = full.load_with_next_call(later, 0, &peers);
    assert!((expected - 1.0 / 6.0).abs() < 1e-9, "{expected}");
}
