//! Computes the number of upstreams that a demand requires, by zone and capacity type.
//!
//! Upstreams are assigned one by one. On-demand upstreams cover the largest step; spot upstreams
//! cover the rest and a reserve for the loss of the zone that holds most of them. The cheapest zone
//! comes first, and no zone gets more than half.

use crate::scaling::Bounds;
use crate::scaling::CapacityType;
use crate::scaling::Counts;
use crate::scaling::Demand;
use crate::scaling::Zone;
use crate::scaling::cost;
use crate::scaling::left_after_zone_loss;
use crate::scaling::total;
use crate::scaling::upstreams_needed;

/// Factor on the price of an existing upstream, so that small price changes do not replace
/// upstreams.
const PRESENT_PRICE_FACTOR: f64 = 0.85;

/// Cheapest numbers that meet the demand, without regard to present upstreams except as a price
/// advantage.
#[must_use]
pub fn targets(zones: &[Zone], bounds: &Bounds, demand: Demand) -> Vec<Counts> {
    cheapest(zones, bounds, demand, &vec![Counts::default(); zones.len()])
}

/// Cheapest numbers that meet the demand if all present upstreams stay.
#[must_use]
pub fn targets_with_present(zones: &[Zone], bounds: &Bounds, demand: Demand) -> Vec<Counts> {
    let present: Vec<Counts> = zones.iter().map(|zone| zone.present).collect();
    cheapest(zones, bounds, demand, &present)
}

/// Present upstreams, with zones filled up to their minimum.
#[must_use]
pub fn filled_to_minimum(zones: &[Zone], bounds: &Bounds) -> Vec<Counts> {
    let mut assignment = Assignment {
        zones,
        bounds,
        spot_zones: None,
        assigned: zones.iter().map(|zone| zone.present).collect(),
    };
    assignment.fill_to_minimum();
    assignment.assigned
}

/// Spreading spot upstreams over more zones makes the reserve smaller but each upstream more
/// expensive. Tries every number of zones, and on-demand upstreams alone, and returns the cheapest
/// of the options that cover the most demand.
fn cheapest(zones: &[Zone], bounds: &Bounds, demand: Demand, initial: &[Counts]) -> Vec<Counts> {
    let needed = upstreams_needed(demand.samples, bounds);
    let on_demand_base = upstreams_needed(demand.largest_step, bounds).min(needed);
    let spot_options = (2..=zones.len().max(2)).map(|zone_count| Some(zone_count as u32));
    let options = spot_options.chain([None]).map(|spot_zones| {
        let mut assignment = Assignment {
            zones,
            bounds,
            spot_zones,
            assigned: initial.to_vec(),
        };
        assignment.assign_all(needed, on_demand_base);
        assignment.assigned
    });
    let covers = |counts: &[Counts]| left_after_zone_loss(counts).min(needed);
    let best = options.min_by(|a, b| {
        let by_cost = || cost(a, zones, bounds).total_cmp(&cost(b, zones, bounds));
        covers(b).cmp(&covers(a)).then_with(by_cost)
    });
    best.unwrap_or_default()
}

/// State of the assignment of upstreams to zones.
struct Assignment<'a> {
    zones: &'a [Zone],
    bounds: &'a Bounds,
    /// Minimum number of zones that share the spot upstreams; `None` for no spot upstreams.
    spot_zones: Option<u32>,
    assigned: Vec<Counts>,
}

