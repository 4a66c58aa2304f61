//! Decides when and on which upstream work starts, and which work is refused.
//!
//! Live calls and training work use the same upstreams, which admit all requests and have no
//! priorities. Without this module, unlimited training demand fills the engines' batches and
//! every live call waits behind it. There are three lanes (short live, long live, training),
//! each with a fair queue. A lane starts work while more slots are free than are reserved for
//! the other lanes.

mod shared;

use std::collections::VecDeque;
use std::time::Instant;

use crate::aimd_limit::AimdLimit;
use crate::lane::KINDS;
use crate::lane::Lane;
use crate::lane::LaneKind;
use crate::occupancy::Occupancy;
use crate::slots::Slots;
use crate::work::Class;
use crate::work::Ending;
use crate::work::EntryDemands;
use crate::work::Finish;
use crate::work::Refusal;
use crate::work::UpstreamKey;
use crate::work::UpstreamState;
use crate::work::Work;
use crate::work::WorkKey;

pub use crate::dispatcher::Decision;
pub use crate::dispatcher::Dispatcher;

/// Fraction of the slots that training gets under any live load. A trainer without samples for
/// an hour leaves its model stale for days.
const TRAINING_FLOOR_FRACTION: f64 = 0.1;

/// A live call is long if its cost is at least this many doublings above the usual one.
const LONG_CALL_DOUBLINGS: f64 = 2.0;

/// Smoothing factor of the usual cost; it averages about a hundred calls.
const USUAL_COST_SMOOTHING: f64 = 0.01;

#[derive(Debug, Clone, Copy)]
struct Running {
    work: WorkKey,
    upstream: UpstreamKey,
    kind: LaneKind,
    cost_tokens: u32,
    started_at: Instant,
    deadline: Instant,
}

/// Dispatcher with a lane each for short live calls, long live calls and training. Calls of
/// training steps to plain services use [`crate::background::BackgroundDispatcher`] instead.
#[derive(Debug)]
pub struct LaneDispatcher {
    slots: Slots,
    limit: AimdLimit,
    lanes: [Lane; KINDS.len()],
    /// Sorted by work key.
    running: Vec<Running>,
    /// Base-2 logarithm of the usual cost of live work, in tokens.
    usual_cost_log2: Option<f64>,
    decisions: VecDeque<Decision>,
    /// Occupancy of upstreams that other nodes call as well; `None` if the upstreams are not
    /// shared.
    occupancy: Option<Occupancy>,
    upstreams: Vec<UpstreamState>,
}

impl Default for LaneDispatcher {
    fn default() -> Self {
        Self::new()
    }
}

