//! Limits how many engines load new weights at the same time.
//!
//! Trainers announce a version every few seconds, for pools of any size. The weight store serves
//! only a few loads at a time, and does not report how many. With a fixed share of the pool
//! loading at the same time, each load may take many times as long, and no engine has a version
//! before the step that needs it is due.
//!
//! The limit adapts to the load times (additive increase, multiplicative decrease): loads that
//! take little longer than the quickest one raise it, and much slower loads lower it. Until the
//! first slow load, the limit doubles within the time of a load, so that the first versions of a
//! large pool wait for a few loads only, whatever its size.

use std::time::Duration;
use std::time::Instant;

/// Initial limit: enough for a pool of medium size.
const INITIAL_LIMIT: f64 = 16.0;

/// Lower bound of the limit. If a load is slow even then, loads take longer now or the time of the
/// quickest one was measured too short, so that time is replaced.
const MIN_LIMIT: f64 = 2.0;

/// A load that takes at least this multiple of the quickest one had to wait for others at the
/// weight store. Smaller multiples may only mean that the end of the load was noticed late.
const SLOW_FACTOR: f64 = 1.6;

/// A load that takes at most this multiple of the quickest one did not wait at the weight store.
const QUICK_FACTOR: f64 = 1.35;

/// Factor by which the limit is reduced after a slow load.
const DECREASE_FACTOR: f64 = 0.8;

/// Increase of the limit for each quick load while the limit is reached, before the first slow
/// load: the limit doubles within the time of a load.
const INITIAL_INCREASE: f64 = 1.0;

/// The same after the first slow load: the limit grows by half within the time of a load.
const INCREASE: f64 = 0.5;

/// Adaptive limit of concurrent loads at the weight store.
#[derive(Debug, Clone, Copy)]
pub struct LoadLimit {
    limit: f64,
    /// Time of the quickest load.
    quickest: Option<Duration>,
    /// When the limit was last lowered.
    lowered_at: Option<Instant>,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            quickest: None,
            lowered_at: None,
        }
    }
}

impl LoadLimit {
    /// Records the time of a load that ended. `is_full`: whether the limit was reached.
    pub fn record_ended(&mut self, now: Instant, took: Duration, is_full: bool) {
        let known = self.quickest.filter(|_| self.limit > MIN_LIMIT);
        let quickest = known.unwrap_or(took).min(took);
        self.quickest = Some(quickest);
        let ratio = took.as_secs_f64() / quickest.as_secs_f64().max(1e-6);
        if ratio >= SLOW_FACTOR {
            self.lower(now, took);
        } else if ratio <= QUICK_FACTOR && is_full {
            self.limit += if self.lowered_at.is_some() {
                INCREASE
            } else {
                INITIAL_INCREASE
            };
        }
    }

    /// Lowers the limit once for all loads that ran at the same time, since they were slow for the
    /// same reason.
    fn lower(&mut self, now: Instant, took: Duration) {
        let ran_then = |at: Instant| now.duration_since(at) < took;
        if !self.lowered_at.is_some_and(ran_then) {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.lowered_at = Some(now);
        }
    }

    /// Number of engines that may load at the same time, at least 1 and at most `max_loads`.
    #[must_use]
    pub fn max_concurrent(&self, max_loads: usize) -> usize {
        (self.limit as usize).min(max_loads).max(1)
    }
}