impl Assignment<'_> {
    fn assign_all(&mut self, needed: u32, on_demand_base: u32) {
        let is_short = |assigned: &[Counts]| {
            let on_demand: u32 = assigned
                .iter()
                .map(|zone_counts| zone_counts.on_demand)
                .sum();
            on_demand < on_demand_base && total(assigned) < needed
        };
        while is_short(&self.assigned) && self.add(CapacityType::OnDemand) {}
        if self.spot_zones.is_some() {
            self.cover_with_spot(needed);
        }
        while left_after_zone_loss(&self.assigned) < needed && self.add(CapacityType::OnDemand) {}
        while self.spot_zones.is_some() && self.total() < needed && self.add(CapacityType::Spot) {}
        self.fill_to_minimum();
    }

    fn total(&self) -> u32 {
        total(&self.assigned)
    }

    /// Assigns one more upstream of a type; false if no zone can take it.
    fn add(&mut self, capacity_type: CapacityType) -> bool {
        let candidates = (0..self.zones.len()).filter(|at| self.can_take(*at, capacity_type));
        let Some(at) = candidates.min_by(|a, b| self.compare_zones(*a, *b, capacity_type)) else {
            return false;
        };
        *self.assigned[at].of_mut(capacity_type) += 1;
        true
    }

    fn can_take(&self, at: usize, capacity_type: CapacityType) -> bool {
        let (zone, assigned) = (&self.zones[at], self.assigned[at]);
        let is_present = assigned.of(capacity_type) < zone.present.of(capacity_type);
        let is_available = is_present || !zone.is_unavailable(capacity_type);
        let has_room = assigned.total() < self.bounds.max_per_zone;
        is_available && has_room && self.keeps_limits(at, capacity_type)
    }

    /// Whether, with one more upstream, the zone has at most half of all upstreams and at most its
    /// part of all spot upstreams. The reserve has to cover the loss of that part.
    fn keeps_limits(&self, at: usize, capacity_type: CapacityType) -> bool {
        let here = self.assigned[at];
        if self.zones.len() == 1 || here.total() < self.bounds.min_per_zone {
            return true;
        }
        let spot_total: u32 = self
            .assigned
            .iter()
            .map(|zone_counts| zone_counts.spot)
            .sum();
        let max_spot = (spot_total + 1).div_ceil(self.spot_zones.unwrap_or(1));
        let keeps_spot_limit = capacity_type == CapacityType::OnDemand || here.spot < max_spot;
        keeps_spot_limit && here.total() < (self.total() + 1).div_ceil(2)
    }

    fn compare_zones(&self, a: usize, b: usize, capacity_type: CapacityType) -> std::cmp::Ordering {
        let has_minimum = |at: usize| self.assigned[at].total() >= self.bounds.min_per_zone;
        let by_price = || {
            self.effective_price(a, capacity_type)
                .total_cmp(&self.effective_price(b, capacity_type))
        };
        let by_total = || self.assigned[a].total().cmp(&self.assigned[b].total());
        has_minimum(a)
            .cmp(&has_minimum(b))
            .then_with(by_price)
            .then_with(by_total)
    }

    fn effective_price(&self, at: usize, capacity_type: CapacityType) -> f64 {
        let zone = &self.zones[at];
        let is_present = self.assigned[at].of(capacity_type) < zone.present.of(capacity_type);
        let factor = if is_present {
            PRESENT_PRICE_FACTOR
        } else {
            1.0
        };
        zone.price * factor
    }

    /// Adds spot upstreams until enough remain after the loss of any one zone's spot upstreams.
    /// Drops trailing additions that do not raise that number.
    fn cover_with_spot(&mut self, needed: u32) {
        let mut best = self.assigned.clone();
        let mut best_left = left_after_zone_loss(&best);
        let mut additions_without_gain = 0;
        while best_left < needed
            && additions_without_gain <= self.zones.len()
            && self.add(CapacityType::Spot)
        {
            let left_now = left_after_zone_loss(&self.assigned);
            additions_without_gain += 1;
            if left_now > best_left {
                best_left = left_now;
                additions_without_gain = 0;
                best.clone_from(&self.assigned);
            }
        }
        self.assigned = best;
    }

    fn fill_to_minimum(&mut self) {
        for at in 0..self.zones.len() {
            while self.assigned[at].total() < self.bounds.min_per_zone {
                let capacity_type = if self.zones[at].spot_unavailable {
                    CapacityType::OnDemand
                } else {
                    CapacityType::Spot
                };
                *self.assigned[at].of_mut(capacity_type) += 1;
            }
        }
    }
}
