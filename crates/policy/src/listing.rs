//! When samples that are done are written to the log of their step.
//!
//! **Load:** the samples of a step end one by one over some seconds, and each write is a
//! call of the platform's store and an answer to the trainer, which asks every half second
//! and is kept waiting while there is nothing. **Without it:** each group that becomes
//! whole is written by itself; and a trainer that has just been
//! given a sample that makes nothing whole asks again half a second later, while the last
//! group that it waits for is there. **How:** a trainer goes on once it has all groups that
//! it waits for. The last of them is written at once, and its question is waiting for it.
//! All others wait for company, and near its end for that group, until the
//! step is about to be due (`a_trainer_has_its_last_group_soon`).

use std::time::Duration;

/// Samples wait this long for others while the step is calm. It is also what a crash of the
/// runner, or an outage of the store, costs in samples that were done.
const CALM_WAIT: Duration = Duration::from_secs(1);

/// From this long before the step is due, nothing is written but the last group that is
/// waited for: that is when the longest samples of a step end, and its trainer asks twice
/// in that time.
const NEARLY_DUE: Duration = Duration::from_millis(1_300);

/// Whatever is whole is written this long before the step is due: a write takes some tens
/// of milliseconds, and is to be readable then.
const LAST_CALL: Duration = Duration::from_millis(200);

/// What is known of a step's samples that are done and not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unwritten {
    /// One of them makes its group whole.
    pub completes_group: bool,
    /// Groups that are whole, written or not.
    pub whole_groups: usize,
    /// Groups that the trainer waits for.
    pub target_groups: usize,
    /// Age of the step when the oldest of these samples was done.
    pub age: Duration,
    /// The step is due at this age.
    pub due: Duration,
}

impl Unwritten {
    /// How long the oldest of these samples waits for others.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let enough = self.whole_groups >= self.target_groups;
        let until = |before_due| self.due.saturating_sub(before_due + self.age);
        let (calm, last_call) = (until(NEARLY_DUE), until(LAST_CALL));
        match (enough || last_call.is_zero(), self.completes_group) {
            (true, true) => Duration::ZERO,
            (true, false) => CALM_WAIT,
            (false, _) if calm.is_zero() => last_call,
            (false, _) => CALM_WAIT.min(calm),
        }
    }
}
