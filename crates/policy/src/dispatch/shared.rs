//! Dispatching to upstreams that other nodes call as well.

use std::time::Duration;
use std::time::Instant;

use super::LaneDispatcher;
use crate::lane::KINDS;
use crate::lane::LaneKind;
use crate::lane::ServingSlots;
use crate::occupancy::Occupancy;
use crate::priority_queue::QueuePosition;
use crate::work::Refusal;
use crate::work::UpstreamKey;
use crate::work::Work;

impl LaneDispatcher {
    /// Slots that serve the queue of this kind on this node.
    pub(super) fn serving(&self, kind: LaneKind) -> ServingSlots {
        let own = self.slots_for(kind);
        match &self.occupancy {
            Some(occupancy) => ServingSlots::Shared(occupancy.milli_slots().min(own * 1_000)),
            None => ServingSlots::Own(own),
        }
    }

    /// Closes upstreams that likely have no capacity for a call, and opens the others.
    pub(super) fn update_closed_upstreams(&mut self, now: Instant) {
        if let Some(occupancy) = &self.occupancy {
            for key in occupancy.keys() {
                self.slots.set_closed(key, !occupancy.has_room(now, key));
            }
        }
    }

    /// Expected time until a call may start; zero if upstreams are not shared.
    pub(super) fn available_in(&self, now: Instant, kind: LaneKind) -> Duration {
        let is_open = self.slots.free() > 0;
        self.occupancy.as_ref().map_or(Duration::ZERO, |occupancy| {
            occupancy
                .headroom(now, self.serving(kind), is_open)
                .available_in
        })
    }

    /// Records that work starts at this upstream, and closes the upstream if it is full now.
    pub(super) fn record_start(&mut self, now: Instant, upstream: UpstreamKey) {
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.record_start(now, upstream);
            let is_closed = !occupancy.has_room(now, upstream);
            self.slots.set_closed(upstream, is_closed);
        }
    }

    /// Position in the queue if the work may wait, or the reason why it is refused.
    pub(super) fn admit(
        &self,
        now: Instant,
        kind: LaneKind,
        work: &Work,
        serving: ServingSlots,
    ) -> Result<QueuePosition, Refusal> {
        let lane = self.lane(kind);
        match &self.occupancy {
            Some(occupancy) => {
                let is_open = self.slots.free() > 0;
                lane.admit_shared(now, work, occupancy.headroom(now, serving, is_open))
            }
            None => lane.admit(now, work, serving),
        }
    }

    /// Refuses waiting work that cannot end before its deadline.
    pub(super) fn refuse_late(&mut self, now: Instant) {
        for kind in KINDS {
            let available_in = self.available_in(now, kind);
            for work in self.lane_mut(kind).remove_late(now, available_in) {
                self.refuse(now, kind, work.key, Refusal::Late);
            }
            self.refuse_overlong_waits(now, kind);
        }
    }

    /// Refuses work that has waited too long while the upstreams are congested.
    pub(super) fn refuse_overlong_waits(&mut self, now: Instant, kind: LaneKind) {
        if self.occupancy.as_ref().is_some_and(Occupancy::is_congested) {
            for work in self.lane_mut(kind).remove_overlong_waits(now) {
                self.refuse(now, kind, work.key, Refusal::Saturated);
            }
        }
    }

    /// Starts to estimate the capacity left at shared upstreams, with this random seed. `None`
    /// ends it: the node then uses all slots as its own.
    pub(super) fn track_occupancy(&mut self, now: Instant, shared_seed: Option<u64>) {
        if shared_seed.is_some() == self.occupancy.is_some() {
            return;
        }
        for state in &self.upstreams {
            self.slots.set_closed(state.key, false);
        }
        self.occupancy = shared_seed.map(Occupancy::new);
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.set_upstreams(&self.upstreams);
        }
        self.start_waiting(now);
    }
}
