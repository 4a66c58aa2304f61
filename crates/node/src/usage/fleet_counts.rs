//! Counts that a node has received from all processes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::usage::clock_offset::ClockOffset;
use crate::usage::tally::AccountCount;
use crate::usage::tally::Tally;
use crate::usage::tally::Window;

/// Number of processes that are remembered: twice the maximum number of nodes.
const MAX_PROCESSES: usize = 1_024;

/// All counts of one process that are not reported yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessCounts {
    /// Id of the process; a restarted node has a new one, with counts of its own.
    pub process: String,
    /// True time by the process's own clock, in milliseconds since 1970.
    pub own_time_ms: u64,
    /// The counts.
    pub tally: Tally,
}

/// Counts received from one process.
#[derive(Debug)]
struct Process {
    id: String,
    offset: ClockOffset,
    received_at: Duration,
    tally: Tally,
}

/// Counts of all processes.
#[derive(Debug, Default)]
pub struct FleetCounts {
    /// Sorted by process.
    processes: Vec<Process>,
}

impl FleetCounts {
    /// Merges the counts of a process. `now` is the time since the system's start.
    pub fn apply(&mut self, received: ProcessCounts, now: Duration) {
        let own_time = Duration::from_millis(received.own_time_ms);
        let offset = ClockOffset::between(own_time, now);
        match self
            .processes
            .binary_search_by(|process| process.id.cmp(&received.process))
        {
            Ok(at) => {
                let process = &mut self.processes[at];
                process.offset = offset;
                process.received_at = now;
                process.tally.merge(&received.tally);
            }
            Err(at) => {
                let process = Process {
                    id: received.process,
                    offset,
                    received_at: now,
                    tally: received.tally,
                };
                self.processes.insert(at, process);
                self.evict_oldest();
            }
        }
    }

    /// All received counts, for a node that has become the holder. `now` is the time since the
    /// system's start.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Vec<ProcessCounts> {
        let snapshot = self.processes.iter().map(|process| ProcessCounts {
            process: process.id.clone(),
            own_time_ms: process.offset.true_time(now).as_millis() as u64,
            tally: process.tally.clone(),
        });
        snapshot.collect()
    }

    /// Requests of all processes in one window, by account.
    #[must_use]
    pub fn sum(&self, window: Window) -> Vec<AccountCount> {
        let mut sum = Vec::new();
        for process in &self.processes {
            process.tally.add_to(window, &mut sum);
        }
        sum
    }

    /// The first window with a count; `None` if there is none.
    #[must_use]
    pub fn first_window(&self) -> Option<Window> {
        self.processes
            .iter()
            .filter_map(|process| process.tally.first_window())
            .min()
    }

    /// Removes the windows up to and including this one.
    pub fn forget_through(&mut self, window: Window) {
        for process in &mut self.processes {
            process.tally.forget_through(window);
        }
    }

    /// Median of the clock offsets of all processes; `None` if no process is known.
    #[must_use]
    pub fn offset(&self) -> Option<ClockOffset> {
        ClockOffset::median(
            self.processes
                .iter()
                .map(|process| process.offset)
                .collect(),
        )
    }

    fn evict_oldest(&mut self) {
        if self.processes.len() > MAX_PROCESSES
            && let Some(oldest) = self
                .processes
                .iter()
                .map(|process| process.received_at)
                .min()
        {
            self.processes
                .retain(|process| process.received_at > oldest);
        }
    }
}
