//! Which node becomes the home of a model.
//!
//! **Load:** all steps of a model run at one node: hundreds of streams at once, their results
//! and the pages that trainers read. VMs differ in size tenfold, and a trainer's first step
//! arrives at any of them. **Without it:** a home is a VM by chance, mostly one of the small
//! ones; it cannot keep up, while the few that could are idle. **How:** the model goes where
//! it gets the largest part of a VM, so that homes fill the large VMs first and a small one
//! gets its first model when no large one has more to give.

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

/// The best home for a model with this hash. Equal candidates are told apart by both hashes,
/// so that models that come at once go to different nodes.
#[must_use]
pub fn best_home(model: u64, candidates: &[Candidate]) -> Option<NodeKey> {
    let order = |held: &Candidate| mix(held.hash ^ mix(model));
    let best = candidates.iter().max_by(|a, b| {
        let by_share = a.share().total_cmp(&b.share());
        by_share.then_with(|| order(a).cmp(&order(b)))
    });
    best.map(|held| held.node)
}
