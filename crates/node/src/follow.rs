//! Follows one kind of objects for as long as the process lives: from the seeds of
//! the settings where the deployment allows it, else from the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::relist::RelistTimer;
use rand::Rng;

use crate::change::Change;
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
use crate::outage::Outage;
use crate::relay::Relay;
use crate::relay::RoutingDigest;
use crate::relay::SEED_WATCH_WAIT;
use crate::relay::path_name_of;
use crate::roster::LocalMember;
use crate::store::Store;

/// How long one watch may wait. A store that drops its history lets the watches that
/// wait then hear nothing and does not cut them all. This wait and a list have to fit into
/// the time in which a change comes into force.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How long a watch may wait of what may be known seconds late. Such an answer costs a
/// tenth, and may be older than the wait in a bad spell.
const STALE_WATCH_WAIT: Duration = Duration::from_secs(3);

/// Pause after a failed call, up to half of it more at random: the store's
/// outages take seconds, each call costs, and all nodes would come at once. A store
/// that drops its history answers at once, for seconds.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Tries of one page of a list. Without them one failed page restarts the whole list, which
/// then never completes while the store is busy.
const PAGE_TRIES: u32 = 3;

/// Shortest pause before a page is requested again; up to the same time is added as jitter.
const PAGE_PAUSE: Duration = Duration::from_millis(150);

/// How a kind is followed now; asked anew before each call.
#[derive(Debug, Clone, Copy)]
pub struct FollowOptions {
    /// How old its answers may be.
    pub freshness: Freshness,
    /// Pause between two watches. Changes in between come in one answer, and each
    /// answer costs a call on every node.
    pub pause: Duration,
    /// The same on a seed.
    pub seed_pause: Duration,
    /// Longest wait of a watch, where answers have to come more often than usual.
    pub max_watch: Option<Duration>,
}

impl FollowOptions {
    /// Every change at once.
    #[must_use]
    pub const fn immediate() -> Self {
        Self {
            freshness: Freshness::Newest,
            pause: Duration::ZERO,
            seed_pause: Duration::ZERO,
            max_watch: None,
        }
    }

    /// Changes that may be known seconds late, at a tenth of the price.
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

/// Nodes that pass on what the store shows; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Seeds {
    current: Arc<ArcSwap<SeedSet>>,
}

/// Seeds as they are now.
#[derive(Debug, Clone, Default)]
pub struct SeedSet {
    /// Seeds to ask, without this node; none where the store is always asked.
    pub polled: Vec<SocketAddr>,
    /// All seeds but this node, where they are asked at all.
    pub others: Vec<SocketAddr>,
    /// This node is a seed that others ask.
    pub is_seed: bool,
}

impl Seeds {
    /// Other seeds from now on.
    pub fn set(&self, seeds: SeedSet) {
        self.current.store(Arc::new(seeds));
    }

    /// The seeds now.
    #[must_use]
    pub fn current(&self) -> Arc<SeedSet> {
        self.current.load_full()
    }

    /// One of the seeds, by turns.
    pub(crate) fn round_robin(&self, index: usize) -> Option<SocketAddr> {
        let polled = &self.current.load().polled;
        polled.get(index.checked_rem(polled.len())?).copied()
    }
}

/// Where kinds are followed from; cheap to clone.
#[derive(Debug, Clone)]
pub struct Sources {
    /// The platform's store.
    pub store: Store,
    /// Connections to seeds.
    pub connections: ConnectionPool,
    /// Seeds to ask, and whether others ask this node.
    pub seeds: Seeds,
    /// What this node passes on.
    pub relay: Arc<Relay>,
    /// What this node wants to know of upstreams.
    pub interest: Arc<Interest>,
    /// What it tells seeds of itself.
    pub local_member: LocalMember,
    /// Reads what entries of upstreams say.
    pub dialect: Arc<dyn Dialect>,
    /// Whether the store turns this node away.
    pub outage: Outage,
    /// Reads per second that the store can serve to all nodes together.
    pub store_reads_per_s: f64,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Events.
    pub journal: Journal,
}

/// What a follower tells of its kind.
#[derive(Debug)]
pub struct ChangeBatch {
    /// What has changed, in order.
    pub changes: Vec<Change>,
    /// With these changes all that the store had then is known, on the clock that counts
    /// suspended time. A watch counts from when it was sent: one that waits may hear nothing
    /// while the store drops its history. `None` if the answer may be old.
    pub as_of: Option<Duration>,
    /// What of the kind is followed.
    pub extent: Extent,
}

/// How much of a kind's list a node is told of; `None` for what is as before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Extent {
    /// Objects in all.
    pub total_objects: Option<usize>,
    /// All of them are told, not only a part.
    pub is_complete: Option<bool>,
}

