//! Passes on what the platform's store shows, from a few nodes to all others.
//!
//! **Load:** every node needs the configuration and the list of upstreams, which
//! changes with each load of weights. **Without it:** every node watches the store, and
//! each change costs a call for each node. **How:** the seeds of the settings watch the store and keep the newest value of
//! each object with the revision by which it changed. All other nodes ask a seed for what
//! changed after the revision that they know, and the seed answers when there is something.
//! A node that only sends live calls names the services that these go to, and is told of
//! their upstreams' whereabouts alone: a small VM that took in each load of weights of
//! hundreds of engines had no time for callers. Revisions are the store's,
//! so a node can change from one seed to another, or to the store, and nothing goes
//! back. A seed says how old its knowledge is; if that is too old, or no seed answers,
//! a node asks the store itself.
//!
//! A node notices a silent seed after [`POLL_TIMEOUT`], and then asks the store. So this is for
//! deployments that allow an upstream that leaves more than that and the age of what a seed
//! knows ([`age_most`]).

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::pool::FleetSlice;
use firweir_policy::pool::rendezvous_hash;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::change::Change;
use crate::dialect::Kind;
use crate::dialect::Object;
use crate::interest::ModelSlice;
use crate::interest::Parts;
use crate::model::Upstream;

/// Path at which a seed answers other nodes.
pub const RELAY_PATH: &str = "/peer/relay/";

/// Kinds that seeds pass on, with their names in paths.
const KINDS: [(&str, Kind); 4] = [
    ("configuration", Kind::Configuration),
    ("upstreams", Kind::Upstreams),
    ("versions", Kind::WeightVersions),
    ("duties", Kind::Duties),
];

/// Least age that a seed's knowledge may have: its watches end after [`SEED_WATCH`].
const AGE_LEAST: Duration = Duration::from_millis(1_300);

/// Time for a request that is on its way by what a node knew.
const ON_ITS_WAY: Duration = Duration::from_millis(200);

/// How long one watch of a seed may wait, so that its age stays below [`AGE_LEAST`].
pub const SEED_WATCH: Duration = Duration::from_secs(1);

/// How long a seed holds a question for which it has nothing new.
const HOLD: Duration = Duration::from_millis(900);

/// A seed that has not answered by then is silent.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Names of objects that are gone that a seed keeps; a node that is further behind gets
/// the whole list. Of objects that are there it keeps the newest value and when that came.
const GONE_KEPT: usize = 512;

/// An object, or the name of one that is gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Passed {
    name: String,
    revision: u64,
    reported: bool,
    /// `None` if it is gone.
    value: Option<Box<RawValue>>,
}

/// What a seed answers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Passing {
    /// Revision of the store that the node knows then.
    pub revision: u64,
    /// Time since the seed last heard from the store.
    pub age_ms: u64,
    /// When this was all that the store had, from the arrival of the question on.
    #[serde(default)]
    pub as_of_ms: Option<i64>,
    /// The same on the seed's own clock.
    #[serde(skip)]
    pub as_of: Option<Duration>,
    /// Objects that the seed knows, wanted or not.
    #[serde(default)]
    pub listed: usize,
    /// Number of nodes that ask the seed; some may have stopped since. 0 from older releases.
    #[serde(default)]
    pub nodes: usize,
    /// All objects, not only what changed.
    pub whole: bool,
    /// Objects in the order of their changes.
    pub objects: Vec<Passed>,
}

impl Passing {
    /// The same for a node whose question arrived then: clocks of two VMs have nothing in
    /// common but how fast they go.
    #[must_use]
    pub fn since_question(mut self, arrived: Duration) -> Self {
        let millis = |time: Duration| time.as_millis() as i64;
        self.as_of_ms = self.as_of.map(|as_of| millis(as_of) - millis(arrived));
        self
    }

    /// When this was all that the store had, on the clock of a node that sent its question
    /// then: at the latest when the seed got it.
    #[must_use]
    pub fn as_of_for(&self, sent: Duration) -> Option<Duration> {
        let sent_ms = sent.as_millis() as i64;
        let as_of_ms = u64::try_from(sent_ms.checked_add(self.as_of_ms?)?);
        as_of_ms.ok().map(Duration::from_millis)
    }

