//! An accepted connection as its server sees it: what moves is recorded, a client that reads nothing is
//! given up, and one that still sends gets its answer before the connection is closed.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::connection::fair_stream::FairStream;
use crate::connection::open_connections::ClientConnection;

/// Longest time for which a client may read nothing of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time for which bytes are read and discarded after the last answer.
const MAX_DISCARDING_TIME: Duration = Duration::from_secs(10);

/// Most bytes that are read and discarded after the last answer.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// Bytes that are discarded at once.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// The connection.
pub(crate) struct ClientStream {
    conn: FairStream,
    client: ClientConnection,
    write_timeout: Option<Pin<Box<Sleep>>>,
    /// Time for which a client may send nothing after the last answer while its bytes are discarded.
    discard_timeout: Duration,
    discarding: Option<Discarding>,
}

/// Bytes that are read and discarded.
struct Discarding {
    timeout: Pin<Box<Sleep>>,
    until: Instant,
    left_bytes: usize,
}

impl ClientStream {
    /// Wraps a connection that was registered as `client`. Once the last answer is sent, what the client still sends
    /// is discarded until it sends nothing for `discard_timeout`.
    pub(crate) const fn new(
        conn: FairStream,
        client: ClientConnection,
        discard_timeout: Duration,
    ) -> Self {
        Self {
            conn,
            client,
            write_timeout: None,
            discard_timeout,
            discarding: None,
        }
    }

    /// Reads and discards what the client still sends. A connection that is closed with unread bytes
    /// is reset, and the client's system may then discard the answer.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let discard_timeout = self.discard_timeout;
        let discarding = self.discarding.get_or_insert_with(|| Discarding {
            timeout: Box::pin(tokio::time::sleep(discard_timeout)),
            until: Instant::now() + MAX_DISCARDING_TIME,
            left_bytes: MAX_DISCARDED_BYTES,
        });
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            if discarding.timeout.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.conn).poll_read(context, &mut buffer));
            let read_bytes = buffer.filled().len();
            discarding.left_bytes = discarding.left_bytes.saturating_sub(read_bytes);
            if read.is_err() || read_bytes == 0 || discarding.left_bytes == 0 {
                return Poll::Ready(());
            }
            let timeout_at = (Instant::now() + discard_timeout).min(discarding.until);
            discarding.timeout.as_mut().reset(timeout_at);
        }
    }

    /// Records the outcome of a write.
    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        write: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match write {
            Poll::Ready(Ok(bytes)) => {
                self.write_timeout = None;
                self.client.state().record_sent(bytes);
                write
            }
            Poll::Ready(Err(_)) => write,
            Poll::Pending => {
                self.client.state().record_write_blocked();
                let new_timeout = || Box::pin(tokio::time::sleep(WRITE_TIMEOUT));
                let timeout = self.write_timeout.get_or_insert_with(new_timeout);
                ready!(timeout.as_mut().poll(context));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.conn).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.client.record_received(bytes);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.conn).poll_write(context, bytes);
        self.record_write(context, write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.conn).poll_write_vectored(context, bytes);
        self.record_write(context, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.conn.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discarding.is_none() {
            ready!(Pin::new(&mut self.conn).poll_shutdown(context))?;
        }
        if self.client.state().has_unread() && !self.discard_timeout.is_zero() {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }
}
