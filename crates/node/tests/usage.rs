//! Counts by window, and true time from clocks some of which are wrong.

use std::time::Duration;

use firweir_node::usage::clock_offset::ClockOffset;
use firweir_node::usage::fleet_counts::FleetCounts;
use firweir_node::usage::fleet_counts::ProcessCounts;
use firweir_node::usage::tally::AccountCount;
use firweir_node::usage::tally::Tally;
use firweir_node::usage::tally::Window;

const LENGTH: Duration = Duration::from_secs(5);

fn tally(counts: &[(u64, &str, u64)]) -> Tally {
    let mut tally = Tally::default();
    for (window, account, requests) in counts {
        for _ in 0..*requests {
            tally.count(Window(*window), account);
        }
    }
    tally
}

fn told(process: &str, own_time_ms: u64, tally: Tally) -> ProcessCounts {
    ProcessCounts {
        process: process.to_owned(),
        own_time_ms,
        tally,
    }
}

fn sums(collected: &FleetCounts, window: u64) -> Vec<(String, u64)> {
    let sum = collected.sum(Window(window)).into_iter();
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
        let window = Window::of(Duration::from_millis(case.at_ms), LENGTH);
        assert_eq!(window, Window(case.window), "{}", case.name);
    }
    assert_eq!(Window(1).end(LENGTH), LENGTH * 2);
}

/// Guards against a message that arrives late or twice and changes a count.
#[test]
fn what_is_told_twice_or_late_counts_once() {
    let early = tally(&[(7, "kudu", 2)]);
    let late = tally(&[(7, "kudu", 3), (7, "oryx", 1), (8, "kudu", 1)]);
    let mut collected = FleetCounts::default();
    for state in [&early, &late, &early, &late] {
        collected.apply(told("vm-1", 0, state.clone()), Duration::ZERO);
    }
    collected.apply(told("vm-2", 0, tally(&[(7, "kudu", 5)])), Duration::ZERO);
    let expected = [("kudu".to_owned(), 8), ("oryx".to_owned(), 1)];
    assert_eq!(sums(&collected, 7), expected);
    assert_eq!(collected.first_window(), Some(Window(7)));
    collected.forget_through(Window(7));
    assert_eq!(sums(&collected, 7), []);
    assert_eq!(sums(&collected, 8), [("kudu".to_owned(), 1)]);
}

#[test]
fn a_node_that_begins_to_collect_gets_all() {
    let mut first = FleetCounts::default();
    first.apply(told("vm-1", 1_000_000, tally(&[(7, "kudu", 2)])), LENGTH);
    let mut second = FleetCounts::default();
    let copies = first.snapshot(LENGTH * 2);
    for told in copies {
        second.apply(told, Duration::ZERO);
    }
    assert_eq!(sums(&second, 7), [("kudu".to_owned(), 2)]);
    let own_time = second
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
        let mut collected = FleetCounts::default();
        for node in 0..15_u64 {
            let jump_ms = if node < wrong {
                2_000 * (node + 1)
            } else {
                node
            };
            let process = format!("vm-{node}");
            collected.apply(told(&process, 1_000_000 + jump_ms, Tally::default()), now);
        }
        let offset = collected.offset().expect("many are known");
        let off = offset.true_time(now).abs_diff(Duration::from_secs(1_000));
        assert!(
            off < Duration::from_millis(15),
            "{wrong} wrong: {off:?} off"
        );
    }
    assert_eq!(ClockOffset::median(Vec::new()), None);
}
