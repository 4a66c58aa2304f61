//! How long a node may rely on what it was last told, and how long it waits for each of the seed
//! nodes that tell it.
//!
//! A node that follows the store through seed nodes knows up to which moment it is up to date. A
//! change may be confirmed right after that moment, and has to take effect within a bound from then
//! on, whether seeds are outdated, silent or slow, and in whichever order. So each wait is a part of
//! the time that is left until the node has to read the store itself; waits with limits of their
//! own would add up beyond the bound.

use std::time::Duration;

/// Part of the bound that is left for reading the store, for applying what it says, and for
/// requests that are in flight by then: a sixth.
const READ_FRACTION: f64 = 1.0 / 6.0;

/// Part of the bound that is left for asking other seeds when a seed holds a request: a fifth.
const SWITCH_FRACTION: f64 = 0.2;

/// Largest part of the bound over which nodes spread their reads of the store.
const MAX_SPREAD_FRACTION: f64 = 0.2;

/// Share of the store's read rate that nodes take which lost their seeds at the same time.
const MAX_READS_SHARE: f64 = 0.8;

/// Kinds of objects that each node reads with calls that count toward the read rate.
const READS_PER_NODE: f64 = 2.0;

/// Shortest time for which a seed is asked to hold a request. With shorter ones a node would ask a
/// seed that knows nothing new again and again.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// Shortest wait for an answer: a seed in another availability zone takes some milliseconds.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(50);

/// How old a node's state may get; see the module documentation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StalenessLimits {
    bound: Duration,
    spread: Duration,
}

/// The fleet whose nodes may lose their seeds at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetReads {
    /// Number of nodes, as reported by seed nodes; 0 if unknown.
    pub nodes: usize,
    /// Reads per second that the store accepts from all nodes together.
    pub reads_per_s: f64,
}

/// Limits of one request to a seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollLimits {
    /// For how long the seed may hold the request if it has no changes.
    pub hold: Duration,
    /// Time after which the seed counts as silent.
    pub timeout: Duration,
}

impl StalenessLimits {
    /// Limits for changes that have to take effect within `bound`.
    #[must_use]
    pub fn new(bound: Duration, fleet: FleetReads) -> Self {
        let reads = fleet.nodes as f64 * READS_PER_NODE;
        let spread = reads / (fleet.reads_per_s.max(1.0) * MAX_READS_SHARE);
        let max_spread = bound.mul_f64(MAX_SPREAD_FRACTION);
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(max_spread);
        Self {
            bound,
            spread: spread.min(max_spread),
        }
    }

    /// Age of a node's state at which the node reads the store itself. `fraction` is random in 0
    /// to 1, so that nodes that lose their seeds together don't all read at the same time.
    #[must_use]
    pub fn max_age(&self, fraction: f64) -> Duration {
        let reserved = self.bound.mul_f64(READ_FRACTION) + self.spread.mul_f64(fraction);
        self.bound.saturating_sub(reserved)
    }

    /// Limits of the next request to a seed. `time_left` is the time until the node reads the store,
    /// which it divides evenly among `ways_left`: the seeds that it has not asked yet, and the
    /// store. `None` if the seed could not answer in its share.
    #[must_use]
    pub fn poll(
        &self,
        time_left: Duration,
        ways_left: usize,
        max: PollLimits,
    ) -> Option<PollLimits> {
        let hold = self.hold(time_left).min(max.hold);
        let share = time_left.saturating_sub(hold) / ways_left.max(1) as u32;
        let timeout = (hold + share).min(max.timeout);
        (share >= MIN_ANSWER_TIME).then_some(PollLimits { hold, timeout })
    }

    /// Whether a seed could hold another request of a node that has this much time until it reads the
    /// store.
    #[must_use]
    pub fn allows_hold(&self, time_left: Duration) -> bool {
        !self.hold(time_left).is_zero()
    }

    fn hold(&self, time_left: Duration) -> Duration {
        let hold = time_left.saturating_sub(self.bound.mul_f64(SWITCH_FRACTION));
        if hold < MIN_HOLD {
            Duration::ZERO
        } else {
            hold
        }
    }
}
