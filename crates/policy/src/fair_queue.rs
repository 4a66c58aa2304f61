//! Queue that shares service fairly between callers.
//!
//! With a few callers that offer most of the work, in a first-come queue everyone waits behind
//! the busiest caller, and a caller that offers ten times its share gets ten times the service.
//! This is start-time fair queueing: work is tagged with the virtual time at which its caller's
//! earlier work would have ended, and the smallest tag is served first. A caller that offers
//! little is always near the front, whatever the others offer.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::work::Work;
use crate::work::WorkKey;

/// Least cost of one piece of work, also if it has no estimate.
const MIN_COST_TOKENS: u64 = 1;

/// Virtual start time of work, in tokens. It orders the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTag(u64);

impl StartTag {
    /// Behind all work.
    pub const LAST: Self = Self(u64::MAX);
}

/// Waiting work.
#[derive(Debug)]
pub struct Queued {
    /// The work.
    pub work: Work,
    /// Time at which it was offered.
    pub since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    hash: u64,
    /// Virtual time at which all its work so far would have ended, in tokens.
    virtual_end: u64,
    queued: u32,
}

/// Waiting work, in the order in which it is served.
#[derive(Debug, Default)]
pub struct FairQueue {
    queued: BTreeMap<(StartTag, WorkKey), Queued>,
    /// Sorted by hash.
    callers: Vec<Caller>,
    callers_with_work: u64,
    virtual_now: u64,
    cost_tokens: u64,
}

impl FairQueue {
    /// Start tag that work of this caller would get now.
    #[must_use]
    pub fn start_tag(&self, caller: u64) -> StartTag {
        let virtual_end = self
            .caller_index(caller)
            .ok()
            .map(|at| self.callers[at].virtual_end);
        StartTag(self.virtual_now.max(virtual_end.unwrap_or(0)))
    }

    /// Tokens of work that would be served before work with this tag.
    #[must_use]
    pub fn tokens_ahead(&self, tag: StartTag) -> u64 {
        // Until virtual time reaches the tag, each caller with queued work is served as many
        // tokens as virtual time advances.
        let advance = tag.0 - self.virtual_now.min(tag.0);
        let fair = advance
            .saturating_add(1)
            .saturating_mul(self.callers_with_work);
        self.cost_tokens.min(fair)
    }

    /// Queues work with the start tag of its caller.
    pub fn push(&mut self, now: Instant, work: Work) {
        let tag = self.start_tag(work.caller);
        let cost = cost_of(&work);
        let at = self.caller_index(work.caller).unwrap_or_else(|at| {
            let caller = Caller {
                hash: work.caller,
                virtual_end: 0,
                queued: 0,
            };
            self.callers.insert(at, caller);
            at
        });
        let caller = &mut self.callers[at];
        caller.virtual_end = tag.0 + cost;
        self.callers_with_work += u64::from(caller.queued == 0);
        caller.queued += 1;
        self.cost_tokens += cost;
        self.queued
            .insert((tag, work.key), Queued { work, since: now });
    }

    /// The work that is served next.
    #[must_use]
    pub fn front(&self) -> Option<&Queued> {
        self.queued.first_key_value().map(|(_, queued)| queued)
    }

    /// Removes the work that is served next, and advances virtual time.
    pub fn pop(&mut self) -> Option<Queued> {
        let ((tag, _), queued) = self.queued.pop_first()?;
        self.virtual_now = self.virtual_now.max(tag.0);
        self.subtract_from_totals(&queued.work);
        Some(queued)
    }

    /// Removes the work that would be served last, if it is behind `tag`.
    pub fn pop_behind(&mut self, tag: StartTag) -> Option<Work> {
        let last = self.queued.last_entry()?;
        if last.key().0 <= tag {
            return None;
        }
        let work = last.remove().work;
        self.refund(&work);
        Some(work)
    }

    /// Removes the work that would be served last.
    pub fn pop_last(&mut self) -> Option<Work> {
        let work = self.queued.pop_last()?.1.work;
        self.refund(&work);
        Some(work)
    }

    /// Removes work that was cancelled.
    pub fn remove(&mut self, key: WorkKey) {
        let found = self.queued.keys().find(|(_, queued)| *queued == key);
        if let Some(queue_key) = found.copied()
            && let Some(queued) = self.queued.remove(&queue_key)
        {
            self.refund(&queued.work);
        }
    }

    /// Removes all work for which `predicate` is true.
    pub fn extract_if(&mut self, predicate: impl Fn(&Queued) -> bool) -> Vec<Work> {
        let keys: Vec<(StartTag, WorkKey)> = self
            .queued
            .iter()
            .filter(|(_, queued)| predicate(queued))
            .map(|(queue_key, _)| *queue_key)
            .collect();
        let mut taken = Vec::with_capacity(keys.len());
        for queue_key in keys {
            if let Some(queued) = self.queued.remove(&queue_key) {
                self.refund(&queued.work);
                taken.push(queued.work);
            }
        }
        taken
    }

    /// Discards callers without queued work whose service has ended in virtual time, or all
    /// callers if no work waits.
    pub fn forget_idle_callers(&mut self) {
        let now = self.virtual_now;
        self.callers
            .retain(|caller| caller.queued > 0 || caller.virtual_end > now);
        if self.queued.is_empty() {
            self.callers.clear();
        }
    }

    /// Amount of waiting work.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no work waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    fn caller_index(&self, caller: u64) -> Result<usize, usize> {
        self.callers
            .binary_search_by_key(&caller, |other| other.hash)
    }

    fn subtract_from_totals(&mut self, work: &Work) {
        self.cost_tokens -= cost_of(work);
        if let Ok(at) = self.caller_index(work.caller) {
            self.callers[at].queued -= 1;
            self.callers_with_work -= u64::from(self.callers[at].queued == 0);
        }
    }

    /// Removes unserved work from the sums, and does not charge its caller for it.
    fn refund(&mut self, work: &Work) {
        self.subtract_from_totals(work);
        if let Ok(at) = self.caller_index(work.caller) {
            let caller = &mut self.callers[at];
            caller.virtual_end = caller.virtual_end.saturating_sub(cost_of(work));
        }
    }
}

fn cost_of(work: &Work) -> u64 {
    u64::from(work.cost_tokens).max(MIN_COST_TOKENS)
}
