//! Slots of this entry at its upstreams: how many it may use, how many are in use, and which
//! upstream a piece of work goes to.
//!
//! A slot is one request that may be in flight at an upstream.

use std::time::Instant;

use crate::aimd_limit::AimdLimit;
use crate::health::Health;
use crate::health::ejections_allowed;
use crate::route::Ring;
use crate::route::ScoreInputs;
use crate::route::splitmix64;
use crate::route::subset;
use crate::share::EffectiveShare;
use crate::speed::CallSpeed;
use crate::speed::PeerStats;
use crate::work::Ending;
use crate::work::EntryDemands;
use crate::work::ReportedLoad;
use crate::work::UpstreamKey;
use crate::work::UpstreamState;

/// Marks an upstream key without an index in [`Slots::upstreams`].
const NO_INDEX: u32 = u32::MAX;

/// Number of running requests from which their overdue ratio counts in full against an
/// upstream: one long answer alone looks like a slow upstream.
const FULL_EVIDENCE_COUNT: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct UpstreamSlots {
    state: UpstreamState,
    health: Health,
    /// `None` until the upstream has reported how long work takes on its VM.
    speed: Option<CallSpeed>,
    /// Slots of this entry.
    share: u32,
    /// Slots of the share that may be used now.
    usable: u32,
    in_flight: u32,
    /// Gets no work, since the upstream likely has no free slot.
    is_closed: bool,
    /// Sum and number of the ratios of elapsed to expected time of running work, since the last
    /// comparison.
    overdue_ratios: (f64, f64),
}

impl UpstreamSlots {
    const fn free(&self) -> u32 {
        if self.is_closed {
            return 0;
        }
        self.usable.saturating_sub(self.in_flight)
    }
}

/// All slots of one service.
#[derive(Debug, Default)]
pub struct Slots {
    upstreams: Vec<UpstreamSlots>,
    /// Indexes into `upstreams`, by upstream key.
    index_by_key: Vec<u32>,
    ring: Ring,
    entry_share: EffectiveShare,
    /// Number of all upstreams divided by the number in the subset. Limits are scaled by it, since
    /// this entry uses only the subset.
    scale: f64,
    usable: u32,
    free: u32,
    /// Usual speed and load of the upstreams that report them.
    peers: PeerStats,
    /// No upstream is ejected for slowness or failures.
    never_ejects: bool,
}

impl Slots {
    /// Slots of upstreams that are not ejected for slowness or failures.
    #[must_use]
    pub fn without_outlier_ejection() -> Self {
        Self {
            never_ejects: true,
            ..Self::default()
        }
    }

    /// Sets the upstreams and the entries that share them. Resets the slots in use; the caller
    /// counts them again with [`Slots::count_in_flight`].
    pub fn set_upstreams(
        &mut self,
        now: Instant,
        upstreams: &[UpstreamState],
        entries: &EntryDemands<'_>,
    ) {
        let chosen = subset(upstreams, entries.rank, entries.demands.len());
        self.scale = upstreams.len() as f64 / chosen.len().max(1) as f64;
        let limits = upstreams.iter().map(|state| f64::from(state.limit));
        self.entry_share
            .set(now, entries, limits.sum::<f64>().max(1.0));
        let is_unchanged = chosen.len() == self.upstreams.len()
            && chosen
                .iter()
                .zip(&self.upstreams)
                .all(|(new, old)| new.key == old.state.key);
        if !is_unchanged {
            self.replace_upstreams(now, &chosen);
        }
        for (upstream, state) in self.upstreams.iter_mut().zip(chosen) {
            upstream.state = state;
            upstream.in_flight = 0;
        }
    }

    fn replace_upstreams(&mut self, now: Instant, chosen: &[UpstreamState]) {
        let is_first = self.upstreams.is_empty();
        let updated: Vec<UpstreamSlots> = chosen
            .iter()
            .map(|state| {
                let known = self.index_of(state.key).map(|index| &self.upstreams[index]);
                let speed = known.and_then(|upstream| upstream.speed);
                let health = known.map(|upstream| upstream.health);
                let new_health = if is_first {
                    Health::warm()
                } else {
                    Health::new(now)
                };
                UpstreamSlots {
                    state: *state,
                    health: health.unwrap_or(new_health),
                    speed,
                    share: 0,
                    usable: 0,
                    in_flight: 0,
                    is_closed: false,
                    overdue_ratios: (0.0, 0.0),
                }
            })
            .collect();
        let keys = chosen.iter().map(|state| state.key.0 as usize + 1);
        self.index_by_key.clear();
        self.index_by_key.resize(keys.max().unwrap_or(0), NO_INDEX);
        for (index, state) in chosen.iter().enumerate() {
            self.index_by_key[state.key.0 as usize] = index as u32;
        }
        self.ring = Ring::new(chosen.iter().map(|state| state.address_hash));
        self.upstreams = updated;
    }

