//! When a trainer's long polls are answered, and when the trainer continues.

use std::time::Duration;

use firweir_policy::long_poll::LongPoll;

const SECOND: Duration = Duration::from_secs(1);

struct Case {
    name: &'static str,
    waited_ms: u64,
    max_wait_ms: u64,
    complete_groups: usize,
    step_age_ms: u64,
    hold_ms: u64,
}

const PLAIN: Case = Case {
    name: "",
    waited_ms: 0,
    max_wait_ms: 1_000,
    complete_groups: 12,
    step_age_ms: 3_000,
    hold_ms: 850,
};

#[test]
fn how_long_a_poll_is_held() {
    let cases = [
        Case {
            name: "held while groups are missing",
            ..PLAIN
        },
        Case {
            name: "held for the rest of the longest hold",
            waited_ms: 600,
            hold_ms: 250,
            ..PLAIN
        },
        Case {
            name: "not held longer than that",
            waited_ms: 900,
            hold_ms: 0,
            ..PLAIN
        },
        Case {
            name: "answered once all target groups are complete",
            complete_groups: 13,
            hold_ms: 0,
            ..PLAIN
        },
        Case {
            name: "not held if it may not wait",
            max_wait_ms: 0,
            hold_ms: 0,
            ..PLAIN
        },
        Case {
            name: "held until shortly after the step is due",
            step_age_ms: 7_800,
            hold_ms: 200,
            ..PLAIN
        },
        Case {
            name: "open when the step becomes due: answered with the results so far",
            waited_ms: 300,
            step_age_ms: 8_050,
            hold_ms: 0,
            ..PLAIN
        },
        Case {
            name: "begun after the step was due: held for the last group again",
            waited_ms: 300,
            step_age_ms: 8_500,
            hold_ms: 550,
            ..PLAIN
        },
    ];
    for case in cases {
        let poll = LongPoll {
            waited: Duration::from_millis(case.waited_ms),
            max_wait: Duration::from_millis(case.max_wait_ms),
            complete_groups: case.complete_groups,
            target_groups: 13,
            step_age: Duration::from_millis(case.step_age_ms),
            step_due: Duration::from_millis(7_500),
        };
        let hold = Duration::from_millis(case.hold_ms);
        assert_eq!(poll.remaining_hold(), hold, "{}", case.name);
    }
}

/// Shortest time between the starts of two polls of a trainer. It continues only when the next
/// poll is due.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time from `last_group_at`, when the last group is listed, until a trainer continues that
/// first polled at `first_poll`. Other samples are listed every 150 ms.
fn continue_delay(first_poll: Duration, last_group_at: Duration, is_held: bool) -> Duration {
    let mut polled_at = first_poll;
    let mut read_until = Duration::ZERO;
    loop {
        let mut now = polled_at;
        loop {
            let has_news =
                now.as_millis() / 150 > read_until.as_millis() / 150 || now >= last_group_at;
            let poll = LongPoll {
                waited: now.saturating_sub(polled_at),
                max_wait: SECOND,
                complete_groups: if now >= last_group_at { 13 } else { 12 },
                target_groups: 13,
                step_age: now,
                step_due: Duration::from_millis(7_500),
            };
            let hold = if is_held {
                poll.remaining_hold()
            } else {
                Duration::ZERO
            };
            if (has_news && hold.is_zero()) || now.saturating_sub(polled_at) >= SECOND {
                break;
            }
            now += CHECK_INTERVAL;
        }
        read_until = now;
        let next = now.max(polled_at + POLL_INTERVAL);
        if now >= last_group_at {
            return next.saturating_sub(last_group_at);
        }
        polled_at = next;
    }
}

/// Guards against a trainer that continues only half a second after its last group was listed,
/// whether its step is in time or overdue.
#[test]
fn a_trainer_goes_on_soon() {
    let mean_of = |earliest: Duration, is_held| {
        let steps = (0..40_u32).map(|step| {
            let first_poll = CHECK_INTERVAL * (step * 7 % 50);
            continue_delay(first_poll, earliest + CHECK_INTERVAL * step, is_held)
        });
        steps.sum::<Duration>() / 40
    };
    let cases = [
        ("in time", SECOND * 6),
        ("just late", SECOND * 15 / 2),
        ("much later", SECOND * 9),
    ];
    for (name, earliest) in cases {
        let (at_once, held) = (mean_of(earliest, false), mean_of(earliest, true));
        // A held poll is answered as soon as the last group is listed. The trainer continues
        // then if the poll began at least POLL_INTERVAL ago, otherwise at the end of that time.
        assert!(held <= POLL_INTERVAL / 2, "{name}: {held:?}");
        assert!(
            held < at_once / 2,
            "{name}: {held:?} instead of {at_once:?}"
        );
    }
}

/// Guards against samples that are listed by the due time of their step but read much later,
/// because the trainer's poll is held for a group that is not complete.
#[test]
fn results_at_the_due_time_are_returned_soon() {
    let step_due = Duration::from_millis(7_500);
    for first_poll_ms in 0..50_u64 {
        let polled_at = step_due.saturating_sub(CHECK_INTERVAL * first_poll_ms as u32);
        let mut now = polled_at;
        loop {
            let poll = LongPoll {
                waited: now.saturating_sub(polled_at),
                max_wait: SECOND,
                complete_groups: 12,
                target_groups: 13,
                step_age: now,
                step_due,
            };
            if poll.remaining_hold().is_zero() {
                break;
            }
            now += CHECK_INTERVAL;
        }
        assert!(
            now <= step_due + POLL_INTERVAL,
            "polled at {polled_at:?}, answered at {now:?}"
        );
    }
}
