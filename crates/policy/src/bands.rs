//! Queue ordered by priority, with fair queueing between the callers of each priority.
//!
//! Under overload, calls of all priorities would otherwise be late and refused alike. There is
//! one fair queue for each priority, and the highest priority is served first. With every call
//! that starts, each lower priority earns credit for a quarter of its fair share, so that it is
//! slowed down but does not starve.

use std::time::Duration;
use std::time::Instant;

use crate::fair::FairQueue;
use crate::fair::Queued;
use crate::fair::Tag;
use crate::work::Work;
use crate::work::WorkKey;

/// Fraction of its fair share that a priority gets while a higher one has work.
const LOWER_PRIORITY_PART: f64 = 0.25;

/// A caller counts in the fair shares for this long after its last work.
const ACTIVE_FOR: Duration = Duration::from_secs(3);

/// Decay factor of the count of starts per tick; the count covers about three seconds.
const STARTS_DECAY: f64 = 0.97;

/// Starts that a caller may have beyond its fair share. Random variation of arrivals alone
/// stays below this.
const STARTS_AHEAD: f64 = 1.0;

/// Maximum credit of a priority, in starts. With more, a run of its starts would delay higher
/// priorities.
const CREDIT_MOST: f64 = 2.0;

/// Position of work in the queue: its priority, and its start tag within that priority. Lower
/// values are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u32,
    tag: Tag,
}

impl Place {
    /// Behind all work.
    pub const LAST: Self = Self {
        priority: u32::MAX,
        tag: Tag::LAST,
    };
}

/// A caller that has offered work recently.
#[derive(Debug, Clone, Copy)]
struct ActiveCaller {
    caller: u64,
    /// Time of its last offer.
    at: Instant,
    /// Decaying count of its starts in the last seconds.
    starts: f64,
}

#[derive(Debug)]
struct Band {
    priority: u32,
    queue: FairQueue,
    /// Sorted by caller.
    present: Vec<ActiveCaller>,
    /// Number of starts that it has earned even if a higher priority has work.
    credit: f64,
}

/// Waiting work, by priority.
#[derive(Debug, Default)]
pub struct Bands {
    /// Sorted by priority, the highest (lowest number) first.
    bands: Vec<Band>,
}

impl Bands {
    /// Position that this work would get now.
    #[must_use]
    pub fn place_of(&self, work: &Work) -> Place {
        let tag = match self.position(work.priority) {
            Ok(at) => self.bands[at].queue.tag_of(work.caller),
            Err(_) => FairQueue::default().tag_of(work.caller),
        };
        Place {
            priority: work.priority,
            tag,
        }
    }

    /// Tokens of work that would be served before work at this position.
    #[must_use]
    pub fn ahead_tokens(&self, place: Place) -> u64 {
        let before = self
            .bands
            .iter()
            .take_while(|b| b.priority < place.priority);
        let higher: u64 = before.map(|band| band.queue.ahead_tokens(Tag::LAST)).sum();
        let own = self
            .position(place.priority)
            .map(|at| &self.bands[at].queue);
        higher + own.map_or(0, |queue| queue.ahead_tokens(place.tag))
    }

    /// Whether work of this priority must yield: a higher priority has waiting work, or has had
    /// work recently while no slot is free, and this priority has less than one start of credit.
    #[must_use]
    pub fn gives_way(&self, priority: u32, is_free: bool) -> bool {
        let mut higher = self.bands.iter().take_while(|b| b.priority < priority);
        let is_lower = higher.any(|band| !is_free || !band.queue.is_empty());
        let credit = self
            .position(priority)
            .map_or(0.0, |at| self.bands[at].credit);
        is_lower && credit < 1.0
    }

    /// Whether the caller of this work has had more than its fair share of the starts of its
    /// priority; always false while nothing waits and a slot is free.
    #[must_use]
    pub fn is_ahead(&self, work: &Work, is_free: bool) -> bool {
        if is_free && self.is_empty() {
            return false;
        }
        let Ok(at) = self.position(work.priority) else {
            return false;
        };
        let band = &self.bands[at];
        let all: f64 = band.present.iter().map(|held| held.starts).sum();
        let share = all / band.present.len().max(1) as f64;
        let own = band.caller(work.caller).ok();
        own.is_some_and(|at| band.present[at].starts > share + STARTS_AHEAD)
    }

