//! Bodies in memory, in blocks of bounded size.
//!
//! The parts in which a body arrives are copied into blocks: each part would keep the buffer that it
//! was read into, and some bytes of its own, so that many small parts took many times their size. A
//! body is not copied again into one piece, which would hold it twice.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::io::Read;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection::memory_budget::Reservation;

/// Largest block.
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// First block of a body whose length is not known.
const MIN_BLOCK_BYTES: usize = 4 << 10;

/// A whole body; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Blocks {
    blocks: VecDeque<Bytes>,
    bytes: usize,
}

impl Blocks {
    /// Number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// The blocks in order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.blocks.iter()
    }

    /// Removes the first block.
    pub fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.bytes -= block.len();
        Some(block)
    }

    /// The bytes in one piece. Several blocks are copied, and each is freed as soon as it is.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() < 2 {
            return self.pop().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.bytes);
        while let Some(block) = self.pop() {
            whole.extend_from_slice(&block);
        }
        whole.into()
    }

    fn push(&mut self, block: Bytes) {
        if !block.is_empty() {
            self.bytes += block.len();
            self.blocks.push_back(block);
        }
    }
}

/// Reads the bytes; each block is freed once it is read.
impl Read for Blocks {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(block) = self.blocks.front_mut() else {
            return Ok(0);
        };
        let bytes = block.len().min(buffer.len());
        buffer[..bytes].copy_from_slice(&block[..bytes]);
        block.advance(bytes);
        if block.is_empty() {
            self.blocks.pop_front();
        }
        self.bytes -= bytes;
        Ok(bytes)
    }
}

impl From<Bytes> for Blocks {
    fn from(block: Bytes) -> Self {
        let mut blocks = Self::default();
        blocks.push(block);
        blocks
    }
}

impl Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.pop().map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes as u64)
    }
}

/// A block with its share of the memory budget.
struct HeldBlock {
    bytes: Vec<u8>,
    _reservation: Option<Reservation>,
}

impl AsRef<[u8]> for HeldBlock {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Collects the parts of a body into blocks.
#[derive(Debug)]
pub(crate) struct BlockBuffer {
    whole: Blocks,
    open: Vec<u8>,
    open_reservation: Option<Reservation>,
    announced_bytes: Option<usize>,
}

impl BlockBuffer {
    /// An empty one for a body of this length, if that is known.
    pub(crate) fn new(announced_bytes: Option<usize>) -> Self {
        Self {
            whole: Blocks::default(),
            open: Vec::new(),
            open_reservation: None,
            announced_bytes,
        }
    }

    /// Bytes collected so far.
    pub(crate) const fn len(&self) -> usize {
        self.whole.len() + self.open.len()
    }

    /// Bytes of memory that it holds.
    pub(crate) const fn held_bytes(&self) -> usize {
        self.whole.len() + self.open.capacity()
    }

    /// Size of the block that is needed before more bytes can be added; `None` if there is room.
    pub(crate) fn block_needed(&self) -> Option<usize> {
        if self.open.len() < self.open.capacity() {
            return None;
        }
        let wanted = match self.announced_bytes {
            Some(announced_bytes) => announced_bytes.saturating_sub(self.len()).max(1),
            None => self.len().max(MIN_BLOCK_BYTES),
        };
        Some(wanted.min(MAX_BLOCK_BYTES))
    }

    /// Adds a block of this size.
    pub(crate) fn add_block(&mut self, bytes: usize, reservation: Reservation) {
        self.close_block();
        self.open = Vec::with_capacity(bytes);
        self.open_reservation = Some(reservation);
    }

    /// Adds bytes as far as there is room, and removes them from `part`.
    pub(crate) fn fill_from(&mut self, part: &mut Bytes) {
        let room = self.open.capacity() - self.open.len();
        let fitting = part.split_to(room.min(part.len()));
        self.open.extend_from_slice(&fitting);
    }

    /// Adds bytes that are not copied.
    pub(crate) fn add_shared(&mut self, part: Bytes) {
        self.close_block();
        self.whole.push(part);
    }

    /// The body.
    pub(crate) fn finish(mut self) -> Blocks {
        self.close_block();
        self.whole
    }

    fn close_block(&mut self) {
        let block = HeldBlock {
            bytes: std::mem::take(&mut self.open),
            _reservation: self.open_reservation.take(),
        };
        if !block.bytes.is_empty() {
            self.whole.push(Bytes::from_owner(block));
        }
    }
}
