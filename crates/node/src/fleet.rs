//! This node's view of the platform: configuration, upstreams and versions of weights. Reads take
//! no locks; updates replace a value as a whole.

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
use firweir::request::gate::Permit;
use tokio::sync::Notify;

use crate::change::Change;
use crate::config_news::ConfigBasis;
use crate::config_news::NewsAge;
use crate::config_news::NewsSource;
use crate::demand::ModelDemands;
use crate::dialect::BadMessage;
use crate::dialect::Dialect;
use crate::dialect::Object;
use crate::duty::BootClock;
use crate::follow::Extent;
use crate::model::Config;
use crate::model::ModelVersion;
use crate::model::Upstream;

/// Entries of upstreams expire while the store is down, and return within two seconds after it is
/// back. For this long after a gap, missing entries are kept for a service that has lost most of
/// them, so that an outage of the store does not empty the list. If a service has lost only a
/// few, these upstreams are really gone.
const ENTRY_RETENTION: Duration = Duration::from_secs(2);

/// Longest time between two confirmations of the configuration in normal operation, including
/// the longest watch and a seed that fell silent.
const CONFIG_FRESH_FOR: Duration = Duration::from_millis(3_500);

/// If more upstreams than this appear together, they are logged as one event.
const MAX_SEPARATE_EVENTS: usize = 4;

/// An upstream in the list.
#[derive(Debug, Clone)]
struct UpstreamEntry {
    /// Name of its object.
    name: String,
    upstream: Arc<Upstream>,
    /// When this node drops the entry, if it is missing from the platform's list.
    drop_at: Option<Instant>,
}

/// Dependencies of a [`Fleet`].
#[derive(Debug)]
pub struct FleetParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Event log.
    pub journal: Journal,
    /// Decodes the platform's objects.
    pub dialect: Arc<dyn Dialect>,
}

/// A node's view of the platform, shared by its tasks.
#[derive(Debug)]
pub struct Fleet {
    clock: Arc<dyn Clock>,
    journal: Journal,
    dialect: Arc<dyn Dialect>,
    config: ArcSwap<Config>,
    /// When the configuration was last confirmed to be the newest.
    config_confirmed_at: ArcSwapOption<Instant>,
    boot_clock: Arc<dyn BootClock>,
    /// When the configuration was the store's newest, in milliseconds since the system
    /// started; 0 if it never was.
    config_as_of_ms: AtomicU64,
    /// The way by which it was last confirmed to be the newest.
    config_source: ArcSwap<NewsSource>,
    /// Sorted by instance.
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    /// Sorted by model.
    latest_versions: ArcSwap<Vec<ModelVersion>>,
    demands: Arc<ModelDemands>,
    /// Number of entries in the full list of upstreams, as reported by the store or a seed.
    total_upstreams: AtomicUsize,
    /// This node knows all of them.
    knows_all_upstreams: AtomicBool,
    changed: Notify,
}

/// The list of upstreams, as maintained by its follower.
#[derive(Debug, Default)]
pub struct UpstreamList {
    /// Sorted by name.
    entries: Vec<UpstreamEntry>,
    /// Invalid entries, with the revisions at which they were logged.
    refused: Vec<(String, u64)>,
    /// When the list was last received in full again.
    relisted_at: Option<Instant>,
    /// Changes since the list was last published.
    unpublished: Unpublished,
}

/// Kinds of unpublished changes in a list of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Unpublished {
    /// Any change, including versions of weights.
    any_change: bool,
    /// The set of upstreams, or a property that matters for routing.
    routing_changed: bool,
}

/// Result of a change to the list of upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UpstreamChanges {
    /// Addresses at which an upstream has restarted.
    pub restarted: Vec<SocketAddr>,
    /// Something other than versions of weights changed.
    pub routing_changed: bool,
}

/// Changes by a batch of entries.
#[derive(Debug, Default)]
struct EntryChanges {
    /// Names of entries that are new or whose `leaving` flag changed.
    names: Vec<String>,
    /// Addresses at which an upstream has restarted.
    restarted: Vec<SocketAddr>,
}

/// Statistics of one service's entries.
#[derive(Debug)]
struct ServiceEntries<'a> {
    service: &'a str,
    total: usize,
    /// Entries that are still in the platform's list.
    left: usize,
    /// Some entries state when their upstream started.
    has_start_times: bool,
}

impl ServiceEntries<'_> {
    /// Whether the entry comes from another writer: it does not state when its upstream started,
    /// although other entries of its service do.
    fn is_foreign(&self, upstream: &Upstream) -> bool {
        self.has_start_times && upstream.instance.born_ms == 0
    }

    /// Whether fewer than half of its entries are left.
    const fn has_lost_majority(&self) -> bool {
        self.left * 2 < self.total
    }
}

