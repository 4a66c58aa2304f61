//! Tells the failures that a node saw to the other nodes, through the seeds of the settings.
//!
//! The store takes seconds to spread them while it is slow or away, and meanwhile each node would
//! send a request on that has crashed upstreams under others. A node posts its failures to every
//! seed, and has one seed answer as soon as that learns of others; seeds ask one another. One seed
//! that a node reaches is enough. Without failures a node makes one call in some seconds.
//!
//! The same calls state the newest revision of the configuration that either side knows of, and a seed
//! answers as soon as it has a newer one than the node that asks.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::client::within;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::failed_requests::FailedRequests;
use crate::failure_log::FailureNews;
use crate::failure_log::LogPosition;
use crate::failure_records::NodeFailures;
use crate::newest_config::NewestConfig;
use crate::reload::CurrentSettings;

/// Path at which a node takes failures that another one saw.
pub(crate) const FAILURES_PATH: &str = "/peer/failures";

/// Path at which a node answers with what it learns after a [`LogPosition`].
pub(crate) const FAILURE_NEWS_PATH: &str = "/peer/failure-news";

/// Largest body of failures: a full log.
pub(crate) const MAX_FAILURES_BYTES: usize = 1 << 20;

/// How long a seed holds a request for which it has no news; up to half as long, by a jitter that
/// keeps the nodes apart.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// Timeout of such a request.
const NEWS_TIMEOUT: Duration = Duration::from_secs(12);

/// Timeout of a post.
const POST_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest time between two posts, and between two requests for news: under a burst of failures
/// each carries several.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed request, times the number of failures in a row; up to the same time is
/// added as jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Largest factor of [`RETRY_PAUSE`].
const MAX_RETRY_FACTOR: u32 = 8;

/// Number of other seeds that a seed asks at the same time; settings name at most three seeds.
const MAX_ASKED: usize = 2;

/// A node's request for news.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct NewsRequest {
    #[serde(flatten)]
    position: LogPosition,
    /// Newest revision of the configuration that the node knows of; `None` from older releases.
    #[serde(default)]
    config_revision: Option<u64>,
}

/// The answer to a [`NewsRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct News {
    #[serde(flatten)]
    failures: FailureNews,
    /// Newest revision of the configuration that the seed has seen; 0 from older releases.
    #[serde(default)]
    config_revision: u64,
}

/// Exchanges failures with the seeds; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct FailureExchange {
    pub(crate) failed_requests: FailedRequests,
    pub(crate) newest_config: NewestConfig,
    pub(crate) settings: CurrentSettings,
    pub(crate) connections: ConnectionPool,
}

impl FailureExchange {
    /// Posts news and asks for them; never returns.
    pub(crate) async fn run(self) {
        let asking = (0..MAX_ASKED).map(|index| self.ask_for_news(index));
        let asking = futures_util::future::join_all(asking);
        tokio::join!(self.post_news(), asking);
    }

    /// Answers with what this node learns after a position; waits while there is nothing.
    pub(crate) async fn news_after(&self, request: NewsRequest) -> News {
        if let Some(revision) = request.config_revision {
            self.newest_config.record_told(revision);
        }
        // A timeout needs no handling: the answer then holds nothing new.
        let hold = MAX_HOLD.mul_f64(rand::rng().random_range(0.5..1.0));
        _ = within(hold, self.wait_for_news(&request)).await;
        News {
            failures: self.failed_requests.news_after(request.position),
            config_revision: self.newest_config.seen(),
        }
    }

    async fn wait_for_news(&self, request: &NewsRequest) {
        loop {
            let failures = self.failed_requests.inner.log_changed.notified();
            let config = self.newest_config.change();
            tokio::pin!(failures, config);
            // Registers before the check, so that news in between are not missed.
            failures.as_mut().enable();
            config.as_mut().enable();
            if self.has_news(request) {
                return;
            }
            tokio::select! {
                () = failures => {}
                () = config => {}
            }
        }
    }

    fn has_news(&self, request: &NewsRequest) -> bool {
        let has_newer_config = request
            .config_revision
            .is_some_and(|revision| self.newest_config.seen() > revision);
        let failures = self.failed_requests.news_after(request.position);
        has_newer_config || !failures.seen.is_empty()
    }

    /// The other seeds, and whether this node is one.
    fn seeds(&self) -> (Vec<SocketAddr>, bool) {
        let settings = self.settings.now();
        let is_this = |seed: &SocketAddr| settings.peer_listen == Some(*seed);
        let is_seed = settings.seeds.iter().any(is_this);
        let others = settings.seeds.iter().copied();
        (others.filter(|seed| !is_this(seed)).collect(), is_seed)
    }

    /// Posts what this node sees to the seeds for ever.
    async fn post_news(&self) {
        let mut failures = 0;
        loop {
            self.failed_requests.wait_for_untold().await;
            let untold = self.failed_requests.take_untold();
            if self.post_to_seeds(&untold).await {
                failures = 0;
                tokio::time::sleep(MIN_INTERVAL).await;
            } else {
                self.failed_requests.restore_untold(untold);
                failures += 1;
                tokio::time::sleep(retry_pause(failures)).await;
            }
        }
    }

