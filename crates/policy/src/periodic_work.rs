//! Bounds the time that a node spends on periodic work whose cost grows with the fleet.
//!
//! A scan of all engines takes time in proportion to their number, and some engine changes all
//! the time. Without a bound, a small VM of a large fleet does nothing but scan, and callers
//! wait. The pause after each scan is proportional to its measured wall time, so that it is
//! longer on a slow or busy VM.

use std::time::Duration;

/// Ratio of the pause to the time of the work before it. Such work takes at most a twenty-first
/// of the time: a node has three kinds of it, and may spend less than a fifth of its processor
/// on all of them.
const PAUSE_FACTOR: u32 = 20;

/// Longest pause. A run that was long because the VM was frozen does not predict the next one.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Pause after work that took this long; at least `min_pause`.
#[must_use]
pub fn pause_after(took: Duration, min_pause: Duration) -> Duration {
    let proportional = took.saturating_mul(PAUSE_FACTOR).min(MAX_PAUSE);
    proportional.max(min_pause)
}