impl UpstreamList {
    /// Statistics of each service, sorted by service. Computed in one pass: the cost does not
    /// grow with the square of the number of entries.
    fn services(&self) -> Vec<ServiceEntries<'_>> {
        let mut services: Vec<ServiceEntries<'_>> = Vec::new();
        for entry in &self.entries {
            let service = entry.upstream.service.as_str();
            let found = services.binary_search_by(|known| known.service.cmp(service));
            let at = found.unwrap_or_else(|at| {
                let new = ServiceEntries {
                    service,
                    total: 0,
                    left: 0,
                    has_start_times: false,
                };
                services.insert(at, new);
                at
            });
            let entries = &mut services[at];
            entries.total += 1;
            entries.left += usize::from(entry.drop_at.is_none());
            entries.has_start_times |= entry.upstream.instance.born_ms != 0;
        }
        services
    }

    /// Upstreams that may be used, sorted by instance.
    fn usable(&self) -> Vec<Arc<Upstream>> {
        let services = self.services();
        let is_usable = |entry: &&UpstreamEntry| {
            let service = entry.upstream.service.as_str();
            let found = services.binary_search_by(|known| known.service.cmp(service));
            found.is_ok_and(|at| {
                let entries = &services[at];
                let is_kept = entry.drop_at.is_none() || entries.has_lost_majority();
                is_kept && !entries.is_foreign(&entry.upstream)
            })
        };
        let usable = self.entries.iter().filter(is_usable);
        let mut upstreams: Vec<Arc<Upstream>> =
            usable.map(|entry| Arc::clone(&entry.upstream)).collect();
        upstreams.sort_by(|a, b| a.instance.cmp(&b.instance));
        upstreams
    }

    const fn mark_routing_changed(&mut self) {
        self.unpublished = Unpublished {
            any_change: true,
            routing_changed: true,
        };
    }
}

impl Fleet {
    /// Creates an empty view.
    #[must_use]
    pub fn new(parts: FleetParts) -> Arc<Self> {
        Arc::new(Self {
            clock: parts.clock,
            journal: parts.journal,
            dialect: parts.dialect,
            config: ArcSwap::default(),
            config_confirmed_at: ArcSwapOption::empty(),
            boot_clock: parts.boot_clock,
            config_as_of_ms: AtomicU64::new(0),
            config_source: ArcSwap::default(),
            upstreams: ArcSwap::default(),
            latest_versions: ArcSwap::default(),
            demands: Arc::default(),
            total_upstreams: AtomicUsize::new(0),
            knows_all_upstreams: AtomicBool::new(false),
            changed: Notify::new(),
        })
    }

    /// The configuration in force; version 0 if none is known yet.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Records that this configuration is the newest, was so in the store at `as_of` (time since
    /// boot; `None` if unknown), and by which way this is known.
    pub fn record_config_confirmed(&self, as_of: Option<Duration>, source: NewsSource) {
        self.config_source.store(Arc::new(source));
        self.config_confirmed_at
            .store(Some(Arc::new(self.clock.now())));
        let as_of_ms = as_of.map_or(0, |as_of| as_of.as_millis() as u64);
        self.config_as_of_ms.fetch_max(as_of_ms, Ordering::AcqRel);
    }

    /// Time since this configuration was known to be the store's newest, including time in which
    /// the VM was suspended; `None` if it never was.
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

    /// What decides a request by this configuration, for its log line.
    #[must_use]
    pub fn config_basis(&self, config: &Config) -> ConfigBasis {
        ConfigBasis {
            version: config.version,
            age: NewsAge(self.config_age()),
            source: **self.config_source.load(),
        }
    }

    /// Whether the configuration was confirmed to be the newest within [`CONFIG_FRESH_FOR`].
    ///
    /// A node that was partitioned or overloaded may have missed a new route. If it answered that
    /// the route does not exist, the caller would not retry. So it answers this only with a
    /// recently confirmed configuration, and otherwise that it does not know yet.
    #[must_use]
    pub fn is_config_fresh(&self) -> bool {
        let confirmed_at = self.config_confirmed_at.load();
        confirmed_at.as_ref().is_some_and(|confirmed_at| {
            self.clock.now().duration_since(**confirmed_at) < CONFIG_FRESH_FOR
        })
    }

