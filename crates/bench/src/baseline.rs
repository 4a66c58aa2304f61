//! Simple dispatchers that firweir's own is measured against.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use firweir::process::entry::MakeDispatcher;
use firweir::process::entry::balanced;
use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::straggler::StragglerPolicy;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::Refusal;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

/// Dispatchers by the name that the command line takes.
pub const POLICIES: [(&str, MakeDispatcher); 3] =
    [("firweir", balanced), ("fifo", fifo), ("static", fixed)];

/// The dispatcher of this name.
#[must_use]
pub fn policy(name: &str) -> Option<MakeDispatcher> {
    POLICIES
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, make)| *make)
}

fn fifo() -> Box<dyn Dispatcher> {
    Box::new(Fifo::default())
}

/// First come, round robin, no limits: everything starts at once.
#[derive(Debug, Default)]
pub struct Fifo {
    upstreams: Vec<UpstreamState>,
    next: usize,
    decisions: VecDeque<Decision>,
}

impl Dispatcher for Fifo {
    fn set_upstreams(
        &mut self,
        _now: Instant,
        upstreams: &[UpstreamState],
        _fleet: &EntryDemands<'_>,
    ) {
        self.upstreams = upstreams
            .iter()
            .copied()
            .filter(|state| !state.leaving)
            .collect();
    }

    fn offer(&mut self, _now: Instant, work: Work) {
        self.next = self.next.wrapping_add(1);
        let decision = if self.upstreams.is_empty() {
            let reason = Refusal::NoUpstream;
            Decision::Refuse {
                work: work.key,
                reason,
                retry_after: Duration::from_secs(1),
            }
        } else {
            let upstream = self.upstreams[self.next % self.upstreams.len()].key;
            Decision::Start {
                work: work.key,
                upstream,
            }
        };
        self.decisions.push_back(decision);
    }

    fn cancel(&mut self, _now: Instant, _work: WorkKey) {}

    fn finish(&mut self, _now: Instant, _work: WorkKey, _finish: &Finish) {}

    fn tick(&mut self, _now: Instant) {}

    fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.pop_front()
    }

    fn in_flight(&self) -> usize {
        0
    }

    fn waiting(&self) -> usize {
        0
    }
}

fn fixed() -> Box<dyn Dispatcher> {
    Box::new(Static::default())
}

#[derive(Debug, Clone, Copy)]
struct FixedSlot {
    state: UpstreamState,
    in_flight: u32,
}

/// Fixed limits, least connections, one first-come queue for all work.
#[derive(Debug, Default)]
pub struct Static {
    slots: Vec<FixedSlot>,
    entries: u32,
    queue: VecDeque<Work>,
    running: Vec<(WorkKey, UpstreamKey)>,
    decisions: VecDeque<Decision>,
}

impl Static {
    fn refuse(&mut self, work: WorkKey, reason: Refusal) {
        self.decisions.push_back(Decision::Refuse {
            work,
            reason,
            retry_after: Duration::from_secs(1),
        });
    }

    fn start_waiting(&mut self, now: Instant) {
        while let Some(front) = self.queue.front() {
            if front.deadline <= now {
                let late = front.key;
                self.queue.pop_front();
                self.refuse(late, Refusal::Late);
                continue;
            }
            let entries = self.entries.max(1);
            let room = |slot: &&mut FixedSlot| {
                let share = slot.state.limit.div_ceil(entries);
                !slot.state.leaving && slot.in_flight < share
            };
            let open = self.slots.iter_mut().filter(room);
            let Some(slot) = open.min_by_key(|slot| slot.in_flight) else {
                return;
            };
            slot.in_flight += 1;
            let (work, upstream) = (front.key, slot.state.key);
            self.queue.pop_front();
            self.running.push((work, upstream));
            self.decisions.push_back(Decision::Start { work, upstream });
        }
    }
}

impl Dispatcher for Static {
    fn set_upstreams(
        &mut self,
        now: Instant,
        upstreams: &[UpstreamState],
        fleet: &EntryDemands<'_>,
    ) {
        self.entries = fleet.demands.len() as u32;
        let running = &self.running;
        let slot = |state: &UpstreamState| {
            let there = running
                .iter()
                .filter(|(_, upstream)| *upstream == state.key);
            FixedSlot {
                state: *state,
                in_flight: there.count() as u32,
            }
        };
        self.slots = upstreams.iter().map(slot).collect();
        self.start_waiting(now);
    }

    fn offer(&mut self, now: Instant, work: Work) {
        if self.slots.iter().all(|slot| slot.state.leaving) {
            return self.refuse(work.key, Refusal::NoUpstream);
        }
        self.queue.push_back(work);
        self.start_waiting(now);
    }

    fn cancel(&mut self, _now: Instant, work: WorkKey) {
        self.queue.retain(|held| held.key != work);
    }

    fn finish(&mut self, now: Instant, work: WorkKey, _finish: &Finish) {
        let Some(at) = self.running.iter().position(|(held, _)| *held == work) else {
            return;
        };
        let (_, upstream) = self.running.swap_remove(at);
        let slot = self
            .slots
            .iter_mut()
            .find(|slot| slot.state.key == upstream);
        if let Some(slot) = slot {
            slot.in_flight = slot.in_flight.saturating_sub(1);
        }
        self.start_waiting(now);
    }

    fn tick(&mut self, now: Instant) {
        self.start_waiting(now);
    }

    fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.pop_front()
    }

    fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn waiting(&self) -> usize {
        self.queue.len()
    }
}

/// What the policy of this name does about stragglers: the baseline takes every
/// sample in its order and starts it again if it broke off.
#[must_use]
pub fn straggler_rules(name: &str) -> StragglerPolicy {
    if name == "fifo" {
        StragglerPolicy::DISABLED
    } else {
        StragglerPolicy::default()
    }
}
