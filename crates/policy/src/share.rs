//! How the limit of an upstream is divided among the entries.
//!
//! **Load:** callers and feeds spread unevenly over the entries, and entries
//! come and go. **Without it:** equal parts leave slots of quiet entries unused
//! and turn work away at busy ones; parts rounded each for itself sum to much
//! less than the limit (3 × 9 of 32) or more (4 × 9); and an entry that is cut off
//! takes the others for dead and the whole limit for itself. **How:** parts by
//! demand, no
//! one's above what is left when smaller needs are met (max-min fairness), cut from one line: entry `r` takes what lies between the sum of
//! the parts before it and the sum that includes it, so that with equal views
//! the parts sum to the limit exactly.

use std::time::Duration;
use std::time::Instant;

use crate::work::Fleet;

/// An entry gets this much more than it is known to need, and this many slots in
/// any case: a caller that turns to a quiet entry finds room there before its
/// demand has been exchanged.
const HEADROOM: f64 = 1.25;
const HEADROOM_SLOTS: f64 = 4.0;

/// Part of the first computed part that a new entry starts with.
const START_PART: f64 = 0.25;

/// A larger part is used this long after it was first computed: by then the
/// entries that give it up have learnt of it (two reports of half a second,
/// exchange over a few hops) and hold the smaller one, which is used at once.
const RAISE_AFTER: Duration = Duration::from_secs(3);

/// With fewer live entries than this part of the known ones, this entry is
/// more likely cut off than alone, and falls back to an equal part of all known.
const CUT_OFF_BELOW: f64 = 0.5;

fn need(demand: u32) -> f64 {
    f64::from(demand) * HEADROOM + HEADROOM_SLOTS
}

/// The most that any entry gets if all that need less get what they need.
///
/// Demand beyond it counts for nothing, so that entries whose queues are long,
/// as training's always are, do not take from one another as queues vary.
fn water_level(demands: &[u32], capacity: f64) -> f64 {
    let mut needs: Vec<f64> = demands.iter().copied().map(need).collect();
    needs.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (at, need) in needs.iter().enumerate() {
        let equal = left / (needs.len() - at) as f64;
        if *need >= equal {
            return equal;
        }
        left -= need;
    }
    f64::INFINITY
}

/// A range on the line from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    start: f64,
    end: f64,
}

impl Part {
    /// The part of one entry, where all together may have `capacity` in flight.
    #[must_use]
    pub fn of(fleet: &Fleet<'_>, capacity: f64) -> Self {
        let live = fleet.demands.len().max(1) as f64;
        let known = fleet.known as f64;
        if live < known * CUT_OFF_BELOW {
            let width = 1.0 / known;
            let start = fleet.rank as f64 * width;
            return Self {
                start,
                end: start + width,
            };
        }
        let level = water_level(fleet.demands, capacity);
        let given: Vec<f64> = fleet
            .demands
            .iter()
            .map(|it| need(*it).min(level))
            .collect();
        // What no one needs is divided equally, for needs that are not known yet.
        let spare = (capacity - given.iter().sum::<f64>()).max(0.0) / live;
        let width = |given: &f64| (given + spare) / capacity;
        let start = given.iter().take(fleet.rank).map(width).sum();
        let own = given.get(fleet.rank).map_or(0.0, width);
        Self {
            start,
            end: start + own,
        }
    }

    /// Its share of the whole.
    #[must_use]
    pub fn width(&self) -> f64 {
        self.end - self.start
    }

    /// Slots of `limit` that fall to this part. `offset` (0 to 1) differs by
    /// upstream, so that odd slots fall to another entry at each.
    #[must_use]
    pub fn slots(&self, limit: f64, offset: f64) -> u32 {
        let cut = |at: f64| (at * limit + offset + ROUNDING).floor();
        (cut(self.end) - cut(self.start)).max(0.0) as u32
    }
}

/// Sums of parts miss whole numbers by less than this.
const ROUNDING: f64 = 1e-9;

/// The part in force: a smaller one at once, a larger one after a while.
#[derive(Debug, Default)]
pub struct HeldPart {
    /// The parts computed in the last while, oldest first.
    computed: Vec<(Instant, Part)>,
}

impl HeldPart {
    /// Takes in the fleet as it is now known.
    pub fn set(&mut self, now: Instant, fleet: &Fleet<'_>, capacity: f64) {
        let part = Part::of(fleet, capacity);
        if self.computed.is_empty() {
            // The others divide everything among themselves until they know
            // of a new entry.
            let start = part.start;
            let end = start + part.width() * START_PART;
            self.computed.push((now, Part { start, end }));
        }
        self.computed.push((now, part));
    }

    /// The part in force.
    pub fn get(&mut self, now: Instant) -> Part {
        while self.computed.len() > 1 && self.computed[1].0 + RAISE_AFTER <= now {
            self.computed.remove(0);
        }
        let narrowest = self
            .computed
            .iter()
            .map(|(_, part)| *part)
            .min_by(|left, right| left.width().total_cmp(&right.width()));
        narrowest.unwrap_or(Part {
            start: 0.0,
            end: 1.0,
        })
    }
}
