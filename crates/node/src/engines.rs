//! The engines of rollouts as every node sees them, and the models that each serves.

use std::sync::Arc;

use firweir_policy::placement::ModelKey;
use firweir_policy::waves::Lag;
use firweir_policy::waves::assign;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Fleet;
use crate::model::ModelVersion;
use crate::model::RouteKind;
use crate::model::Upstream;

/// An engine that takes new samples.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The models that it is to serve, its own one first.
    pub models: Vec<Arc<str>>,
}

/// Engines of the services that rollouts go to, without those that leave, sorted by
/// instance.
#[must_use]
pub fn rollout_engines(fleet: &Fleet) -> Vec<Engine> {
    let (config, upstreams) = (fleet.config(), fleet.upstreams());
    let rollouts = config
        .routes
        .iter()
        .filter(|route| route.kind == RouteKind::Rollout);
    let services: Vec<&str> = rollouts
        .flat_map(|route| route.targets.iter().map(|target| target.service.as_str()))
        .collect();
    let engines: Vec<Arc<Upstream>> = upstreams
        .iter()
        .filter(|upstream| !upstream.leaving && services.contains(&upstream.service.as_str()))
        .map(Arc::clone)
        .collect();
    let models = models_of(&engines);
    let assigned = assign(engines.len(), &lags(&engines, &models, &fleet.named()));
    let name_of = |model: ModelKey| Arc::clone(&models[model.0 as usize]);
    let with_models = |(upstream, own): (Arc<Upstream>, Vec<ModelKey>)| Engine {
        upstream,
        models: own.into_iter().map(name_of).collect(),
    };
    engines.into_iter().zip(assigned).map(with_models).collect()
}

/// Names of all models, sorted. All engines of a service mostly have the same few, so
/// each is looked up before it is taken in.
fn models_of(engines: &[Arc<Upstream>]) -> Vec<Arc<str>> {
    let mut models: Vec<Arc<str>> = Vec::new();
    for held in engines.iter().flat_map(|engine| &engine.models) {
        if let Err(at) = place_of(&models, &held.model) {
            models.insert(at, Arc::from(held.model.as_str()));
        }
    }
    models
}

fn place_of(models: &[Arc<str>], model: &str) -> Result<usize, usize> {
    models.binary_search_by(|held| held.as_ref().cmp(model))
}

fn lags(engines: &[Arc<Upstream>], models: &[Arc<str>], named: &[ModelVersion]) -> Vec<Lag> {
    let mut lags = Vec::new();
    for (at, engine) in engines.iter().enumerate() {
        let hash = xxh3_64(engine.instance.id.as_bytes());
        for held in &engine.models {
            let newest = named.iter().find(|named| named.model == held.model);
            let newest = newest.map_or(held.version, |named| named.version);
            let model = place_of(models, &held.model).unwrap_or_default();
            lags.push(Lag {
                engine: at,
                hash,
                model: ModelKey(model as u32),
                behind: newest.saturating_sub(held.version),
            });
        }
    }
    lags
}
