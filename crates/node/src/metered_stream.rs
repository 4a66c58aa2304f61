//! A TCP stream that fails once its peer has sent more bytes than it may.
//!
//! A faulty peer sends bytes without end: in a head, in interim answers, in the framing of chunks, in
//! a body. The HTTP library bounds some of these and not all; counting bytes below it bounds them all.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Number of bytes that the peer may still send; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct ByteAllowance(Arc<AtomicUsize>);

impl ByteAllowance {
    /// Replaces the number.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes bytes off; false if there are fewer.
    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        taken.is_ok()
    }
}

/// The stream.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    allowance: ByteAllowance,
}

impl MeteredStream {
    /// Wraps a stream whose peer may send as much as `allowance` says.
    pub(crate) const fn new(stream: TcpStream, allowance: ByteAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.allowance.take(buffer.filled().len() - before) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
