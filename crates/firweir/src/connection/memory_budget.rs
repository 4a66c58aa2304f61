//! Memory that the requests of a process may hold together.
//!
//! Clients decide how many bytes they send and how slowly. A limit for each request alone does not
//! bound what all of them hold, so buffers of bodies and answers are taken from one budget.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Bytes that a request may hold and still take from the part that is kept for small requests.
const SMALL_REQUEST_BYTES: usize = 64 << 10;

/// Fraction of the budget that is kept for small requests, as a divisor.
const SMALL_REQUESTS_DIVISOR: usize = 8;

/// The budget; cheap to clone.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
    freed: Notify,
}

impl MemoryBudget {
    /// A budget of this many bytes.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            limit_bytes,
            held_bytes: AtomicUsize::new(0),
            freed: Notify::new(),
        }))
    }

    /// A budget without a limit.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Takes `bytes` for a request that holds `held_bytes` already; `None` if they are not free.
    #[must_use]
    pub fn try_take(&self, bytes: usize, held_bytes: usize) -> Option<Reservation> {
        let limit_bytes = self.limit_for(held_bytes.saturating_add(bytes));
        let taken =
            self.0
                .held_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held_bytes| {
                    let held_bytes = held_bytes.checked_add(bytes)?;
                    (held_bytes <= limit_bytes).then_some(held_bytes)
                });
        taken.ok().map(|_| Reservation {
            budget: self.clone(),
            bytes,
        })
    }

    fn give_back(&self, bytes: usize) {
        self.0.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.0.freed.notify_waiters();
    }

    /// Bytes that all requests may hold together so that one of this size may take more.
    fn limit_for(&self, request_bytes: usize) -> usize {
        if request_bytes <= SMALL_REQUEST_BYTES {
            return self.0.limit_bytes;
        }
        self.0.limit_bytes - self.0.limit_bytes / SMALL_REQUESTS_DIVISOR
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.0.held_bytes.load(Ordering::Relaxed)
    }

    /// Resolves when bytes are given back after this call.
    pub(crate) fn freed(&self) -> Notified<'_> {
        self.0.freed.notified()
    }
}

/// Bytes that were taken from a budget; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}
