//! Failures and clearings as a node has learned of them, in the order in which they arrived, so
//! that other nodes can ask for what is new to them.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::failure_records::Clearing;
use crate::failure_records::Failure;
use crate::failure_records::NodeFailures;

/// Maximum number of entries; a crash under load makes some hundreds at each node.
const MAX_ENTRIES: usize = 4_096;

/// Place in the log of one process up to which a node has read it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogPosition {
    /// Id of the log; it changes with each start of its process.
    pub(crate) log: u64,
    /// Number of the next entry to read.
    pub(crate) next: u64,
}

/// What is new since a position.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FailureNews {
    /// Position after these entries.
    pub(crate) position: LogPosition,
    #[serde(flatten)]
    pub(crate) seen: NodeFailures,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Failure(Failure),
    Clearing(Clearing),
}

/// The log of one process.
#[derive(Debug)]
pub(crate) struct FailureLog {
    id: u64,
    /// Oldest first.
    entries: VecDeque<Entry>,
    /// Number of the first entry that is kept.
    first: u64,
}

impl FailureLog {
    /// An empty log with this id.
    pub(crate) fn new(id: u64) -> Self {
        Self {
            id,
            entries: VecDeque::new(),
            first: 0,
        }
    }

    /// Adds what is not in the log yet and not older than this time of day; returns whether there
    /// was any. Without the limit two nodes would tell one another for ever what each has dropped.
    pub(crate) fn add(&mut self, seen: &NodeFailures, oldest_ms: u64) -> bool {
        let failures = seen.failures.iter().copied().map(Entry::of_failure);
        let clearings = seen.cleared.iter().copied().map(Entry::Clearing);
        let mut has_news = false;
        for entry in failures.chain(clearings) {
            if entry.at_ms() >= oldest_ms && !self.entries.contains(&entry) {
                self.entries.push_back(entry);
                has_news = true;
            }
        }
        let excess = self.entries.len().saturating_sub(MAX_ENTRIES);
        self.drop_first(excess);
        has_news
    }

    /// What was added since a position; all of it for a position in another log.
    pub(crate) fn news_since(&self, position: LogPosition) -> FailureNews {
        let known = if position.log == self.id {
            position.next.saturating_sub(self.first) as usize
        } else {
            0
        };
        let mut seen = NodeFailures::default();
        for entry in self.entries.iter().skip(known) {
            match entry {
                Entry::Failure(failure) => seen.failures.push(*failure),
                Entry::Clearing(clearing) => seen.cleared.push(*clearing),
            }
        }
        FailureNews {
            position: LogPosition {
                log: self.id,
                next: self.first + self.entries.len() as u64,
            },
            seen,
        }
    }

    /// All that is kept.
    pub(crate) fn all(&self) -> NodeFailures {
        self.news_since(LogPosition::default()).seen
    }

    /// Whether a failure of this request is in the log.
    pub(crate) fn has_failure_of(&self, fingerprint: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.any(
            |entry| matches!(entry, Entry::Failure(failure) if failure.fingerprint == fingerprint),
        )
    }

    /// Drops the oldest entries up to the first one that is not older than this time of day.
    pub(crate) fn drop_before(&mut self, oldest_ms: u64) {
        let is_expired = |entry: &&Entry| entry.at_ms() < oldest_ms;
        let expired = self.entries.iter().take_while(is_expired).count();
        self.drop_first(expired);
    }

    fn drop_first(&mut self, count: usize) {
        self.entries.drain(..count);
        self.first += count as u64;
    }
}

impl Entry {
    fn of_failure(failure: Failure) -> Self {
        Self::Failure(Failure {
            is_written: false,
            ..failure
        })
    }

    const fn at_ms(&self) -> u64 {
        match self {
            Self::Failure(failure) => failure.at_ms,
            Self::Clearing(clearing) => clearing.at_ms,
        }
    }
}
