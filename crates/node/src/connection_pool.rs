//! HTTP/1 connection pool for upstreams, the platform's store and other nodes. Connections stay
//! open between requests, carry one request at a time, and are closed when a request is cancelled.
//!
//! The pooled client of `hyper-util` hides which connection carried a request. It cannot close a
//! connection whose answer belongs to another request, and such a connection would keep returning
//! wrong answers. Therefore this pool is built directly on `hyper`'s connections.

use std::collections::VecDeque;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::body::collect;
use firweir::connection::client::is_final;
use firweir::process::clock::Clock;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::metered_stream::ByteAllowance;
use crate::metered_stream::MeteredStream;

/// Connecting normally takes a few milliseconds, and a lost SYN packet is retransmitted after one
/// second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time limit for [`ConnectionPool::is_listening`]: a process that listens accepts within some
/// milliseconds.
const LISTEN_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a TCP acknowledgement after which the system closes a connection. A partitioned
/// peer sends neither an answer nor a reset.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first TCP keepalive probe, and between probes. Together with
/// [`KEEPALIVE_PROBES`] it limits how long a dead connection stays open.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// How long an idle connection is kept if the peer states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time that a connection is kept idle, whatever the peer states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A connection is dropped this long before the peer closes it, so that no request is sent while
/// it closes.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of idle connections to one address; more than the requests that an engine runs
/// concurrently.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Maximum number of idle connections in total; beyond it the least recently used one is closed.
/// Each takes a file descriptor and buffers, which are scarce on a small VM.
const MAX_IDLE: usize = 1_024;

/// Number of requests that a connection remembers: a late copy of an answer arrives within the next
/// few.
const MAX_CARRIED: usize = 16;

/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that a peer may send until the head of its final answer is there: interim answers, the head,
/// and what is read along with it.
const MAX_HEAD_PHASE_BYTES: usize = 3 * MAX_HEAD_BYTES;

/// Bytes that the framing of a body may take besides as many as the body.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Larger answers are rejected. Values of the store have at most one megabyte, and lists are about
/// as large.
const MAX_ANSWER_BYTES: usize = 16 << 20;

impl CallError {
    /// Whether no byte of the request can have reached the peer.
    #[must_use]
    pub const fn is_not_sent(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent)
    }
}