/// One kind as its follower knows it.
pub(crate) struct Follower {
    pub(crate) sources: Sources,
    pub(crate) kind: ObjectKind,
    /// Revision of the store up to which changes are known.
    pub(crate) since: Option<u64>,
    /// Highest revision of the store that was known at any time.
    pub(crate) newest: u64,
    /// The store did not answer the last call.
    pub(crate) lost: bool,
    /// A watch broke off, so that changes may have been missed.
    pub(crate) gap: bool,
    /// When the kind was last listed.
    pub(crate) listed: Option<Instant>,
    /// Seeds are left alone until then.
    pub(crate) seeds_after: Option<Instant>,
    /// Seed to ask next.
    pub(crate) next_seed: usize,
    /// What is followed of upstreams.
    pub(crate) subscription: Subscription,
    /// Fleet size as a seed last reported it; `None` before the first answer.
    pub(crate) fleet_size: Option<FleetSize>,
    /// Whether any seed answered in the last round of questions, even with outdated data.
    pub(crate) seeds_answer: bool,
    /// Decides when this node lists all upstreams itself.
    pub(crate) relist: RelistTimer,
}

/// Size of the fleet as reported by a seed: nodes, and objects of the followed kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetSize {
    pub(crate) nodes: usize,
    pub(crate) objects: usize,
}

/// Changes up to a revision.
pub(crate) struct Update {
    pub(crate) revision: u64,
    pub(crate) batch: ChangeBatch,
}

/// Follows a kind and tells `take` of its changes, as they come together. Never ends.
pub async fn follow(
    sources: Sources,
    kind: ObjectKind,
    how: impl Fn() -> FollowOptions,
    mut take: impl FnMut(ChangeBatch),
) {
    let next_seed = rand::rng().random_range(0..sources.seeds.current().polled.len().max(1));
    let subscription = sources.interest.subscription();
    let mut follower = Follower {
        subscription,
        sources,
        kind,
        since: None,
        newest: 0,
        lost: false,
        gap: false,
        listed: None,
        seeds_after: None,
        next_seed,
        fleet_size: None,
        seeds_answer: false,
        relist: RelistTimer::default(),
    };
    follower.await_need().await;
    let mut passed_on = follower.await_seeds().await;
    loop {
        follower.await_need().await;
        follower.take_interest();
        if passed_on.is_none() {
            passed_on = follower.ask_seeds().await;
        }
        let update = match passed_on.take() {
            Some(update) => update,
            None if follower.leaves_list_to_seeds() => {
                follower.pause().await;
                continue;
            }
            None => match follower.ask_store(how()).await {
                Ok(update) => update,
                Err(error) => {
                    follower.note_failure(&error).await;
                    continue;
                }
            },
        };
        follower.sources.outage.record_answer();
        follower.newest = follower.newest.max(update.revision);
        follower.since = Some(follower.newest);
        take(update.batch);
    }
}

impl Follower {
    /// Versions of weights say something to nodes that follow engines; each is news to all
    /// that ask, and trainers name some every second.
    async fn await_need(&self) {
        if self.kind == ObjectKind::WeightVersions {
            self.sources.interest.wait_until_engines_followed().await;
        }
    }

    /// A node that wants to know something else than before needs the whole list once.
    /// Tells whether it does.
    pub(crate) fn take_interest(&mut self) -> bool {
        let subscription = self.sources.interest.subscription();
        let is_new = self.kind == ObjectKind::Upstreams && subscription != self.subscription;
        if is_new {
            self.subscription = subscription;
            self.since = None;
        }
        is_new
    }

    /// What the store shows: a list at first and after a gap, then changes.
    ///
    /// A watch that broke off is not begun again: a store that is about to drop its
    /// history lets such a watch wait and tells it nothing, for seconds.
    async fn ask_store(&mut self, how: FollowOptions) -> Result<Update, StoreError> {
        self.sources.outage.wait_while_probed(self.kind).await;
        let update = match self.since.filter(|_| !self.gap) {
            // The newest list: while the store drops its history, the revision of a
            // stale one is already gone, and no watch could start from it.
            None => {
                let sent = self.sources.boot_clock.since_boot();
                let (mut objects, revision) =
                    list(&self.sources.store, self.kind, Freshness::Newest).await?;
                self.listed = Some(self.sources.clock.now());
                let extent = Extent {
                    total_objects: Some(objects.len()),
                    is_complete: Some(self.subscription == Subscription::All),
                };
                objects.retain(|object| self.is_wanted(object));
                Update {
                    revision,
                    batch: ChangeBatch {
                        extent,
                        changes: vec![Change::All(objects)],
                        as_of: Some(sent),
                    },
                }
            }
            Some(since) => self.watch(since, how).await?,
        };
        self.gap = false;
        if std::mem::take(&mut self.lost) {
            let kind = format_args!("{:?}", self.kind);
            self.sources
                .journal
                .event("store_regained", &[("kind", &kind)]);
        }
        let now = self.sources.clock.now();
        if self.sources.seeds.current().is_seed {
            let (relay, changes) = (&self.sources.relay, &update.batch.changes);
            let digest_of = |object: &Object| self.digest_of(object);
            relay.apply(now, self.kind, update.revision, changes, digest_of);
            relay.record_as_of(self.kind, update.batch.as_of);
        }
        Ok(update)
    }

