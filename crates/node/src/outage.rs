//! Which follower asks a store that is away.
//!
//! **Load:** the store turns calls away for seconds, and each node follows four kinds of
//! its objects. **Without it:** all four ask again and again, and each call that is turned away
//! costs. **How:** the first that was turned away asks
//! for all; the others wait until it gets an answer. They look for themselves after
//! [`LOOK_AFTER`], since a path may fail for one kind of call only.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;

/// A follower waits this long for the one that asks. With the pause before its call it stays
/// below the time after an outage from which on changes have to be in force in time again.
const LOOK_AFTER: Duration = Duration::from_millis(1_500);

/// Whether the store is away, as the followers of one node know it; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The kind whose follower asks; `None` while the store answers.
    asking: Mutex<Option<ObjectKind>>,
    over: Notify,
}

impl Outage {
    /// A call for this kind failed. Only an answer that says that nothing was done, or no
    /// connection, tells of the store; any other may be this call's own trouble.
    pub fn record_failure(&self, kind: ObjectKind, error: &StoreError) {
        if matches!(error, StoreError::Refused(_) | StoreError::Unreachable) {
            self.lock().get_or_insert(kind);
        }
    }

    /// A call was answered.
    pub fn record_answer(&self) {
        if self.lock().take().is_some() {
            self.inner.over.notify_waiters();
        }
    }

    /// The store turns this node away.
    #[must_use]
    pub fn is_ongoing(&self) -> bool {
        self.lock().is_some()
    }

    /// Waits while another kind's follower asks.
    pub async fn wait_while_probed(&self, kind: ObjectKind) {
        let over = self.inner.over.notified();
        tokio::pin!(over);
        // Before the look, so that an end in between is not missed.
        over.as_mut().enable();
        let asked = self.lock().is_some_and(|asking| asking != kind);
        if asked {
            // Either way the follower asks now.
            drop(tokio::time::timeout(LOOK_AFTER, over).await);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<ObjectKind>> {
        let asking = self.inner.asking.lock();
        asking.unwrap_or_else(PoisonError::into_inner)
    }
}