    /// Records that a caller offered work, whether or not the work is admitted.
    pub fn note_offered(&mut self, now: Instant, work: &Work) {
        let at = self.band_at(work.priority);
        let band = &mut self.bands[at];
        match band.caller(work.caller) {
            Ok(at) => band.present[at].at = now,
            Err(at) => {
                let present = ActiveCaller {
                    caller: work.caller,
                    at: now,
                    starts: 0.0,
                };
                band.present.insert(at, present);
            }
        }
    }

    /// Queues work at its position.
    pub fn push(&mut self, now: Instant, work: Work) {
        let at = self.band_at(work.priority);
        self.bands[at].queue.push(now, work);
    }

    /// The work that is served next.
    #[must_use]
    pub fn front(&self) -> Option<&Queued> {
        self.bands[self.next()?].queue.front()
    }

    /// Removes the work that is served next, and counts its start.
    pub fn pop(&mut self) -> Option<Queued> {
        let next = self.next()?;
        self.share_start(next);
        let band = &mut self.bands[next];
        let queued = band.queue.pop()?;
        if let Ok(at) = band.caller(queued.work.caller) {
            band.present[at].starts += 1.0;
        }
        Some(queued)
    }

    /// Removes the work that would be served last, if it is behind this position.
    pub fn pop_behind(&mut self, place: Place) -> Option<Work> {
        let filled = |band: &&mut Band| !band.queue.is_empty();
        let last = self.bands.iter_mut().rev().find(filled)?;
        if last.priority > place.priority {
            return last.queue.pop_last();
        }
        if last.priority < place.priority {
            return None;
        }
        last.queue.pop_behind(place.tag)
    }

    /// Removes work that was cancelled.
    pub fn remove(&mut self, key: WorkKey) {
        for band in &mut self.bands {
            band.queue.remove(key);
        }
    }

    /// Removes all work for which `is_late` is true.
    pub fn take_late(&mut self, is_late: impl Fn(&Queued) -> bool) -> Vec<Work> {
        let bands = self.bands.iter_mut();
        bands
            .flat_map(|band| band.queue.take_late(&is_late))
            .collect()
    }

    /// Discards idle callers, and priorities without callers or work; called once per tick.
    pub fn forget_idle_callers(&mut self, now: Instant) {
        for band in &mut self.bands {
            band.queue.forget_idle_callers();
            band.present.retain(|held| now < held.at + ACTIVE_FOR);
            for held in &mut band.present {
                held.starts *= STARTS_DECAY;
            }
        }
        self.bands
            .retain(|band| !band.queue.is_empty() || !band.present.is_empty());
    }

    /// Amount of waiting work.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bands.iter().map(|band| band.queue.len()).sum()
    }

    /// Whether no work waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bands.iter().all(|band| band.queue.is_empty())
    }

    fn position(&self, priority: u32) -> Result<usize, usize> {
        self.bands.binary_search_by_key(&priority, |b| b.priority)
    }

    fn band_at(&mut self, priority: u32) -> usize {
        self.position(priority).unwrap_or_else(|at| {
            let band = Band {
                priority,
                queue: FairQueue::default(),
                present: Vec::new(),
                credit: 0.0,
            };
            self.bands.insert(at, band);
            at
        })
    }

    /// The priority that is served next: a lower one that has earned a start, or the highest.
    fn next(&self) -> Option<usize> {
        let filled = |at: &usize| !self.bands[*at].queue.is_empty();
        let earned = |at: &usize| *at > 0 && self.bands[*at].credit >= 1.0;
        let mut waiting = (0..self.bands.len()).filter(filled);
        waiting.clone().find(earned).or_else(|| waiting.next())
    }

    /// Adds the credit that lower priorities earn by this start, and subtracts the start from
    /// the credit of its own priority.
    fn share_start(&mut self, started: usize) {
        let callers: usize = self.bands.iter().map(|band| band.present.len()).sum();
        for band in self.bands.iter_mut().skip(1) {
            let share = band.present.len() as f64 / callers.max(1) as f64;
            band.credit = (band.credit + share * LOWER_PRIORITY_PART).min(CREDIT_MOST);
        }
        let band = &mut self.bands[started];
        band.credit = (band.credit - 1.0).max(0.0);
    }
}

impl Band {
    fn caller(&self, caller: u64) -> Result<usize, usize> {
        self.present
            .binary_search_by_key(&caller, |held| held.caller)
    }
}
