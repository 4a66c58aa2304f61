//! Reads bodies of messages into memory.

use std::sync::LazyLock;

use bytes::Bytes;
use http::Request;
use http::request;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use quick_error::quick_error;

use crate::connection::blocks::BlockBuffer;
use crate::connection::blocks::Blocks;
use crate::connection::open_connections::ClientConnection;
use crate::connection::open_connections::OpenConnections;

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BodyError {
        /// It is longer than it may be.
        TooLarge {
            display("body too large")
        }
        /// The connection broke, or what was sent is no body.
        Broken {
            display("body broken")
        }
        /// Requests hold all the memory that they may hold.
        NoMemory {
            display("no memory for the body")
        }
        /// Its client stopped sending, and others need the memory.
        Stalled {
            display("body stalled")
        }
    }
}

/// What was read of a body.
#[derive(Debug)]
pub struct Collected {
    /// The bytes.
    pub read: Blocks,
    /// Why there are no more, unless the body has ended.
    pub error: Option<BodyError>,
}

impl Collected {
    /// The whole body.
    ///
    /// # Errors
    ///
    /// If it was not read to its end.
    pub fn whole(self) -> Result<Blocks, BodyError> {
        self.whole_or_part().map_err(|(error, _part)| error)
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// If it was not read to its end; what was read comes with the reason.
    pub fn whole_or_part(self) -> Result<Blocks, (BodyError, Blocks)> {
        match self.error {
            None => Ok(self.read),
            Some(error) => Err((error, self.read)),
        }
    }
}

/// Where memory for bodies comes from that the process itself bounds.
static UNLIMITED: LazyLock<OpenConnections> = LazyLock::new(OpenConnections::default);

/// Reads a whole body of at most `limit_bytes`. Nothing is read of a body that announces more.
///
/// # Errors
///
/// It is longer or broken.
pub async fn collect<B>(mut body: B, limit_bytes: usize) -> Result<Blocks, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    collect_into(&UNLIMITED, &mut body, limit_bytes)
        .await
        .whole()
}

/// Reads a body of at most `limit_bytes` into memory that is shared by requests.
pub async fn collect_into<B>(
    memory: &OpenConnections,
    body: &mut B,
    limit_bytes: usize,
) -> Collected
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced_bytes = announced_length(body);
    let mut buffer = BlockBuffer::new(announced_bytes);
    let read = if announced_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        Err(BodyError::TooLarge)
    } else {
        read_to_end(memory, body, &mut buffer, limit_bytes).await
    };
    Collected {
        read: buffer.finish(),
        error: read.err(),
    }
}

async fn read_to_end<B>(
    memory: &OpenConnections,
    body: &mut B,
    buffer: &mut BlockBuffer,
    limit_bytes: usize,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(part) = next_part(body).await {
        let mut part = part?;
        if buffer.len() + part.len() > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        let added = add(memory, buffer, &mut part).await;
        if added.is_err() {
            buffer.add_shared(part);
            return added;
        }
    }
    Ok(())
}

/// Adds a part of a body to a buffer; what finds no room stays in `part`.
async fn add(
    memory: &OpenConnections,
    buffer: &mut BlockBuffer,
    part: &mut Bytes,
) -> Result<(), BodyError> {
    while !part.is_empty() {
        if let Some(bytes) = buffer.block_needed() {
            let reservation = memory.reserve(bytes, buffer.held_bytes()).await;
            buffer.add_block(bytes, reservation.ok_or(BodyError::NoMemory)?);
        }
        buffer.fill_from(part);
    }
    Ok(())
}

/// Length of a body, if it was announced.
fn announced_length<B: Body>(body: &B) -> Option<usize> {
    let exact_bytes = body.size_hint().exact()?;
    Some(usize::try_from(exact_bytes).unwrap_or(usize::MAX))
}

/// The next bytes of a body; `None` at its end.
async fn next_part<B>(body: &mut B) -> Option<Result<Bytes, BodyError>>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let Ok(frame) = body.frame().await? else {
            return Some(Err(BodyError::Broken));
        };
        // Trailers are of no use here.
        if let Ok(part) = frame.into_data() {
            return Some(Ok(part));
        }
    }
}

/// The body of a request, not yet read, and the connection that it comes on.
#[derive(Debug)]
pub struct PendingBody {
    body: Incoming,
    connection: ClientConnection,
}

impl PendingBody {
    /// Splits a request that a server of this process has accepted.
    #[must_use]
    pub fn split(request: Request<Incoming>) -> (request::Parts, Self) {
        let (mut head, body) = request.into_parts();
        let connection = head.extensions.remove().unwrap_or_default();
        (head, Self { body, connection })
    }

    /// Reads the body, of at most `limit_bytes`.
    ///
    /// # Errors
    ///
    /// It is too long or broken, there is no memory for it, or its client makes no progress while
    /// others need the memory.
    pub async fn receive(mut self, limit_bytes: usize) -> Result<Blocks, BodyError> {
        let (connections, state) = (self.connection.connections(), self.connection.state());
        let _receiving = state.receiving();
        let received = tokio::select! {
            biased;
            () = state.refused() => Err(BodyError::Stalled),
            collected = collect_into(connections, &mut self.body, limit_bytes) => collected.whole(),
        };
        if received.is_ok() {
            state.record_whole_body();
        }
        received
    }
}
