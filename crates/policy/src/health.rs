//! Health of an upstream: outlier ejection, probing and slow start.
//!
//! An upstream may answer ten times slower than its peers, fail, or have just started or returned.
//! With an equal share of the work, a slow one sets the p99 latency of the fleet, and a new
//! one with a cold cache gets a full batch at once.
//!
//! Time per token is compared with the median of the peers, since all of them slow down as
//! batches grow. An outlier is ejected for a while and returns by one probe and a slow start.
//! Only a limited part of the upstreams is ejected: if more stand out, load is the cause, and
//! ejection would move that load to the rest.

use std::time::Duration;
use std::time::Instant;

use crate::work::Ending;

/// An upstream that is slower than the median by this factor is an outlier. At equal limits,
/// batches of peers differ by less than a factor of two.
const OUTLIER_FACTOR: f64 = 3.0;

/// Consecutive failures that eject an upstream; one may be caused by the request.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection: longer than a swap of weights, shorter than a restart.
const FIRST_EJECTION: Duration = Duration::from_secs(10);

/// Longest ejection, and so the longest time until a recovered upstream is probed.
const LONGEST_EJECTION: Duration = Duration::from_secs(80);

/// Ejection of an upstream that could not be reached: a restart takes seconds, and a short
/// ejection after a transient error costs little.
const UNREACHABLE_EJECTION: Duration = Duration::from_secs(2);

/// Duration of a slow start: a cold prefix cache fills in about the time of a few answers.
const SLOW_START: Duration = Duration::from_secs(10);

/// Part of the share that is usable at the beginning of a slow start.
const SLOW_START_FRACTION: f64 = 0.25;

/// Weight of one answer in the moving average of the time per token.
const MEAN_WEIGHT: f64 = 0.1;

/// Answers before an upstream is compared with its peers.
const MIN_ANSWERS_TO_COMPARE: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Gets work; `since` is when its slow start began, `None` once that is over.
    Serving {
        since: Option<Instant>,
    },
    Ejected {
        until: Instant,
    },
    /// Gets one request at a time; an answer ends the ejection.
    Probing,
}

/// Health of one upstream, as seen by this entry.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    state: State,
    us_per_token: f64,
    answers: u32,
    consecutive_failures: u32,
    ejections: u32,
    /// The last ejection was for slowness, not for failures.
    was_slow: bool,
    /// Elapsed over expected time of running work, relative to peers; at least 1.
    overdue_ratio: f64,
    slowness: f64,
}

impl Health {
    /// An upstream without slow start: it was there when this entry started.
    #[must_use]
    pub const fn warm() -> Self {
        Self {
            state: State::Serving { since: None },
            us_per_token: 0.0,
            answers: 0,
            consecutive_failures: 0,
            ejections: 0,
            was_slow: false,
            overdue_ratio: 1.0,
            slowness: 1.0,
        }
    }

