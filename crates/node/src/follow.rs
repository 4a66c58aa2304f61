//! Follows one kind of stored objects for the life of the process: through the seed nodes of the
//! settings if the deployment allows it, otherwise directly from the platform's store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::relist::RelistTimer;
use rand::Rng;

use crate::change::Change;
use crate::config_news::NewsSource;
use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::duty::BootClock;
use crate::interest::Interest;
use crate::interest::Subscription;
use crate::listing::Listed;
use crate::listing::list_sourced;
use crate::newest_config::NewestConfig;
use crate::outage::Outage;
use crate::relay::Relay;
use crate::relay::RoutingDigest;
use crate::relay::SEED_WATCH_WAIT;
use crate::relay::path_name_of;
use crate::reload::CurrentSettings;
use crate::roster::LocalMember;
use crate::seeds::Seeds;
use crate::store::Sourced;
use crate::store::Store;

/// Longest wait of a watch whose answers may be seconds old. Such an answer costs a tenth of a
/// fresh one; while the store is disturbed it may be older than this.
const STALE_WATCH_WAIT: Duration = Duration::from_secs(3);

/// Pause after a failed call; up to half of it is added as jitter. Outages of the store take
/// seconds, each call costs, and without jitter all nodes would retry at the same time. A store
/// that is compacting its history fails calls immediately, for seconds.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Longest pause after a call without an answer, before the first list: nothing speaks against a list
/// at once but that other nodes may lose the store at the same time.
const LIST_JITTER: Duration = Duration::from_millis(100);

/// How long after another node has told of a newer configuration the watch may still report it: both
/// mostly come at the same time.
const MISSED_GRACE: Duration = Duration::from_millis(150);

/// How a kind is followed; evaluated before each call.
#[derive(Debug, Clone, Copy)]
pub struct FollowOptions {
    /// How old answers may be.
    pub freshness: Freshness,
    /// Pause between two watches, to batch changes: each answer costs a call on every node.
    pub pause: Duration,
    /// Pause between two watches on a seed.
    pub seed_pause: Duration,
    /// Upper bound of the wait of a watch, if answers are needed more often than usual.
    pub max_watch: Option<Duration>,
}

impl FollowOptions {
    /// Reports every change immediately.
    #[must_use]
    pub const fn immediate() -> Self {
        Self {
            freshness: Freshness::Newest,
            pause: Duration::ZERO,
            seed_pause: Duration::ZERO,
            max_watch: None,
        }
    }

    /// Reports changes up to seconds late, at a tenth of the cost.
    #[must_use]
    pub const fn delayed() -> Self {
        Self {
            freshness: Freshness::Seconds,
            pause: Duration::ZERO,
            seed_pause: Duration::ZERO,
            max_watch: None,
        }
    }
}

/// Dependencies of a follower; cheap to clone.
#[derive(Debug, Clone)]
pub struct Sources {
    /// The platform's store.
    pub store: Store,
    /// Connections to seeds.
    pub connections: ConnectionPool,
    /// Seeds to poll, and whether this node is one.
    pub seeds: Seeds,
    /// Objects that this node relays.
    pub relay: Arc<Relay>,
    /// Upstreams that this node subscribes to.
    pub interest: Arc<Interest>,
    /// Revisions of the configuration that this node has seen and was told of.
    pub newest_config: NewestConfig,
    /// What this node announces to seeds.
    pub local_member: LocalMember,
    /// The settings in force.
    pub settings: CurrentSettings,
    /// Decodes entries of upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// Whether the store is unavailable to this node.
    pub outage: Outage,
    /// Reads per second that the store can serve to all nodes together.
    pub store_reads_per_s: f64,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Event log.
    pub journal: Journal,
}

/// Changes that a follower reports together.
#[derive(Debug)]
pub struct ChangeBatch {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// When the store had nothing newer than these changes, on the clock that counts suspended
    /// time; `None` if the answer may be old. For a watch this is when it was sent, since a
    /// waiting watch may receive nothing while the store compacts its history.
    pub as_of: Option<Duration>,
    /// The way by which they came.
    pub source: NewsSource,
    /// Which part of the kind's list is followed.
    pub extent: Extent,
}

/// How much of a kind's list a node receives; fields are `None` if unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Extent {
    /// Number of upstreams in the full list; entries that name none don't count. 0 for other kinds.
    pub total_upstreams: Option<usize>,
    /// The node receives all of them, not only a part.
    pub is_complete: Option<bool>,
}

