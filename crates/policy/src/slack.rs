//! Orders the waiting samples of trainers' steps by slack: the time until the step is due minus
//! the expected remaining time of the sample. The least slack goes first.
//!
//! Steps of several trainers overlap, there are more samples than slots for a while, and half of
//! the length hints are wrong. If steps were served in order of arrival, short samples of an
//! earlier step would start before long ones of a later step, which then ends late.
//!
//! The expected remaining time follows from the hint and from the events generated so far.
//! Samples of one group start close together, so that groups complete one after another and
//! samples with wrong hints are not spread over all of them. Surplus groups (those that the
//! trainer need not wait for) are not chosen once by hints alone, but again as events arrive,
//! among the groups with a sample that has proved long.

use std::cmp::Reverse;
use std::time::Duration;

/// Assumed mean number of events per sample until one has ended: the mean of typical loads.
const INITIAL_MEAN_EVENTS: f64 = 21.0;

/// Assumed time per event until it has been measured.
const INITIAL_EVENT_TIME: Duration = Duration::from_millis(50);

/// Number of ended samples over which lengths are averaged: one to two steps.
const AVERAGED_SAMPLES: f64 = 256.0;

/// Share of the hints that is assumed to be right.
const HINT_TRUST: f64 = 0.5;

/// Minimum delay of late steps and surplus groups in the order; used if the due time is shorter
/// or not known.
const MIN_DELAY_MS: u64 = 5_000;

/// At equal expected remaining time, the last group of a step starts later than the first by
/// the due time divided by this. A wider spread would start long samples too late.
const GROUP_SPREAD_DIVISOR: u64 = 6;

/// A sample that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenSample {
    /// Index of its group within the step, in the trainer's order.
    pub group: usize,
    /// Length hint: the trainer's estimate of the answer length in tokens; 0 if there is none.
    pub expected_tokens: u32,
    /// Number of events generated so far.
    pub events_done: u32,
    /// Whether its text is complete and only its score is missing.
    pub is_text_complete: bool,
}

/// A step of a trainer that has not ended.
#[derive(Debug, Clone, Copy)]
pub struct OpenStep<'a> {
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time since acceptance.
    pub age: Duration,
    /// Age at which the step is due; zero if that is not known.
    pub due: Duration,
    /// Number of groups that the trainer waits for.
    pub target_groups: usize,
    /// Number of all groups, including those that have ended.
    pub groups: usize,
    /// Samples that have not ended.
    pub samples: &'a [OpenSample],
}

/// Rank of a sample among those that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampleRank {
    /// Latest start time in milliseconds since the Unix epoch; the lowest goes first.
    pub rank: u64,
    /// Expected remaining time.
    pub remaining: Duration,
    /// Whether the trainer need not wait for its group.
    pub is_surplus: bool,
}

/// Estimates the length of samples from their hints and from samples that have ended. All
/// fields are sums with exponentially decreasing weights.
#[derive(Debug, Clone, Copy, Default)]
pub struct LengthEstimator {
    samples: f64,
    events: f64,
    /// Hints, in tokens, of the samples that had one.
    hinted_tokens: f64,
    /// Events of the same samples.
    hinted_events: f64,
}

impl LengthEstimator {
    /// Records the hints of a new step, in tokens; 0 means no hint. The mean hint of the first
    /// step with hints is assumed to belong to a sample of mean length; later steps have no effect.
    pub fn record_step(&mut self, hints: impl Iterator<Item = u32>) {
        if self.samples > 0.0 && self.hinted_tokens > 0.0 {
            return;
        }
        let given = hints.filter(|hint| *hint > 0);
        let (count, sum) = given.fold((0.0, 0.0), |(count, sum), hint| {
            (count + 1.0, sum + f64::from(hint))
        });
        if self.samples == 0.0 {
            self.samples = AVERAGED_SAMPLES;
            self.events = AVERAGED_SAMPLES * INITIAL_MEAN_EVENTS;
        }
        if count > 0.0 {
            self.hinted_tokens = AVERAGED_SAMPLES * sum / count;
            self.hinted_events = AVERAGED_SAMPLES * self.mean_events();
        }
    }

    /// Records that a sample ended after `events` events; `expected_tokens` is its hint, or 0 if
    /// it had none.
    pub fn record_ended(&mut self, expected_tokens: u32, events: u32) {
        let kept = 1.0 - 1.0 / AVERAGED_SAMPLES;
        let events = f64::from(events);
        self.samples = self.samples * kept + 1.0;
        self.events = self.events * kept + events;
        if expected_tokens > 0 {
            self.hinted_tokens = self.hinted_tokens * kept + f64::from(expected_tokens);
            self.hinted_events = self.hinted_events * kept + events;
        }
    }

    /// Expected number of further events of a sample that has `events_done` events;
    /// `expected_tokens` is its hint, or 0 if it has none.
    #[must_use]
    pub fn remaining_events(&self, expected_tokens: u32, events_done: u32) -> f64 {
        let events_done = f64::from(events_done);
        // Lengths vary widely: the longer a sample has run, the longer it will still run.
        let unhinted = self.mean_events().max(events_done);
        let hinted = f64::from(expected_tokens) * self.events_per_token();
        if hinted <= events_done {
            return unhinted;
        }
        HINT_TRUST * (hinted - events_done) + (1.0 - HINT_TRUST) * unhinted
    }

