//! Queue and admission control of one kind of work: short live, long live, or training.
//!
//! Under a burst or lasting overload, a queue that never empties delays every answer by its
//! length, and work whose caller will be gone is served before work that could still be in
//! time. The wait of new work is therefore estimated from the work ahead of it, and work that
//! cannot end in time is refused at once. A queue that has not been empty for a while is a
//! standing queue rather than a burst; it admits only work with a short wait.

use std::time::Duration;
use std::time::Instant;

use crate::priority_queue::PriorityQueue;
use crate::priority_queue::QueuePosition;
use crate::reserve::Reserve;
use crate::service_time::ServiceTimeEstimate;
use crate::work::Refusal;
use crate::work::Work;

/// Kinds of work, in descending order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LaneKind {
    /// Live calls of usual cost.
    Short,
    /// Live calls that cost several times as much as usual.
    Long,
    /// Samples for trainers.
    Training,
}

/// All kinds, in descending order of precedence.
pub const KINDS: [LaneKind; 3] = [LaneKind::Short, LaneKind::Long, LaneKind::Training];

/// Live work is admitted if this fraction of its expected time is left. Most answers are
/// shorter than the mean, which a few long ones raise.
const LIVE_TIME_FACTOR: f64 = 0.5;

/// A training sample is admitted if this multiple of its expected time is left. A sample that
/// is abandoned halfway wastes engine time, and it can wait elsewhere.
const TRAINING_TIME_FACTOR: f64 = 2.0;

/// A queue that was not empty for this many mean service times is standing: a burst that can
/// meet its deadlines is served within two.
const STANDING_AFTER_SERVICE_TIMES: f64 = 2.0;

/// Shortest time after which a queue is standing. Two short service times are less than the
/// usual gaps between arrivals.
const MIN_STANDING_AFTER: Duration = Duration::from_millis(500);

/// Longest admitted wait in a standing queue, in mean service times. It keeps the slots busy
/// and delays an answer by at most half its own time.
const STANDING_WAIT_SERVICE_TIMES: f64 = 0.5;

/// Queued work that is allowed per slot. It bounds the queue while service times are unknown.
const MAX_QUEUED_PER_SLOT: usize = 4;

/// Queued work that is allowed in addition to [`MAX_QUEUED_PER_SLOT`] per slot.
const BASE_QUEUE_LIMIT: usize = 16;

/// Shortest retry delay for refused callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest retry delay for refused callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(20);

/// Shortest retry delay for refused callers of a shared service. It is short since the queue
/// length is known from reports and calls are short.
const MIN_SHARED_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Longest expected wait of admitted work while shared upstreams are congested, in mean call
/// times. Longer waits make every call late, whereas a retry may arrive after the burst.
const CONGESTED_ADMIT_CALL_TIMES: f64 = 1.0;

/// Longest wait of queued work without a latency objective during congestion, in mean call
/// times. Work that has waited longer is refused.
const CONGESTED_QUEUE_CALL_TIMES: f64 = 0.5;

/// Fraction of the latency objective that the wait and the expected call time may use. The rest
/// covers the variation of call times.
const OBJECTIVE_FRACTION: f64 = 0.7;

/// Decay factor, per offered work, of the maximum of the time from offer to deadline.
const TIME_TO_DEADLINE_DECAY: f64 = 0.999;

/// Estimated free capacity of shared upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Headroom {
    /// Slots that serve the queue.
    pub serving: ServingSlots,
    /// Whether a call that starts now likely finds a free slot.
    pub has_free_slot: bool,
    /// Expected time until the next call may start; zero if one may start now.
    pub available_in: Duration,
    /// Whether refusals or long queues have cut this node's limits to a small part of the
    /// slots.
    pub is_congested: bool,
}

/// Slots that serve a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingSlots {
    /// Number of slots, all used by this node alone.
    Own(u32),
    /// This node's part of the slots of a service that other nodes call as well, in
    /// thousandths of a slot.
    Shared(u32),
}

impl ServingSlots {
    /// Time in which the slots complete work that takes `work` on one slot.
    fn wait(self, work: Duration) -> Duration {
        match self {
            Self::Own(slots) => work / slots.max(1),
            Self::Shared(thousandths) => work * 1_000 / thousandths.max(1),
        }
    }

    /// Number of slots, rounded up.
    fn rounded_up(self) -> usize {
        match self {
            Self::Own(slots) => slots as usize,
            Self::Shared(thousandths) => (thousandths as usize).div_ceil(1_000),
        }
    }

