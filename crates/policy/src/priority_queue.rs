//! Queue ordered by priority, with fair queueing between the callers of each priority.
//!
//! Under overload, calls of all priorities would otherwise be late and refused alike. There is
//! one fair queue for each priority, and the highest priority is served first. With every call
//! that starts, each lower priority earns credit for a quarter of its fair share, so that it is
//! slowed down but does not starve.

use std::time::Duration;
use std::time::Instant;

use crate::fair_queue::FairQueue;
use crate::fair_queue::Queued;
use crate::fair_queue::StartTag;
use crate::work::Work;
use crate::work::WorkKey;

/// Fraction of its fair share that a priority gets while a higher one has work.
const LOWER_PRIORITY_SHARE: f64 = 0.25;

/// A caller counts in the fair shares for this long after its last work.
const ACTIVE_FOR: Duration = Duration::from_secs(3);

/// Decay factor of the count of starts per tick; the count covers about three seconds.
const STARTS_DECAY: f64 = 0.97;

/// Starts that a caller may have beyond its fair share. Random variation of arrivals alone
/// stays below this.
const MAX_EXCESS_STARTS: f64 = 1.0;

/// Maximum credit of a priority, in starts. With more, a run of its starts would delay higher
/// priorities.
const MAX_CREDIT_STARTS: f64 = 2.0;

/// Position of work in the queue: its priority, and its start tag within that priority. Lower
/// values are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: u32,
    tag: StartTag,
}

impl QueuePosition {
    /// Behind all work.
    pub const LAST: Self = Self {
        priority: u32::MAX,
        tag: StartTag::LAST,
    };
}

/// A caller that has offered work recently.
#[derive(Debug, Clone, Copy)]
struct ActiveCaller {
    caller: u64,
    /// Time of its last offer.
    last_offer: Instant,
    /// Decaying count of its starts in the last seconds.
    starts: f64,
}

#[derive(Debug)]
struct PriorityLevel {
    priority: u32,
    queue: FairQueue,
    /// Sorted by caller.
    active_callers: Vec<ActiveCaller>,
    /// Number of starts that it has earned even if a higher priority has work.
    credit: f64,
}

/// Waiting work, by priority.
#[derive(Debug, Default)]
pub struct PriorityQueue {
    /// Sorted by priority, the highest (lowest number) first.
    levels: Vec<PriorityLevel>,
}

impl PriorityQueue {
    /// Position that this work would get now.
    #[must_use]
    pub fn position_of(&self, work: &Work) -> QueuePosition {
        let tag = match self.level_index(work.priority) {
            Ok(at) => self.levels[at].queue.start_tag(work.caller),
            Err(_) => FairQueue::default().start_tag(work.caller),
        };
        QueuePosition {
            priority: work.priority,
            tag,
        }
    }

    /// Tokens of work that would be served before work at this position.
    #[must_use]
    pub fn tokens_ahead(&self, position: QueuePosition) -> u64 {
        let before = self
            .levels
            .iter()
            .take_while(|level| level.priority < position.priority);
        let higher: u64 = before
            .map(|level| level.queue.tokens_ahead(StartTag::LAST))
            .sum();
        let own = self
            .level_index(position.priority)
            .map(|at| &self.levels[at].queue);
        higher + own.map_or(0, |queue| queue.tokens_ahead(position.tag))
    }

    /// Whether work of this priority must yield: a higher priority has waiting work, or has had
    /// work recently while no slot is free, and this priority has less than one start of credit.
    #[must_use]
    pub fn must_yield(&self, priority: u32, has_free_slot: bool) -> bool {
        let mut higher = self
            .levels
            .iter()
            .take_while(|level| level.priority < priority);
        let is_lower = higher.any(|level| !has_free_slot || !level.queue.is_empty());
        let credit = self
            .level_index(priority)
            .map_or(0.0, |at| self.levels[at].credit);
        is_lower && credit < 1.0
    }

    /// Whether the caller of this work has had more than its fair share of the starts of its
    /// priority; always false while nothing waits and a slot is free.
    #[must_use]
    pub fn is_over_fair_share(&self, work: &Work, has_free_slot: bool) -> bool {
        if has_free_slot && self.is_empty() {
            return false;
        }
        let Ok(at) = self.level_index(work.priority) else {
            return false;
        };
        let level = &self.levels[at];
        let all: f64 = level
            .active_callers
            .iter()
            .map(|active| active.starts)
            .sum();
        let share = all / level.active_callers.len().max(1) as f64;
        let own = level.caller_index(work.caller).ok();
        own.is_some_and(|at| level.active_callers[at].starts > share + MAX_EXCESS_STARTS)
    }