quick_error! {
    /// Why a request got no complete answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallError {
        /// Nothing listens at the address; no byte of the request was sent.
        Refused {
            display("connection refused")
        }
        /// No byte of the request was sent.
        NotSent {
            display("not sent")
        }
        /// The connection broke after something was sent.
        Broken {
            display("broken")
        }
        /// No complete answer in time; something may have been sent.
        Late {
            display("late")
        }
        /// The peer sent bytes that are no answer, or more than an answer may have; the request may
        /// have been carried out.
        Malformed {
            display("malformed answer")
        }
        /// The answer does not belong to the request, which may have been carried out.
        Foreign {
            display("answer to another request")
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    to: SocketAddr,
    open: OpenConnection,
    until: Instant,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Blocks>,
    driver: AbortHandle,
    /// What the peer may still send.
    allowance: ByteAllowance,
    /// Hashes of the last requests with an id that it carried, oldest first.
    carried: VecDeque<u64>,
    /// Whether it carried a request without an id.
    carried_unnamed: bool,
}

impl OpenConnection {
    fn may_carry(&self, choice: ConnectionChoice) -> bool {
        match choice {
            ConnectionChoice::Any => true,
            ConnectionChoice::NotUsedFor(request) => !self.carried.contains(&request),
            ConnectionChoice::NotUsedUnnamed => !self.carried_unnamed,
        }
    }

    fn record_request(&mut self, choice: ConnectionChoice) {
        match choice {
            ConnectionChoice::Any => {}
            ConnectionChoice::NotUsedFor(request) => {
                if self.carried.len() == MAX_CARRIED {
                    self.carried.pop_front();
                }
                self.carried.push_back(request);
            }
            ConnectionChoice::NotUsedUnnamed => self.carried_unnamed = true,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection in use. Dropping it closes the connection, which makes the peer stop working on
/// the request; [`PooledConnection::return_to_pool`] keeps it for the next request.
#[derive(Debug)]
pub struct PooledConnection {
    pool: ConnectionPool,
    to: SocketAddr,
    open: Option<OpenConnection>,
    idle_timeout: Option<Duration>,
}

impl PooledConnection {
    /// Sets how many bytes of body the peer may still send; as many and some more may be framing.
    pub fn allow_body(&self, limit_bytes: usize) {
        if let Some(open) = &self.open {
            let max_framing = limit_bytes.saturating_add(MAX_FRAMING_BYTES);
            open.allowance.set(limit_bytes.saturating_add(max_framing));
        }
    }

    /// Returns the connection to the pool for the next request. The answer must belong to the
    /// request and have been read to its end.
    pub fn return_to_pool(mut self) {
        if let (Some(open), Some(idle_timeout)) = (self.open.take(), self.idle_timeout) {
            self.pool.put(self.to, open, idle_timeout);
        }
    }
}

/// Which connection may carry a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Any idle one, or else a new one.
    Any,
    /// One that has not carried the request with this hash before: a late copy of the answer to an
    /// earlier send cannot be told from the answer to this one.
    NotUsedFor(u64),
    /// One that has carried no request without an id before. The answer to such a request does not
    /// name it, and a late copy of an earlier one could not be told from it.
    NotUsedUnnamed,
}

/// A response whose body is still being received.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The response.
    pub answer: Response<Incoming>,
    /// Its connection.
    pub connection: PooledConnection,
}

/// The connections of a process; cheap to clone.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    clock: Arc<dyn Clock>,
    /// Least recently used first.
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    max_idle: usize,
}

impl ConnectionPool {
    /// An empty pool.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self::with_max_idle(clock, MAX_IDLE)
    }

    /// An empty pool that keeps at most `max_idle` idle connections in total.
    #[must_use]
    pub fn with_max_idle(clock: Arc<dyn Clock>, max_idle: usize) -> Self {
        Self {
            clock,
            idle: Arc::default(),
            max_idle,
        }
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// If connecting failed, or the connection broke.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Blocks>,
    ) -> Result<StreamingResponse, CallError> {
        self.send_with(to, request, ConnectionChoice::Any, |_headers| {})
            .await
    }

    /// As [`ConnectionPool::send`]; `set_headers` is called once a connection is open, right before
    /// the request is sent.
    ///
    /// # Errors
    ///
    /// As [`ConnectionPool::send`].
    pub async fn send_with(
        &self,
        to: SocketAddr,
        mut request: Request<Blocks>,
        choice: ConnectionChoice,
        set_headers: impl Fn(&mut HeaderMap),
    ) -> Result<StreamingResponse, CallError> {
        if !request.headers().contains_key(header::HOST) {
            let host = to
                .to_string()
                .parse()
                .map_err(|_never| CallError::NotSent)?;
            request.headers_mut().insert(header::HOST, host);
        }
        loop {
            let (mut open, is_new) = match self.take(to, choice) {
                Some(open) => (open, false),
                None => (connect(to).await?, true),
            };
            set_headers(request.headers_mut());
            open.allowance.set(MAX_HEAD_PHASE_BYTES);
            match open.sender.try_send_request(request).await {
                // The connection is closed: it is not known where this answer ends.
                Ok(answer) if !is_final(answer.status()) => return Err(CallError::Malformed),
                Ok(answer) => {
                    open.record_request(choice);
                    let connection = PooledConnection {
                        pool: self.clone(),
                        to,
                        open: Some(open),
                        idle_timeout: idle_timeout(answer.headers()),
                    };
                    return Ok(StreamingResponse { answer, connection });
                }
                Err(mut failed) => match failed.take_message() {
                    // The peer has closed this idle connection.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(CallError::NotSent),
                    None if is_malformed(failed.error()) => return Err(CallError::Malformed),
                    None => return Err(CallError::Broken),
                },
            }
        }
    }

    /// Sends a request and returns the complete answer.
    ///
    /// # Errors
    ///
    /// As [`ConnectionPool::send`], or if the answer is not complete within `timeout`.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request<Blocks>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let complete = async {
            let response = self.send(to, request).await?;
            let (head, body) = response.answer.into_parts();
            response.connection.allow_body(MAX_ANSWER_BYTES);
            let body = collect(body, MAX_ANSWER_BYTES).await;
            let body = body.map_err(|_broken| CallError::Broken)?.into_bytes();
            response.connection.return_to_pool();
            Ok(Response::from_parts(head, body))
        };
        tokio::time::timeout(timeout, complete)
            .await
            .unwrap_or_else(|_elapsed| {
                // Its other connections may have fallen silent as well, while new ones work.
                self.close_idle(to);
                Err(CallError::Late)
            })
    }

    /// Whether a process listens at an address; opens a connection and closes it.
    pub async fn is_listening(&self, address: SocketAddr) -> bool {
        let connecting = tokio::time::timeout(LISTEN_CHECK_TIMEOUT, TcpStream::connect(address));
        matches!(connecting.await, Ok(Ok(_)))
    }

    /// Closes idle connections to an address: another process listens there now, or they may have
    /// fallen silent.
    pub fn close_idle(&self, to: SocketAddr) {
        self.lock().retain(|entry| entry.to != to);
    }

    fn take(&self, to: SocketAddr, choice: ConnectionChoice) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        idle.retain(|entry| entry.until > now && !entry.open.sender.is_closed());
        // Takes the most recently used one, so that surplus connections expire.
        let at = idle.iter().rposition(|entry| {
            entry.to == to && entry.open.sender.is_ready() && entry.open.may_carry(choice)
        })?;
        Some(idle.remove(at).open)
    }

    fn put(&self, to: SocketAddr, open: OpenConnection, idle_timeout: Duration) {
        // Nothing may come on an idle connection; what does closes it.
        open.allowance.set(0);
        let until = self.clock.now() + idle_timeout;
        let mut idle = self.lock();
        if idle.iter().filter(|entry| entry.to == to).count() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection { to, open, until });
        }
        if idle.len() > self.max_idle {
            idle.remove(0);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(to: SocketAddr) -> Result<OpenConnection, CallError> {
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let stream = opening
        .map_err(|_elapsed| CallError::NotSent)?
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::NotSent,
        })?;
    set_keepalive(&stream);
    let allowance = ByteAllowance::default();
    let stream = MeteredStream::new(stream, allowance.clone());
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_closed| CallError::NotSent)?;
    let driver = tokio::spawn(async move {
        // Errors are reported by the request that the connection carried.
        drop(driver.await);
    });
    Ok(OpenConnection {
        sender,
        driver: driver.abort_handle(),
        allowance,
        carried: VecDeque::new(),
        carried_unnamed: false,
    })
}

/// Whether a peer sent bytes that are no answer.
fn is_malformed(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    let is_over_allowance = |cause: &io::Error| cause.kind() == io::ErrorKind::InvalidData;
    error.is_parse() || cause.is_some_and(is_over_allowance)
}

/// Makes the system close dead connections. Unsupported socket options are ignored: the timeouts
/// of each request still apply.
fn set_keepalive(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&probes));
    drop(socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
}

/// How long the connection of this answer may stay idle; `None` if the peer closes it.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let keep_alive = text(header::HeaderName::from_static("keep-alive"));
    let seconds = keep_alive
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok());
    let timeout = seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    let timeout = timeout.min(MAX_IDLE_TIMEOUT);
    Some(timeout.saturating_sub(IDLE_MARGIN))
}
