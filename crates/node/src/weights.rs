//! Orders engines to load the weights that trainers name. One node at a time gives
//! orders; which one stands in the platform's store.
//!
//! Engines may carry out whatever order reaches them, so two nodes must never order
//! in turns. The duty's object names its holder and an epoch. The holder reads it back
//! right before it orders, and orders only within [`VERIFIED_FOR`] of sending that
//! read, on a clock that counts a suspended VM's time. A node that takes the duty over
//! waits that long and the engines' lease on top. So the last order of the old holder
//! is always at least a lease older than the first of the new one, without any renewal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::placement::ModelKey;
use firweir_policy::waves::EngineWeights;
use firweir_policy::waves::next_loads;
use firweir_policy::work::UpstreamKey;
use http::Request;
use http_body_util::Full;
use rand::Rng;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::Dialect;
use crate::dialect::Kind;
use crate::dialect::OrderAnswer;
use crate::dialect::StoreError;
use crate::dialect::WeightOrder;
use crate::fleet::Fleet;
use crate::link::LinkError;
use crate::link::Links;
use crate::model::ModelVersion;
use crate::model::RouteKind;
use crate::model::Upstream;
use crate::store::Created;
use crate::store::Store;
use crate::submission::records::Runner;

/// Name of the duty's object.
const DUTY: &str = "weights";

/// Path at which a node tells other nodes whether it can give orders.
pub const HOLDER_PATH: &str = "/peer/weights-holder";

/// Orders are given within this time of sending the read that showed the duty: long
/// enough for a slow answer of the store, short beside the engines' lease.
const VERIFIED_FOR: Duration = Duration::from_millis(900);

/// Added to what a new holder waits: timers fire late, and packets take time.
const TAKE_OVER_MARGIN: Duration = Duration::from_millis(400);

/// Time between looks at whether orders are due.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Orders that stay due for this long, and up to as much again at random, make a node
/// ask for their holder: two waves of loads have begun by then if there is one.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// A node asks another one whether it holds the duty for at most this long.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// An engine answers an order in milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// An engine that accepted an order shows its new version within this time: a load
/// takes 0.9 s and more, and the list of upstreams lags by some 100 ms.
const LOAD_SHOWS: Duration = Duration::from_secs(5);

/// An engine that did not answer an order, or refused it, is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// Time since the system started, a suspended VM's time included.
pub trait BootClock: Send + Sync + std::fmt::Debug {
    /// That time.
    fn since_boot(&self) -> Duration;
}

/// The machine's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// The duty as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Duty {
    /// Names the write that made this value.
    write: String,
    /// Who gives orders.
    holder: Runner,
    /// Grows with each change of the holder.
    epoch: u64,
}

/// The duty while this node holds it.
#[derive(Debug, Clone, Copy)]
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
    instance: String,
    /// Orders that it accepted; `None` if it has to be asked.
    accepted: Option<u64>,
    /// An order is on its way.
    ordering: bool,
    /// It accepted an order for this version.
    loading: Option<u64>,
    /// It is left alone until then, or its load has to show by then.
    until: Option<Instant>,
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
    /// The engines' lease.
    pub lease: Duration,
    /// What is known of engines and versions.
    pub fleet: Arc<Fleet>,
    /// The platform's store.
    pub store: Store,
    /// Connections to engines and nodes.
    pub links: Links,
    /// Writes orders.
    pub dialect: Arc<dyn Dialect>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Events.
    pub journal: Journal,
}

#[derive(Debug)]
struct Shared {
    parts: WeightsParts,
    /// Sorted by instance.
    ordered: Mutex<Vec<Ordered>>,
    /// The duty is held here and the store answers.
    able: AtomicBool,
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
        let shared = Shared {
            parts,
            ordered: Mutex::default(),
            able: AtomicBool::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether this node holds the duty and can give orders.
    #[must_use]
    pub fn is_able(&self) -> bool {
        self.shared.able.load(Ordering::Relaxed)
    }

    /// Gives orders for as long as the process lives and holds the duty.
    pub async fn run(self) {
        let mut held = None;
        let mut due_since: Option<Instant> = None;
        let spread = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(PATIENCE.mul_f64(spread)).await;
        // Whoever comes first takes a duty that no one ever held.
        if let Ok(None) = self.read_duty().await {
            held = self.take(None).await;
        }
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let due = self.due();
            if due.is_empty() {
                due_since = None;
                continue;
            }
            let now = self.shared.parts.clock.now();
            match held {
                Some(duty) if now < duty.from => {}
                Some(duty) => held = self.verify(duty).await,
                None => {
                    let since = *due_since.get_or_insert(now);
                    if now.duration_since(since) >= PATIENCE.mul_f64(1.0 + spread) {
                        due_since = None;
                        held = self.ask_for_duty().await;
                    }
                }
            }
            if let Some(duty) = held.filter(|duty| now >= duty.from) {
                due.into_iter().for_each(|due| self.order(duty, due));
            }
        }
    }

