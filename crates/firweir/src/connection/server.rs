//! HTTP server over any transport, with drain.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use tower::util::MapRequest;

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

/// Largest head of a request; a longer one is answered with 431.
const MAX_HEAD_BYTES: usize = 64 << 10;

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

/// As [`serve_among`], with connections whose requests share no memory.
pub async fn serve(
    net: &SharedNet,
    tasks: &Tasks,
    at: SocketAddr,
    linger: Duration,
    handler: BoxHandler,
) -> io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let connections = OpenConnections::default();
    serve_among(&connections, net, tasks, at, linger, handler).await
}

/// Serves HTTP at `at` until a drain, which goes on accepting for `linger` and
/// then lets requests in flight finish. Accepted connections are among
/// `connections`, whose requests share memory. Gives the bound address at once
/// and a future that ends when the last request has.
pub async fn serve_among(
    connections: &OpenConnections,
    net: &SharedNet,
    tasks: &Tasks,
    at: SocketAddr,
    linger: Duration,
    handler: BoxHandler,
) -> io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let connections = connections.clone();
    let mut listener = net.listen(at).await?;
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
            let mut builder = auto::Builder::new(tasks.clone());
            builder
                .http1()
                .timer(TokioTimer::new())
                .max_buf_size(MAX_HEAD_BYTES)
                .header_read_timeout(HEADER_TIMEOUT);
            let registered = connections.register();
            let client = registered.client().clone();
            let stream = ClientStream::new(FairStream::new(conn), Arc::clone(client.state()));
            let service = TowerToHyperService::new(with_connection(handler.clone(), client));
            let connection = builder
                .serve_connection(TokioIo::new(stream), service)
                .into_owned();
            let watched = graceful.watch(connection);
            tasks.spawn(async move {
                tokio::select! {
                    ended = watched => drop(ended),
                    () = registered.client().state().closed() => {}
                }
            });
        }
        drop(listener);
        graceful.shutdown().await;
    };
    Ok((address, Box::pin(serving)))
}

/// Tells the handler which connection a request came on.
fn with_connection(
    handler: BoxHandler,
    client: ClientConnection,
) -> MapRequest<BoxHandler, impl FnMut(Request<Incoming>) -> Request<Incoming> + Clone> {
    MapRequest::new(handler, move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(client.clone());
        request
    })
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
    Some(read.to_bytes())
}
