//! The duty of acting for all nodes: ordering weights, reporting usage, ordering upstreams.
//! One node at a time holds it, as recorded in the platform's store.
//!
//! Whoever receives an order may carry it out, so the acts of two nodes must never interleave.
//! The duty's object names its holder and an epoch. The holder reads it back right before it
//! acts, and acts only within [`VERIFICATION_TTL`] of sending that read, on a clock that
//! counts the time for which a VM is suspended. A node that takes the duty over waits for that
//! time plus the lease. So the last act of the old holder is always at least a lease older
//! than the first of the new one, without any renewal.
//!
//! A holder that cannot reach the store cannot act. Nodes that see that something is due
//! and not done ask it. If it cannot read its duty back, it resigns: it never acts under
//! that epoch again and reports the time since its last act, and the node that asked waits
//! only for the remainder of the lease.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::client::within;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use http::Request;

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
use crate::reload::CurrentSettings;
use crate::store::CreateOutcome;
use crate::store::Store;
use crate::submission::records::NodeRef;

/// Name of the duty's object in the store.
const DUTY_NAME: &str = "weights";

/// Path at which other nodes ask whether this node can act.
pub const DUTY_HOLDER_PATH: &str = "/peer/weights-holder";

/// Fraction of [`VERIFICATION_TTL`] after which the holder reads again before it acts: the
/// remainder is for the requests that precede an act, which take some milliseconds.
const REVERIFY_FRACTION: f64 = 0.75;

/// Timeout of the request that asks another node whether it holds the duty.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Time within which a holder that is asked reads its duty back, or else resigns; less than
/// the [`PING_TIMEOUT`] of the node that asks.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of the creation of the duty's object, retries included.
const CREATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The duty while this node holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldDuty {
    /// The epoch under which this node acts.
    pub(crate) epoch: u64,
    /// Earliest time of an act.
    pub(crate) acts_from: Instant,
    /// When the last read that confirmed the duty was sent, on the clock that counts suspended
    /// time.
    verified_at: Duration,
}

/// The holder that the newest known revision of the duty names.
#[derive(Debug, Clone, Copy)]
struct KnownHolder {
    revision: u64,
    address: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    /// The duty, if this node holds it.
    held: Option<HeldDuty>,
    /// Upper bound of the time at which the last act began, on the clock that counts suspended
    /// time.
    last_act: Option<Duration>,
    /// The holder according to the list of duties.
    known_holder: Option<KnownHolder>,
    /// Number of calls in a row that the holder did not answer.
    unanswered_calls: u32,
}

/// Dependencies of a [`DutyHolder`].
#[derive(Debug, Clone)]
pub struct DutyHolderParts {
    /// This node.
    pub this_node: NodeRef,
    /// Settings, among them the lease of those that receive orders.
    pub settings: CurrentSettings,
    /// The platform's store.
    pub store: Store,
    /// Whether the store is unavailable to this node.
    pub outage: Outage,
    /// Connections to other nodes.
    pub connections: ConnectionPool,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Log of events.
    pub journal: Journal,
}

/// Takes, holds and gives up the duty for this node; cheap to clone.
#[derive(Debug, Clone)]
pub struct DutyHolder {
    parts: Arc<DutyHolderParts>,
    state: Arc<Mutex<State>>,
}

impl DutyHolder {
    /// Creates a holder without the duty.
    #[must_use]
    pub fn new(parts: DutyHolderParts) -> Self {
        // An earlier process of this VM may have acted until this one started; a node that
        // takes the duty over has to wait for a lease from then.
        let state = State {
            last_act: Some(parts.boot_clock.since_boot()),
            ..State::default()
        };
        Self {
            parts: Arc::new(parts),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Whether this node holds the duty, without a read of the store.
    #[must_use]
    pub fn holds_duty(&self) -> bool {
        self.held_duty().is_some()
    }

    /// The duty if this node holds it, without a read of the store.
    pub(crate) fn held_duty(&self) -> Option<HeldDuty> {
        self.lock().held
    }

    /// Name of this node, which its orders carry.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.parts.this_node.node
    }

    /// Applies a change of the duties in the store.
    pub fn apply_change(&self, change: &Change) {
        let objects = match change {
            Change::All(objects) => objects.as_slice(),
            Change::Put(object) => std::slice::from_ref(object),
            Change::Removed(_) => &[],
        };
        for object in objects.iter().filter(|object| object.name == DUTY_NAME) {
            self.update_known_holder(object);
        }
    }

    fn update_known_holder(&self, object: &Object) {
        let Ok(duty) = serde_json::from_str::<Duty>(object.value.get()) else {
            // Logged when the duty is read in order to take it.
            return;
        };
        let revision = object.revision;
        let mut state = self.lock();
        if state
            .known_holder
            .is_none_or(|known| known.revision < revision)
        {
            let address = duty.holder.address;
            state.known_holder = Some(KnownHolder { revision, address });
            state.unanswered_calls = 0;
        }
    }

    /// Address of the holder for other nodes; `None` if it is not known.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let state = self.lock();
        if state.held.is_some() {
            return Some(self.parts.this_node.address);
        }
        state.known_holder.map(|known| known.address)
    }

