//! Holds the duty of acting for all nodes: ordering weights, reporting usage, ordering
//! upstreams. One node at a time has it; which one stands in the platform's store.
//!
//! Whoever hears an order may carry it out, so two nodes must never act in turns. The
//! duty's object names its holder and an epoch. The holder reads it back right before it
//! acts, and acts only within [`VERIFICATION_TTL`] of sending that read, on a clock that
//! counts a suspended VM's time. A node that takes the duty over waits that long and the
//! lease on top. So the last act of the old holder is always at least a lease older
//! than the first of the new one, without any renewal.
//!
//! A holder that is cut off from the store cannot act. Nodes that see that something is due
//! and not done ask it. One that cannot read its duty back resigns: it never acts under
//! that epoch again and says how long ago it last did, and the node that asked waits only
//! for the rest of the lease.

use std::fmt::Display;
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
use http::Request;
use http_body_util::Full;

use crate::change::Change;
use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::duty::BootClock;
use crate::duty::Duty;
use crate::duty::HolderAnswer;
use crate::duty::PreviousHolder;
use crate::duty::StoredDuty;
use crate::duty::VERIFICATION_TTL;
use crate::duty::takeover_delay;
use crate::outage::Outage;
use crate::reload::InForce;
use crate::store::Created;
use crate::store::Store;
use crate::submission::records::NodeRef;

/// Name of the duty's object.
const DUTY: &str = "weights";

/// Path at which a node tells other nodes whether it can act.
pub const DUTY_HOLDER_PATH: &str = "/peer/weights-holder";

/// Part of [`VERIFICATION_TTL`] after which the holder reads again before it acts: the rest
/// is for what it has to ask first, which takes some milliseconds.
const READ_AGAIN_AT: f64 = 0.75;

/// A node asks another one whether it holds the duty for at most this long.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// A holder that is asked reads its duty back within this time, or resigns: the node that
/// asks waits for [`PING_TIMEOUT`].
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// A store that is asked to create the duty's object is tried for this long.
const CREATE_FOR: Duration = Duration::from_secs(1);

/// The duty while this node holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldDuty {
    /// The epoch under which it acts.
    pub(crate) epoch: u64,
    /// No act before this time.
    pub(crate) acts_from: Instant,
    /// When the last read that showed the duty was sent.
    verified: Duration,
}

/// The holder as this node last heard of it.
#[derive(Debug, Clone, Copy)]
struct Heard {
    revision: u64,
    address: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    /// The duty, if this node holds it.
    held: Option<HeldDuty>,
    /// When the last act was begun at the latest, on the clock that counts suspended time.
    last_act: Option<Duration>,
    /// Who holds it, as the list of duties shows.
    heard: Option<Heard>,
    /// Calls in a row that the holder did not answer.
    silent_calls: u32,
}

/// What the duty is held with.
#[derive(Debug, Clone)]
pub struct DutyHolderParts {
    /// This node.
    pub this_node: NodeRef,
    /// Settings, with the lease of whoever is ordered.
    pub settings: InForce,
    /// The platform's store.
    pub store: Store,
    /// Whether it turns this node away.
    pub outage: Outage,
    /// Connections to nodes.
    pub connections: ConnectionPool,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Events.
    pub journal: Journal,
}

/// The duty as this node has part in it; cheap to clone.
#[derive(Debug, Clone)]
pub struct DutyHolder {
    parts: Arc<DutyHolderParts>,
    state: Arc<Mutex<State>>,
}

