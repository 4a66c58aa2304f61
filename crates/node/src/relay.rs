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

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use firweir_policy::pool::FleetSlice;
use firweir_policy::pool::rendezvous_hash;
use http::HeaderMap;
use http::HeaderName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::change::Change;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::interest::ModelSlice;
use crate::interest::UpstreamFilter;
use crate::model::Upstream;

/// Header of a request to a seed: for how many milliseconds the seed may hold it.
pub const HOLD_HEADER: HeaderName = HeaderName::from_static("x-firweir-hold-ms");

/// Path at which a seed answers other nodes.
pub const RELAY_PATH: &str = "/peer/relay/";

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

/// Number of names of removed objects that a seed keeps. A node that missed older removals gets
/// the full list.
const MAX_REMOVED_NAMES: usize = 512;

/// An object, or the name of a removed one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedObject {
    name: String,
    revision: u64,
    reported: bool,
    /// `None` if the object was removed.
    value: Option<Box<RawValue>>,
}

/// The answer of a seed.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Revision of the store up to which a node that applies this answer is up to date.
    pub revision: u64,
    /// Time since the seed last heard from the store.
    pub age_ms: u64,
    /// Time for which the seed held the request. 0 from older releases.
    #[serde(default)]
    pub held_ms: u64,
    /// When the store had nothing newer, relative to the arrival of the request.
    #[serde(default)]
    pub as_of_ms: Option<i64>,
    /// The same on the seed's own clock.
    #[serde(skip)]
    pub as_of: Option<Duration>,
    /// Number of upstreams that the seed knows, requested or not; entries that name none don't count.
    /// 0 for other kinds.
    #[serde(default, rename = "listed")]
    pub total_upstreams: usize,
    /// Number of nodes that poll the seed; some may have stopped since. 0 from older releases.
    #[serde(default)]
    pub nodes: usize,
    /// `objects` holds all requested objects, not only the changed ones.
    #[serde(rename = "whole")]
    pub is_full_list: bool,
    /// Objects in the order of their changes.
    pub objects: Vec<RelayedObject>,
}

impl RelayAnswer {
    /// Expresses times relative to the arrival of the request, since the clocks of two VMs share
    /// only their rate. `now` is when the request is answered.
    #[must_use]
    pub fn relative_to(mut self, arrived: Duration, now: Duration) -> Self {
        let millis = |time: Duration| time.as_millis() as i64;
        self.as_of_ms = self.as_of.map(|as_of| millis(as_of) - millis(arrived));
        self.held_ms = now.saturating_sub(arrived).as_millis() as u64;
        self
    }

    /// When the seed had last heard from the store, on the clock of the node that sent the request at
    /// `sent`. Leaves out the time in transit, so the result is never later than the true time.
    /// `None` if the seed has heard nothing since the boot of that node.
    #[must_use]
    pub fn heard_at_on_requester_clock(&self, sent: Duration) -> Option<Duration> {
        let answered = sent.saturating_add(Duration::from_millis(self.held_ms));
        answered.checked_sub(Duration::from_millis(self.age_ms))
    }

    /// When the store had nothing newer, on the clock of the node that sent the request at `sent`.
    /// Leaves out the time in transit, so the result is never later than the true time.
    #[must_use]
    pub fn as_of_on_requester_clock(&self, sent: Duration) -> Option<Duration> {
        let sent_ms = sent.as_millis() as i64;
        let as_of_ms = u64::try_from(sent_ms.checked_add(self.as_of_ms?)?);
        as_of_ms.ok().map(Duration::from_millis)
    }

    /// The changes that a node has to apply.
    #[must_use]
    pub fn into_changes(self) -> Vec<Change> {
        let object = |relayed: RelayedObject| match relayed.value {
            Some(value) => Change::Put(Object {
                name: relayed.name,
                revision: relayed.revision,
                value,
                reported: relayed.reported,
            }),
            None => Change::Removed(relayed.name),
        };
        let changes = self.objects.into_iter().map(object);
        if !self.is_full_list {
            return changes.collect();
        }
        let objects = changes.filter_map(|change| match change {
            Change::Put(object) => Some(object),
            Change::All(_) | Change::Removed(_) => None,
        });
        vec![Change::All(objects.collect())]
    }
}

/// Hashes of the properties of an upstream that matter for routing live calls to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingDigest {
    /// Hash of the service that the upstream belongs to.
    pub service: u64,
    /// Hash of its start time, address, availability zone, slots and `leaving`.
    pub details: u64,
    /// Hash of its id, for the rendezvous hashing of models over engines.
    pub engine: u64,
}

