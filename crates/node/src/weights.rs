//! Orders engines to load the weights that trainers name. One node at a time gives
//! orders: the holder of the duty ([`crate::holder`]).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::load_limit::LoadLimit;
use firweir_policy::periodic_work::pause_after;
use firweir_policy::placement::ModelKey;
use firweir_policy::weight_loads::EngineWeights;
use firweir_policy::weight_loads::max_concurrent_loads;
use firweir_policy::weight_loads::next_loads;
use firweir_policy::weight_loads::next_loads_on_all_engines;
use firweir_policy::work::UpstreamKey;
use rand::Rng;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::OrderAnswer;
use crate::dialect::WeightOrder;
use crate::engines::Engine;
use crate::engines::Engines;
use crate::engines::rollout_engines;
use crate::fleet::Fleet;
use crate::holder::DutyHolder;
use crate::interest::Interest;
use crate::mechanisms::EnabledMechanisms;
use crate::mechanisms::Mechanism;
use crate::model::Instance;
use crate::model::ModelVersion;
use crate::model::Upstream;
use crate::relay::hash_of_name;

/// Time between looks at whether orders are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks of a node that neither gives orders nor sees engines: each wakes
/// up every VM of a fleet.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Orders that are due for this long while no engine changes its weights, and up to
/// as much again at random, make a node ask the holder: longer than a load takes.
const PATIENCE: Duration = Duration::from_millis(1_300);

/// Calls in a row that a holder did not answer before a node asks whether it is gone: the
/// few that would see that no one gives orders, and all others, which come second.
const SILENT_CALLS: u32 = 2;
const SILENT_CALLS_MOST: u32 = 4;

/// An engine answers an order in milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// An engine that accepted an order shows its new version within this time, the lag of the
/// list of upstreams included.
const LOAD_SHOWS: Duration = Duration::from_secs(5);

/// An engine that did not answer an order, or refused it, is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// One engine as far as orders go.
#[derive(Debug, Clone)]
struct Ordered {
    instance: Instance,
    /// Orders that it accepted; `None` if it has to be asked.
    accepted: Option<u64>,
    /// An order for this version is on its way.
    ordering: Option<ModelVersion>,
    /// It accepted an order for this version, then.
    loading: Option<Loading>,
    /// It is left alone until then, or its load has to show by then.
    until: Option<Instant>,
}

/// A load that an engine has accepted.
#[derive(Debug, Clone)]
struct Loading {
    load: ModelVersion,
    since: Instant,
}

/// Gives orders; cheap to clone.
#[derive(Debug, Clone)]
pub struct WeightUpdater {
    shared: Arc<Shared>,
}

/// What the orders are given with.
#[derive(Debug)]
pub struct WeightUpdaterParts {
    /// The duty of giving orders.
    pub holder: DutyHolder,
    /// What is known of engines and versions.
    pub fleet: Arc<Fleet>,
    /// What this node wants to know of upstreams.
    pub interest: Arc<Interest>,
    /// Connections to engines.
    pub connections: ConnectionPool,
    /// Writes orders.
    pub dialect: Arc<dyn Dialect>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Mechanisms that are switched on.
    pub mechanisms: EnabledMechanisms,
    /// Events.
    pub journal: Journal,
}

#[derive(Debug)]
struct Shared {
    parts: WeightUpdaterParts,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Epoch of the orders below: a node that takes the duty anew knows of none.
    epoch: u64,
    /// Sorted by instance.
    ordered: Vec<Ordered>,
    /// Loads that may run at once, as far as those that ended tell.
    limit: LoadLimit,
    /// As many run as may.
    full: bool,
    /// Versions at the engines when orders were last seen to be due.
    seen: u64,
    /// Since when orders are due and no engine has changed its weights.
    due_since: Option<Instant>,
}

/// What came of a look at whether orders are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Look {
    /// This node neither gives orders nor sees engines.
    Idle,
    /// It took this long to work out what is due.
    Took(Duration),
}

