//! The stored form of the duty of acting for all nodes, and how long a new holder waits for the
//! acts of the previous one to expire.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

use crate::submission::records::NodeRef;

/// Time for which a read of the duty permits acts, from when the read was sent: long enough for
/// a slow answer of the store, short compared with the engines' lease.
pub const VERIFICATION_TTL: Duration = Duration::from_millis(900);

/// Added to the delay of a new holder for late timers and packets in transit.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(400);

/// Clock of the time since the system started, including time for which a VM is suspended.
pub trait BootClock: Send + Sync + std::fmt::Debug {
    /// Time since the system started.
    fn since_boot(&self) -> Duration;
}

/// The system's clock `CLOCK_BOOTTIME`.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// The duty as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Duty {
    /// Identifies the write that stored this value.
    pub(crate) write: String,
    /// The node that may act.
    pub(crate) holder: NodeRef,
    /// Increases with each change of the holder.
    pub(crate) epoch: u64,
}

/// The duty as it was read from the store.
#[derive(Debug)]
pub(crate) struct StoredDuty {
    /// Revision of its object.
    pub(crate) revision: u64,
    /// `None` if another writer has made it unreadable.
    pub(crate) duty: Option<Duty>,
}

impl StoredDuty {
    pub(crate) fn holder(&self) -> Option<&NodeRef> {
        self.duty.as_ref().map(|duty| &duty.holder)
    }

    /// The highest epoch that may have been used. Each epoch is one change of the object, and
    /// each change of any object raises the store's revision, so no epoch exceeds the revision.
    pub(crate) fn epoch(&self) -> u64 {
        self.duty.as_ref().map_or(self.revision, |duty| duty.epoch)
    }
}

/// Answer of a node that is asked whether it holds the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderAnswer {
    /// It holds the duty and can read it back from the store.
    Able,
    /// It no longer acts under the epoch that it held.
    Resigned {
        /// Time since its last act; `None` if there was none.
        last_order_ms: Option<u64>,
    },
}

/// What is known of the previous holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreviousHolder {
    /// The duty was held by no one, or by an earlier process of this VM that has ended.
    Nobody,
    /// It resigned; the value is the time since its last act.
    Resigned(Option<Duration>),
    /// Its process has ended: nothing listens at its address.
    Gone,
    /// It was not reached. It may still run, and act until its last read is too old.
    Unreached,
}

/// How long a node waits before its first act after it has taken the duty.
#[must_use]
pub fn takeover_delay(previous: PreviousHolder, lease: Duration) -> Duration {
    match previous {
        PreviousHolder::Nobody | PreviousHolder::Resigned(None) => Duration::ZERO,
        PreviousHolder::Resigned(Some(age)) => (lease + TAKEOVER_MARGIN).saturating_sub(age),
        PreviousHolder::Gone => lease + TAKEOVER_MARGIN,
        PreviousHolder::Unreached => VERIFICATION_TTL + lease + TAKEOVER_MARGIN,
    }
}
