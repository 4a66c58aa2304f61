//! Whether the bytes of an engine's stream end as a whole answer does.

use crate::request::chunk::DONE;

/// Bytes kept of the end of a stream: the last event and the line ends after it.
const KEPT_BYTES: usize = 32;

/// Watches the end of a stream as it passes.
#[derive(Debug, Default)]
pub struct StreamEnd {
    /// The last bytes that passed.
    kept: Vec<u8>,
}

impl StreamEnd {
    /// Bytes that passed.
    pub fn push(&mut self, bytes: &[u8]) {
        let from = bytes.len().saturating_sub(KEPT_BYTES);
        self.kept.extend_from_slice(&bytes[from..]);
        let surplus = self.kept.len().saturating_sub(KEPT_BYTES);
        self.kept.drain(..surplus);
    }

    /// The last event was the one that ends an answer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.kept.trim_ascii_end().ends_with(DONE.as_bytes())
    }
}
