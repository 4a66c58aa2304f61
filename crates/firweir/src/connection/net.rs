//! How a process reaches others: over TCP, or over pipes in a replay.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Both directions of one connection.
pub trait Conn: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Conn for T {}

/// A connection of whichever transport.
pub type BoxConn = Box<dyn Conn>;

/// Opens and accepts connections.
pub trait Net: Send + Sync + Debug {
    /// Opens a connection.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<BoxConn>>;
    /// Starts to accept connections at an address.
    fn listen(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>>;
}

/// Accepts connections.
pub trait Listener: Send {
    /// The next connection and where it came from.
    fn accept(&mut self) -> BoxFuture<'_, io::Result<(BoxConn, SocketAddr)>>;
    /// The address it accepts at, with the port that the system chose.
    fn local_address(&self) -> io::Result<SocketAddr>;
}

/// Shared handle to a transport.
pub type SharedNet = Arc<dyn Net>;

/// TCP as the machine gives it.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNet;

impl Net for TcpNet {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<BoxConn>> {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as BoxConn)
        })
    }

    fn listen(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let listener = TcpListener::bind(at).await?;
            Ok(Box::new(listener) as Box<dyn Listener>)
        })
    }
}

/// Connections that may wait to be accepted.
const ACCEPT_QUEUE: u32 = 1_024;

/// TCP with bounded buffers of the connections that are accepted: what a system holds for a connection
/// counts as memory of the process, and grows to megabytes by default.
#[derive(Debug, Clone, Copy)]
pub struct BoundedTcpNet {
    /// Size of the buffer for what was received and not read, in bytes.
    pub receive_buffer_bytes: u32,
    /// Size of the buffer for what was sent and not taken, in bytes.
    pub send_buffer_bytes: u32,
}

impl Net for BoundedTcpNet {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<BoxConn>> {
        TcpNet.connect(to)
    }

    fn listen(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let buffers = *self;
        Box::pin(async move {
            let socket = match at {
                SocketAddr::V4(_) => TcpSocket::new_v4(),
                SocketAddr::V6(_) => TcpSocket::new_v6(),
            }?;
            socket.set_reuseaddr(true)?;
            // A system that cannot set them has buffers of its own.
            drop(socket.set_recv_buffer_size(buffers.receive_buffer_bytes));
            drop(socket.set_send_buffer_size(buffers.send_buffer_bytes));
            socket.bind(at)?;
            let listener = socket.listen(ACCEPT_QUEUE)?;
            Ok(Box::new(listener) as Box<dyn Listener>)
        })
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<(BoxConn, SocketAddr)>> {
        Box::pin(async move {
            let (stream, from) = TcpListener::accept(self).await?;
            stream.set_nodelay(true)?;
            Ok((Box::new(stream) as BoxConn, from))
        })
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }
}
