//! Estimates whether an upstream that many nodes share has room for one more call.
//!
//! Dozens of nodes send bursts of calls to a few upstreams with a few slots each. Without an
//! estimate each node uses all slots as if no other node did, upstreams refuse many calls, and
//! every refused call is sent again at once.
//!
//! Each node tracks the load that upstreams report with their responses, and keeps a limit of
//! calls in flight for each upstream. Refusals and long queues cut the limit, other responses
//! raise it (additive increase, multiplicative decrease). A limit below one spaces calls out in
//! time.

use std::time::Duration;
use std::time::Instant;

use crate::lane::Headroom;
use crate::lane::ServingSlots;
use crate::route::splitmix64;
use crate::work::Ending;
use crate::work::Finish;
use crate::work::ReportedLoad;
use crate::work::UpstreamKey;
use crate::work::UpstreamState;

/// Time for which a reported load is valid; the work that it covers has ended by then.
const REPORT_VALID_FOR: Duration = Duration::from_secs(1);

/// Waiting calls per slot up to which an upstream gets more calls: its slots stay busy until
/// the next report arrives, and its queue keeps room for other nodes.
const WAITING_PER_SLOT: f64 = 1.5;

/// Factor by which a refusal cuts the limit.
const REFUSAL_FACTOR: f64 = 0.5;

/// Factor by which a response that reports a long queue cuts the limit. The cut is small,
/// since every node that gets a response sees the same queue and cuts its own limit.
const LONG_QUEUE_FACTOR: f64 = 0.9;

/// What one response from an upstream without a long queue adds to the limit, before division
/// by the limit (additive increase). A node gets few responses a second from each upstream:
/// smaller steps leave slots idle after a burst.
const RAISE: f64 = 1.0;

/// The same as [`RAISE`], for a response that reports free slots.
const RAISE_WITH_FREE_SLOTS: f64 = 2.0;

/// Least limit: a node still sends a call, and learns the upstream's load, at least every
/// twenty call times on average.
const MIN_LIMIT: f64 = 0.05;

/// Assumed duration of a call until one has been answered.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(50);

/// Weight of one call in the moving averages of call times.
const MEAN_WEIGHT: f64 = 0.1;

/// The upstreams count as congested while the sum of limits is below this part of all slots.
const CONGESTED_FRACTION: f64 = 0.25;

/// Lower bound of the random factor on pauses.
const MIN_JITTER: f64 = 0.5;

