//! The seed nodes that a node knows: those that relay the store's objects to others.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

/// The nodes that relay the store's objects; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Seeds {
    current: Arc<ArcSwap<SeedSet>>,
}

/// The seed nodes at one time.
#[derive(Debug, Clone, Default)]
pub struct SeedSet {
    /// Seeds that this node polls, without itself; empty if it reads the store directly.
    pub polled: Vec<SocketAddr>,
    /// All seeds except this node; empty if the deployment uses no seeds.
    pub others: Vec<SocketAddr>,
    /// This node is a seed that other nodes poll.
    pub is_seed: bool,
}

impl Seeds {
    /// Replaces the seeds.
    pub fn set(&self, seeds: SeedSet) {
        self.current.store(Arc::new(seeds));
    }

    /// The current seeds.
    #[must_use]
    pub fn current(&self) -> Arc<SeedSet> {
        self.current.load_full()
    }

    /// The polled seed at `index`, modulo their number; `None` if there are none.
    pub(crate) fn round_robin(&self, index: usize) -> Option<SocketAddr> {
        let polled = &self.current.load().polled;
        polled.get(index.checked_rem(polled.len())?).copied()
    }
}