    const fn is_shared(self) -> bool {
        matches!(self, Self::Shared(_))
    }
}

/// Queue, estimates and counts of one kind of work.
#[derive(Debug)]
pub struct Lane {
    kind: LaneKind,
    /// Waiting work.
    pub queue: PriorityQueue,
    /// Expected service time.
    pub estimate: ServiceTimeEstimate,
    /// Slots to reserve for this kind.
    pub reserve: Reserve,
    /// Amount of work that was started and has not ended.
    pub in_flight: u32,
    /// Time since which the queue has not been empty.
    waiting_since: Option<Instant>,
    /// Decaying maximum of the time from offer to deadline.
    max_time_to_deadline: Duration,
}

impl Lane {
    /// A lane without work.
    #[must_use]
    pub fn new(kind: LaneKind) -> Self {
        Self {
            kind,
            queue: PriorityQueue::default(),
            estimate: ServiceTimeEstimate::default(),
            reserve: Reserve::default(),
            in_flight: 0,
            waiting_since: None,
            max_time_to_deadline: Duration::ZERO,
        }
    }

    /// Returns the position of the work in the queue if it may wait there, given the slots that
    /// serve the queue.
    ///
    /// # Errors
    ///
    /// It cannot end in time, or more work waits than can be served.
    pub fn admit(
        &self,
        now: Instant,
        work: &Work,
        serving: ServingSlots,
    ) -> Result<QueuePosition, Refusal> {
        let position = self.queue.position_of(work);
        let left = work.deadline.saturating_duration_since(now);
        let needed = self
            .estimate
            .expected_time(work)
            .mul_f64(self.time_factor());
        let is_trusted = self.estimate.is_trusted();
        if left.is_zero() || (is_trusted && left < needed) {
            return Err(Refusal::Late);
        }
        if self.queue.is_empty() || !is_trusted {
            return Ok(position);
        }
        let wait = serving.wait(
            self.estimate
                .time_for_tokens(self.queue.tokens_ahead(position)),
        );
        if wait + needed > left {
            return Err(Refusal::Late);
        }
        if self.is_standing(now) && wait > self.estimate.mean().mul_f64(STANDING_WAIT_SERVICE_TIMES)
        {
            return Err(Refusal::Saturated);
        }
        Ok(position)
    }

    /// Returns the position of the work in the queue if it may wait there for upstreams that
    /// other nodes call as well.
    ///
    /// # Errors
    ///
    /// It cannot end in time, or it would wait too long in a standing queue. If the upstreams
    /// are congested: a higher priority goes first, its caller has had more than its share, or
    /// it would wait too long.
    pub fn admit_shared(
        &self,
        now: Instant,
        work: &Work,
        headroom: Headroom,
    ) -> Result<QueuePosition, Refusal> {
        let position = self.queue.position_of(work);
        let left = work.deadline.saturating_duration_since(now);
        let needed = self
            .estimate
            .expected_time(work)
            .mul_f64(self.time_factor());
        let ahead = self
            .estimate
            .time_for_tokens(self.queue.tokens_ahead(position));
        let wait = headroom.available_in + headroom.serving.wait(ahead);
        if left.is_zero() || wait + needed > left {
            return Err(Refusal::Late);
        }
        if !self.estimate.is_trusted() {
            return Ok(position);
        }
        if headroom.is_congested && self.queue.must_yield(work.priority, headroom.has_free_slot) {
            return Err(Refusal::LowPriority);
        }
        if headroom.is_congested && self.queue.is_over_fair_share(work, headroom.has_free_slot) {
            return Err(Refusal::Saturated);
        }
        let is_long = wait > self.longest_wait(work, CONGESTED_ADMIT_CALL_TIMES);
        if (headroom.is_congested || self.is_standing(now)) && is_long {
            return Err(Refusal::Saturated);
        }
        Ok(position)
    }

    /// Reduces the work's latency objective by the time that earlier attempts of its client
    /// are estimated to have used: the decaying maximum of the time to the deadline minus that
    /// of this work.
    pub fn deduct_earlier_attempts(&mut self, now: Instant, work: &mut Work) {
        let time_to_deadline = work.deadline.saturating_duration_since(now);
        self.max_time_to_deadline = self
            .max_time_to_deadline
            .mul_f64(TIME_TO_DEADLINE_DECAY)
            .max(time_to_deadline);
        let used = self.max_time_to_deadline.saturating_sub(time_to_deadline);
        work.objective = work.objective.map(|left| left.saturating_sub(used));
    }