/// Upper bound of the random factor on pauses.
const MAX_JITTER: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
struct Report {
    load: ReportedLoad,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct UpstreamRoom {
    key: UpstreamKey,
    slots: u32,
    reported: Option<Report>,
    /// Own calls that the last reported load does not cover.
    started_since_report: u32,
    in_flight: u32,
    limit: f64,
    /// Mean service time of a call, without its wait in the upstream's queue.
    service_time: Duration,
    /// Mean time from the start of a call to its end.
    call_time: Duration,
    closed_until: Option<Instant>,
    cut_at: Option<Instant>,
    next_start: Option<Instant>,
}

/// The upstreams of one service, as one node sees them.
#[derive(Debug)]
pub struct Occupancy {
    /// Sorted by key.
    upstreams: Vec<UpstreamRoom>,
    /// State of the random numbers.
    random: u64,
}

impl Occupancy {
    /// Without upstreams. The random seed must differ by node, so that their pauses differ.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            random: seed,
        }
    }

    /// Sets the upstreams. State of those that are missing or leaving is discarded.
    pub fn set_upstreams(&mut self, upstreams: &[UpstreamState]) {
        let staying = upstreams.iter().filter(|state| !state.leaving);
        let mut updated: Vec<UpstreamRoom> =
            staying.map(|state| self.updated_state(state)).collect();
        updated.sort_unstable_by_key(|upstream| upstream.key);
        self.upstreams = updated;
    }

    /// State of an upstream, taken over from the known one with the same key if there is one.
    fn updated_state(&self, state: &UpstreamState) -> UpstreamRoom {
        let slots = state.limit.max(1);
        match self.index_of(state.key) {
            Some(index) => UpstreamRoom {
                slots,
                ..self.upstreams[index]
            },
            None => UpstreamRoom::new(state.key, slots),
        }
    }

    /// Keys of the upstreams, ascending.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        self.upstreams.iter().map(|upstream| upstream.key)
    }

    /// Records the start of a call at the upstream.
    pub fn record_start(&mut self, now: Instant, key: UpstreamKey) {
        let factor = self.jitter();
        let Some(upstream) = self.upstream_mut(key) else {
            return;
        };
        upstream.in_flight += 1;
        upstream.started_since_report += 1;
        if upstream.limit < 1.0 {
            let pause = upstream
                .call_time
                .div_f64(upstream.limit)
                .min(REPORT_VALID_FOR);
            upstream.next_start = Some(now + pause.mul_f64(factor));
        }
    }

    /// Records the end of a call at the upstream.
    pub fn record_end(&mut self, now: Instant, key: UpstreamKey, finish: &Finish) {
        let factor = self.jitter();
        let Some(upstream) = self.upstream_mut(key) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.record_report(now, finish.reported_load);
        match finish.ending {
            Ending::Refused => upstream.record_refusal(now, factor),
            Ending::Answered => upstream.record_answer(now, finish),
            Ending::Unreachable | Ending::Failed | Ending::Abandoned => {}
        }
    }

    /// Whether one more call may start there now.
    #[must_use]
    pub fn has_room(&self, now: Instant, key: UpstreamKey) -> bool {
        let upstream = self.index_of(key).map(|index| &self.upstreams[index]);
        upstream
            .and_then(|upstream| upstream.opens_at(now))
            .is_some_and(|at| at <= now)
    }

    /// Earliest time at which an upstream that has no room now gets some without a call of this
    /// node ending; `None` if there is no such time.
    #[must_use]
    pub fn next_open_at(&self, now: Instant) -> Option<Instant> {
        let opening = self.upstreams.iter();
        opening
            .filter_map(|upstream| upstream.opens_at(now))
            .filter(|at| *at > now)
            .min()
    }

    /// Estimated room for the queue that `serving` serves. `is_open`: one more call may start
    /// now.
    #[must_use]
    pub fn headroom(&self, now: Instant, serving: ServingSlots, is_open: bool) -> Headroom {
        let opening = self
            .upstreams
            .iter()
            .map(|upstream| upstream.expected_open_at(now));
        let opens = opening.min().filter(|_| !is_open);
        Headroom {
            serving,
            has_free_slot: is_open
                && self
                    .upstreams
                    .iter()
                    .any(|upstream| upstream.has_free_slot(now)),
            available_in: opens.map_or(Duration::ZERO, |at| at.duration_since(now)),
            is_congested: self.is_congested(),
        }
    }

    /// Calls that this node may have in flight on average, in thousandths of a call.
    #[must_use]
    pub fn milli_slots(&self) -> u32 {
        let limits = self.upstreams.iter().map(|upstream| upstream.limit);
        (limits.sum::<f64>() * 1_000.0) as u32
    }

    /// Whether the limits of this node have been cut to a small part of the slots.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        let limits = self
            .upstreams
            .iter()
            .map(|upstream| upstream.limit)
            .sum::<f64>();
        let slots = self
            .upstreams
            .iter()
            .map(|upstream| f64::from(upstream.slots));
        limits < slots.sum::<f64>() * CONGESTED_FRACTION
    }

    fn index_of(&self, key: UpstreamKey) -> Option<usize> {
        self.upstreams
            .binary_search_by_key(&key, |upstream| upstream.key)
            .ok()
    }

    fn upstream_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamRoom> {
        self.index_of(key).map(|index| &mut self.upstreams[index])
    }

    fn jitter(&mut self) -> f64 {
        self.random = splitmix64(self.random);
        let fraction = self.random as f64 / u64::MAX as f64;
        MIN_JITTER + (MAX_JITTER - MIN_JITTER) * fraction
    }
}

impl UpstreamRoom {
    const fn new(key: UpstreamKey, slots: u32) -> Self {
        Self {
            key,
            slots,
            reported: None,
            started_since_report: 0,
            in_flight: 0,
            limit: slots as f64,
            service_time: INITIAL_CALL_TIME,
            call_time: INITIAL_CALL_TIME,
            closed_until: None,
            cut_at: None,
            next_start: None,
        }
    }

    /// When the next call may start; `None` if a call has to end first.
    fn opens_at(&self, now: Instant) -> Option<Instant> {
        (!self.is_at_limit()).then(|| self.pause_ends_at(now))
    }

