//! When samples that are done are written to the log of their step.

use std::time::Duration;

use firweir_policy::write_batching::UnwrittenResults;

struct Case {
    name: &'static str,
    completes_group: bool,
    complete_groups: usize,
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
            complete_groups: 3,
            age_ms: 1_500,
            wait_ms: 1_000,
        },
        Case {
            name: "single samples wait too",
            completes_group: false,
            complete_groups: 0,
            age_ms: 500,
            wait_ms: 1_000,
        },
        Case {
            name: "the last group that is waited for goes at once",
            completes_group: true,
            complete_groups: 18,
            age_ms: 3_000,
            wait_ms: 0,
        },
        Case {
            name: "what is whole shortly before the step is due is there as it is due",
            completes_group: true,
            complete_groups: 12,
            age_ms: 6_300,
            wait_ms: 1_000,
        },
        Case {
            name: "a group that is later goes at once",
            completes_group: true,
            complete_groups: 12,
            age_ms: 7_400,
            wait_ms: 0,
        },
        Case {
            name: "single samples make no trainer go on",
            completes_group: false,
            complete_groups: 12,
            age_ms: 8_000,
            wait_ms: 1_000,
        },
    ];
    for case in cases {
        let unwritten = UnwrittenResults {
            completes_group: case.completes_group,
            complete_groups: case.complete_groups,
            target_groups: 18,
            age: Duration::from_millis(case.age_ms),
            due: Duration::from_millis(7_500),
        };
        assert_eq!(
            unwritten.write_delay(),
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
        let unwritten = UnwrittenResults {
            completes_group: true,
            complete_groups: whole,
            target_groups: 18,
            age: Duration::from_millis(oldest.unwrap_or(now_ms as u64)),
            due: Duration::from_millis(7_500),
        };
        let waited = oldest.map(|since| Duration::from_millis(now_ms as u64 - since));
        if waited.is_some_and(|waited| waited >= unwritten.write_delay()) {
            writes += 1;
            oldest = None;
        }
    }
    assert!(writes <= 10, "{writes} writes");
}

/// A trainer asks each half second, and its question is kept waiting for a second while
/// there is nothing.
const ASKS_EVERY_MS: u64 = 500;

const KEPT_WAITING_MS: u64 = 1_000;

/// When a trainer has all of `needed` samples, of which `listed` tells the times of the
/// writes: sorted, with the number of samples that are listed then.
fn goes_on_ms(listed: &[(u64, usize)], needed: usize) -> u64 {
    let mut asked = 0;
    let mut read = 0;
    loop {
        let news = listed.iter().find(|(_, count)| *count > read);
        let (at, _) = *news.expect("all samples are listed");
        let answered = at.clamp(asked, asked + KEPT_WAITING_MS);
        let there = listed.iter().filter(|(at, _)| *at <= answered);
        read = there.map(|(_, count)| *count).max().unwrap_or(read);
        let next = answered.max(asked + ASKS_EVERY_MS);
        if read >= needed {
            return next;
        }
        asked = next;
    }
}

/// Guards against a last group that is written after its trainer has asked in vain.
#[test]
fn a_trainer_has_its_last_group_soon() {
    let mut late_ms = 0;
    let steps = 40;
    for step in 0..steps {
        // Samples that make nothing whole end every 150 ms, the last group that is waited
        // for some time after 6 s.
        let whole_ms = 6_000 + step * 30;
        let mut listed = Vec::new();
        let mut oldest: Option<u64> = None;
        let mut done = 0;
        for now_ms in (0..=whole_ms).step_by(10) {
            if now_ms % 150 == 0 || now_ms == whole_ms {
                done += 1;
                oldest.get_or_insert(now_ms);
            }
            let Some(since) = oldest else {
                continue;
            };
            let is_whole = now_ms == whole_ms;
            let unwritten = UnwrittenResults {
                completes_group: is_whole,
                complete_groups: if is_whole { 18 } else { 17 },
                target_groups: 18,
                age: Duration::from_millis(since),
                due: Duration::from_millis(7_500),
            };
            if Duration::from_millis(now_ms - since) >= unwritten.write_delay() {
                listed.push((now_ms, done));
                oldest = None;
            }
        }
        late_ms += goes_on_ms(&listed, done) - whole_ms;
    }
    let mean_ms = late_ms / steps;
    // What a trainer loses to its own questions where nothing is held for them.
    assert!(mean_ms <= ASKS_EVERY_MS / 2, "{mean_ms} ms");
}
