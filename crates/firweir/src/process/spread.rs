//! Rows of observed state, and which of them are news to others.
//!
//! Rows merge by an order of their own, so that the result does not depend on
//! the order or the number of messages. A row that changed is handed on in the
//! next exchanges, about twice as often as it takes to cross the fleet, and
//! then rests; what a VM missed all the same is found by comparing digests.

use std::cmp::Ordering;

/// One row of observed state.
pub trait Row: Clone {
    /// Orders rows by what they are about.
    fn compare(&self, other: &Self) -> Ordering;
    /// This row is newer news of the same thing.
    fn supersedes(&self, held: &Self) -> bool;
}

/// A row that arrives and is held already is known to at least one more VM: so
/// many sends of it are saved. News that many VMs bring up at once, as at the
/// start of a fleet, would else be handed on for a minute.
const KNOWN_ALREADY: u32 = 2;

#[derive(Debug, Clone)]
struct Held<R> {
    row: R,
    sends_left: u32,
}

/// Rows, sorted by what they are about.
#[derive(Debug, Clone)]
pub struct Table<R> {
    held: Vec<Held<R>>,
}

impl<R> Default for Table<R> {
    fn default() -> Self {
        Self { held: Vec::new() }
    }
}

/// Times that a change is handed on among this many VMs: twice the rounds that
/// it takes to reach all of them when the knowing ones double each round.
#[must_use]
pub fn sends_among(vms: usize) -> u32 {
    2 * (vms.max(1).ilog2() + 1)
}

impl<R: Row> Table<R> {
    /// Takes in a row unless it is held or an older one; a newer one is handed on
    /// `sends` times. Gives whether it was newer.
    pub fn take(&mut self, row: R, sends: u32) -> bool {
        let news = Held {
            row,
            sends_left: sends,
        };
        match self
            .held
            .binary_search_by(|held| held.row.compare(&news.row))
        {
            Err(position) => {
                self.held.insert(position, news);
                true
            }
            Ok(position) => {
                let held = &mut self.held[position];
                let newer = news.row.supersedes(&held.row);
                if newer {
                    *held = news;
                } else if !held.row.supersedes(&news.row) {
                    held.sends_left = held.sends_left.saturating_sub(KNOWN_ALREADY);
                }
                newer
            }
        }
    }

    /// What to hand on in one exchange, at most this many rows: those that were
    /// handed on least.
    pub fn news(&mut self, limit: usize) -> Vec<R> {
        let mut fresh: Vec<&mut Held<R>> = self
            .held
            .iter_mut()
            .filter(|held| held.sends_left > 0)
            .collect();
        fresh.sort_by_key(|held| std::cmp::Reverse(held.sends_left));
        fresh.truncate(limit);
        let mut news = Vec::new();
        for held in fresh {
            held.sends_left -= 1;
            news.push(held.row.clone());
        }
        news
    }

    /// Stops to hand on the rows that `which` picks.
    pub fn rest(&mut self, which: impl Fn(&R) -> bool) {
        for held in self.held.iter_mut().filter(|held| which(&held.row)) {
            held.sends_left = 0;
        }
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &R> {
        self.held.iter().map(|held| &held.row)
    }

    /// All rows, to be changed in what is not part of their order.
    pub fn rows_mut(&mut self) -> impl Iterator<Item = &mut R> {
        self.held.iter_mut().map(|held| &mut held.row)
    }

    /// The row that `about` finds equal.
    pub fn find(&self, about: impl Fn(&R) -> Ordering) -> Option<&R> {
        let position = self.held.binary_search_by(|held| about(&held.row)).ok()?;
        Some(&self.held[position].row)
    }

    /// Drops the rows that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&R) -> bool) {
        self.held.retain(|held| keep(&held.row));
    }
}