impl DutyHolder {
    /// This node holds nothing yet.
    #[must_use]
    pub fn new(parts: DutyHolderParts) -> Self {
        // An earlier process of this VM may have acted until this one started, and a
        // node that takes the duty from here must keep its distance from that.
        let state = State {
            last_act: Some(parts.boot_clock.since_boot()),
            ..State::default()
        };
        Self {
            parts: Arc::new(parts),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Whether this node holds the duty, as far as it knows.
    #[must_use]
    pub fn holds_duty(&self) -> bool {
        self.held_duty().is_some()
    }

    /// The duty, if this node holds it as far as it knows.
    pub(crate) fn held_duty(&self) -> Option<HeldDuty> {
        self.lock().held
    }

    /// Name of this node, under which it acts.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.parts.this_node.node
    }

    /// Takes in duties as the store shows them.
    pub fn apply_change(&self, change: &Change) {
        let objects = match change {
            Change::All(objects) => objects.as_slice(),
            Change::Put(object) => std::slice::from_ref(object),
            Change::Gone(_) => &[],
        };
        for object in objects.iter().filter(|object| object.name == DUTY) {
            self.hear(object);
        }
    }

    fn hear(&self, object: &Object) {
        let Ok(duty) = serde_json::from_str::<Duty>(object.value.get()) else {
            // Logged by whoever reads the duty to take it.
            return;
        };
        let revision = object.revision;
        let mut state = self.lock();
        if state.heard.is_none_or(|heard| heard.revision < revision) {
            let address = duty.holder.address;
            state.heard = Some(Heard { revision, address });
            state.silent_calls = 0;
        }
    }

    /// Where the holder takes other nodes, as far as this node has heard.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let state = self.lock();
        if state.held.is_some() {
            return Some(self.parts.this_node.address);
        }
        state.heard.map(|heard| heard.address)
    }

    /// Notes whether the holder answered a call.
    pub fn record_call(&self, answered: bool) {
        let mut state = self.lock();
        state.silent_calls = if answered { 0 } else { state.silent_calls + 1 };
    }

    /// The holder has left so many calls unanswered; it is asked once for them.
    #[must_use]
    pub(crate) fn take_unanswered_calls(&self, calls: u32) -> bool {
        let mut state = self.lock();
        let is_silent = state.silent_calls >= calls;
        if is_silent {
            state.silent_calls = 0;
        }
        is_silent
    }

    /// Answers a node that asks for the duty.
    pub async fn confirm_or_resign(&self) -> HolderAnswer {
        let held = self.held_duty();
        if let Some(held) = held
            && within(VERIFY_TIMEOUT, self.verify(held)).await == Some(true)
        {
            return HolderAnswer::Able;
        }
        let now = self.parts.boot_clock.since_boot();
        let mut state = self.lock();
        state.held = None;
        let last_act = state.last_act;
        drop(state);
        let since = |last: Duration| now.saturating_sub(last).as_millis() as u64;
        let last_order_ms = last_act.map(since);
        if let Some(held) = held {
            self.event("orders_resigned", &[("epoch", &held.epoch)]);
        }
        HolderAnswer::Resigned { last_order_ms }
    }

    /// Takes the duty that an earlier process of this VM held, at once: its acts were
    /// this VM's, so that no distance has to be kept from them. Otherwise engines
    /// would get no weights until another node missed the orders and waited for a lease.
    /// An old answer of the store does: the change is made on a condition.
    pub(crate) async fn reclaim(&self) {
        let read = self.parts.store.read_stale(ObjectKind::Duties, DUTY).await;
        match read.map(|object| object.as_ref().map(|object| self.found(object))) {
            Ok(Some(found)) if found.holder() == Some(&self.parts.this_node) => {
                self.take(Some(found), PreviousHolder::Nobody).await;
            }
            Ok(_) => {}
            Err(error) => self.event("orders_unread", &[("cause", &error)]),
        }
    }

    /// Takes a duty that no one ever held.
    pub(crate) async fn claim_unheld(&self) {
        if let Ok(None) = self.read_duty().await {
            self.take(None, PreviousHolder::Nobody).await;
        }
    }

    async fn read_duty(&self) -> Result<Option<StoredDuty>, StoreError> {
        let object = self.parts.store.read(ObjectKind::Duties, DUTY).await?;
        Ok(object.as_ref().map(|object| self.found(object)))
    }

    fn found(&self, object: &Object) -> StoredDuty {
        let duty = serde_json::from_str(object.value.get());
        if let Err(error) = &duty {
            self.event("duty_unreadable", &[("cause", error)]);
        }
        StoredDuty {
            revision: object.revision,
            duty: duty.ok(),
        }
    }

