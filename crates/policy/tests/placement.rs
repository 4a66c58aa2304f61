//! Placement of samples: start order, moves and paused engines.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::placement::EngineState;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::Placement;
use firweir_policy::placement::RunOutcome;
use firweir_policy::placement::SampleKey;
use firweir_policy::placement::SampleRequest;
use firweir_policy::work::UpstreamKey;

const MODEL: ModelKey = ModelKey(0);

fn engine(key: u32, slots: u32, memory_tokens: u64, version: u64) -> EngineState {
    EngineState {
        key: UpstreamKey(key),
        slots,
        memory_tokens,
        model: Some(MODEL),
        versions: vec![(MODEL, version)],
    }
}

fn new_sample(key: u64, peak_tokens: u32, min_version: u64, rank: u64) -> SampleRequest {
    SampleRequest {
        key: SampleKey(key),
        group: key,
        model: MODEL,
        min_version,
        peak_tokens,
        rank,
        events_done: 0,
    }
}

fn started(placement: &mut Placement, now: Instant) -> Vec<(u64, u32)> {
    let mut started = Vec::new();
    while let Some((sample, engine)) = placement.next(now) {
        started.push((sample.0, engine.0));
    }
    started
}

struct Case {
    name: &'static str,
    engines: Vec<EngineState>,
    samples: Vec<SampleRequest>,
    /// Keys of the samples that start, in order.
    expected: &'static [u64],
}

#[test]
fn samples_start_by_rank_where_memory_and_weights_suffice() {
    let cases = [
        Case {
            name: "all slots busy: the lowest ranks start",
            engines: vec![engine(0, 2, 9_000, 1), engine(1, 1, 9_000, 1)],
            samples: (0..5).map(|key| new_sample(key, 10, 1, 10 - key)).collect(),
            expected: &[4, 3, 2],
        },
        Case {
            name: "memory: a sample that does not fit does not block a smaller one",
            engines: vec![engine(0, 4, 1_000, 1)],
            samples: vec![
                new_sample(0, 800, 1, 0),
                new_sample(1, 800, 1, 1),
                new_sample(2, 100, 1, 2),
            ],
            expected: &[0, 2],
        },
        Case {
            name: "a sample larger than any memory is admitted alone",
            engines: vec![engine(0, 4, 1_000, 1)],
            samples: vec![new_sample(0, 5_000, 1, 0), new_sample(1, 10, 1, 1)],
            expected: &[0],
        },
        Case {
            name: "weights: a sample waits for an engine with its minimum version",
            engines: vec![engine(0, 4, 9_000, 1), engine(1, 1, 9_000, 2)],
            samples: vec![
                new_sample(0, 10, 2, 0),
                new_sample(1, 10, 2, 1),
                new_sample(2, 10, 1, 2),
            ],
            expected: &[0, 2],
        },
    ];
    for case in cases {
        let mut placement = Placement::default();
        placement.set_engines(case.engines);
        case.samples
            .into_iter()
            .for_each(|sample| placement.enqueue(sample));
        let started = started(&mut placement, Instant::now());
        let keys: Vec<u64> = started.iter().map(|(key, _)| *key).collect();
        assert_eq!(keys, case.expected, "{}", case.name);
    }
}

/// Records events of samples for a while, each sample with its own gap in milliseconds.
fn record_events(placement: &mut Placement, from: Instant, gaps_ms: &[(u64, u64)], until_ms: u64) {
    for at_ms in 0..until_ms {
        for (key, gap_ms) in gaps_ms {
            if at_ms % gap_ms == 0 {
                placement.record_event(from + Duration::from_millis(at_ms), SampleKey(*key));
            }
        }
    }
}

/// Guards against a step that waits seconds for its last samples: they ran on an engine three times
/// slower than the others, which were idle.
#[test]
fn a_long_sample_leaves_a_slow_engine_once_another_has_room() {
    let now = Instant::now();
    let mut placement = Placement::default();
    placement.set_engines((0..3).map(|key| engine(key, 1, 9_000, 1)).collect());
    (0..3).for_each(|key| placement.enqueue(new_sample(key, 10, 1, key)));
    assert_eq!(started(&mut placement, now).len(), 3);
    record_events(&mut placement, now, &[(0, 40), (1, 40), (2, 120)], 1_000);
    let later = now + Duration::from_secs(1);
    assert_eq!(placement.moves(later), [], "no engine has a free slot");
    placement.finish(later, SampleKey(0), RunOutcome::Done);
    assert_eq!(placement.moves(later), [SampleKey(2)]);
    assert_eq!(placement.moves(later), [], "returned once");
    placement.enqueue(new_sample(9, 10, 1, 9));
    assert_eq!(
        placement.moves(later),
        [],
        "waiting samples get free slots first"
    );
}

/// Guards against moving samples back and forth between engines whose estimates differ by a quarter
/// by chance. This caused 6,291 moves in a day, each with a new connection and the prompt processed
/// again.
#[test]
fn a_sample_stays_if_another_engine_is_only_slightly_faster() {
    let now = Instant::now();
    let mut placement = Placement::default();
    placement.set_engines((0..2).map(|key| engine(key, 2, 9_000, 1)).collect());
    (0..2).for_each(|key| placement.enqueue(new_sample(key, 10, 1, key)));
    started(&mut placement, now);
    record_events(&mut placement, now, &[(0, 40), (1, 50)], 3_000);
    assert_eq!(placement.moves(now + Duration::from_secs(3)), []);
}

