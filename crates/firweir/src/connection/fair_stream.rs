//! An accepted connection that lets its task go on to other work between reads.
//!
//! The HTTP library reads a body for as long as bytes are there and none of them ends a chunk. A client
//! that sends without pause would so use up the task's budget of tokio at each poll, and no timer of the
//! request that shares the task would ever fire.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::connection::net::BoxConn;

/// Reads in a row, of 64 KB at most, after which the task goes on to its other work.
const MAX_READS_IN_A_ROW: u8 = 4;

/// A connection that is pending after a few reads in a row.
pub(crate) struct FairStream {
    conn: BoxConn,
    reads_in_a_row: u8,
}

impl FairStream {
    /// Wraps a connection.
    pub(crate) const fn new(conn: BoxConn) -> Self {
        Self {
            conn,
            reads_in_a_row: 0,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_in_a_row == MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.conn).poll_read(context, buffer);
        self.reads_in_a_row = match read {
            Poll::Ready(_) => self.reads_in_a_row + 1,
            Poll::Pending => 0,
        };
        read
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_write_vectored(context, bytes)
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
