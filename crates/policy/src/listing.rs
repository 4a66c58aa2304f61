//! When samples that are done are written to the log of their step.
//!
//! **Load:** the samples of a step end one by one over some seconds, and each write is a
//! call of the platform's store. **Without it:** each group that becomes whole is written
//! by itself, 16 to 25 writes a step. **How:** a trainer goes on once it has all groups that it
//! waits for, so only the last of them is urgent, and whatever ends shortly before the
//! step is due. All others wait for company. **Thresholds:** beside each constant.

use std::time::Duration;

/// Samples wait this long for others where the step is neither nearly whole nor nearly
/// due. It is also what a crash of the runner costs in samples that were done. A trainer
/// reads each 500 ms.
const CALM_WAIT: Duration = Duration::from_secs(1);

/// The wait of samples that make no group whole where the step is nearly due.
const URGENT_WAIT: Duration = Duration::from_millis(300);

/// A step is nearly due this long before its time. A calm wait that began just before
/// ends 300 ms before that time; a write to a slow store takes 300 ms, a trainer's next
/// read comes within 500 ms.
const NEARLY_DUE: Duration = Duration::from_millis(1_300);

/// What is known of a step's samples that are done and not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unwritten {
    /// One of them makes its group whole.
    pub completes_group: bool,
    /// Groups that are whole, written or not.
    pub whole_groups: usize,
    /// Groups that the trainer waits for.
    pub target_groups: usize,
    /// Time since the step was submitted.
    pub age: Duration,
    /// The step is due at this age.
    pub due: Duration,
}

impl Unwritten {
    /// How long the oldest of these samples waits for others.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let enough = self.whole_groups >= self.target_groups;
        let urgent = enough || self.age + NEARLY_DUE >= self.due;
        match (urgent, self.completes_group) {
            (true, true) => Duration::ZERO,
            (true, false) => URGENT_WAIT,
            (false, _) => CALM_WAIT,
        }
    }
}
