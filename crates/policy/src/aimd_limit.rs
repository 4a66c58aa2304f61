//! Adapts the concurrency limit of upstreams: the fraction of the configured limit that may be
//! used.
//!
//! The time per token of an engine grows with its batch, and operators may have set the limit
//! for another model or other prompts. A batch as large as the limit then makes each live
//! answer late, although the queue is empty and nothing is refused. The limit is controlled by
//! the fraction of live answers that use up most of their time (additive increase,
//! multiplicative decrease).

use std::time::Duration;
use std::time::Instant;

/// An answer is nearly late if it takes more than this fraction of the time to its deadline.
const NEARLY_LATE_FRACTION: f64 = 0.8;

/// Fraction of nearly late answers above which the limit is cut: four times the fraction of
/// answers that may be late.
const MAX_NEARLY_LATE_FRACTION: f64 = 0.02;

/// Time between two adjustments. A cut takes effect after about one service time.
const ADJUST_INTERVAL: Duration = Duration::from_secs(2);

/// Number of answers that a cut needs. Fewer are carried over to the next adjustment.
const MIN_ANSWERS: u32 = 20;

/// Factor of a cut.
const DECREASE_FACTOR: f64 = 0.8;

/// Fraction of the configured limit that is added if few answers are nearly late.
const INCREASE_FRACTION: f64 = 0.03;

/// Smallest fraction of the configured limit. Live work alone has to fit into it.
const MIN_FRACTION: f64 = 0.2;

/// Fraction of the configured limit that may be used.
#[derive(Debug, Clone, Copy)]
pub struct AimdLimit {
    fraction: f64,
    answers: u32,
    nearly_late: u32,
    adjusted_at: Option<Instant>,
}

impl Default for AimdLimit {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            answers: 0,
            nearly_late: 0,
            adjusted_at: None,
        }
    }
}

impl AimdLimit {
    /// Records a live call that took `elapsed` and had `time_to_deadline` when it started.
    pub fn record_answer(&mut self, elapsed: Duration, time_to_deadline: Duration) {
        self.answers += 1;
        let late = elapsed.as_secs_f64() > time_to_deadline.as_secs_f64() * NEARLY_LATE_FRACTION;
        self.nearly_late += u32::from(late);
    }

    /// Adjusts the limit by the answers since the last adjustment, if it is due.
    pub fn tick(&mut self, now: Instant) {
        let adjusted_at = *self.adjusted_at.get_or_insert(now);
        if now.duration_since(adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = Some(now);
        let late = f64::from(self.nearly_late) > f64::from(self.answers) * MAX_NEARLY_LATE_FRACTION;
        if late && self.answers >= MIN_ANSWERS {
            self.fraction = (self.fraction * DECREASE_FACTOR).max(MIN_FRACTION);
        } else if !late {
            self.fraction = (self.fraction + INCREASE_FRACTION).min(1.0);
        }
        if !late || self.answers >= MIN_ANSWERS {
            self.answers = 0;
            self.nearly_late = 0;
        }
    }

    /// The limit that applies now, given the configured one.
    #[must_use]
    pub fn apply(&self, configured: f64) -> f64 {
        configured * self.fraction
    }
}
