//! What this node holds to be true of the platform: configuration, upstreams,
//! versions of weights. Read without locks; replaced whole.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use tokio::sync::Notify;

use crate::change::Change;
use crate::demand::Demands;
use crate::dialect::BadMessage;
use crate::dialect::Dialect;
use crate::dialect::Object;
use crate::duty::BootClock;
use crate::follow::Extent;
use crate::model::Config;
use crate::model::ModelVersion;
use crate::model::Upstream;

/// Entries of upstreams lapse while the store is down, and are back within two
/// seconds of its return. For this long after a gap, entries that are missing are
/// kept for a service that has lost most of them, so that an outage of the store
/// does not empty the list. A service that has lost a few has lost them for good.
const ENTRIES_RETURN: Duration = Duration::from_secs(2);

/// A follower hears of the configuration at least this often where all is well, its longest
/// watch and a seed that fell silent included.
const CONFIG_YOUNG: Duration = Duration::from_millis(3_500);

/// More upstreams than this that come together are one line in the log.
const LISTED_ONE_BY_ONE: usize = 4;

/// An upstream in the list.
#[derive(Debug, Clone)]
struct Listed {
    /// Name of its object.
    name: String,
    upstream: Arc<Upstream>,
    /// It is gone from the platform's list, and is dropped here at this time.
    drop_at: Option<Instant>,
}

/// What a fleet works with.
#[derive(Debug)]
pub struct FleetParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Events.
    pub journal: Journal,
    /// Reads what the platform's objects say.
    pub dialect: Arc<dyn Dialect>,
}

/// Shared state of a node.
#[derive(Debug)]
pub struct Fleet {
    clock: Arc<dyn Clock>,
    journal: Journal,
    dialect: Arc<dyn Dialect>,
    config: ArcSwap<Config>,
    /// When its follower was last told that it is the newest.
    config_heard: ArcSwapOption<Instant>,
    boot_clock: Arc<dyn BootClock>,
    /// When the configuration was the store's newest, in milliseconds since the system
    /// started; 0 if it never was.
    config_as_of_ms: AtomicU64,
    /// Sorted by instance.
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    /// Sorted by model.
    named: ArcSwap<Vec<ModelVersion>>,
    demands: Arc<Demands>,
    /// Entries of the whole list of upstreams, as far as seeds told.
    listed: AtomicUsize,
    /// All of them are known here.
    knows_all: AtomicBool,
    changed: Notify,
}

/// The list of upstreams as its follower keeps it.
#[derive(Debug, Default)]
pub struct UpstreamList {
    /// Sorted by name.
    listed: Vec<Listed>,
    /// Entries that name no upstream, with the revisions at which they were logged.
    refused: Vec<(String, u64)>,
    regained: Option<Instant>,
    /// What has changed since it was last published.
    unpublished: Unpublished,
}

/// What has changed in a list of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Unpublished {
    /// Anything, versions of weights included.
    anything: bool,
    /// Which upstreams there are, where they answer or whether they leave.
    whereabouts: bool,
}

/// What came of a change of the list of upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TakenUpstreams {
    /// Addresses at which another start of an upstream answers than before.
    pub restarted: Vec<SocketAddr>,
    /// More changed than versions of weights.
    pub whereabouts: bool,
}

/// What came of entries that are taken in together.
#[derive(Debug, Default)]
struct TakenEntries {
    /// Names of upstreams that are new or begin to leave.
    listed: Vec<String>,
    /// Addresses at which another start of an upstream answers than before.
    restarted: Vec<SocketAddr>,
}

/// What is known of one service's entries.
#[derive(Debug)]
struct ServiceEntries<'a> {
    service: &'a str,
    listed: usize,
    /// Entries that are in the platform's list.
    left: usize,
    /// Some say when their upstream started.
    has_births: bool,
}

impl ServiceEntries<'_> {
    /// The entry does not say when its upstream started, though others of its service do:
    /// another writer made it.
    fn is_foreign(&self, upstream: &Upstream) -> bool {
        self.has_births && upstream.instance.born_ms == 0
    }

    /// Fewer than half of its entries are left.
    const fn has_lost_most(&self) -> bool {
        self.left * 2 < self.listed
    }
}

