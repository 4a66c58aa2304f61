//! The record of one feed in the object API, and how it may change.
//!
//! Lease, epoch, sealed lots and the last accepted lot stand in one object, so
//! that every change is one conditional write on the version that its writer
//! saw. A holder that was paused while another took over writes against a
//! version that is gone: the object API refuses it, whatever the paused holder
//! believes of its lease.

use std::net::SocketAddr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::object::Stamped;

/// Names the bytes of one lot: another lot of the same step has another digest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LotKey {
    /// Feed.
    pub feed: String,
    /// Step.
    pub step: u64,
    /// Generation.
    pub generation: u64,
    /// SHA-256 of the samples' JSON.
    pub digest: String,
}

/// A sealed lot; its samples are kept elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LotRecord {
    /// Step of the feed.
    pub step: u64,
    /// Generation of the lot.
    pub generation: u64,
    /// SHA-256 of the samples' JSON.
    pub digest: String,
    /// Number of samples.
    pub samples: u32,
    /// Oldest weight version that produced any part of a sample.
    pub oldest_version: u64,
    /// Newest weight version that produced any part of a sample.
    pub newest_version: u64,
    /// VMs whose vaults held the samples before the lot was sealed; none if they
    /// are in the holder's memory alone.
    #[serde(default)]
    pub vaults: Vec<String>,
}

impl LotRecord {
    /// Names the lot's bytes.
    #[must_use]
    pub fn key(&self, feed: &str) -> LotKey {
        LotKey {
            feed: feed.to_owned(),
            step: self.step,
            generation: self.generation,
            digest: self.digest.clone(),
        }
    }
}

/// The lot that a trainer names when it accepts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptance {
    /// Step of the lot.
    pub step: u64,
    /// Generation of the lot.
    pub generation: u64,
    /// Digest that the trainer checked.
    pub digest: String,
    /// Weight version that the trainer is at.
    pub trainer_version: u64,
}

quick_error! {
    /// Why a lot is not accepted.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum AcceptError {
        /// The lot was voided, or never sealed.
        Gone {
            display("gone")
        }
        /// The lot is older than the trainer's bound.
        Stale {
            display("stale")
        }
        /// An earlier step is not accepted yet.
        OutOfOrder {
            display("out-of-order")
        }
    }
}

/// What the object API holds of one feed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Names the write that made this version.
    pub write_id: String,
    /// Grows with each change of holder.
    pub epoch: u64,
    /// Grows with each renewal, so that others see that the holder lives.
    pub term: u64,
    /// VM that holds the feed; empty while none does.
    pub holder: String,
    /// Where the holder takes trainers.
    pub holder_address: Option<SocketAddr>,
    /// Generation of the next lot that is sealed.
    pub next_generation: u64,
    /// Newest weight version that the trainer published.
    pub weight_version: u64,
    /// Sealed lots that wait for their trainer, by step.
    pub sealed: Vec<LotRecord>,
    /// The lot that was accepted last.
    pub accepted: Option<LotRecord>,
}

impl Stamped for FeedRecord {
    fn write_id(&self) -> &str {
        &self.write_id
    }
}

impl FeedRecord {
    /// The step that comes after all that are accepted and sealed.
    #[must_use]
    pub fn next_step(&self) -> u64 {
        let accepted = self.accepted.as_ref().map(|lot| lot.step);
        let last = self.sealed.last().map(|lot| lot.step).or(accepted);
        last.map_or(0, |step| step + 1)
    }

    /// A new holder takes the feed with its sealed lots. It voids those whose
    /// samples it cannot get, once it knows that it cannot.
    #[must_use]
    pub fn taken_by(&self, holder: &str, address: SocketAddr) -> Self {
        Self {
            epoch: self.epoch + 1,
            term: self.term + 1,
            holder: holder.to_owned(),
            holder_address: Some(address),
            next_generation: self.next_generation + 1,
            ..self.clone()
        }
    }

    /// The holder shows that it lives.
    #[must_use]
    pub fn renewed(&self) -> Self {
        Self {
            term: self.term + 1,
            ..self.clone()
        }
    }

    /// The holder gives the feed up, so that another takes it at once.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            term: self.term + 1,
            holder: String::new(),
            holder_address: None,
            ..self.clone()
        }
    }

    /// A step is whole and its lot sealed, or `None` if it is not the next step.
    #[must_use]
    pub fn with_sealed(&self, lot: LotRecord) -> Option<Self> {
        if lot.step != self.next_step() || lot.generation != self.next_generation {
            return None;
        }
        let mut next = self.renewed();
        next.next_generation += 1;
        next.sealed.push(lot);
        Some(next)
    }

    /// Every lot from this step on is voided and will be drafted anew.
    #[must_use]
    pub fn with_voided(&self, step: u64) -> Self {
        let mut next = self.renewed();
        next.next_generation += 1;
        next.sealed.retain(|lot| lot.step < step);
        next
    }

    /// The trainer published a weight version; an older one changes nothing.
    #[must_use]
    pub fn with_weights(&self, version: u64) -> Option<Self> {
        if version <= self.weight_version {
            return None;
        }
        Some(Self {
            weight_version: version,
            ..self.renewed()
        })
    }

    /// The trainer accepts a lot; `None` if it had been accepted already.
    ///
    /// # Errors
    ///
    /// The lot is gone, too old for the trainer, or not the next.
    pub fn with_accepted(
        &self,
        acceptance: &Acceptance,
        bound_versions: u64,
    ) -> Result<Option<Self>, AcceptError> {
        let names = |lot: &LotRecord| {
            lot.step == acceptance.step
                && lot.generation == acceptance.generation
                && lot.digest == acceptance.digest
        };
        if self.accepted.as_ref().is_some_and(names) {
            return Ok(None);
        }
        let position = self
            .sealed
            .iter()
            .position(names)
            .ok_or(AcceptError::Gone)?;
        if position != 0 {
            return Err(AcceptError::OutOfOrder);
        }
        let oldest = self.sealed[0].oldest_version;
        if acceptance.trainer_version.saturating_sub(oldest) > bound_versions {
            return Err(AcceptError::Stale);
        }
        let mut next = self.renewed();
        next.accepted = Some(next.sealed.remove(0));
        Ok(Some(next))
    }
}
