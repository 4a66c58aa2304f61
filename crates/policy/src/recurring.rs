//! How often a node does work that comes again and again and grows with the fleet.
//!
//! **Load:** each look at all engines takes time by their number, and something changes all
//! the time. **Without it:** a small VM of a large fleet does nothing
//! else, and callers wait behind it. **How:** after each look it pauses by how long that
//! took, as it saw it: on a slow or busy VM a look takes longer, and the pause with it.

use std::time::Duration;

/// A pause is this many times as long as the work before it, so that such work takes a
/// twenty-first of the time at most: a node has three kinds of it, and is to spend under a
/// fifth of its processor in all.
const PAUSE_FACTOR: u32 = 20;

/// Longest pause: a look that met a frozen VM says nothing of the next one.
const PAUSE_MOST: Duration = Duration::from_secs(1);

/// The pause after work that took so long; `least` where it took next to nothing.
#[must_use]
pub fn pause_after(took: Duration, least: Duration) -> Duration {
    let by_share = took.saturating_mul(PAUSE_FACTOR).min(PAUSE_MOST);
    by_share.max(least)
}
