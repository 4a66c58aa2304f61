//! Counts requests on this node and sends the counts to the node that reports them.
//!
//! Each node counts its own requests. Soon after a change it sends all counts that are not
//! reported yet to the holder of the duty, so that a new holder receives them in full. A seed
//! node keeps a copy, from which a new holder gets the counts of nodes that are gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::process::clock::Clock;
use http::Method;
use http::Request;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::duty::BootClock;
use crate::holder::DutyHolder;
use crate::reload::CurrentSettings;
use crate::usage::clock_offset::ClockOffset;
use crate::usage::fleet_counts::FleetCounts;
use crate::usage::fleet_counts::ProcessCounts;
use crate::usage::tally::Tally;
use crate::usage::tally::Window;

/// Path at which a node receives counts of others and returns all that it has received.
pub const USAGE_PATH: &str = "/peer/usage";

/// Delay before new counts are sent, so that one message carries several. They are lost if the
/// node dies before.
const SEND_DELAY: Duration = Duration::from_millis(300);

/// Interval at which unreported counts are sent again, because the holder may have restarted.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a node without unreported counts sends its time. Seed nodes use
/// `RESEND_INTERVAL` instead, so that a dead holder is detected even without any requests.
const IDLE_SEND_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before a message that the holder did not answer is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(800);

/// Timeout of a message to another node.
const SEND_TIMEOUT: Duration = Duration::from_millis(700);

/// Answer of a node that has received counts.
#[derive(Debug, Serialize, Deserialize)]
struct CountsReply {
    /// True time by the clocks of all nodes, in milliseconds since 1970.
    true_time_ms: u64,
    /// The last reported window; `None` if none is known.
    reported: Option<Window>,
}

#[derive(Debug)]
struct State {
    own: Tally,
    /// Offset of true time by this node's own clock.
    own_offset: ClockOffset,
    /// Offset of true time by the clocks of all nodes; `None` until it is known.
    fleet_offset: Option<ClockOffset>,
    /// Counts received from other nodes, and from this one while it is the holder.
    fleet_counts: FleetCounts,
    /// The last reported window; `None` if none is known.
    reported_through: Option<Window>,
    /// Whether a request was counted since the counts were last sent.
    has_new_counts: bool,
}

#[derive(Debug)]
struct Inner {
    process: String,
    settings: CurrentSettings,
    connections: ConnectionPool,
    boot_clock: Arc<dyn BootClock>,
    state: Mutex<State>,
    counted: Notify,
}

/// Dependencies of a [`UsageCounter`].
#[derive(Debug)]
pub struct UsageCounterParts {
    /// Id of this process.
    pub process: String,
    /// Settings, which contain the length of windows and the seed nodes.
    pub settings: CurrentSettings,
    /// Connections to other nodes.
    pub connections: ConnectionPool,
    /// The clock with the time of day.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
}

/// Counts requests of accounts. Cheap to clone.
#[derive(Debug, Clone)]
pub struct UsageCounter {
    inner: Arc<Inner>,
}

/// A request that is sent to an upstream. It is counted when this value is dropped, even if its
/// answer fails or its client leaves, unless the upstream says that it did not run it.
#[derive(Debug)]
pub struct TrackedRequest {
    usage_counter: UsageCounter,
    account: Option<String>,
    at: Duration,
}

impl TrackedRequest {
    /// Excludes the request from the counts because the upstream did not run it.
    pub fn record_not_run(mut self) {
        self.account = None;
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            self.usage_counter.count(self.at, account);
        }
    }
}