impl RoutingDigest {
    /// Hashes the properties of an upstream.
    #[must_use]
    pub fn of_upstream(upstream: &Upstream) -> Self {
        let instance = &upstream.instance;
        let (born_ms, address, zone) = (instance.born_ms, upstream.address, &upstream.zone);
        let (slots, leaving) = (upstream.slots, upstream.leaving);
        let details = format!("{born_ms} {address} {zone} {slots} {leaving}");
        Self {
            service: hash_of_name(&upstream.service),
            details: xxh3_64(details.as_bytes()),
            engine: hash_of_name(&instance.id),
        }
    }
}

/// The hash that identifies a service or model in requests to a seed.
#[must_use]
pub fn hash_of_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A node's request to a seed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayRequest {
    /// Revision up to which the node is up to date.
    pub since: u64,
    /// Entries to report; `None` for all.
    pub filter: Option<UpstreamFilter>,
    /// For how long the seed may hold the request, as [`HOLD_HEADER`] states; `None` from older releases.
    pub hold: Option<Duration>,
}

impl RelayRequest {
    /// Encodes the request as a query string: the revision, followed, if there is a filter, by a
    /// hash for each service and a hash and a number of leading zeros for each model.
    #[must_use]
    pub fn to_query(&self) -> String {
        let since = self.since;
        let Some(filter) = &self.filter else {
            return since.to_string();
        };
        let services = filter.services.iter().map(|hash| format!(",{hash:x}"));
        let slice = |model_slice: &ModelSlice| {
            format!(
                ",{:x}:{}",
                model_slice.model, model_slice.slice.leading_zeros
            )
        };
        let slices = filter.slices.iter().map(slice);
        format!("{since};{}", services.chain(slices).collect::<String>())
    }

    /// Decodes a query string; `None` if it is malformed.
    #[must_use]
    pub fn from_query(query: &str) -> Option<Self> {
        let Some((since, wanted)) = query.split_once(';') else {
            let since = query.parse().ok()?;
            return Some(Self {
                since,
                ..Self::default()
            });
        };
        let mut filter = UpstreamFilter::default();
        for part in wanted.split(',').filter(|part| !part.is_empty()) {
            match part.split_once(':') {
                Some((model, zeros)) => filter.slices.push(ModelSlice {
                    model: u64::from_str_radix(model, 16).ok()?,
                    slice: FleetSlice {
                        leading_zeros: zeros.parse().ok()?,
                    },
                }),
                None => filter.services.push(u64::from_str_radix(part, 16).ok()?),
            }
        }
        filter.services.sort_unstable();
        Some(Self {
            since: since.parse().ok()?,
            filter: Some(filter),
            hold: None,
        })
    }

    /// The same request, held for as long as these headers allow.
    #[must_use]
    pub fn with_hold(self, headers: &HeaderMap) -> Self {
        let text = headers
            .get(HOLD_HEADER)
            .and_then(|value| value.to_str().ok());
        let hold_ms = text.and_then(|text| text.parse().ok());
        Self {
            hold: hold_ms.map(Duration::from_millis),
            ..self
        }
    }
}

impl UpstreamFilter {
    /// Whether the filter selects an upstream, for all changes or for routing changes only.
    #[must_use]
    pub fn matches(&self, routing: RoutingDigest) -> bool {
        self.relevance_of(routing) != Relevance::Unrequested
    }

    /// Which changes of an upstream the filter selects.
    fn relevance_of(&self, routing: RoutingDigest) -> Relevance {
        let is_in = |model_slice: &ModelSlice| {
            let order = rendezvous_hash(routing.engine, model_slice.model);
            model_slice.slice.contains(order)
        };
        if self.slices.iter().any(is_in) {
            return Relevance::AllChanges;
        }
        match self.services.binary_search(&routing.service) {
            Ok(_) => Relevance::RoutingChanges,
            Err(_) => Relevance::Unrequested,
        }
    }
}

/// Which changes of one entry a node requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Relevance {
    /// Every change.
    AllChanges,
    /// Changes that matter for routing.
    RoutingChanges,
    /// No change.
    Unrequested,
}

/// An object as a seed stores it.
#[derive(Debug)]
struct MirroredObject {
    object: RelayedObject,
    routing: Option<RoutingDigest>,
    /// Store revision at which its newest value was received.
    changed_revision: u64,
    /// Store revision at which its routing properties last changed.
    routing_revision: u64,
}

