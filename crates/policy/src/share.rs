//! Divides the limit of an upstream among the entries (nodes that accept work for it).
//!
//! Callers and trainers spread unevenly over the entries, and entries come and go. Equal
//! shares would leave slots of idle entries unused while busy ones refuse work. Shares that are
//! rounded separately sum to much less than the limit (3 × 9 of 32) or more (4 × 9). And
//! an entry that is partitioned from the others would take them for dead and use the whole limit.
//!
//! So the limit is divided by demand with max-min fairness. Shares are adjacent ranges of the
//! interval from 0 to 1: the range of entry `r` starts at the sum of the shares before it. Where
//! all entries know the same demands, the slots sum to the limit exactly.

use std::time::Duration;
use std::time::Instant;

use crate::work::EntryDemands;

/// Factor by which the need of an entry exceeds its known demand, besides [`HEADROOM_SLOTS`]: a
/// caller that moves to another entry finds free slots there before its demand has been exchanged.
const HEADROOM_FACTOR: f64 = 1.25;

/// Slots by which the need of an entry, also of an idle one, exceeds its known demand.
const HEADROOM_SLOTS: f64 = 4.0;

/// Fraction of its first computed share that a new entry starts with.
const INITIAL_FRACTION: f64 = 0.25;

/// Delay until an increased share is used. By then the entries whose shares shrink have learnt
/// of it (two reports, half a second apart, and a few hops of exchange) and use their smaller
/// shares, which apply immediately.
const RAISE_DELAY: Duration = Duration::from_secs(3);

/// With fewer live entries than this part of the known ones, this entry is more likely
/// partitioned than alone, and falls back to an equal share among all known entries.
const PARTITIONED_BELOW: f64 = 0.5;

/// Slots that an entry with this demand is to get.
fn need(demand: u32) -> f64 {
    f64::from(demand) * HEADROOM_FACTOR + HEADROOM_SLOTS
}

/// Highest number of slots that any entry gets if all that need less get what they need
/// (max-min fairness); infinite if the capacity meets all needs.
///
/// Demand above it has no effect: entries with long queues, as training always has, keep equal
/// shares while their queue lengths vary.
fn max_min_slots(demands: &[u32], capacity: f64) -> f64 {
    let mut needs: Vec<f64> = demands.iter().copied().map(need).collect();
    needs.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (index, need) in needs.iter().enumerate() {
        let equal = left / (needs.len() - index) as f64;
        if *need >= equal {
            return equal;
        }
        left -= need;
    }
    f64::INFINITY
}

/// Share of one entry, as a range of the interval from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareRange {
    start: f64,
    end: f64,
}

impl ShareRange {
    /// Share of the entry at `entries.rank`, where all entries together may have `capacity`
    /// requests in flight.
    #[must_use]
    pub fn of_entry(entries: &EntryDemands<'_>, capacity: f64) -> Self {
        let live = entries.demands.len().max(1) as f64;
        let known = entries.known_entries as f64;
        if live < known * PARTITIONED_BELOW {
            let width = 1.0 / known;
            let start = entries.rank as f64 * width;
            return Self {
                start,
                end: start + width,
            };
        }
        let level = max_min_slots(entries.demands, capacity);
        let allotted: Vec<f64> = entries
            .demands
            .iter()
            .map(|demand| need(*demand).min(level))
            .collect();
        // Capacity that no entry needs is divided equally, for demand that is not known yet.
        let unneeded_each = (capacity - allotted.iter().sum::<f64>()).max(0.0) / live;
        let width = |slots: &f64| (slots + unneeded_each) / capacity;
        let start = allotted.iter().take(entries.rank).map(width).sum();
        let own = allotted.get(entries.rank).map_or(0.0, width);
        Self {
            start,
            end: start + own,
        }
    }

    /// Fraction of the limit.
    #[must_use]
    pub fn width(&self) -> f64 {
        self.end - self.start
    }

    /// Whole slots of `limit` in this range. `offset` (0 to 1) differs by upstream, so that at
    /// each of them other entries get the slots that rounding leaves over.
    #[must_use]
    pub fn slots(&self, limit: f64, offset: f64) -> u32 {
        let boundary = |position: f64| (position * limit + offset + ROUNDING_TOLERANCE).floor();
        (boundary(self.end) - boundary(self.start)).max(0.0) as u32
    }
}

/// Tolerance for sums of shares that should be whole numbers.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Share in use: a decrease applies immediately, an increase after a delay.
#[derive(Debug, Default)]
pub struct EffectiveShare {
    /// Shares computed within [`RAISE_DELAY`] and the last one before, oldest first.
    computed: Vec<(Instant, ShareRange)>,
}

impl EffectiveShare {
    /// Computes the share from the entries as known now. `capacity` is the sum of the upstreams'
    /// limits.
    pub fn set(&mut self, now: Instant, entries: &EntryDemands<'_>, capacity: f64) {
        let share = ShareRange::of_entry(entries, capacity);
        if self.computed.is_empty() {
            // The other entries divide the whole limit among themselves until they know of this
            // one.
            let start = share.start;
            let end = start + share.width() * INITIAL_FRACTION;
            self.computed.push((now, ShareRange { start, end }));
        }
        self.computed.push((now, share));
    }

    /// Share in use at this time.
    pub fn get(&mut self, now: Instant) -> ShareRange {
        while self.computed.len() > 1 && self.computed[1].0 + RAISE_DELAY <= now {
            self.computed.remove(0);
        }
        let narrowest = self
            .computed
            .iter()
            .map(|(_, share)| *share)
            .min_by(|left, right| left.width().total_cmp(&right.width()));
        narrowest.unwrap_or(ShareRange {
            start: 0.0,
            end: 1.0,
        })
    }
}
