//! HTTP/1.1 server over any transport, with drain.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tower::ServiceExt;

use crate::connection::answer_body::AnswerBody;
use crate::connection::blocks::Blocks;
use crate::connection::body::collect;
use crate::connection::client_stream::ClientStream;
use crate::connection::fair_stream::FairStream;
use crate::connection::net::SharedNet;
use crate::connection::open_connections::ClientConnection;
use crate::connection::open_connections::OpenConnections;
use crate::process::tasks::Tasks;

/// Body of an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// What a server hands requests to.
pub type BoxHandler =
    tower::util::BoxCloneSyncService<Request<Incoming>, Response<Body>, Infallible>;

/// A request head that is not whole by then ends the connection, so that slow
/// callers cannot hold connections open for nothing. It bounds idle time between
/// requests as well, and callers reuse connections that were idle for 12 s.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest head of a request where nothing else is said.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;

/// What one listener accepts.
#[derive(Debug, Clone)]
pub struct ListenLimits {
    /// Open connections; one more closes the one that has been idle for the longest time.
    pub max_connections: usize,
    /// Connections on which requests are read or answered; one more is refused with 503 if none
    /// of them stands still.
    pub max_active: usize,
    /// Largest head of a request on connections that are accepted from now on; a longer one is
    /// answered with 431.
    pub max_head_bytes: Arc<AtomicUsize>,
    /// After an answer to a request that was not read to its end, what its client still sends is
    /// discarded until it sends nothing for this time. Zero closes at once.
    pub discard_timeout: Duration,
}

impl Default for ListenLimits {
    fn default() -> Self {
        Self {
            max_connections: usize::MAX,
            max_active: usize::MAX,
            max_head_bytes: Arc::new(AtomicUsize::new(DEFAULT_MAX_HEAD_BYTES)),
            discard_timeout: Duration::ZERO,
        }
    }
}

/// Where and for how long requests are served.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Address to listen at.
    pub address: SocketAddr,
    /// Time after the beginning of a drain for which connections are accepted.
    pub linger: Duration,
    /// What is accepted.
    pub limits: ListenLimits,
}

/// Pause after a connection could not be accepted. Out of file descriptors, the
/// next attempt fails as well, and without a pause the loop would take a core.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Wraps an asynchronous function as a handler.
pub fn handler<F>(function: F) -> BoxHandler
where
    F: Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Clone + Send + Sync + 'static,
{
    let service = tower::service_fn(move |request: Request<Incoming>| {
        let answering = function(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    BoxHandler::new(service)
}

/// As [`serve_among`], without limits.
pub async fn serve(
    net: &SharedNet,
    tasks: &Tasks,
    at: SocketAddr,
    linger: Duration,
    handler: BoxHandler,
) -> io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let endpoint = Endpoint {
        address: at,
        linger,
        limits: ListenLimits::default(),
    };
    serve_among(&OpenConnections::default(), net, tasks, endpoint, handler).await
}

/// Serves HTTP at an address until a drain, which goes on accepting for a time
/// and then lets requests in flight finish. Accepted connections are among
/// `connections`, whose requests share memory. Gives the bound address at once
/// and a future that ends when the last request has.
pub async fn serve_among(
    connections: &OpenConnections,
    net: &SharedNet,
    tasks: &Tasks,
    endpoint: Endpoint,
    handler: BoxHandler,
) -> io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let Endpoint {
        address,
        linger,
        limits,
    } = endpoint;
    let connections = connections.clone();
    let listener_key = connections.add_listener();
    let mut listener = net.listen(address).await?;
    let address = listener.local_address()?;
    let tasks = tasks.clone();
    let serving = async move {
        let graceful = GracefulShutdown::new();
        let closing = async {
            tasks.draining().await;
            tokio::time::sleep(linger).await;
        };
        tokio::pin!(closing);
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut closing => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((conn, _from)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let (max_open, max_active) = (limits.max_connections, limits.max_active);
            let registered = connections.register(listener_key, max_open, max_active);
            let Some(registered) = registered else {
                continue;
            };
            let max_head_bytes = limits.max_head_bytes.load(Ordering::Relaxed);
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .max_buf_size(max_head_bytes)
                .header_read_timeout(HEADER_TIMEOUT);
            let client = registered.client().clone();
            let discard_timeout = limits.discard_timeout;
            let stream = ClientStream::new(FairStream::new(conn), client.clone(), discard_timeout);
            let handler = handler.clone();
            let service =
                service_fn(move |request| answer(handler.clone(), client.clone(), request));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let watched = graceful.watch(connection);
            tasks.spawn(async move {
                tokio::select! {
                    ended = watched => drop(ended),
                    () = registered.client().state().closed() => {}
                }
            });
            if connections.has_closing() {
                // They end before the next one is accepted, so that descriptors are free.
                tokio::task::yield_now().await;
            }
        }
        drop(listener);
        graceful.shutdown().await;
    };
    Ok((address, Box::pin(serving)))
}

/// Answers a request that came on this connection.
async fn answer(
    handler: BoxHandler,
    client: ClientConnection,
    mut request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let state = Arc::clone(client.state());
    state.begin_request(!request.body().is_end_stream());
    let may_be_active = client.may_be_active();
    request.extensions_mut().insert(client);
    let answer = if may_be_active {
        handler.oneshot(request).await?
    } else {
        no_room()
    };
    Ok(answer.map(|body| AnswerBody::new(body, state)))
}

/// The answer to a request on one connection too many: it did not run, and may be repeated on another.
fn no_room() -> Response<Body> {
    let mut answer = bytes_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let headers = answer.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("0.1"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = bytes_response(status, Bytes::from(bytes));
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// An answer with these bytes as its body.
pub fn bytes_response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    blocks_response(status, bytes.into())
}

/// An answer with this body.
pub fn blocks_response(status: StatusCode, body: Blocks) -> Response<Body> {
    let body = body.map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Reads a whole request body, or `None` if it is broken or above the limit.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Option<Bytes> {
    let read = collect(body, limit_bytes).await.ok()?;
    Some(read.into_bytes())
}