    /// The epoch under which this node may act now; read back from the store if need be.
    pub(crate) async fn verified_epoch(&self) -> Option<u64> {
        let held = self.held_duty()?;
        if self.parts.clock.now() < held.acts_from {
            return None;
        }
        let is_verified = self.is_verified(held) || self.verify(held).await;
        is_verified.then_some(held.epoch)
    }

    /// The last read is fresh enough for what is begun now.
    fn is_verified(&self, held: HeldDuty) -> bool {
        let now = self.parts.boot_clock.since_boot();
        now.saturating_sub(held.verified) <= VERIFICATION_TTL.mul_f64(READ_AGAIN_AT)
    }

    /// Reads the duty back: whether it is still held under this epoch.
    async fn verify(&self, held: HeldDuty) -> bool {
        let sent = self.parts.boot_clock.since_boot();
        let read = self.read_duty().await;
        let mut state = self.lock();
        // It may have resigned while it waited for the store.
        if state.held.is_none_or(|now| now.epoch != held.epoch) {
            return false;
        }
        match read {
            Ok(Some(StoredDuty {
                duty: Some(duty), ..
            })) if duty.epoch == held.epoch => {
                state.held = Some(HeldDuty {
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

    /// Right before an act: the VM may have been suspended since the read, or another node
    /// been told that this one acts no more.
    pub(crate) fn may_act(&self, epoch: u64) -> bool {
        let now = self.parts.boot_clock.since_boot();
        let mut state = self.lock();
        let held = state.held.filter(|held| held.epoch == epoch);
        let fresh = held.is_some_and(|held| now.saturating_sub(held.verified) <= VERIFICATION_TTL);
        if fresh {
            state.last_act = Some(now);
        }
        fresh
    }

    /// Something is due and no one does it: takes the duty unless its holder can.
    pub(crate) async fn request_takeover(&self) {
        // Without the store nobody can take it.
        if self.parts.outage.is_on() {
            return;
        }
        let found = match self.read_duty().await {
            Ok(Some(found)) => found,
            Ok(None) => return self.take(None, PreviousHolder::Nobody).await,
            Err(error) => return self.event("orders_unread", &[("cause", &error)]),
        };
        let previous = match found.holder() {
            Some(holder) if *holder == self.parts.this_node => PreviousHolder::Nobody,
            Some(holder) => match self.ask(holder.address).await {
                Ok(HolderAnswer::Able) => return,
                Ok(HolderAnswer::Resigned { last_order_ms }) => {
                    PreviousHolder::Resigned(last_order_ms.map(Duration::from_millis))
                }
                Err(CallError::Refused) => PreviousHolder::Gone,
                Err(_) => PreviousHolder::Unreached,
            },
            // Whoever held it before another writer spoilt it may act a while longer.
            None => PreviousHolder::Unreached,
        };
        self.take(Some(found), previous).await;
    }

    async fn ask(&self, holder: SocketAddr) -> Result<HolderAnswer, CallError> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(DUTY_HOLDER_PATH);
        let connections = &self.parts.connections;
        let answer = connections.call(holder, request, PING_TIMEOUT).await?;
        serde_json::from_slice(answer.body()).map_err(|_malformed| CallError::Broken)
    }

    async fn take(&self, known: Option<StoredDuty>, previous: PreviousHolder) {
        let parts = &self.parts;
        let duty = Duty {
            write: parts.store.write_id(),
            holder: parts.this_node.clone(),
            epoch: known.as_ref().map_or(1, |found| found.epoch() + 1),
        };
        let write = &duty.write;
        let kind = ObjectKind::Duties;
        let taken = match &known {
            None => {
                let until = parts.clock.now() + CREATE_FOR;
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
        let wait = takeover_delay(previous, parts.settings.now().lease());
        self.event(
            "orders_taken",
            &[
                ("epoch", &duty.epoch),
                ("before", &format_args!("{previous:?}")),
                ("wait_ms", &wait.as_millis()),
            ],
        );
        self.lock().held = Some(HeldDuty {
            epoch: duty.epoch,
            // From now, when the change is known to have been made.
            acts_from: parts.clock.now() + wait,
            // Nothing was read back yet.
            verified: Duration::ZERO,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn event(&self, name: &str, fields: &[(&str, &dyn Display)]) {
        self.parts.journal.event(name, fields);
    }
}