impl UsageCounter {
    /// A counter without any counts. Reads the time of day.
    #[must_use]
    pub fn new(parts: UsageCounterParts) -> Self {
        let own_offset =
            ClockOffset::between(parts.clock.since_epoch(), parts.boot_clock.since_boot());
        let state = State {
            own: Tally::default(),
            own_offset,
            fleet_offset: None,
            fleet_counts: FleetCounts::default(),
            reported_through: None,
            has_new_counts: false,
        };
        let inner = Inner {
            process: parts.process,
            settings: parts.settings,
            connections: parts.connections,
            boot_clock: parts.boot_clock,
            state: Mutex::new(state),
            counted: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Tracks a request that is about to be sent to an upstream; one without an account is not
    /// counted.
    #[must_use]
    pub fn track_request(&self, account: Option<&str>) -> TrackedRequest {
        TrackedRequest {
            usage_counter: self.clone(),
            account: account.map(str::to_owned),
            at: self.inner.boot_clock.since_boot(),
        }
    }

    fn count(&self, at: Duration, account: &str) {
        let settings = self.inner.settings.now();
        let Some(usage) = &settings.usage else {
            return;
        };
        let mut state = self.lock();
        let window = Window::of(state.offset().true_time(at), usage.window());
        // A reported window is final.
        if state
            .reported_through
            .is_some_and(|reported| window <= reported)
        {
            return;
        }
        state.own.count(window, account);
        state.has_new_counts = true;
        drop(state);
        self.inner.counted.notify_one();
    }

    /// True time since 1970, to this node's knowledge.
    #[must_use]
    pub fn true_time(&self) -> Duration {
        let now = self.inner.boot_clock.since_boot();
        self.lock().offset().true_time(now)
    }

    /// Never returns; sends this node's counts to the holder and a seed node.
    pub async fn run(self, holder: DutyHolder) {
        loop {
            if self.inner.settings.now().usage.is_none() {
                tokio::time::sleep(IDLE_SEND_INTERVAL).await;
                continue;
            }
            let pause = match self.send_counts(&holder).await {
                Ok(()) if self.must_resend() => RESEND_INTERVAL,
                Ok(()) => IDLE_SEND_INTERVAL,
                Err(_) => RETRY_DELAY,
            };
            let counted = self.inner.counted.notified();
            // All counts are sent, whether the pause has ended or there are new ones.
            if tokio::time::timeout(pause, counted).await.is_ok() {
                tokio::time::sleep(SEND_DELAY).await;
            }
        }
    }

    /// Whether this node has unreported counts or, as a seed node, watches the holder.
    fn must_resend(&self) -> bool {
        let settings = self.inner.settings.now();
        let is_seed = settings
            .peer_listen
            .is_some_and(|own_address| settings.seeds.contains(&own_address));
        is_seed || self.lock().own.first_window().is_some()
    }

    /// Sends this node's counts to the holder, if one is known. If some are new, sends all of them
    /// to a seed node too.
    async fn send_counts(&self, duty: &DutyHolder) -> Result<(), CallError> {
        let (counts, has_new_counts) = {
            let mut state = self.lock();
            let has_new_counts = std::mem::take(&mut state.has_new_counts);
            (self.own_counts(&state), has_new_counts)
        };
        let holder = duty.address();
        let own_address = self.inner.settings.now().peer_listen;
        if let Some(seed) = self
            .copy_seed(holder, own_address)
            .filter(|_| has_new_counts)
        {
            let (usage_counter, counts) = (self.clone(), counts.clone());
            drop(tokio::spawn(async move {
                // The holder has the counts too, and the next copy contains them again.
                drop(usage_counter.send_to(seed, &counts).await);
            }));
        }
        if duty.holds_duty() {
            self.merge_counts(counts);
            self.update_fleet_offset();
            return Ok(());
        }
        let Some(holder) = holder else {
            return Ok(());
        };
        let reply = self.send_to(holder, &counts).await;
        duty.record_call(reply.is_ok());
        self.apply_reply(&reply?);
        Ok(())
    }

    fn own_counts(&self, state: &State) -> ProcessCounts {
        let now = self.inner.boot_clock.since_boot();
        ProcessCounts {
            process: self.inner.process.clone(),
            own_time_ms: state.own_offset.true_time(now).as_millis() as u64,
            tally: state.own.clone(),
        }
    }

    /// The seed node that keeps a copy; `None` if there is no other than the holder and this node.
    fn copy_seed(
        &self,
        holder: Option<SocketAddr>,
        own_address: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let settings = self.inner.settings.now();
        let seeds = settings.seeds.iter().copied();
        let mut others = seeds.filter(|seed| Some(*seed) != holder && Some(*seed) != own_address);
        others.next()
    }

    async fn send_to(
        &self,
        node: SocketAddr,
        counts: &ProcessCounts,
    ) -> Result<CountsReply, CallError> {
        // Strings and numbers only, so that encoding cannot fail.
        let body = serde_json::to_vec(counts).unwrap_or_default();
        let mut request = Request::new(Blocks::from(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(USAGE_PATH);
        let answer = self
            .inner
            .connections
            .call(node, request, SEND_TIMEOUT)
            .await?;
        serde_json::from_slice(answer.body()).map_err(|_malformed| CallError::Broken)
    }

    fn apply_reply(&self, reply: &CountsReply) {
        let now = self.inner.boot_clock.since_boot();
        let true_time = Duration::from_millis(reply.true_time_ms);
        let mut state = self.lock();
        state.fleet_offset = Some(ClockOffset::between(true_time, now));
        state.record_reported(reply.reported);
    }

    /// Merges counts that another node has sent and returns the answer; `None` if they are
    /// malformed.
    pub fn handle_counts(&self, body: &[u8]) -> Option<Bytes> {
        let counts: ProcessCounts = serde_json::from_slice(body).ok()?;
        self.merge_counts(counts);
        let state = self.lock();
        let now = self.inner.boot_clock.since_boot();
        let offset = state.fleet_counts.offset().unwrap_or(state.own_offset);
        let reply = CountsReply {
            true_time_ms: offset.true_time(now).as_millis() as u64,
            reported: state.reported_through,
        };
        serde_json::to_vec(&reply).ok().map(Bytes::from)
    }

    /// All counts that this node has received, as JSON, for a new holder.
    #[must_use]
    pub fn snapshot(&self) -> Bytes {
        let now = self.inner.boot_clock.since_boot();
        let snapshot = self.lock().fleet_counts.snapshot(now);
        // Strings and numbers only, so that encoding cannot fail.
        serde_json::to_vec(&snapshot).unwrap_or_default().into()
    }

    fn merge_counts(&self, counts: ProcessCounts) {
        let now = self.inner.boot_clock.since_boot();
        self.lock().fleet_counts.apply(counts, now);
    }

    fn update_fleet_offset(&self) {
        let mut state = self.lock();
        state.fleet_offset = state.fleet_counts.offset();
    }

    /// Merges the counts that seed nodes have received, for a new holder.
    pub async fn fetch_snapshots(&self) {
        let settings = self.inner.settings.now();
        let seeds = settings.seeds.iter().copied();
        for seed in seeds.filter(|seed| Some(*seed) != settings.peer_listen) {
            let mut request = Request::new(Blocks::from(Bytes::new()));
            *request.uri_mut() = http::Uri::from_static(USAGE_PATH);
            let Ok(answer) = self
                .inner
                .connections
                .call(seed, request, SEND_TIMEOUT)
                .await
            else {
                continue;
            };
            let received: Result<Vec<ProcessCounts>, _> = serde_json::from_slice(answer.body());
            received
                .unwrap_or_default()
                .into_iter()
                .for_each(|counts| self.merge_counts(counts));
        }
    }

    /// Calls `read` with the counts received from all processes.
    pub(crate) fn with_fleet_counts<T>(&self, read: impl FnOnce(&mut FleetCounts) -> T) -> T {
        read(&mut self.lock().fleet_counts)
    }

    /// Records that the windows up to and including this one are reported.
    pub(crate) fn record_reported(&self, window: Window) {
        self.lock().record_reported(Some(window));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn offset(&self) -> ClockOffset {
        self.fleet_offset.unwrap_or(self.own_offset)
    }

    fn record_reported(&mut self, window: Option<Window>) {
        if let Some(window) = window.filter(|window| Some(*window) > self.reported_through) {
            self.reported_through = Some(window);
            self.own.forget_through(window);
            self.fleet_counts.forget_through(window);
        }
    }
}