/// One order that is due.
#[derive(Debug)]
struct Due {
    upstream: Arc<Upstream>,
    load: ModelVersion,
    keep_running: bool,
}

impl WeightUpdater {
    /// No orders yet.
    #[must_use]
    pub fn new(parts: WeightUpdaterParts) -> Self {
        let shared = Shared {
            parts,
            state: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Gives orders for as long as the process lives and holds the duty.
    pub async fn run(self) {
        let spread = rand::rng().random_range(0.0..1.0);
        let holder = &self.shared.parts.holder;
        holder.reclaim().await;
        tokio::time::sleep(PATIENCE.mul_f64(spread)).await;
        // Whoever comes first takes a duty that no one ever held. Nodes that follow seeds
        // leave it to these: each read costs, and hundreds may start at once.
        if self.shared.parts.interest.wants_all() {
            holder.claim_unheld().await;
        }
        let patience = PATIENCE.mul_f64(1.0 + spread);
        let mut pause = CHECK_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            pause = match self.look(patience).await {
                Look::Idle => IDLE_CHECK_INTERVAL,
                Look::Took(took) => pause_after(took, CHECK_INTERVAL),
            };
        }
    }

    /// Gives the orders that are due, or asks for their holder.
    async fn look(&self, patience: Duration) -> Look {
        let parts = &self.shared.parts;
        let held = parts.holder.held_duty();
        let holds = held.is_some();
        parts.interest.take_orders(holds);
        // Others see the engines' versions late or not at all. Seeds and nodes that draft
        // see that no one gives orders.
        let began = parts.clock.now();
        let models = parts.interest.models();
        let sees_engines = models.as_ref().is_none_or(|models| !models.is_empty());
        let silent_calls = if sees_engines {
            SILENT_CALLS
        } else {
            SILENT_CALLS_MOST
        };
        if !holds && parts.holder.take_unanswered_calls(silent_calls) {
            parts.holder.request_takeover().await;
        }
        if !holds && !sees_engines {
            return Look::Idle;
        }
        // A new holder may have followed its own models' engines only so far, and would take
        // them for all there are.
        let due = if holds && !parts.fleet.knows_all() {
            Vec::new()
        } else {
            self.due(models.as_deref())
        };
        let now = parts.clock.now();
        let stuck = self.is_stuck(now, !due.is_empty(), patience);
        match held {
            Some(_) if !due.is_empty() => {
                if let Some(epoch) = parts.holder.verified_epoch().await {
                    self.order_all(epoch, due);
                }
            }
            None if stuck => parts.holder.request_takeover().await,
            Some(_) | None => {}
        }
        Look::Took(now.duration_since(began))
    }

    fn order_all(&self, epoch: u64, due: Vec<Due>) {
        let mut state = self.lock();
        if state.epoch != epoch {
            state.epoch = epoch;
            state.ordered.clear();
        }
        drop(state);
        for due in due {
            self.order(epoch, due);
        }
    }

    /// Orders have been due for a while and no engine has changed its weights.
    fn is_stuck(&self, now: Instant, due: bool, patience: Duration) -> bool {
        let upstreams = self.shared.parts.fleet.upstreams();
        let versions = upstreams.iter().flat_map(|upstream| &upstream.models);
        let seen = versions.map(|held| held.version).sum();
        let mut state = self.lock();
        if !due || state.seen != seen {
            state.due_since = None;
        }
        state.seen = seen;
        if !due {
            return false;
        }
        let since = *state.due_since.get_or_insert(now);
        let stuck = now.duration_since(since) >= patience;
        if stuck {
            state.due_since = None;
        }
        stuck
    }

    /// The orders that are due now for these models, by the hashes of their names; for all
    /// where none are given.
    fn due(&self, models: Option<&[u64]>) -> Vec<Due> {
        let fleet = &self.shared.parts.fleet;
        let now = self.shared.parts.clock.now();
        let named = fleet.named();
        let Engines {
            serving: engines,
            model_shares,
        } = rollout_engines(fleet);
        let mut weighed = Vec::new();
        let mut loads = Vec::new();
        let is_seen = |load: &&ModelVersion| {
            let hash = hash_of_name(&load.model);
            models.is_none_or(|models| models.binary_search(&hash).is_ok())
        };
        for (at, engine) in engines.iter().enumerate() {
            for load in newest_of(engine, &named).into_iter().filter(is_seen) {
                let (loading, unavailable) = self.state_of(&engine.upstream, load, now);
                let model = named.binary_search_by(|held| held.model.cmp(&load.model));
                weighed.push(EngineWeights {
                    engine: UpstreamKey(at as u32),
                    model: ModelKey(model.unwrap_or_default() as u32),
                    version: engine.upstream.version_of(&load.model).unwrap_or_default(),
                    latest_version: load.version,
                    loading,
                    unavailable,
                });
                loads.push((at, load.clone()));
            }
        }
        let routes = &fleet.config().routes;
        let keep_running = !routes.iter().any(|route| route.single_version);
        let at_once = self.loads_at_once(model_shares.engines);
        let next = if self.shared.parts.mechanisms.is_enabled(Mechanism::TwoSets) {
            next_loads(&weighed, at_once, &model_shares)
        } else {
            next_loads_on_all_engines(&weighed, at_once)
        };
        let running = weighed.iter().filter(|held| held.loading).count();
        self.lock().full = running + next.len() >= at_once;
        let due = next.into_iter().map(|place| {
            let (at, load) = &loads[place];
            Due {
                upstream: Arc::clone(&engines[*at].upstream),
                load: load.clone(),
                keep_running,
            }
        });
        due.collect()
    }

    fn loads_at_once(&self, engines: usize) -> usize {
        let most = max_concurrent_loads(engines);
        if self
            .shared
            .parts
            .mechanisms
            .is_enabled(Mechanism::LoadLimit)
        {
            self.lock().limit.max_concurrent(most)
        } else {
            most
        }
    }

    /// Whether the engine loads this model, and whether it takes no order now.
    fn state_of(&self, upstream: &Upstream, load: &ModelVersion, now: Instant) -> (bool, bool) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let ordered = &mut state.ordered;
        let instance = &upstream.instance;
        let Ok(at) = ordered.binary_search_by(|held| held.instance.cmp(instance)) else {
            return (false, false);
        };
        let held = &mut ordered[at];
        let has = |load: &ModelVersion| {
            let version = upstream.version_of(&load.model);
            version.is_some_and(|version| version >= load.version)
        };
        if let Some(loaded) = held.loading.take_if(|loading| has(&loading.load)) {
            held.until = None;
            let took = now.duration_since(loaded.since);
            state.limit.record_ended(now, took, state.full);
        }
        let waits = held.until.is_some_and(|until| until > now);
        if !waits {
            held.loading = None;
        }
        let loading = held.loading.as_ref().map(|loading| &loading.load);
        let loads = held.ordering.as_ref().or(loading);
        (
            loads.is_some_and(|held| held.model == load.model),
            waits || loads.is_some(),
        )
    }