impl LaneDispatcher {
    /// A dispatcher without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: Slots::default(),
            limit: AimdLimit::default(),
            lanes: KINDS.map(Lane::new),
            running: Vec::new(),
            usual_cost_log2: None,
            decisions: VecDeque::new(),
            occupancy: None,
            upstreams: Vec::new(),
        }
    }

    /// A dispatcher that gives slow and failing upstreams as much work as others.
    #[must_use]
    pub fn without_outlier_ejection() -> Self {
        Self {
            slots: Slots::without_outlier_ejection(),
            ..Self::new()
        }
    }

    const fn lane(&self, kind: LaneKind) -> &Lane {
        &self.lanes[kind as usize]
    }

    const fn lane_mut(&mut self, kind: LaneKind) -> &mut Lane {
        &mut self.lanes[kind as usize]
    }

    fn kind_of(&mut self, work: &Work) -> LaneKind {
        if work.class == Class::Training {
            return LaneKind::Training;
        }
        let cost_log2 = f64::from(work.cost_tokens.max(1)).log2();
        let usual = self.usual_cost_log2.get_or_insert(cost_log2);
        let is_long = cost_log2 >= *usual + LONG_CALL_DOUBLINGS;
        *usual += (cost_log2 - *usual) * USUAL_COST_SMOOTHING;
        if is_long {
            LaneKind::Long
        } else {
            LaneKind::Short
        }
    }

    /// Slots reserved for training while there is training work.
    fn training_floor(&self) -> u32 {
        let wanted = self.lane(LaneKind::Training).reserve.mean().ceil() as u32;
        let floor = (f64::from(self.slots.usable()) * TRAINING_FLOOR_FRACTION) as u32;
        floor.min(wanted)
    }

    /// Expected time until training frees a slot, in mean service times of this kind.
    fn wait_for_training(&self, kind: LaneKind) -> f64 {
        let training = self.lane(LaneKind::Training);
        let live = self.lane(kind).estimate.mean().as_secs_f64();
        let next = training.estimate.mean().as_secs_f64() / f64::from(training.in_flight.max(1));
        if live > 0.0 { next / live } else { 1.0 }
    }

    /// Slots reserved for live work of this kind, including those that it uses.
    fn reserved(&self, kind: LaneKind) -> u32 {
        let wait = self.wait_for_training(kind);
        self.lane(kind).reserve.slots(wait)
    }

    /// Free slots that this kind may not use, since they are reserved for the others.
    fn reserved_for_others(&self, kind: LaneKind) -> u32 {
        let unused = |kind: LaneKind| {
            self.reserved(kind)
                .saturating_sub(self.lane(kind).in_flight)
        };
        let training = self.lane(LaneKind::Training).in_flight;
        let floor = self.training_floor();
        match kind {
            LaneKind::Short => floor.saturating_sub(training),
            LaneKind::Long => unused(LaneKind::Short) + floor.saturating_sub(training),
            LaneKind::Training if training < floor => 0,
            LaneKind::Training => unused(LaneKind::Short) + unused(LaneKind::Long),
        }
    }

    fn has_room(&self, kind: LaneKind) -> bool {
        self.slots.free() > self.reserved_for_others(kind)
    }

    /// Slots that serve the queue of this kind.
    fn slots_for(&self, kind: LaneKind) -> u32 {
        let usable = self.slots.usable();
        let live = self.reserved(LaneKind::Short) + self.reserved(LaneKind::Long);
        let floor = self.training_floor();
        match kind {
            LaneKind::Short => usable.saturating_sub(floor),
            LaneKind::Long => usable.saturating_sub(floor + self.reserved(LaneKind::Short)),
            LaneKind::Training => usable.saturating_sub(live).max(floor),
        }
        .max(1)
    }

    /// The kind whose first queued work starts next.
    ///
    /// Of short and long live work, the earlier deadline goes first. Training gets what live
    /// work leaves.
    fn next_kind(&self, blocked: &[LaneKind]) -> Option<LaneKind> {
        let ready = |kind: &LaneKind| {
            !blocked.contains(kind) && !self.lane(*kind).queue.is_empty() && self.has_room(*kind)
        };
        let deadline = |kind: &LaneKind| {
            let front = self.lane(*kind).queue.front();
            front.map(|queued| queued.work.deadline)
        };
        let live = [LaneKind::Short, LaneKind::Long].into_iter().filter(ready);
        live.min_by_key(deadline)
            .or_else(|| Some(LaneKind::Training).filter(ready))
    }

    fn start_waiting(&mut self, now: Instant) {
        self.update_closed_upstreams(now);
        let mut blocked = Vec::new();
        while let Some(kind) = self.next_kind(&blocked) {
            let front = self.lane(kind).queue.front();
            let chosen = front.and_then(|queued| {
                let work = &queued.work;
                match kind {
                    LaneKind::Training => {
                        self.slots.pick_least_loaded(now, work.prefix, &work.avoid)
                    }
                    LaneKind::Short | LaneKind::Long => {
                        self.slots.pick(now, work.prefix, &work.avoid)
                    }
                }
            });
            match chosen {
                Some(upstream) => self.start(now, kind, upstream),
                None => blocked.push(kind),
            }
        }
    }

    fn start(&mut self, now: Instant, kind: LaneKind, upstream: UpstreamKey) {
        let lane = self.lane_mut(kind);
        let Some(queued) = lane.queue.pop() else {
            return;
        };
        lane.in_flight += 1;
        lane.update_waiting_since(now);
        self.start_work(now, kind, upstream, &queued.work);
    }

    fn start_work(&mut self, now: Instant, kind: LaneKind, upstream: UpstreamKey, work: &Work) {
        self.slots.acquire(upstream);
        self.record_start(now, upstream);
        let running = Running {
            work: work.key,
            upstream,
            kind,
            cost_tokens: work.cost_tokens,
            started_at: now,
            deadline: work.deadline,
        };
        let at = self.running.partition_point(|other| other.work < work.key);
        self.running.insert(at, running);
        self.decisions.push_back(Decision::Start {
            work: work.key,
            upstream,
        });
    }

    fn refuse(&mut self, now: Instant, kind: LaneKind, work: WorkKey, reason: Refusal) {
        let available_in = self.available_in(now, kind);
        let retry_after = self
            .lane(kind)
            .retry_after(self.serving(kind), available_in);
        self.decisions.push_back(Decision::Refuse {
            work,
            reason,
            retry_after,
        });
    }

    /// Reports how long running work has taken so far, so that a slow upstream is detected
    /// before its answers arrive.
    fn report_overdue_work(&mut self, now: Instant) {
        for running in &self.running {
            let estimate = &self.lanes[running.kind as usize].estimate;
            if !estimate.is_trusted() {
                continue;
            }
            let expected = estimate.time_for_tokens(u64::from(running.cost_tokens.max(1)));
            let elapsed = now.duration_since(running.started_at);
            let ratio = elapsed.as_secs_f64() / expected.as_secs_f64().max(1e-6);
            self.slots.record_overdue_ratio(running.upstream, ratio);
        }
    }

    fn queue(&mut self, now: Instant, kind: LaneKind, mut work: Work) {
        if self.occupancy.is_some() {
            self.lane_mut(kind).deduct_earlier_attempts(now, &mut work);
        }
        let serving = self.serving(kind);
        self.lane_mut(kind).queue.record_offer(now, &work);
        let position = match self.admit(now, kind, &work, serving) {
            Ok(position) => position,
            Err(reason) => return self.refuse(now, kind, work.key, reason),
        };
        if self.lane(kind).is_full(serving) {
            // Sheds the work that would be served last, by priority and then by fair share. It
            // may be the new work.
            match self.lane_mut(kind).queue.pop_behind(position) {
                Some(last) if last.priority > work.priority => {
                    self.refuse(now, kind, last.key, Refusal::LowPriority);
                }
                Some(last) => self.refuse(now, kind, last.key, Refusal::Saturated),
                None => return self.refuse(now, kind, work.key, Refusal::Saturated),
            }
        }
        let lane = self.lane_mut(kind);
        lane.queue.push(now, work);
        lane.update_waiting_since(now);
    }
}

