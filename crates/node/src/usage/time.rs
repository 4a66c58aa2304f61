//! True time from the clocks of many nodes.
//!
//! **Failure:** the time of day of some VMs jumps by seconds and back; a request is counted
//! in a window that it was not in, and a holder closes windows too early. **Guard:** a node looks
//! at its time of day once, as it starts, and goes on by a clock that never jumps. The
//! holder takes the median of what all nodes then believe, so that those that started
//! while their time was wrong do not count until they are half of all, and tells it to them.

use std::time::Duration;

/// How far true time is ahead of a node's own steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset(Duration);

impl Offset {
    /// The offset with which `since_epoch` is now, at this time since the system's start.
    #[must_use]
    pub const fn between(since_epoch: Duration, since_boot: Duration) -> Self {
        Self(since_epoch.saturating_sub(since_boot))
    }

    /// True time since 1970 at this time since the system's start.
    #[must_use]
    pub const fn true_time(self, since_boot: Duration) -> Duration {
        since_boot.saturating_add(self.0)
    }

    /// The median of these; `None` if there is none.
    #[must_use]
    pub fn median(mut offsets: Vec<Self>) -> Option<Self> {
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}
