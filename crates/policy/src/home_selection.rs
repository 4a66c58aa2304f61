//! Which node becomes the home of a model, that is, runs all of its steps.
//!
//! The home handles hundreds of streams at once, their results and the pages that trainers read.
//! VMs differ in size tenfold, and the first step of a trainer arrives at any of them. If that
//! node became the home, it would mostly be a small VM that cannot keep up, while the few large
//! ones are idle.
//!
//! So a model goes to the node whose VM has the most capacity per model. Large VMs fill first,
//! and a small one gets a model once no large one can offer more. A node that searches knows
//! only some of the nodes, so several search and the best result is used.

use std::cmp::Ordering;

use crate::route::splitmix64;

/// Identifies a node among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeKey(pub u32);

/// A node that could become the home of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeCandidate {
    /// Key of the node.
    pub node: NodeKey,
    /// Hash of the node's identity, the same at every node.
    pub hash: u64,
    /// Capacity of its VM, in any unit that is the same for all candidates.
    pub capacity: f64,
    /// Number of models whose home it already is.
    pub models: u32,
}

impl HomeCandidate {
    /// Capacity that one more model would get.
    fn capacity_share(&self) -> f64 {
        self.capacity / f64::from(self.models + 1)
    }
}

/// Score of a node as the home of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeScore {
    /// Capacity of its VM that the model would get.
    pub capacity_share: f64,
    /// Breaks ties by the hashes of node and model, so that models that arrive at the same time
    /// go to different nodes.
    pub tie_breaker: u64,
}

impl HomeScore {
    /// Compares two candidates for the same model; the greater one is better.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_share = self.capacity_share.total_cmp(&other.capacity_share);
        by_share.then(self.tie_breaker.cmp(&other.tie_breaker))
    }
}

/// Best home for the model with this hash, and its score; `None` without candidates.
#[must_use]
pub fn best_home(model: u64, candidates: &[HomeCandidate]) -> Option<(NodeKey, HomeScore)> {
    let score = |candidate: &HomeCandidate| HomeScore {
        capacity_share: candidate.capacity_share(),
        tie_breaker: splitmix64(candidate.hash ^ splitmix64(model)),
    };
    let scored = candidates
        .iter()
        .map(|candidate| (candidate.node, score(candidate)));
    scored.max_by(|(_, a), (_, b)| a.compare(b))
}
