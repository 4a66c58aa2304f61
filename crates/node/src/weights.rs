//! Orders engines to load the weights that trainers name. One node at a time gives
//! orders; which one stands in the platform's store.
//!
//! Engines may carry out whatever order reaches them, so two nodes must never order
//! in turns. The duty's object names its holder and an epoch. The holder reads it back
//! right before it orders, and orders only within [`VERIFIED_FOR`] of sending that
//! read, on a clock that counts a suspended VM's time. A node that takes the duty over
//! waits that long and the engines' lease on top. So the last order of the old holder
//! is always at least a lease older than the first of the new one, without any renewal.
//!
//! A holder that is cut off from the store hears of no new version, and cannot order.
//! Nodes that see orders due and no engine loading ask it. One that cannot read its
//! duty back resigns: it never orders under that epoch again and says how long ago it
//! last did, and the node that asked waits only for the rest of the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::client::within;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::load_limit::LoadLimit;
use firweir_policy::placement::ModelKey;
use firweir_policy::recurring::pause_after;
use firweir_policy::waves::EngineWeights;
use firweir_policy::waves::loads_at_most;
use firweir_policy::waves::next_loads;
use firweir_policy::waves::next_loads_of_all;
use firweir_policy::work::UpstreamKey;
use http::Request;
use http_body_util::Full;
use rand::Rng;

use crate::dialect::Dialect;
use crate::dialect::Kind;
use crate::dialect::Object;
use crate::dialect::OrderAnswer;
use crate::dialect::StoreError;
use crate::dialect::WeightOrder;
use crate::duty::Before;
use crate::duty::BootClock;
use crate::duty::Duty;
use crate::duty::Found;
use crate::duty::HolderAnswer;
use crate::duty::VERIFIED_FOR;
use crate::duty::wait_after;
use crate::engines::Engine;
use crate::engines::rollout_engines;
use crate::fleet::Fleet;
use crate::interest::Interest;
use crate::link::LinkError;
use crate::link::Links;
use crate::mechanisms::Mechanism;
use crate::mechanisms::Off;
use crate::model::Instance;
use crate::model::ModelVersion;
use crate::model::Upstream;
use crate::outage::Outage;
use crate::reload::InForce;
use crate::store::Created;
use crate::store::Store;
use crate::submission::records::Runner;

/// Name of the duty's object.
const DUTY: &str = "weights";

/// Path at which a node tells other nodes whether it can give orders.
pub const HOLDER_PATH: &str = "/peer/weights-holder";

/// Part of [`VERIFIED_FOR`] after which the holder reads again before it orders: the rest
/// is for the report of an engine's orders, which takes some milliseconds.
const READ_AGAIN_AT: f64 = 0.75;

/// Time between looks at whether orders are due.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Orders that are due for this long while no engine changes its weights, and up to
/// as much again at random, make a node ask the holder: a load takes 0.9 s.
const PATIENCE: Duration = Duration::from_millis(1_300);

/// A node asks another one whether it holds the duty for at most this long.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// A holder that is asked reads its duty back within this time, or resigns: a slow
/// store answers in 300 ms, and the node that asks waits for [`PING_TIMEOUT`].
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// An engine answers an order in milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// An engine that accepted an order shows its new version within this time: a load
/// takes 0.9 s and more, and the list of upstreams lags by some 100 ms.
const LOAD_SHOWS: Duration = Duration::from_secs(5);

/// An engine that did not answer an order, or refused it, is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// The duty while this node holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    epoch: u64,
    /// No order before this time.
    from: Instant,
    /// When the last read that showed the duty was sent.
    verified: Duration,
}

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
pub struct Weights {
    shared: Arc<Shared>,
}

/// What the orders are given with.
#[derive(Debug)]
pub struct WeightsParts {
    /// This node.
    pub me: Runner,
    /// Settings, with the engines' lease.
    pub settings: InForce,
    /// What is known of engines and versions.
    pub fleet: Arc<Fleet>,
    /// What this node wants to know of upstreams.
    pub interest: Arc<Interest>,
    /// The platform's store.
    pub store: Store,
    /// Whether it turns this node away.
    pub outage: Outage,
    /// Connections to engines and nodes.
    pub links: Links,
    /// Writes orders.
    pub dialect: Arc<dyn Dialect>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Mechanisms that are switched off.
    pub off: Off,
    /// Events.
    pub journal: Journal,
}

