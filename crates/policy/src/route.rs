//! Load balancing: which upstream a piece of work goes to.
//!
//! There are thousands of upstreams, prompts share prefixes, and a few prefixes are hot. Without
//! subsets each decision compares all upstreams, and each entry holds a connection to all of
//! them. Without affinity equal prefixes are computed on every engine; with affinity alone
//! a hot prefix overloads one engine while others are idle.
//!
//! An entry uses a bounded subset of the upstreams; the subsets of all entries cover the
//! upstreams evenly. A prompt prefix is hashed to a point on a ring (consistent hashing). The
//! next few upstreams on the ring are the candidates, and the best one by load, speed, zone and
//! position on the ring gets the work. An upstream that joins or leaves moves only the prefixes
//! next to it.

use crate::work::UpstreamState;

/// Number of upstreams that one entry uses: hundreds of entries cover thousands of upstreams
/// several times over, and a scan stays short.
pub const SUBSET_SIZE: usize = 48;

/// Number of upstreams of the subset in the entry's own availability zone, if there are enough:
/// calls then cross zones only when the own zone is full.
const LOCAL_SUBSET_SIZE: usize = SUBSET_SIZE / 2;

/// Points of each upstream on the ring: the parts of the ring then differ by about a third, which
/// the choice among candidates evens out.
const POINTS_PER_UPSTREAM: u64 = 8;

/// Candidates for one piece of work: two already balance load well; more allow a choice by
/// affinity, zone and speed.
pub const MAX_CANDIDATES: usize = 6;

/// Mixes the bits of a hash.
#[must_use]
pub const fn splitmix64(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Subset of `upstreams` for the entry with this rank (from 0) among so many entries.
#[must_use]
pub fn subset(upstreams: &[UpstreamState], rank: usize, entries: usize) -> Vec<UpstreamState> {
    if upstreams.len() <= SUBSET_SIZE {
        return upstreams.to_vec();
    }
    let mut sorted = upstreams.to_vec();
    sorted.sort_unstable_by_key(|state| (!state.local_zone, splitmix64(state.address_hash)));
    let local_count = sorted.partition_point(|state| state.local_zone);
    let (local_upstreams, other_upstreams) = sorted.split_at(local_count);
    let local_target = LOCAL_SUBSET_SIZE
        .min(local_upstreams.len())
        .max(SUBSET_SIZE.saturating_sub(other_upstreams.len()));
    let mut chosen = window(local_upstreams, rank, entries, local_target);
    chosen.extend(window(
        other_upstreams,
        rank,
        entries,
        SUBSET_SIZE - local_target,
    ));
    chosen
}

/// `count` upstreams from the start index of this rank on, wrapping around at the end.
fn window(
    sorted: &[UpstreamState],
    rank: usize,
    entries: usize,
    count: usize,
) -> Vec<UpstreamState> {
    let start = rank * sorted.len() / entries.max(1);
    let wrapped = sorted.iter().cycle().skip(start);
    wrapped.take(count.min(sorted.len())).copied().collect()
}

/// Hash ring of upstreams, which it names by their indexes in the dispatcher's list.
#[derive(Debug, Default)]
pub struct Ring {
    /// Point and index of an upstream, sorted by point.
    points: Vec<(u64, u32)>,
    upstreams: usize,
}

impl Ring {
    /// A ring of the upstreams with these hashes, in the order of the dispatcher's list.
    #[must_use]
    pub fn new(hashes: impl Iterator<Item = u64>) -> Self {
        let mut points = Vec::new();
        let mut upstreams = 0;
        for (index, hash) in hashes.enumerate() {
            upstreams += 1;
            points.extend(
                (0..POINTS_PER_UPSTREAM)
                    .map(|point| (splitmix64(hash ^ splitmix64(point)), index as u32)),
            );
        }
        points.sort_unstable();
        Self { points, upstreams }
    }

    /// First distinct upstreams from the point of this prompt prefix on.
    #[must_use]
    pub fn candidates(&self, prefix: u64) -> Candidates {
        let point = splitmix64(prefix);
        let start = self.points.partition_point(|(at, _)| *at < point);
        let wanted = MAX_CANDIDATES.min(self.upstreams);
        let mut found = Candidates::default();
        let mut visited = 0;
        while found.count < wanted && visited < self.points.len() {
            let (_, index) = self.points[(start + visited) % self.points.len()];
            visited += 1;
            if !found.as_slice().contains(&index) {
                found.indexes[found.count] = index;
                found.count += 1;
            }
        }
        found
    }
}

/// Candidates in ring order; the first most likely has the prompt prefix in its cache.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidates {
    indexes: [u32; MAX_CANDIDATES],
    count: usize,
}

impl Candidates {
    /// Their indexes in the dispatcher's list.
    #[must_use]
    pub fn as_slice(&self) -> &[u32] {
        &self.indexes[..self.count]
    }
}

/// Properties of an upstream that its score depends on.
#[derive(Debug, Clone, Copy)]
pub struct ScoreInputs {
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Slots there for this entry.
    pub slots: u32,
    /// Requests of all entries, this one included, divided by all slots of the upstream. Used
    /// instead of `in_flight` and `slots`; `None` if the upstream does not report its load.
    pub reported_load: Option<f64>,
    /// Factor by which it is slower than its peers.
    pub slowness: f64,
    /// In the entry's own availability zone.
    pub local_zone: bool,
    /// First on the ring for this prefix.
    pub first_on_ring: bool,
    /// Its ejection for failures is over, and the next work probes it.
    pub probe_first: bool,
}

/// Score penalty of another zone, in load. Two crossings of about a millisecond are negligible
/// for an engine and a tenth of the time of a plain service.
const OTHER_ZONE_PENALTY: f64 = 0.1;

/// Score bonus of a likely cached prefix, in load. Prefill is a small part of an answer's time, so
/// a hot prefix spills over before its engine is a quarter fuller than others.
const CACHED_PREFIX_BONUS: f64 = 0.25;

/// Score of an upstream that is to be probed: ahead of all others. By load it would come last,
/// since its one slot counts as its whole share, and it would not be probed while others have
/// free slots.
const PROBE_SCORE: f64 = -1.0;

impl ScoreInputs {
    /// Score of the upstream; lower is better.
    #[must_use]
    pub fn score(&self) -> f64 {
        if self.probe_first {
            return PROBE_SCORE;
        }
        let own_load = f64::from(self.in_flight + 1) / f64::from(self.slots.max(1));
        let load = self.reported_load.unwrap_or(own_load);
        let zone = if self.local_zone {
            0.0
        } else {
            OTHER_ZONE_PENALTY
        };
        let cache = if self.first_on_ring {
            CACHED_PREFIX_BONUS
        } else {
            0.0
        };
        load * self.slowness + zone - cache
    }
}
