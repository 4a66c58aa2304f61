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

/// Adds text to what is there; text of the same version makes one segment.
pub fn join(segments: &mut Vec<Segment>, next: Segment) {
    match segments.last_mut() {
        Some(last) if last.weight_version == next.weight_version => {
            last.text.push_str(&next.text);
            last.tokens += next.tokens;
        }
        _ => segments.push(next),
    }
}

/// Adds all of these in their order.
pub fn join_all(segments: &mut Vec<Segment>, more: Vec<Segment>) {
    for next in more {
        join(segments, next);
    }
}

/// Tokens of all segments.
#[must_use]
pub fn tokens_of(segments: &[Segment]) -> u32 {
    segments.iter().map(|segment| segment.tokens).sum()
}

/// Text of all segments.
#[must_use]
pub fn text_of(segments: &[Segment]) -> String {
    segments.iter().map(|segment| &*segment.text).collect()
}

/// Chunks that may wait for one before them. Engines send in order; one that
/// runs this far ahead has lost a chunk, and waiting on would only cost time.
const EARLY_CHUNKS: usize = 32;

/// Why a stream makes no sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// A chunk is missing.
    Gap,
    /// A chunk does not say which version produced it.
    Unlabelled,
    /// An event is not a chunk, or text follows the end.
    Malformed,
    /// The stream ended before the answer did.
    Truncated,
}

/// Puts an answer together from its chunks.
///
/// Half an answer passed off as a whole one would teach a wrong sample, and so
/// would a chunk taken twice or in the wrong place. Chunks are therefore taken
/// strictly by their position: one sent twice is taken once, an early one waits
/// for those before it, and the answer is whole only once its last chunk and the
/// end of the stream were seen with nothing missing between.
#[derive(Debug, Clone, Default)]
pub struct Assembly {
    next_seq: u64,
    /// Chunks that came before their turn, by position.
    early: Vec<Chunk>,
    segments: Vec<Segment>,
    finished: bool,
    done: bool,
}

impl Assembly {
    /// Takes in the data of one event and gives the text that is now in its
    /// place, in order.
    ///
    /// # Errors
    ///
    /// The answer cannot become whole. What was taken before stays good.
    pub fn push(&mut self, data: &str) -> Result<Vec<Segment>, StreamFault> {
        if data == DONE {
            self.done = true;
            return Ok(Vec::new());
        }
        let chunk: Chunk =
            serde_json::from_str(data).map_err(|_malformed| StreamFault::Malformed)?;
        self.keep(chunk)?;
        let mut taken = Vec::new();
        while self
            .early
            .first()
            .is_some_and(|chunk| chunk.seq == self.next_seq)
        {
            let chunk = self.early.remove(0);
            if let Some(segment) = self.take(chunk)? {
                join(&mut self.segments, segment.clone());
                join(&mut taken, segment);
            }
        }
        Ok(taken)
    }

    /// The segments, if the answer is whole.
    ///
    /// # Errors
    ///
    /// The stream ended too early.
    pub fn whole(self) -> Result<Vec<Segment>, StreamFault> {
        if !self.early.is_empty() {
            return Err(StreamFault::Gap);
        }
        if self.finished && self.done {
            Ok(self.segments)
        } else {
            Err(StreamFault::Truncated)
        }
    }

    /// Position of the chunk that comes next.
    #[must_use]
    pub const fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// No chunk waits for one before it.
    #[must_use]
    pub const fn has_no_gap(&self) -> bool {
        self.early.is_empty()
    }

    /// The last chunk has come.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Puts a chunk where its position says, unless it was there before.
    fn keep(&mut self, chunk: Chunk) -> Result<(), StreamFault> {
        if chunk.seq < self.next_seq {
            return Ok(());
        }
        let position = self
            .early
            .binary_search_by_key(&chunk.seq, |early| early.seq);
        if let Err(position) = position {
            self.early.insert(position, chunk);
        }
        if self.early.len() > EARLY_CHUNKS {
            return Err(StreamFault::Gap);
        }
        Ok(())
    }

    fn take(&mut self, chunk: Chunk) -> Result<Option<Segment>, StreamFault> {
        if self.finished {
            return Err(StreamFault::Malformed);
        }
        let choice = chunk
            .choices
            .into_iter()
            .next()
            .ok_or(StreamFault::Malformed)?;
        let labelled = choice.text.is_empty() || chunk.weight_version.is_some();
        if !labelled {
            return Err(StreamFault::Unlabelled);
        }
        self.next_seq += 1;
        self.finished = choice.finish_reason.is_some();
        let segment = chunk.weight_version.map(|weight_version| Segment {
            text: choice.text,
            tokens: chunk.tokens,
            weight_version,
        });
        Ok(segment.filter(|segment| !segment.text.is_empty()))
    }
}