    /// An upstream that has just appeared and gets a slow start.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        let mut health = Self::warm();
        health.state = State::Serving { since: Some(now) };
        health
    }

    /// Records how work ended. `may_eject`: whether repeated failures may eject the upstream.
    pub fn record_end(
        &mut self,
        now: Instant,
        ending: Ending,
        cost_tokens: u32,
        elapsed: Duration,
        may_eject: bool,
    ) {
        match ending {
            Ending::Answered => self.record_answer(now, cost_tokens, elapsed),
            Ending::Unreachable => {
                let until = now + UNREACHABLE_EJECTION;
                self.was_slow = false;
                self.state = State::Ejected { until };
            }
            Ending::Failed => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_TO_EJECT && may_eject {
                    self.eject(now);
                }
            }
            Ending::Abandoned | Ending::Refused => {
                if self.state == State::Probing {
                    let was_slow = self.was_slow;
                    self.eject(now);
                    self.was_slow = was_slow;
                }
            }
        }
    }

    fn record_answer(&mut self, now: Instant, cost_tokens: u32, elapsed: Duration) {
        let us_per_token = elapsed.as_secs_f64() * 1e6 / f64::from(cost_tokens.max(1));
        self.consecutive_failures = 0;
        if self.state == State::Probing {
            // Measurements from before the ejection no longer apply.
            self.answers = 0;
            self.overdue_ratio = 1.0;
            self.slowness = 1.0;
            self.state = State::Serving { since: Some(now) };
        }
        self.answers = self.answers.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.answers));
        self.us_per_token += (us_per_token - self.us_per_token) * weight;
    }

    /// Mean time per token in microseconds; `None` with too few answers or while ejected.
    #[must_use]
    pub fn comparable_us_per_token(&self) -> Option<f64> {
        let has_enough_answers = self.answers >= MIN_ANSWERS_TO_COMPARE;
        let is_serving = matches!(self.state, State::Serving { .. });
        (has_enough_answers && is_serving).then_some(self.us_per_token)
    }

    /// Sets elapsed over expected time of running work, relative to peers; at least 1.
    pub const fn set_overdue_ratio(&mut self, overdue_ratio: f64) {
        self.overdue_ratio = overdue_ratio;
    }

    /// Compares the upstream with the median of its peers.
    pub fn compare(&mut self, median_us_per_token: Option<f64>) {
        let answer_slowness = match (self.comparable_us_per_token(), median_us_per_token) {
            (Some(own), Some(median)) if median > 0.0 => own / median,
            _ => 1.0,
        };
        self.slowness = answer_slowness.max(self.overdue_ratio);
    }

    /// Factor by which it is slower than its peers.
    #[must_use]
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Elapsed over expected time of running work, relative to peers; at least 1.
    #[must_use]
    pub const fn overdue_ratio(&self) -> f64 {
        self.overdue_ratio
    }

    /// Whether it is so much slower than its peers that it is to be ejected.
    #[must_use]
    pub fn is_outlier(&self) -> bool {
        matches!(self.state, State::Serving { .. }) && self.slowness >= OUTLIER_FACTOR
    }

    /// Whether the next request goes to it as a probe after an ejection for failures: a
    /// request that fails there is retried elsewhere at once. An upstream that was slow would
    /// make its caller wait, so live calls do not probe it while its peers have room.
    #[must_use]
    pub fn is_probed_first(&self) -> bool {
        self.state == State::Probing && !self.was_slow
    }

    /// Whether it gets no work, or one probe only.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        !matches!(self.state, State::Serving { .. })
    }

    /// Ejects it for slowness.
    pub fn eject_slow(&mut self, now: Instant) {
        self.eject(now);
        self.was_slow = true;
    }

    /// Ejects it, for twice as long each time up to [`LONGEST_EJECTION`].
    fn eject(&mut self, now: Instant) {
        self.was_slow = false;
        let pause = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.state = State::Ejected {
            until: now + pause.min(LONGEST_EJECTION),
        };
    }

    /// Slots of `share` that may be used now. Moves on to probing, or to the end of the slow
    /// start, once it is time.
    pub fn usable_slots(&mut self, now: Instant, share: u32) -> u32 {
        match self.state {
            State::Serving { since: None } => share,
            State::Serving { since: Some(since) } => {
                let age = now.duration_since(since);
                if age >= SLOW_START {
                    self.state = State::Serving { since: None };
                    self.ejections = 0;
                    return share;
                }
                let elapsed_fraction = age.as_secs_f64() / SLOW_START.as_secs_f64();
                let fraction = SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * elapsed_fraction;
                (f64::from(share) * fraction).ceil() as u32
            }
            State::Ejected { until } if until > now => 0,
            State::Ejected { .. } => {
                self.state = State::Probing;
                share.min(1)
            }
            State::Probing => share.min(1),
        }
    }
}

/// Part of the upstreams that may be ejected at the same time for slowness or failures.
const MAX_EJECTED_FRACTION: f64 = 0.3;

/// How many upstreams may be ejected at the same time for slowness or failures: none of fewer
/// than three, at least one of three or more.
#[must_use]
pub fn ejections_allowed(upstreams: usize) -> usize {
    if upstreams < 3 {
        return 0;
    }
    ((upstreams as f64 * MAX_EJECTED_FRACTION) as usize).max(1)
}