impl UpstreamList {
    /// One pass over the list: its cost does not grow with the square of the entries.
    fn services(&self) -> Vec<ServiceEntries<'_>> {
        let mut services: Vec<ServiceEntries<'_>> = Vec::new();
        for held in &self.listed {
            let service = held.upstream.service.as_str();
            let found = services.binary_search_by(|known| known.service.cmp(service));
            let at = found.unwrap_or_else(|at| {
                let new = ServiceEntries {
                    service,
                    listed: 0,
                    left: 0,
                    has_births: false,
                };
                services.insert(at, new);
                at
            });
            let entries = &mut services[at];
            entries.listed += 1;
            entries.left += usize::from(held.drop_at.is_none());
            entries.has_births |= held.upstream.instance.born_ms != 0;
        }
        services
    }

    /// Upstreams that may be used, sorted by instance.
    fn usable(&self) -> Vec<Arc<Upstream>> {
        let services = self.services();
        let is_usable = |held: &&Listed| {
            let service = held.upstream.service.as_str();
            let found = services.binary_search_by(|known| known.service.cmp(service));
            found.is_ok_and(|at| {
                let entries = &services[at];
                let is_kept = held.drop_at.is_none() || entries.has_lost_most();
                is_kept && !entries.is_foreign(&held.upstream)
            })
        };
        let usable = self.listed.iter().filter(is_usable);
        let mut upstreams: Vec<Arc<Upstream>> =
            usable.map(|held| Arc::clone(&held.upstream)).collect();
        upstreams.sort_by(|a, b| a.instance.cmp(&b.instance));
        upstreams
    }

    const fn note_whereabouts(&mut self) {
        self.unpublished = Unpublished {
            anything: true,
            whereabouts: true,
        };
    }
}

impl Fleet {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(parts: FleetParts) -> Arc<Self> {
        Arc::new(Self {
            clock: parts.clock,
            journal: parts.journal,
            dialect: parts.dialect,
            config: ArcSwap::default(),
            config_heard: ArcSwapOption::empty(),
            boot_clock: parts.boot_clock,
            config_as_of_ms: AtomicU64::new(0),
            upstreams: ArcSwap::default(),
            named: ArcSwap::default(),
            demands: Arc::default(),
            listed: AtomicUsize::new(0),
            knows_all: AtomicBool::new(false),
            changed: Notify::new(),
        })
    }

    /// The configuration in force; its version is 0 as long as none is known.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// The follower of the configuration was told all there was of it then.
    pub fn hear_of_config(&self, as_of: Option<Duration>) {
        self.config_heard.store(Some(Arc::new(self.clock.now())));
        let as_of_ms = as_of.map_or(0, |as_of| as_of.as_millis() as u64);
        self.config_as_of_ms.fetch_max(as_of_ms, Ordering::AcqRel);
    }

