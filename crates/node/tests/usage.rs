//! Counts by window, and true time from clocks some of which are wrong.

use std::time::Duration;

use firweir_node::usage::clock_offset::ClockOffset;
use firweir_node::usage::fleet_counts::FleetCounts;
use firweir_node::usage::fleet_counts::ProcessCounts;
use firweir_node::usage::tally::AccountCount;
use firweir_node::usage::tally::Tally;
use firweir_node::usage::tally::Window;

const WINDOW_LENGTH: Duration = Duration::from_secs(5);

fn tally(counts: &[(u64, &str, u64)]) -> Tally {
    let mut tally = Tally::default();
    for (window, account, requests) in counts {
        for _ in 0..*requests {
            tally.count(Window(*window), account);
        }
    }
    tally
}

fn process_counts(process: &str, own_time_ms: u64, tally: Tally) -> ProcessCounts {
    ProcessCounts {
        process: process.to_owned(),
        own_time_ms,
        tally,
    }
}

fn sums(fleet_counts: &FleetCounts, window: u64) -> Vec<(String, u64)> {
    let sum = fleet_counts.sum(Window(window)).into_iter();
    sum.map(|AccountCount { account, requests }| (account, requests))
        .collect()
}

struct WindowCase {
    name: &'static str,
    at_ms: u64,
    window: u64,
}

#[test]
fn windows_lie_next_to_each_other() {
    let cases = [
        WindowCase {
            name: "the first moment",
            at_ms: 0,
            window: 0,
        },
        WindowCase {
            name: "the last moment",
            at_ms: 4_999,
            window: 0,
        },
        WindowCase {
            name: "the next one's first",
            at_ms: 5_000,
            window: 1,
        },
    ];
    for case in cases {
        let window = Window::of(Duration::from_millis(case.at_ms), WINDOW_LENGTH);
        assert_eq!(window, Window(case.window), "{}", case.name);
    }
    assert_eq!(Window(1).end(WINDOW_LENGTH), WINDOW_LENGTH * 2);
}

/// Guards against a message that arrives late or twice and changes a count.
#[test]
fn counts_received_twice_or_late_count_once() {
    let early = tally(&[(7, "kudu", 2)]);
    let late = tally(&[(7, "kudu", 3), (7, "oryx", 1), (8, "kudu", 1)]);
    let mut fleet_counts = FleetCounts::default();
    for state in [&early, &late, &early, &late] {
        fleet_counts.apply(process_counts("vm-1", 0, state.clone()), Duration::ZERO);
    }
    fleet_counts.apply(
        process_counts("vm-2", 0, tally(&[(7, "kudu", 5)])),
        Duration::ZERO,
    );
    let expected = [("kudu".to_owned(), 8), ("oryx".to_owned(), 1)];
    assert_eq!(sums(&fleet_counts, 7), expected);
    assert_eq!(fleet_counts.first_window(), Some(Window(7)));
    fleet_counts.forget_through(Window(7));
    assert_eq!(sums(&fleet_counts, 7), []);
    assert_eq!(sums(&fleet_counts, 8), [("kudu".to_owned(), 1)]);
}

#[test]
fn a_new_holder_gets_all_counts() {
    let mut seed = FleetCounts::default();
    seed.apply(
        process_counts("vm-1", 1_000_000, tally(&[(7, "kudu", 2)])),
        WINDOW_LENGTH,
    );
    let mut new_holder = FleetCounts::default();
    let snapshot = seed.snapshot(WINDOW_LENGTH * 2);
    for counts in snapshot {
        new_holder.apply(counts, Duration::ZERO);
    }
    assert_eq!(sums(&new_holder, 7), [("kudu".to_owned(), 2)]);
    let own_time = new_holder
        .offset()
        .expect("one is known")
        .true_time(Duration::ZERO);
    assert_eq!(
        own_time,
        Duration::from_secs(1_005),
        "its clock has gone on"
    );
}

/// Guards against reports that are early or late because the time of day of some VMs is wrong by
/// seconds when their nodes start.
#[test]
fn clocks_that_are_wrong_do_not_count_until_they_are_half() {
    let now = Duration::from_secs(100);
    for wrong in 0..=7 {
        let mut fleet_counts = FleetCounts::default();
        for node in 0..15_u64 {
            let jump_ms = if node < wrong {
                2_000 * (node + 1)
            } else {
                node
            };
            let process = format!("vm-{node}");
            fleet_counts.apply(
                process_counts(&process, 1_000_000 + jump_ms, Tally::default()),
                now,
            );
        }
        let offset = fleet_counts.offset().expect("many are known");
        let error = offset.true_time(now).abs_diff(Duration::from_secs(1_000));
        assert!(
            error < Duration::from_millis(15),
            "{wrong} wrong: {error:?} off"
        );
    }
    assert_eq!(ClockOffset::median(Vec::new()), None);
}
