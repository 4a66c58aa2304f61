//! Dispatching to upstreams that other nodes call as well.

use std::time::Duration;
use std::time::Instant;

use super::Balanced;
use crate::lane::KINDS;
use crate::lane::Kind;
use crate::lane::Serving;
use crate::occupancy::Occupancy;
use crate::priority_queue::QueuePosition;
use crate::work::Refusal;
use crate::work::UpstreamKey;
use crate::work::Work;

impl Balanced {
    /// Slots that serve the queue of this kind on this node.
    pub(super) fn serving(&self, kind: Kind) -> Serving {
        let own = self.slots_for(kind);
        match &self.occupancy {
            Some(occupancy) => Serving::Shared(occupancy.milli_slots().min(own * 1_000)),
            None => Serving::Own(own),
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
    pub(super) fn opens_in(&self, now: Instant, kind: Kind) -> Duration {
        let is_free = self.slots.free() > 0;
        self.occupancy.as_ref().map_or(Duration::ZERO, |occupancy| {
            occupancy.room(now, self.serving(kind), is_free).opens_in
        })
    }

    /// Records that work starts at this upstream, and closes the upstream if it is full now.
    pub(super) fn record_start(&mut self, now: Instant, upstream: UpstreamKey) {
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.started(now, upstream);
            let is_closed = !occupancy.has_room(now, upstream);
            self.slots.set_closed(upstream, is_closed);
        }
    }

    /// Position in the queue if the work may wait, or the reason why it is refused.
    pub(super) fn admit(
        &self,
        now: Instant,
        kind: Kind,
        work: &Work,
        serving: Serving,
    ) -> Result<QueuePosition, Refusal> {
        let lane = self.lane(kind);
        match &self.occupancy {
            Some(occupancy) => {
                let is_free = self.slots.free() > 0;
                lane.admit_shared(now, work, occupancy.room(now, serving, is_free))
            }
            None => lane.admit(now, work, serving),
        }
    }

    /// Refuses waiting work that cannot end before its deadline.
    pub(super) fn refuse_late(&mut self, now: Instant) {
        for kind in KINDS {
            let opens_in = self.opens_in(now, kind);
            for work in self.lane_mut(kind).remove_late(now, opens_in) {
                self.refuse(now, kind, work.key, Refusal::Late);
            }
            self.refuse_overlong_waits(now, kind);
        }
    }

    /// Refuses work that has waited too long while the upstreams are congested.
    pub(super) fn refuse_overlong_waits(&mut self, now: Instant, kind: Kind) {
        if self.occupancy.as_ref().is_some_and(Occupancy::is_congested) {
            for work in self.lane_mut(kind).remove_overlong_waits(now) {
                self.refuse(now, kind, work.key, Refusal::Saturated);
            }
        }
    }

    /// Starts to estimate the capacity left at shared upstreams, with this random seed. `None`
    /// ends it: the node then uses all slots as its own.
    pub(super) fn track_occupancy(&mut self, now: Instant, shared: Option<u64>) {
        if shared.is_some() == self.occupancy.is_some() {
            return;
        }
        for state in &self.upstreams {
            self.slots.set_closed(state.key, false);
        }
        self.occupancy = shared.map(Occupancy::new);
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.set(&self.upstreams);
        }
        self.start_waiting(now);
    }
}
