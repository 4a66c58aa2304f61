//! Whether work that failed may be tried again.
//!
//! **Load:** failing or saturated upstreams. **Without it:** every failure is
//! sent again at once, so that a fault multiplies the load that caused it, and
//! a charged call may run twice.

use crate::work::Ending;

/// Tries in all, the first included. A third upstream helps only when two fell
/// at once; more than that is the sign of a request that fells them.
pub const TRIES: u32 = 3;

/// Retries may add this much to the load offered.
pub const BUDGET_PERCENT: u64 = 10;

/// A budget this large is there from the start, so that a quiet service can
/// retry at all.
const BUDGET_START: u64 = 10;

/// Counts offered work and retries, and says whether one more retry fits.
#[derive(Debug, Default)]
pub struct Budget {
    offered: u64,
    retried: u64,
}

impl Budget {
    /// Work was offered for the first time.
    pub fn offered(&mut self) {
        self.offered += 1;
    }

    /// Takes one retry from the budget, if the ending and the request allow it.
    ///
    /// Work that may have run is tried again only if it is idempotent: an
    /// upstream that broke off may have carried it out.
    pub fn allow(&mut self, ending: Ending, idempotent: bool, tries: u32) -> bool {
        let may_repeat = match ending {
            Ending::Unreachable => true,
            Ending::Failed => idempotent,
            Ending::Answered | Ending::Abandoned => false,
        };
        let fits = self.retried < BUDGET_START + self.offered * BUDGET_PERCENT / 100;
        let allowed = may_repeat && fits && tries < TRIES;
        if allowed {
            self.retried += 1;
        }
        allowed
    }
}
