//! The objects of one kind that a seed keeps for other nodes, with the revisions of their changes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::change::Change;
use crate::dialect::Object;
use crate::relay_message::RelayAnswer;
use crate::relay_message::RelayRequest;
use crate::relay_message::RelayedObject;
use crate::relay_message::Relevance;
use crate::relay_message::RoutingDigest;

/// Number of names of removed objects that a seed keeps. A node that missed older removals gets
/// the full list.
const MAX_REMOVED_NAMES: usize = 512;

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

/// Objects of one kind as a seed knows them.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
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

impl Mirror {
    /// The changes after the revision of a request. `now` is the time since boot.
    pub(crate) fn answer(&self, request: &RelayRequest, now: Duration) -> RelayAnswer {
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
            held_ms: None,
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

    /// Applies changes up to `revision`, in an answer of the store of `heard_at` (time since boot).
    pub(crate) fn apply(
        &mut self,
        heard_at: Duration,
        revision: u64,
        changes: &[Change],
        digest_of: impl Fn(&Object) -> Option<RoutingDigest>,
    ) {
        self.last_heard = self.last_heard.max(Some(heard_at));
        for change in changes {
            self.apply_change(revision, change, &digest_of);
        }
        self.count_routed();
        self.revision = self.revision.max(revision);
    }

    /// Records that the store had nothing newer at `as_of` (time since boot).
    pub(crate) fn record_as_of(&mut self, as_of: Option<Duration>) {
        self.as_of = self.as_of.max(as_of);
    }

    fn apply_change(
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
            object: RelayedObject::of(object),
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
