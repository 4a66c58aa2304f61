//! When a runner last confirmed that it still runs a submission and that this has not ended.
//! All times are of the boot clock, which includes suspended time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::duty::BootClock;

/// Longest time from the start of a sample until it reaches its engine; this may take a new
/// connection.
const MAX_START_TIME: Duration = Duration::from_millis(600);

/// Interval between reads of the head, as a fraction of the time within which an end takes
/// effect. The rest is for a slow answer.
const READ_INTERVAL_FRACTION: f64 = 0.6;

/// Time limits for reads of the head of a submission that this node runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Interval between reads of the head.
    pub read_interval: Duration,
    /// A sample starts only if the last read was sent at most this long ago.
    pub max_age_at_start: Duration,
}

impl HeadLimits {
    /// Limits under which no sample of an ended submission reaches an engine later than
    /// `end_applies` after the end was confirmed.
    ///
    /// Below 1.5 s the read interval is the larger limit: a sample may then reach an engine up to
    /// `MAX_START_TIME` after that interval.
    #[must_use]
    pub fn new(end_applies: Duration) -> Self {
        let read_interval = end_applies.mul_f64(READ_INTERVAL_FRACTION);
        Self {
            read_interval,
            max_age_at_start: end_applies
                .saturating_sub(MAX_START_TIME)
                .max(read_interval),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Reads {
    /// When the last read was sent that showed this node as the runner, and no end.
    confirmed: Option<Duration>,
    /// When the last read was sent that the store did not answer.
    unanswered: Option<Duration>,
}

/// Times of a runner's reads of the head of a submission.
#[derive(Debug, Default)]
pub struct HeadView {
    reads: Mutex<Reads>,
    changed: Notify,
    /// A sample waits for a read.
    read_wanted: Notify,
}

impl HeadView {
    /// Records a read, sent at this time, that showed this node as the runner, and no end.
    pub fn record_confirmed(&self, sent: Duration) {
        let mut reads = self.lock();
        reads.confirmed = reads.confirmed.max(Some(sent));
        drop(reads);
        self.changed.notify_waiters();
    }

    /// Records a read, sent at this time, that the store did not answer. Samples may start after
    /// it: while the store is unavailable nobody can end a submission, and a node that alone is
    /// partitioned from the store must not stop everything that it runs.
    pub fn record_unreachable(&self, sent: Duration) {
        let mut reads = self.lock();
        reads.unanswered = reads.unanswered.max(Some(sent));
        drop(reads);
        self.changed.notify_waiters();
    }

    /// When the last read was sent that showed this node as the runner, and no end.
    #[must_use]
    pub fn last_confirmed(&self) -> Option<Duration> {
        self.lock().confirmed
    }

    /// Wakes all waiters, which check again whether to go on.
    pub fn wake_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Waits until a read is recent enough for a sample to start, or `is_over`.
    pub async fn wait_until_fresh(
        &self,
        clock: &dyn BootClock,
        limits: &HeadLimits,
        is_over: impl Fn() -> bool,
    ) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the check, so that no notification is missed.
            changed.as_mut().enable();
            if is_over() || self.is_fresh(clock.since_boot(), limits) {
                return;
            }
            self.read_wanted.notify_one();
            changed.await;
        }
    }

    /// Waits until a sample needs a read of the head.
    pub async fn read_requested(&self) {
        self.read_wanted.notified().await;
    }

    fn is_fresh(&self, now: Duration, limits: &HeadLimits) -> bool {
        let reads = *self.lock();
        let last = reads.confirmed.max(reads.unanswered);
        last.is_some_and(|sent| now.saturating_sub(sent) <= limits.max_age_at_start)
    }

    fn lock(&self) -> MutexGuard<'_, Reads> {
        self.reads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
