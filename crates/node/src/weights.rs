//! Orders engines to load the versions of weights that trainers publish. One node at a time
//! gives orders: the holder of the duty ([`crate::holder`]).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
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
use http::Request;
use http::Response;
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
use crate::relay_message::hash_of_name;
use crate::upstream_answer::call_upstream;

/// Least time between two checks whether orders are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks of a node that neither gives orders nor knows engines; longer, as
/// these checks wake up every VM of a fleet.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which orders are due and no engine changes its weights before a node asks the
/// holder; longer than a load takes. Each node adds a random part of up to the same time.
const STUCK_AFTER: Duration = Duration::from_millis(1_300);

/// Calls in a row that a holder leaves unanswered before a node that knows engines asks
/// whether it is down.
const UNANSWERED_CALLS: u32 = 2;

/// The same for all other nodes, which are many and ask later.
const UNANSWERED_CALLS_WITHOUT_ENGINES: u32 = 4;

/// Timeout of an order; an engine answers within milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time within which the new version of an engine that accepted an order appears in the list
/// of upstreams, the lag of the list included.
const LOAD_VISIBLE_WITHIN: Duration = Duration::from_secs(5);

/// Delay before the next order to an engine that refused one or did not answer it.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Orders of one engine.
#[derive(Debug, Clone)]
struct EngineOrders {
    instance: Instance,
    /// Number of orders that the engine accepted; `None` if it has to be asked.
    accepted: Option<u64>,
    /// Version of an order that was sent and is not answered yet.
    in_flight: Option<ModelVersion>,
    /// Load of the order that the engine accepted last.
    loading: Option<Loading>,
    /// No order is sent before this time; an accepted load is assumed to have failed then.
    paused_until: Option<Instant>,
}

/// A load that an engine has accepted.
#[derive(Debug, Clone)]
struct Loading {
    load: ModelVersion,
    accepted_at: Instant,
}

/// Orders engines to load weights; cheap to clone.
#[derive(Debug, Clone)]
pub struct WeightUpdater {
    shared: Arc<Shared>,
}

/// Dependencies of a [`WeightUpdater`].
#[derive(Debug)]
pub struct WeightUpdaterParts {
    /// The duty of giving orders.
    pub holder: DutyHolder,
    /// Known engines and versions.
    pub fleet: Arc<Fleet>,
    /// Upstreams that this node follows.
    pub interest: Arc<Interest>,
    /// Connections to engines.
    pub connections: ConnectionPool,
    /// Encodes orders.
    pub dialect: Arc<dyn Dialect>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Enabled mechanisms.
    pub mechanisms: EnabledMechanisms,
    /// Log of events.
    pub journal: Journal,
}

#[derive(Debug)]
struct Shared {
    parts: WeightUpdaterParts,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Epoch of `engine_orders`, which are cleared when this node takes the duty again.
    epoch: u64,
    /// Sorted by instance.
    engine_orders: Vec<EngineOrders>,
    /// Limit of concurrent loads, from the durations of earlier ones.
    limit: LoadLimit,
    /// Whether as many loads run as are allowed.
    is_limit_reached: bool,
    /// Sum of the versions of all engines at the last check.
    version_sum: u64,
    /// Since when orders are due and no engine has changed its weights.
    stuck_since: Option<Instant>,
}

/// Outcome of a check whether orders are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// This node neither gives orders nor knows engines.
    Idle,
    /// Determining the due orders took this long.
    Took(Duration),
}

/// One order that is due.
#[derive(Debug)]
struct DueOrder {
    upstream: Arc<Upstream>,
    load: ModelVersion,
    keep_running: bool,
}

impl WeightUpdater {
    /// Creates an updater without orders.
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