#[derive(Debug, Default)]
struct Mirror {
    /// Sorted by name.
    objects: Vec<MirroredObject>,
    /// Removed objects, with the store revisions at which their removal was received.
    removed: VecDeque<(u64, String)>,
    /// All removals after this revision are kept.
    removals_since: u64,
    /// Number of objects with a routing digest.
    routed_objects: usize,
    /// Revision of the last change of any object's routing properties.
    last_routing_change: u64,
    revision: u64,
    /// When the store last answered, on the clock that counts suspended time.
    last_heard: Option<Duration>,
    /// When the store had nothing newer, on the clock that counts suspended time.
    as_of: Option<Duration>,
}

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
        let mut mirror = relayed_kind.lock();
        mirror.last_heard = mirror.last_heard.max(Some(heard_at));
        for change in changes {
            mirror.apply(revision, change, &digest_of);
        }
        mirror.count_routed();
        mirror.revision = mirror.revision.max(revision);
        drop(mirror);
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
            let mut mirror = relayed_kind.lock();
            mirror.as_of = mirror.as_of.max(as_of);
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

impl Mirror {
    fn answer(&self, request: &RelayRequest, now: Duration) -> RelayAnswer {
        let age = self
            .last_heard
            .map(|last_heard| now.saturating_sub(last_heard));
        let is_full_list = request.since < self.removals_since;
        let objects = if is_full_list {
            let is_wanted = |mirrored: &&MirroredObject| {
                mirrored.relevance_for(request) != Relevance::Unrequested
            };
            let wanted = self.objects.iter().filter(is_wanted);
            wanted.map(|mirrored| mirrored.object.clone()).collect()
        } else {
            self.changes_since(request)
        };
        RelayAnswer {
            revision: self.revision,
            age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
            held_ms: 0,
            as_of_ms: None,
            as_of: self.as_of,
            total_upstreams: self.routed_objects,
            nodes: 0,
            is_full_list,
            objects,
        }
    }

