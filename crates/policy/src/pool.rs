//! Size of a model's engine pool, and the part of a large fleet in which the pool is searched.
//!
//! There are thousands of engines, and the steps of a trainer fill a hundredth of them. If each
//! version of weights were loaded by a share of the whole fleet, the steps could not use most of
//! those engines, and every search would visit every pair of engine and model.
//!
//! The pool of a model is sized by the samples of its steps. All nodes order the engines of a
//! model by the same hash (rendezvous hashing) and search only the beginning of that order. So
//! they agree on the pool without communication, and an engine that joins or leaves moves no other.

use crate::route::splitmix64;
use crate::weight_loads::SETS_PER_MODEL;

/// Part of an engine's slots that a step is to fill: half-full engines lose no speed, and have
/// free slots for the samples of an engine that is lost.
const FILLED_FRACTION: f64 = 0.5;

/// Engines searched for each engine that is needed: enough remain after the loss of one of two
/// availability zones, or a rolling update that takes out every second engine.
const SEARCHED_PER_NEEDED: usize = 4;

/// Number of engines that a step with so many concurrent samples needs, with so many slots per
/// engine.
#[must_use]
pub fn engines_needed(samples: u32, slots: u32) -> usize {
    let filled_slots = (f64::from(slots) * FILLED_FRACTION).max(1.0);
    (f64::from(samples) / filled_slots).ceil() as usize
}

/// Slice of a fleet of so many engines in which all engine sets of a model are searched, each
/// with `engines_per_version` engines.
#[must_use]
pub const fn pool_slice(engines: usize, engines_per_version: usize) -> FleetSlice {
    FleetSlice::for_pool(engines, SETS_PER_MODEL * engines_per_version)
}

/// Hash by which the engines of a model are ordered, from the hashes of both names.
#[must_use]
pub const fn rendezvous_hash(engine: u64, model: u64) -> u64 {
    splitmix64(engine ^ splitmix64(model))
}

/// Beginning of a model's order of engines: all engines whose [`rendezvous_hash`] has at least
/// so many leading zero bits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FleetSlice {
    /// Number of leading zero bits; 0 for the whole fleet.
    pub leading_zeros: u32,
}

impl FleetSlice {
    /// Slice of a fleet of so many engines in which a pool of `needed` engines is searched.
    #[must_use]
    pub const fn for_pool(engines: usize, needed: usize) -> Self {
        let searched = SEARCHED_PER_NEEDED * if needed == 0 { 1 } else { needed };
        let leading_zeros = match (engines / searched).checked_ilog2() {
            Some(halvings) => halvings,
            None => 0,
        };
        Self { leading_zeros }
    }

    /// Whether an engine with this [`rendezvous_hash`] belongs to the slice.
    #[must_use]
    pub const fn contains(self, hash: u64) -> bool {
        hash.leading_zeros() >= self.leading_zeros
    }
}
