//! Which engines load new weights next.
//!
//! **Load:** several trainers name a new version every few seconds; a load takes about
//! a second, longer while many run, and an engine that loads drafts nothing.
//! **Without it:** every engine loads every version; with two loads at a time a pool of
//! twelve needs longer than the next version takes to come, and loses a fifth of its
//! time to loading. **How:** a step takes the named version and the one before it. So
//! most of a model's engines are brought to each version, the oldest first, and the
//! others to the next one. **Thresholds:** beside each constant.

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

/// The model that each of `engines` engines is to serve: equal parts for all models,
/// and engines keep the model whose newer weights they have.
///
/// Every node computes the same from the same list. Dividing engines by their place
/// in the list would be simpler, but each engine that comes or goes would move all
/// behind it to another model, and each move is a load.
#[must_use]
pub fn assign(engines: usize, lags: &[Lag]) -> Vec<Option<ModelKey>> {
    let mut models: Vec<ModelKey> = lags.iter().map(|lag| lag.model).collect();
    models.sort_unstable();
    models.dedup();
    let most = engines.div_ceil(models.len().max(1));
    let mut pairs = lags.to_vec();
    pairs.sort_by_key(|lag| (lag.behind, mix(lag.hash ^ mix(u64::from(lag.model.0)))));
    let mut assigned = vec![None; engines];
    for lag in pairs {
        let held = assigned
            .iter()
            .filter(|held| **held == Some(lag.model))
            .count();
        if assigned[lag.engine].is_none() && held < most {
            assigned[lag.engine] = Some(lag.model);
        }
    }
    assigned
}

/// Part of a model's engines that get each version, in quarters. The engines that have
/// it when the next one is named are all that the next step has at first. With half of
/// them, items waited 2 s on a pool of four; with all, loads take longer than versions
/// take to come. Mean worth of the first sites' heavy days: 0.61 with half, 0.64 so.
const NEWEST_QUARTERS: usize = 3;

/// One engine and one model, as far as weights go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub engine: UpstreamKey,
    /// The model that it serves.
    pub model: ModelKey,
    /// The version that it has.
    pub version: u64,
    /// The newest version that its trainer named.
    pub named: u64,
    /// An order was given to it and has not been carried out.
    pub loading: bool,
    /// It takes no order now.
    pub unavailable: bool,
}

/// The engines to order to load their model's newest version now.
#[must_use]
pub fn next_loads(engines: &[EngineWeights]) -> Vec<UpstreamKey> {
    let mut planned = engines.to_vec();
    let at_once = ((engines.len() as f64 * LOADING_PART).round() as usize).max(1);
    let mut loads = Vec::new();
    while planned.iter().filter(|engine| engine.loading).count() < at_once {
        let next = (0..planned.len())
            .filter(|at| is_wanted(&planned[*at], &planned))
            .max_by_key(|at| planned[*at].named - planned[*at].version);
        let Some(at) = next else {
            break;
        };
        planned[at].loading = true;
        loads.push(planned[at].engine);
    }
    loads
}

/// The engine is of no use to the next step, or too few of its model's engines have
/// the newest version or are about to.
fn is_wanted(engine: &EngineWeights, engines: &[EngineWeights]) -> bool {
    if engine.loading || engine.unavailable || engine.version >= engine.named {
        return false;
    }
    if engine.named - engine.version >= USELESS_BEHIND {
        return true;
    }
    let same_model = || engines.iter().filter(|other| other.model == engine.model);
    let newest = same_model()
        .filter(|other| other.version >= other.named || other.loading)
        .count();
    newest < (same_model().count() * NEWEST_QUARTERS).div_ceil(4)
}
