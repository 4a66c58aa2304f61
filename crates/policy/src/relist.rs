//! Decides when a node lists all upstreams from the store itself instead of waiting for its seed
//! nodes, which distribute the list.
//!
//! After an outage of the store, hundreds of nodes hold an outdated list. If all of them listed
//! thousands of entries as soon as the store is back, its bandwidth and request rate would be
//! exhausted, lists would time out and be retried, and the seed nodes would be delayed as well.
//!
//! If the lists of all nodes together are expensive for the store, nodes therefore rely on the
//! seed nodes. A node lists the upstreams itself only after a random wait, spread over a time in
//! which the lists of the whole fleet take a small share of the store's request rate. Each list
//! starts a new wait, even if it fails.

use std::time::Duration;
use std::time::Instant;

/// Share of the store's read rate that lists by nodes may take; the rest is for seed nodes, steps
/// and duties.
const MAX_READS_SHARE: f64 = 0.05;

/// Entries per page of a list.
const PAGE_ENTRIES: usize = 200;

/// Minimum jitter window: if the lists of all nodes take less time, nodes list without a wait.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Maximum jitter window, whatever fleet size a seed node reports.
const MAX_WINDOW: Duration = Duration::from_secs(600);

/// Cost to the store if every node lists all upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListCost {
    /// Number of nodes in the fleet, as reported by seed nodes.
    pub nodes: usize,
    /// Number of entries in the list.
    pub entries: usize,
    /// Reads per second that the store accepts from all nodes together.
    pub reads_per_s: f64,
}

impl ListCost {
    /// Time over which the lists of all nodes are spread; `None` if nodes may list without a wait.
    #[must_use]
    pub fn jitter_window(&self) -> Option<Duration> {
        let pages = self.entries.div_ceil(PAGE_ENTRIES).max(1);
        let reads = self.nodes as f64 * pages as f64;
        let window = reads / (self.reads_per_s.max(1.0) * MAX_READS_SHARE);
        let window = Duration::try_from_secs_f64(window).unwrap_or(MAX_WINDOW);
        (window >= MIN_WINDOW).then(|| window.min(MAX_WINDOW))
    }
}

/// Wait of a node before it lists all upstreams itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct RelistTimer {
    due_at: Option<Instant>,
}

impl RelistTimer {
    /// Whether a node that no seed node has brought up to date lists now. A wait lasts
    /// `window * fraction`, where `fraction` is random in 0 to 1; each list starts a new wait.
    /// Without a `window` a list is always due.
    pub fn is_due(&mut self, now: Instant, window: Option<Duration>, fraction: f64) -> bool {
        let Some(window) = window else {
            return true;
        };
        let due_at = *self.due_at.get_or_insert(now + window.mul_f64(fraction));
        let is_due = now >= due_at;
        if is_due {
            self.due_at = None;
        }
        is_due
    }

    /// Ends the wait; called when a seed node has brought this node up to date.
    pub const fn cancel(&mut self) {
        self.due_at = None;
    }
}