    /// What a node is to take in.
    #[must_use]
    pub fn into_changes(self) -> Vec<Change> {
        let object = |passed: Passed| match passed.value {
            Some(value) => Change::Put(Object {
                name: passed.name,
                revision: passed.revision,
                value,
                reported: passed.reported,
            }),
            None => Change::Gone(passed.name),
        };
        let changes = self.objects.into_iter().map(object);
        if !self.whole {
            return changes.collect();
        }
        let objects = changes.filter_map(|change| match change {
            Change::Put(object) => Some(object),
            Change::All(_) | Change::Gone(_) => None,
        });
        vec![Change::All(objects.collect())]
    }
}

/// What of an upstream's entry a node has to know that sends live calls to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Whereabouts {
    /// Hash of the service that the upstream belongs to.
    pub service: u64,
    /// Hash of all else but the versions of its weights.
    pub details: u64,
    /// Hash of its id, by which models choose engines.
    pub engine: u64,
}

impl Whereabouts {
    /// The whereabouts that an upstream's entry tells.
    #[must_use]
    pub fn of(upstream: &Upstream) -> Self {
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

/// The hash by which nodes name services and models to a seed.
#[must_use]
pub fn hash_of_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What a node asks a seed for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Question {
    /// The revision that it knows.
    pub since: u64,
    /// The entries that it wants to know of; all where it does not say.
    pub parts: Option<Parts>,
}

impl Question {
    /// The question in the query of a path: the revision, then the parts if not all is
    /// wanted: a hash for each service, and a hash and a number of zeros for each model.
    #[must_use]
    pub fn to_query(&self) -> String {
        let since = self.since;
        let Some(parts) = &self.parts else {
            return since.to_string();
        };
        let services = parts.services.iter().map(|hash| format!(",{hash:x}"));
        let slice = |held: &ModelSlice| format!(",{:x}:{}", held.model, held.slice.leading_zeros);
        let slices = parts.slices.iter().map(slice);
        format!("{since};{}", services.chain(slices).collect::<String>())
    }

    /// Reads a query; `None` if it is malformed.
    #[must_use]
    pub fn of_query(query: &str) -> Option<Self> {
        let Some((since, wanted)) = query.split_once(';') else {
            let since = query.parse().ok()?;
            return Some(Self { since, parts: None });
        };
        let mut parts = Parts::default();
        for part in wanted.split(',').filter(|part| !part.is_empty()) {
            match part.split_once(':') {
                Some((model, zeros)) => parts.slices.push(ModelSlice {
                    model: u64::from_str_radix(model, 16).ok()?,
                    slice: FleetSlice {
                        leading_zeros: zeros.parse().ok()?,
                    },
                }),
                None => parts.services.push(u64::from_str_radix(part, 16).ok()?),
            }
        }
        parts.services.sort_unstable();
        Some(Self {
            since: since.parse().ok()?,
            parts: Some(parts),
        })
    }
}

impl Parts {
    /// Whether an upstream belongs to them.
    #[must_use]
    pub fn have(&self, whereabouts: Whereabouts) -> bool {
        self.part_of(whereabouts) != Part::Nothing
    }

    /// What of an upstream belongs to them.
    fn part_of(&self, whereabouts: Whereabouts) -> Part {
        let is_in = |held: &ModelSlice| {
            let order = rendezvous_hash(whereabouts.engine, held.model);
            held.slice.contains(order)
        };
        if self.slices.iter().any(is_in) {
            return Part::Everything;
        }
        match self.services.binary_search(&whereabouts.service) {
            Ok(_) => Part::Whereabouts,
            Err(_) => Part::Nothing,
        }
    }
}

/// What of one entry is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Every change.
    Everything,
    /// Changes of its whereabouts.
    Whereabouts,
    /// No change.
    Nothing,
}

/// An object as a seed holds it.
#[derive(Debug)]
struct Mirrored {
    passed: Passed,
    whereabouts: Option<Whereabouts>,
    /// Revision of the store by which its newest value was known.
    changed: u64,
    /// The same for its whereabouts.
    moved: u64,
}

#[derive(Debug, Default)]
struct Mirror {
    /// Sorted by name.
    objects: Vec<Mirrored>,
    /// Objects that are gone, with the revisions of the store by which that was known.
    gone: VecDeque<(u64, String)>,
    /// What is gone since this revision is all kept.
    kept_since: u64,
    /// Revision of the last change of anyone's whereabouts.
    last_moved: u64,
    revision: u64,
    heard: Option<Instant>,
    /// When this was all that the store had, on the clock that counts suspended time.
    as_of: Option<Duration>,
}

/// What one node holds of one kind that seeds pass on.
#[derive(Debug, Default)]
struct Held {
    mirror: Mutex<Mirror>,
    changed: Notify,
    /// Questions are held for less than usual; 0 if not.
    hold_most_ms: AtomicU64,
}

/// What one node holds of the kinds that seeds pass on.
#[derive(Debug)]
pub struct Relay {
    kinds: [Held; KINDS.len()],
    age_most: Duration,
}

impl Default for Relay {
    fn default() -> Self {
        Self::new(AGE_LEAST)
    }
}

/// How old a seed's knowledge may be where a change has to be in force within `bound`. A seed
/// that lists anew is behind for a while, and all nodes would ask the store instead.
#[must_use]
pub fn age_most(bound: Duration) -> Duration {
    let left = bound.saturating_sub(POLL_TIMEOUT + ON_ITS_WAY);
    left.min(bound / 2).max(AGE_LEAST)
}

/// The name of a kind in paths, if seeds pass it on.
#[must_use]
pub fn name_of(kind: Kind) -> Option<&'static str> {
    let found = KINDS.iter().find(|(_, held)| *held == kind);
    found.map(|(name, _)| *name)
}