    fn index_of(&self, key: UpstreamKey) -> Option<usize> {
        let index = *self.index_by_key.get(key.0 as usize)?;
        (index != NO_INDEX).then_some(index as usize)
    }

    /// Counts a slot in use by work that was started before [`Slots::set_upstreams`].
    pub fn count_in_flight(&mut self, key: UpstreamKey) {
        if let Some(index) = self.index_of(key) {
            self.upstreams[index].in_flight += 1;
        }
    }

    /// Updates how many slots may be used now.
    pub fn refresh(&mut self, now: Instant, limit: &AimdLimit) {
        let entry_range = self.entry_share.get(now);
        for upstream in &mut self.upstreams {
            let scaled_limit = limit.apply(f64::from(upstream.state.limit)) * self.scale;
            let offset = splitmix64(upstream.state.address_hash) as f64 / u64::MAX as f64;
            upstream.share = entry_range.slots(scaled_limit, offset);
        }
        if self.upstreams.iter().all(|upstream| upstream.share == 0) {
            // The limit is smaller than the number of entries. An entry without any slot
            // could serve nothing.
            let receiver = self
                .upstreams
                .iter_mut()
                .min_by_key(|upstream| splitmix64(upstream.state.address_hash));
            if let Some(upstream) = receiver {
                upstream.share = 1;
            }
        }
        self.usable = 0;
        self.free = 0;
        for upstream in &mut self.upstreams {
            upstream.usable = if upstream.state.leaving {
                0
            } else {
                upstream.health.usable_slots(now, upstream.share)
            };
            self.usable += upstream.usable;
            self.free += upstream.free();
        }
    }

    /// Records the ratio of elapsed to expected time of work that runs at this upstream.
    pub fn record_overdue_ratio(&mut self, key: UpstreamKey, ratio: f64) {
        if let Some(index) = self.index_of(key) {
            let (sum, count) = &mut self.upstreams[index].overdue_ratios;
            *sum += ratio;
            *count += 1.0;
        }
    }

