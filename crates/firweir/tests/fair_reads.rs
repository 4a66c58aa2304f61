//! Clients that send faster than their bytes are parsed.

use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::client::within;
use firweir::connection::net::BoxConn;
use firweir::connection::net::Listener;
use firweir::connection::net::Net;
use firweir::connection::net::SharedNet;
use firweir::connection::server::bytes_response;
use firweir::connection::server::handler;
use firweir::connection::server::read_body;
use firweir::connection::server::serve;
use firweir::process::tasks::Tasks;
use futures_util::future::BoxFuture;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::DuplexStream;
use tokio::io::duplex;
use tokio::sync::Mutex;

const HEAD: &[u8] = b"POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What the client reads of an answer.
const STATUS_LINE: &[u8] = b"HTTP/1.1 408 ";

const BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which the client sees its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts one connection, whose next bytes are always there.
#[derive(Debug)]
struct OneConn(Arc<Mutex<Option<DuplexStream>>>);

impl Net for OneConn {
    fn connect(&self, _: SocketAddr) -> BoxFuture<'static, io::Result<BoxConn>> {
        Box::pin(pending())
    }

    fn listen(&self, _: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let listener = Self(Arc::clone(&self.0));
        Box::pin(async move { Ok(Box::new(listener) as Box<dyn Listener>) })
    }
}

impl Listener for OneConn {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<(BoxConn, SocketAddr)>> {
        Box::pin(async move {
            let Some(writer) = self.0.lock().await.take() else {
                return pending().await;
            };
            let endless_chunk_size = HEAD.chain(tokio::io::repeat(b'0'));
            let conn = tokio::io::join(endless_chunk_size, writer);
            Ok((Box::new(conn) as BoxConn, self.local_address()?))
        })
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        Ok((Ipv4Addr::LOCALHOST, 1).into())
    }
}

/// Guards against a request that outlives its timeout because its client sends without a pause.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_a_pause_do_not_hold_up_a_timeout() {
    let (mut client, server) = duplex(1 << 10);
    let net: SharedNet = Arc::new(OneConn(Arc::new(Mutex::new(Some(server)))));
    let at = (Ipv4Addr::LOCALHOST, 1).into();
    let late = handler(|request| {
        Box::pin(async move {
            let reading = read_body(request.into_body(), 1 << 20);
            let read = within(BODY_TIMEOUT, reading).await;
            assert!(read.is_none(), "the body has no end");
            bytes_response(StatusCode::REQUEST_TIMEOUT, Bytes::new())
        })
    });
    let tasks = Tasks::new();
    let started = serve(&net, &tasks, at, Duration::ZERO, late).await;
    let (_, serving) = started.expect("it listens");
    tasks.spawn(serving);
    let mut answer = [0; STATUS_LINE.len()];
    let answered = within(ANSWER_TIMEOUT, client.read_exact(&mut answer)).await;
    assert!(answered.is_some(), "the timeout is held up");
    assert_eq!(answer, STATUS_LINE);
}