/// State of following one kind.
pub(crate) struct Follower {
    pub(crate) sources: Sources,
    pub(crate) kind: ObjectKind,
    /// Store revision up to which changes are known.
    pub(crate) since: Option<u64>,
    /// Highest store revision that was ever known.
    pub(crate) newest_revision: u64,
    /// The store did not answer the last call.
    pub(crate) store_lost: bool,
    /// A watch failed, so changes may have been missed.
    pub(crate) has_gap: bool,
    /// When the kind was last listed.
    pub(crate) last_listed: Option<Instant>,
    /// Seeds are not polled before this time.
    pub(crate) seeds_paused_until: Option<Instant>,
    /// Up to when this node knows all changes, on the clock that counts suspended time: the last
    /// answer that brought it up to date, or else the moment from which it needs the kind.
    pub(crate) heard_at: Duration,
    /// Where in the time over which nodes spread their reads of the store this one reads; 0 to 1.
    pub(crate) spread_fraction: f64,
    /// Index of the seed to poll next.
    pub(crate) next_seed: usize,
    /// Entries of upstreams that are followed.
    pub(crate) subscription: Subscription,
    /// Fleet size as a seed last reported it; `None` before the first answer.
    pub(crate) fleet_size: Option<FleetSize>,
    /// Whether any seed answered in the last round of polls, even with outdated data.
    pub(crate) any_seed_answered: bool,
    /// Decides when this node lists all upstreams itself.
    pub(crate) relist: RelistTimer,
}

/// Size of the fleet as reported by a seed: nodes, and objects of the followed kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetSize {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
}

/// Changes up to a revision.
pub(crate) struct Update {
    pub(crate) revision: u64,
    /// When the store answered with them, on the clock that counts suspended time.
    pub(crate) heard_at: Duration,
    pub(crate) batch: ChangeBatch,
}

/// Follows a kind and passes each batch of its changes to `apply`. Never returns.
pub async fn follow(
    sources: Sources,
    kind: ObjectKind,
    options: impl Fn() -> FollowOptions,
    mut apply: impl FnMut(ChangeBatch),
) {
    let next_seed = rand::rng().random_range(0..sources.seeds.current().polled.len().max(1));
    let subscription = sources.interest.subscription();
    let mut follower = Follower {
        subscription,
        heard_at: sources.boot_clock.since_boot(),
        spread_fraction: rand::rng().random(),
        sources,
        kind,
        since: None,
        newest_revision: 0,
        store_lost: false,
        has_gap: false,
        last_listed: None,
        seeds_paused_until: None,
        next_seed,
        fleet_size: None,
        any_seed_answered: false,
        relist: RelistTimer::default(),
    };
    follower.wait_until_needed().await;
    let mut seed_update = follower.first_seed_update().await;
    loop {
        follower.wait_until_needed().await;
        follower.update_subscription();
        if seed_update.is_none() {
            seed_update = follower.poll_seeds().await;
        }
        let update = match seed_update.take() {
            Some(update) => update,
            None if follower.waits_for_seeds() => {
                follower.pause().await;
                continue;
            }
            None => match follower.read_store(options()).await {
                Ok(Some(update)) => update,
                Ok(None) => continue,
                Err(error) => {
                    follower.record_failure(&error).await;
                    continue;
                }
            },
        };
        follower.sources.outage.record_answer();
        follower.heard_at = follower.heard_at.max(update.heard_at);
        follower.newest_revision = follower.newest_revision.max(update.revision);
        follower.since = Some(follower.newest_revision);
        apply(update.batch);
    }
}

impl Follower {
    /// Waits until this node needs the kind. Versions of weights matter only to nodes that follow
    /// engines; each new version costs an answer to every node that polls for them, and trainers
    /// publish some every second.
    async fn wait_until_needed(&mut self) {
        let interest = &self.sources.interest;
        if self.kind != ObjectKind::WeightVersions || interest.follows_engines() {
            return;
        }
        interest.wait_until_engines_followed().await;
        self.heard_at = self.sources.boot_clock.since_boot();
    }

    /// Adopts the current subscription, and requests the full list if it changed. Returns whether
    /// it changed.
    pub(crate) fn update_subscription(&mut self) -> bool {
        let subscription = self.sources.interest.subscription();
        let is_new = self.kind == ObjectKind::Upstreams && subscription != self.subscription;
        if is_new {
            self.subscription = subscription;
            self.since = None;
        }
        is_new
    }