    /// Compares the upstreams with one another and ejects outliers.
    pub fn compare(&mut self, now: Instant) {
        let speeds = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.health.comparable_us_per_token());
        let median_speed = median(speeds.collect());
        self.peers = PeerStats::of(
            now,
            self.upstreams
                .iter()
                .filter_map(|upstream| upstream.speed.as_ref()),
        );
        let overdue_ratios = self
            .upstreams
            .iter()
            .map(|upstream| upstream.overdue_ratio(now));
        let median_overdue_ratio = median(overdue_ratios.collect()).unwrap_or(1.0).max(1.0);
        for upstream in &mut self.upstreams {
            let overdue_ratio = upstream.overdue_ratio(now) / median_overdue_ratio;
            upstream.health.set_overdue_ratio(overdue_ratio.max(1.0));
            upstream.health.compare(median_speed);
            upstream.overdue_ratios = (0.0, 0.0);
        }
        let mut ejections_left = self.ejections_left();
        for upstream in &mut self.upstreams {
            if ejections_left > 0 && upstream.health.is_outlier() {
                upstream.health.eject_slow(now);
                ejections_left -= 1;
            }
        }
    }

    /// Best upstream with a free slot for work of this prompt prefix, by load, speed, zone and
    /// cache. The candidates on the hash ring come first, then all upstreams, then also those in
    /// `avoid`.
    #[must_use]
    pub fn pick(&self, now: Instant, prefix: u64, avoid: &[UpstreamKey]) -> Option<UpstreamKey> {
        if self.free == 0 {
            return None;
        }
        let candidates = self.ring.candidates(prefix);
        let first_candidate = candidates.as_slice().first().copied();
        let candidate_indexes = candidates.as_slice().iter().map(|index| *index as usize);
        self.best(now, candidate_indexes, first_candidate, avoid)
            .or_else(|| self.best(now, 0..self.upstreams.len(), first_candidate, avoid))
            .or_else(|| self.best(now, 0..self.upstreams.len(), first_candidate, &[]))
    }

    /// Least loaded upstream with a free slot for a training sample of this prompt prefix.
    ///
    /// A step is as slow as its fullest engine, and a cached prompt saves little time for a
    /// sample: prefix affinity would load engines unevenly. So all upstreams of the subset are
    /// compared without it. The prefix only rotates the order in which equal ones are taken;
    /// otherwise all entries would fill the same engines first.
    #[must_use]
    pub fn pick_least_loaded(
        &self,
        now: Instant,
        prefix: u64,
        avoid: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        if self.free == 0 {
            return None;
        }
        let count = self.upstreams.len();
        let start = (splitmix64(prefix) % count.max(1) as u64) as usize;
        let rotated = (start..count).chain(0..start);
        self.best(now, rotated.clone(), None, avoid)
            .or_else(|| self.best(now, rotated, None, &[]))
    }

    fn best(
        &self,
        now: Instant,
        indexes: impl Iterator<Item = usize>,
        first_candidate: Option<u32>,
        avoid: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        let mut best: Option<(f64, UpstreamKey)> = None;
        for index in indexes {
            let upstream = &self.upstreams[index];
            if upstream.free() == 0 || avoid.contains(&upstream.state.key) {
                continue;
            }
            let load = upstream
                .speed
                .map(|speed| speed.load_with_next_call(now, upstream.in_flight, &self.peers));
            let inputs = ScoreInputs {
                in_flight: upstream.in_flight,
                slots: upstream.usable,
                reported_load: load,
                slowness: upstream.slowness(now, &self.peers),
                local_zone: upstream.state.local_zone,
                first_on_ring: first_candidate == Some(index as u32),
                probe_first: upstream.health.is_probed_first(),
            };
            let score = inputs.score();
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, upstream.state.key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Sets whether an upstream gets no work because it likely has no free slot.
    pub fn set_closed(&mut self, key: UpstreamKey, is_closed: bool) {
        if let Some(index) = self.index_of(key) {
            let upstream = &mut self.upstreams[index];
            self.free -= upstream.free();
            upstream.is_closed = is_closed;
            self.free += upstream.free();
        }
    }

    /// Takes a slot of an upstream that [`Slots::pick`] or [`Slots::pick_least_loaded`] returned.
    pub fn acquire(&mut self, key: UpstreamKey) {
        if let Some(index) = self.index_of(key) {
            let upstream = &mut self.upstreams[index];
            self.free -= upstream.free().min(1);
            upstream.in_flight += 1;
            if let Some(speed) = &mut upstream.speed {
                speed.record_sent();
            }
        }
    }

    /// Records the load that an upstream reported with an answer.
    pub fn record_load(&mut self, now: Instant, key: UpstreamKey, load: ReportedLoad) {
        let Some(index) = self.index_of(key) else {
            return;
        };
        match &mut self.upstreams[index].speed {
            Some(speed) => speed.record_load(now, load),
            empty if load.time_percent.is_some() => *empty = Some(CallSpeed::new(now, load)),
            None => {}
        }
    }

    /// Releases a slot and records how the work ended.
    pub fn release(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        ending: Ending,
        cost_tokens: u32,
        elapsed: std::time::Duration,
    ) {
        let Some(index) = self.index_of(key) else {
            return;
        };
        let may_eject = self.ejections_left() > 0;
        let upstream = &mut self.upstreams[index];
        self.usable -= upstream.usable;
        self.free -= upstream.free();
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if let Some(speed) = upstream
            .speed
            .as_mut()
            .filter(|_| ending == Ending::Answered)
        {
            speed.record_time(now, elapsed);
        }
        // Slowness that the upstream's own report explains must not eject it.
        let unexplained = upstream.speed.map_or(elapsed, |speed| {
            speed.speed().undisturbed_time(now, elapsed)
        });
        upstream
            .health
            .record_end(now, ending, cost_tokens, unexplained, may_eject);
        upstream.usable = if upstream.state.leaving {
            0
        } else {
            upstream.health.usable_slots(now, upstream.share)
        };
        self.usable += upstream.usable;
        self.free += upstream.free();
    }

    /// How many more upstreams may be ejected now.
    fn ejections_left(&self) -> usize {
        if self.never_ejects {
            return 0;
        }
        let ejected = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.health.is_ejected());
        ejections_allowed(self.upstreams.len()).saturating_sub(ejected.count())
    }

    /// Slots that may be used now, including those in use.
    #[must_use]
    pub const fn usable(&self) -> u32 {
        self.usable
    }

    /// Usable slots that are not in use.
    #[must_use]
    pub const fn free(&self) -> u32 {
        self.free
    }

    /// Whether some upstream takes work, now or once its ejection ends.
    #[must_use]
    pub fn has_active_upstream(&self) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| !upstream.state.leaving)
    }
}

impl UpstreamSlots {
    /// Mean ratio of elapsed to expected time of running work, divided by the slowdown that the
    /// upstream reports. Lower with few running requests; 0 without any.
    fn overdue_ratio(&self, now: Instant) -> f64 {
        let (sum, count) = self.overdue_ratios;
        if count == 0.0 {
            return 0.0;
        }
        let disturbance = self
            .speed
            .map_or(1.0, |speed| speed.speed().disturbance(now));
        sum / count * (count / FULL_EVIDENCE_COUNT).min(1.0) / disturbance
    }

    /// Factor by which work that starts now is slower than at its peers.
    fn slowness(&self, now: Instant, peers: &PeerStats) -> f64 {
        match &self.speed {
            Some(speed) => speed.slowness(now, peers) * self.health.overdue_ratio(),
            None => self.health.slowness(),
        }
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
