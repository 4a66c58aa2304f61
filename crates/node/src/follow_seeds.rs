//! The part of a follower that polls seeds, and decides when to wait for them instead of listing
//! all upstreams from the store.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir_policy::relist::ListCost;
use firweir_policy::staleness::FleetReads;
use firweir_policy::staleness::PollLimits;
use firweir_policy::staleness::StalenessLimits;
use http::HeaderValue;
use http::Request;
use rand::Rng;

use crate::config_news::NewsAge;
use crate::config_news::NewsSource;
use crate::dialect::ObjectKind;
use crate::follow::ChangeBatch;
use crate::follow::Extent;
use crate::follow::FleetSize;
use crate::follow::Follower;
use crate::follow::Update;
use crate::interest::Subscription;
use crate::relay::MAX_HOLD;
use crate::relay::POLL_TIMEOUT;
use crate::relay::path_name_of;
use crate::relay_message::HOLD_HEADER;
use crate::relay_message::RELAY_PATH;
use crate::relay_message::RelayAnswer;
use crate::relay_message::RelayRequest;
use crate::roster::MEMBER_HEADER;

/// After a round in which no seed had an update, seeds are not polled again for this long;
/// meanwhile the node reads the store.
const SEEDS_PAUSE: Duration = Duration::from_secs(3);

/// Time for a round of polls of a node that cannot read the store instead, since its list would
/// cost too much.
const MAX_ROUND_TIME: Duration = Duration::from_millis(2 * POLL_TIMEOUT.as_millis() as u64);

/// After its start a node waits this long for its seeds before it reads the store: they may have
/// started at the same time and need a list of their own first.
const SEEDS_START_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause between two polls of seeds after a start.
const SEEDS_START_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Limits of a poll that is not urgent.
const MAX_POLL: PollLimits = PollLimits {
    hold: MAX_HOLD,
    timeout: POLL_TIMEOUT,
};

/// What a seed answered.
struct PolledAnswer {
    seed: SocketAddr,
    /// Time since boot at which it was polled.
    sent: Duration,
    /// Time since boot at which its answer was received.
    received: Duration,
    answer: RelayAnswer,
}

impl PolledAnswer {
    /// When the seed had last heard from the store, on the clock of this node.
    fn heard_at(&self) -> Option<Duration> {
        self.answer
            .heard_at_on_requester_clock(self.sent, self.received)
    }
}

impl Follower {
    /// Waits up to [`SEEDS_START_TIMEOUT`] for the first update from a seed; `None` if none came.
    pub(crate) async fn first_seed_update(&mut self) -> Option<Update> {
        let until = self.sources.clock.now() + SEEDS_START_TIMEOUT;
        let name = path_name_of(self.kind)?;
        loop {
            let time_left = until.saturating_duration_since(self.sources.clock.now());
            if time_left.is_zero() {
                return None;
            }
            let limits = PollLimits {
                timeout: POLL_TIMEOUT.min(time_left),
                ..MAX_POLL
            };
            let seed = self.sources.seeds.round_robin(self.next_seed)?;
            let polled = self.poll_seed(seed, name, limits).await;
            if self.update_subscription() {
                continue;
            }
            let update = polled.and_then(|polled| self.update_if_fresh(polled));
            if update.is_some() {
                return update;
            }
            self.next_seed += 1;
            tokio::time::sleep(SEEDS_START_RETRY_PAUSE).await;
        }
    }

    /// An update from the first seed that is up to date or, for a node that knows no upstreams, an
    /// outdated list; `None` if there is none, or none in time.
    pub(crate) async fn poll_seeds(&mut self) -> Option<Update> {
        let name = path_name_of(self.kind)?;
        let now = self.sources.clock.now();
        if self.seeds_paused_until.is_some_and(|after| after > now) {
            return None;
        }
        self.any_seed_answered = false;
        let mut outdated = None;
        for seeds_left in (1..=self.sources.seeds.current().polled.len()).rev() {
            let Some(limits) = self.poll_limits(now, seeds_left) else {
                break;
            };
            let seed = self.sources.seeds.round_robin(self.next_seed)?;
            let polled = self.poll_seed(seed, name, limits).await;
            // The subscription has changed, so no answer matches it.
            if self.update_subscription() {
                outdated = None;
                continue;
            }
            let is_up_to_date = |polled: &PolledAnswer| self.is_up_to_date(polled);
            if polled.as_ref().is_some_and(is_up_to_date) {
                self.relist.cancel();
                return polled.and_then(|polled| self.update_if_fresh(polled));
            }
            self.log_left(seed, polled.as_ref());
            outdated = polled.or(outdated);
            self.next_seed += 1;
        }
        self.seeds_paused_until = Some(now + SEEDS_PAUSE);
        outdated.and_then(|polled| self.first_outdated_update(polled))
    }