    /// Waits until the subscription differs from the one that is followed. A seed may hold its answer
    /// for long, and the store too, while the new subscription is urgent.
    pub(crate) async fn subscription_changed(&self) {
        if self.kind != ObjectKind::Upstreams {
            return std::future::pending().await;
        }
        let interest = &self.sources.interest;
        interest.changed_from(&self.subscription).await;
    }

    /// Reads the store: lists the kind at first, after a gap and when it has missed a change, and else
    /// watches for changes. `None` if the subscription has changed meanwhile.
    ///
    /// A failed watch is not resumed: a store that is about to compact its history leaves such a
    /// watch waiting for seconds without an answer.
    async fn read_store(&mut self, options: FollowOptions) -> Result<Option<Update>, StoreError> {
        tokio::select! {
            () = self.sources.outage.wait_while_probed(self.kind) => {}
            () = self.config_missed() => {}
        }
        let since = self.since.filter(|_| !self.has_gap);
        let watched = match since {
            Some(since) => tokio::select! {
                watched = self.watch_until_missed(since, options) => watched?,
                () = self.subscription_changed() => return Ok(None),
            },
            None => None,
        };
        let update = match watched {
            Some(update) => update,
            None => self.list_all().await?,
        };
        self.has_gap = false;
        if std::mem::take(&mut self.store_lost) {
            let kind = format_args!("{:?}", self.kind);
            self.sources
                .journal
                .event("store_regained", &[("kind", &kind)]);
        }
        if self.sources.seeds.current().is_seed {
            let (relay, changes) = (&self.sources.relay, &update.batch.changes);
            let (heard_at, revision) = (update.heard_at, update.revision);
            let digest_of = |object: &Object| self.digest_of(object);
            relay.apply(heard_at, self.kind, revision, changes, digest_of);
            relay.record_as_of(self.kind, update.batch.as_of);
        }
        Ok(Some(update))
    }

    /// Lists the newest state: while the store compacts its history, the revision of a stale list is
    /// already gone, and no watch could start from it.
    async fn list_all(&mut self) -> Result<Update, StoreError> {
        let sent = self.sources.boot_clock.since_boot();
        let known_config = self.sources.newest_config.known();
        let listed = list_sourced(&self.sources.store, self.kind, Freshness::Newest);
        let Listed {
            mut objects,
            revision,
            source,
        } = listed.await?;
        self.last_listed = Some(self.sources.clock.now());
        if self.kind == ObjectKind::Configuration {
            self.sources.newest_config.record_listed(known_config);
        }
        let extent = Extent {
            total_upstreams: Some(self.count_upstreams(&objects)),
            is_complete: Some(self.subscription == Subscription::All),
        };
        objects.retain(|object| self.is_followed(object));
        Ok(Update {
            revision,
            heard_at: sent,
            batch: ChangeBatch {
                extent,
                changes: vec![Change::All(objects)],
                as_of: Some(sent),
                source,
            },
        })
    }

    /// Watches for changes; `None` if another node has a configuration that the watch does not report: it
    /// may never be answered.
    async fn watch_until_missed(
        &self,
        since: u64,
        options: FollowOptions,
    ) -> Result<Option<Update>, StoreError> {
        let missed = async {
            self.config_missed().await;
            tokio::time::sleep(MISSED_GRACE).await;
        };
        tokio::select! {
            watched = self.watch(since, options) => watched.map(Some),
            () = missed => {
                self.sources.journal.event("configuration_missed", &[("since", &since)]);
                Ok(None)
            }
        }
    }

    /// Waits until another node has a configuration that this follower of it has missed.
    async fn config_missed(&self) {
        if self.kind != ObjectKind::Configuration {
            return std::future::pending().await;
        }
        self.sources.newest_config.missed().await;
    }

    /// Whether this node follows an object of the store. Other objects must be dropped: once the
    /// node polls a seed again, it would miss their changes.
    fn is_followed(&self, object: &Object) -> bool {
        match &self.subscription {
            Subscription::Filtered(filter) if self.kind == ObjectKind::Upstreams => {
                let routing = self.digest_of(object);
                routing.is_none_or(|routing| filter.matches(routing))
            }
            Subscription::Filtered(_) | Subscription::All => true,
        }
    }

    /// Number of entries that name an upstream; 0 for other kinds.
    fn count_upstreams(&self, objects: &[Object]) -> usize {
        let named = objects
            .iter()
            .filter(|object| self.digest_of(object).is_some());
        named.count()
    }