/// The kind of this name in paths.
#[must_use]
pub fn kind_of(name: &str) -> Option<Kind> {
    let found = KINDS.iter().find(|(held, _)| *held == name);
    found.map(|(_, kind)| *kind)
}

impl Relay {
    /// Nothing is held yet; knowledge may be so old.
    #[must_use]
    pub fn new(age_most: Duration) -> Self {
        Self {
            kinds: Default::default(),
            age_most,
        }
    }

    /// Age up to which what a seed knows counts as up to date.
    #[must_use]
    pub const fn age_most(&self) -> Duration {
        self.age_most
    }

    /// Whether knowledge of this age does.
    #[must_use]
    pub const fn is_young(&self, age_ms: u64) -> bool {
        age_ms as u128 <= self.age_most.as_millis()
    }

    /// Keeps what the store has shown, up to this revision.
    pub fn keep(
        &self,
        now: Instant,
        kind: Kind,
        revision: u64,
        changes: &[Change],
        whereabouts_of: impl Fn(&Object) -> Option<Whereabouts>,
    ) {
        let Some(held) = self.held(kind) else {
            return;
        };
        let mut mirror = held.lock();
        mirror.heard = Some(now);
        for change in changes {
            mirror.take(revision, change, &whereabouts_of);
        }
        mirror.revision = mirror.revision.max(revision);
        drop(mirror);
        if !changes.is_empty() {
            held.changed.notify_waiters();
        }
    }

    /// Holds questions of a kind for so long at most.
    pub fn hold_at_most(&self, kind: Kind, most: Option<Duration>) {
        if let Some(held) = self.held(kind) {
            let most_ms = most.map_or(0, |most| most.as_millis() as u64);
            held.hold_most_ms.store(most_ms, Ordering::Relaxed);
        }
    }

    /// Notes that what is kept was all that the store had then.
    pub fn note_as_of(&self, kind: Kind, as_of: Option<Duration>) {
        if let Some(held) = self.held(kind) {
            let mut mirror = held.lock();
            mirror.as_of = mirror.as_of.max(as_of);
        }
    }

