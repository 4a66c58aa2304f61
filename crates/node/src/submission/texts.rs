//! Texts of items, whole or in part, kept for the next step that asks for them.
//!
//! **Load:** a trainer ends a step with nine groups of ten and brings the others again
//! in a later one. Those are the groups with the longest items. **Without it:** they
//! start anew each time, and the step that waits for them is late again. **How:** what
//! their engines had made is kept in memory, and goes on there if its versions are
//! fresh enough for the later step.

use std::collections::VecDeque;

use crate::dialect::StreamEvent;
use crate::model::Score;
use crate::submission::records::TextPiece;

/// Bytes of texts that are kept: those of some steps, and little beside a small VM's memory.
const KEPT_BYTES: usize = 6 << 20;

/// What an item has so far.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Data of the events so far.
    pub events: Vec<String>,
    /// Number of the last event; 0 for none.
    pub last_event: u64,
    /// Versions that made an event, ascending.
    pub versions: Vec<u64>,
    /// The last event has come.
    pub whole: bool,
    /// Score of the whole text.
    pub score: Option<Score>,
    /// Failures that an engine told of.
    pub failures: u32,
    /// An earlier text of this run of the submission was dropped.
    pub restarted: bool,
}

impl Progress {
    /// Takes in the next event.
    pub fn add(&mut self, event: StreamEvent, version: u64) {
        self.last_event = event.number;
        self.events.push(event.data);
        if let Err(at) = self.versions.binary_search(&version) {
            self.versions.insert(at, version);
        }
    }

    /// Drops the text.
    pub fn restart(&mut self) {
        *self = Self {
            failures: self.failures,
            restarted: true,
            ..Self::default()
        };
    }
}

/// What the store has of an item's text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedText {
    /// Id of the item.
    pub item: String,
    /// Events that are saved.
    pub events: usize,
    /// They are the whole text.
    pub whole: bool,
}

/// Puts texts together from the pieces that runners saved, oldest first; sorted by item.
///
/// A piece that does not begin where the text ends comes from a runner that did not
/// know of the pieces before it, and is left out.
#[must_use]
pub fn put_together(pieces: Vec<TextPiece>) -> Vec<(String, Progress)> {
    let mut texts: Vec<(String, Progress)> = Vec::new();
    for piece in pieces {
        let found = texts.binary_search_by(|(item, _)| item.cmp(&piece.item));
        let at = found.unwrap_or_else(|at| {
            texts.insert(at, (piece.item.clone(), Progress::default()));
            at
        });
        let progress = &mut texts[at].1;
        if progress.events.len() == piece.after {
            progress.events.extend(piece.events);
            progress.last_event = progress.events.len() as u64;
            progress.versions = piece.versions;
            progress.whole = piece.whole;
        }
    }
    texts
}

/// The text of one item.
#[derive(Debug)]
pub struct Kept {
    item: String,
    bytes: usize,
    /// The text.
    pub progress: Progress,
}

/// Texts of items that may be asked for again, oldest first.
#[derive(Debug, Default)]
pub struct KeptTexts {
    kept: VecDeque<Kept>,
    bytes: usize,
}

impl KeptTexts {
    /// Keeps the text of an item, and drops the oldest beyond the limit.
    pub fn keep(&mut self, item: &str, mut progress: Progress) {
        if progress.events.is_empty() {
            return;
        }
        progress.failures = 0;
        progress.restarted = false;
        let text: usize = progress.events.iter().map(String::len).sum();
        let bytes = text + item.len() + 100;
        self.bytes += bytes;
        self.kept.push_back(Kept {
            item: item.to_owned(),
            bytes,
            progress,
        });
        while self.bytes > KEPT_BYTES {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Takes out the newest text of an item, if all versions that made it are fresh
    /// enough.
    pub fn take(&mut self, item: &str, min_version: u64) -> Option<Kept> {
        let at = self.kept.iter().rposition(|kept| kept.item == item)?;
        let kept = self.kept.remove(at)?;
        self.bytes -= kept.bytes;
        let oldest = kept.progress.versions.first();
        oldest
            .is_some_and(|oldest| *oldest >= min_version)
            .then_some(kept)
    }
}
