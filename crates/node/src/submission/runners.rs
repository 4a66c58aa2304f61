//! Calls to other nodes that run submissions, and detection of runners that are down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::process::clock::Clock;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::dialect::Question;

/// Timeout of a forwarded question, added to the wait that it asks for. Clients allow more
/// than that beyond their wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A runner that has not answered for this long is regarded as down. A shorter time would move
/// submissions away during a pause of their runner's VM; a longer one keeps trainers waiting.
const DOWN_AFTER: Duration = Duration::from_secs(2);

/// Path of a request that a node answers immediately.
pub const PING_PATH: &str = "/peer/ping";

/// Header that names the account of a question or step between nodes. The node that the client
/// called resolves the API key and doesn't forward it.
const ACCOUNT: HeaderName = HeaderName::from_static("x-firweir-account");

/// Timeout of a ping; those of [`Runners::is_down`] may take longer.
const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// A node is pinged if it has not answered a call within this time. The call itself may take
/// longer: accepting a step takes two writes to the store.
const PING_AFTER: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Unanswered {
    address: SocketAddr,
    since: Instant,
}

/// Forwards calls to nodes that run submissions, and tracks which ones don't answer.
#[derive(Debug)]
pub struct Runners {
    connections: ConnectionPool,
    clock: Arc<dyn Clock>,
    unanswered: Mutex<Vec<Unanswered>>,
}

impl Runners {
    /// Creates it without any unanswered calls.
    #[must_use]
    pub fn new(connections: ConnectionPool, clock: Arc<dyn Clock>) -> Self {
        Self {
            connections,
            clock,
            unanswered: Mutex::default(),
        }
    }

    /// Forwards a client's question to a runner.
    ///
    /// # Errors
    ///
    /// The runner did not answer.
    pub async fn forward(
        &self,
        runner: SocketAddr,
        question: &Question,
        call: &request::Parts,
    ) -> Result<Response<Bytes>, CallError> {
        let wait = match question {
            Question::Results { wait, .. } => *wait,
            Question::Item(_) | Question::End => Duration::ZERO,
        };
        let mut request = Request::new(Blocks::from(Bytes::new()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        remove_framing_headers(request.headers_mut());
        self.record_call(runner);
        let forwarding = self.connections.call(runner, request, wait + PEER_TIMEOUT);
        let answer = forwarding.await;
        if answer.is_ok() {
            self.record_answer(runner);
        }
        answer
    }

    /// Makes a call to a node; `None` once the node has answered neither the call nor a ping.
    ///
    /// Without the ping, each node that a trainer submits its step to would wait for a home that
    /// is down as long as for one with a slow store, and the client would disconnect first.
    pub async fn call_while_alive<T>(
        &self,
        node: SocketAddr,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let pinging = async {
            tokio::time::sleep(PING_AFTER).await;
            if self.ping(node, PING_TIMEOUT).await.is_ok() {
                std::future::pending::<()>().await;
            }
        };
        output_unless(call, pinging).await
    }

    async fn ping(&self, node: SocketAddr, timeout: Duration) -> Result<(), CallError> {
        let mut request = Request::new(Blocks::from(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(PING_PATH);
        self.connections
            .call(node, request, timeout)
            .await
            .map(drop)
    }

    /// Whether a runner that did not answer is down. Pings it until [`DOWN_AFTER`] has passed
    /// since the first unanswered call: if the check were left to retries of the client, the
    /// client would wait twice as long.
    pub async fn is_down(&self, runner: SocketAddr, mut error: CallError) -> bool {
        loop {
            let silent_for = self.silent_for(runner);
            // Nothing listens on the port: the process is gone, with its memory.
            if error == CallError::Refused || silent_for >= DOWN_AFTER {
                return true;
            }
            let timeout = DOWN_AFTER.saturating_sub(silent_for).max(PING_TIMEOUT);
            match self.ping(runner, timeout).await {
                Ok(()) => {
                    self.record_answer(runner);
                    return false;
                }
                Err(failed) => error = failed,
            }
        }
    }

    /// Notes that a runner was called and has not answered yet.
    fn record_call(&self, runner: SocketAddr) {
        let since = self.clock.now();
        let mut unanswered = self.lock();
        // Older entries are from calls that were cancelled as their clients disconnected.
        unanswered.retain(|entry| since.duration_since(entry.since) < DOWN_AFTER * 2);
        if !unanswered.iter().any(|entry| entry.address == runner) {
            let address = runner;
            unanswered.push(Unanswered { address, since });
        }
    }

    fn record_answer(&self, runner: SocketAddr) {
        self.lock().retain(|entry| entry.address != runner);
    }

    /// Time since the first call that the runner has not answered.
    fn silent_for(&self, runner: SocketAddr) -> Duration {
        let now = self.clock.now();
        let unanswered = self.lock();
        let called = unanswered.iter().find(|entry| entry.address == runner);
        called.map_or(Duration::ZERO, |entry| now.duration_since(entry.since))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Unanswered>> {
        self.unanswered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Replaces the API key of a client's call by the name of its account, for other nodes.
pub fn set_account_header(headers: &mut HeaderMap, account: Option<&str>) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(ACCOUNT);
    let value = account.map(|account| HeaderValue::from_bytes(account.as_bytes()));
    if let Some(Ok(value)) = value {
        headers.insert(ACCOUNT, value);
    }
}

/// Returns the account that another node has set in the headers.
#[must_use]
pub fn account_from_header(headers: &HeaderMap) -> Option<String> {
    let name = headers.get(ACCOUNT)?.as_bytes();
    Some(String::from_utf8_lossy(name).into_owned())
}

/// Returns the output of a call; `None` if `other` completes first.
async fn output_unless<T>(
    call: impl Future<Output = T>,
    other: impl Future<Output = ()>,
) -> Option<T> {
    tokio::select! {
        biased;
        output = call => Some(output),
        () = other => None,
    }
}

/// Removes the headers that depend on the connection, which the next one sets itself.
pub fn remove_framing_headers(headers: &mut HeaderMap) {
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
