//! Service time, estimated from work that ended.
//!
//! The length of an answer is not known beforehand, and engines slow down as their batch grows.
//! Without an estimate, work that cannot end in time is admitted, takes a slot from work that
//! could, and is answered after its caller has gone. The estimate is a moving mean of the time
//! per estimated token, to which both long and short work contribute.

use std::time::Duration;

use crate::work::Work;

/// Smoothing factor of the means. They average fifty pieces of work, a few seconds at the
/// smallest loads, so that one straggler changes them little.
const SMOOTHING: f64 = 0.02;

/// Number of answers from which the means are trusted.
const TRUSTED_AFTER_ANSWERS: u32 = 8;

/// Moving means of the time per estimated token and per piece of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTimeEstimate {
    us_per_token: f64,
    us_per_work: f64,
    count: u32,
}

impl ServiceTimeEstimate {
    /// Records that work of this estimated cost took this long.
    pub fn observe(&mut self, cost_tokens: u32, elapsed: Duration) {
        let us = elapsed.as_secs_f64() * 1e6;
        let us_per_token = us / f64::from(cost_tokens.max(1));
        self.count = self.count.saturating_add(1);
        let smoothing = SMOOTHING.max(1.0 / f64::from(self.count));
        self.us_per_token += (us_per_token - self.us_per_token) * smoothing;
        self.us_per_work += (us - self.us_per_work) * smoothing;
    }

    /// Whether enough work has ended to base refusals on the estimate.
    #[must_use]
    pub const fn is_trusted(&self) -> bool {
        self.count >= TRUSTED_AFTER_ANSWERS
    }

    /// Expected time of this work; zero while nothing is known.
    #[must_use]
    pub fn expected_time(&self, work: &Work) -> Duration {
        self.time_for_tokens(u64::from(work.cost_tokens.max(1)))
    }

    /// Expected time of this many estimated tokens, processed one after another.
    #[must_use]
    pub fn time_for_tokens(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.us_per_token / 1e6)
    }

    /// Mean time of one piece of work.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.us_per_work / 1e6)
    }
}
