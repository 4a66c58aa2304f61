//! When a feed starts to draft its next step.
//!
//! **Load:** a trainer that trains on one lot while the next is drafted, and
//! publishes new weights when it is through. **Without it:** drafting starts as
//! soon as there is room, and a step that takes less time than the training is
//! drafted whole with weights that are replaced before the lot is taken: every
//! sample is a version old, and engines that live callers could have used were
//! busy early for nothing. Starting later makes samples fresher, and at some
//! point leaves the trainer without a lot. One weight says which counts more.

use std::time::Duration;
use std::time::Instant;

/// At the least weight above none a step starts this many of its usual times
/// before the trainer needs it: what one with a crash in it takes.
const LEAD_MOST: f64 = 1.5;

/// At the largest weight below all it starts with no time to spare. Starting
/// later than that leaves the trainer idle and makes no sample fresher, as long
/// as the engines have no newer weights.
const LEAD_LEAST: f64 = 1.0;

/// Weight of the newest time in an estimate: about four steps make it.
const NEWEST_WEIGHT: f64 = 0.25;

/// Where weights are published later than usual or an engine does not take them, a
/// start that was to wait for them waits this many usual times at most: a trainer
/// may not publish after each lot.
const WAIT_MOST: f64 = 1.25;

/// Learns how long steps and trainings take, and says when the next step starts.
#[derive(Debug, Default)]
pub struct Pace {
    accepted: Option<Instant>,
    published: bool,
    /// Every engine serves what was published since.
    swapped: bool,
    train_s: Option<f64>,
    step_s: Option<f64>,
}

impl Pace {
    /// The trainer accepted a lot and now trains on it.
    pub fn accepted(&mut self, now: Instant) {
        self.accepted = Some(now);
        self.published = false;
        self.swapped = false;
    }

    /// The trainer published weights.
    pub fn published(&mut self, now: Instant) {
        if let Some(accepted) = self.accepted.filter(|_| !self.published) {
            let train_s = now.saturating_duration_since(accepted).as_secs_f64();
            self.train_s = Some(blend(self.train_s, train_s));
        }
        self.published = true;
        self.swapped = false;
    }

    /// Every engine serves the newest weights.
    pub fn swapped(&mut self) {
        self.swapped = self.published;
    }

    /// A step was drafted whole in this time.
    pub fn drafted(&mut self, step: Duration) {
        self.step_s = Some(blend(self.step_s, step.as_secs_f64()));
    }

    /// How long the next step is to wait yet. At a weight of 0 percent it starts
    /// at once, at 100 it waits until every engine has new weights; between, it
    /// starts so that it is whole when the trainer needs it, with the less time
    /// to spare the more staleness weighs.
    #[must_use]
    pub fn wait(&self, staleness_weight_percent: u32, now: Instant) -> Duration {
        let (Some(accepted), Some(train_s), Some(step_s)) =
            (self.accepted, self.train_s, self.step_s)
        else {
            return Duration::ZERO;
        };
        let for_weights = staleness_weight_percent >= 100;
        let is_time = if for_weights {
            self.swapped
        } else {
            self.published
        };
        if staleness_weight_percent == 0 || is_time {
            return Duration::ZERO;
        }
        let weight = f64::from(staleness_weight_percent) / 100.0;
        let lead = LEAD_MOST - (LEAD_MOST - LEAD_LEAST) * weight;
        let start_s = if for_weights {
            train_s * WAIT_MOST
        } else {
            (train_s - step_s * lead).max(0.0)
        };
        let start = accepted + Duration::from_secs_f64(start_s);
        start.saturating_duration_since(now)
    }
}

fn blend(old: Option<f64>, newest: f64) -> f64 {
    old.map_or(newest, |old| old + NEWEST_WEIGHT * (newest - old))
}
