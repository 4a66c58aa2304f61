//! The duty of ordering weights as it stands in the store, and how long a new holder keeps
//! its distance from the one before.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

use crate::submission::records::NodeRef;

/// Orders are given within this time of sending the read that showed the duty: long
/// enough for a slow answer of the store, short beside the engines' lease.
pub const VERIFICATION_TTL: Duration = Duration::from_millis(900);

/// Added to what a new holder waits: timers fire late, and packets take time.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(400);

/// Time since the system started, a suspended VM's time included.
pub trait BootClock: Send + Sync + std::fmt::Debug {
    /// That time.
    fn since_boot(&self) -> Duration;
}

/// The machine's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// The duty as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Duty {
    /// Names the write that made this value.
    pub(crate) write: String,
    /// Who gives orders.
    pub(crate) holder: NodeRef,
    /// Grows with each change of the holder.
    pub(crate) epoch: u64,
}

/// The duty as it was read.
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

    /// The highest epoch that may have been given. Each epoch was one change of the
    /// object and each change of any object raises the store's revision, so that no
    /// epoch is above the revision.
    pub(crate) fn epoch(&self) -> u64 {
        self.duty.as_ref().map_or(self.revision, |duty| duty.epoch)
    }
}

/// What a node that is asked for the duty says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderAnswer {
    /// It holds the duty and the store answers it.
    Able,
    /// It orders no more under the epoch that it held.
    Resigned {
        /// Time since its last order; `None` if it gave none.
        last_order_ms: Option<u64>,
    },
}

/// What is known of the holder before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreviousHolder {
    /// No one held the duty, or an earlier process of this VM, which is gone.
    Nobody,
    /// It resigned; its last order is this old.
    Resigned(Option<Duration>),
    /// Its process is gone: nothing listens at its address.
    Gone,
    /// It was not reached. It may run, and order until its last read is too old.
    Unreached,
}

/// How long a node waits before its first order after it has taken the duty.
#[must_use]
pub fn takeover_delay(previous: PreviousHolder, lease: Duration) -> Duration {
    match previous {
        PreviousHolder::Nobody | PreviousHolder::Resigned(None) => Duration::ZERO,
        PreviousHolder::Resigned(Some(age)) => (lease + TAKEOVER_MARGIN).saturating_sub(age),
        PreviousHolder::Gone => lease + TAKEOVER_MARGIN,
        PreviousHolder::Unreached => VERIFICATION_TTL + lease + TAKEOVER_MARGIN,
    }
}
