//! An accepted connection as its server sees it: what moves is recorded, and a client that reads nothing
//! is given up.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;

use crate::connection::connection_state::ConnectionState;
use crate::connection::fair_stream::FairStream;

/// Longest time for which a client may read nothing of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// The connection.
pub(crate) struct ClientStream {
    conn: FairStream,
    state: Arc<ConnectionState>,
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps a connection with this state.
    pub(crate) const fn new(conn: FairStream, state: Arc<ConnectionState>) -> Self {
        Self {
            conn,
            state,
            write_timeout: None,
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
                self.state.record_sent(bytes);
                write
            }
            Poll::Ready(Err(_)) => write,
            Poll::Pending => {
                self.state.record_write_blocked();
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
            self.state.record_received(bytes);
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
        Pin::new(&mut self.conn).poll_shutdown(context)
    }
}