    /// Whether a service has an upstream that accepts new requests.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        let upstreams = self.upstreams.load();
        let is_serving =
            |upstream: &Arc<Upstream>| !upstream.leaving && upstream.service == service;
        upstreams.iter().any(is_serving)
    }

    /// All usable upstreams, sorted by instance.
    #[must_use]
    pub fn upstreams(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// The upstream of a service for which a permit was given. An entry of another writer may hold
    /// the address of a sound upstream, so that the address alone does not tell which one it is.
    #[must_use]
    pub fn permitted_upstream(&self, service: &str, permit: &Permit) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.load();
        let is_permitted = |upstream: &&Arc<Upstream>| {
            upstream.address == permit.address()
                && upstream.service == service
                && upstream.instance.hash() == permit.start()
        };
        upstreams.iter().find(is_permitted).map(Arc::clone)
    }

    /// The newest version of each model that a trainer published.
    #[must_use]
    pub fn latest_versions(&self) -> Arc<Vec<ModelVersion>> {
        self.latest_versions.load_full()
    }

    /// Number of samples in the largest step of each model.
    #[must_use]
    pub const fn demands(&self) -> &Arc<ModelDemands> {
        &self.demands
    }

    /// Number of entries in the full list of upstreams, of which this node may know a part; 0 if
    /// unknown.
    #[must_use]
    pub fn total_upstreams(&self) -> usize {
        self.total_upstreams.load(Ordering::Relaxed)
    }

    /// Whether this node knows every entry of the list of upstreams, not only a part.
    #[must_use]
    pub fn knows_all_upstreams(&self) -> bool {
        self.knows_all_upstreams.load(Ordering::Relaxed)
    }

    /// Sets the size of the full list of upstreams and whether this node follows all of it.
    pub fn set_extent(&self, extent: Extent) {
        if let Some(total_upstreams) = extent.total_upstreams {
            self.total_upstreams
                .store(total_upstreams, Ordering::Relaxed);
        }
        if let Some(is_complete) = extent.is_complete {
            self.knows_all_upstreams
                .store(is_complete, Ordering::Relaxed);
        }
    }

    /// Waits until a configuration is known.
    pub async fn wait_until_configured(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the check, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.config.load().version > 0 {
                return;
            }
            changed.await;
        }
    }

    /// Waits for a change of the configuration, the upstreams or the versions of weights.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Applies a configuration if it is newer than the one in force: a stale read from before an
    /// outage must not revert what callers have seen. `source` is the way by which it came.
    pub fn apply_config(&self, change: Change, source: NewsSource) {
        for object in change.into_objects() {
            self.apply_config_object(&object, source);
        }
    }

    fn apply_config_object(&self, object: &Object, source: NewsSource) {
        match self.dialect.config(object) {
            Ok(mut config) if config.version > self.config.load().version => {
                config.sort();
                let (version, routes) = (config.version, config.routes.len());
                self.config.store(Arc::new(config));
                let unseen = self.config_age();
                if let Some(unseen) = unseen {
                    self.journal.time("config.unseen", unseen);
                }
                self.journal.event(
                    "config_taken",
                    &[
                        ("version", &version),
                        ("routes", &routes),
                        ("revision", &object.revision),
                        ("unseen_ms", &NewsAge(unseen)),
                        ("from", &source),
                    ],
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

    /// Applies versions that trainers published. Older versions are ignored.
    pub fn apply_versions(&self, change: Change) {
        let mut latest_versions = Vec::clone(&self.latest_versions.load());
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
            match latest_versions
                .binary_search_by(|known: &ModelVersion| known.model.cmp(&version.model))
            {
                Ok(at) if latest_versions[at].version >= version.version => continue,
                Ok(at) => latest_versions[at].version = version.version,
                Err(at) => latest_versions.insert(at, version.clone()),
            }
            self.journal.event(
                "version_named",
                &[("model", &version.model), ("version", &version.version)],
            );
        }
        self.latest_versions.store(Arc::new(latest_versions));
        self.changed.notify_waiters();
    }

    /// Applies changes to the list of upstreams, and publishes them together.
    pub fn apply_upstreams(
        &self,
        list: &mut UpstreamList,
        changes: Vec<Change>,
    ) -> UpstreamChanges {
        let now = self.clock.now();
        let mut changed_entries = EntryChanges::default();
        for change in changes {
            match change {
                Change::All(objects) => self.apply_list(list, &objects, now, &mut changed_entries),
                Change::Put(object) => self.put(list, &object, &mut changed_entries),
                Change::Removed(name) => {
                    list.refused.retain(|(refused, _)| *refused != name);
                    self.remove(list, &name, now);
                }
            }
        }
        self.log_listed(list, &changed_entries.names);
        UpstreamChanges {
            restarted: changed_entries.restarted,
            routing_changed: self.publish(list),
        }
    }

    fn apply_list(
        &self,
        list: &mut UpstreamList,
        objects: &[Object],
        now: Instant,
        changed_entries: &mut EntryChanges,
    ) {
        if !list.entries.is_empty() {
            list.relisted_at = Some(now);
        }
        let mut names: Vec<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        names.sort_unstable();
        let is_listed = |name: &str| names.binary_search(&name).is_ok();
        let known = list.entries.iter().map(|entry| entry.name.clone());
        let missing: Vec<String> = known.filter(|name| !is_listed(name)).collect();
        for name in missing {
            self.remove(list, &name, now);
        }
        list.refused.retain(|(name, _)| is_listed(name));
        for object in objects {
            self.put(list, object, changed_entries);
        }
    }

    /// Logs entries that are new or whose `leaving` flag changed: one event each, or a single
    /// event if there are many.
    fn log_listed(&self, list: &UpstreamList, names: &[String]) {
        if names.len() > MAX_SEPARATE_EVENTS {
            let (entries, changed) = (list.entries.len(), names.len());
            let fields: [(&str, &dyn Display); 2] = [("entries", &entries), ("news", &changed)];
            return self.journal.event("upstreams_listed", &fields);
        }
        for name in names {
            let known = &list.entries;
            let Ok(at) = known.binary_search_by(|entry| entry.name.cmp(name)) else {
                continue;
            };
            let (instance, leaving) = (&known[at].upstream.instance, known[at].upstream.leaving);
            self.journal.event(
                "upstream_listed",
                &[("upstream", instance), ("leaving", &leaving)],
            );
        }
    }

    /// Drops missing entries that were kept long enough. Returns whether anything other than
    /// versions of weights changed.
    pub fn drop_expired(&self, list: &mut UpstreamList) -> bool {
        let now = self.clock.now();
        let before = list.entries.len();
        list.entries
            .retain(|entry| entry.drop_at.is_none_or(|drop_at| drop_at > now));
        if list.entries.len() != before {
            list.mark_routing_changed();
        }
        self.publish(list)
    }

    fn put(&self, list: &mut UpstreamList, object: &Object, changed_entries: &mut EntryChanges) {
        let upstream = match self.dialect.upstream(object) {
            Ok(upstream) => upstream,
            Err(error) => {
                self.reject(list, object, &error);
                return;
            }
        };
        list.refused.retain(|(name, _)| *name != object.name);
        let at = list
            .entries
            .partition_point(|entry| entry.name < object.name);
        let known = list
            .entries
            .get(at)
            .filter(|entry| entry.name == object.name);
        let should_log = known.is_none_or(|entry| entry.upstream.leaving != upstream.leaving);
        let before = known.map(|entry| &entry.upstream.instance);
        let restarted = before.is_some_and(|before| *before != upstream.instance);
        if restarted {
            self.journal
                .event("upstream_restarted", &[("upstream", &upstream.instance)]);
        }
        match known {
            Some(entry)
                if entry.drop_at.is_none() && entry.upstream.has_same_routing(&upstream) =>
            {
                list.unpublished.any_change |= entry.upstream.models != upstream.models;
            }
            _ => list.mark_routing_changed(),
        }
        let address = upstream.address;
        let new_entry = UpstreamEntry {
            name: object.name.clone(),
            upstream: Arc::new(upstream),
            drop_at: None,
        };
        match list.entries.get_mut(at) {
            Some(entry) if entry.name == object.name => *entry = new_entry,
            _ => list.entries.insert(at, new_entry),
        }
        if should_log {
            changed_entries.names.push(object.name.clone());
        }
        if restarted {
            changed_entries.restarted.push(address);
        }
    }

    /// Handles an invalid entry, which another writer may have stored over a valid one of the same
    /// name: the upstream is removed. Each revision of the entry is logged once, however often it
    /// is listed.
    fn reject(&self, list: &mut UpstreamList, object: &Object, cause: &BadMessage) {
        let refused = (object.name.clone(), object.revision);
        if !list.refused.contains(&refused) {
            self.journal.event(
                "upstream_refused",
                &[("object", &object.name), ("cause", cause)],
            );
            list.refused.retain(|(name, _)| *name != object.name);
            list.refused.push(refused);
        }
        let before = list.entries.len();
        list.entries.retain(|entry| entry.name != object.name);
        if list.entries.len() != before {
            list.mark_routing_changed();
        }
    }

    fn remove(&self, list: &mut UpstreamList, name: &str, now: Instant) {
        let Ok(at) = list
            .entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
        else {
            return;
        };
        let kept_until = list
            .relisted_at
            .map(|relisted_at| relisted_at + ENTRY_RETENTION);
        match kept_until {
            Some(until) if until > now => list.entries[at].drop_at = Some(until),
            _ => {
                list.entries.remove(at);
            }
        }
        list.mark_routing_changed();
        self.journal.event("upstream_gone", &[("upstream", &name)]);
    }

    /// Publishes the changes. Returns whether anything other than versions of weights changed.
    fn publish(&self, list: &mut UpstreamList) -> bool {
        let unpublished = std::mem::take(&mut list.unpublished);
        if unpublished.any_change {
            self.upstreams.store(Arc::new(list.usable()));
            self.changed.notify_waiters();
        }
        unpublished.routing_changed
    }
}
