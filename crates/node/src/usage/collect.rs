//! What a node was told of the counts of others.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::usage::tally::AccountCount;
use crate::usage::tally::Tally;
use crate::usage::tally::Window;
use crate::usage::time::Offset;

/// Processes that are remembered: twice as many as there may be nodes.
const PROCESSES_KEPT: usize = 1_024;

/// What one process has counted that was not reported yet, in full each time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Names the process: one that starts again counts anew.
    pub process: String,
    /// True time as it alone knows it, in milliseconds since 1970.
    pub own_time_ms: u64,
    /// Its counts.
    pub tally: Tally,
}

/// One process as this node was told of it.
#[derive(Debug)]
struct Known {
    process: String,
    offset: Offset,
    told_at: Duration,
    tally: Tally,
}

/// The counts of all processes.
#[derive(Debug, Default)]
pub struct Collected {
    /// Sorted by process.
    known: Vec<Known>,
}

impl Collected {
    /// Takes in what a process tells, at this time since the system's start.
    pub fn take(&mut self, told: Told, now: Duration) {
        let own_time = Duration::from_millis(told.own_time_ms);
        let offset = Offset::between(own_time, now);
        match self
            .known
            .binary_search_by(|held| held.process.cmp(&told.process))
        {
            Ok(at) => {
                let known = &mut self.known[at];
                known.offset = offset;
                known.told_at = now;
                known.tally.take_later(&told.tally);
            }
            Err(at) => {
                let known = Known {
                    process: told.process,
                    offset,
                    told_at: now,
                    tally: told.tally,
                };
                self.known.insert(at, known);
                self.forget_surplus();
            }
        }
    }

    /// What was told, for a node that begins to collect.
    #[must_use]
    pub fn copies(&self, now: Duration) -> Vec<Told> {
        let told = self.known.iter().map(|known| Told {
            process: known.process.clone(),
            own_time_ms: known.offset.true_time(now).as_millis() as u64,
            tally: known.tally.clone(),
        });
        told.collect()
    }

    /// Requests of one window by account, all processes together.
    #[must_use]
    pub fn sum(&self, window: Window) -> Vec<AccountCount> {
        let mut sum = Vec::new();
        for known in &self.known {
            known.tally.add_to(window, &mut sum);
        }
        sum
    }

    /// The first window that anyone has counted in.
    #[must_use]
    pub fn first(&self) -> Option<Window> {
        self.known
            .iter()
            .filter_map(|known| known.tally.first())
            .min()
    }

    /// Forgets windows up to this one.
    pub fn forget_through(&mut self, window: Window) {
        for known in &mut self.known {
            known.tally.forget_through(window);
        }
    }

    /// The median of all offsets.
    #[must_use]
    pub fn offset(&self) -> Option<Offset> {
        Offset::median(self.known.iter().map(|known| known.offset).collect())
    }

    fn forget_surplus(&mut self) {
        if self.known.len() > PROCESSES_KEPT
            && let Some(oldest) = self.known.iter().map(|known| known.told_at).min()
        {
            self.known.retain(|known| known.told_at > oldest);
        }
    }
}
