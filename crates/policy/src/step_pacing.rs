//! Decides when a feed starts to generate the samples of its next step.
//!
//! A trainer trains on one lot (the batch of samples of one step) while the next one is generated,
//! and publishes new weights when it is done. If generation started as soon as there is room, a
//! step that takes less time than the training would be generated entirely with weights that are
//! replaced before the trainer takes the lot: every sample would be one version old, and engines
//! would be busy early without need, at the cost of live callers. A later start makes samples
//! fresher, but at some point leaves the trainer idle without a lot. The staleness weight of the
//! feed (a setting, in percent) balances the two: the higher it is, the later generation starts.

use std::time::Duration;
use std::time::Instant;

/// How long before the trainer needs a step its generation starts, in mean step durations, for a
/// staleness weight just above 0 percent. A step in which an engine crashes takes about this long.
const MAX_LEAD: f64 = 1.5;

/// The same for a staleness weight just below 100 percent: no time to spare. A later start would
/// leave the trainer idle without making samples fresher, as the engines have no newer weights yet.
const MIN_LEAD: f64 = 1.0;

/// Weight of the newest duration, for a mean over about four steps.
const NEWEST_WEIGHT: f64 = 0.25;

/// Maximum wait for new weights, as a multiple of the mean training time. It ends the wait if the
/// trainer does not publish weights after each lot, publishes late, or an engine does not load
/// them.
const MAX_WEIGHTS_WAIT: f64 = 1.25;

/// Measures how long steps and training take, and computes when the next step starts.
#[derive(Debug, Default)]
pub struct StepPacer {
    /// When the trainer accepted its last lot.
    accepted_at: Option<Instant>,
    /// Whether weights were published since then.
    is_published: bool,
    /// Whether every engine serves these weights.
    is_served_by_all: bool,
    /// Mean time from the acceptance of a lot to the publication of weights.
    mean_train_s: Option<f64>,
    /// Mean time to generate a step.
    mean_step_s: Option<f64>,
}

impl StepPacer {
    /// Records that the trainer accepted a lot and now trains on it.
    pub fn record_step_accepted(&mut self, now: Instant) {
        self.accepted_at = Some(now);
        self.is_published = false;
        self.is_served_by_all = false;
    }

    /// Records that the trainer published weights.
    pub fn record_version_published(&mut self, now: Instant) {
        if let Some(accepted_at) = self.accepted_at.filter(|_| !self.is_published) {
            let train_s = now.saturating_duration_since(accepted_at).as_secs_f64();
            self.mean_train_s = Some(moving_average(self.mean_train_s, train_s));
        }
        self.is_published = true;
        self.is_served_by_all = false;
    }

    /// Records that every engine serves the newest weights.
    pub fn record_weights_served(&mut self) {
        self.is_served_by_all = self.is_published;
    }

    /// Records how long it took to generate a whole step.
    pub fn record_step_generated(&mut self, took: Duration) {
        self.mean_step_s = Some(moving_average(self.mean_step_s, took.as_secs_f64()));
    }

    /// Time until the next step starts. With a staleness weight of 0 percent it starts at once;
    /// with 100 it waits until every engine serves new weights. In between it starts so that it is
    /// complete when the trainer needs it, with less time to spare the higher the weight is.
    #[must_use]
    pub fn start_delay(&self, staleness_weight_percent: u32, now: Instant) -> Duration {
        let (Some(accepted_at), Some(train_s), Some(step_s)) =
            (self.accepted_at, self.mean_train_s, self.mean_step_s)
        else {
            return Duration::ZERO;
        };
        let awaits_weights = staleness_weight_percent >= 100;
        let is_over = if awaits_weights {
            self.is_served_by_all
        } else {
            self.is_published
        };
        if staleness_weight_percent == 0 || is_over {
            return Duration::ZERO;
        }
        let weight = f64::from(staleness_weight_percent) / 100.0;
        let lead = MAX_LEAD - (MAX_LEAD - MIN_LEAD) * weight;
        let start_s = if awaits_weights {
            train_s * MAX_WEIGHTS_WAIT
        } else {
            (train_s - step_s * lead).max(0.0)
        };
        let start_at = accepted_at + Duration::from_secs_f64(start_s);
        start_at.saturating_duration_since(now)
    }
}

fn moving_average(mean: Option<f64>, newest: f64) -> f64 {
    mean.map_or(newest, |mean| mean + NEWEST_WEIGHT * (newest - mean))
}
