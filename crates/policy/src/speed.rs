//! Estimates how long work takes at an upstream, and how much of that is caused by noisy
//! neighbours: other workloads that share its VM or host. The slowdown that they cause is called
//! a disturbance.
//!
//! Upstreams of one service differ widely in speed, and noisy neighbours slow some of them down
//! for less than a second at a time. A single mean cannot tell a short disturbance from lasting
//! slowness: samples would be moved away from engines that are fast again when the move ends,
//! and calls would avoid, for seconds, an upstream that was slow only for a moment.
//!
//! Upstreams therefore report how long work currently takes on their VM, in percent of the
//! undisturbed time. Measured times are divided by that figure, which gives the undisturbed time.
//! The expected time of new work is the undisturbed time, multiplied by the figure while the
//! report is recent.

use std::time::Duration;
use std::time::Instant;

use crate::work::ReportedLoad;

/// Age from which a report is ignored. Its weight decreases linearly until then, since
/// disturbances last less than a second.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Reported loads of this age or older are left out of the mean: a high load of an upstream
/// that gets no calls would never be updated.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_secs(3);

/// Expected remaining duration of a disturbance at the time of its report.
const REMAINING_DISTURBANCE_S: f64 = 0.3;

/// Maximum age of a report that is applied to a measured time.
const APPLIED_REPORT_MAX_AGE: Duration = Duration::from_millis(200);

/// Time after which an unchanged figure other than [`UNDISTURBED_PERCENT`] is ignored: a measured
/// figure changes many times a second.
const STUCK_AFTER: Duration = Duration::from_secs(3);

/// Reported figure of an upstream that is not disturbed.
const UNDISTURBED_PERCENT: u32 = 100;

/// Lower bound of the slowdown factor of a report. Work is not expected to be faster than
/// undisturbed, so that a reported figure of zero does not attract work to an upstream.
const MIN_FACTOR: f64 = 1.0;

/// Upper bound of that factor.
const MAX_FACTOR: f64 = 4.0;

/// Observed time over which the undisturbed time is averaged.
const AVERAGING_TIME_S: f64 = 2.0;

/// Weight of a mean that was known before the first report, as observed time.
const PRIOR_WEIGHT_S: f64 = 0.5;

/// Weight of a measured time without a recent report. An unreported disturbance then changes
/// the undisturbed time by only a tenth, and lasting slowness still shows within seconds.
const UNREPORTED_WEIGHT: f64 = 0.25;

/// Measured times are capped at this multiple of the undisturbed time: a longer one is an event
/// after a pause.
const OUTLIER_FACTOR: f64 = 6.0;

/// Cost of a move: a new connection, the wait for the engine, and prefill of the prompt and the
/// text generated so far.
const MOVE_COST_S: f64 = 0.15;

/// Minimum ratio of the remaining time on the current engine to that after a move.
const MIN_MOVE_SPEEDUP: f64 = 1.4;

/// Minimum time that a move must save in addition; less is not worth a connection.
const MIN_MOVE_GAIN_S: f64 = 1.0;

/// Weight of one ended sample in the mean and the histogram, once enough samples have ended.
const MIN_SAMPLE_WEIGHT: f64 = 0.002;

/// Last report of an upstream about its VM.
#[derive(Debug, Clone, Copy)]
struct Report {
    percent: u32,
    reported_at: Instant,
    /// Time since which the figure has been unchanged, without a gap of [`REPORT_MAX_AGE`].
    unchanged_since: Instant,
}

/// Undisturbed time per unit of work of an upstream, and the disturbance that it reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    /// Time of one unit of work (an event or a call) on the undisturbed VM.
    undisturbed_s: Option<f64>,
    /// Observed time that the estimate is based on, at most [`AVERAGING_TIME_S`].
    observed_s: f64,
    last_recorded_at: Option<Instant>,
    report: Option<Report>,
}

