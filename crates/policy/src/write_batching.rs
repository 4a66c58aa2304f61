//! Decides when finished samples are written to the log of their step, in batches.
//!
//! The samples of a step end one by one over some seconds. Each write is a call to the platform's
//! store and an answer to the trainer, which polls every half second; a poll blocks while there
//! are no new results. If each complete group were written by itself, the store would get a call
//! for each, and a trainer that has just received a sample that completes no group would poll
//! again half a second later, although the last group that it waits for is available.
//!
//! A trainer continues once it has all groups that it waits for. The last of them is therefore
//! written at once, while a poll of the trainer is blocked waiting for it (test
//! `a_trainer_has_its_last_group_soon`). All other samples are delayed to share a write; near the
//! end of the step they are delayed until that last group is complete, or until the step is about
//! to be due.

use std::time::Duration;

/// Delay of a write before [`NEARLY_DUE`] and, once the target is reached or the step is about to
/// be due, of samples that complete no group. A crash of the runner, or an outage of the store,
/// costs at most the samples that were finished in this time.
const BATCH_DELAY: Duration = Duration::from_secs(1);

/// Time before the step is due from which only the last group that the trainer waits for is
/// written: the longest samples of a step end in this time, and its trainer polls twice.
const NEARLY_DUE: Duration = Duration::from_millis(1_300);

/// Time before the step is due at which all complete groups are written, so that they are readable
/// when it is due: a write takes some tens of milliseconds.
const WRITE_DEADLINE: Duration = Duration::from_millis(200);

/// Finished samples of a step that are not yet written to its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnwrittenResults {
    /// Whether one of them completes its group.
    pub completes_group: bool,
    /// Number of complete groups, written or not.
    pub complete_groups: usize,
    /// Number of groups that the trainer waits for.
    pub target_groups: usize,
    /// Age of the step when the oldest of these samples was finished.
    pub age: Duration,
    /// Age at which the step is due.
    pub due: Duration,
}

impl UnwrittenResults {
    /// Time for which the write is delayed after the oldest of these samples was finished.
    #[must_use]
    pub fn write_delay(&self) -> Duration {
        let has_target = self.complete_groups >= self.target_groups;
        let until = |before_due| self.due.saturating_sub(before_due + self.age);
        let (until_nearly_due, until_deadline) = (until(NEARLY_DUE), until(WRITE_DEADLINE));
        match (has_target || until_deadline.is_zero(), self.completes_group) {
            (true, true) => Duration::ZERO,
            (true, false) => BATCH_DELAY,
            (false, _) if until_nearly_due.is_zero() => until_deadline,
            (false, _) => BATCH_DELAY.min(until_nearly_due),
        }
    }
}