    fn order(&self, epoch: u64, due: Due) {
        let instance = due.upstream.instance.clone();
        self.with(&instance, |held| held.ordering = Some(due.load.clone()));
        let weights = self.clone();
        drop(tokio::spawn(async move {
            let answer = weights.give(epoch, &due).await;
            weights.note_answer(&due, answer);
        }));
    }

    async fn give(&self, epoch: u64, due: &Due) -> Result<OrderAnswer, CallError> {
        let parts = &self.shared.parts;
        let known = self.with(&due.upstream.instance, |held| held.accepted);
        let accepted_before = match known {
            Some(accepted) => accepted,
            None => match self.count_orders(&due.upstream).await? {
                Some(accepted) => accepted,
                None => return Ok(OrderAnswer::Refused),
            },
        };
        if !parts.holder.may_act(epoch) {
            return Err(CallError::NotSent);
        }
        let order = WeightOrder {
            load: &due.load,
            keep_running: due.keep_running,
            holder: parts.holder.name(),
            epoch,
            upstream: &due.upstream,
            accepted_before,
        };
        let request = parts.dialect.weight_order(&order);
        let answer = parts
            .connections
            .call(due.upstream.address, request, ORDER_TIMEOUT)
            .await?;
        Ok(parts.dialect.order_answer(answer.status()))
    }

