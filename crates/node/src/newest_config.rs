//! The newest revision of the configuration that this node has seen, and the newest that other nodes have
//! told it of.
//!
//! The watch of the store is one way to the news, and a node cannot tell a watch that has nothing to
//! report from one that is lost. Nodes state the revision that they have in what they say to one another
//! anyway; one that is told of a higher revision lists at once.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Revisions of the configuration; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct NewestConfig {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Highest revision that the store has shown to this node, in force or refused as invalid.
    seen: AtomicU64,
    /// Highest revision that another node has stated.
    told: AtomicU64,
    /// Highest stated revision after which this node has listed the configuration.
    listed: AtomicU64,
    changed: Notify,
}

impl NewestConfig {
    /// Highest revision that the store has shown to this node; 0 if none.
    #[must_use]
    pub fn seen(&self) -> u64 {
        self.inner.seen.load(Ordering::Acquire)
    }

    /// Highest revision that this node knows of, seen or told.
    #[must_use]
    pub fn known(&self) -> u64 {
        self.seen().max(self.inner.told.load(Ordering::Acquire))
    }

    /// Records a revision that the store has shown to this node.
    pub fn record_seen(&self, revision: u64) {
        if self.inner.seen.fetch_max(revision, Ordering::AcqRel) < revision {
            self.inner.changed.notify_waiters();
        }
    }

    /// Records the revision that another node states.
    pub fn record_told(&self, revision: u64) {
        if self.inner.told.fetch_max(revision, Ordering::AcqRel) < revision {
            self.inner.changed.notify_waiters();
        }
    }

    /// Records a list that was sent when `known` was the highest known revision. What the store does not
    /// show by then does not exist, so that a wrong statement costs one list.
    pub fn record_listed(&self, known: u64) {
        self.inner.listed.fetch_max(known, Ordering::AcqRel);
    }

    /// Whether another node has a configuration that this node has missed.
    #[must_use]
    pub fn is_missing(&self) -> bool {
        let listed = self.inner.listed.load(Ordering::Acquire);
        self.inner.told.load(Ordering::Acquire) > self.seen().max(listed)
    }

    /// Waits until another node has a configuration that this node has missed.
    pub async fn missed(&self) {
        loop {
            let changed = self.change();
            tokio::pin!(changed);
            // Registers before the check, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.is_missing() {
                return;
            }
            changed.await;
        }
    }

    /// The next change of a revision.
    pub fn change(&self) -> Notified<'_> {
        self.inner.changed.notified()
    }
}