    /// What came after a revision; held back while there is nothing.
    pub async fn answer(
        &self,
        kind: Kind,
        question: &Question,
        now: impl Fn() -> Instant,
    ) -> Passing {
        let Some(held) = self.held(kind) else {
            return Mirror::default().passing(question, now());
        };
        let until = tokio::time::Instant::now() + held.hold();
        loop {
            let changed = held.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let passing = held.lock().passing(question, now());
            let waited = tokio::time::Instant::now() >= until;
            let is_news = passing.whole || !passing.objects.is_empty();
            if waited || is_news || !self.is_young(passing.age_ms) {
                return passing;
            }
            // Late or not, the loop looks again.
            drop(tokio::time::timeout_at(until, changed).await);
        }
    }

    fn held(&self, kind: Kind) -> Option<&Held> {
        let at = KINDS.iter().position(|(_, held)| *held == kind)?;
        Some(&self.kinds[at])
    }
}

impl Held {
    fn hold(&self) -> Duration {
        match self.hold_most_ms.load(Ordering::Relaxed) {
            0 => HOLD,
            most_ms => HOLD.min(Duration::from_millis(most_ms)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Mirror {
    fn passing(&self, question: &Question, now: Instant) -> Passing {
        let age = self.heard.map(|heard| now.duration_since(heard));
        let whole = question.since < self.kept_since;
        let objects = if whole {
            let is_wanted = |held: &&Mirrored| held.part_for(question) != Part::Nothing;
            let wanted = self.objects.iter().filter(is_wanted);
            wanted.map(|held| held.passed.clone()).collect()
        } else {
            self.later(question)
        };
        Passing {
            revision: self.revision,
            age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
            as_of_ms: None,
            as_of: self.as_of,
            listed: self.objects.len(),
            nodes: 0,
            whole,
            objects,
        }
    }

    /// What came after the question's revision, in order.
    fn later(&self, question: &Question) -> Vec<Passed> {
        let since = question.since;
        // Most questions of most nodes end here, whatever engines load.
        let calls_only = question
            .parts
            .as_ref()
            .is_some_and(|parts| parts.slices.is_empty());
        if calls_only && self.last_moved <= since {
            return Vec::new();
        }
        // Most objects have not changed, and a hash is dearer than a look.
        let changed = self.objects.iter().filter(|held| held.changed > since);
        let changed = changed.filter(|held| match held.part_for(question) {
            Part::Everything => true,
            Part::Whereabouts => held.moved > since,
            Part::Nothing => false,
        });
        let mut later: Vec<(u64, Passed)> = changed
            .map(|held| (held.changed, held.passed.clone()))
            .collect();
        let gone = self.gone.iter().filter(|(revision, _)| *revision > since);
        later.extend(gone.map(|(revision, name)| (*revision, Passed::gone(*revision, name))));
        later.sort_by_key(|(revision, _)| *revision);
        later.into_iter().map(|(_, passed)| passed).collect()
    }

    fn take(
        &mut self,
        revision: u64,
        change: &Change,
        whereabouts_of: &impl Fn(&Object) -> Option<Whereabouts>,
    ) {
        match change {
            Change::All(objects) => self.take_all(revision, objects, whereabouts_of),
            Change::Put(object) => self.put(revision, object, whereabouts_of(object)),
            Change::Gone(name) => self.remove(revision, name),
        }
    }

    /// Takes in a whole list. Where most of what was known is still there, nodes get what has
    /// changed; else they get the list, since they keep entries that have lapsed for a while.
    fn take_all(
        &mut self,
        revision: u64,
        objects: &[Object],
        whereabouts_of: &impl Fn(&Object) -> Option<Whereabouts>,
    ) {
        let mut names: Vec<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        names.sort_unstable();
        let is_listed = |held: &Mirrored| names.binary_search(&held.passed.name.as_str()).is_ok();
        if self.heard_of_none() || self.has_lost_most(is_listed) {
            let mirrored = |object| Mirrored::new(revision, object, whereabouts_of(object));
            self.objects = objects.iter().map(mirrored).collect();
            self.objects
                .sort_by(|a, b| a.passed.name.cmp(&b.passed.name));
            self.gone.clear();
            self.kept_since = revision;
            self.last_moved = revision;
            return;
        }
        let missing = self.objects.iter().filter(|held| !is_listed(held));
        let missing: Vec<String> = missing.map(|held| held.passed.name.clone()).collect();
        for name in missing {
            self.remove(revision, &name);
        }
        for object in objects {
            let known = self
                .place_of(&object.name)
                .map(|at| &self.objects[at].passed);
            if !known.is_ok_and(|known| known.is(object)) {
                self.put(revision, object, whereabouts_of(object));
            }
        }
    }

    const fn heard_of_none(&self) -> bool {
        self.revision == 0
    }

    /// A service, or the kind as a whole where objects tell of none, has lost half of its objects.
    fn has_lost_most(&self, is_listed: impl Fn(&Mirrored) -> bool) -> bool {
        let service_of = |held: &Mirrored| held.whereabouts.map(|told| told.service);
        let mut services: Vec<(Option<u64>, bool)> = self
            .objects
            .iter()
            .map(|held| (service_of(held), is_listed(held)))
            .collect();
        services.sort_unstable();
        let mut services = services.chunk_by(|a, b| a.0 == b.0);
        services.any(|held| {
            let left = held.iter().filter(|(_, is_listed)| *is_listed).count();
            left * 2 < held.len()
        })
    }

    fn place_of(&self, name: &str) -> Result<usize, usize> {
        let objects = &self.objects;
        objects.binary_search_by(|held| held.passed.name.as_str().cmp(name))
    }

    fn put(&mut self, revision: u64, object: &Object, whereabouts: Option<Whereabouts>) {
        let mut new = Mirrored::new(revision, object, whereabouts);
        match self.place_of(&object.name) {
            Ok(at) => {
                let held = &mut self.objects[at];
                let service = |told: Option<Whereabouts>| told.map(|told| told.service);
                if held.whereabouts == whereabouts && whereabouts.is_some() {
                    new.moved = held.moved;
                } else if service(held.whereabouts) != service(whereabouts) {
                    // Whoever follows the service that it has left has to hear of it too.
                    new.whereabouts = None;
                }
                *held = new;
            }
            Err(at) => self.objects.insert(at, new),
        }
        let at = self.place_of(&object.name).unwrap_or_default();
        let moved = self.objects[at].moved;
        self.last_moved = self.last_moved.max(moved);
    }

    fn remove(&mut self, revision: u64, name: &str) {
        if let Ok(at) = self.place_of(name) {
            self.objects.remove(at);
        }
        self.last_moved = revision;
        self.gone.push_back((revision, name.to_owned()));
        while self.gone.len() > GONE_KEPT {
            if let Some((revision, _)) = self.gone.pop_front() {
                self.kept_since = revision;
            }
        }
    }
}

impl Mirrored {
    fn new(revision: u64, object: &Object, whereabouts: Option<Whereabouts>) -> Self {
        Self {
            passed: passed(object),
            whereabouts,
            changed: revision,
            moved: revision,
        }
    }

    /// An object that tells no whereabouts is for everyone, as it moves.
    fn part_for(&self, question: &Question) -> Part {
        match (&question.parts, self.whereabouts) {
            (None, _) => Part::Everything,
            (Some(parts), Some(told)) => parts.part_of(told),
            (Some(_), None) => Part::Whereabouts,
        }
    }
}

impl Passed {
    /// It is this very state of an object.
    fn is(&self, object: &Object) -> bool {
        self.revision == object.revision
            && self.reported == object.reported
            && self
                .value
                .as_ref()
                .is_some_and(|value| value.get() == object.value.get())
    }

    fn gone(revision: u64, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision,
            reported: false,
            value: None,
        }
    }
}

fn passed(object: &Object) -> Passed {
    Passed {
        name: object.name.clone(),
        revision: object.revision,
        reported: object.reported,
        value: Some(object.value.clone()),
    }
}
