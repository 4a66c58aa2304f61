//! How long watches of the store wait, so that one that will never be answered is noticed in time.
//!
//! A connection may fall silent without a reset, and a node through which calls go may lose power.
//! What a watch should have told is then known only once it has timed out and the objects were
//! listed again; both must fit into the time within which this node has to know it.

use std::time::Duration;

/// Longest wait of a watch; a longer one saves no more calls worth mentioning.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Fraction of the contact time that a watch of the store waits. The rest is left for its answer, and
/// for a list.
const WAIT_FRACTION: f64 = 2.0 / 3.0;

/// Longest time that an answer takes after the wait; the store normally answers within milliseconds.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Fraction of the contact time that an answer may take after the wait.
const ANSWER_FRACTION: f64 = 1.0 / 6.0;

/// Fractions of the propagation time that a watch through another node waits, and that its answer
/// may take. That node may lose power at any time, and this one has to follow all the same.
const DETOUR_WAIT_FRACTION: f64 = 0.3;
const DETOUR_ANSWER_FRACTION: f64 = 0.2;

/// Times from which the limits follow where an installation states none.
pub const DEFAULT_CONTACT: Duration = Duration::from_secs(3);
const DEFAULT_PROPAGATION: Duration = Duration::from_secs(2);

/// Times of the watches of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchLimits {
    /// Longest wait of a watch of the store, with any pause before it.
    pub wait: Duration,
    /// How long after its wait a watch may be answered.
    pub answer_time: Duration,
    /// The same for watches through another node.
    pub detour_wait: Duration,
    /// The same for watches through another node, and for calls that catch up after a failed one.
    pub detour_answer_time: Duration,
}

impl Default for WatchLimits {
    fn default() -> Self {
        Self::new(DEFAULT_CONTACT, DEFAULT_PROPAGATION)
    }
}

impl WatchLimits {
    /// Limits of a node that has to be up to date `contact` after a disturbance of its own
    /// connections, and otherwise `propagation` after any change.
    #[must_use]
    pub fn new(contact: Duration, propagation: Duration) -> Self {
        Self {
            wait: MAX_WAIT.min(contact.mul_f64(WAIT_FRACTION)),
            answer_time: MAX_ANSWER_TIME.min(contact.mul_f64(ANSWER_FRACTION)),
            detour_wait: propagation.mul_f64(DETOUR_WAIT_FRACTION),
            detour_answer_time: propagation.mul_f64(DETOUR_ANSWER_FRACTION),
        }
    }
}