    /// Records that a caller offered work, whether or not the work is admitted.
    pub fn record_offer(&mut self, now: Instant, work: &Work) {
        let at = self.ensure_level(work.priority);
        let level = &mut self.levels[at];
        match level.caller_index(work.caller) {
            Ok(at) => level.active_callers[at].last_offer = now,
            Err(at) => {
                let active_caller = ActiveCaller {
                    caller: work.caller,
                    last_offer: now,
                    starts: 0.0,
                };
                level.active_callers.insert(at, active_caller);
            }
        }
    }

    /// Queues work at its position.
    pub fn push(&mut self, now: Instant, work: Work) {
        let at = self.ensure_level(work.priority);
        self.levels[at].queue.push(now, work);
    }

    /// The work that is served next.
    #[must_use]
    pub fn front(&self) -> Option<&Queued> {
        self.levels[self.next_level()?].queue.front()
    }

    /// Removes the work that is served next, and counts its start.
    pub fn pop(&mut self) -> Option<Queued> {
        let next = self.next_level()?;
        self.distribute_credit(next);
        let level = &mut self.levels[next];
        let queued = level.queue.pop()?;
        if let Ok(at) = level.caller_index(queued.work.caller) {
            level.active_callers[at].starts += 1.0;
        }
        Some(queued)
    }

    /// Removes the work that would be served last, if it is behind this position.
    pub fn pop_behind(&mut self, position: QueuePosition) -> Option<Work> {
        let filled = |level: &&mut PriorityLevel| !level.queue.is_empty();
        let last = self.levels.iter_mut().rev().find(filled)?;
        if last.priority > position.priority {
            return last.queue.pop_last();
        }
        if last.priority < position.priority {
            return None;
        }
        last.queue.pop_behind(position.tag)
    }

    /// Removes work that was cancelled.
    pub fn remove(&mut self, key: WorkKey) {
        for level in &mut self.levels {
            level.queue.remove(key);
        }
    }

    /// Removes all work for which `predicate` is true.
    pub fn extract_if(&mut self, predicate: impl Fn(&Queued) -> bool) -> Vec<Work> {
        let levels = self.levels.iter_mut();
        levels
            .flat_map(|level| level.queue.extract_if(&predicate))
            .collect()
    }

    /// Discards idle callers, and priorities without callers or work; called once per tick.
    pub fn forget_idle_callers(&mut self, now: Instant) {
        for level in &mut self.levels {
            level.queue.forget_idle_callers();
            level
                .active_callers
                .retain(|active| now < active.last_offer + ACTIVE_FOR);
            for active in &mut level.active_callers {
                active.starts *= STARTS_DECAY;
            }
        }
        self.levels
            .retain(|level| !level.queue.is_empty() || !level.active_callers.is_empty());
    }

    /// Amount of waiting work.
    #[must_use]
    pub fn len(&self) -> usize {
        self.levels.iter().map(|level| level.queue.len()).sum()
    }

    /// Whether no work waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(|level| level.queue.is_empty())
    }

    fn level_index(&self, priority: u32) -> Result<usize, usize> {
        self.levels
            .binary_search_by_key(&priority, |level| level.priority)
    }

    fn ensure_level(&mut self, priority: u32) -> usize {
        self.level_index(priority).unwrap_or_else(|at| {
            let level = PriorityLevel {
                priority,
                queue: FairQueue::default(),
                active_callers: Vec::new(),
                credit: 0.0,
            };
            self.levels.insert(at, level);
            at
        })
    }

    /// The priority that is served next: a lower one that has earned a start, or the highest.
    fn next_level(&self) -> Option<usize> {
        let filled = |at: &usize| !self.levels[*at].queue.is_empty();
        let earned = |at: &usize| *at > 0 && self.levels[*at].credit >= 1.0;
        let mut waiting = (0..self.levels.len()).filter(filled);
        waiting.clone().find(earned).or_else(|| waiting.next())
    }

    /// Adds the credit that lower priorities earn by this start, and subtracts the start from
    /// the credit of its own priority.
    fn distribute_credit(&mut self, started: usize) {
        let callers: usize = self
            .levels
            .iter()
            .map(|level| level.active_callers.len())
            .sum();
        for level in self.levels.iter_mut().skip(1) {
            let share = level.active_callers.len() as f64 / callers.max(1) as f64;
            level.credit = (level.credit + share * LOWER_PRIORITY_SHARE).min(MAX_CREDIT_STARTS);
        }
        let level = &mut self.levels[started];
        level.credit = (level.credit - 1.0).max(0.0);
    }
}

impl PriorityLevel {
    fn caller_index(&self, caller: u64) -> Result<usize, usize> {
        self.active_callers
            .binary_search_by_key(&caller, |active| active.caller)
    }
}
