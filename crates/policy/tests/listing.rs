//! When samples that are done are written to the log of their step.

use std::time::Duration;

use firweir_policy::listing::Unwritten;

struct Case {
    name: &'static str,
    completes_group: bool,
    whole_groups: usize,
    age_ms: u64,
    wait_ms: u64,
}

/// A trainer waits for 18 of 20 groups of a step that is due in 7.5 s.
#[test]
fn only_what_a_trainer_waits_for_is_written_at_once() {
    let cases = [
        Case {
            name: "an early group waits for others",
            completes_group: true,
            whole_groups: 3,
            age_ms: 1_500,
            wait_ms: 1_000,
        },
        Case {
            name: "single samples wait too",
            completes_group: false,
            whole_groups: 0,
            age_ms: 500,
            wait_ms: 1_000,
        },
        Case {
            name: "the last group that is waited for goes at once",
            completes_group: true,
            whole_groups: 18,
            age_ms: 3_000,
            wait_ms: 0,
        },
        Case {
            name: "a group goes at once where the step is nearly due",
            completes_group: true,
            whole_groups: 12,
            age_ms: 6_300,
            wait_ms: 0,
        },
        Case {
            name: "single samples do not wait long then",
            completes_group: false,
            whole_groups: 12,
            age_ms: 8_000,
            wait_ms: 300,
        },
    ];
    for case in cases {
        let unwritten = Unwritten {
            completes_group: case.completes_group,
            whole_groups: case.whole_groups,
            target_groups: 18,
            age: Duration::from_millis(case.age_ms),
            due: Duration::from_millis(7_500),
        };
        assert_eq!(
            unwritten.wait(),
            Duration::from_millis(case.wait_ms),
            "{}",
            case.name
        );
    }
}

/// The groups of a step of twenty become whole one by one over 7 s. Written one by one
/// they took 20 calls of the store; the trainer got its last group no sooner by that.
#[test]
fn the_writes_of_a_step() {
    let mut writes = 0;
    let mut oldest: Option<u64> = None;
    for now_ms in (0..7_500).step_by(10) {
        let whole = now_ms / 350;
        if now_ms % 350 == 0 && whole > 0 {
            oldest.get_or_insert(now_ms as u64);
        }
        let unwritten = Unwritten {
            completes_group: true,
            whole_groups: whole,
            target_groups: 18,
            age: Duration::from_millis(now_ms as u64),
            due: Duration::from_millis(7_500),
        };
        let waited = oldest.map(|since| Duration::from_millis(now_ms as u64 - since));
        if waited.is_some_and(|waited| waited >= unwritten.wait()) {
            writes += 1;
            oldest = None;
        }
    }
    assert!(writes <= 10, "{writes} writes");
}