    /// Whether the queue has reached its maximum length.
    #[must_use]
    pub fn is_full(&self, serving: ServingSlots) -> bool {
        self.queue.len() >= BASE_QUEUE_LIMIT + serving.rounded_up() * MAX_QUEUED_PER_SLOT
    }

    /// Time after which refused work may be retried: the expected time for the queue to drain.
    /// For shared upstreams, `available_in` (the time until any work may start) is added.
    #[must_use]
    pub fn retry_after(&self, serving: ServingSlots, available_in: Duration) -> Duration {
        let queued_tokens = self.queue.tokens_ahead(QueuePosition::LAST);
        if serving.is_shared() {
            // Another call can start once the queue has drained and one more slot is free.
            let free = serving.wait(
                self.estimate
                    .time_for_tokens(queued_tokens.saturating_add(1)),
            );
            return (available_in + free).clamp(MIN_SHARED_RETRY_AFTER, MAX_RETRY_AFTER);
        }
        let drained = serving.wait(self.estimate.time_for_tokens(queued_tokens));
        drained.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Removes work that can no longer end in time, given that none starts before `available_in`
    /// has passed.
    pub fn remove_late(&mut self, now: Instant, available_in: Duration) -> Vec<Work> {
        let estimate = self.estimate;
        let time_factor = self.time_factor();
        self.queue.extract_if(|queued| {
            let needed = estimate.expected_time(&queued.work).mul_f64(time_factor);
            queued.work.deadline < now + available_in + needed
        })
    }

    /// Removes work that has waited too long; for use while shared upstreams are congested.
    pub fn remove_overlong_waits(&mut self, now: Instant) -> Vec<Work> {
        if !self.estimate.is_trusted() {
            return Vec::new();
        }
        let estimate = self.estimate;
        self.queue.extract_if(|queued| {
            let max_wait = longest_wait(&estimate, &queued.work, CONGESTED_QUEUE_CALL_TIMES);
            queued.since + max_wait < now
        })
    }

    fn longest_wait(&self, work: &Work, call_times: f64) -> Duration {
        longest_wait(&self.estimate, work, call_times)
    }

    /// Updates the reserve and forgets idle callers; called at regular intervals.
    pub fn tick(&mut self, now: Instant) {
        self.reserve
            .observe(self.in_flight + self.queue.len() as u32);
        self.queue.forget_idle_callers(now);
        self.update_waiting_since(now);
    }

    /// Updates since when the queue has not been empty; call it after each change of the queue.
    pub fn update_waiting_since(&mut self, now: Instant) {
        if self.queue.is_empty() {
            self.waiting_since = None;
        } else {
            self.waiting_since.get_or_insert(now);
        }
    }

    const fn time_factor(&self) -> f64 {
        match self.kind {
            LaneKind::Short | LaneKind::Long => LIVE_TIME_FACTOR,
            LaneKind::Training => TRAINING_TIME_FACTOR,
        }
    }

    /// Whether the queue has not been empty for long. Never true for training, which always
    /// has work waiting and no user waiting: the samples' deadlines bound its queue, so that no
    /// slot idles while feeds retry.
    fn is_standing(&self, now: Instant) -> bool {
        if self.kind == LaneKind::Training {
            return false;
        }
        let standing_after = self.estimate.mean().mul_f64(STANDING_AFTER_SERVICE_TIMES);
        let standing_after = standing_after.max(MIN_STANDING_AFTER);
        self.waiting_since
            .is_some_and(|since| now.duration_since(since) >= standing_after)
    }
}

/// Longest wait during congestion. Work may wait for `call_times` mean call times, or longer if
/// it can still end within [`OBJECTIVE_FRACTION`] of its latency objective. Work whose objective
/// has already passed may not wait.
fn longest_wait(estimate: &ServiceTimeEstimate, work: &Work, call_times: f64) -> Duration {
    let base_wait = estimate.mean().mul_f64(call_times);
    let Some(objective) = work.objective else {
        return base_wait;
    };
    if objective.is_zero() {
        return Duration::ZERO;
    }
    let objective_budget = objective.mul_f64(OBJECTIVE_FRACTION);
    base_wait.max(objective_budget.saturating_sub(estimate.expected_time(work)))
}