    /// Whether this node follows an object that the store shows. A node must not know what it
    /// does not follow: once it asks a seed again it hears no change of that.
    fn is_wanted(&self, object: &Object) -> bool {
        match &self.subscription {
            Subscription::Filtered(filter) if self.kind == ObjectKind::Upstreams => {
                let routing = self.digest_of(object);
                routing.is_none_or(|routing| filter.matches(routing))
            }
            Subscription::Filtered(_) | Subscription::All => true,
        }
    }

    /// Whereabouts that an entry tells; none if it cannot be read.
    fn digest_of(&self, object: &Object) -> Option<RoutingDigest> {
        if self.kind != ObjectKind::Upstreams {
            return None;
        }
        let upstream = self.sources.dialect.upstream(object).ok()?;
        Some(RoutingDigest::of_upstream(&upstream))
    }

    async fn watch(&self, since: u64, how: FollowOptions) -> Result<Update, StoreError> {
        let seeds = self.sources.seeds.current();
        let is_seed = seeds.is_seed && path_name_of(self.kind).is_some();
        let many = !seeds.polled.is_empty();
        let pause = if is_seed { how.seed_pause } else { how.pause };
        tokio::time::sleep(pause).await;
        // Others trust what a seed passes on. Homes of models may be old for them too.
        let freshness = if is_seed && self.kind != ObjectKind::Duties {
            Freshness::Newest
        } else {
            how.freshness
        };
        let wait = match freshness {
            // Nodes that may ask seeds look for one again soon.
            // With its pause a seed's knowledge stays as young.
            _ if is_seed => SEED_WATCH_WAIT.saturating_sub(pause),
            _ if many => SEED_WATCH_WAIT,
            Freshness::Newest => WATCH_WAIT,
            Freshness::Seconds => STALE_WATCH_WAIT,
        };
        let wait = how.max_watch.map_or(wait, |most| wait.min(most));
        let watch = StoreCall::Watch {
            kind: self.kind,
            since,
            wait,
            freshness,
        };
        let sent = self.sources.boot_clock.since_boot();
        match self.sources.store.call(&watch).await? {
            StoreAnswer::Changes {
                changes, revision, ..
            } => {
                let changes = changes.into_iter().map(|change| {
                    if change.deleted || !self.is_wanted(&change.object) {
                        Change::Removed(change.object.name)
                    } else {
                        Change::Put(change.object)
                    }
                });
                Ok(Update {
                    revision,
                    batch: ChangeBatch {
                        extent: Extent::default(),
                        changes: changes.collect(),
                        as_of: (freshness == Freshness::Newest).then_some(sent),
                    },
                })
            }
            _ => Err(StoreError::Unknown),
        }
    }

    async fn note_failure(&mut self, error: &StoreError) {
        let kind = format!("{:?}", self.kind);
        let journal = &self.sources.journal;
        self.gap = true;
        self.sources.outage.record_failure(self.kind, error);
        if matches!(error, StoreError::HistoryGone) {
            journal.event("history_gone", &[("kind", &kind)]);
            let now = self.sources.clock.now();
            let listed = self.listed.map(|listed| now.duration_since(listed));
            // The first time a list follows at once; a list whose own revision is gone
            // again has to wait.
            if listed.is_none_or(|age| age > RETRY_PAUSE) {
                return;
            }
        } else if !self.lost {
            self.lost = true;
            journal.event("store_lost", &[("kind", &kind), ("cause", error)]);
        }
        self.pause().await;
    }

    async fn pause(&self) {
        let spread = rand::rng().random_range(0..=RETRY_PAUSE.as_millis() as u64 / 2);
        tokio::time::sleep(RETRY_PAUSE + Duration::from_millis(spread)).await;
    }
}

/// Requests one page of a list. Pages after the first are tried up to [`PAGE_TRIES`] times.
async fn page(store: &Store, call: &StoreCall, is_later: bool) -> Result<StoreAnswer, StoreError> {
    let mut tries = if is_later { PAGE_TRIES } else { 1 };
    loop {
        let answer = store.call(call).await;
        tries -= 1;
        if answer.is_ok() || tries == 0 {
            return answer;
        }
        let pause = PAGE_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0));
        tokio::time::sleep(pause).await;
    }
}

/// All objects of a kind, and the revision to watch from. With several pages
/// that is the first page's: what changed between pages is then seen twice, and
/// nothing is missed.
///
/// # Errors
///
/// The store did not answer.
pub async fn list(
    store: &Store,
    kind: ObjectKind,
    freshness: Freshness,
) -> Result<(Vec<Object>, u64), StoreError> {
    let mut all: Vec<Object> = Vec::new();
    let mut since = None;
    loop {
        let call = StoreCall::List {
            kind,
            after: all
                .last()
                .map_or_else(String::new, |last| last.name.clone()),
            freshness,
        };
        match page(store, &call, !all.is_empty()).await? {
            StoreAnswer::Page {
                objects,
                more,
                revision,
                ..
            } => {
                let ended = !more || objects.is_empty();
                all.extend(objects);
                let since = *since.get_or_insert(revision);
                if ended {
                    return Ok((all, since));
                }
            }
            _ => return Err(StoreError::Unknown),
        }
    }
}