    /// Limits of the next poll in a round that began at `round_began`; `None` if the node has to read
    /// the store now.
    fn poll_limits(&self, round_began: Instant, seeds_left: usize) -> Option<PollLimits> {
        let time_left = if self.list_window().is_some() {
            let round_ends = round_began + MAX_ROUND_TIME;
            round_ends.saturating_duration_since(self.sources.clock.now())
        } else {
            self.time_to_store_read()
        };
        let ways_left = seeds_left + 1;
        self.staleness_limits().poll(time_left, ways_left, MAX_POLL)
    }

    /// Time until this node reads the store itself.
    pub(crate) fn time_to_store_read(&self) -> Duration {
        self.time_to_read_after(self.heard_at)
    }

    /// Time until this node reads the store itself if it knows all changes up to `heard_at`.
    fn time_to_read_after(&self, heard_at: Duration) -> Duration {
        let max_age = self.staleness_limits().max_age(self.spread_fraction);
        let read_at = heard_at.saturating_add(max_age);
        read_at.saturating_sub(self.sources.boot_clock.since_boot())
    }

    fn staleness_limits(&self) -> StalenessLimits {
        let bound = self.sources.settings.now().propagation_bound(self.kind);
        let bound = self.max_delay.map_or(bound, |delay| bound.min(delay));
        let fleet = FleetReads {
            nodes: self.fleet_size.map_or(0, |size| size.nodes),
            reads_per_s: self.sources.store_reads_per_s,
        };
        StalenessLimits::new(bound, fleet)
    }

    /// Logs that a seed did not bring this node up to date.
    fn log_left(&self, seed: SocketAddr, polled: Option<&PolledAnswer>) {
        let kind = format_args!("{:?}", self.kind);
        let age_ms = polled.map_or(NewsAge(None), |polled| {
            NewsAge(Some(Duration::from_millis(polled.answer.age_ms)))
        });
        let cause = if polled.is_some() {
            "outdated"
        } else {
            "silent"
        };
        let fields: [(&str, &dyn Display); 4] = [
            ("kind", &kind),
            ("seed", &seed),
            ("cause", &cause),
            ("age_ms", &age_ms),
        ];
        self.sources.journal.event("seed_left", &fields);
    }

    /// Whether this node waits for its seeds instead of listing all upstreams itself, because the
    /// lists of all nodes together would overload the store. If so, seeds that lag are polled
    /// again soon.
    pub(crate) fn waits_for_seeds(&mut self) -> bool {
        let window = self.list_window();
        // If no seed answers, only its own list brings this node up to date in time.
        let max_window = if self.any_seed_answered {
            Duration::MAX
        } else {
            self.sources.relay.max_age()
        };
        let window = window.map(|window| window.min(max_window));
        let now = self.sources.clock.now();
        let is_due = self.relist.is_due(now, window, rand::rng().random());
        if !is_due {
            self.seeds_paused_until = None;
        }
        !is_due
    }

    /// Time over which nodes spread their lists of all upstreams; `None` if this node does not need
    /// a list, or may list at once.
    fn list_window(&self) -> Option<Duration> {
        // A watch is a single call; only lists can overload the store.
        let needs_list = self.since.is_none() || self.has_gap;
        let polls_seeds = !self.sources.seeds.current().polled.is_empty();
        if self.kind != ObjectKind::Upstreams || !needs_list || !polls_seeds {
            return None;
        }
        let size = self.fleet_size?;
        let cost = ListCost {
            nodes: size.nodes,
            entries: size.upstreams,
            reads_per_s: self.sources.store_reads_per_s,
        };
        cost.jitter_window()
    }

