//! Dispatcher for calls of training steps to a plain service that also serves live callers.
//!
//! The samples of a step end together, and each then needs one call: a hundred calls that
//! may take seconds arrive at once, next to a few lookups per second that must be answered
//! within a tenth of a second. Sent without pacing, the calls fill all slots of the service
//! for most of a second, and more than half of the lookups in that second are late.
//!
//! While the calls have slack, some slots of each upstream stay free for callers and other
//! senders, according to the load that the upstream reports. The calls use the other slots,
//! within a window that doubles with each round of answers. Once time is short, they use all
//! slots. Calls are not delayed beyond that, however much slack their step has: a step that
//! ends sooner is complete before the next outage of the store or loss of its runner.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Decision;
use crate::dispatch::Dispatcher;
use crate::health::Health;
use crate::health::ejections_allowed;
use crate::route::ScoreInputs;
use crate::service_time::ServiceTimeEstimate;
use crate::work::Ending;
use crate::work::EntryDemands;
use crate::work::Finish;
use crate::work::Refusal;
use crate::work::ReportedLoad;
use crate::work::UpstreamKey;
use crate::work::UpstreamState;
use crate::work::Work;
use crate::work::WorkKey;

/// Part of the time until the deadline within which calls should end; the rest is for calls
/// that fail. If that takes more slots than pacing allows, the calls use all slots.
const USABLE_TIME_FRACTION: f64 = 0.6;

/// Part of an upstream's slots that always stays free for callers while there is slack: the
/// reported load shows a burst of calls only after it has begun.
const RESERVED_FOR_CALLERS: f64 = 0.25;

/// Half-life of the highest reported load of other senders: bursts of callers last seconds.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which a reported load is valid.
const REPORT_VALID_FOR: Duration = Duration::from_secs(1);

/// Retry delay of a call that finds no upstream.
const RETRY_DELAY: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Upstream {
    state: UpstreamState,
    health: Health,
    in_flight: u32,
    /// Requests of other senders, and when they were reported.
    others: Option<(u32, Instant)>,
    /// Highest number of such requests, and when it was reported.
    peak: Option<(f64, Instant)>,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    work: WorkKey,
    upstream: UpstreamKey,
    deadline: Instant,
    cost_tokens: u32,
}

/// Runs calls in slots that live callers leave free, and in all slots once time is short.
///
/// The deadline of a call is the due time of its step. A call past its deadline is not
/// refused: it starts as soon as a slot is free.
#[derive(Debug, Default)]
pub struct BackgroundDispatcher {
    /// Sorted by key.
    upstreams: Vec<Upstream>,
    /// Sorted by deadline, then key.
    waiting: Vec<Work>,
    /// Sorted by work.
    running: Vec<Running>,
    /// Calls that may run at once while there is slack. It starts with half of the slots and
    /// doubles with each round of answers: several nodes may start at the same time, and
    /// reported loads show that only with the first answers.
    window: u32,
    estimate: ServiceTimeEstimate,
    decisions: VecDeque<Decision>,
    /// Calls start as soon as any slot is free.
    unpaced: bool,
}

impl Upstream {
    const fn new(state: UpstreamState, health: Health) -> Self {
        Self {
            state,
            health,
            in_flight: 0,
            others: None,
            peak: None,
        }
    }

    /// Last reported number of requests of other senders; 0 once the report has expired.
    fn others(&self, now: Instant) -> u32 {
        let is_valid = |report: &(u32, Instant)| now.duration_since(report.1) <= REPORT_VALID_FOR;
        self.others.filter(is_valid).map_or(0, |(others, _)| others)
    }

    /// Highest number of requests of other senders, decayed by its age.
    fn peak(&self, now: Instant) -> f64 {
        let Some((peak, at)) = self.peak else {
            return 0.0;
        };
        let halvings = now.duration_since(at).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        peak * 0.5_f64.powf(halvings)
    }

    /// Slots that stay free for other senders while there is slack: those that they use, and
    /// some more for callers.
    fn reserved_for_others(&self, now: Instant) -> u32 {
        let for_callers = f64::from(self.state.limit) * RESERVED_FOR_CALLERS;
        (self.peak(now) + for_callers).ceil() as u32
    }

