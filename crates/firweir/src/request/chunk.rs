//! The stream of one engine answer, as chunks with the weight version that
//! produced each.

use serde::Deserialize;
use serde::Serialize;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// One event of an engine's stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// Position in the stream, from 0.
    pub seq: u64,
    /// The text; engines here give one choice.
    pub choices: Vec<Choice>,
    /// Weight version that produced the text.
    #[serde(default)]
    pub weight_version: Option<u64>,
    /// Tokens of the text.
    pub tokens: u32,
}

/// One choice of a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Choice {
    /// The text.
    pub text: String,
    /// Set on the last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text that one weight version produced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The text.
    pub text: String,
    /// Its tokens.
    pub tokens: u32,
    /// The version as the engine reported it with the text.
    pub weight_version: u64,
}

/// Why a stream makes no sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// A chunk is missing.
    Gap,
    /// A chunk does not say which version produced it.
    Unlabelled,
    /// An event is not a chunk.
    Malformed,
}

/// Puts an answer together from its chunks.
///
/// A chunk sent twice is taken once; a missing one spoils the answer, since
/// half an answer must never pass for a whole one.
#[derive(Debug, Clone, Default)]
pub struct Assembly {
    next_seq: u64,
    segments: Vec<Segment>,
    finished: bool,
    done: bool,
}

impl Assembly {
    /// Takes in the data of one event.
    ///
    /// # Errors
    ///
    /// The answer cannot become whole.
    pub fn push(&mut self, data: &str) -> Result<(), StreamFault> {
        if data == DONE {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk =
            serde_json::from_str(data).map_err(|_malformed| StreamFault::Malformed)?;
        if chunk.seq < self.next_seq {
            return Ok(());
        }
        if chunk.seq > self.next_seq {
            return Err(StreamFault::Gap);
        }
        self.next_seq += 1;
        let choice = chunk
            .choices
            .into_iter()
            .next()
            .ok_or(StreamFault::Malformed)?;
        self.finished |= choice.finish_reason.is_some();
        self.append(choice.text, chunk.tokens, chunk.weight_version)
    }

    /// The segments, if the answer is whole.
    #[must_use]
    pub fn whole(self) -> Option<Vec<Segment>> {
        (self.finished && self.done).then_some(self.segments)
    }

    fn append(
        &mut self,
        text: String,
        tokens: u32,
        weight_version: Option<u64>,
    ) -> Result<(), StreamFault> {
        if text.is_empty() {
            return Ok(());
        }
        let weight_version = weight_version.ok_or(StreamFault::Unlabelled)?;
        match self.segments.last_mut() {
            Some(last) if last.weight_version == weight_version => {
                last.text.push_str(&text);
                last.tokens += tokens;
            }
            _ => self.segments.push(Segment {
                text,
                tokens,
                weight_version,
            }),
        }
        Ok(())
    }
}
