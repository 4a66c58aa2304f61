//! Engines that are about to be removed, because the platform reclaims them or fewer were
//! ordered.

use std::sync::Arc;

use crate::mechanisms::Mechanism;
use crate::model::Upstream;
use crate::shared::Shared;

/// Leaving upstreams of autoscaled services; none where nodes do not order upstreams.
#[must_use]
pub fn leaving_engines(shared: &Shared) -> Vec<Arc<Upstream>> {
    let is_enabled = shared.mechanisms.is_enabled(Mechanism::Scaling)
        && shared.settings.now().scaling().is_some();
    if !is_enabled {
        return Vec::new();
    }
    let (config, upstreams) = (shared.fleet.config(), shared.fleet.upstreams());
    let is_scaled = |name: &str| {
        let service = config.service(name);
        service.is_some_and(|service| service.scaling.is_some())
    };
    let leaving = upstreams
        .iter()
        .filter(|upstream| upstream.leaving && is_scaled(&upstream.service));
    leaving.map(Arc::clone).collect()
}