    /// Slots that the calls may use. At least one unless the upstream is leaving or ejected:
    /// several senders count each other's calls as load, and could otherwise all wait forever.
    fn usable_slots(&mut self, now: Instant, use_all_slots: bool) -> u32 {
        let usable = if self.state.leaving {
            0
        } else {
            self.health.usable_slots(now, self.state.limit)
        };
        if use_all_slots {
            return usable;
        }
        let unreserved = self
            .state
            .limit
            .saturating_sub(self.reserved_for_others(now));
        usable.min(unreserved.max(1))
    }

    fn record_load(&mut self, now: Instant, load: ReportedLoad) {
        let all = load.total();
        let others = all.saturating_sub(self.in_flight);
        self.others = Some((others, now));
        if f64::from(others) >= self.peak(now) {
            self.peak = Some((f64::from(others), now));
        }
    }

    fn score(&self, now: Instant) -> f64 {
        let inputs = ScoreInputs {
            in_flight: self.in_flight + self.others(now),
            slots: self.state.limit,
            reported_load: None,
            slowness: self.health.slowness(),
            local_zone: self.state.local_zone,
            first_on_ring: false,
            probe_first: self.health.is_probed_first(),
        };
        inputs.score()
    }
}

impl BackgroundDispatcher {
    /// A paced dispatcher without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A dispatcher that starts calls as soon as any slot is free.
    #[must_use]
    pub fn unpaced() -> Self {
        Self {
            unpaced: true,
            ..Self::default()
        }
    }

    fn index_of(&self, key: UpstreamKey) -> Option<usize> {
        let found = self
            .upstreams
            .binary_search_by_key(&key, |upstream| upstream.state.key);
        found.ok()
    }

    /// Number of concurrent calls with which each call ends well before its deadline.
    fn concurrency_needed(&self, now: Instant) -> f64 {
        let service_s = self.estimate.mean().as_secs_f64();
        let running = self.running.iter().map(|call| call.deadline);
        let mut deadlines: Vec<Instant> = self.waiting.iter().map(|work| work.deadline).collect();
        deadlines.extend(running);
        deadlines.sort_unstable();
        let needed = deadlines.iter().enumerate().map(|(earlier, deadline)| {
            let remaining = deadline.saturating_duration_since(now);
            let usable_s = remaining.mul_f64(USABLE_TIME_FRACTION).as_secs_f64();
            (earlier + 1) as f64 * service_s / usable_s.max(f64::MIN_POSITIVE)
        });
        needed.fold(1.0, f64::max).ceil()
    }

    fn start_waiting(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        let paced_slots: u32 = self
            .upstreams
            .iter_mut()
            .map(|upstream| upstream.usable_slots(now, false))
            .sum();
        // The duration of a call is unknown before the first answers.
        let needed = if self.estimate.is_trusted() {
            self.concurrency_needed(now)
        } else {
            0.0
        };
        if self.running.is_empty() {
            self.window = paced_slots.div_ceil(2).max(1);
        }
        let is_time_short = needed > f64::from(paced_slots);
        let use_all_slots = self.unpaced || is_time_short;
        let max_running = match (self.unpaced, is_time_short) {
            (true, _) => f64::INFINITY,
            (false, true) => needed,
            (false, false) => f64::from(self.window),
        };
        let mut index = 0;
        while index < self.waiting.len() && (self.running.len() as f64) < max_running {
            let avoid = self.waiting[index].avoid.clone();
            match self.best_upstream(now, &avoid, use_all_slots) {
                Some(upstream_index) => self.start(index, upstream_index),
                None => index += 1,
            }
        }
    }

