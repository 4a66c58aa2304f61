//! Which node becomes the home of a model.
//!
//! **Load:** all steps of a model run at one node: hundreds of streams at once, their results
//! and the pages that trainers read. VMs differ in size tenfold, and a trainer's first step
//! arrives at any of them. **Without it:** a home is a VM by chance, mostly one of the small
//! ones; it cannot keep up, while the few that could are idle. **How:** the model goes where
//! it gets the largest part of a VM, so that homes fill the large VMs first and a small one
//! gets its first model when no large one has more to give. Whoever looks knows a part of the
//! nodes only, and the best of all finds is taken.

use std::cmp::Ordering;

use crate::route::mix;

/// Names a node among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeKey(pub u32);

/// A node that could become the home of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub node: NodeKey,
    /// Hash of what names it everywhere.
    pub hash: u64,
    /// What its VM can bear, in any unit that is the same for all.
    pub capacity: f64,
    /// Models whose home it is already.
    pub homes: u32,
}

impl Candidate {
    /// Part of its VM that one more model would get.
    fn share(&self) -> f64 {
        self.capacity / f64::from(self.homes + 1)
    }
}

/// What a home is worth to a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Worth {
    /// Part of its VM that the model would get.
    pub share: f64,
    /// Tells equal ones apart, by the hashes of node and model, so that models that come at
    /// once go to different nodes.
    pub order: u64,
}

impl Worth {
    /// Compares two homes for one model.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_share = self.share.total_cmp(&other.share);
        by_share.then(self.order.cmp(&other.order))
    }
}

/// The best home for a model with this hash, and its worth.
#[must_use]
pub fn best_home(model: u64, candidates: &[Candidate]) -> Option<(NodeKey, Worth)> {
    let worth = |held: &Candidate| Worth {
        share: held.share(),
        order: mix(held.hash ^ mix(model)),
    };
    let weighed = candidates.iter().map(|held| (held.node, worth(held)));
    weighed.max_by(|(_, a), (_, b)| a.compare(b))
}
