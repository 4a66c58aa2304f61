//! Restrictions on a request after sequences of losses, answers and reports.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::suspect::Isolation;
use firweir_policy::suspect::LossReport;
use firweir_policy::suspect::MAX_SUSPECTS;
use firweir_policy::suspect::SUSPICION_EXPIRY;
use firweir_policy::suspect::Suspects;

const REQUEST: u64 = 7;

enum Event {
    Lost,
    Answered,
    /// Losses of the request that two other VMs report.
    Reports(u32, u32),
    /// Losses that the first of them sends ahead of its report.
    Notice(u32),
    Wait(Duration),
}

const fn report(node: u64, losses: u32) -> LossReport {
    LossReport {
        fingerprint: REQUEST,
        node,
        losses,
    }
}

struct IsolationCase {
    name: &'static str,
    events: &'static [Event],
    isolation: Isolation,
}

/// Guards against a request that crashes one upstream after another, and against quarantine of
/// requests that were only in flight at the same upstream.
#[test]
fn a_request_is_tried_alone_then_quarantined_then_cleared() {
    let cases = [
        IsolationCase {
            name: "one crash makes no suspect of all that ran there",
            events: &[Event::Lost],
            isolation: Isolation::Free,
        },
        IsolationCase {
            name: "two crashes",
            events: &[Event::Lost, Event::Lost],
            isolation: Isolation::Alone,
        },
        IsolationCase {
            name: "two crashes, one of them at another VM",
            events: &[Event::Lost, Event::Reports(1, 0)],
            isolation: Isolation::Alone,
        },
        IsolationCase {
            name: "a bystander of two crashes is answered",
            events: &[Event::Lost, Event::Lost, Event::Answered],
            isolation: Isolation::Free,
        },
        IsolationCase {
            name: "three crashes",
            events: &[Event::Lost, Event::Lost, Event::Lost],
            isolation: Isolation::Quarantined(SUSPICION_EXPIRY),
        },
        IsolationCase {
            name: "three crashes, all at other VMs",
            events: &[Event::Reports(2, 1)],
            isolation: Isolation::Quarantined(SUSPICION_EXPIRY),
        },
        IsolationCase {
            name: "a notice and the report that follows it are one count",
            events: &[Event::Notice(2), Event::Reports(2, 0)],
            isolation: Isolation::Alone,
        },
        IsolationCase {
            name: "a notice arrives before a report",
            events: &[Event::Notice(2), Event::Reports(1, 1)],
            isolation: Isolation::Quarantined(SUSPICION_EXPIRY),
        },
        IsolationCase {
            name: "the other VMs have cleared it",
            events: &[Event::Reports(2, 1), Event::Reports(0, 0)],
            isolation: Isolation::Free,
        },
        IsolationCase {
            name: "quarantine ends",
            events: &[
                Event::Lost,
                Event::Lost,
                Event::Lost,
                Event::Wait(SUSPICION_EXPIRY),
            ],
            isolation: Isolation::Free,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut suspects = Suspects::default();
        for event in case.events {
            match event {
                Event::Lost => _ = suspects.record_loss(now, REQUEST),
                Event::Answered => suspects.clear(REQUEST),
                Event::Reports(first, second) => {
                    suspects.set_reports(vec![report(1, *first), report(2, *second)]);
                }
                Event::Notice(losses) => suspects.add_notice(now, report(1, *losses)),
                Event::Wait(time) => now += *time,
            }
        }
        assert_eq!(
            suspects.isolation(now, REQUEST),
            case.isolation,
            "{}",
            case.name
        );
    }
}

#[test]
fn suspects_are_bounded() {
    let start = Instant::now();
    let mut suspects = Suspects::default();
    for number in 0..MAX_SUSPECTS as u64 + 100 {
        _ = suspects.record_loss(start + Duration::from_millis(number), number);
    }
    assert_eq!(suspects.reports(start, 0).len(), MAX_SUSPECTS);
}