    /// Best upstream with a free slot. One that has failed this work is the last resort.
    fn best_upstream(
        &mut self,
        now: Instant,
        avoid: &[UpstreamKey],
        use_all_slots: bool,
    ) -> Option<usize> {
        let mut candidates = Vec::new();
        for (index, upstream) in self.upstreams.iter_mut().enumerate() {
            if upstream.in_flight < upstream.usable_slots(now, use_all_slots) {
                candidates.push((
                    avoid.contains(&upstream.state.key),
                    upstream.score(now),
                    index,
                ));
            }
        }
        let best = candidates
            .into_iter()
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, index)| index)
    }

    fn start(&mut self, waiting_index: usize, upstream_index: usize) {
        let work = self.waiting.remove(waiting_index);
        let upstream = self.upstreams[upstream_index].state.key;
        self.upstreams[upstream_index].in_flight += 1;
        let running = Running {
            work: work.key,
            upstream,
            deadline: work.deadline,
            cost_tokens: work.cost_tokens,
        };
        let index = self.running.partition_point(|other| other.work < work.key);
        self.running.insert(index, running);
        self.decisions.push_back(Decision::Start {
            work: work.key,
            upstream,
        });
    }

    /// Compares the upstreams with one another and ejects outliers.
    fn compare(&mut self, now: Instant) {
        let speeds = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.health.comparable_us_per_token());
        let mut speeds: Vec<f64> = speeds.collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied();
        let mut ejections_left = self.ejections_left();
        for upstream in &mut self.upstreams {
            upstream.health.compare(median);
            if ejections_left > 0 && upstream.health.is_outlier() {
                upstream.health.eject_slow(now);
                ejections_left -= 1;
            }
        }
    }

    fn ejections_left(&self) -> usize {
        let ejected = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.health.is_ejected());
        ejections_allowed(self.upstreams.len()).saturating_sub(ejected.count())
    }
}

impl Dispatcher for BackgroundDispatcher {
    fn set_upstreams(
        &mut self,
        now: Instant,
        upstreams: &[UpstreamState],
        _entries: &EntryDemands<'_>,
    ) {
        let is_first = self.upstreams.is_empty();
        let known = std::mem::take(&mut self.upstreams);
        let mut updated: Vec<Upstream> = upstreams
            .iter()
            .map(|state| {
                let index = known.binary_search_by_key(&state.key, |upstream| upstream.state.key);
                let new_upstream = || {
                    let warm = Upstream::new(*state, Health::warm());
                    let new = Upstream::new(*state, Health::new(now));
                    if is_first { warm } else { new }
                };
                index.map_or_else(
                    |_| new_upstream(),
                    |index| Upstream {
                        state: *state,
                        ..known[index]
                    },
                )
            })
            .collect();
        updated.sort_by_key(|upstream| upstream.state.key);
        self.upstreams = updated;
        self.start_waiting(now);
    }

    fn offer(&mut self, now: Instant, work: Work) {
        if self.upstreams.iter().all(|upstream| upstream.state.leaving) {
            self.decisions.push_back(Decision::Refuse {
                work: work.key,
                reason: Refusal::NoUpstream,
                retry_after: RETRY_DELAY,
            });
            return;
        }
        let order = (work.deadline, work.key);
        let index = self
            .waiting
            .partition_point(|queued| (queued.deadline, queued.key) < order);
        self.waiting.insert(index, work);
        self.start_waiting(now);
    }

    fn cancel(&mut self, now: Instant, work: WorkKey) {
        self.waiting.retain(|queued| queued.key != work);
        self.start_waiting(now);
    }

    fn finish(&mut self, now: Instant, work: WorkKey, finish: &Finish) {
        let Ok(index) = self
            .running
            .binary_search_by_key(&work, |running| running.work)
        else {
            return;
        };
        let ended = self.running.remove(index);
        let may_eject = self.ejections_left() > 0;
        if let Some(index) = self.index_of(ended.upstream) {
            let upstream = &mut self.upstreams[index];
            // The reported load includes the request that this response answers.
            if let Some(load) = finish.reported_load {
                upstream.record_load(now, load);
            }
            let is_full = |load: ReportedLoad| load.total() > load.slots;
            if finish.ending == Ending::Answered && !finish.reported_load.is_some_and(is_full) {
                self.window += 1;
            }
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            upstream.health.record_end(
                now,
                finish.ending,
                ended.cost_tokens,
                finish.elapsed,
                may_eject,
            );
        }
        if finish.ending == Ending::Answered {
            self.estimate.observe(ended.cost_tokens, finish.elapsed);
        }
        self.start_waiting(now);
    }

    fn tick(&mut self, now: Instant) {
        self.compare(now);
        self.start_waiting(now);
    }

    fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.pop_front()
    }

    fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
