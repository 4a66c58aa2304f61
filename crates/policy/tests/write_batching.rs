//! Batching of the writes of finished samples to the log of their step.

use std::time::Duration;

use firweir_policy::write_batching::UnwrittenResults;

struct Case {
    name: &'static str,
    completes_group: bool,
    complete_groups: usize,
    age_ms: u64,
    wait_ms: u64,
}

/// Guards against writes of single groups that the trainer does not wait for yet. It waits for 18
/// of 20 groups of a step that is due in 7.5 s.
#[test]
fn only_what_a_trainer_waits_for_is_written_at_once() {
    let cases = [
        Case {
            name: "an early group is delayed",
            completes_group: true,
            complete_groups: 3,
            age_ms: 1_500,
            wait_ms: 1_000,
        },
        Case {
            name: "single samples are delayed",
            completes_group: false,
            complete_groups: 0,
            age_ms: 500,
            wait_ms: 1_000,
        },
        Case {
            name: "the last group that the trainer waits for is written at once",
            completes_group: true,
            complete_groups: 18,
            age_ms: 3_000,
            wait_ms: 0,
        },
        Case {
            name: "groups complete shortly before the due time are written by then",
            completes_group: true,
            complete_groups: 12,
            age_ms: 6_300,
            wait_ms: 1_000,
        },
        Case {
            name: "a group complete just before the due time is written at once",
            completes_group: true,
            complete_groups: 12,
            age_ms: 7_400,
            wait_ms: 0,
        },
        Case {
            name: "late single samples are delayed",
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

/// Guards against a write for each group: the 20 groups of a step are completed one by one over
/// 7 s. Separate writes took 20 calls to the store, and the trainer did not get its last group any
/// sooner.
#[test]
fn groups_share_writes() {
    let mut writes = 0;
    let mut oldest_ms: Option<u64> = None;
    for now_ms in (0..7_500).step_by(10) {
        let complete_groups = now_ms / 350;
        if now_ms % 350 == 0 && complete_groups > 0 {
            oldest_ms.get_or_insert(now_ms as u64);
        }
        let unwritten = UnwrittenResults {
            completes_group: true,
            complete_groups,
            target_groups: 18,
            age: Duration::from_millis(oldest_ms.unwrap_or(now_ms as u64)),
            due: Duration::from_millis(7_500),
        };
        let waited = oldest_ms.map(|since_ms| Duration::from_millis(now_ms as u64 - since_ms));
        if waited.is_some_and(|waited| waited >= unwritten.write_delay()) {
            writes += 1;
            oldest_ms = None;
        }
    }
    assert!(writes <= 10, "{writes} writes");
}

/// Interval at which a trainer polls.
const POLL_INTERVAL_MS: u64 = 500;

/// Maximum time for which a poll blocks while there are no new results.
const MAX_POLL_WAIT_MS: u64 = 1_000;

/// Time at which a trainer continues with all of `needed` samples. `writes` holds the time of each
/// write and the number of samples written by then, sorted by time.
fn continues_ms(writes: &[(u64, usize)], needed: usize) -> u64 {
    let mut polled_ms = 0;
    let mut read = 0;
    loop {
        let first_new = writes.iter().find(|(_, count)| *count > read);
        let (write_ms, _) = *first_new.expect("all samples are written");
        let answered_ms = write_ms.clamp(polled_ms, polled_ms + MAX_POLL_WAIT_MS);
        let readable = writes
            .iter()
            .filter(|(write_ms, _)| *write_ms <= answered_ms);
        read = readable.map(|(_, count)| *count).max().unwrap_or(read);
        let next_ms = answered_ms.max(polled_ms + POLL_INTERVAL_MS);
        if read >= needed {
            return next_ms;
        }
        polled_ms = next_ms;
    }
}

/// Guards against a last group that is written just after a poll of its trainer was answered
/// without it.
#[test]
fn a_trainer_has_its_last_group_soon() {
    let mut late_ms = 0;
    let steps = 40;
    for step in 0..steps {
        // Samples that complete no group end every 150 ms; the last group that the trainer waits
        // for is complete some time after 6 s.
        let complete_ms = 6_000 + step * 30;
        let mut writes = Vec::new();
        let mut oldest_ms: Option<u64> = None;
        let mut finished = 0;
        for now_ms in (0..=complete_ms).step_by(10) {
            if now_ms % 150 == 0 || now_ms == complete_ms {
                finished += 1;
                oldest_ms.get_or_insert(now_ms);
            }
            let Some(since_ms) = oldest_ms else {
                continue;
            };
            let is_complete = now_ms == complete_ms;
            let unwritten = UnwrittenResults {
                completes_group: is_complete,
                complete_groups: if is_complete { 18 } else { 17 },
                target_groups: 18,
                age: Duration::from_millis(since_ms),
                due: Duration::from_millis(7_500),
            };
            if Duration::from_millis(now_ms - since_ms) >= unwritten.write_delay() {
                writes.push((now_ms, finished));
                oldest_ms = None;
            }
        }
        late_ms += continues_ms(&writes, finished) - complete_ms;
    }
    let mean_ms = late_ms / steps;
    // Mean delay caused by the poll interval alone.
    assert!(mean_ms <= POLL_INTERVAL_MS / 2, "{mean_ms} ms");
}
