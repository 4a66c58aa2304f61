//! Which work starts where, and which is turned away.
//!
//! **Load:** live calls and training work on the same upstreams, which admit
//! whatever arrives and know no priorities. **Without it:** training, whose
//! demand has no end, fills the engines' batches and every live call waits
//! behind it. **Thresholds:** beside each constant.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::queue::WorkQueue;
use crate::work::Class;
use crate::work::Ending;
use crate::work::Finish;
use crate::work::Refusal;
use crate::work::UpstreamKey;
use crate::work::UpstreamState;
use crate::work::Work;
use crate::work::WorkKey;

/// What the entry is to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send this work to this upstream now.
    Start {
        /// The work.
        work: WorkKey,
        /// Where it goes.
        upstream: UpstreamKey,
    },
    /// Give the final answer `not-run` now.
    Refuse {
        /// The work.
        work: WorkKey,
        /// Why.
        reason: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Judges the work of one service on one entry.
///
/// The entry reports events and then takes decisions until there are none.
pub trait Dispatcher: Send {
    /// The upstreams changed, or the number of entries that share them.
    fn set_upstreams(&mut self, now: Instant, upstreams: &[UpstreamState], entries: u32);
    /// New work, or work that is tried again.
    fn offer(&mut self, now: Instant, work: Work);
    /// Work that no one waits for any more and that was not started.
    fn cancel(&mut self, now: Instant, work: WorkKey);
    /// Started work ended.
    fn finish(&mut self, now: Instant, work: WorkKey, finish: &Finish);
    /// Time passed.
    fn tick(&mut self, now: Instant);
    /// The next decision, if any.
    fn next_decision(&mut self) -> Option<Decision>;
    /// Work that waits.
    fn waiting(&self) -> usize;
}

/// Waiting work beyond this many times the slots is turned away: at the speed
/// of the slots it would wait several service times, which no caller's deadline
/// covers, and a longer queue only makes every answer later.
const QUEUE_PER_SLOT: usize = 4;

/// Training may hold this share of an upstream's slots while live work is
/// around; the rest stays free so that a live call starts at once.
const TRAINING_SHARE_PERCENT: u32 = 75;

/// An upstream that could not be reached is left alone this long: long enough
/// for a restart to show in the VM list, short enough that a blip costs little.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// When a refused caller may come back, per service time of queue ahead.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Slot {
    state: UpstreamState,
    in_flight_live: u32,
    in_flight_training: u32,
    paused_until: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    work: WorkKey,
    upstream: UpstreamKey,
    class: Class,
}

/// The policy that firweir runs with.
#[derive(Debug, Default)]
pub struct Balanced {
    slots: Vec<Slot>,
    entries: u32,
    live: WorkQueue,
    training: WorkQueue,
    running: Vec<Running>,
    decisions: VecDeque<Decision>,
}