    async fn read_duty(&self) -> Result<Option<(u64, Duty)>, StoreError> {
        let object = self.shared.parts.store.read(Kind::Duties, DUTY).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let duty = serde_json::from_str(object.value.get());
        let duty = duty.map_err(|error| StoreError::Malformed(error.into()))?;
        Ok(Some((object.revision, duty)))
    }

    /// Reads the duty back; `None` if it was lost.
    async fn verify(&self, held: Held) -> Option<Held> {
        let sent = self.shared.parts.boot_clock.since_boot();
        match self.read_duty().await {
            Ok(Some((_, duty))) if duty.epoch == held.epoch => {
                self.shared.able.store(true, Ordering::Relaxed);
                Some(Held {
                    verified: sent,
                    ..held
                })
            }
            Ok(_) => {
                self.shared.able.store(false, Ordering::Relaxed);
                let epoch = held.epoch;
                self.event("orders_lost", &[("epoch", &epoch)]);
                None
            }
            Err(error) => {
                self.shared.able.store(false, Ordering::Relaxed);
                self.event("orders_unverified", &[("cause", &error)]);
                Some(held)
            }
        }
    }

    /// Orders are due and no one gives them: takes the duty unless its holder can.
    async fn ask_for_duty(&self) -> Option<Held> {
        let (revision, duty) = match self.read_duty().await {
            Ok(Some(found)) => found,
            Ok(None) => return self.take(None).await,
            Err(error) => {
                self.event("orders_unread", &[("cause", &error)]);
                return None;
            }
        };
        let own = duty.holder == self.shared.parts.me;
        if !own && self.can_order(duty.holder.address).await {
            return None;
        }
        self.take(Some((revision, duty))).await
    }

