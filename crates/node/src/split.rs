//! Which service of a split route gets a request or an item, by the weights of the route's targets.
//!
//! Requests and items are points in a range that the targets divide by their weights. The point of a
//! request is a hash of its id. Items of one group share a prompt, which a service reads once, so a
//! group is one point; the points of a step's groups are spread evenly, as a step has too few groups
//! for random points to meet the weights. A point never changes, so that all attempts of a request
//! or an item, on any node, go by the same point and only another configuration leads them elsewhere.

use xxhash_rust::xxh3::xxh3_64;

use crate::model::Config;
use crate::model::Route;
use crate::model::RouteKind;
use crate::model::Target;

/// Step between the points of two groups: 2^64 divided by the golden ratio, whose multiples divide
/// the range more evenly than those of any other number.
const GROUP_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Where a request or a group of items is in the range that targets divide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SplitPoint(u64);

impl SplitPoint {
    /// The point of a request.
    #[must_use]
    pub fn of_request(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// The point of a submission's group with this index, in the trainer's order.
    #[must_use]
    pub fn of_group(submission: &str, group: usize) -> Self {
        let first = xxh3_64(submission.as_bytes());
        Self(first.wrapping_add((group as u64).wrapping_mul(GROUP_STEP)))
    }
}

impl Route {
    /// The service at a point, by weights, among the services that `is_served` accepts or, if it
    /// accepts none, among all. `None` if no target has a weight: then no service may get anything.
    #[must_use]
    pub fn service_at(&self, point: SplitPoint, is_served: impl Fn(&str) -> bool) -> Option<&str> {
        let chosen = self.target_at(point, |_| true)?;
        let is_only = self.weighted_targets().nth(1).is_none();
        if is_only || is_served(&chosen.service) {
            return Some(&chosen.service);
        }
        let served = self.target_at(point, |target| is_served(&target.service));
        Some(&served.unwrap_or(chosen).service)
    }

    /// The target at a point among those that `accepts` selects; `None` if it selects none with a weight.
    fn target_at(&self, point: SplitPoint, accepts: impl Fn(&Target) -> bool) -> Option<&Target> {
        let accepted = || self.weighted_targets().filter(|target| accepts(target));
        let total: u128 = accepted().map(|target| u128::from(target.weight)).sum();
        let mut offset = (u128::from(point.0) * total) >> u64::BITS;
        for target in accepted() {
            let weight = u128::from(target.weight);
            if offset < weight {
                return Some(target);
            }
            offset -= weight;
        }
        None
    }

    /// Targets that get a share of the route's requests.
    pub fn weighted_targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(|target| target.weight > 0)
    }

    /// Share of the route's requests that a service gets, from 0 to 1.
    #[must_use]
    pub fn share_of(&self, service: &str) -> f64 {
        let weight_of = |target: &Target| u64::from(target.weight);
        let own = self
            .targets
            .iter()
            .filter(|target| target.service == service);
        let own: u64 = own.map(weight_of).sum();
        let all: u64 = self.targets.iter().map(weight_of).sum();
        own as f64 / (all as f64).max(1.0)
    }

    /// By how much a part of all engines of the route's services has to be larger than for one service:
    /// it takes engines of all of them alike, while the one with the largest share needs most. At
    /// least 1.
    #[must_use]
    pub fn imbalance(&self) -> f64 {
        let shares = self
            .weighted_targets()
            .map(|target| self.share_of(&target.service));
        let largest = shares.fold(0.0, f64::max);
        (self.weighted_targets().count() as f64 * largest).max(1.0)
    }
}

impl Config {
    /// Services that get samples of rollout routes, sorted.
    #[must_use]
    pub fn rollout_services(&self) -> Vec<&str> {
        let targets = self.rollout_routes().flat_map(Route::weighted_targets);
        let mut services: Vec<&str> = targets.map(|target| target.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Largest share of a rollout route's samples that a service gets, from 0 to 1; 1 for a service to
    /// which no such route leads.
    #[must_use]
    pub fn share_of_samples(&self, service: &str) -> f64 {
        let routes = self
            .rollout_routes()
            .filter(|route| route.leads_to(service));
        let shares = routes.map(|route| route.share_of(service));
        shares.max_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Largest [`Route::imbalance`] of the rollout routes.
    #[must_use]
    pub fn rollout_imbalance(&self) -> f64 {
        let routes = self.rollout_routes();
        routes.map(Route::imbalance).fold(1.0, f64::max)
    }

    /// Routes for the submissions of trainers.
    pub fn rollout_routes(&self) -> impl Iterator<Item = &Route> {
        let routes = self.routes.iter();
        routes.filter(|route| route.kind == RouteKind::Rollout)
    }
}
