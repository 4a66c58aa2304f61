//! The part of a follower that reads the store: lists, watches, and what follows a failed call.

use std::time::Duration;

use rand::Rng;

use crate::change::Change;
use crate::dialect::Freshness;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::follow::ChangeBatch;
use crate::follow::Extent;
use crate::follow::FollowOptions;
use crate::follow::Follower;
use crate::follow::Update;
use crate::interest::Subscription;
use crate::listing::Listed;
use crate::listing::list_sourced;
use crate::relay::SEED_WATCH_WAIT;
use crate::relay::path_name_of;
use crate::relay_message::RoutingDigest;
use crate::store::Sourced;

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

impl Follower {
    /// Reads the store: lists the kind at first, after a gap and when it has missed a change, and else
    /// watches for changes. `None` if the subscription has changed meanwhile.
    ///
    /// A failed watch is not resumed: a store that is about to compact its history leaves such a
    /// watch waiting for seconds without an answer.
    pub(crate) async fn read_store(
        &mut self,
        options: FollowOptions,
    ) -> Result<Option<Update>, StoreError> {
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
    pub(crate) fn is_followed(&self, object: &Object) -> bool {
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
    pub(crate) fn digest_of(&self, object: &Object) -> Option<RoutingDigest> {
        if self.kind != ObjectKind::Upstreams {
            return None;
        }
        let upstream = self.sources.dialect.upstream(object).ok()?;
        Some(RoutingDigest::of_upstream(&upstream))
    }

    /// Whether other nodes rely on what this one knows of the kind.
    fn is_relayed(&self) -> bool {
        self.sources.seeds.current().is_seed && path_name_of(self.kind).is_some()
    }

    /// Pause before a watch. While calls go through a node that may fail, nothing may be noticed any
    /// later, and a node that its seeds have kept waiting has less time left.
    fn pause_before_watch(&self, options: FollowOptions) -> Duration {
        if self.sources.store.is_detoured() {
            return Duration::ZERO;
        }
        let pause = if self.is_relayed() {
            options.seed_pause
        } else {
            options.pause
        };
        pause.min(self.time_to_store_read())
    }

    /// How old answers may be. Other nodes rely on a seed's data to be fresh, except for the homes of
    /// models.
    fn freshness(&self, options: FollowOptions) -> Freshness {
        if self.is_relayed() && self.kind != ObjectKind::Duties {
            Freshness::Newest
        } else {
            options.freshness
        }
    }

    /// How long a watch waits, after this pause.
    fn watch_wait(
        &self,
        options: FollowOptions,
        freshness: Freshness,
        pause: Duration,
    ) -> Duration {
        let has_seeds = !self.sources.seeds.current().polled.is_empty();
        let wait = match freshness {
            // Includes the pause, so that the age of a seed's data stays bounded.
            _ if self.is_relayed() => SEED_WATCH_WAIT.saturating_sub(pause),
            // Nodes that use seeds try them again soon. A watch that has nothing to report confirms
            // the state only at its end, and their seeds may have taken most of the time for that.
            _ if has_seeds => SEED_WATCH_WAIT.min(self.time_to_store_read()),
            Freshness::Newest => {
                let max_wait = self.sources.store.watch_limits().wait;
                max_wait.saturating_sub(pause)
            }
            Freshness::Seconds => STALE_WATCH_WAIT,
        };
        options
            .max_watch
            .map_or(wait, |max_watch| wait.min(max_watch))
    }

    async fn watch(&self, since: u64, options: FollowOptions) -> Result<Update, StoreError> {
        let pause = self.pause_before_watch(options);
        tokio::time::sleep(pause).await;
        let freshness = self.freshness(options);
        let wait = self.watch_wait(options, freshness, pause);
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

    pub(crate) async fn record_failure(&mut self, error: &StoreError) {
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

    pub(crate) async fn pause(&self) {
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