    /// When the next call may likely start, be it by time alone or after a call has ended.
    fn expected_open_at(&self, now: Instant) -> Instant {
        let paused = self.pause_ends_at(now).max(now);
        if !self.is_at_limit() {
            return paused;
        }
        let call_ends = now + self.call_time.min(REPORT_VALID_FOR) / self.in_flight.max(1);
        paused.max(call_ends)
    }

    /// A call that starts now likely finds a free slot and no queue.
    fn has_free_slot(&self, now: Instant) -> bool {
        let is_open = self.opens_at(now).is_some_and(|at| at <= now);
        let reported = self
            .reported
            .filter(|reported| now < reported.at + REPORT_VALID_FOR);
        is_open && reported.is_none_or(|reported| self.calls_there(reported) < reported.load.slots)
    }

    /// Calls at the upstream: those reported, and those that this node has started since.
    const fn calls_there(&self, reported: Report) -> u32 {
        reported
            .load
            .total()
            .saturating_add(self.started_since_report)
    }

    fn is_at_limit(&self) -> bool {
        let max_in_flight = (self.limit as u32).max(1);
        self.in_flight >= max_in_flight
    }

    /// When all pauses are over.
    fn pause_ends_at(&self, now: Instant) -> Instant {
        let mut at = self.closed_until.unwrap_or(now);
        if self.limit < 1.0 {
            at = at.max(self.next_start.unwrap_or(now));
        }
        at.max(self.drained_at().unwrap_or(now))
    }

    /// When the reported queue, with this node's later calls, is expected to be short again;
    /// `None` without a report.
    fn drained_at(&self) -> Option<Instant> {
        let reported = self.reported?;
        let slots = f64::from(reported.load.slots.max(1));
        let excess_calls =
            f64::from(self.calls_there(reported)) + 1.0 - slots * (1.0 + WAITING_PER_SLOT);
        let drained = self.service_time.mul_f64(excess_calls.max(0.0) / slots);
        Some(reported.at + drained.min(REPORT_VALID_FOR))
    }

    fn record_report(&mut self, now: Instant, reported: Option<ReportedLoad>) {
        if let Some(load) = reported {
            self.reported = Some(Report { load, at: now });
            self.started_since_report = 0;
        } else if self
            .reported
            .is_some_and(|report| now >= report.at + REPORT_VALID_FOR)
        {
            self.reported = None;
        }
    }

    fn record_answer(&mut self, now: Instant, finish: &Finish) {
        let per_slot = finish.reported_load.map_or(0.0, waiting_per_slot);
        let service_time = finish.elapsed.div_f64(1.0 + per_slot);
        self.service_time = moving_mean(self.service_time, service_time);
        self.call_time = moving_mean(self.call_time, finish.elapsed);
        if per_slot > WAITING_PER_SLOT {
            self.cut(now, LONG_QUEUE_FACTOR);
        } else {
            let has_free = finish
                .reported_load
                .is_some_and(|reported| reported.total() < reported.slots);
            let raise = if has_free {
                RAISE_WITH_FREE_SLOTS
            } else {
                RAISE
            };
            let raised = self.limit + raise / self.limit.max(1.0);
            self.limit = raised.min(f64::from(self.slots));
        }
    }

    fn record_refusal(&mut self, now: Instant, factor: f64) {
        self.cut(now, REFUSAL_FACTOR);
        let drains = match self.reported {
            Some(reported) if reported.at == now => {
                self.service_time.mul_f64(waiting_per_slot(reported.load))
            }
            _ => self.call_time,
        };
        self.closed_until = Some(now + drains.min(REPORT_VALID_FOR).mul_f64(factor));
    }

    /// Cuts the limit, at most once per call time: calls that were in flight together report
    /// the same overload.
    fn cut(&mut self, now: Instant, factor: f64) {
        if self.cut_at.is_some_and(|at| now < at + self.call_time) {
            return;
        }
        self.cut_at = Some(now);
        let used = f64::from(self.in_flight + 1);
        self.limit = (self.limit.min(used) * factor).max(MIN_LIMIT);
    }
}

fn waiting_per_slot(load: ReportedLoad) -> f64 {
    f64::from(load.waiting) / f64::from(load.slots.max(1))
}

fn moving_mean(mean: Duration, measured: Duration) -> Duration {
    mean.mul_f64(1.0 - MEAN_WEIGHT) + measured.mul_f64(MEAN_WEIGHT)
}
