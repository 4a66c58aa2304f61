//! Order of waiting samples by slack.

use std::time::Duration;

use firweir_policy::slack::LengthEstimator;
use firweir_policy::slack::OpenSample;
use firweir_policy::slack::OpenStep;
use firweir_policy::slack::rank_by_slack;

const DUE: Duration = Duration::from_millis(7_500);
const EVENT: Duration = Duration::from_micros(49_700);

fn open(group: usize, expected_tokens: u32, events_done: u32) -> OpenSample {
    OpenSample {
        group,
        expected_tokens,
        events_done,
        is_text_complete: false,
    }
}

fn open_step(samples: &[OpenSample], accepted_ms: u64, age_ms: u64) -> OpenStep<'_> {
    OpenStep {
        accepted_ms,
        age: Duration::from_millis(age_ms),
        due: DUE,
        target_groups: 3,
        groups: 4,
        samples,
    }
}

fn lengths() -> LengthEstimator {
    let mut lengths = LengthEstimator::default();
    lengths.record_step([21 * 16].into_iter());
    lengths
}

fn ranks_in(step: &OpenStep<'_>) -> Vec<u64> {
    let ranks = rank_by_slack(step, &lengths(), Some(EVENT));
    ranks.into_iter().map(|sample| sample.rank).collect()
}

/// Guards against starting a short sample of an earlier step before a long one of a later step.
#[test]
fn least_slack_first_across_steps() {
    let early = ranks_in(&open_step(&[open(0, 5 * 16, 0)], 10_000, 500));
    let late = ranks_in(&open_step(&[open(0, 150 * 16, 0)], 10_500, 0));
    assert!(late[0] < early[0]);
}

/// Guards against taking a sample that is longer than its hint for nearly complete.
#[test]
fn a_sample_past_its_hint_is_long() {
    let lengths = lengths();
    let short = lengths.remaining_events(10 * 16, 0);
    assert!(lengths.remaining_events(10 * 16, 60) > 2.0 * short);
}

/// Guards against choosing the surplus group once, when the step arrives: the group that proves
/// long goes behind a newer step, whichever group the hints named.
#[test]
fn surplus_follows_events() {
    let hinted = [open(2, 16, 0), open(3, 150 * 16, 0)];
    let proved = [open(2, 16, 60), open(2, 16, 0), open(3, 150 * 16, 0)];
    let newer = ranks_in(&open_step(&[open(0, 16, 0)], 14_000, 0))[0];
    assert!(ranks_in(&open_step(&hinted, 10_000, 0))[1] < newer);
    let ranks = ranks_in(&open_step(&proved, 10_000, 3_000));
    assert!(ranks[1] > newer, "a surplus group goes behind");
    assert!(ranks[2] < newer, "a needed group goes before");
}

/// Guards against delaying a group that was carried over from an earlier step.
#[test]
fn a_group_carried_over_is_never_surplus() {
    let samples = [open(0, 16, 100), open(0, 16, 0)];
    let ranks = rank_by_slack(&open_step(&samples, 0, 1_000), &lengths(), Some(EVENT));
    assert!(ranks.iter().all(|sample| !sample.is_surplus));
}

/// Guards against a step that is too late taking slots from one that can end in time.
#[test]
fn a_step_that_is_too_late_goes_behind() {
    let late = ranks_in(&open_step(&[open(0, 16, 0)], 10_000, 11_500))[0];
    let newer = ranks_in(&open_step(&[open(0, 16, 0)], 16_000, 5_500))[0];
    assert!(newer < late);
}

/// Guards against starvation: a surplus group of a step that is too late goes before steps that
/// arrive long after it.
#[test]
fn surplus_groups_are_delayed_for_a_bounded_time() {
    let samples = [open(3, 16, 60), open(3, 16, 0)];
    let surplus = ranks_in(&open_step(&samples, 10_000, 20_000))[1];
    let newer = ranks_in(&open_step(&[open(0, 150 * 16, 0)], 35_000, 0))[0];
    assert!(surplus < newer);
}

/// Guards against a division by zero or an undefined order without hints and due time.
#[test]
fn without_hints_or_due_time_older_steps_go_first() {
    let mut lengths = LengthEstimator::default();
    lengths.record_step([0, 0].into_iter());
    let rank = |accepted_ms| {
        let samples = [open(0, 0, 0)];
        let mut step = open_step(&samples, accepted_ms, 0);
        step.due = Duration::ZERO;
        rank_by_slack(&step, &lengths, None)[0].rank
    };
    assert!(rank(10_000) < rank(11_000));
}

/// Guards against samples without a hint that increase the number of events per hinted token until
/// it overflows.
#[test]
fn samples_without_a_hint_do_not_change_the_events_per_token() {
    let mut lengths = lengths();
    let before = lengths.remaining_events(1_000, 0);
    for _ in 0..200_000 {
        lengths.record_ended(0, 21);
    }
    let samples = [open(0, 0, 0), open(1, 1_000, 0)];
    let ranks = rank_by_slack(&open_step(&samples, 0, 0), &lengths, Some(EVENT));
    assert!(ranks.iter().all(|sample| sample.remaining < DUE));
    assert!((lengths.remaining_events(1_000, 0) - before).abs() < 1.0);
}

/// Guards against overestimating the hinted lengths because samples without a hint lower the mean
/// of the hints.
#[test]
fn only_hints_count_in_the_mean_of_hints() {
    let mut mixed = LengthEstimator::default();
    mixed.record_step([0, 21 * 16, 0].into_iter());
    let hinted = lengths().remaining_events(21 * 16, 0);
    assert!((mixed.remaining_events(21 * 16, 0) - hinted).abs() < 0.01);
}
