//! Relays objects of the platform's store from a few seed nodes to all other nodes.
//!
//! Every node needs the configuration and the list of upstreams, which changes with each load of
//! weights. If every node watched the store, each change would cost one store call per node.
//! Instead, only the seed nodes of the settings watch the store. A seed keeps the newest value of
//! each object with the revision of its last change. The other nodes long-poll a seed for the
//! changes after the revision that they know.
//!
//! A node that only sends live calls names the services that they go to, and receives only
//! changes that matter for routing: processing every load of weights of hundreds of engines left
//! a small VM no time for callers. Revisions are those of the store, so a node can switch between
//! seeds and the store without going back to an earlier state. A seed reports the age of its
//! data; if it is too old, or no seed answers, a node reads the store itself.
//!
//! A node that is not told anything new in time reads the store, whatever its seeds do
//! ([`firweir_policy::staleness`]). Relaying suits only deployments that give a change more time to
//! take effect than a seed's data may normally be old.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;

use crate::change::Change;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::relay_message::RelayAnswer;
use crate::relay_message::RelayRequest;
use crate::relay_message::RoutingDigest;
use crate::relay_mirror::Mirror;

/// Kinds that seeds relay, with their names in paths.
const KINDS: [(&str, ObjectKind); 4] = [
    ("configuration", ObjectKind::Configuration),
    ("upstreams", ObjectKind::Upstreams),
    ("versions", ObjectKind::WeightVersions),
    ("duties", ObjectKind::Duties),
];

/// Lower bound of the allowed age of a seed's data: its watches end only after [`SEED_WATCH_WAIT`].
const MIN_ALLOWED_AGE: Duration = Duration::from_millis(1_300);

/// Allowance for a request that was routed by a node's previous state and is still in flight.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(200);

/// Longest wait of one watch on a seed. It keeps the age of the seed's data below
/// [`MIN_ALLOWED_AGE`].
pub const SEED_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Longest time for which a seed holds a request for which it has no changes.
pub const MAX_HOLD: Duration = Duration::from_millis(900);

/// A seed that has not answered within this time counts as silent.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Relayed objects of one kind.
#[derive(Debug, Default)]
struct RelayedKind {
    mirror: Mutex<Mirror>,
    changed: Notify,
    /// Upper bound of the hold time of requests below [`MAX_HOLD`]; 0 for none.
    max_hold_ms: AtomicU64,
}

/// Relayed objects of all kinds that seeds relay.
#[derive(Debug)]
pub struct Relay {
    kinds: [RelayedKind; KINDS.len()],
    max_age: Duration,
}

impl Default for Relay {
    fn default() -> Self {
        Self::new(MIN_ALLOWED_AGE)
    }
}

/// Allowed age of a seed's data if a change has to be in force within `bound`. As much as
/// possible is allowed: a seed that lists again lags for a while, and with a tight limit all
/// nodes would turn to the store.
#[must_use]
pub fn max_age_for(bound: Duration) -> Duration {
    let left = bound.saturating_sub(POLL_TIMEOUT + IN_FLIGHT_TIME);
    left.min(bound / 2).max(MIN_ALLOWED_AGE)
}

/// Name of a kind in paths; `None` if seeds do not relay it.
#[must_use]
pub fn path_name_of(kind: ObjectKind) -> Option<&'static str> {
    let found = KINDS.iter().find(|(_, relayed)| *relayed == kind);
    found.map(|(name, _)| *name)
}

/// The kind with this name in paths.
#[must_use]
pub fn kind_from_path_name(name: &str) -> Option<ObjectKind> {
    let found = KINDS.iter().find(|(relayed, _)| *relayed == name);
    found.map(|(_, kind)| *kind)
}

impl Relay {
    /// An empty relay whose data counts as up to date up to the age `max_age`.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Self {
            kinds: Default::default(),
            max_age,
        }
    }

    /// Age up to which a seed's data counts as up to date.
    #[must_use]
    pub const fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Whether data of this age counts as up to date.
    #[must_use]
    pub const fn is_fresh(&self, age_ms: u64) -> bool {
        age_ms as u128 <= self.max_age.as_millis()
    }

    /// Applies changes that the store reported, up to `revision`, in an answer of `heard_at` (time since
    /// boot).
    pub fn apply(
        &self,
        heard_at: Duration,
        kind: ObjectKind,
        revision: u64,
        changes: &[Change],
        digest_of: impl Fn(&Object) -> Option<RoutingDigest>,
    ) {
        let Some(relayed_kind) = self.relayed_kind(kind) else {
            return;
        };
        relayed_kind
            .lock()
            .apply(heard_at, revision, changes, digest_of);
        if !changes.is_empty() {
            relayed_kind.changed.notify_waiters();
        }
    }

    /// Limits how long requests for a kind are held; `None` restores the default.
    pub fn set_max_hold(&self, kind: ObjectKind, max_hold: Option<Duration>) {
        if let Some(relayed_kind) = self.relayed_kind(kind) {
            let max_ms = max_hold.map_or(0, |max_hold| max_hold.as_millis() as u64);
            relayed_kind.max_hold_ms.store(max_ms, Ordering::Relaxed);
        }
    }

    /// Records that the store had nothing newer at `as_of` (time since boot).
    pub fn record_as_of(&self, kind: ObjectKind, as_of: Option<Duration>) {
        if let Some(relayed_kind) = self.relayed_kind(kind) {
            relayed_kind.lock().record_as_of(as_of);
        }
    }

    /// Answers with the changes after the revision of the request; waits while there are none and the
    /// data is up to date. `now` returns the time since boot.
    pub async fn answer(
        &self,
        kind: ObjectKind,
        request: &RelayRequest,
        now: impl Fn() -> Duration,
    ) -> RelayAnswer {
        let Some(relayed_kind) = self.relayed_kind(kind) else {
            return Mirror::default().answer(request, now());
        };
        let hold = relayed_kind.hold().min(request.hold.unwrap_or(MAX_HOLD));
        let until = tokio::time::Instant::now() + hold;
        loop {
            let changed = relayed_kind.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let answer = relayed_kind.lock().answer(request, now());
            let waited = tokio::time::Instant::now() >= until;
            let has_changes = answer.is_full_list || !answer.objects.is_empty();
            if waited || has_changes || !self.is_fresh(answer.age_ms) {
                return answer;
            }
            // After a change or the timeout, the loop checks again.
            let outdated_in = self.outdated_in(answer.age_ms);
            let until = until.min(tokio::time::Instant::now() + outdated_in);
            drop(tokio::time::timeout_at(until, changed).await);
        }
    }

    /// Time until data of this age is outdated.
    const fn outdated_in(&self, age_ms: u64) -> Duration {
        let age = Duration::from_millis(age_ms);
        self.max_age
            .saturating_sub(age)
            .saturating_add(Duration::from_millis(1))
    }

    fn relayed_kind(&self, kind: ObjectKind) -> Option<&RelayedKind> {
        let at = KINDS.iter().position(|(_, relayed)| *relayed == kind)?;
        Some(&self.kinds[at])
    }
}

impl RelayedKind {
    fn hold(&self) -> Duration {
        match self.max_hold_ms.load(Ordering::Relaxed) {
            0 => MAX_HOLD,
            max_ms => MAX_HOLD.min(Duration::from_millis(max_ms)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