    /// Orders that an engine has accepted since its start, by its own report.
    async fn count_orders(&self, upstream: &Upstream) -> Result<Option<u64>, CallError> {
        let parts = &self.shared.parts;
        let request = parts.dialect.report_request(upstream);
        let answer = parts
            .connections
            .call(upstream.address, request, ORDER_TIMEOUT)
            .await?;
        let report = match parts.dialect.report(answer.body()) {
            Ok(report) => report,
            Err(error) => {
                let instance = &upstream.instance;
                self.event(
                    "report_malformed",
                    &[("upstream", instance), ("cause", &error)],
                );
                return Ok(None);
            }
        };
        // The list lags: this is another start under the same id, and what it counts
        // says nothing of the one that is to be ordered.
        let (listed, reports) = (upstream.instance.born_ms, report.born_ms);
        if listed != 0 && reports != 0 && listed != reports {
            let (instance, born_ms) = (&upstream.instance, report.born_ms);
            self.event(
                "report_of_another_start",
                &[("upstream", instance), ("born_ms", &born_ms)],
            );
            return Ok(None);
        }
        self.with(&upstream.instance, |held| {
            held.accepted = Some(report.orders_accepted);
        });
        Ok(Some(report.orders_accepted))
    }

    fn note_answer(&self, due: &Due, answer: Result<OrderAnswer, CallError>) {
        let now = self.shared.parts.clock.now();
        self.event(
            "weights_ordered",
            &[
                ("upstream", &due.upstream.instance),
                ("model", &due.load.model),
                ("version", &due.load.version),
                ("answer", &format_args!("{answer:?}")),
            ],
        );
        self.with(&due.upstream.instance, |held| {
            held.ordering = None;
            held.until = Some(now + ASK_AGAIN);
            match answer {
                Ok(OrderAnswer::Accepted) => {
                    held.accepted = held.accepted.map(|accepted| accepted + 1);
                    held.loading = Some(Loading {
                        load: due.load.clone(),
                        since: now,
                    });
                    held.until = Some(now + LOAD_SHOWS);
                }
                // The list of upstreams lags behind.
                Ok(OrderAnswer::Holds) => held.until = Some(now + LOAD_SHOWS),
                // It may have been accepted, or be later: the count tells.
                Ok(OrderAnswer::Busy | OrderAnswer::Refused) | Err(_) => held.accepted = None,
            }
        });
    }

    fn with<T>(&self, instance: &Instance, change: impl FnOnce(&mut Ordered) -> T) -> T {
        let mut state = self.lock();
        let ordered = &mut state.ordered;
        let found = ordered.binary_search_by(|held| held.instance.cmp(instance));
        let at = found.unwrap_or_else(|at| {
            let new = Ordered {
                instance: instance.clone(),
                accepted: None,
                ordering: None,
                loading: None,
                until: None,
            };
            ordered.insert(at, new);
            at
        });
        change(&mut ordered[at])
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn event(&self, name: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
        self.shared.parts.journal.event(name, fields);
    }
}

/// The newest versions of the engine's models, as far as any were named.
fn newest_of<'a>(engine: &Engine, named: &'a [ModelVersion]) -> Vec<&'a ModelVersion> {
    let models = engine.models.iter();
    let newest = models.filter_map(|model| named.iter().find(|named| named.model == **model));
    newest.collect()
}
