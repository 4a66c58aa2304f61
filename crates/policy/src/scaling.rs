//! Decides how many upstreams of a service to order, by capacity type and availability zone.
//!
//! Demand changes, prices differ by zone, and the platform may reclaim the spot upstreams of a
//! whole zone at once. [`crate::scaling_targets`] derives target numbers from the demand. Missing
//! upstreams are ordered at once. Reductions and replacements by cheaper upstreams are slow: one
//! upstream per zone at a time, and none while ordered upstreams are still booting.

use std::time::Duration;
use std::time::Instant;

use crate::scaling_targets::filled_to_minimum;
use crate::scaling_targets::targets;
use crate::scaling_targets::targets_with_present;

/// Upstreams are replaced only if the new total cost is at most this part of the present one: until
/// a new upstream serves, both are paid for.
const MAX_REPLACEMENT_COST_RATIO: f64 = 0.85;

/// Time after a boot within which a new upstream appears in this node's list.
const LIST_LAG: Duration = Duration::from_secs(3);

/// Whether the platform may reclaim an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CapacityType {
    /// Runs until a lower number is ordered.
    OnDemand,
    /// May be reclaimed at short notice.
    Spot,
}

/// Both capacity types, on-demand first because it costs more.
pub const CAPACITY_TYPES: [CapacityType; 2] = [CapacityType::OnDemand, CapacityType::Spot];

/// Number of upstreams of each capacity type.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Spot upstreams.
    pub spot: u32,
}

impl Counts {
    /// Number of one type.
    #[must_use]
    pub const fn of(self, capacity_type: CapacityType) -> u32 {
        match capacity_type {
            CapacityType::OnDemand => self.on_demand,
            CapacityType::Spot => self.spot,
        }
    }

    /// Mutable reference to the number of one type.
    pub const fn of_mut(&mut self, capacity_type: CapacityType) -> &mut u32 {
        match capacity_type {
            CapacityType::OnDemand => &mut self.on_demand,
            CapacityType::Spot => &mut self.spot,
        }
    }

    /// Number of both types.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.on_demand.saturating_add(self.spot)
    }
}

/// Scaling limits of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Minimum number of upstreams per zone, both types together.
    pub min_per_zone: u32,
    /// Maximum number of upstreams per zone, both types together.
    pub max_per_zone: u32,
    /// Number of requests that an upstream runs concurrently.
    pub slots: u32,
    /// Price of a spot upstream relative to an on-demand one in its zone.
    pub spot_price_ratio: f64,
}

/// Number of samples that the open steps request concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Samples of all models.
    pub samples: u32,
    /// Samples of the largest step.
    pub largest_step: u32,
    /// Whether the demand of every model is known; if false, the true demand may be higher.
    pub is_complete: bool,
}

/// Current state of one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Zone {
    /// Price of an on-demand upstream, relative to other zones.
    pub price: f64,
    /// Upstreams that the platform lists and that are not being removed.
    pub listed: Counts,
    /// Listed upstreams and ordered ones that are still booting.
    pub present: Counts,
    /// No on-demand upstreams can be added now.
    pub on_demand_unavailable: bool,
    /// No spot upstreams can be added now.
    pub spot_unavailable: bool,
    /// The last change is too recent for a reduction.
    pub is_settling: bool,
    /// Number of requests that its upstreams report as running.
    pub running_requests: u32,
}

impl Zone {
    /// Adds the requests that one upstream reports. `None` means that it did not answer: it may be
    /// busy, and counts as full, with `slots` requests.
    pub const fn record_requests(&mut self, reported: Option<u32>, slots: u32) {
        let count = match reported {
            Some(requests) => requests,
            None => slots,
        };
        self.running_requests = self.running_requests.saturating_add(count);
    }

    pub(crate) const fn is_unavailable(&self, capacity_type: CapacityType) -> bool {
        match capacity_type {
            CapacityType::OnDemand => self.on_demand_unavailable,
            CapacityType::Spot => self.spot_unavailable,
        }
    }

    /// Whether orders or removals are still in progress.
    fn is_changing(&self) -> bool {
        self.is_settling || self.present != self.listed
    }
}

/// Reason for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The zone has fewer upstreams than its minimum.
    BelowLeast,
    /// The demand or the reserve requires more upstreams.
    TooFew,
    /// Fewer upstreams suffice, or others are cheaper.
    TooMany,
    /// Repeats an order of an earlier holder of the scaling duty, or one that was not answered.
    Repeated,
}

/// An order that sets the number of upstreams of one capacity type in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Index of the zone.
    pub zone: usize,
    /// Type of the upstreams.
    pub capacity_type: CapacityType,
    /// Number that the zone is to have.
    pub count: u32,
    /// Number that the zone has, including those still booting.
    pub before: u32,
    /// Reason for the order.
    pub reason: Reason,
}

/// The last order that was sent for one capacity type in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedOrder {
    /// Number that was ordered.
    pub count: u32,
    /// Number that the platform listed at that time.
    pub listed: u32,
    /// Time of the order.
    pub at: Instant,
}

impl PlacedOrder {
    /// Number of running and booting upstreams of this type, from the number listed now and the
    /// boot time.
    #[must_use]
    pub fn present(&self, listed: u32, now: Instant, boot: Duration) -> u32 {
        if now.duration_since(self.at) >= boot + LIST_LAG {
            return listed;
        }
        if self.count < self.listed {
            return listed.min(self.count);
        }
        // Some of the upstreams listed at the time of the order may have been lost since.
        let with_ordered = listed.saturating_add(self.count - self.listed);
        with_ordered.min(self.count).max(listed)
    }

