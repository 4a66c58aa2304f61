//! Slots that work of lower precedence leaves free for work of higher precedence.
//!
//! Training has unlimited demand and samples that run for many seconds, while live calls arrive
//! in bursts; likewise, long live answers run beside short ones. Without a reserve, lower work
//! takes every slot that becomes free, and a live call waits for a sample to end. A fixed
//! reserve is too large at night and too small in a burst. The reserve therefore follows the
//! mean concurrency of the higher work, plus a margin for its variation that grows with the
//! time for which lower work holds its slots.

/// Smoothing factor of the mean per tick; it averages about three seconds. A faster mean would
/// follow the peaks of ordinary variation, which [`DEVIATIONS`] already covers.
const SMOOTHING: f64 = 0.03;

/// Standard deviations to reserve if no slot becomes free soon. The standard deviation of the
/// concurrency of independent calls is the square root of its mean; 1.5 of them cover nine
/// observations out of ten.
const DEVIATIONS: f64 = 1.5;

/// Wait for a slot, in service times of the waiting work, from which all [`DEVIATIONS`] are
/// reserved. The margin is proportionally smaller for a shorter wait.
const LONG_WAIT_SERVICE_TIMES: f64 = 0.5;

/// Moving mean of the concurrency of one kind of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reserve {
    mean: f64,
}

impl Reserve {
    /// Records how much work runs and waits; called once per tick.
    pub fn observe(&mut self, running_and_waiting: u32) {
        let seen = f64::from(running_and_waiting);
        self.mean += (seen - self.mean) * SMOOTHING;
    }

    /// Mean concurrency of this work, in slots.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Slots to reserve for this work, including those that it uses, if lower work frees its
    /// next slot after `wait` service times of this work.
    #[must_use]
    pub fn slots(&self, wait: f64) -> u32 {
        let deviations = DEVIATIONS * (wait / LONG_WAIT_SERVICE_TIMES).min(1.0);
        (self.mean + deviations * self.mean.sqrt()).round() as u32
    }
}