    /// Whether a seed knows at least what this node knows, and heard from the store recently enough
    /// to be asked once more.
    fn is_up_to_date(&self, polled: &PolledAnswer) -> bool {
        let limits = self.staleness_limits();
        let allows_hold = |heard_at| limits.allows_hold(self.time_to_read_after(heard_at));
        self.sources.relay.is_fresh(polled.answer.age_ms)
            && polled.answer.revision >= self.newest_revision
            && polled.heard_at().is_some_and(allows_hold)
    }

    /// The update in a seed's answer; `None` if the answer is outdated.
    fn update_if_fresh(&self, polled: PolledAnswer) -> Option<Update> {
        let as_of = polled.answer.as_of_on_requester_clock(polled.sent);
        let is_up_to_date = self.is_up_to_date(&polled);
        is_up_to_date.then(|| self.to_update(polled, as_of))
    }

    /// An outdated list of upstreams, for a node that has just started and knows none: without
    /// it, its callers would be refused until the store is back.
    fn first_outdated_update(&self, polled: PolledAnswer) -> Option<Update> {
        let knows_none = self.kind == ObjectKind::Upstreams && self.newest_revision == 0;
        (knows_none && polled.answer.revision > 0).then(|| self.to_update(polled, None))
    }

    fn to_update(&self, polled: PolledAnswer, as_of: Option<Duration>) -> Update {
        let heard_at = polled.heard_at().unwrap_or_default();
        let PolledAnswer { seed, answer, .. } = polled;
        Update {
            revision: answer.revision,
            heard_at,
            batch: ChangeBatch {
                extent: Extent {
                    total_upstreams: Some(answer.total_upstreams),
                    is_complete: answer
                        .is_full_list
                        .then_some(self.subscription == Subscription::All),
                },
                as_of,
                source: NewsSource::Seed(seed),
                changes: answer.into_changes(),
            },
        }
    }

    /// The answer of a seed; `None` if it did not answer or the subscription has changed.
    async fn poll_seed(
        &mut self,
        seed: SocketAddr,
        name: &str,
        limits: PollLimits,
    ) -> Option<PolledAnswer> {
        let sent = self.sources.boot_clock.since_boot();
        let query = self.relay_request().to_query();
        let mut request = Request::new(Blocks::from(Bytes::new()));
        *request.uri_mut() = format!("{RELAY_PATH}{name}?{query}").parse().ok()?;
        let hold_ms = HeaderValue::from(limits.hold.as_millis() as u64);
        request.headers_mut().insert(HOLD_HEADER, hold_ms);
        // Requests for one kind are enough to announce this node as a member.
        if self.kind == ObjectKind::Duties
            && let Some(member) = self.sources.local_member.header()
        {
            request.headers_mut().insert(MEMBER_HEADER, member);
        }
        let connections = &self.sources.connections;
        let answer = tokio::select! {
            answer = connections.call(seed, request, limits.timeout) => answer.ok()?,
            () = self.subscription_changed() => return None,
        };
        let answer: RelayAnswer = serde_json::from_slice(answer.body()).ok()?;
        self.any_seed_answered = true;
        // A seed counts only the nodes that poll it; nodes are spread evenly over the seeds.
        let seeds = self.sources.seeds.current().polled.len();
        self.fleet_size = Some(FleetSize {
            nodes: answer.nodes.saturating_mul(seeds),
            upstreams: answer.total_upstreams,
        });
        let received = self.sources.boot_clock.since_boot();
        Some(PolledAnswer {
            seed,
            sent,
            received,
            answer,
        })
    }

    fn relay_request(&self) -> RelayRequest {
        let filter = match &self.subscription {
            Subscription::Filtered(filter) if self.kind == ObjectKind::Upstreams => {
                Some(filter.clone())
            }
            Subscription::Filtered(_) | Subscription::All => None,
        };
        RelayRequest {
            since: self.since.unwrap_or(0),
            filter,
            ..RelayRequest::default()
        }
    }
}
