//! Retry budget: whether failed work may be retried.
//!
//! Without it, every failure at a failing or saturated upstream is sent again at once, so that
//! a fault multiplies the load that caused it, and a call that its caller pays for may run twice.

use crate::work::Ending;

/// Maximum number of tries, including the first. A third upstream helps only if two crash at
/// the same time; more crashes indicate a request that causes them.
pub const MAX_TRIES: u32 = 3;

/// Load that retries may add, in percent of the offered load.
pub const BUDGET_PERCENT: u64 = 10;

/// Hundredths of a retry that one offered piece of work adds to the budget.
const DEPOSIT_HUNDREDTHS: u64 = BUDGET_PERCENT;

/// One retry, in hundredths.
const RETRY_HUNDREDTHS: u64 = 100;

/// Maximum and initial budget, in hundredths of a retry. A crash of one upstream of a dozen
/// fails about this many calls of one entry. The bound keeps the retries earned in a quiet hour
/// from being spent at once in an outage.
const MAX_BALANCE_HUNDREDTHS: u64 = 10 * RETRY_HUNDREDTHS;

/// Limits retries to a fraction of the offered load.
#[derive(Debug)]
pub struct RetryBudget {
    balance_hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_hundredths: MAX_BALANCE_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Records work that is offered for the first time.
    pub fn deposit(&mut self) {
        self.balance_hundredths =
            (self.balance_hundredths + DEPOSIT_HUNDREDTHS).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Takes one retry from the budget if the ending and the request allow it; false if not.
    ///
    /// Work that may have run is retried only if it is idempotent: an upstream whose connection
    /// closed may have run it.
    pub fn try_withdraw(&mut self, ending: Ending, idempotent: bool, tries: u32) -> bool {
        let may_run_again = match ending {
            Ending::Unreachable => true,
            Ending::Failed => idempotent,
            Ending::Answered | Ending::Abandoned | Ending::Refused => false,
        };
        let allowed =
            may_run_again && self.balance_hundredths >= RETRY_HUNDREDTHS && tries < MAX_TRIES;
        if allowed {
            self.balance_hundredths -= RETRY_HUNDREDTHS;
        }
        allowed
    }
}
