//! True time from the clocks of many nodes.
//!
//! The time of day of some VMs jumps by seconds and back: requests would be counted in the wrong
//! window, and a holder would close windows too early. A node therefore reads its time of day
//! only once, at its start, and then relies on a clock that never jumps. The holder sends all
//! nodes the median of their times, which nodes that started with a wrong time of day do not
//! affect until they are half of all.

use std::time::Duration;

/// Offset of true time since 1970 from the time since the system's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockOffset(Duration);

impl ClockOffset {
    /// Offset that maps `since_boot`, the time since the system's start, to `since_epoch`.
    #[must_use]
    pub const fn between(since_epoch: Duration, since_boot: Duration) -> Self {
        Self(since_epoch.saturating_sub(since_boot))
    }

    /// True time since 1970 at this time since the system's start.
    #[must_use]
    pub const fn true_time(self, since_boot: Duration) -> Duration {
        since_boot.saturating_add(self.0)
    }

    /// Median of the offsets; `None` if there are none.
    #[must_use]
    pub fn median(mut offsets: Vec<Self>) -> Option<Self> {
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}