#[derive(Debug)]
struct Shared {
    parts: WeightsParts,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The duty, if this node holds it.
    held: Option<Held>,
    /// When the last order was sent at the latest, on the clock that counts suspended
    /// time.
    last_order: Option<Duration>,
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

/// One order that is due.
#[derive(Debug)]
struct Due {
    upstream: Arc<Upstream>,
    load: ModelVersion,
    keep_running: bool,
}

impl Weights {
    /// No orders yet.
    #[must_use]
    pub fn new(parts: WeightsParts) -> Self {
        // An earlier process of this VM may have ordered until this one started, and a
        // node that takes the duty from here must keep its distance from that order.
        let state = State {
            last_order: Some(parts.boot_clock.since_boot()),
            ..State::default()
        };
        let shared = Shared {
            parts,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether this node holds the duty, as far as it knows.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        self.lock().held.is_some()
    }

    /// Answers a node that asks for the duty.
    pub async fn answer_holder(&self) -> HolderAnswer {
        let held = self.lock().held;
        if let Some(held) = held
            && within(VERIFY_TIMEOUT, self.verify(held)).await == Some(true)
        {
            return HolderAnswer::Able;
        }
        let now = self.shared.parts.boot_clock.since_boot();
        let mut state = self.lock();
        state.held = None;
        let last_order = state.last_order;
        drop(state);
        let since = |last: Duration| now.saturating_sub(last).as_millis() as u64;
        let last_order_ms = last_order.map(since);
        if let Some(held) = held {
            self.event("orders_resigned", &[("epoch", &held.epoch)]);
        }
        HolderAnswer::Resigned { last_order_ms }
    }

    /// Gives orders for as long as the process lives and holds the duty.
    pub async fn run(self) {
        let spread = rand::rng().random_range(0.0..1.0);
        self.take_back().await;
        tokio::time::sleep(PATIENCE.mul_f64(spread)).await;
        // Whoever comes first takes a duty that no one ever held. Nodes that follow seeds
        // leave it to these: each read costs, and hundreds may start at once.
        if self.shared.parts.interest.wants_all()
            && let Ok(None) = self.read_duty().await
        {
            self.take(None, Before::Nobody).await;
        }
        let patience = PATIENCE.mul_f64(1.0 + spread);
        let mut pause = LOOK_EVERY;
        loop {
            tokio::time::sleep(pause).await;
            let took = self.look(patience).await;
            pause = pause_after(took, LOOK_EVERY);
        }
    }

    /// Takes the duty that an earlier process of this VM held, at once: its orders were
    /// this VM's, so that no distance has to be kept from them. Otherwise engines
    /// would get no weights until another node missed the orders and waited for a lease,
    /// 6 s in all. An old answer of the store does: the change is made on a condition.
    async fn take_back(&self) {
        let store = &self.shared.parts.store;
        let read = store.read_stale(Kind::Duties, DUTY).await;
        match read.map(|object| object.as_ref().map(|object| self.found(object))) {
            Ok(Some(found)) if found.holder() == Some(&self.shared.parts.me) => {
                self.take(Some(found), Before::Nobody).await;
            }
            Ok(_) => {}
            Err(error) => self.event("orders_unread", &[("cause", &error)]),
        }
    }

    /// Gives the orders that are due, or asks for their holder. Tells how long it took to
    /// work out what is due.
    async fn look(&self, patience: Duration) -> Duration {
        let parts = &self.shared.parts;
        let holds = self.is_holder();
        parts.interest.take_orders(parts.clock.now(), holds);
        // Others see the engines' versions late or not at all. Seeds and nodes that draft
        // see that no one gives orders.
        let began = parts.clock.now();
        if !holds && !parts.interest.wants_all() {
            return Duration::ZERO;
        }
        let due = self.due();
        let now = parts.clock.now();
        let stuck = self.is_stuck(now, !due.is_empty(), patience);
        let held = self.lock().held;
        match held {
            Some(held) if !due.is_empty() && now >= held.from => {
                if self.is_verified(held) || self.verify(held).await {
                    for due in due {
                        self.order(held.epoch, due);
                    }
                }
            }
            // Without the store nobody can take the duty.
            None if stuck && !parts.outage.is_on() => self.ask_for_duty().await,
            Some(_) | None => {}
        }
        now.duration_since(began)
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

    async fn read_duty(&self) -> Result<Option<Found>, StoreError> {
        let object = self.shared.parts.store.read(Kind::Duties, DUTY).await?;
        Ok(object.as_ref().map(|object| self.found(object)))
    }

    fn found(&self, object: &Object) -> Found {
        let duty = serde_json::from_str(object.value.get());
        if let Err(error) = &duty {
            self.event("duty_unreadable", &[("cause", error)]);
        }
        Found {
            revision: object.revision,
            duty: duty.ok(),
        }
    }

    /// The last read is fresh enough for orders that are given now.
    fn is_verified(&self, held: Held) -> bool {
        let now = self.shared.parts.boot_clock.since_boot();
        now.saturating_sub(held.verified) <= VERIFIED_FOR.mul_f64(READ_AGAIN_AT)
    }

    /// Reads the duty back: whether it is still held under this epoch.
    async fn verify(&self, held: Held) -> bool {
        let sent = self.shared.parts.boot_clock.since_boot();
        let read = self.read_duty().await;
        let mut state = self.lock();
        // It may have resigned while it waited for the store.
        if state.held.is_none_or(|now| now.epoch != held.epoch) {
            return false;
        }
        match read {
            Ok(Some(Found {
                duty: Some(duty), ..
            })) if duty.epoch == held.epoch => {
                state.held = Some(Held {
                    verified: sent,
                    ..held
                });
                true
            }
            Ok(_) => {
                state.held = None;
                drop(state);
                self.event("orders_lost", &[("epoch", &held.epoch)]);
                false
            }
            Err(error) => {
                drop(state);
                self.event("orders_unverified", &[("cause", &error)]);
                false
            }
        }
    }

    /// Orders are due and no one gives them: takes the duty unless its holder can.
    async fn ask_for_duty(&self) {
        let found = match self.read_duty().await {
            Ok(Some(found)) => found,
            Ok(None) => return self.take(None, Before::Nobody).await,
            Err(error) => return self.event("orders_unread", &[("cause", &error)]),
        };
        let before = match found.holder() {
            Some(holder) if *holder == self.shared.parts.me => Before::Nobody,
            Some(holder) => match self.ask(holder.address).await {
                Ok(HolderAnswer::Able) => return,
                Ok(HolderAnswer::Resigned { last_order_ms }) => {
                    Before::Resigned(last_order_ms.map(Duration::from_millis))
                }
                Err(LinkError::Refused) => Before::Gone,
                Err(_) => Before::Unreached,
            },
            // Whoever held it before another writer spoilt it may order a while longer.
            None => Before::Unreached,
        };
        self.take(Some(found), before).await;
    }

    async fn ask(&self, holder: SocketAddr) -> Result<HolderAnswer, LinkError> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(HOLDER_PATH);
        let links = &self.shared.parts.links;
        let answer = links.call(holder, request, PING_TIMEOUT).await?;
        serde_json::from_slice(answer.body()).map_err(|_malformed| LinkError::Broken)
    }

    async fn take(&self, known: Option<Found>, before: Before) {
        let parts = &self.shared.parts;
        let duty = Duty {
            write: parts.store.write_id(),
            holder: parts.me.clone(),
            epoch: known.as_ref().map_or(1, |found| found.epoch() + 1),
        };
        let write = &duty.write;
        let kind = Kind::Duties;
        let taken = match &known {
            None => {
                let until = parts.clock.now() + Duration::from_secs(1);
                let created = parts.store.create(kind, DUTY, &duty, write, until).await;
                matches!(created, Ok(Created::Now))
            }
            Some(found) => {
                let revision = found.revision;
                let replacing = parts.store.replace(kind, DUTY, revision, &duty, write);
                replacing.await.is_ok()
            }
        };
        if !taken {
            return;
        }
        let wait = wait_after(before, parts.settings.now().lease());
        self.event(
            "orders_taken",
            &[
                ("epoch", &duty.epoch),
                ("before", &format_args!("{before:?}")),
                ("wait_ms", &wait.as_millis()),
            ],
        );
        let mut state = self.lock();
        state.ordered.clear();
        state.held = Some(Held {
            epoch: duty.epoch,
            // From now, when the change is known to have been made.
            from: parts.clock.now() + wait,
            // Nothing was read back yet.
            verified: Duration::ZERO,
        });
    }

    /// The orders that are due now.
    fn due(&self) -> Vec<Due> {
        let fleet = &self.shared.parts.fleet;
        let now = self.shared.parts.clock.now();
        let named = fleet.named();
        let engines = rollout_engines(fleet);
        let mut weighed = Vec::new();
        let mut loads = Vec::new();
        for (at, engine) in engines.iter().enumerate() {
            for load in newest_of(engine, &named) {
                let (loading, unavailable) = self.state_of(&engine.upstream, load, now);
                let model = named.binary_search_by(|held| held.model.cmp(&load.model));
                weighed.push(EngineWeights {
                    engine: UpstreamKey(at as u32),
                    model: ModelKey(model.unwrap_or_default() as u32),
                    version: engine.upstream.version_of(&load.model).unwrap_or_default(),
                    named: load.version,
                    loading,
                    unavailable,
                });
                loads.push((at, load.clone()));
            }
        }
        let routes = &fleet.config().routes;
        let keep_running = !routes.iter().any(|route| route.single_version);
        let at_once = self.loads_at_once(engines.len());
        let next = if self.shared.parts.off.leaves(Mechanism::TwoSets) {
            next_loads(&weighed, at_once)
        } else {
            next_loads_of_all(&weighed, at_once)
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
        let most = loads_at_most(engines);
        if self.shared.parts.off.leaves(Mechanism::LoadLimit) {
            self.lock().limit.at_once(most)
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
            state.limit.ended(now, took, state.full);
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

    async fn give(&self, epoch: u64, due: &Due) -> Result<OrderAnswer, LinkError> {
        let parts = &self.shared.parts;
        let known = self.with(&due.upstream.instance, |held| held.accepted);
        let accepted_before = match known {
            Some(accepted) => accepted,
            None => match self.count_orders(&due.upstream).await? {
                Some(accepted) => accepted,
                None => return Ok(OrderAnswer::Refused),
            },
        };
        if !self.may_order(epoch) {
            return Err(LinkError::NotSent);
        }
        let order = WeightOrder {
            load: &due.load,
            keep_running: due.keep_running,
            holder: &parts.me.node,
            epoch,
            upstream: &due.upstream,
            accepted_before,
        };
        let request = parts.dialect.weight_order(&order);
        let answer = parts
            .links
            .call(due.upstream.address, request, ORDER_TIMEOUT)
            .await?;
        Ok(parts.dialect.order_answer(answer.status()))
    }

    /// Orders that an engine has accepted since its start, by its own report.
    async fn count_orders(&self, upstream: &Upstream) -> Result<Option<u64>, LinkError> {
        let parts = &self.shared.parts;
        let request = parts.dialect.report_request(upstream);
        let answer = parts
            .links
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

    /// Right before an order: the VM may have been suspended since the read, or
    /// another node been told that this one orders no more.
    fn may_order(&self, epoch: u64) -> bool {
        let now = self.shared.parts.boot_clock.since_boot();
        let mut state = self.lock();
        let held = state.held.filter(|held| held.epoch == epoch);
        let fresh = held.is_some_and(|held| now.saturating_sub(held.verified) <= VERIFIED_FOR);
        if fresh {
            state.last_order = Some(now);
        }
        fresh
    }

    fn note_answer(&self, due: &Due, answer: Result<OrderAnswer, LinkError>) {
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