impl Speed {
    /// Starts from the mean time per unit of work, in seconds, that was known before the first
    /// report; `None` if there is none.
    #[must_use]
    pub const fn from_mean(undisturbed_s: Option<f64>) -> Self {
        Self {
            undisturbed_s,
            observed_s: if undisturbed_s.is_some() {
                PRIOR_WEIGHT_S
            } else {
                0.0
            },
            last_recorded_at: None,
            report: None,
        }
    }

    /// Records a report of how long work currently takes, in percent of the undisturbed time.
    pub fn record_report(&mut self, now: Instant, percent: u32) {
        let is_repeat = |last: &Report| {
            last.percent == percent && now.duration_since(last.reported_at) < REPORT_MAX_AGE
        };
        let repeated = self.report.filter(is_repeat);
        self.report = Some(Report {
            percent,
            reported_at: now,
            unchanged_since: repeated.map_or(now, |last| last.unchanged_since),
        });
    }

    /// Records that a unit of work took this long.
    pub fn record_time(&mut self, now: Instant, took: Duration) {
        let previous = self.last_recorded_at.replace(now);
        let elapsed = previous.map_or(took, |previous| now.duration_since(previous));
        let (unit_s, weight) = match self.recent_factor(now) {
            Some(factor) => (took.as_secs_f64() / factor, 1.0),
            None => (took.as_secs_f64(), UNREPORTED_WEIGHT),
        };
        // Units that run concurrently share the observed time.
        let observed_s = elapsed.min(took).as_secs_f64() * weight;
        let mean_s = self.undisturbed_s.unwrap_or(unit_s);
        let unit_s = unit_s.min(mean_s * OUTLIER_FACTOR);
        self.observed_s = (self.observed_s + observed_s).min(AVERAGING_TIME_S);
        let step = (observed_s / self.observed_s.max(f64::MIN_POSITIVE)).min(1.0);
        self.undisturbed_s = Some(mean_s + (unit_s - mean_s) * step);
    }

    /// Seconds per unit of work on the undisturbed VM; `None` until a time is known.
    #[must_use]
    pub const fn undisturbed_s(&self) -> Option<f64> {
        self.undisturbed_s
    }

    /// Factor by which work takes longer now than on the undisturbed VM; 1 without a report.
    /// The weight of the report decreases with its age.
    #[must_use]
    pub fn disturbance(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 1.0;
        };
        1.0 + (report.factor(now) - 1.0) * freshness(now, report.reported_at)
    }

    /// Expected delay, in seconds, of work that starts now and takes `work_s` seconds on the
    /// undisturbed VM.
    #[must_use]
    pub fn expected_delay_s(&self, now: Instant, work_s: f64) -> f64 {
        let disturbance = self.disturbance(now);
        let disturbed_work_s = work_s.min(REMAINING_DISTURBANCE_S / disturbance);
        disturbed_work_s * (disturbance - 1.0)
    }

    /// The measured time divided by the factor of a recent report; unchanged if there is none.
    #[must_use]
    pub fn undisturbed_time(&self, now: Instant, took: Duration) -> Duration {
        took.div_f64(self.recent_factor(now).unwrap_or(1.0))
    }

    /// Factor of the last report; `None` if it is too old to be applied to a measured time.
    fn recent_factor(&self, now: Instant) -> Option<f64> {
        let recent = self
            .report
            .filter(|report| now.duration_since(report.reported_at) <= APPLIED_REPORT_MAX_AGE);
        recent.map(|report| report.factor(now))
    }
}

