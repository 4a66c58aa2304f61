//! Failed runs of requests, and answers that clear them, as a node keeps and stores them.

use firweir_policy::crash_evidence::is_same_crash;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of failures, and of clearing answers, that a node keeps; the newest stay.
const MAX_RECORDED: usize = 512;

/// One failed run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Failure {
    pub(crate) fingerprint: u64,
    /// Hash of the upstream that was lost, or of the run: several nodes may see the same upstream
    /// crash under the same request, which counts once.
    pub(crate) cause: u64,
    /// Time of day in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Whether it is in the store.
    #[serde(skip)]
    pub(crate) is_written: bool,
}

impl Failure {
    /// Request and cause.
    pub(crate) const fn key(&self) -> (u64, u64) {
        (self.fingerprint, self.cause)
    }
}

/// An answer to a request that had failed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Clearing {
    pub(crate) fingerprint: u64,
    /// Time of day in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}

/// What one node saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct NodeFailures {
    pub(crate) failures: Vec<Failure>,
    #[serde(default)]
    pub(crate) cleared: Vec<Clearing>,
}

/// What one node saw, as stored.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FailureRecord {
    /// Id of the write that created this value.
    pub(crate) write: String,
    #[serde(flatten)]
    pub(crate) seen: NodeFailures,
}

impl NodeFailures {
    pub(crate) const fn is_empty(&self) -> bool {
        self.failures.is_empty() && self.cleared.is_empty()
    }

    /// Adds a failure unless one of the same crash is held; returns whether it was added.
    pub(crate) fn add_failure(&mut self, failure: Failure) -> bool {
        let is_held = |held: &Failure| {
            held.key() == failure.key() && is_same_crash(held.at_ms, failure.at_ms)
        };
        if self.failures.iter().any(is_held) {
            return false;
        }
        self.failures.push(failure);
        if self.failures.len() > MAX_RECORDED {
            self.failures.remove(0);
        }
        true
    }

    /// Replaces the failures of a request by an answer.
    pub(crate) fn clear(&mut self, clearing: Clearing) {
        self.drop_failures_of(clearing.fingerprint);
        self.add_clearing(clearing);
    }

    pub(crate) fn drop_failures_of(&mut self, fingerprint: u64) {
        self.failures
            .retain(|failure| failure.fingerprint != fingerprint);
    }

    pub(crate) fn add_clearing(&mut self, clearing: Clearing) {
        self.cleared
            .retain(|held| held.fingerprint != clearing.fingerprint);
        self.cleared.push(clearing);
        if self.cleared.len() > MAX_RECORDED {
            self.cleared.remove(0);
        }
    }

    /// Adds what is in the store.
    pub(crate) fn merge(&mut self, mut stored: Self) {
        stored.mark_written();
        for failure in std::mem::take(&mut self.failures) {
            stored.add_failure(failure);
        }
        for clearing in std::mem::take(&mut self.cleared) {
            stored.add_clearing(clearing);
        }
        *self = stored;
    }

    pub(crate) fn mark_written(&mut self) {
        for failure in &mut self.failures {
            failure.is_written = true;
        }
    }

    pub(crate) fn drop_before(&mut self, oldest_ms: u64) {
        self.failures.retain(|failure| failure.at_ms >= oldest_ms);
        self.cleared.retain(|clearing| clearing.at_ms >= oldest_ms);
    }
}
