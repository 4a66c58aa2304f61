//! When failures are to be reported to other nodes.

use std::time::Duration;
use std::time::Instant;

/// Time between the first failure of a request and its report: most requests succeed at another
/// upstream meanwhile, which clears it.
const FIRST_FAILURE_DELAY: Duration = Duration::from_millis(200);

/// When changes are to be reported.
#[derive(Debug, Default)]
pub(crate) struct ReportTimer {
    /// When the oldest unreported change was made.
    since: Option<Instant>,
    /// Whether they are to be reported without a delay.
    is_urgent: bool,
}

impl ReportTimer {
    /// Records a change.
    pub(crate) fn start(&mut self, now: Instant, is_urgent: bool) {
        self.since.get_or_insert(now);
        self.is_urgent |= is_urgent;
    }

    /// Records that all changes were reported.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Time until the changes are due; `None` if there are none.
    pub(crate) fn delay(&self, now: Instant) -> Option<Duration> {
        let since = self.since?;
        if self.is_urgent {
            return Some(Duration::ZERO);
        }
        Some((since + FIRST_FAILURE_DELAY).saturating_duration_since(now))
    }
}
