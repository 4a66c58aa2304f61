//! Which engines load new weights next.
//!
//! **Load:** several trainers name a new version every few seconds; a load takes about
//! a second, longer while many run, and an engine that loads begins no sample of that
//! model. **Without it:** every engine loads every version; with two loads at a time a
//! pool of twelve needs longer than the next version takes to come. **How:** a step takes
//! the named version and the one before it, and comes as its version is named. So each
//! model has two sets of engines, which get the versions by turns, those that are of no
//! more use first. The step begins on the set that has the version before, and goes on
//! on the other one as that has loaded. With several models each engine serves two of
//! them. **Thresholds:** beside each constant.

use std::cmp::Reverse;

use crate::placement::ModelKey;
use crate::route::mix;
use crate::work::UpstreamKey;

/// Versions behind the named one at which an engine is of no more use: the next
/// step takes the named version and the one before it.
const USELESS_BEHIND: u64 = 2;

/// Engines that load at once, as a part of all: with two of twelve a load takes
/// 0.9 s, and more slow each other down at the weight store. One more than that keeps
/// the weight store busy while a load that has ended is not known yet.
const LOADING_PART: f64 = 1.0 / 4.0;

/// How far one engine is behind the named version of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lag {
    /// Place of the engine among all.
    pub engine: usize,
    /// Hash of its instance; the same on every VM.
    pub hash: u64,
    /// The model.
    pub model: ModelKey,
    /// Versions behind.
    pub behind: u64,
}

/// Part of a model's equal share of the engines that gets each version, in quarters: all
/// that the next step has at first. With half of it, items waited 2 s on a pool of four;
/// with all of it, loads take longer than versions take to come.
const VERSION_QUARTERS: usize = 3;

/// Sets of engines that get a model's versions by turns.
const SETS: usize = 2;

/// Versions behind up to which an engine keeps its models: it gets every other one.
const KEPT_BEHIND: u64 = 2;

/// Engines that get each version of one of `models` models.
fn engines_a_version(engines: usize, models: usize) -> usize {
    let share = engines.div_ceil(models.max(1));
    (share * VERSION_QUARTERS).div_ceil(4)
}

/// The models that each of `engines` engines is to serve, its own one first: equal parts
/// for all models, and engines keep the models whose newer weights they have.
///
/// Every node computes the same from the same list. Dividing engines by their place
/// in the list would be simpler, but each engine that comes or goes would move all
/// behind it to another model, and each move is a load.
#[must_use]
pub fn assign(engines: usize, lags: &[Lag]) -> Vec<Vec<ModelKey>> {
    let mut models: Vec<ModelKey> = lags.iter().map(|lag| lag.model).collect();
    models.sort_unstable();
    models.dedup();
    let share = engines.div_ceil(models.len().max(1));
    let both_sets = SETS * engines_a_version(engines, models.len());
    let mut pairs = lags.to_vec();
    let order = |lag: &Lag| mix(lag.hash ^ mix(u64::from(lag.model.0)));
    pairs.sort_by_key(|lag| (lag.behind > KEPT_BEHIND, order(lag)));
    let mut assigned = vec![Vec::new(); engines];
    give(&mut assigned, &models, &pairs, 1, share);
    if models.len() > 1 {
        give(&mut assigned, &models, &pairs, SETS, both_sets.min(engines));
    }
    assigned
}

/// Gives models to engines in this order, until an engine has `each` or a model `most`.
/// `models` is sorted.
fn give(
    assigned: &mut [Vec<ModelKey>],
    models: &[ModelKey],
    pairs: &[Lag],
    each: usize,
    most: usize,
) {
    let has = |held: &[ModelKey], model| held.contains(&model);
    // Counted once: with 1,000 engines a count for each pair took most of a VM's time.
    let mut given: Vec<usize> = models
        .iter()
        .map(|model| assigned.iter().filter(|held| has(held, *model)).count())
        .collect();
    for lag in pairs {
        let Ok(at) = models.binary_search(&lag.model) else {
            continue;
        };
        let own = &mut assigned[lag.engine];
        if given[at] < most && own.len() < each && !has(own, lag.model) {
            own.push(lag.model);
            given[at] += 1;
        }
    }
}

/// One engine and one model, as far as weights go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub engine: UpstreamKey,
    /// A model that it serves.
    pub model: ModelKey,
    /// The version that it has.
    pub version: u64,
    /// The newest version that its trainer named.
    pub named: u64,
    /// An order for this model was given to it and has not been carried out.
    pub loading: bool,
    /// It takes no order now.
    pub unavailable: bool,
}

/// The loads to order now, as places in `weights`.
#[must_use]
pub fn next_loads(weights: &[EngineWeights]) -> Vec<usize> {
    let engines = distinct(weights.iter().map(|held| held.engine.0));
    let models = distinct(weights.iter().map(|held| held.model.0));
    loads(weights, engines, engines_a_version(engines, models))
}

/// The loads to order now if every engine is to have every version of its models.
#[must_use]
pub fn next_loads_of_all(weights: &[EngineWeights]) -> Vec<usize> {
    let engines = distinct(weights.iter().map(|held| held.engine.0));
    loads(weights, engines, engines)
}

/// The loads to order now, where `a_version` engines get each version.
fn loads(weights: &[EngineWeights], engines: usize, a_version: usize) -> Vec<usize> {
    let mut planned = weights.to_vec();
    let at_once = ((engines as f64 * LOADING_PART).round() as usize).max(1);
    let mut loads = Vec::new();
    while planned.iter().filter(|held| held.loading).count() < at_once {
        let next = (0..planned.len())
            .filter(|at| is_wanted(&planned[*at], &planned, a_version))
            .min_by_key(|at| {
                let held = &planned[*at];
                let behind = held.named - held.version;
                (usable(held.model, &planned), Reverse(behind), Reverse(*at))
            });
        let Some(at) = next else {
            break;
        };
        planned[at].loading = true;
        loads.push(at);
    }
    loads
}

/// Engines that the model's next step can use, or soon can. The model with the fewest
/// loads first: with the oldest version first, one trainer's step waited 3.3 s for its
/// first engine while others' models got their second set.
fn usable(model: ModelKey, weights: &[EngineWeights]) -> usize {
    let of_model = weights.iter().filter(|held| held.model == model);
    let usable = of_model.filter(|held| held.loading || held.named - held.version < USELESS_BEHIND);
    usable.count()
}

fn distinct(keys: impl Iterator<Item = u32>) -> usize {
    let mut keys: Vec<u32> = keys.collect();
    keys.sort_unstable();
    keys.dedup();
    keys.len()
}

/// Too few of the model's engines have the newest version or are about to, or the engine
/// is of no use to the next step and serves this model alone.
fn is_wanted(held: &EngineWeights, weights: &[EngineWeights], a_version: usize) -> bool {
    let same_engine = || weights.iter().filter(|other| other.engine == held.engine);
    let busy = same_engine().any(|other| other.loading);
    if busy || held.unavailable || held.version >= held.named {
        return false;
    }
    let useless = held.named - held.version >= USELESS_BEHIND;
    if useless && same_engine().count() == 1 {
        return true;
    }
    let same_model = weights.iter().filter(|other| other.model == held.model);
    let newest = same_model.filter(|other| other.version >= other.named || other.loading);
    newest.count() < a_version
}