impl Report {
    fn factor(&self, now: Instant) -> f64 {
        let is_stuck = now.duration_since(self.unchanged_since) >= STUCK_AFTER;
        if is_stuck && self.percent != UNDISTURBED_PERCENT {
            return 1.0;
        }
        let factor = f64::from(self.percent) / f64::from(UNDISTURBED_PERCENT);
        factor.clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

/// Weight of a report by its age: 1 if it is new, 0 from [`REPORT_MAX_AGE`] on.
fn freshness(now: Instant, reported_at: Instant) -> f64 {
    let age_s = now.duration_since(reported_at).as_secs_f64();
    (1.0 - age_s / REPORT_MAX_AGE.as_secs_f64()).max(0.0)
}

/// Width of a histogram bucket, in events.
const BUCKET_EVENTS: u32 = 4;

/// Number of histogram buckets; the last one also counts all longer samples.
const BUCKETS: usize = 64;

/// Minimum share of longer samples for which their mean is used.
const MIN_LONGER_SHARE: f64 = 0.005;

/// Minimum number of ended samples for which the histogram is used: fewer may not include a
/// long one.
const MIN_SAMPLES: u32 = 64;

/// Histogram of the number of events per sample. Older samples lose weight exponentially.
#[derive(Debug, Clone)]
pub struct EventHistogram {
    mean_events: f64,
    samples: u32,
    /// Shares of the samples by their number of events.
    buckets: [f64; BUCKETS],
}

impl Default for EventHistogram {
    fn default() -> Self {
        Self {
            mean_events: 0.0,
            samples: 0,
            buckets: [0.0; BUCKETS],
        }
    }
}

impl EventHistogram {
    /// Records a sample that has ended with this number of events.
    pub fn record_sample(&mut self, events: u32) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_events += (f64::from(events) - self.mean_events) * weight;
        for share in &mut self.buckets {
            *share -= *share * weight;
        }
        let bucket = (events / BUCKET_EVENTS) as usize;
        self.buckets[bucket.min(BUCKETS - 1)] += weight;
    }

    /// Mean number of events; 0 until a sample has ended.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.mean_events
    }

    /// Expected number of further events of a sample that has produced `events_done`: the mean
    /// over longer samples. A sample longer than nearly all others is expected to be half done.
    #[must_use]
    pub fn remaining(&self, events_done: u32) -> f64 {
        let done = f64::from(events_done);
        if self.samples < MIN_SAMPLES {
            return done.max(self.mean_events);
        }
        let (mut longer_share, mut weighted_sum) = (0.0, 0.0);
        let first = (events_done / BUCKET_EVENTS) as usize + 1;
        for (bucket, share) in self.buckets.iter().enumerate().skip(first) {
            let middle = (bucket as f64 + 0.5) * f64::from(BUCKET_EVENTS);
            longer_share += share;
            weighted_sum += share * (middle - done);
        }
        if longer_share < MIN_LONGER_SHARE {
            return done;
        }
        weighted_sum / longer_share
    }
}

/// Expected remaining time of a sample on its current engine and on another one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemainingTime {
    /// Remaining seconds on its current engine.
    pub current_engine_s: f64,
    /// Remaining seconds on another engine, including the cost of the move.
    pub other_engine_s: f64,
}

impl RemainingTime {
    /// Adds the cost of a move to `other_engine_s`. The caller computes `current_engine_s` from the
    /// undisturbed time of the current engine, and `other_engine_s` from the time and disturbance
    /// of the other one.
    #[must_use]
    pub const fn with_move_cost(current_engine_s: f64, other_engine_s: f64) -> Self {
        Self {
            current_engine_s,
            other_engine_s: other_engine_s + MOVE_COST_S,
        }
    }

    /// Whether the sample would end enough sooner on the other engine to be moved.
    #[must_use]
    pub fn is_worth_moving(&self) -> bool {
        let gain_s = self.current_engine_s - self.other_engine_s;
        gain_s >= MIN_MOVE_GAIN_S && self.current_engine_s >= self.other_engine_s * MIN_MOVE_SPEEDUP
    }
}

/// Median call time and mean load of the upstreams that serve calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerStats {
    /// Median of their undisturbed times of a call.
    median_call_s: Option<f64>,
    /// Mean of the loads that they reported within [`PEER_LOAD_MAX_AGE`].
    mean_load: f64,
}

