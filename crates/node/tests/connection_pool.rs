//! The connection pool of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::process::clock::SystemClock;
use firweir_node::connection_pool::ConnectionChoice;
use firweir_node::connection_pool::ConnectionPool;
use http::HeaderMap;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=60\r\n\r\n";

/// Answers every request until the peer closes the connection.
async fn answer(mut stream: TcpStream, open: Arc<AtomicUsize>) {
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        if stream.write_all(ANSWER).await.is_err() {
            break;
        }
    }
    open.fetch_sub(1, Ordering::SeqCst);
}

/// A server that counts its open connections.
async fn serve(open: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    let open = Arc::clone(open);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            open.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(answer(stream, Arc::clone(&open)));
        }
    });
    address
}

/// Guards against a stated time left that was true only before the connection was opened.
#[tokio::test]
async fn headers_are_set_when_the_connection_is_open() {
    let listener = TcpSocket::new_v4().expect("a socket");
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(local).expect("a port");
    let address = listener.local_addr().expect("it is bound");
    // A full queue of connections: the next one is opened after it has been emptied.
    let listener = listener.listen(0).expect("it listens");
    let _first = TcpStream::connect(address).await.expect("it is queued");
    let connections = ConnectionPool::new(Arc::new(SystemClock));
    let is_accepting = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&is_accepting);
    let sending = tokio::spawn(async move {
        let set_headers = |headers: &mut HeaderMap| {
            let accepting = seen.load(Ordering::SeqCst).to_string();
            headers.insert("x-accepting", accepting.parse().expect("a plain value"));
        };
        let request = Request::new(Blocks::from(Bytes::new()));
        connections
            .send_with(address, request, ConnectionChoice::Any, set_headers)
            .await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    is_accepting.store(true, Ordering::SeqCst);
    let (_first, _) = listener.accept().await.expect("it was queued");
    let (mut second, _) = listener.accept().await.expect("it is opened now");
    let mut request = vec![0; 1_024];
    let length = second.read(&mut request).await.expect("a request");
    let request = String::from_utf8_lossy(&request[..length]);
    assert!(request.contains("x-accepting: true"), "{request}");
    second.write_all(ANSWER).await.expect("it is connected");
    let sent = sending.await.expect("no panic");
    assert!(sent.is_ok(), "{sent:?}");
}

/// Guards against unbounded idle connections: a node that ordered weights at thousands of engines
/// kept a connection to each, ran out of file descriptors as engines were added, and accepted no
/// more callers.
#[tokio::test]
async fn idle_connections_are_bounded_in_all() {
    let open = Arc::new(AtomicUsize::new(0));
    let connections = ConnectionPool::with_max_idle(Arc::new(SystemClock), 2);
    for _ in 0..5 {
        let to = serve(&open).await;
        let request = Request::new(Blocks::from(Bytes::new()));
        let answer = connections.call(to, request, Duration::from_secs(5)).await;
        assert_eq!(answer.expect("it is answered").status(), 200);
    }
    for _ in 0..100 {
        if open.load(Ordering::SeqCst) == 2 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{} connections are open", open.load(Ordering::SeqCst));
}

/// Two sends in a row to one address, and the number of connections that they open.
struct Reuse {
    name: &'static str,
    choices: [ConnectionChoice; 2],
    connections: usize,
}

const REUSES: [Reuse; 5] = [
    Reuse {
        name: "any two",
        choices: [ConnectionChoice::Any, ConnectionChoice::Any],
        connections: 1,
    },
    Reuse {
        name: "two requests",
        choices: [
            ConnectionChoice::NotUsedFor(1),
            ConnectionChoice::NotUsedFor(2),
        ],
        connections: 1,
    },
    Reuse {
        name: "one request, retried",
        choices: [
            ConnectionChoice::NotUsedFor(1),
            ConnectionChoice::NotUsedFor(1),
        ],
        connections: 2,
    },
    Reuse {
        name: "a request without an id after one that has one",
        choices: [
            ConnectionChoice::NotUsedFor(1),
            ConnectionChoice::NotUsedUnnamed,
        ],
        connections: 1,
    },
    Reuse {
        name: "two requests without an id",
        choices: [
            ConnectionChoice::NotUsedUnnamed,
            ConnectionChoice::NotUsedUnnamed,
        ],
        connections: 2,
    },
];

/// Guards against a late copy of an answer that cannot be told from the answer which is due.
#[tokio::test]
async fn a_connection_does_not_carry_a_request_twice() {
    for case in &REUSES {
        let open = Arc::new(AtomicUsize::new(0));
        let to = serve(&open).await;
        let connections = ConnectionPool::new(Arc::new(SystemClock));
        for choice in case.choices {
            let request = Request::new(Blocks::from(Bytes::new()));
            let sent = connections.send_with(to, request, choice, |_headers| {});
            let sent = sent.await.expect("it is answered");
            drop(sent.answer);
            sent.connection.return_to_pool();
            // The connection is idle once its driver has seen the end of the answer.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let opened = open.load(Ordering::SeqCst);
        assert_eq!(opened, case.connections, "{}", case.name);
    }
}
