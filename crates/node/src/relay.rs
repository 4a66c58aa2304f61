//! Passes on what the platform's store shows, from a few nodes to all others.
//!
//! **Load:** every node needs the configuration and the list of upstreams, which
//! changes with each load of weights. **Without it:** every node watches the store, and
//! each change costs a call for each node: 5,525 calls a day at 66 nodes, 3,482
//! with seeds. **How:** the seeds of the settings watch the store and keep
//! its last changes. All other nodes ask a seed for what came after the revision that
//! they know, and the seed answers when there is something. Revisions are the store's,
//! so a node can change from one seed to another, or to the store, and nothing goes
//! back. A seed says how old its knowledge is; if that is too old, or no seed answers,
//! a node asks the store itself.
//!
//! **Thresholds:** a node may work with what is [`AGE_MOST`] old, notices a silent seed
//! after [`POLL_TIMEOUT`], and then asks the store: 2.6 s in all. So this is for
//! deployments that allow an upstream that leaves more than that.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::Notify;

use crate::dialect::Kind;
use crate::dialect::Object;
use crate::follow::Change;

/// Path at which a seed answers other nodes.
pub const RELAY_PATH: &str = "/peer/relay/";

/// Kinds that seeds pass on, with their names in paths.
const KINDS: [(&str, Kind); 4] = [
    ("configuration", Kind::Configuration),
    ("upstreams", Kind::Upstreams),
    ("versions", Kind::WeightVersions),
    ("duties", Kind::Duties),
];

/// A seed's knowledge may be this old: its watches end after [`SEED_WATCH`].
pub const AGE_MOST: Duration = Duration::from_millis(1_300);

/// How long one watch of a seed may wait, so that its age stays below [`AGE_MOST`].
pub const SEED_WATCH: Duration = Duration::from_secs(1);

/// How long a seed holds a question for which it has nothing new.
const HOLD: Duration = Duration::from_millis(900);

/// A seed that has not answered by then is silent.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Changes that a seed keeps; a node that is further behind gets the whole list.
const CHANGES_KEPT: usize = 512;

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
    /// All objects, not only what changed.
    pub whole: bool,
    /// Objects in the order of their changes.
    pub objects: Vec<Passed>,
}

impl Passing {
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

#[derive(Debug, Default)]
struct Mirror {
    /// Sorted by name.
    objects: Vec<Passed>,
    /// Changes and the revisions of the store by which they were known.
    changes: VecDeque<(u64, Passed)>,
    /// Changes after this revision are all kept.
    kept_since: u64,
    revision: u64,
    heard: Option<Instant>,
}

/// What one node holds of the kinds that seeds pass on.
#[derive(Debug, Default)]
pub struct Relay {
    mirrors: [Mutex<Mirror>; KINDS.len()],
    changed: Notify,
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
    /// Keeps what the store has shown, up to this revision.
    pub fn keep(&self, now: Instant, kind: Kind, revision: u64, changes: &[Change]) {
        let Some(mut mirror) = self.lock(kind) else {
            return;
        };
        mirror.heard = Some(now);
        for change in changes {
            mirror.take(revision, change);
        }
        mirror.revision = mirror.revision.max(revision);
        drop(mirror);
        if !changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// What came after a revision; held back while there is nothing.
    pub async fn answer(&self, kind: Kind, since: u64, now: impl Fn() -> Instant) -> Passing {
        let until = tokio::time::Instant::now() + HOLD;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let passing = self.passing(kind, since, now());
            let waited = tokio::time::Instant::now() >= until;
            if waited || !passing.objects.is_empty() || passing.age_ms > age_most_ms() {
                return passing;
            }
            // Late or not, the loop looks again.
            drop(tokio::time::timeout_at(until, changed).await);
        }
    }

    fn passing(&self, kind: Kind, since: u64, now: Instant) -> Passing {
        let Some(mirror) = self.lock(kind) else {
            return Passing {
                revision: 0,
                age_ms: u64::MAX,
                whole: false,
                objects: Vec::new(),
            };
        };
        let age = mirror.heard.map(|heard| now.duration_since(heard));
        let whole = since < mirror.kept_since;
        let objects = if whole {
            mirror.objects.clone()
        } else {
            let later = mirror
                .changes
                .iter()
                .filter(|(revision, _)| *revision > since);
            later.map(|(_, passed)| passed.clone()).collect()
        };
        Passing {
            revision: mirror.revision,
            age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
            whole,
            objects,
        }
    }

    fn lock(&self, kind: Kind) -> Option<MutexGuard<'_, Mirror>> {
        let at = KINDS.iter().position(|(_, held)| *held == kind)?;
        let mirror = self.mirrors[at].lock();
        Some(mirror.unwrap_or_else(PoisonError::into_inner))
    }
}

/// [`AGE_MOST`] in milliseconds.
#[must_use]
pub const fn age_most_ms() -> u64 {
    AGE_MOST.as_millis() as u64
}

impl Mirror {
    fn take(&mut self, revision: u64, change: &Change) {
        match change {
            Change::All(objects) => {
                self.objects = objects.iter().map(passed).collect();
                self.objects.sort_by(|a, b| a.name.cmp(&b.name));
                self.changes.clear();
                self.kept_since = revision;
            }
            Change::Put(object) => self.put(revision, passed(object)),
            Change::Gone(name) => {
                self.objects.retain(|held| held.name != *name);
                self.push(
                    revision,
                    Passed {
                        name: name.clone(),
                        revision,
                        reported: false,
                        value: None,
                    },
                );
            }
        }
    }

    fn put(&mut self, revision: u64, object: Passed) {
        let found = self
            .objects
            .binary_search_by(|held| held.name.cmp(&object.name));
        match found {
            Ok(at) => self.objects[at] = object.clone(),
            Err(at) => self.objects.insert(at, object.clone()),
        }
        self.push(revision, object);
    }

    fn push(&mut self, revision: u64, change: Passed) {
        self.changes.push_back((revision, change));
        while self.changes.len() > CHANGES_KEPT {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.kept_since = revision;
            }
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
