//! What the upstreams that were lost under a request say about it.
//!
//! A request that crashes upstreams loses them one after the other, as it is retried. Upstreams
//! that end together, as with the power of a rack, were not crashed by one request after the
//! other: a popular request is in flight at all of them, and refusing it would hurt its callers.

use std::time::Duration;

/// Losses of one upstream this close together are one crash: nodes see it at different times, by
/// clocks that differ.
const SAME_CRASH: Duration = Duration::from_secs(3);

/// Upstreams whose losses are this close together ended together: a request needs longer to run at
/// one after the other.
const TOGETHER: Duration = Duration::from_millis(100);

/// A broken connection to an upstream under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// Hash of the upstream.
    pub upstream: u64,
    /// Time of day in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Number of crashes among the losses of one upstream, sorted by time: an upstream may be listed
/// under its old start when it has crashed and is up again.
#[must_use]
pub fn crash_count(losses: &[Loss]) -> u32 {
    let mut count = 0;
    let mut crash_at = None;
    for loss in losses {
        if crash_at.is_none_or(|at| !is_same_crash(at, loss.at_ms)) {
            count += 1;
            crash_at = Some(loss.at_ms);
        }
    }
    count
}

/// Whether all upstreams ended together; `losses` are sorted by upstream and time.
#[must_use]
pub fn ended_together(losses: &[Loss]) -> bool {
    let by_upstream = losses.chunk_by(|a, b| a.upstream == b.upstream);
    let crashes: Vec<u64> = by_upstream.clone().map(|losses| losses[0].at_ms).collect();
    let mut counts = by_upstream.map(crash_count);
    let (first, last) = (crashes.iter().min(), crashes.iter().max());
    let (Some(first), Some(last)) = (first, last) else {
        return false;
    };
    is_within(TOGETHER, *first, *last) && counts.all(|count| count == 1)
}

/// Whether losses of one upstream at these times, in milliseconds, are one crash.
#[must_use]
pub const fn is_same_crash(one_ms: u64, other_ms: u64) -> bool {
    is_within(SAME_CRASH, one_ms, other_ms)
}

const fn is_within(time: Duration, one_ms: u64, other_ms: u64) -> bool {
    one_ms.abs_diff(other_ms) as u128 <= time.as_millis()
}
