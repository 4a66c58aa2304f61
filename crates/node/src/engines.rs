//! The engines that serve rollouts, and the models assigned to each, in the same way on every
//! node.

use std::sync::Arc;

use firweir_policy::placement::ModelKey;
use firweir_policy::pool::FleetSlice;
use firweir_policy::pool::engines_needed;
use firweir_policy::pool::pool_slice;
use firweir_policy::pool::rendezvous_hash;
use firweir_policy::weight_loads::EngineNeed;
use firweir_policy::weight_loads::ModelShares;
use firweir_policy::weight_loads::VersionLag;
use firweir_policy::weight_loads::assign_models;

use crate::demand::ModelDemands;
use crate::fleet::Fleet;
use crate::model::Config;
use crate::model::ModelVersion;
use crate::model::Route;
use crate::model::Upstream;
use crate::relay_message::hash_of_name;

/// An engine that accepts new samples.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The models assigned to it, in the order in which [`assign_models`] chose them.
    pub models: Vec<Arc<str>>,
}

/// Engines that serve rollouts, and how they are divided among the models.
#[derive(Debug, Default)]
pub struct Engines {
    /// Sorted by instance, without those that will be removed soon.
    pub serving: Vec<Engine>,
    /// How many engines each model needs.
    pub model_shares: ModelShares,
}

/// A model that engines hold.
#[derive(Debug)]
struct Model {
    name: Arc<str>,
    hash: u64,
    /// Latest published version.
    latest_version: Option<u64>,
    /// Slice of all engines from which those for the model are selected.
    slice: FleetSlice,
}

/// Engines of the services to which rollout routes lead, with the models assigned to them.
#[must_use]
pub fn rollout_engines(fleet: &Fleet) -> Engines {
    let engines = candidate_engines(fleet);
    let slots = engines.iter().map(|engine| engine.slots).min();
    // A node that drafts may know only some of them.
    let total = engines.len().max(fleet.total_upstreams());
    let mut models = models_of(&engines, &fleet.latest_versions());
    let mut needs = needs_of(&models, slots.unwrap_or(1), fleet.demands());
    let imbalance = fleet.config().rollout_imbalance();
    for need in &mut needs {
        need.engines = (need.engines as f64 * imbalance).ceil() as usize;
    }
    for need in &needs {
        models[need.model.0 as usize].slice = pool_slice(total, need.engines);
    }
    let model_shares = ModelShares {
        engines: total,
        models: models.len(),
        needs,
    };
    let assigned = assign_models(&model_shares, &version_lags(&engines, &models));
    let name_of = |model: ModelKey| Arc::clone(&models[model.0 as usize].name);
    // If every slice is the full fleet, engines without a model also serve, for samples of any
    // model.
    let is_unsliced = models
        .iter()
        .all(|model| model.slice == FleetSlice::default());
    let serving = engines
        .into_iter()
        .zip(assigned)
        .filter(|(_, own)| is_unsliced || !own.is_empty());
    let with_models = |(upstream, own): (Arc<Upstream>, Vec<ModelKey>)| Engine {
        upstream,
        models: own.into_iter().map(name_of).collect(),
    };
    Engines {
        serving: serving.map(with_models).collect(),
        model_shares,
    }
}

/// Number of engines that a step of a route needs, with its share at each service.
#[must_use]
pub fn engines_for_route(config: &Config, route: &Route, samples: u32) -> usize {
    let services = route.weighted_targets();
    let services = services.filter_map(|target| config.service(&target.service));
    let slots = services.map(|service| service.slots.max(1)).min();
    let engines = engines_needed(samples, slots.unwrap_or(1));
    (engines as f64 * route.imbalance()).ceil() as usize
}

/// Engines that stay, of the services to which rollout routes lead.
fn candidate_engines(fleet: &Fleet) -> Vec<Arc<Upstream>> {
    let (config, upstreams) = (fleet.config(), fleet.upstreams());
    let services = config.rollout_services();
    let is_candidate = |upstream: &&Arc<Upstream>| {
        !upstream.leaving && services.binary_search(&upstream.service.as_str()).is_ok()
    };
    let candidates = upstreams.iter().filter(is_candidate);
    candidates.map(Arc::clone).collect()
}

/// All models that engines hold, sorted by name. Most engines of a service hold the same
/// models, so each engine is first compared with the previous one.
fn models_of(engines: &[Arc<Upstream>], latest_versions: &[ModelVersion]) -> Vec<Model> {
    let mut held_names: Vec<&str> = Vec::new();
    let mut previous: &[ModelVersion] = &[];
    for engine in engines {
        let held = engine.models.iter().map(|held| &held.model);
        if !held.eq(previous.iter().map(|held| &held.model)) {
            held_names.extend(engine.models.iter().map(|held| held.model.as_str()));
            previous = &engine.models;
        }
    }
    held_names.sort_unstable();
    held_names.dedup();
    let model = |name: &str| {
        let newest = latest_versions.binary_search_by(|held| held.model.as_str().cmp(name));
        Model {
            name: Arc::from(name),
            hash: hash_of_name(name),
            latest_version: newest.ok().map(|at| latest_versions[at].version),
            slice: FleetSlice::default(),
        }
    };
    held_names.into_iter().map(model).collect()
}

/// Engines that each model needs, for models whose home has reported the samples of a step.
fn needs_of(models: &[Model], slots: u32, demands: &ModelDemands) -> Vec<EngineNeed> {
    let needs = models.iter().enumerate().filter_map(|(at, model)| {
        let samples = demands.samples_of(&model.name)?;
        Some(EngineNeed {
            model: ModelKey(at as u32),
            engines: engines_needed(samples, slots),
        })
    });
    needs.collect()
}

/// How many versions engines are behind the latest one, for each model whose slice they are in.
fn version_lags(engines: &[Arc<Upstream>], models: &[Model]) -> Vec<VersionLag> {
    let mut lags = Vec::new();
    for (at, engine) in engines.iter().enumerate() {
        let hash = hash_of_name(&engine.instance.id);
        for (key, model) in models.iter().enumerate() {
            let order = rendezvous_hash(hash, model.hash);
            if !model.slice.contains(order) {
                continue;
            }
            let Some(version) = engine.version_of(&model.name) else {
                continue;
            };
            lags.push(VersionLag {
                engine: at,
                model: ModelKey(key as u32),
                order,
                versions_behind: model
                    .latest_version
                    .map_or(0, |latest| latest.saturating_sub(version)),
            });
        }
    }
    lags
}
