//! Restrictions on a request after sequences of losses, answers and reports.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::suspect::CLEAR_AFTER;
use firweir_policy::suspect::Reported;
use firweir_policy::suspect::SUSPECTS;
use firweir_policy::suspect::Standing;
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

const fn report(node: u64, lost: u32) -> Reported {
    Reported {
        fingerprint: REQUEST,
        node,
        lost,
    }
}

struct StandingCase {
    name: &'static str,
    events: &'static [Event],
    standing: Standing,
}

/// Guards against a request that crashes one upstream after another, and against quarantine of
/// requests that were only in flight at the same upstream.
#[test]
fn a_request_is_tried_alone_then_quarantined_then_cleared() {
    let cases = [
        StandingCase {
            name: "one crash makes no suspect of all that ran there",
            events: &[Event::Lost],
            standing: Standing::Free,
        },
        StandingCase {
            name: "two crashes",
            events: &[Event::Lost, Event::Lost],
            standing: Standing::Alone,
        },
        StandingCase {
            name: "two crashes, one of them at another VM",
            events: &[Event::Lost, Event::Reports(1, 0)],
            standing: Standing::Alone,
        },
        StandingCase {
            name: "a bystander of two crashes is answered",
            events: &[Event::Lost, Event::Lost, Event::Answered],
            standing: Standing::Free,
        },
        StandingCase {
            name: "three crashes",
            events: &[Event::Lost, Event::Lost, Event::Lost],
            standing: Standing::Quarantined(CLEAR_AFTER),
        },
        StandingCase {
            name: "three crashes, all at other VMs",
            events: &[Event::Reports(2, 1)],
            standing: Standing::Quarantined(CLEAR_AFTER),
        },
        StandingCase {
            name: "a notice and the report that follows it are one count",
            events: &[Event::Notice(2), Event::Reports(2, 0)],
            standing: Standing::Alone,
        },
        StandingCase {
            name: "a notice arrives before a report",
            events: &[Event::Notice(2), Event::Reports(1, 1)],
            standing: Standing::Quarantined(CLEAR_AFTER),
        },
        StandingCase {
            name: "the other VMs have cleared it",
            events: &[Event::Reports(2, 1), Event::Reports(0, 0)],
            standing: Standing::Free,
        },
        StandingCase {
            name: "quarantine ends",
            events: &[
                Event::Lost,
                Event::Lost,
                Event::Lost,
                Event::Wait(CLEAR_AFTER),
            ],
            standing: Standing::Free,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut suspects = Suspects::default();
        for event in case.events {
            match event {
                Event::Lost => _ = suspects.lost(now, REQUEST),
                Event::Answered => suspects.answered(REQUEST),
                Event::Reports(first, second) => {
                    suspects.take_reports(vec![report(1, *first), report(2, *second)]);
                }
                Event::Notice(lost) => suspects.take_notice(now, report(1, *lost)),
                Event::Wait(time) => now += *time,
            }
        }
        assert_eq!(
            suspects.standing(now, REQUEST),
            case.standing,
            "{}",
            case.name
        );
    }
}

#[test]
fn suspects_are_bounded() {
    let start = Instant::now();
    let mut suspects = Suspects::default();
    for number in 0..SUSPECTS as u64 + 100 {
        _ = suspects.lost(start + Duration::from_millis(number), number);
    }
    assert_eq!(suspects.reports(start, 0).len(), SUSPECTS);
}