    /// Gives orders while this node holds the duty, and asks for the duty where no one does;
    /// never returns.
    pub async fn run(self) {
        let jitter = rand::rng().random_range(0.0..1.0);
        let holder = &self.shared.parts.holder;
        holder.reclaim().await;
        tokio::time::sleep(STUCK_AFTER.mul_f64(jitter)).await;
        // The first node to ask takes a duty that no node ever held. Nodes that follow seeds
        // don't ask: each read costs, and hundreds may start at once.
        if self.shared.parts.interest.wants_all() {
            holder.claim_unheld().await;
        }
        let stuck_after = STUCK_AFTER.mul_f64(1.0 + jitter);
        let mut pause = CHECK_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            pause = match self.check(stuck_after).await {
                Check::Idle => IDLE_CHECK_INTERVAL,
                Check::Took(took) => pause_after(took, CHECK_INTERVAL),
            };
        }
    }

    /// Gives the orders that are due, or asks the holder if it does not give them.
    async fn check(&self, stuck_after: Duration) -> Check {
        let parts = &self.shared.parts;
        let duty = parts.holder.held_duty();
        let holds = duty.is_some();
        parts.interest.set_may_order_weights(holds);
        // Seeds and nodes that draft know the engines' versions and notice that no one gives
        // orders; other nodes learn the versions late or never.
        let began = parts.clock.now();
        let models = parts.interest.models();
        let knows_engines = models.as_ref().is_none_or(|models| !models.is_empty());
        let unanswered_calls = if knows_engines {
            UNANSWERED_CALLS
        } else {
            UNANSWERED_CALLS_WITHOUT_ENGINES
        };
        if !holds && parts.holder.take_unanswered_calls(unanswered_calls) {
            parts.holder.request_takeover().await;
        }
        if !holds && !knows_engines {
            return Check::Idle;
        }
        // A new holder may know only the engines of its own models, and would take these for
        // all engines.
        let due = if holds && !parts.fleet.knows_all_upstreams() {
            Vec::new()
        } else {
            self.due_orders(models.as_deref())
        };
        let now = parts.clock.now();
        let stuck = self.is_stuck(now, !due.is_empty(), stuck_after);
        match duty {
            Some(_) if !due.is_empty() => {
                if let Some(epoch) = parts.holder.verified_epoch().await {
                    self.start_orders(epoch, due);
                }
            }
            None if stuck => parts.holder.request_takeover().await,
            Some(_) | None => {}
        }
        Check::Took(now.duration_since(began))
    }

    fn start_orders(&self, epoch: u64, due: Vec<DueOrder>) {
        let mut state = self.lock();
        if state.epoch != epoch {
            state.epoch = epoch;
            state.engine_orders.clear();
        }
        drop(state);
        for due in due {
            self.start_order(epoch, due);
        }
    }

    /// Whether orders have been due for `stuck_after` while no engine changed its weights.
    fn is_stuck(&self, now: Instant, due: bool, stuck_after: Duration) -> bool {
        let upstreams = self.shared.parts.fleet.upstreams();
        let versions = upstreams.iter().flat_map(|upstream| &upstream.models);
        // Only compared; an odd entry may hold any number.
        let version_sum = versions.fold(0, |sum: u64, held| sum.wrapping_add(held.version));
        let mut state = self.lock();
        if !due || state.version_sum != version_sum {
            state.stuck_since = None;
        }
        state.version_sum = version_sum;
        if !due {
            return false;
        }
        let since = *state.stuck_since.get_or_insert(now);
        let stuck = now.duration_since(since) >= stuck_after;
        if stuck {
            state.stuck_since = None;
        }
        stuck
    }

    /// The orders that are due now for the models with these hashes of their names, in ascending
    /// order; for all models if `None`.
    fn due_orders(&self, models: Option<&[u64]>) -> Vec<DueOrder> {
        let fleet = &self.shared.parts.fleet;
        let now = self.shared.parts.clock.now();
        let latest_versions = fleet.latest_versions();
        let Engines {
            serving: engines,
            model_shares,
        } = rollout_engines(fleet);
        let mut engine_weights = Vec::new();
        let mut loads = Vec::new();
        let is_selected = |load: &&ModelVersion| {
            let hash = hash_of_name(&load.model);
            models.is_none_or(|models| models.binary_search(&hash).is_ok())
        };
        for (at, engine) in engines.iter().enumerate() {
            for load in latest_versions_of(engine, &latest_versions)
                .into_iter()
                .filter(is_selected)
            {
                let (loading, unavailable) = self.load_state(&engine.upstream, load, now);
                let model = latest_versions.binary_search_by(|held| held.model.cmp(&load.model));
                engine_weights.push(EngineWeights {
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
        let at_once = self.max_loads(model_shares.engines);
        let next = if self.shared.parts.mechanisms.is_enabled(Mechanism::TwoSets) {
            next_loads(&engine_weights, at_once, &model_shares)
        } else {
            next_loads_on_all_engines(&engine_weights, at_once)
        };
        let running = engine_weights.iter().filter(|held| held.loading).count();
        self.lock().is_limit_reached = running + next.len() >= at_once;
        let due = next.into_iter().map(|index| {
            let (at, load) = &loads[index];
            DueOrder {
                upstream: Arc::clone(&engines[*at].upstream),
                load: load.clone(),
                keep_running,
            }
        });
        due.collect()
    }

    fn max_loads(&self, engines: usize) -> usize {
        let upper_bound = max_concurrent_loads(engines);
        if self
            .shared
            .parts
            .mechanisms
            .is_enabled(Mechanism::LoadLimit)
        {
            self.lock().limit.max_concurrent(upper_bound)
        } else {
            upper_bound
        }
    }

    /// Whether the engine is loading this model, and whether it can take no order now.
    fn load_state(&self, upstream: &Upstream, load: &ModelVersion, now: Instant) -> (bool, bool) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let engine_orders = &mut state.engine_orders;
        let instance = &upstream.instance;
        let Ok(at) = engine_orders.binary_search_by(|held| held.instance.cmp(instance)) else {
            return (false, false);
        };
        let held = &mut engine_orders[at];
        let has = |load: &ModelVersion| {
            let version = upstream.version_of(&load.model);
            version.is_some_and(|version| version >= load.version)
        };
        if let Some(loaded) = held.loading.take_if(|loading| has(&loading.load)) {
            held.paused_until = None;
            let took = now.duration_since(loaded.accepted_at);
            state.limit.record_ended(now, took, state.is_limit_reached);
        }
        let is_paused = held.paused_until.is_some_and(|until| until > now);
        if !is_paused {
            held.loading = None;
        }
        let loading = held.loading.as_ref().map(|loading| &loading.load);
        let loads = held.in_flight.as_ref().or(loading);
        (
            loads.is_some_and(|held| held.model == load.model),
            is_paused || loads.is_some(),
        )
    }

    fn start_order(&self, epoch: u64, due: DueOrder) {
        let instance = due.upstream.instance.clone();
        self.with_engine(&instance, |held| held.in_flight = Some(due.load.clone()));
        let updater = self.clone();
        drop(tokio::spawn(async move {
            let answer = updater.send_order(epoch, &due).await;
            updater.record_answer(&due, answer);
        }));
    }

    async fn send_order(&self, epoch: u64, due: &DueOrder) -> Result<OrderAnswer, CallError> {
        let parts = &self.shared.parts;
        let known = self.with_engine(&due.upstream.instance, |held| held.accepted);
        let expected_orders_accepted = match known {
            Some(accepted) => accepted,
            None => match self.fetch_accepted_orders(&due.upstream).await? {
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
            expected_orders_accepted,
        };
        let request = parts.dialect.weight_order(&order);
        let answer = self.call(&due.upstream, request).await?;
        Ok(parts.dialect.order_answer(answer.status()))
    }

    /// Number of orders that an engine has accepted since its start, from its report; `None` if
    /// the report is unusable.
    async fn fetch_accepted_orders(&self, upstream: &Upstream) -> Result<Option<u64>, CallError> {
        let parts = &self.shared.parts;
        let request = parts.dialect.engine_report_request(upstream);
        let answer = self.call(upstream, request).await?;
        let report = match parts.dialect.engine_report(answer.body()) {
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
        // The list lags and the engine was restarted under the same id: its count does not
        // apply to the listed instance.
        let (listed, reported) = (upstream.instance.born_ms, report.born_ms);
        if listed != 0 && reported != 0 && listed != reported {
            let (instance, born_ms) = (&upstream.instance, report.born_ms);
            self.event(
                "report_of_another_start",
                &[("upstream", instance), ("born_ms", &born_ms)],
            );
            return Ok(None);
        }
        self.with_engine(&upstream.instance, |held| {
            held.accepted = Some(report.orders_accepted);
        });
        Ok(Some(report.orders_accepted))
    }

    async fn call(
        &self,
        upstream: &Upstream,
        request: Request<Blocks>,
    ) -> Result<Response<Bytes>, CallError> {
        let parts = &self.shared.parts;
        let (connections, dialect) = (&parts.connections, &*parts.dialect);
        call_upstream(
            connections,
            dialect,
            upstream.address,
            request,
            ORDER_TIMEOUT,
        )
        .await
    }

    fn record_answer(&self, due: &DueOrder, answer: Result<OrderAnswer, CallError>) {
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
        self.with_engine(&due.upstream.instance, |held| {
            held.in_flight = None;
            held.paused_until = Some(now + RETRY_DELAY);
            match answer {
                Ok(OrderAnswer::Accepted) => {
                    held.accepted = held.accepted.map(|accepted| accepted.saturating_add(1));
                    held.loading = Some(Loading {
                        load: due.load.clone(),
                        accepted_at: now,
                    });
                    held.paused_until = Some(now + LOAD_VISIBLE_WITHIN);
                }
                // The engine already has the version; the list of upstreams lags.
                Ok(OrderAnswer::Holds) => held.paused_until = Some(now + LOAD_VISIBLE_WITHIN),
                // The order may have been accepted, or may still be: the engine's count shows it.
                Ok(OrderAnswer::Busy | OrderAnswer::Refused) | Err(_) => held.accepted = None,
            }
        });
    }

    fn with_engine<T>(
        &self,
        instance: &Instance,
        change: impl FnOnce(&mut EngineOrders) -> T,
    ) -> T {
        let mut state = self.lock();
        let engine_orders = &mut state.engine_orders;
        let found = engine_orders.binary_search_by(|held| held.instance.cmp(instance));
        let at = found.unwrap_or_else(|at| {
            let new = EngineOrders {
                instance: instance.clone(),
                accepted: None,
                in_flight: None,
                loading: None,
                paused_until: None,
            };
            engine_orders.insert(at, new);
            at
        });
        change(&mut engine_orders[at])
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn event(&self, name: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
        self.shared.parts.journal.event(name, fields);
    }
}

/// The latest published versions of the engine's models, for those that have one.
fn latest_versions_of<'a>(
    engine: &Engine,
    latest_versions: &'a [ModelVersion],
) -> Vec<&'a ModelVersion> {
    let models = engine.models.iter();
    let newest = models.filter_map(|model| {
        latest_versions
            .iter()
            .find(|latest| latest.model == **model)
    });
    newest.collect()
}
