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
//! them.

use std::cmp::Reverse;

use crate::placement::ModelKey;
use crate::work::UpstreamKey;

/// Versions behind the named one at which an engine is of no more use: the next
/// step takes the named version and the one before it.
const USELESS_BEHIND: u64 = 2;

/// Engines that load at once, as a part of all: enough to keep the weight store of a small
/// pool busy while a load that has ended is not known yet. More of a large pool than the
/// weight store serves is up to [`crate::load_limit`].
const LOADING_PART: f64 = 1.0 / 4.0;

/// How far one engine is behind the named version of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lag {
    /// Place of the engine among all.
    pub engine: usize,
    /// The model.
    pub model: ModelKey,
    /// Place of the engine in the model's order ([`crate::pool::order_in_pool`]).
    pub order: u64,
    /// Versions behind.
    pub behind: u64,
}

/// Part of a model's equal share of the engines that gets each version, in quarters: all
/// that the next step has at first. With half of it, samples wait on a small pool; with all
/// of it, loads take longer than versions take to come.
const VERSION_QUARTERS: usize = 3;

/// Sets of engines that get a model's versions by turns.
pub(crate) const SETS: usize = 2;

/// Versions behind up to which an engine keeps its models: it gets every other one.
const KEPT_BEHIND: u64 = 2;

/// Engines that the steps of one model need at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// The model.
    pub model: ModelKey,
    /// Engines.
    pub engines: usize,
}

/// Engines among which models are divided, and what is known of the models' needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Division {
    /// All engines.
    pub engines: usize,
    /// All models.
    pub models: usize,
    /// Sorted by model. A model whose need is not known gets its share.
    pub needs: Vec<Need>,
}

impl Division {
    /// A model's equal share of the engines.
    fn share(&self) -> usize {
        self.engines.div_ceil(self.models.max(1))
    }

    fn need(&self, model: ModelKey) -> usize {
        let found = self.needs.binary_search_by_key(&model, |need| need.model);
        found.map_or(usize::MAX, |at| self.needs[at].engines)
    }

    /// Engines that get each version of a model.
    fn a_version(&self, model: ModelKey) -> usize {
        let of_share = (self.share() * VERSION_QUARTERS).div_ceil(4);
        of_share.min(self.need(model))
    }

    /// Engines of both sets of a model.
    fn both_sets(&self, model: ModelKey) -> usize {
        (SETS * self.a_version(model)).min(self.engines)
    }
}

/// The models that each engine is to serve, its own one first: equal parts for all models, or
/// what they need if that is less, and engines keep the models whose newer weights they have.
///
/// Every node computes the same from the same list. Dividing engines by their place
/// in the list would be simpler, but each engine that comes or goes would move all
/// behind it to another model, and each move is a load.
#[must_use]
pub fn assign(division: &Division, lags: &[Lag]) -> Vec<Vec<ModelKey>> {
    let mut models: Vec<ModelKey> = lags.iter().map(|lag| lag.model).collect();
    models.sort_unstable();
    models.dedup();
    let mut pairs = lags.to_vec();
    pairs.sort_by_key(|lag| (lag.behind > KEPT_BEHIND, lag.order, lag.engine));
    let mut assigned = vec![Vec::new(); division.engines];
    let both_sets = |model| division.both_sets(model);
    let own = |model| division.share().min(both_sets(model));
    give(&mut assigned, &models, &pairs, 1, own);
    if models.len() > 1 {
        give(&mut assigned, &models, &pairs, SETS, both_sets);
    }
    assigned
}

