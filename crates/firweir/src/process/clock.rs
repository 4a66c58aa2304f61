//! The clock, passed into every part so that a replay can own it.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Tells the time.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// Monotonic time, for durations.
    fn now(&self) -> Instant;
    /// Time of day as a duration since the Unix epoch, for what other VMs read.
    fn since_epoch(&self) -> Duration;
}

/// The machine's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn since_epoch(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// A clock that follows the runtime's timer from a fixed time of day.
///
/// On a paused runtime this is virtual time.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock {
    start: tokio::time::Instant,
    start_since_epoch: Duration,
}

impl RuntimeClock {
    /// A clock that shows `start_since_epoch` now.
    #[must_use]
    pub fn starting_at(start_since_epoch: Duration) -> Self {
        Self {
            start: tokio::time::Instant::now(),
            start_since_epoch,
        }
    }
}

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn since_epoch(&self) -> Duration {
        self.start_since_epoch + self.start.elapsed()
    }
}
