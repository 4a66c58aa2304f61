//! Other nodes as runners of submissions: questions are passed on to them, and one that
//! stays silent is taken for gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::process::clock::Clock;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request;
use http_body_util::Full;

use crate::dialect::Question;
use crate::link::LinkError;
use crate::link::Links;

/// Time for a runner's answer beyond what it was asked to wait: less than clients wait
/// beyond it for theirs.
const PEER_PATIENCE: Duration = Duration::from_millis(1_200);

/// A runner that was not reached for this long is taken for gone. Shorter, and
/// a pause of its VM moves what it runs; longer, and its trainer waits.
const GONE_AFTER: Duration = Duration::from_secs(2);

/// A question that a runner answers at once.
pub const PING_PATH: &str = "/peer/ping";

/// Account that a question or a step is for, between nodes: who has the key was looked up
/// where the client asked, and its key goes no further.
const ACCOUNT: HeaderName = HeaderName::from_static("x-firweir-account");

/// Least time for its answer.
const PING_PATIENCE: Duration = Duration::from_millis(200);

/// A node that has not answered a call by then is pinged beside it: accepting a step takes
/// two writes of the store.
const PING_AFTER: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Unreached {
    address: SocketAddr,
    since: Instant,
}

/// What is known of other nodes that run submissions.
#[derive(Debug)]
pub struct Runners {
    links: Links,
    clock: Arc<dyn Clock>,
    unreached: Mutex<Vec<Unreached>>,
}

impl Runners {
    /// None was asked yet.
    #[must_use]
    pub fn new(links: Links, clock: Arc<dyn Clock>) -> Self {
        Self {
            links,
            clock,
            unreached: Mutex::default(),
        }
    }

    /// Passes a client's question on to a runner.
    ///
    /// # Errors
    ///
    /// The runner did not answer.
    pub async fn pass_on(
        &self,
        runner: SocketAddr,
        question: &Question,
        call: &request::Parts,
    ) -> Result<Response<Bytes>, LinkError> {
        let wait = match question {
            Question::Results { wait, .. } => *wait,
            Question::Item(_) | Question::End => Duration::ZERO,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        strip_framing(request.headers_mut());
        self.note_asked(runner);
        let passing = self.links.call(runner, request, wait + PEER_PATIENCE);
        let answer = passing.await;
        if answer.is_ok() {
            self.note_reached(runner);
        }
        answer
    }

    /// Makes a call to a node for as long as that is alive: `None` once it has answered
    /// neither the call nor a ping.
    ///
    /// Without it, each node that a trainer submits its step through would wait for a home that
    /// is gone for as long as a slow store may take, and the client have left by then.
    pub async fn while_alive<T>(
        &self,
        node: SocketAddr,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let pinging = async {
            tokio::time::sleep(PING_AFTER).await;
            if self.ping(node, PING_PATIENCE).await.is_ok() {
                std::future::pending::<()>().await;
            }
        };
        unless(call, pinging).await
    }

    async fn ping(&self, node: SocketAddr, patience: Duration) -> Result<(), LinkError> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(PING_PATH);
        self.links.call(node, request, patience).await.map(drop)
    }

    /// Whether a runner that did not answer is gone. Asks it until [`GONE_AFTER`] has
    /// passed since it was first asked: a client that had to come again for that would wait
    /// twice as long.
    pub async fn is_gone(&self, runner: SocketAddr, mut error: LinkError) -> bool {
        loop {
            let silent_for = self.silent_for(runner);
            // Nothing listens there: the process is gone, with all it had in memory.
            if error == LinkError::Refused || silent_for >= GONE_AFTER {
                return true;
            }
            let left = GONE_AFTER.saturating_sub(silent_for).max(PING_PATIENCE);
            match self.ping(runner, left).await {
                Ok(()) => {
                    self.note_reached(runner);
                    return false;
                }
                Err(failed) => error = failed,
            }
        }
    }

    /// Notes that a runner was asked and has not answered yet.
    fn note_asked(&self, runner: SocketAddr) {
        let since = self.clock.now();
        let mut unreached = self.lock();
        // One that is older was left behind by a client that went away.
        unreached.retain(|held| since.duration_since(held.since) < GONE_AFTER * 2);
        if !unreached.iter().any(|held| held.address == runner) {
            let address = runner;
            unreached.push(Unreached { address, since });
        }
    }

    fn note_reached(&self, runner: SocketAddr) {
        self.lock().retain(|held| held.address != runner);
    }

    fn silent_for(&self, runner: SocketAddr) -> Duration {
        let now = self.clock.now();
        let unreached = self.lock();
        let asked = unreached.iter().find(|held| held.address == runner);
        asked.map_or(Duration::ZERO, |held| now.duration_since(held.since))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Unreached>> {
        self.unreached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names the account of a client's call for other nodes, in place of its key.
pub fn name_account(headers: &mut HeaderMap, account: Option<&str>) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(ACCOUNT);
    let value = account.map(|account| HeaderValue::from_bytes(account.as_bytes()));
    if let Some(Ok(value)) = value {
        headers.insert(ACCOUNT, value);
    }
}

/// The account that another node has named.
#[must_use]
pub fn named_account(headers: &HeaderMap) -> Option<String> {
    let name = headers.get(ACCOUNT)?.as_bytes();
    Some(String::from_utf8_lossy(name).into_owned())
}

/// What a call brings, unless `other` ends first.
async fn unless<T>(call: impl Future<Output = T>, other: impl Future<Output = ()>) -> Option<T> {
    tokio::select! {
        biased;
        brought = call => Some(brought),
        () = other => None,
    }
}

/// Takes out what describes how the body came, which the next connection sets anew.
pub fn strip_framing(headers: &mut HeaderMap) {
    let framing = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::EXPECT,
    ];
    for name in framing {
        headers.remove(name);
    }
}