    /// Whether the order is too recent for a reduction.
    #[must_use]
    pub fn is_settling(&self, now: Instant, boot: Duration) -> bool {
        now.duration_since(self.at) < boot
    }
}

/// Orders to send now. If the demand is unknown (`None`), zones are only filled up to their
/// minimum.
#[must_use]
pub fn orders(zones: &[Zone], bounds: &Bounds, demand: Option<Demand>) -> Vec<Order> {
    let Some(demand) = demand else {
        return growth_orders(zones, bounds, &filled_to_minimum(zones, bounds), u32::MAX);
    };
    let present: Vec<Counts> = zones.iter().map(|zone| zone.present).collect();
    let needed = upstreams_needed(demand.samples, bounds);
    let is_enough = is_enough(&present, bounds, needed);
    if !demand.is_complete && is_enough {
        return Vec::new();
    }
    if !is_enough {
        return growth_orders(
            zones,
            bounds,
            &targets_with_present(zones, bounds, demand),
            u32::MAX,
        );
    }
    if zones.iter().any(Zone::is_changing) {
        return Vec::new();
    }
    let targets = targets(zones, bounds, demand);
    let reductions = reduction_orders(zones, bounds, &targets, needed);
    let cost_ratio = cost(&targets, zones, bounds) / cost(&present, zones, bounds);
    if reductions.is_empty() && cost_ratio < MAX_REPLACEMENT_COST_RATIO {
        // The upstreams that these replace are removed once the new ones serve.
        return growth_orders(zones, bounds, &targets, 1);
    }
    reductions
}

/// Cost of the upstreams, in the unit of [`Zone::price`].
#[must_use]
pub fn cost(counts: &[Counts], zones: &[Zone], bounds: &Bounds) -> f64 {
    let costs = counts.iter().zip(zones).map(|(zone_counts, zone)| {
        let spot = f64::from(zone_counts.spot) * bounds.spot_price_ratio;
        zone.price * (f64::from(zone_counts.on_demand) + spot)
    });
    costs.sum()
}

pub(crate) fn upstreams_needed(samples: u32, bounds: &Bounds) -> u32 {
    samples.div_ceil(bounds.slots.max(1))
}

pub(crate) fn total(counts: &[Counts]) -> u32 {
    let totals = counts.iter().map(|zone_counts| zone_counts.total());
    totals.fold(0, u32::saturating_add)
}

/// Upstreams that remain if the zone with the most spot upstreams loses all of them.
pub(crate) fn left_after_zone_loss(counts: &[Counts]) -> u32 {
    let lost = counts.iter().map(|zone_counts| zone_counts.spot).max();
    total(counts) - lost.unwrap_or_default()
}

fn is_enough(counts: &[Counts], bounds: &Bounds, needed: u32) -> bool {
    let has_minimum = counts
        .iter()
        .all(|zone_counts| zone_counts.total() >= bounds.min_per_zone);
    has_minimum && left_after_zone_loss(counts) >= needed
}

/// Orders that raise zones to their targets, by at most `max_added` upstreams per type and zone.
fn growth_orders(
    zones: &[Zone],
    bounds: &Bounds,
    targets: &[Counts],
    max_added: u32,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (at, (zone, target)) in zones.iter().zip(targets).enumerate() {
        let mut present = zone.present;
        for capacity_type in CAPACITY_TYPES {
            let before = present.of(capacity_type);
            let others = present.total() - before;
            let max_of_type = bounds.max_per_zone.saturating_sub(others);
            let count = target
                .of(capacity_type)
                .min(max_of_type)
                .min(before.saturating_add(max_added));
            if count <= before || zone.is_unavailable(capacity_type) {
                continue;
            }
            *present.of_mut(capacity_type) = count;
            let reason = if zone.present.total() < bounds.min_per_zone {
                Reason::BelowLeast
            } else {
                Reason::TooFew
            };
            orders.push(Order {
                zone: at,
                capacity_type,
                count,
                before,
                reason,
            });
        }
    }
    orders
}

/// Orders that remove one upstream from each zone above its target if enough remain and the zone
/// has more upstreams than its running requests fill.
fn reduction_orders(
    zones: &[Zone],
    bounds: &Bounds,
    targets: &[Counts],
    needed: u32,
) -> Vec<Order> {
    let mut remaining: Vec<Counts> = zones.iter().map(|zone| zone.present).collect();
    let mut orders = Vec::new();
    for (at, (zone, target)) in zones.iter().zip(targets).enumerate() {
        let exceeds = |capacity_type: &CapacityType| {
            zone.present.of(*capacity_type) > target.of(*capacity_type)
        };
        let Some(capacity_type) = CAPACITY_TYPES.into_iter().find(exceeds) else {
            continue;
        };
        let in_use = zone.running_requests.div_ceil(bounds.slots.max(1));
        if zone.present.total() <= in_use {
            continue;
        }
        let mut reduced = remaining.clone();
        *reduced[at].of_mut(capacity_type) -= 1;
        if !is_enough(&reduced, bounds, needed) {
            continue;
        }
        remaining = reduced;
        let before = zone.present.of(capacity_type);
        orders.push(Order {
            zone: at,
            capacity_type,
            count: before - 1,
            before,
            reason: Reason::TooMany,
        });
    }
    orders
}
