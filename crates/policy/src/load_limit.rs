//! How many engines may load new weights at once.
//!
//! **Load:** trainers name a version every few seconds for a pool of any size, and the
//! weight store serves a few loads at once; how many, nothing tells. **Without it:** a part
//! of the pool loads at once, each load takes many times as long, and no engine has a
//! version before the step that needs it is due. **How:** loads
//! that take little longer than the quickest one let more run at once, loads that take much
//! longer fewer. Until a first one was slow the limit doubles in the time of a load, so that
//! the first versions of a large pool wait for a few loads, whatever its size.

use std::time::Duration;
use std::time::Instant;

/// Loads at once before any has ended: what a middling pool needs.
const AT_FIRST: f64 = 16.0;

/// Fewest loads at once. A load that is slow with so few tells that loads take longer now,
/// or that the quickest one was measured too short.
const LEAST: f64 = 2.0;

/// A load that takes this many times as long as the quickest one waited for others at the
/// weight store. One does not wait for less: that it has ended is known late.
const SLOW: f64 = 1.6;

/// A load within this many times the quickest one found the weight store free.
const QUICK: f64 = 1.35;

/// What is left of the limit after a slow load.
const BACK_OFF: f64 = 0.8;

/// What a quick load adds, while as many run as may: the limit doubles in the time of a load
/// before any was slow, and grows by half of itself after.
const GROWTH_AT_FIRST: f64 = 1.0;
const GROWTH: f64 = 0.5;

/// Learns how many loads the weight store serves at once.
#[derive(Debug, Clone, Copy)]
pub struct LoadLimit {
    limit: f64,
    quickest: Option<Duration>,
    /// When the limit was last lowered.
    lowered: Option<Instant>,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: AT_FIRST,
            quickest: None,
            lowered: None,
        }
    }
}

impl LoadLimit {
    /// A load has ended that took so long; `full` if as many ran as may.
    pub fn ended(&mut self, now: Instant, took: Duration, full: bool) {
        let known = self.quickest.filter(|_| self.limit > LEAST);
        let quickest = known.unwrap_or(took).min(took);
        self.quickest = Some(quickest);
        let times = took.as_secs_f64() / quickest.as_secs_f64().max(1e-6);
        if times >= SLOW {
            self.lower(now, took);
        } else if times <= QUICK && full {
            self.limit += if self.lowered.is_some() {
                GROWTH
            } else {
                GROWTH_AT_FIRST
            };
        }
    }

    /// Loads that ran at the same time tell of the same crowd: once for all of them.
    fn lower(&mut self, now: Instant, took: Duration) {
        let is_told = |at: Instant| now.duration_since(at) < took;
        if !self.lowered.is_some_and(is_told) {
            self.limit = (self.limit * BACK_OFF).max(LEAST);
            self.lowered = Some(now);
        }
    }

    /// Engines that may load at once, `most` at the most.
    #[must_use]
    pub fn at_once(&self, most: usize) -> usize {
        (self.limit as usize).min(most).max(1)
    }
}
