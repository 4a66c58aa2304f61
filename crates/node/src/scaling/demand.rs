//! Demand of the steps of a service's models.

use firweir_policy::scaling::Demand;

use crate::fleet::Fleet;
use crate::model::Service;

/// Number of samples that steps request from a service's upstreams at once, by its share of the
/// routes that lead to it; `None` while no home has reported any.
#[must_use]
pub fn demand_of(fleet: &Fleet, service: &str) -> Option<Demand> {
    let (upstreams, versions) = (fleet.upstreams(), fleet.latest_versions());
    let of_service = upstreams
        .iter()
        .filter(|upstream| upstream.service == service);
    let mut models: Vec<&str> = of_service
        .flat_map(|upstream| &upstream.models)
        .map(|weights| weights.model.as_str())
        .collect();
    models.sort_unstable();
    models.dedup();
    let share = fleet.config().share_of_samples(service);
    let mut demand = Demand {
        samples: 0,
        largest_step: 0,
        is_complete: true,
    };
    for model in models {
        match fleet.demands().samples_of(model) {
            Some(samples) => {
                // Any share needs an upstream.
                let samples = (f64::from(samples) * share).round().max(share.ceil()) as u32;
                demand.samples = demand.samples.saturating_add(samples);
                demand.largest_step = demand.largest_step.max(samples);
            }
            // No trainer uses a model without a published version.
            None => demand.is_complete &= !versions.iter().any(|version| version.model == model),
        }
    }
    (demand.samples > 0).then_some(demand)
}

/// Number of requests that an upstream of a service runs at once.
#[must_use]
pub fn slots_per_upstream(fleet: &Fleet, service: &Service) -> u32 {
    if service.slots > 0 {
        return service.slots;
    }
    let upstreams = fleet.upstreams();
    let of_service = upstreams
        .iter()
        .filter(|upstream| upstream.service == service.name);
    of_service.map(|upstream| upstream.slots).min().unwrap_or(1)
}