/// Guards against samples that stay for seconds on an engine that stopped sending events.
#[test]
fn a_sample_leaves_an_engine_that_is_silent() {
    let now = Instant::now();
    let mut placement = Placement::default();
    placement.set_engines((0..2).map(|key| engine(key, 4, 9_000, 1)).collect());
    placement.enqueue(new_sample(0, 10, 1, 0));
    let (_, silent_engine) = placement.next(now).expect("an engine has a free slot");
    record_events(&mut placement, now, &[(0, 40)], 400);
    let soon = now + Duration::from_millis(500);
    assert_eq!(placement.moves(soon), [], "a short gap is not silence");
    let later = now + Duration::from_secs(1);
    assert_eq!(placement.moves(later), [SampleKey(0)]);
    placement.finish(later, SampleKey(0), RunOutcome::Cancelled);
    placement.enqueue(new_sample(0, 10, 1, 0));
    let (_, other) = placement.next(later).expect("an engine has a free slot");
    assert_ne!(other, silent_engine, "the silent engine is paused");
}

/// Guards against every waiting sample trying, in turn, an engine that is loading weights.
#[test]
fn an_engine_that_refuses_is_paused() {
    let now = Instant::now();
    let mut placement = Placement::default();
    placement.set_engines(vec![engine(0, 4, 9_000, 1)]);
    (0..2).for_each(|key| placement.enqueue(new_sample(key, 10, 1, key)));
    let (first, _) = placement.next(now).expect("an engine has a free slot");
    placement.finish(now, first, RunOutcome::Refused);
    assert_eq!(placement.next(now), None);
    let retry_at = placement.next_retry_at(now).expect("a paused engine");
    assert!(placement.next(retry_at).is_some());
}

/// Guards against moving samples endlessly on slow engines. With one event every three seconds, a
/// sample counted as silent after 0.3 s, moved to the next engine, and never got its second event.
#[test]
fn samples_of_a_slow_fleet_are_left_where_they_are() {
    let now = Instant::now();
    let after = |ms: u64| now + Duration::from_millis(ms);
    let mut placement = Placement::default();
    placement.set_engines((0..3).map(|key| engine(key, 2, 9_000, 1)).collect());
    (0..2).for_each(|key| placement.enqueue(new_sample(key, 10, 1, key)));
    assert_eq!(started(&mut placement, now).len(), 2);
    let first_timeout = placement.event_timeout(0);
    assert!(
        placement.event_timeout(2) > first_timeout,
        "grows with each silent engine"
    );
    (0..2).for_each(|key| placement.record_event(after(100), SampleKey(key)));
    assert_eq!(
        placement.moves(after(2_900)),
        [],
        "the event time is not known yet"
    );
    for at_ms in [3_100, 6_100, 9_100] {
        (0..2).for_each(|key| placement.record_event(after(at_ms), SampleKey(key)));
    }
    assert!(placement.event_timeout(0) > Duration::from_secs(60));
    placement.record_event(after(12_100), SampleKey(0));
    assert_eq!(placement.moves(after(14_000)), [], "a normal gap");
    for at_ms in (15_100..=30_100).step_by(3_000) {
        placement.record_event(after(at_ms), SampleKey(0));
    }
    assert_eq!(
        placement.moves(after(30_100)),
        [SampleKey(1)],
        "seven normal gaps"
    );
}

/// Engines with different slots, weights and free memory, and samples of three speeds that run or
/// wait.
fn mixed_pool(now: Instant) -> Placement {
    let mut placement = Placement::default();
    let engines = (0..40).map(|key| engine(key, 1 + key % 4, 900, u64::from(key % 3)));
    placement.set_engines(engines.collect());
    for key in 0..30 {
        placement.enqueue(new_sample(key, 100, u64::from(key as u32 % 2), key));
        // Some find no engine with their weights, and wait.
        let _placed = placement.next(now);
    }
    for event in 1..4 {
        for key in 0..30 {
            let event_at = Duration::from_millis(event * (30 + key % 3 * 20));
            placement.record_event(now + event_at, SampleKey(key));
        }
    }
    placement
}

/// Guards against a ranking for many waiting samples that places them differently than one by one.
#[test]
fn ranking_places_samples_as_one_by_one() {
    let now = Instant::now();
    let later = now + Duration::from_millis(300);
    let grouped_sample = |key: u64| SampleRequest {
        group: key % 7,
        ..new_sample(key, 40 + key as u32 % 5 * 90, key % 3, key)
    };
    let mut together = mixed_pool(now);
    (100..160).for_each(|key| together.enqueue(grouped_sample(key)));
    let mut alone = mixed_pool(now);
    let mut expected = Vec::new();
    for key in 100..160 {
        alone.enqueue(grouped_sample(key));
        match alone.next(later) {
            Some((sample, engine)) => expected.push((sample.0, engine.0)),
            None => alone.cancel(|waiting| waiting == SampleKey(key)),
        }
    }
    assert!(expected.len() >= 20, "{expected:?}");
    assert_eq!(started(&mut together, later), expected);
}

/// Guards against losing a sample that stays on an engine until the platform reclaims it.
#[test]
fn samples_leave_a_reclaimed_engine_as_far_as_others_have_room() {
    let now = Instant::now();
    let mut placement = Placement::default();
    placement.set_engines(vec![engine(0, 2, 9_000, 1)]);
    (0..2).for_each(|key| placement.enqueue(new_sample(key, 10, 1, key)));
    assert_eq!(started(&mut placement, now).len(), 2);
    placement.set_engines(vec![engine(1, 1, 9_000, 1)]);
    let leaving = [UpstreamKey(0)];
    assert_eq!(placement.moves_from(now, &leaving), [SampleKey(0)]);
    placement.finish(now, SampleKey(0), RunOutcome::Cancelled);
    placement.enqueue(new_sample(0, 10, 1, 0));
    assert_eq!(started(&mut placement, now), [(0, 1)]);
    assert_eq!(
        placement.moves_from(now, &leaving),
        [],
        "no free slot is left"
    );
}
