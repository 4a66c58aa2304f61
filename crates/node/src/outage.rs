//! Lets a single follower probe an unavailable store.
//!
//! The store may refuse calls for seconds, and each node follows four kinds of its objects. If all
//! four followers retried on their own, each refused call would be billed. Instead, the first
//! follower that was refused probes the store, and the others wait until it gets an answer. After
//! [`MAX_PROBE_WAIT`] they try themselves, since the store may fail for one kind of call only.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;

/// How long a follower waits for the probing one. Together with the pause before its own call this
/// is shorter than the time after an outage within which changes may still take effect late.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(1_500);

/// Whether the store is unavailable, shared by the followers of one node; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The kind whose follower probes the store; `None` while the store answers.
    probing: Mutex<Option<ObjectKind>>,
    over: Notify,
}

impl Outage {
    /// Records that a call for this kind failed. Only a refusal, after which nothing was done,
    /// or a failed connection indicates an outage; any other error may concern this call only.
    pub fn record_failure(&self, kind: ObjectKind, error: &StoreError) {
        if matches!(error, StoreError::Refused(_) | StoreError::Unreachable) {
            self.lock().get_or_insert(kind);
        }
    }

    /// Records that the store answered a call, which ends an outage.
    pub fn record_answer(&self) {
        if self.lock().take().is_some() {
            self.inner.over.notify_waiters();
        }
    }

    /// Whether the store is unavailable to this node.
    #[must_use]
    pub fn is_ongoing(&self) -> bool {
        self.lock().is_some()
    }

    /// Waits while another kind's follower probes the store.
    pub async fn wait_while_probed(&self, kind: ObjectKind) {
        let over = self.inner.over.notified();
        tokio::pin!(over);
        // Registers before the check, so that an end in between is not missed.
        over.as_mut().enable();
        let is_other_probing = self.lock().is_some_and(|probing| probing != kind);
        if is_other_probing {
            // After the end of the outage or the timeout, the follower calls the store.
            drop(tokio::time::timeout(MAX_PROBE_WAIT, over).await);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<ObjectKind>> {
        let probing = self.inner.probing.lock();
        probing.unwrap_or_else(PoisonError::into_inner)
    }
}