impl PeerStats {
    /// Computes both from these upstreams.
    #[must_use]
    pub fn of<'a>(now: Instant, upstreams: impl Iterator<Item = &'a CallSpeed> + Clone) -> Self {
        let call_times = upstreams
            .clone()
            .filter_map(|upstream| upstream.speed.undisturbed_s());
        let mut times: Vec<f64> = call_times.collect();
        times.sort_unstable_by(f64::total_cmp);
        let is_recent =
            |upstream: &&CallSpeed| now.duration_since(upstream.load_at) < PEER_LOAD_MAX_AGE;
        let recent = upstreams.filter(is_recent);
        let count = recent.clone().count();
        let loads: f64 = recent.map(CallSpeed::reported_load).sum();
        Self {
            median_call_s: times.get(times.len() / 2).copied(),
            mean_load: loads / count.max(1) as f64,
        }
    }
}

/// Speed and load of an upstream that serves calls, from its reports and the calls of this node.
#[derive(Debug, Clone, Copy)]
pub struct CallSpeed {
    speed: Speed,
    load: ReportedLoad,
    load_at: Instant,
    /// Calls that this node has sent since the last report.
    sent_since_report: u32,
}

impl CallSpeed {
    /// Starts from the first report of the upstream's speed.
    #[must_use]
    pub fn new(now: Instant, load: ReportedLoad) -> Self {
        let mut first = Self {
            speed: Speed::default(),
            load,
            load_at: now,
            sent_since_report: 0,
        };
        first.record_load(now, load);
        first
    }

    /// Records a report. If its `time_percent` is `None`, the earlier figure is used until it
    /// expires.
    pub fn record_load(&mut self, now: Instant, load: ReportedLoad) {
        self.load = load;
        self.load_at = now;
        self.sent_since_report = 0;
        if let Some(percent) = load.time_percent {
            self.speed.record_report(now, percent);
        }
    }

    /// Records that this node sent a call there.
    pub const fn record_sent(&mut self) {
        self.sent_since_report += 1;
    }

    /// Records the time of an answered call, less the estimated wait for a slot at the upstream,
    /// which does not depend on the VM's speed.
    pub fn record_time(&mut self, now: Instant, took: Duration) {
        let waiting = f64::from(self.load.waiting) / f64::from(self.load.slots.max(1));
        self.speed.record_time(now, took.div_f64(1.0 + waiting));
    }

    /// Undisturbed time and reported disturbance.
    #[must_use]
    pub const fn speed(&self) -> &Speed {
        &self.speed
    }

    /// Expected calls at the upstream, including one sent now, divided by its slots. As the
    /// report ages, it is gradually replaced by the mean load of the peers or by the running calls
    /// of this node, whichever is larger.
    #[must_use]
    pub fn load_with_next_call(&self, now: Instant, own_calls: u32, peers: &PeerStats) -> f64 {
        let fresh = freshness(now, self.load_at);
        let sent = self.per_slot(self.sent_since_report);
        let unreported = peers.mean_load.max(self.per_slot(own_calls));
        let before = (self.reported_load() + sent) * fresh + unreported * (1.0 - fresh);
        before + self.per_slot(1)
    }

    /// Running and waiting calls in the last report, divided by the slots.
    fn reported_load(&self) -> f64 {
        self.per_slot(self.load.running.saturating_add(self.load.waiting))
    }

    fn per_slot(&self, calls: u32) -> f64 {
        f64::from(calls) / f64::from(self.load.slots.max(1))
    }

    /// Factor by which a call sent now takes longer than at the median of the peers.
    #[must_use]
    pub fn slowness(&self, now: Instant, peers: &PeerStats) -> f64 {
        let undisturbed = match (self.speed.undisturbed_s(), peers.median_call_s) {
            (Some(undisturbed_s), Some(median_s)) if median_s > 0.0 => undisturbed_s / median_s,
            _ => 1.0,
        };
        undisturbed * self.speed.disturbance(now)
    }
}
