//! Retry budget: whether failed work may be retried.
//!
//! Without it, every failure at a failing or saturated upstream is sent again at once, so that
//! a fault multiplies the load that caused it, and a charged call may run twice.

use crate::work::Ending;

/// Maximum number of tries, including the first. A third upstream helps only if two crash at
/// the same time; more crashes indicate a request that causes them.
pub const TRIES: u32 = 3;

/// Load that retries may add, in percent of the offered load.
pub const BUDGET_PERCENT: u64 = 10;

/// Hundredths of a retry that one offered piece of work adds to the budget.
const EARNED: u64 = BUDGET_PERCENT;

/// One retry, in hundredths.
const WHOLE: u64 = 100;

/// Maximum and initial budget, in hundredths of a retry. A crash of one upstream of a dozen
/// fails about this many calls of one entry. The bound keeps the retries earned in a quiet hour
/// from being spent at once in an outage.
const SAVED_AT_MOST: u64 = 10 * WHOLE;

/// Limits retries to a fraction of the offered load.
#[derive(Debug)]
pub struct Budget {
    saved: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: SAVED_AT_MOST,
        }
    }
}

impl Budget {
    /// Records work that is offered for the first time.
    pub fn offered(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_AT_MOST);
    }

    /// Takes one retry from the budget if the ending and the request allow it; false if not.
    ///
    /// Work that may have run is retried only if it is idempotent: an upstream whose connection
    /// closed may have run it.
    pub fn allow(&mut self, ending: Ending, idempotent: bool, tries: u32) -> bool {
        let may_repeat = match ending {
            Ending::Unreachable => true,
            Ending::Failed => idempotent,
            Ending::Answered | Ending::Abandoned | Ending::Refused => false,
        };
        let allowed = may_repeat && self.saved >= WHOLE && tries < TRIES;
        if allowed {
            self.saved -= WHOLE;
        }
        allowed
    }
}
