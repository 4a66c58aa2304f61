//! Connections to upstreams, to the platform's store and to other nodes: kept
//! open between requests, one request at a time on each, closed at once when a
//! request is given up.
//!
//! `hyper-util`'s pooled client hides which connection carried a request. It cannot
//! close one whose answer belongs to another request, and such a connection would
//! go on handing out wrong answers. So connections are held here, on `hyper`'s own.

use std::io;
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
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection that is not open by then is given up: links take a few
/// milliseconds, and a lost opening packet is sent again after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without an acknowledgement after which the system closes a connection.
/// A cut-off peer shows neither an answer nor a reset.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Silence after which the system probes a connection, and between two probes;
/// with [`PROBES`] they tell when a connection that went silent for good ends.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// How long an idle connection is kept if the other side does not say.
const IDLE: Duration = Duration::from_secs(3);

/// A connection is given up this long before the other side closes it, so that
/// no request crosses its close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Idle connections kept for one address: more than an engine runs at once.
const IDLE_MOST: usize = 32;

/// Idle connections kept in all; beyond it the one that was used longest ago is closed. Each
/// takes a descriptor and buffers, of which a small VM has few.
const IDLE_MOST_IN_ALL: usize = 1_024;

/// An answer larger than this is refused: the store's values end at a megabyte,
/// and a list is about as large.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

impl CallError {
    /// No byte of the request can have reached the other side.
    #[must_use]
    pub const fn is_not_sent(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent)
    }
}

quick_error! {
    /// Why a request brought no whole answer.
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
        /// No answer in time; something was sent.
        Late {
            display("late")
        }
    }
}

#[derive(Debug)]
struct Idle {
    to: SocketAddr,
    line: Line,
    until: Instant,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
struct Line {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection in use. Dropping it closes the connection, which tells the other
/// side to stop working; [`PooledConnection::return_to_pool`] keeps it for the next request.
#[derive(Debug)]
pub struct PooledConnection {
    connections: ConnectionPool,
    to: SocketAddr,
    line: Option<Line>,
    idle: Option<Duration>,
}

impl PooledConnection {
    /// Keeps the connection for the next request. The answer must have been read
    /// to its end and belong to the request.
    pub fn return_to_pool(mut self) {
        if let (Some(line), Some(idle)) = (self.line.take(), self.idle) {
            self.connections.put(self.to, line, idle);
        }
    }
}

/// An answer whose body still arrives.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The answer.
    pub answer: Response<Incoming>,
    /// Its connection.
    pub connection: PooledConnection,
}

/// All connections of a process; cheap to clone.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    clock: Arc<dyn Clock>,
    /// The one that was used longest ago first.
    idle: Arc<Mutex<Vec<Idle>>>,
    idle_most: usize,
}

impl ConnectionPool {
    /// No connections yet.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self::with_max_idle(clock, IDLE_MOST_IN_ALL)
    }

    /// The same, with another number of idle connections that are kept in all.
    #[must_use]
    pub fn with_max_idle(clock: Arc<dyn Clock>, idle_most: usize) -> Self {
        Self {
            clock,
            idle: Arc::default(),
            idle_most,
        }
    }

    /// Sends a request and gives the head of its answer.
    ///
    /// # Errors
    ///
    /// No connection, or it broke.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<StreamingResponse, CallError> {
        if !request.headers().contains_key(header::HOST) {
            let host = to
                .to_string()
                .parse()
                .map_err(|_never| CallError::NotSent)?;
            request.headers_mut().insert(header::HOST, host);
        }
        loop {
            let (mut line, fresh) = match self.take(to) {
                Some(line) => (line, false),
                None => (connect(to).await?, true),
            };
            match line.sender.try_send_request(request).await {
                Ok(answer) => {
                    let connection = PooledConnection {
                        connections: self.clone(),
                        to,
                        line: Some(line),
                        idle: idle_time(answer.headers()),
                    };
                    return Ok(StreamingResponse { answer, connection });
                }
                Err(mut failed) => match failed.take_message() {
                    // An idle connection that the other side has closed.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::Broken),
                },
            }
        }
    }

    /// Sends a request and gives the whole answer, within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`ConnectionPool::send`], and no whole answer in time.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let whole = async {
            let exchange = self.send(to, request).await?;
            let (head, body) = exchange.answer.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
            let body = body.map_err(|_broken| CallError::Broken)?.to_bytes();
            exchange.connection.return_to_pool();
            Ok(Response::from_parts(head, body))
        };
        let late = |_elapsed| CallError::Late;
        tokio::time::timeout(timeout, whole).await.map_err(late)?
    }

    /// Closes idle connections to an address: another process answers there now.
    pub fn close_idle(&self, to: SocketAddr) {
        self.lock().retain(|held| held.to != to);
    }

    fn take(&self, to: SocketAddr) -> Option<Line> {
        let now = self.clock.now();
        let mut idle = self.lock();
        idle.retain(|held| held.until > now && !held.line.sender.is_closed());
        // The newest one: the others may then run out and be closed.
        let at = idle
            .iter()
            .rposition(|held| held.to == to && held.line.sender.is_ready())?;
        Some(idle.remove(at).line)
    }

    fn put(&self, to: SocketAddr, line: Line, idle_time: Duration) {
        let until = self.clock.now() + idle_time;
        let mut idle = self.lock();
        if idle.iter().filter(|held| held.to == to).count() < IDLE_MOST {
            idle.push(Idle { to, line, until });
        }
        if idle.len() > self.idle_most {
            idle.remove(0);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(to: SocketAddr) -> Result<Line, CallError> {
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let stream = opening
        .map_err(|_elapsed| CallError::NotSent)?
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::NotSent,
        })?;
    watch_silence(&stream);
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_closed| CallError::NotSent)?;
    let driver = tokio::spawn(async move {
        // How the connection ended shows in the request that it carried.
        drop(driver.await);
    });
    Ok(Line {
        sender,
        driver: driver.abort_handle(),
    })
}

/// Makes a connection end that has gone silent. Options that the system does not
/// know are left out: the time limits of each request still hold.
fn watch_silence(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&probes));
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
}

/// How long the connection of this answer may stay idle; `None` if it ends.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
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
    let stated = seconds.map_or(IDLE, Duration::from_secs);
    Some(stated.saturating_sub(IDLE_MARGIN))
}