    /// Returns whether the changes have reached a seed; this node may be one.
    async fn post_to_seeds(&self, untold: &NodeFailures) -> bool {
        let (seeds, is_seed) = self.seeds();
        if untold.is_empty() || seeds.is_empty() {
            return true;
        }
        let posts = seeds.into_iter().map(|seed| self.post(seed, untold));
        let posted = futures_util::future::join_all(posts).await;
        if is_seed || posted.iter().any(Result::is_ok) {
            return true;
        }
        for error in posted.iter().filter_map(|posted| posted.as_ref().err()) {
            self.failed_requests
                .log_problem("failures_untold", "seeds", error);
        }
        false
    }

    async fn post(&self, seed: SocketAddr, untold: &NodeFailures) -> Result<(), CallError> {
        let request = request(FAILURES_PATH, untold)?;
        let calling = self.connections.call(seed, request, POST_TIMEOUT);
        match calling.await?.status() {
            StatusCode::OK => Ok(()),
            _ => Err(CallError::Broken),
        }
    }

    /// Asks for news for ever: a seed asks the other seed with this index, another node asks one
    /// seed after the other until one answers.
    async fn ask_for_news(&self, index: usize) {
        let mut offset = rand::rng().random_range(0..=MAX_ASKED);
        let mut position = LogPosition::default();
        let mut failures = 0;
        loop {
            let (seeds, is_seed) = self.seeds();
            let asked = match seeds.len() {
                0 => None,
                _ if is_seed => seeds.get(index),
                count => seeds.get(offset % count).filter(|_| index == 0),
            };
            let Some(asked) = asked else {
                tokio::time::sleep(MAX_HOLD).await;
                continue;
            };
            match self.ask(*asked, position).await {
                Ok(news) => {
                    failures = 0;
                    position = news.failures.position;
                    self.failed_requests.add_news(&news.failures.seen);
                    self.newest_config.record_told(news.config_revision);
                    tokio::time::sleep(MIN_INTERVAL).await;
                }
                Err(error) => {
                    if failures == 0 {
                        let seed = asked.to_string();
                        self.failed_requests
                            .log_problem("failure_news_lost", &seed, &error);
                    }
                    failures += 1;
                    offset += 1;
                    tokio::time::sleep(retry_pause(failures)).await;
                }
            }
        }
    }

    async fn ask(&self, seed: SocketAddr, position: LogPosition) -> Result<News, CallError> {
        let news_request = NewsRequest {
            position,
            config_revision: Some(self.newest_config.known()),
        };
        let request = request(FAILURE_NEWS_PATH, &news_request)?;
        let answer = self.connections.call(seed, request, NEWS_TIMEOUT).await?;
        decode(answer.body()).ok_or(CallError::Broken)
    }
}

impl FailedRequests {
    /// Waits until changes are due to be told to other nodes.
    pub(crate) async fn wait_for_untold(&self) {
        loop {
            let changed = self.inner.news_due.notified();
            let delay = self.lock().news_timer.delay(self.inner.clock.now());
            match delay {
                Some(Duration::ZERO) => return,
                // Both ends of the wait are followed by another look at the timer.
                Some(delay) => _ = tokio::time::timeout(delay, changed).await,
                None => changed.await,
            }
        }
    }

    /// Takes the changes that other nodes were not told of, and adds them to the log.
    pub(crate) fn take_untold(&self) -> NodeFailures {
        let mut state = self.lock();
        state.news_timer.reset();
        let untold = std::mem::take(&mut state.untold);
        drop(state);
        self.add_news(&untold);
        untold
    }

    /// Puts changes back that no other node could be told of.
    pub(crate) fn restore_untold(&self, untold: NodeFailures) {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        state.untold.merge(untold);
        state.news_timer.start(now, true);
    }

    /// What this node has learned after a position in its log.
    pub(crate) fn news_after(&self, position: LogPosition) -> FailureNews {
        self.lock().log.news_since(position)
    }

    /// Adds what other nodes have told.
    pub(crate) fn add_news(&self, seen: &NodeFailures) {
        let oldest_ms = self.oldest_ms();
        let mut state = self.lock();
        if !state.log.add(seen, oldest_ms) {
            return;
        }
        self.update_suspects(&mut state);
        drop(state);
        self.inner.log_changed.notify_waiters();
    }
}

/// Pause after a number of failed requests in a row.
fn retry_pause(failures: u32) -> Duration {
    let factor = f64::from(failures.min(MAX_RETRY_FACTOR));
    RETRY_PAUSE.mul_f64(factor * rand::rng().random_range(1.0..2.0))
}

/// Decodes a message of another node; `None` if it is malformed.
pub(crate) fn decode<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn request<T: Serialize>(path: &'static str, body: &T) -> Result<Request<Blocks>, CallError> {
    let body = serde_json::to_vec(body).map_err(|_never| CallError::NotSent)?;
    let mut request = Request::new(Blocks::from(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    Ok(request)
}
