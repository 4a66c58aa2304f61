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
use crate::dialect::ObjectKind;
use crate::duty::BootClock;
use crate::interest::Interest;
use crate::interest::Subscription;
use crate::newest_config::NewestConfig;
use crate::outage::Outage;
use crate::relay::Relay;
use crate::reload::CurrentSettings;
use crate::roster::LocalMember;
use crate::seeds::Seeds;
use crate::store::Store;

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
    /// Upper bound of the delay with which changes are learnt of, if it is below that of the kind.
    pub max_delay: Option<Duration>,
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
            max_delay: None,
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
            max_delay: None,
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
    /// Largest delay with which changes are learnt of, if it is below that of the kind.
    pub(crate) max_delay: Option<Duration>,
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
        max_delay: None,
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
        let options = options();
        follower.max_delay = options.max_delay;
        if seed_update.is_none() {
            seed_update = follower.poll_seeds().await;
        }
        let update = match seed_update.take() {
            Some(update) => update,
            None if follower.waits_for_seeds() => {
                follower.pause().await;
                continue;
            }
            None => match follower.read_store(options).await {
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
}
