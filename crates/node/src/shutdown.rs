//! Decides which requests of clients a node still takes after SIGTERM, and when those that it has
//! taken must have their final answer.
//!
//! The process is killed a given time after SIGTERM. The load balancer sends clients for some more
//! seconds, and clients use open connections until they are told not to, so a node that refused all
//! at once would refuse what it can still serve. One that took all to the end would break off
//! answers that last longer than the time which is left.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use tokio::sync::watch;

/// Longest time before SIGKILL at which the process ends by itself.
const MAX_KILL_MARGIN: Duration = Duration::from_secs(1);

/// Fraction of the time between SIGTERM and SIGKILL that this margin takes at most.
const KILL_MARGIN_FRACTION: f64 = 0.125;

/// Final answers are sent this long before the process ends, so that they reach their clients.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Longest time after SIGTERM for which the load balancer still sends clients here, after two
/// checks a second apart have failed.
const MAX_REROUTE_TIME: Duration = Duration::from_millis(2_500);

/// Fraction of the time until the process ends for which it takes requests that may outlast it.
const REROUTE_FRACTION: f64 = 1.0 / 3.0;

/// Times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Until then requests are taken whatever their deadline: most end long before it, and the
    /// load balancer has no other node for them yet.
    pub take_all_until: Instant,
    /// When requests without a final answer get one, and no others are taken.
    pub answer_at: Instant,
    /// When the process ends.
    pub exit_at: Instant,
}

impl ShutdownTimes {
    /// Times after a SIGTERM at `now`, which SIGKILL follows after `grace`.
    #[must_use]
    pub fn new(now: Instant, grace: Duration) -> Self {
        let margin = MAX_KILL_MARGIN.min(grace.mul_f64(KILL_MARGIN_FRACTION));
        let time_to_exit = grace.saturating_sub(margin);
        let reroute_time = MAX_REROUTE_TIME.min(time_to_exit.mul_f64(REROUTE_FRACTION));
        Self {
            take_all_until: now + reroute_time,
            answer_at: now + time_to_exit.saturating_sub(ANSWER_MARGIN),
            exit_at: now + time_to_exit,
        }
    }

    /// Whether a request that arrives at `now` and has until `deadline` is taken.
    #[must_use]
    pub fn may_take(&self, now: Instant, deadline: Instant) -> bool {
        now <= self.take_all_until || deadline <= self.answer_at
    }
}

/// The shutdown of this process; cheap to clone.
#[derive(Debug, Clone)]
pub struct Shutdown {
    clock: Arc<dyn Clock>,
    times: Arc<watch::Sender<Option<ShutdownTimes>>>,
}

impl Shutdown {
    /// Creates it for a process that has got no SIGTERM.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            times: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Begins it; SIGKILL follows after `grace`.
    pub fn begin(&self, grace: Duration) {
        let times = ShutdownTimes::new(self.clock.now(), grace);
        self.times.send_replace(Some(times));
    }

    /// Whether it has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.times.borrow().is_some()
    }

    /// Whether a request that has until `deadline` is taken now.
    #[must_use]
    pub fn may_take(&self, deadline: Instant) -> bool {
        let now = self.clock.now();
        let times = *self.times.borrow();
        times.is_none_or(|times| times.may_take(now, deadline))
    }

    /// Whether requests get their final answer now.
    #[must_use]
    pub fn is_answer_due(&self) -> bool {
        let times = *self.times.borrow();
        times.is_some_and(|times| times.answer_at <= self.clock.now())
    }

    /// The output of a future; `None` if requests get their final answer before it is there.
    pub async fn before_answer_due<F: Future>(&self, future: Pin<&mut F>) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.wait_for(|times| times.answer_at) => None,
        }
    }

    /// Waits until the process is to end.
    pub async fn exit_due(&self) {
        self.wait_for(|times| times.exit_at).await;
    }

    async fn wait_for(&self, due: impl Fn(&ShutdownTimes) -> Instant) {
        let mut times = self.times.subscribe();
        // The sender lives as long as `self`.
        let due = match times.wait_for(Option::is_some).await {
            Ok(times) => times.as_ref().map(due),
            Err(_closed) => None,
        };
        if let Some(due) = due {
            tokio::time::sleep_until(due.into()).await;
        }
    }
}
