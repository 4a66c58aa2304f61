//! Paces the runs of an item under which upstreams were lost.
//!
//! An item of a step is owed until it has a result: unlike a call, it is never refused because
//! upstreams crashed under it. In a burst of crashes it just happens to be there. Its runs are only
//! spread, so that an item that crashes upstreams after all takes one at a time.

use std::time::Duration;

/// Upstreams that may be lost in a row before runs are paced.
const FREE_LOSSES: u32 = 3;

/// Pause before each further run; far shorter than an item may be at no upstream.
const PAUSE: Duration = Duration::from_secs(1);

/// Upstreams that were lost in a row under one item, in the step that runs here. Neither the store
/// nor other nodes know of it, and an event or answer ends it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CrashPacing {
    losses: u32,
}

impl CrashPacing {
    /// Records that a run lost its upstream.
    pub(crate) const fn record_loss(&mut self) {
        self.losses = self.losses.saturating_add(1);
    }

    /// Records that an upstream ran it and sent an event or an answer.
    pub(crate) const fn record_answer(&mut self) {
        self.losses = 0;
    }

    /// Pause before the next run.
    pub(crate) const fn pause(self) -> Duration {
        if self.losses < FREE_LOSSES {
            Duration::ZERO
        } else {
            PAUSE
        }
    }
}
