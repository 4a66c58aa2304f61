//! Reads bodies of messages into memory.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use quick_error::quick_error;

use crate::connection::blocks::BlockBuffer;
use crate::connection::blocks::Blocks;

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
    }
}

/// Reads a whole body of at most `limit_bytes`. Nothing is read of a body that announces more.
///
/// # Errors
///
/// It is longer or broken.
pub async fn collect<B>(mut body: B, limit_bytes: usize) -> Result<Blocks, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced_bytes = announced_length(&body);
    if announced_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BlockBuffer::new(announced_bytes);
    while let Some(part) = next_part(&mut body).await {
        let part = part?;
        if buffer.len() + part.len() > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        add(&mut buffer, part);
    }
    Ok(buffer.finish())
}

fn add(buffer: &mut BlockBuffer, mut part: Bytes) {
    while !part.is_empty() {
        if let Some(bytes) = buffer.block_needed() {
            buffer.add_block(bytes);
        }
        buffer.fill_from(&mut part);
    }
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