/// Gives models to engines in this order, until an engine has `each` or a model the most that
/// it is to have.
/// `models` is sorted.
fn give(
    assigned: &mut [Vec<ModelKey>],
    models: &[ModelKey],
    pairs: &[Lag],
    each: usize,
    most_of: impl Fn(ModelKey) -> usize,
) {
    let has = |held: &[ModelKey], model| held.contains(&model);
    // Counted once, not for each pair.
    let mut given: Vec<usize> = models
        .iter()
        .map(|model| assigned.iter().filter(|held| has(held, *model)).count())
        .collect();
    let most: Vec<usize> = models.iter().map(|model| most_of(*model)).collect();
    for lag in pairs {
        let Ok(at) = models.binary_search(&lag.model) else {
            continue;
        };
        let own = &mut assigned[lag.engine];
        if given[at] < most[at] && own.len() < each && !has(own, lag.model) {
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

/// Engines that may load at once by the size of the pool alone.
#[must_use]
pub fn loads_at_most(engines: usize) -> usize {
    ((engines as f64 * LOADING_PART).round() as usize).max(1)
}

/// The loads to order now, as places in `weights`, so that `at_once` run at the most.
#[must_use]
pub fn next_loads(weights: &[EngineWeights], at_once: usize, division: &Division) -> Vec<usize> {
    loads(weights, at_once, |model| division.a_version(model))
}

/// The loads to order now if every engine is to have every version of its models.
#[must_use]
pub fn next_loads_of_all(weights: &[EngineWeights], at_once: usize) -> Vec<usize> {
    loads(weights, at_once, |_model| usize::MAX)
}

/// The loads to order now, where so many engines get each version of a model.
///
/// Each model's candidates are sorted once and each load moves its counts by one, instead of
/// a look at every other pair for each candidate.
fn loads(
    weights: &[EngineWeights],
    at_once: usize,
    a_version: impl Fn(ModelKey) -> usize,
) -> Vec<usize> {
    let mut plan = Plan::of(weights, a_version);
    let mut loads = Vec::new();
    while plan.loading < at_once {
        let Some(at) = plan.next(weights) else {
            break;
        };
        plan.load(&weights[at]);
        loads.push(at);
    }
    loads
}

/// One model's engines while loads are planned.
#[derive(Debug)]
struct ModelPlan {
    model: ModelKey,
    /// Engines that get each version.
    a_version: usize,
    /// Engines that the next step can use, or soon can.
    usable: usize,
    /// Engines that have the newest version, or load it.
    newest: usize,
    /// Places of engines of no more use that serve this model alone: wanted in any case.
    /// The best one last, as in `others`.
    alone: Vec<usize>,
    /// Places of the other engines that are behind: wanted while too few have the newest
    /// version.
    others: Vec<usize>,
}

/// Loads that are planned, with the counts that decide on the next one.
#[derive(Debug)]
struct Plan {
    /// Sorted by model.
    models: Vec<ModelPlan>,
    /// Engines that load or are to load, sorted.
    busy: Vec<UpstreamKey>,
    /// Loads that run or are planned.
    loading: usize,
}

impl Plan {
    fn of(weights: &[EngineWeights], a_version: impl Fn(ModelKey) -> usize) -> Self {
        let mut busy: Vec<UpstreamKey> = loading(weights).map(|held| held.engine).collect();
        busy.sort_unstable();
        let mut engines: Vec<UpstreamKey> = weights.iter().map(|held| held.engine).collect();
        engines.sort_unstable();
        let mut models: Vec<ModelKey> = weights.iter().map(|held| held.model).collect();
        models.sort_unstable();
        models.dedup();
        let plan_of = |model| ModelPlan::of(model, weights, &engines, a_version(model));
        Self {
            models: models.into_iter().map(plan_of).collect(),
            busy,
            loading: loading(weights).count(),
        }
    }

    /// The model with the fewest usable engines first: with the oldest version first, one
    /// trainer's step waits for its first engine while others' models get their second set.
    fn next(&mut self, weights: &[EngineWeights]) -> Option<usize> {
        let busy = &self.busy;
        let is_busy = |at: &usize| busy.binary_search(&weights[*at].engine).is_ok();
        let candidates = self.models.iter_mut().filter_map(|model| {
            let at = model.next(weights, is_busy)?;
            Some((model.usable, order_of(weights, at), at))
        });
        candidates.min().map(|(_, _, at)| at)
    }

    fn load(&mut self, held: &EngineWeights) {
        self.loading += 1;
        if let Err(at) = self.busy.binary_search(&held.engine) {
            self.busy.insert(at, held.engine);
        }
        let found = self
            .models
            .binary_search_by_key(&held.model, |plan| plan.model);
        if let Ok(at) = found {
            let model = &mut self.models[at];
            model.newest += 1;
            model.usable += usize::from(held.behind() >= USELESS_BEHIND);
        }
    }
}

impl ModelPlan {
    /// `engines` names the engine of every pair, sorted.
    fn of(
        model: ModelKey,
        weights: &[EngineWeights],
        engines: &[UpstreamKey],
        a_version: usize,
    ) -> Self {
        let own = || weights.iter().filter(|held| held.model == model);
        let usable = own().filter(|held| held.loading || held.behind() < USELESS_BEHIND);
        let newest = own().filter(|held| held.loading || held.behind() == 0);
        let models_at = |engine: UpstreamKey| {
            let first = engines.partition_point(|held| *held < engine);
            engines[first..].partition_point(|held| *held == engine)
        };
        let is_alone = |at: &usize| {
            let held = &weights[*at];
            held.behind() >= USELESS_BEHIND && models_at(held.engine) == 1
        };
        let is_behind = |at: &usize| {
            let held = &weights[*at];
            held.model == model && held.behind() > 0 && !held.unavailable
        };
        let mut behind: Vec<usize> = (0..weights.len()).filter(is_behind).collect();
        behind.sort_unstable_by_key(|at| Reverse(order_of(weights, *at)));
        let (alone, others) = behind.into_iter().partition(is_alone);
        Self {
            model,
            a_version,
            usable: usable.count(),
            newest: newest.count(),
            alone,
            others,
        }
    }

    /// The best engine of this model to load now, if any is wanted.
    fn next(
        &mut self,
        weights: &[EngineWeights],
        is_busy: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        // An engine that loads one model stays busy for as long as loads are planned.
        for candidates in [&mut self.alone, &mut self.others] {
            while candidates.last().is_some_and(&is_busy) {
                candidates.pop();
            }
        }
        let is_wanted = self.newest < self.a_version;
        let other = self.others.last().filter(|_| is_wanted);
        let wanted = [self.alone.last(), other].into_iter().flatten().copied();
        wanted.min_by_key(|at| order_of(weights, *at))
    }
}

impl EngineWeights {
    /// Versions behind the named one.
    const fn behind(&self) -> u64 {
        self.named.saturating_sub(self.version)
    }
}

/// Order of the engines of one model; the lowest loads first.
fn order_of(weights: &[EngineWeights], at: usize) -> (Reverse<u64>, Reverse<usize>) {
    (Reverse(weights[at].behind()), Reverse(at))
}

fn loading(weights: &[EngineWeights]) -> impl Iterator<Item = &EngineWeights> {
    weights.iter().filter(|held| held.loading)
}
