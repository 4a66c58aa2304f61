//! How many engines a model's steps need, and the part of a large fleet that is looked at
//! for them.
//!
//! **Load:** thousands of engines, and trainers whose steps fill a hundredth of them.
//! **Without it:** each version of weights is loaded by a share of the whole fleet, whatever
//! a step can use of it, and every look at engines works through every pair of engine and
//! model. **How:** a model's pool follows the samples of its steps. All nodes put the engines
//! of a model into one order, by hashes, and look at its begin only: so they agree on the pool
//! without talking, and an engine that comes or goes moves no other.

use crate::route::mix;
use crate::waves::SETS;

/// Part of an engine's places that a step is to fill: engines that are half full lose no
/// speed, and have room for the samples of one that is lost.
const FILLED: f64 = 0.5;

/// Engines that are looked at for one that is needed: enough are left after the loss of one
/// availability zone of two, or a roll-out that takes every second engine.
const LOOKED_AT: usize = 4;

/// Engines that run so many samples at once, where each has so many places.
#[must_use]
pub fn engines_needed(samples: u32, slots: u32) -> usize {
    let filled = (f64::from(slots) * FILLED).max(1.0);
    (f64::from(samples) / filled).ceil() as usize
}

/// The slice of so many engines in which both sets of a model are looked for, each of so many.
#[must_use]
pub const fn pool_slice(engines: usize, a_version: usize) -> Slice {
    Slice::of(engines, SETS * a_version)
}

/// Place of an engine in a model's order, by the hashes of their names.
#[must_use]
pub const fn order_in_pool(engine: u64, model: u64) -> u64 {
    mix(engine ^ mix(model))
}

/// The begin of a model's order of engines: all whose place has so many leading zeros.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slice {
    /// Leading zeros; none for the whole fleet.
    pub zeros: u32,
}

impl Slice {
    /// The slice of so many engines in which a pool of `needed` is looked for.
    #[must_use]
    pub const fn of(engines: usize, needed: usize) -> Self {
        let looked_at = LOOKED_AT * if needed == 0 { 1 } else { needed };
        let zeros = match (engines / looked_at).checked_ilog2() {
            Some(halvings) => halvings,
            None => 0,
        };
        Self { zeros }
    }

    /// Whether an engine at this place belongs to it.
    #[must_use]
    pub const fn has(self, order: u64) -> bool {
        order.leading_zeros() >= self.zeros
    }
}
