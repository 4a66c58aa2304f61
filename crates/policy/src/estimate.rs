//! How long work takes, learnt from work that ended.
//!
//! **Load:** answers whose length no one knows beforehand, on engines that slow
//! down as their batch grows. **Without it:** work that cannot end in time is
//! let in, takes a slot from work that could, and is answered after its caller
//! has gone. **How:** a moving mean of time per estimated token, so that long
//! and short work teach the same figure.

use std::time::Duration;

use crate::work::Work;

/// Part that one ended work moves the mean: fifty works, a few seconds at the
/// smallest loads, so that one straggler moves it by little.
const STEP: f64 = 0.02;

/// Works before the mean is trusted.
const TRUSTED_AFTER: u32 = 8;

/// Time per estimated token, and per work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    us_per_token: f64,
    us_per_work: f64,
    seen: u32,
}

impl Estimate {
    /// Work of this estimated cost took this long.
    pub fn learn(&mut self, cost_tokens: u32, elapsed: Duration) {
        let us = elapsed.as_secs_f64() * 1e6;
        let us_per_token = us / f64::from(cost_tokens.max(1));
        self.seen = self.seen.saturating_add(1);
        let step = STEP.max(1.0 / f64::from(self.seen));
        self.us_per_token += (us_per_token - self.us_per_token) * step;
        self.us_per_work += (us - self.us_per_work) * step;
    }

    /// Enough was learnt to refuse work by it.
    #[must_use]
    pub const fn is_trusted(&self) -> bool {
        self.seen >= TRUSTED_AFTER
    }

    /// Expected time of a work; zero while nothing is known.
    #[must_use]
    pub fn service(&self, work: &Work) -> Duration {
        self.tokens(u64::from(work.cost_tokens.max(1)))
    }

    /// Expected time of so many estimated tokens, one after another.
    #[must_use]
    pub fn tokens(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.us_per_token / 1e6)
    }

    /// Mean time of a work.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.us_per_work / 1e6)
    }
}