impl Dispatcher for LaneDispatcher {
    fn set_upstreams(
        &mut self,
        now: Instant,
        upstreams: &[UpstreamState],
        entries: &EntryDemands<'_>,
    ) {
        self.slots.set_upstreams(now, upstreams, entries);
        self.upstreams = upstreams.to_vec();
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.set_upstreams(upstreams);
        }
        for running in &self.running {
            self.slots.count_in_flight(running.upstream);
        }
        self.slots.refresh(now, &self.limit);
        self.start_waiting(now);
    }

    fn offer(&mut self, now: Instant, work: Work) {
        let kind = self.kind_of(&work);
        if !self.slots.has_active_upstream() {
            return self.refuse(now, kind, work.key, Refusal::NoUpstream);
        }
        self.update_closed_upstreams(now);
        self.queue(now, kind, work);
        self.start_waiting(now);
    }

    fn cancel(&mut self, now: Instant, work: WorkKey) {
        for lane in &mut self.lanes {
            lane.queue.remove(work);
            lane.update_waiting_since(now);
        }
    }

    fn finish(&mut self, now: Instant, work: WorkKey, finish: &Finish) {
        let Ok(at) = self
            .running
            .binary_search_by_key(&work, |running| running.work)
        else {
            return;
        };
        let ended = self.running.remove(at);
        let lane = self.lane_mut(ended.kind);
        lane.in_flight -= 1;
        if finish.ending == Ending::Answered {
            lane.estimate.observe(ended.cost_tokens, finish.elapsed);
        }
        let is_unanswered = matches!(finish.ending, Ending::Abandoned | Ending::Refused);
        let expired = is_unanswered && now >= ended.deadline;
        if ended.kind != LaneKind::Training && (expired || finish.ending == Ending::Answered) {
            let time_to_deadline = ended.deadline.saturating_duration_since(ended.started_at);
            self.limit.record_answer(finish.elapsed, time_to_deadline);
        }
        if let Some(load) = finish.reported_load {
            self.slots.record_load(now, ended.upstream, load);
        }
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.record_end(now, ended.upstream, finish);
        }
        self.slots.release(
            now,
            ended.upstream,
            finish.ending,
            ended.cost_tokens,
            finish.elapsed,
        );
        self.start_waiting(now);
        if self.occupancy.is_some() && finish.ending == Ending::Refused {
            self.refuse_late(now);
        }
    }

    fn tick(&mut self, now: Instant) {
        for lane in &mut self.lanes {
            lane.tick(now);
        }
        self.limit.tick(now);
        self.report_overdue_work(now);
        self.slots.compare(now);
        self.slots.refresh(now, &self.limit);
        self.refuse_late(now);
        self.start_waiting(now);
    }

    fn set_shared(&mut self, now: Instant, shared_seed: Option<u64>) {
        self.track_occupancy(now, shared_seed);
    }

    fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let occupancy = self.occupancy.as_ref().filter(|_| self.waiting() > 0)?;
        occupancy.next_open_at(now)
    }

    fn wake(&mut self, now: Instant) {
        self.refuse_late(now);
        self.start_waiting(now);
    }

    fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.pop_front()
    }

    fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn waiting(&self) -> usize {
        self.lanes.iter().map(|lane| lane.queue.len()).sum()
    }
}