    async fn can_order(&self, holder: SocketAddr) -> bool {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(HOLDER_PATH);
        let links = &self.shared.parts.links;
        let answer = links.call(holder, request, PING_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn take(&self, from: Option<(u64, Duty)>) -> Option<Held> {
        let parts = &self.shared.parts;
        let duty = Duty {
            write: parts.store.write_id(),
            holder: parts.me.clone(),
            epoch: from.as_ref().map_or(1, |(_, duty)| duty.epoch + 1),
        };
        let sent = parts.boot_clock.since_boot();
        let now = parts.clock.now();
        let wait = match &from {
            // Nobody ordered before, or an earlier process of this VM, which is gone.
            None => Duration::ZERO,
            Some((_, before)) if before.holder == parts.me => Duration::ZERO,
            Some(_) => VERIFIED_FOR + parts.lease + TAKE_OVER_MARGIN,
        };
        let taken = match &from {
            None => {
                let until = now + Duration::from_secs(1);
                let created = parts
                    .store
                    .create(Kind::Duties, DUTY, &duty, &duty.write, until)
                    .await;
                matches!(created, Ok(Created::Now))
            }
            Some((revision, _)) => {
                let write = &duty.write;
                let replacing = parts
                    .store
                    .replace(Kind::Duties, DUTY, *revision, &duty, write);
                replacing.await.is_ok()
            }
        };
        if !taken {
            return None;
        }
        // From the moment at which the store may have made the change at the latest.
        let from = parts.clock.now() + wait;
        self.event(
            "orders_taken",
            &[("epoch", &duty.epoch), ("wait_ms", &wait.as_millis())],
        );
        self.lock().clear();
        self.shared.able.store(true, Ordering::Relaxed);
        Some(Held {
            epoch: duty.epoch,
            from,
            verified: sent,
        })
    }

    /// The orders that are due now.
    fn due(&self) -> Vec<Due> {
        let fleet = &self.shared.parts.fleet;
        let now = self.shared.parts.clock.now();
        let (config, upstreams, named) = (fleet.config(), fleet.upstreams(), fleet.named());
        let rollouts = config
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Rollout);
        let services: Vec<&str> = rollouts
            .flat_map(|route| route.targets.iter().map(|target| target.service.as_str()))
            .collect();
        let engines: Vec<&Arc<Upstream>> = upstreams
            .iter()
            .filter(|upstream| !upstream.leaving && services.contains(&upstream.service.as_str()))
            .collect();
        let mut weighed = Vec::new();
        for (at, upstream) in engines.iter().enumerate() {
            let served = &upstream.models;
            let Some(model) = served.get(at % served.len().max(1)) else {
                continue;
            };
            let named = named.iter().find(|named| named.model == model.model);
            let state = self.state_of(&upstream.instance, model.version, now);
            weighed.push(EngineWeights {
                engine: UpstreamKey(at as u32),
                model: ModelKey((at % served.len()) as u32),
                version: model.version,
                named: named.map_or(0, |named| named.version),
                loading: state.0,
                unavailable: state.1,
            });
        }
        next_loads(&weighed)
            .into_iter()
            .map(|key| {
                let at = key.0 as usize;
                let upstream = Arc::clone(engines[at]);
                let model = &upstream.models[at % upstream.models.len()].model;
                let named = named.iter().find(|named| named.model == *model);
                let version = named.map_or(0, |named| named.version);
                let single = config.routes.iter().any(|route| route.single_version);
                Due {
                    load: ModelVersion {
                        model: model.clone(),
                        version,
                    },
                    keep_running: !single,
                    upstream,
                }
            })
            .collect()
    }

    /// Whether the engine loads, and whether it takes no order now.
    fn state_of(&self, instance: &str, version: u64, now: Instant) -> (bool, bool) {
        let mut ordered = self.lock();
        let Ok(at) = ordered.binary_search_by(|held| held.instance.as_str().cmp(instance)) else {
            return (false, false);
        };
        let held = &mut ordered[at];
        if held.loading.is_some_and(|loading| loading <= version) {
            held.loading = None;
            held.until = None;
        }
        let waits = held.until.is_some_and(|until| until > now);
        if !waits {
            held.loading = None;
        }
        (held.ordering || held.loading.is_some(), waits)
    }

    fn order(&self, duty: Held, due: Due) {
        let instance = due.upstream.instance.clone();
        self.with(&instance, |held| held.ordering = true);
        let weights = self.clone();
        drop(tokio::spawn(async move {
            let answer = weights.give(duty, &due).await;
            weights.note_answer(&due, answer);
        }));
    }

    async fn give(&self, duty: Held, due: &Due) -> Result<OrderAnswer, LinkError> {
        let parts = &self.shared.parts;
        let known = self.with(&due.upstream.instance, |held| held.accepted);
        let accepted_before = match known {
            Some(accepted) => accepted,
            None => {
                let request = parts.dialect.report_request(&due.upstream);
                let address = due.upstream.address;
                let answer = parts.links.call(address, request, ORDER_TIMEOUT).await?;
                let Ok(report) = parts.dialect.report(answer.body()) else {
                    return Ok(OrderAnswer::Refused);
                };
                self.with(&due.upstream.instance, |held| {
                    held.accepted = Some(report.orders_accepted);
                });
                report.orders_accepted
            }
        };
        // Right before the order: a VM may have been suspended since the read.
        let age = parts.boot_clock.since_boot().saturating_sub(duty.verified);
        if age > VERIFIED_FOR {
            return Err(LinkError::NotSent);
        }
        let order = WeightOrder {
            load: &due.load,
            keep_running: due.keep_running,
            holder: &parts.me.node,
            epoch: duty.epoch,
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
            held.ordering = false;
            held.until = Some(now + ASK_AGAIN);
            match answer {
                Ok(OrderAnswer::Accepted) => {
                    held.accepted = held.accepted.map(|accepted| accepted + 1);
                    held.loading = Some(due.load.version);
                    held.until = Some(now + LOAD_SHOWS);
                }
                // The list of upstreams lags behind.
                Ok(OrderAnswer::Holds) => held.until = Some(now + LOAD_SHOWS),
                // It may have been accepted, or be later: the count tells.
                Ok(OrderAnswer::Busy | OrderAnswer::Refused) | Err(_) => held.accepted = None,
            }
        });
    }

    fn with<T>(&self, instance: &str, change: impl FnOnce(&mut Ordered) -> T) -> T {
        let mut ordered = self.lock();
        let found = ordered.binary_search_by(|held| held.instance.as_str().cmp(instance));
        let at = found.unwrap_or_else(|at| {
            let new = Ordered {
                instance: instance.to_owned(),
                accepted: None,
                ordering: false,
                loading: None,
                until: None,
            };
            ordered.insert(at, new);
            at
        });
        change(&mut ordered[at])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Ordered>> {
        let ordered = self.shared.ordered.lock();
        ordered.unwrap_or_else(PoisonError::into_inner)
    }

    fn event(&self, name: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
        self.shared.parts.journal.event(name, fields);
    }
}