    /// Changes after the revision of the request, in order.
    fn changes_since(&self, request: &RelayRequest) -> Vec<RelayedObject> {
        let since = request.since;
        // Fast path: most requests come from nodes that only send live calls, and loads of
        // weights do not concern them.
        let calls_only = request
            .filter
            .as_ref()
            .is_some_and(|filter| filter.slices.is_empty());
        if calls_only && self.last_routing_change <= since {
            return Vec::new();
        }
        // Compares revisions first: most objects have not changed, and hashing costs more.
        let changed = self
            .objects
            .iter()
            .filter(|mirrored| mirrored.changed_revision > since);
        let changed = changed.filter(|mirrored| match mirrored.relevance_for(request) {
            Relevance::AllChanges => true,
            Relevance::RoutingChanges => mirrored.routing_revision > since,
            Relevance::Unrequested => false,
        });
        let mut merged: Vec<(u64, RelayedObject)> = changed
            .map(|mirrored| (mirrored.changed_revision, mirrored.object.clone()))
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(revision, name)| *revision > since && self.position_of(name).is_err());
        merged.extend(
            removed.map(|(revision, name)| (*revision, RelayedObject::removed(*revision, name))),
        );
        merged.sort_by_key(|(revision, _)| *revision);
        merged.into_iter().map(|(_, object)| object).collect()
    }

    fn apply(
        &mut self,
        revision: u64,
        change: &Change,
        digest_of: &impl Fn(&Object) -> Option<RoutingDigest>,
    ) {
        match change {
            Change::All(objects) => self.apply_list(revision, objects, digest_of),
            Change::Put(object) => self.put(revision, object, digest_of(object)),
            Change::Removed(name) => self.remove(revision, name),
        }
    }

    /// Applies a full list. Nodes get the differences, unless a service has lost more than half of
    /// its objects or nothing was known. Then they get the full list, which makes them keep expired
    /// entries for a while.
    fn apply_list(
        &mut self,
        revision: u64,
        objects: &[Object],
        digest_of: &impl Fn(&Object) -> Option<RoutingDigest>,
    ) {
        let mut names: Vec<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        names.sort_unstable();
        let is_listed =
            |mirrored: &MirroredObject| names.binary_search(&mirrored.object.name.as_str()).is_ok();
        if self.has_no_revision() || self.has_lost_majority(is_listed) {
            let to_mirrored = |object| MirroredObject::new(revision, object, digest_of(object));
            self.objects = objects.iter().map(to_mirrored).collect();
            self.objects
                .sort_by(|a, b| a.object.name.cmp(&b.object.name));
            self.removed.clear();
            self.removals_since = revision;
            self.last_routing_change = revision;
            return;
        }
        let missing = self.objects.iter().filter(|mirrored| !is_listed(mirrored));
        let missing: Vec<String> = missing
            .map(|mirrored| mirrored.object.name.clone())
            .collect();
        for name in missing {
            self.remove(revision, &name);
        }
        for object in objects {
            let known = self
                .position_of(&object.name)
                .map(|at| &self.objects[at].object);
            if !known.is_ok_and(|known| known.is_same_state(object)) {
                self.put(revision, object, digest_of(object));
            }
        }
    }

    fn count_routed(&mut self) {
        let routed = self
            .objects
            .iter()
            .filter(|mirrored| mirrored.routing.is_some());
        self.routed_objects = routed.count();
    }

    const fn has_no_revision(&self) -> bool {
        self.revision == 0
    }

    /// Whether a service has lost more than half of its objects. Objects without a service count
    /// as one service.
    fn has_lost_majority(&self, is_listed: impl Fn(&MirroredObject) -> bool) -> bool {
        let service_of =
            |mirrored: &MirroredObject| mirrored.routing.map(|routing| routing.service);
        let mut services: Vec<(Option<u64>, bool)> = self
            .objects
            .iter()
            .map(|mirrored| (service_of(mirrored), is_listed(mirrored)))
            .collect();
        services.sort_unstable();
        let mut services = services.chunk_by(|a, b| a.0 == b.0);
        services.any(|of_service| {
            let left = of_service
                .iter()
                .filter(|(_, is_listed)| *is_listed)
                .count();
            left * 2 < of_service.len()
        })
    }

    fn position_of(&self, name: &str) -> Result<usize, usize> {
        let objects = &self.objects;
        objects.binary_search_by(|mirrored| mirrored.object.name.as_str().cmp(name))
    }

    fn put(&mut self, revision: u64, object: &Object, routing: Option<RoutingDigest>) {
        let mut new = MirroredObject::new(revision, object, routing);
        match self.position_of(&object.name) {
            Ok(at) => {
                let mirrored = &mut self.objects[at];
                let service = |digest: Option<RoutingDigest>| digest.map(|digest| digest.service);
                if mirrored.routing == routing && routing.is_some() {
                    new.routing_revision = mirrored.routing_revision;
                } else if service(mirrored.routing) != service(routing) {
                    // Nodes that follow the previous service need this change too.
                    new.routing = None;
                }
                *mirrored = new;
            }
            Err(at) => self.objects.insert(at, new),
        }
        let at = self.position_of(&object.name).unwrap_or_default();
        let routing_revision = self.objects[at].routing_revision;
        self.last_routing_change = self.last_routing_change.max(routing_revision);
    }

    fn remove(&mut self, revision: u64, name: &str) {
        if let Ok(at) = self.position_of(name) {
            self.objects.remove(at);
        }
        self.last_routing_change = revision;
        self.removed.push_back((revision, name.to_owned()));
        while self.removed.len() > MAX_REMOVED_NAMES {
            if let Some((revision, _)) = self.removed.pop_front() {
                self.removals_since = revision;
            }
        }
    }
}

impl MirroredObject {
    fn new(revision: u64, object: &Object, routing: Option<RoutingDigest>) -> Self {
        Self {
            object: relayed_object(object),
            routing,
            changed_revision: revision,
            routing_revision: revision,
        }
    }

    /// Which changes the request selects. Objects without a routing digest are sent to every node.
    fn relevance_for(&self, request: &RelayRequest) -> Relevance {
        match (&request.filter, self.routing) {
            (None, _) => Relevance::AllChanges,
            (Some(filter), Some(routing)) => filter.relevance_of(routing),
            (Some(_), None) => Relevance::RoutingChanges,
        }
    }
}

impl RelayedObject {
    /// Whether both describe the same state of an object.
    fn is_same_state(&self, object: &Object) -> bool {
        self.revision == object.revision
            && self.reported == object.reported
            && self
                .value
                .as_ref()
                .is_some_and(|value| value.get() == object.value.get())
    }

    fn removed(revision: u64, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision,
            reported: false,
            value: None,
        }
    }
}

fn relayed_object(object: &Object) -> RelayedObject {
    RelayedObject {
        name: object.name.clone(),
        revision: object.revision,
        reported: object.reported,
        value: Some(object.value.clone()),
    }
}