impl Balanced {
    /// A dispatcher that knows no upstream yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: 1,
            ..Self::default()
        }
    }

    fn share(&self, slot: &Slot) -> u32 {
        (slot.state.limit / self.entries.max(1)).max(1)
    }

    fn has_room(&self, slot: &Slot, class: Class, now: Instant) -> bool {
        if slot.state.leaving || slot.paused_until.is_some_and(|until| until > now) {
            return false;
        }
        let share = self.share(slot);
        let in_flight = slot.in_flight_live + slot.in_flight_training;
        let training_share = (share * TRAINING_SHARE_PERCENT / 100).max(1);
        match class {
            Class::Live => in_flight < share,
            Class::Training => in_flight < share && slot.in_flight_training < training_share,
        }
    }

    fn pick(&self, work: &Work, now: Instant) -> Option<usize> {
        let free = |avoid: bool| {
            self.slots
                .iter()
                .enumerate()
                .filter(|(_, slot)| self.has_room(slot, work.class, now))
                .filter(|(_, slot)| avoid || !work.avoid.contains(&slot.state.key))
                .min_by_key(|(_, slot)| {
                    let in_flight = slot.in_flight_live + slot.in_flight_training;
                    let affinity =
                        work.prefix ^ u64::from(slot.state.key.0).wrapping_mul(0x9E37_79B9);
                    (in_flight, !slot.state.local_zone, affinity)
                })
                .map(|(index, _)| index)
        };
        free(false).or_else(|| free(true))
    }

    fn start_waiting(&mut self, now: Instant) {
        for class in [Class::Live, Class::Training] {
            while let Some(work) = self.queue(class).pop(now) {
                let Some(index) = self.pick(&work, now) else {
                    self.queue(class).push_front(work);
                    break;
                };
                self.start(&work, index);
            }
        }
        for class in [Class::Live, Class::Training] {
            while let Some(key) = self.queue(class).pop_expired() {
                self.refuse(key, Refusal::Late);
            }
        }
    }

    fn start(&mut self, work: &Work, index: usize) {
        let slot = &mut self.slots[index];
        match work.class {
            Class::Live => slot.in_flight_live += 1,
            Class::Training => slot.in_flight_training += 1,
        }
        let upstream = slot.state.key;
        self.running.push(Running {
            work: work.key,
            upstream,
            class: work.class,
        });
        self.decisions.push_back(Decision::Start {
            work: work.key,
            upstream,
        });
    }

    fn refuse(&mut self, work: WorkKey, reason: Refusal) {
        self.decisions.push_back(Decision::Refuse {
            work,
            reason,
            retry_after: RETRY_AFTER,
        });
    }

    fn queue(&mut self, class: Class) -> &mut WorkQueue {
        match class {
            Class::Live => &mut self.live,
            Class::Training => &mut self.training,
        }
    }

    fn slots_total(&self) -> usize {
        self.slots
            .iter()
            .map(|slot| self.share(slot) as usize)
            .sum()
    }
}

impl Dispatcher for Balanced {
    fn set_upstreams(&mut self, now: Instant, upstreams: &[UpstreamState], entries: u32) {
        self.entries = entries.max(1);
        let known = std::mem::take(&mut self.slots);
        for state in upstreams {
            let old = known.iter().find(|slot| slot.state.key == state.key);
            self.slots.push(Slot {
                state: *state,
                in_flight_live: old.map_or(0, |slot| slot.in_flight_live),
                in_flight_training: old.map_or(0, |slot| slot.in_flight_training),
                paused_until: old.and_then(|slot| slot.paused_until),
            });
        }
        self.start_waiting(now);
    }

    fn offer(&mut self, now: Instant, work: Work) {
        if self.slots.iter().all(|slot| slot.state.leaving) {
            self.refuse(work.key, Refusal::NoUpstream);
            return;
        }
        if self.queue(work.class).len() >= self.slots_total() * QUEUE_PER_SLOT {
            self.refuse(work.key, Refusal::Saturated);
            return;
        }
        self.queue(work.class).push(work);
        self.start_waiting(now);
    }

    fn cancel(&mut self, _now: Instant, work: WorkKey) {
        self.live.remove(work);
        self.training.remove(work);
    }

    fn finish(&mut self, now: Instant, work: WorkKey, finish: &Finish) {
        let Some(position) = self.running.iter().position(|running| running.work == work) else {
            return;
        };
        let ended = self.running.swap_remove(position);
        if let Some(slot) = self
            .slots
            .iter_mut()
            .find(|slot| slot.state.key == ended.upstream)
        {
            match ended.class {
                Class::Live => slot.in_flight_live -= 1,
                Class::Training => slot.in_flight_training -= 1,
            }
            match finish.ending {
                Ending::Unreachable => slot.paused_until = Some(now + UNREACHABLE_PAUSE),
                Ending::Answered => slot.paused_until = None,
                Ending::Failed | Ending::Abandoned => {}
            }
        }
        self.start_waiting(now);
    }

    fn tick(&mut self, now: Instant) {
        self.start_waiting(now);
    }

    fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.pop_front()
    }

    fn waiting(&self) -> usize {
        self.live.len() + self.training.len()
    }
}