    /// The routing digest of an upstream's entry; `None` if the entry is invalid or of another
    /// kind.
    fn digest_of(&self, object: &Object) -> Option<RoutingDigest> {
        if self.kind != ObjectKind::Upstreams {
            return None;
        }
        let upstream = self.sources.dialect.upstream(object).ok()?;
        Some(RoutingDigest::of_upstream(&upstream))
    }

    async fn watch(&self, since: u64, options: FollowOptions) -> Result<Update, StoreError> {
        let seeds = self.sources.seeds.current();
        let is_seed = seeds.is_seed && path_name_of(self.kind).is_some();
        let has_seeds = !seeds.polled.is_empty();
        let pause = if is_seed {
            options.seed_pause
        } else {
            options.pause
        };
        // While calls go through a node that may fail, nothing may be noticed any later.
        let pause = if self.sources.store.is_detoured() {
            Duration::ZERO
        } else {
            pause.min(self.time_to_store_read())
        };
        tokio::time::sleep(pause).await;
        // Other nodes rely on a seed's data to be fresh, except for the homes of models.
        let freshness = if is_seed && self.kind != ObjectKind::Duties {
            Freshness::Newest
        } else {
            options.freshness
        };
        let wait = match freshness {
            // Includes the pause, so that the age of a seed's data stays bounded.
            _ if is_seed => SEED_WATCH_WAIT.saturating_sub(pause),
            // Nodes that use seeds try them again soon. A watch that has nothing to report confirms
            // the state only at its end, and their seeds may have taken most of the time for that.
            _ if has_seeds => SEED_WATCH_WAIT.min(self.time_to_store_read()),
            Freshness::Newest => {
                let max_wait = self.sources.store.watch_limits().wait;
                max_wait.saturating_sub(pause)
            }
            Freshness::Seconds => STALE_WATCH_WAIT,
        };
        let wait = options
            .max_watch
            .map_or(wait, |max_watch| wait.min(max_watch));
        let watch = StoreCall::Watch {
            kind: self.kind,
            since,
            wait,
            freshness,
        };
        let sent = self.sources.boot_clock.since_boot();
        let Sourced { answer, source } = self.sources.store.call_sourced(&watch).await?;
        // An answer that is delivered later than the wait was made by the end of the wait.
        let heard_at = self.sources.boot_clock.since_boot().min(sent + wait);
        match answer {
            StoreAnswer::Changes {
                changes, revision, ..
            } => {
                let changes = changes.into_iter().map(|change| {
                    if change.deleted || !self.is_followed(&change.object) {
                        Change::Removed(change.object.name)
                    } else {
                        Change::Put(change.object)
                    }
                });
                Ok(Update {
                    revision,
                    heard_at,
                    batch: ChangeBatch {
                        extent: Extent::default(),
                        changes: changes.collect(),
                        as_of: (freshness == Freshness::Newest).then_some(sent),
                        source,
                    },
                })
            }
            _ => Err(StoreError::Unknown),
        }
    }

    async fn record_failure(&mut self, error: &StoreError) {
        let kind = format!("{:?}", self.kind);
        let journal = &self.sources.journal;
        let was_watching = self.since.is_some() && !self.has_gap;
        self.has_gap = true;
        self.sources.outage.record_failure(self.kind, error);
        let now = self.sources.clock.now();
        let list_age = self.last_listed.map(|listed| now.duration_since(listed));
        let is_list_old = list_age.is_none_or(|age| age > RETRY_PAUSE);
        if matches!(error, StoreError::HistoryGone) {
            journal.event("history_gone", &[("kind", &kind)]);
            // Lists immediately at first, but pauses if the revision of that list is already gone
            // too.
            if is_list_old {
                return;
            }
        } else if !self.store_lost {
            self.store_lost = true;
            journal.event("store_lost", &[("kind", &kind), ("cause", error)]);
        }
        // What a watch without an answer should have told may be overdue. Calls that were refused
        // would be refused again, and watches that break off one after the other are paused.
        let has_no_answer = matches!(error, StoreError::Unknown | StoreError::Unreachable);
        if was_watching && has_no_answer && is_list_old {
            let jitter = LIST_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
            return tokio::time::sleep(jitter).await;
        }
        self.pause().await;
    }

    async fn pause(&self) {
        let spread = rand::rng().random_range(0..=RETRY_PAUSE.as_millis() as u64 / 2);
        let pause = tokio::time::sleep(RETRY_PAUSE + Duration::from_millis(spread));
        // What was missed before the failure has been asked for in vain.
        if self.sources.newest_config.is_missing() {
            return pause.await;
        }
        tokio::select! {
            () = pause => {}
            () = self.config_missed() => {}
        }
    }
}