    /// Time for which the store may have had a newer configuration, a suspended VM's time
    /// included; `None` if this one was never known to be the newest.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        let as_of_ms = self.config_as_of_ms.load(Ordering::Acquire);
        let age = || {
            self.boot_clock
                .since_boot()
                .saturating_sub(Duration::from_millis(as_of_ms))
        };
        (as_of_ms > 0).then(age)
    }

    /// The configuration was the newest one moments ago.
    ///
    /// **Failure:** a node that was cut off, or had no time for its follower, says of a route
    /// that was added meanwhile that there is none, and its caller does not come again.
    /// **Guard:** it says so only while it hears of the configuration, which is at least
    /// every [`CONFIG_YOUNG`]; else that it cannot tell yet.
    #[must_use]
    pub fn is_config_young(&self) -> bool {
        let heard = self.config_heard.load();
        heard
            .as_ref()
            .is_some_and(|heard| self.clock.now().duration_since(**heard) < CONFIG_YOUNG)
    }

    /// All upstreams that are not gone, sorted by instance.
    #[must_use]
    pub fn upstreams(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// The upstream of a service that answers at an address.
    #[must_use]
    pub fn upstream_at(&self, service: &str, address: SocketAddr) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.load();
        let mut upstreams = upstreams.iter();
        let found = upstreams.find(|held| held.address == address && held.service == service);
        found.map(Arc::clone)
    }

    /// The newest version of each model that a trainer named.
    #[must_use]
    pub fn named(&self) -> Arc<Vec<ModelVersion>> {
        self.named.load_full()
    }

    /// Samples that steps of the models ask for.
    #[must_use]
    pub const fn demands(&self) -> &Arc<Demands> {
        &self.demands
    }

    /// Entries of the whole list of upstreams, of which this node may know a part; 0 where
    /// nobody told.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.listed.load(Ordering::Relaxed)
    }

    /// Whether every entry of the list of upstreams is known here, not only a part.
    #[must_use]
    pub fn knows_all(&self) -> bool {
        self.knows_all.load(Ordering::Relaxed)
    }

    /// What of the list of upstreams is followed.
    pub fn take_extent(&self, extent: Extent) {
        if let Some(listed) = extent.listed {
            self.listed.store(listed, Ordering::Relaxed);
        }
        if let Some(whole) = extent.whole {
            self.knows_all.store(whole, Ordering::Relaxed);
        }
    }

    /// Waits until a configuration is known.
    pub async fn configured(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Before the look, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.config.load().version > 0 {
                return;
            }
            changed.await;
        }
    }

    /// Waits for a change of anything above.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes in a configuration; one older than the one in force changes nothing,
    /// since a read from before an outage must not take back what callers saw.
    pub fn take_config(&self, change: Change) {
        for object in change.into_objects() {
            self.take_one_config(&object);
        }
    }

    fn take_one_config(&self, object: &Object) {
        match self.dialect.config(object) {
            Ok(mut config) if config.version > self.config.load().version => {
                config.sort();
                let (version, routes) = (config.version, config.routes.len());
                self.config.store(Arc::new(config));
                self.journal.event(
                    "config_taken",
                    &[("version", &version), ("routes", &routes)],
                );
                self.changed.notify_waiters();
            }
            Ok(_) => {}
            Err(error) => self.journal.event(
                "config_refused",
                &[("revision", &object.revision), ("cause", &error)],
            ),
        }
    }

    /// Takes in versions that trainers named; they only grow.
    pub fn take_version(&self, change: Change) {
        let mut named = Vec::clone(&self.named.load());
        for object in change.into_objects() {
            let version = match self.dialect.weight_version(&object) {
                Ok(version) => version,
                Err(error) => {
                    self.journal.event(
                        "version_refused",
                        &[("object", &object.name), ("cause", &error)],
                    );
                    continue;
                }
            };
            match named.binary_search_by(|held: &ModelVersion| held.model.cmp(&version.model)) {
                Ok(at) if named[at].version >= version.version => continue,
                Ok(at) => named[at].version = version.version,
                Err(at) => named.insert(at, version.clone()),
            }
            self.journal.event(
                "version_named",
                &[("model", &version.model), ("version", &version.version)],
            );
        }
        self.named.store(Arc::new(named));
        self.changed.notify_waiters();
    }

    /// Takes in changes of the list of upstreams, and publishes them together.
    pub fn take_upstreams(&self, list: &mut UpstreamList, changes: Vec<Change>) -> TakenUpstreams {
        let now = self.clock.now();
        let mut taken = TakenEntries::default();
        for change in changes {
            match change {
                Change::All(objects) => self.take_all(list, &objects, now, &mut taken),
                Change::Put(object) => self.put(list, &object, &mut taken),
                Change::Gone(name) => {
                    list.refused.retain(|(held, _)| *held != name);
                    self.remove(list, &name, now);
                }
            }
        }
        self.journal_listed(list, &taken.listed);
        TakenUpstreams {
            restarted: taken.restarted,
            whereabouts: self.publish(list),
        }
    }

    fn take_all(
        &self,
        list: &mut UpstreamList,
        objects: &[Object],
        now: Instant,
        taken: &mut TakenEntries,
    ) {
        if !list.listed.is_empty() {
            list.regained = Some(now);
        }
        let mut names: Vec<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        names.sort_unstable();
        let is_listed = |name: &str| names.binary_search(&name).is_ok();
        let held = list.listed.iter().map(|held| held.name.clone());
        let missing: Vec<String> = held.filter(|name| !is_listed(name)).collect();
        for name in missing {
            self.remove(list, &name, now);
        }
        list.refused.retain(|(name, _)| is_listed(name));
        for object in objects {
            self.put(list, object, taken);
        }
    }

    /// Upstreams that are new or begin to leave: a line each, or one for all where many come
    /// together.
    fn journal_listed(&self, list: &UpstreamList, names: &[String]) {
        if names.len() > LISTED_ONE_BY_ONE {
            let (entries, news) = (list.listed.len(), names.len());
            let fields: [(&str, &dyn Display); 2] = [("entries", &entries), ("news", &news)];
            return self.journal.event("upstreams_listed", &fields);
        }
        for name in names {
            let held = &list.listed;
            let Ok(at) = held.binary_search_by(|held| held.name.cmp(name)) else {
                continue;
            };
            let (instance, leaving) = (&held[at].upstream.instance, held[at].upstream.leaving);
            self.journal.event(
                "upstream_listed",
                &[("upstream", instance), ("leaving", &leaving)],
            );
        }
    }

    /// Drops upstreams whose time has come; tells whether there were any.
    pub fn drop_gone(&self, list: &mut UpstreamList) -> bool {
        let now = self.clock.now();
        let before = list.listed.len();
        list.listed
            .retain(|held| held.drop_at.is_none_or(|drop_at| drop_at > now));
        if list.listed.len() != before {
            list.note_whereabouts();
        }
        self.publish(list)
    }

    fn put(&self, list: &mut UpstreamList, object: &Object, taken: &mut TakenEntries) {
        let upstream = match self.dialect.upstream(object) {
            Ok(upstream) => upstream,
            Err(error) => {
                self.refuse(list, object, &error);
                return;
            }
        };
        list.refused.retain(|(name, _)| *name != object.name);
        let at = list.listed.partition_point(|held| held.name < object.name);
        let known = list.listed.get(at).filter(|held| held.name == object.name);
        let is_news = known.is_none_or(|held| held.upstream.leaving != upstream.leaving);
        let before = known.map(|held| &held.upstream.instance);
        let restarted = before.is_some_and(|before| *before != upstream.instance);
        if restarted {
            self.journal
                .event("upstream_restarted", &[("upstream", &upstream.instance)]);
        }
        match known {
            Some(held) if held.drop_at.is_none() && held.upstream.is_where(&upstream) => {
                list.unpublished.anything |= held.upstream.models != upstream.models;
            }
            _ => list.note_whereabouts(),
        }
        let address = upstream.address;
        let listed = Listed {
            name: object.name.clone(),
            upstream: Arc::new(upstream),
            drop_at: None,
        };
        match list.listed.get_mut(at) {
            Some(held) if held.name == object.name => *held = listed,
            _ => list.listed.insert(at, listed),
        }
        if is_news {
            taken.listed.push(object.name.clone());
        }
        if restarted {
            taken.restarted.push(address);
        }
    }

    /// An entry of another writer names no upstream, and takes the place of the entry of
    /// its name. It is logged once for each of its changes, however often it is listed.
    fn refuse(&self, list: &mut UpstreamList, object: &Object, cause: &BadMessage) {
        let refused = (object.name.clone(), object.revision);
        if !list.refused.contains(&refused) {
            self.journal.event(
                "upstream_refused",
                &[("object", &object.name), ("cause", cause)],
            );
            list.refused.retain(|(name, _)| *name != object.name);
            list.refused.push(refused);
        }
        let before = list.listed.len();
        list.listed.retain(|held| held.name != object.name);
        if list.listed.len() != before {
            list.note_whereabouts();
        }
    }

    fn remove(&self, list: &mut UpstreamList, name: &str, now: Instant) {
        let Ok(at) = list
            .listed
            .binary_search_by(|held| held.name.as_str().cmp(name))
        else {
            return;
        };
        let kept_until = list.regained.map(|regained| regained + ENTRIES_RETURN);
        match kept_until {
            Some(until) if until > now => list.listed[at].drop_at = Some(until),
            _ => {
                list.listed.remove(at);
            }
        }
        list.note_whereabouts();
        self.journal.event("upstream_gone", &[("upstream", &name)]);
    }

    /// Publishes what has changed; tells whether more did than versions of weights.
    fn publish(&self, list: &mut UpstreamList) -> bool {
        let unpublished = std::mem::take(&mut list.unpublished);
        if unpublished.anything {
            self.upstreams.store(Arc::new(list.usable()));
            self.changed.notify_waiters();
        }
        unpublished.whereabouts
    }
}