    fn mean_events(&self) -> f64 {
        if self.samples > 0.0 {
            self.events / self.samples
        } else {
            INITIAL_MEAN_EVENTS
        }
    }

    fn events_per_token(&self) -> f64 {
        if self.hinted_tokens > 0.0 {
            self.hinted_events / self.hinted_tokens
        } else {
            0.0
        }
    }
}

/// Milliseconds until a sample must start for its step to end in time; negative if it is late.
#[must_use]
pub fn slack_ms(due: Duration, age: Duration, remaining: Duration) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    millis(due)
        .saturating_sub(millis(age))
        .saturating_sub(millis(remaining))
}

/// Ranks of a step's open samples, in the order of `step.samples`. `event` is the median time per
/// event; `None` if it is not known yet.
///
/// The rank is the latest time at which a sample must start. It does not advance while the sample
/// waits, so that newer steps overtake it only for a bounded time.
#[must_use]
pub fn rank_by_slack(
    step: &OpenStep<'_>,
    lengths: &LengthEstimator,
    event: Option<Duration>,
) -> Vec<SampleRank> {
    let event = event.unwrap_or(INITIAL_EVENT_TIME);
    let remaining_of = |sample: &OpenSample| {
        if sample.is_text_complete {
            return Duration::ZERO;
        }
        event.mul_f64(lengths.remaining_events(sample.expected_tokens, sample.events_done))
    };
    let remaining: Vec<Duration> = step.samples.iter().map(remaining_of).collect();
    let surplus = surplus_groups(step, &remaining, event, lengths.mean_events());
    let is_surplus = |sample: &OpenSample| surplus.binary_search(&sample.group).is_ok();
    let needed = step.samples.iter().zip(&remaining);
    let needed = needed.filter(|(sample, _)| !is_surplus(sample));
    let longest = needed.map(|(_, remaining)| *remaining).max();
    let is_late = is_too_late(step, longest.unwrap_or_default());
    let due_ms = step.due.as_millis() as u64;
    let base_delay_ms = due_ms.max(MIN_DELAY_MS);
    let rank_of = |(sample, remaining): (&OpenSample, &Duration)| {
        let is_surplus = is_surplus(sample);
        let delay_ms = match (is_surplus, is_late) {
            (true, _) => 2 * base_delay_ms,
            (false, true) => base_delay_ms,
            (false, false) => 0,
        };
        let spread_ms = base_delay_ms / GROUP_SPREAD_DIVISOR;
        let group_ms = spread_ms * sample.group as u64 / step.groups.max(1) as u64;
        let due_at_ms = step.accepted_ms + due_ms + delay_ms + group_ms;
        SampleRank {
            rank: due_at_ms.saturating_sub(remaining.as_millis() as u64),
            remaining: *remaining,
            is_surplus,
        }
    };
    step.samples.iter().zip(&remaining).map(rank_of).collect()
}

/// Whether the step is expected to take more than 1.5 times its due time. The extra half covers
/// errors of the estimate.
fn is_too_late(step: &OpenStep<'_>, longest: Duration) -> bool {
    !step.due.is_zero() && step.age + longest > step.due + step.due / 2
}

/// Surplus groups, ascending: as many as the step has beyond `target_groups`, with the longest
/// expected remaining time less the time already spent on them.
///
/// Only a group with a sample that has run for more than the mean length is chosen: half of the
/// hints are wrong, and a group delayed for its hints alone is missing when another group proves
/// long. Groups carried over from an earlier step have the lowest indices, are at most half of
/// `target_groups`, and are never surplus.
fn surplus_groups(
    step: &OpenStep<'_>,
    remaining: &[Duration],
    event: Duration,
    mean_events: f64,
) -> Vec<usize> {
    let first = step.target_groups.div_ceil(2);
    let mut open: Vec<GroupState> = Vec::new();
    for (sample, remaining) in step.samples.iter().zip(remaining) {
        if sample.group < first {
            continue;
        }
        let found = open.binary_search_by_key(&sample.group, |state| state.group);
        let at = found.unwrap_or_else(|at| {
            open.insert(at, GroupState::new(sample.group));
            at
        });
        open[at].longest = open[at].longest.max(*remaining);
        open[at].spent += event * sample.events_done;
        open[at].has_long_sample |= f64::from(sample.events_done) > mean_events;
    }
    open.retain(|state| state.has_long_sample);
    open.sort_by_key(|state| Reverse((state.longest.saturating_sub(state.spent), state.group)));
    open.truncate(step.groups.saturating_sub(step.target_groups));
    let mut groups: Vec<usize> = open.into_iter().map(|state| state.group).collect();
    groups.sort_unstable();
    groups
}

/// A group with open samples.
#[derive(Debug)]
struct GroupState {
    group: usize,
    /// Expected remaining time of its longest sample.
    longest: Duration,
    /// Time that engines have spent on its open samples.
    spent: Duration,
    /// Whether one of its open samples has more events than the mean.
    has_long_sample: bool,
}

impl GroupState {
    const fn new(group: usize) -> Self {
        Self {
            group,
            longest: Duration::ZERO,
            spent: Duration::ZERO,
            has_long_sample: false,
        }
    }
}