    /// Records whether the holder answered a call.
    pub fn record_call(&self, answered: bool) {
        let mut state = self.lock();
        state.unanswered_calls = if answered {
            0
        } else {
            state.unanswered_calls + 1
        };
    }

    /// Whether the holder left at least this many calls in a row unanswered; if so, resets
    /// their count, so that the holder is asked only once for them.
    #[must_use]
    pub(crate) fn take_unanswered_calls(&self, calls: u32) -> bool {
        let mut state = self.lock();
        let is_reached = state.unanswered_calls >= calls;
        if is_reached {
            state.unanswered_calls = 0;
        }
        is_reached
    }

    /// Answers a node that asks for the duty: confirms that this node can act, or resigns.
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

    /// Takes the duty that an earlier process of this VM held, without a delay: the acts of
    /// that process are over. Otherwise engines would get no weights until another node
    /// noticed missing orders and waited for a lease. A stale read is sufficient, as the write
    /// is conditional on the revision.
    pub(crate) async fn reclaim(&self) {
        let read = self
            .parts
            .store
            .read_stale(ObjectKind::Duties, DUTY_NAME)
            .await;
        match read.map(|object| object.as_ref().map(|object| self.parse_duty(object))) {
            Ok(Some(found)) if found.holder() == Some(&self.parts.this_node) => {
                self.take(Some(found), PreviousHolder::Nobody).await;
            }
            Ok(_) => {}
            Err(error) => self.event("orders_unread", &[("cause", &error)]),
        }
    }

    /// Takes the duty if no node ever held it.
    pub(crate) async fn claim_unheld(&self) {
        if let Ok(None) = self.read_duty().await {
            self.take(None, PreviousHolder::Nobody).await;
        }
    }

    async fn read_duty(&self) -> Result<Option<StoredDuty>, StoreError> {
        let object = self.parts.store.read(ObjectKind::Duties, DUTY_NAME).await?;
        Ok(object.as_ref().map(|object| self.parse_duty(object)))
    }

    fn parse_duty(&self, object: &Object) -> StoredDuty {
        let duty = serde_json::from_str(object.value.get());
        if let Err(error) = &duty {
            self.event("duty_unreadable", &[("cause", error)]);
        }
        StoredDuty {
            revision: object.revision,
            duty: duty.ok(),
        }
    }

    /// The epoch under which this node may act now; reads the duty back unless the last read is
    /// recent.
    pub(crate) async fn verified_epoch(&self) -> Option<u64> {
        let held = self.held_duty()?;
        if self.parts.clock.now() < held.acts_from {
            return None;
        }
        let is_verified = self.is_verified(held) || self.verify(held).await;
        is_verified.then_some(held.epoch)
    }

    /// Whether the last read is recent enough for an act that is prepared now.
    fn is_verified(&self, held: HeldDuty) -> bool {
        let now = self.parts.boot_clock.since_boot();
        now.saturating_sub(held.verified_at) <= VERIFICATION_TTL.mul_f64(REVERIFY_FRACTION)
    }

    /// Reads the duty back; returns whether this node still holds it under this epoch.
    async fn verify(&self, held: HeldDuty) -> bool {
        let sent = self.parts.boot_clock.since_boot();
        let read = self.read_duty().await;
        let mut state = self.lock();
        // This node may have resigned during the read.
        if state.held.is_none_or(|now| now.epoch != held.epoch) {
            return false;
        }
        match read {
            Ok(Some(StoredDuty {
                duty: Some(duty), ..
            })) if duty.epoch == held.epoch => {
                state.held = Some(HeldDuty {
                    verified_at: sent,
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

    /// Whether an act may begin now; to be called right before it, as the VM may have been
    /// suspended since the read, or this node may have resigned.
    pub(crate) fn may_act(&self, epoch: u64) -> bool {
        let now = self.parts.boot_clock.since_boot();
        let mut state = self.lock();
        let held = state.held.filter(|held| held.epoch == epoch);
        let fresh =
            held.is_some_and(|held| now.saturating_sub(held.verified_at) <= VERIFICATION_TTL);
        if fresh {
            state.last_act = Some(now);
        }
        fresh
    }

    /// Takes the duty over unless its holder can act; for a node that sees that something is due
    /// and not done.
    pub(crate) async fn request_takeover(&self) {
        // No node can take the duty without the store.
        if self.parts.outage.is_ongoing() {
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
            // The object is unreadable; its last holder may still act under an earlier read.
            None => PreviousHolder::Unreached,
        };
        self.take(Some(found), previous).await;
    }

    async fn ask(&self, holder: SocketAddr) -> Result<HolderAnswer, CallError> {
        let mut request = Request::new(Blocks::from(Bytes::new()));
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
                let until = parts.clock.now() + CREATE_TIMEOUT;
                let created = parts
                    .store
                    .create(kind, DUTY_NAME, &duty, write, until)
                    .await;
                matches!(created, Ok(CreateOutcome::Created))
            }
            Some(found) => {
                let revision = found.revision;
                let replacing = parts.store.replace(kind, DUTY_NAME, revision, &duty, write);
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
            // The delay starts now, after the write is known to have succeeded.
            acts_from: parts.clock.now() + wait,
            // The duty has not been read back yet.
            verified_at: Duration::ZERO,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn event(&self, name: &str, fields: &[(&str, &dyn Display)]) {
        self.parts.journal.event(name, fields);
    }
}
