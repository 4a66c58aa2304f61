//! Counts that a node has received from all processes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::usage::tally::AccountCount;
use crate::usage::tally::Tally;
use crate::usage::tally::Window;
use crate::usage::time::Offset;

/// Number of processes that are remembered: twice the maximum number of nodes.
const PROCESSES_KEPT: usize = 1_024;

/// All counts of one process that are not reported yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Id of the process; a restarted node has a new one, with counts of its own.
    pub process: String,
    /// True time by the process's own clock, in milliseconds since 1970.
    pub own_time_ms: u64,
    /// The counts.
    pub tally: Tally,
}

/// Counts received from one process.
#[derive(Debug)]
struct Known {
    process: String,
    offset: Offset,
    told_at: Duration,
    tally: Tally,
}

/// Counts of all processes.
#[derive(Debug, Default)]
pub struct Collected {
    /// Sorted by process.
    known: Vec<Known>,
}

impl Collected {
    /// Merges the counts of a process. `now` is the time since the system's start.
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

    /// All received counts, for a node that has become the holder. `now` is the time since the
    /// system's start.
    #[must_use]
    pub fn copies(&self, now: Duration) -> Vec<Told> {
        let told = self.known.iter().map(|known| Told {
            process: known.process.clone(),
            own_time_ms: known.offset.true_time(now).as_millis() as u64,
            tally: known.tally.clone(),
        });
        told.collect()
    }

    /// Requests of all processes in one window, by account.
    #[must_use]
    pub fn sum(&self, window: Window) -> Vec<AccountCount> {
        let mut sum = Vec::new();
        for known in &self.known {
            known.tally.add_to(window, &mut sum);
        }
        sum
    }

    /// The first window with a count; `None` if there is none.
    #[must_use]
    pub fn first(&self) -> Option<Window> {
        self.known
            .iter()
            .filter_map(|known| known.tally.first())
            .min()
    }

    /// Removes the windows up to and including this one.
    pub fn forget_through(&mut self, window: Window) {
        for known in &mut self.known {
            known.tally.forget_through(window);
        }
    }

    /// Median of the clock offsets of all processes; `None` if no process is known.
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
