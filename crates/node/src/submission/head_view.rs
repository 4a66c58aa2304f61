//! How old a runner's knowledge is that it still runs a submission and that more of it is
//! wanted. All times are on the clock that counts suspended time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::duty::BootClock;

/// A sample that may start now reaches its engine within this time: a connection may have to
/// be opened first.
const START_TAKES: Duration = Duration::from_millis(600);

/// Part of the time in which an end applies after which the head is looked at again. The
/// rest is for a slow answer.
const LOOK_AGAIN_PART: f64 = 0.6;

/// How old the head may be for what hangs on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Time between two looks at the head.
    pub look_every: Duration,
    /// No sample starts by a look that was sent longer ago.
    pub start_within: Duration,
}

impl HeadLimits {
    /// The limits where no sample of an ended submission may reach an engine that long after
    /// the end was confirmed.
    #[must_use]
    pub fn new(end_applies: Duration) -> Self {
        let look_every = end_applies.mul_f64(LOOK_AGAIN_PART);
        Self {
            look_every,
            start_within: end_applies.saturating_sub(START_TAKES).max(look_every),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Looks {
    /// When a read was last sent that showed this node as the runner, and no end.
    confirmed: Option<Duration>,
    /// When a look was last sent in which nobody reached the store.
    in_vain: Option<Duration>,
}

/// What one runner's looks at the head of a submission have shown.
#[derive(Debug, Default)]
pub struct HeadView {
    looks: Mutex<Looks>,
    looked: Notify,
    /// A sample waits for a look.
    wanted: Notify,
}

impl HeadView {
    /// A read that was sent then showed this node as the runner, and no end.
    pub fn confirm(&self, sent: Duration) {
        let mut looks = self.lock();
        looks.confirmed = looks.confirmed.max(Some(sent));
        drop(looks);
        self.looked.notify_waiters();
    }

    /// A read that was sent then brought no answer: without the store nobody ends a
    /// submission, and a node that alone is cut off from it must not stop all it runs.
    pub fn note_in_vain(&self, sent: Duration) {
        let mut looks = self.lock();
        looks.in_vain = looks.in_vain.max(Some(sent));
        drop(looks);
        self.looked.notify_waiters();
    }

    /// When a read was last sent that showed this node as the runner.
    #[must_use]
    pub fn confirmed(&self) -> Option<Duration> {
        self.lock().confirmed
    }

    /// Wakes up all that wait, for another reason to go on.
    pub fn wake(&self) {
        self.looked.notify_waiters();
    }

    /// Waits until a look is young enough for a sample to start, or `is_over`.
    pub async fn await_young(
        &self,
        clock: &dyn BootClock,
        limits: &HeadLimits,
        is_over: impl Fn() -> bool,
    ) {
        loop {
            let looked = self.looked.notified();
            tokio::pin!(looked);
            // Before the look, so that one in between is not missed.
            looked.as_mut().enable();
            if is_over() || self.is_young(clock.since_boot(), limits) {
                return;
            }
            self.wanted.notify_one();
            looked.await;
        }
    }

    /// Waits until a sample waits for a look.
    pub async fn look_wanted(&self) {
        self.wanted.notified().await;
    }

    fn is_young(&self, now: Duration, limits: &HeadLimits) -> bool {
        let looks = *self.lock();
        let last = looks.confirmed.max(looks.in_vain);
        last.is_some_and(|sent| now.saturating_sub(sent) <= limits.start_within)
    }

    fn lock(&self) -> MutexGuard<'_, Looks> {
        self.looks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
