//! How long a trainer's long poll for results is held before it is answered.
//!
//! A trainer continues once it has all groups that it waits for. It polls twice a second and
//! lets a poll wait for a second while there are no results. If a poll were answered with the
//! first sample, which completes no group, the last group would arrive just afterwards and wait
//! for the next poll, and the trainer would continue only when the poll after that is due.
//!
//! A poll is therefore held, for as long as the trainer allows, until the last group is
//! complete. It returns all results so far, so a result is delayed by at most the hold, as by a
//! trainer that polls less often. A poll that is open when the step becomes due is answered
//! shortly afterwards with the results so far. Later polls are held for the last group again,
//! since an overdue step also ends only with it. This more than halves the time from the last
//! group until the trainer continues (test `a_trainer_goes_on_soon`).

use std::time::Duration;

/// Fraction of the maximum wait for which a poll is held. The rest is for the way back through
/// the node that received it.
const HOLD_FRACTION: f64 = 0.85;

/// Time after a step's due time at which an open poll is answered with the results so far. A
/// trainer that polls every half second may read them as late as this.
const ANSWER_AFTER_DUE: Duration = Duration::from_millis(500);

/// An open long poll for which there are some results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPoll {
    /// Time for which it has waited.
    pub waited: Duration,
    /// Time for which it may wait.
    pub max_wait: Duration,
    /// Number of groups with a result for every sample.
    pub complete_groups: usize,
    /// Number of groups that the trainer waits for.
    pub target_groups: usize,
    /// Age of the step.
    pub step_age: Duration,
    /// Age at which the step is due.
    pub step_due: Duration,
}

impl LongPoll {
    /// Time for which it is held from now on; zero if it is to be answered now.
    #[must_use]
    pub fn remaining_hold(&self) -> Duration {
        if self.complete_groups >= self.target_groups {
            return Duration::ZERO;
        }
        let max_hold = self
            .max_wait
            .mul_f64(HOLD_FRACTION)
            .saturating_sub(self.waited);
        let answer_at = self.step_due + ANSWER_AFTER_DUE;
        let polled_at = self.step_age.saturating_sub(self.waited);
        if polled_at >= answer_at {
            return max_hold;
        }
        max_hold.min(answer_at.saturating_sub(self.step_age))
    }
}
