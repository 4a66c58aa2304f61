//! Saves texts of samples that are being made, so that a sample survives its runner.
//!
//! **Load:** the longest samples take nearly all the time that a step has. **Without it:** a
//! runner that dies, or loses power with all others, takes their texts along; they begin
//! anew elsewhere and the groups that they belong to come too late. **How:** a numbered record
//! each [`SAVE_EVERY`] with what is new of the long ones. Records are created only, as
//! chunks of results are: a runner that meets a record of its number is not the only one,
//! and saves no more. A text that is whole and waits for its score is saved whatever its
//! length: its runner's successor then only asks for the score. Whoever runs the submission next reads them and goes on.

use std::sync::Arc;
use std::time::Duration;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;

use crate::dialect::Kind;
use crate::dialect::StoreError;
use crate::drafting::Drafting;
use crate::store::Created;
use crate::store::Store;
use crate::submission::board::Board;
use crate::submission::records::UnfinishedTexts;
use crate::submission::records::cut;
use crate::submission::records::numbered;
use crate::submission::records::piece_bytes;
use crate::submission::texts::SavedText;

/// Time between two records: what a sample loses with its runner is a second on
/// average, and a step costs three calls of the store.
const SAVE_EVERY: Duration = Duration::from_secs(2);

/// How long one write is tried.
const WRITE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Saves the texts of one submission.
#[derive(Debug)]
pub struct Saver {
    /// The submission.
    pub board: Arc<Board>,
    /// Has the texts.
    pub drafting: Drafting,
    /// The platform's store.
    pub store: Store,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Events.
    pub journal: Journal,
}

impl Saver {
    /// Saves for as long as this node runs the submission and is the only one.
    pub async fn run(self) {
        let mut saved = self.board.saved_texts();
        // A record whose write is still open: it may yet appear, so that nothing else may
        // get its number.
        let mut open: Option<UnfinishedTexts> = None;
        loop {
            tokio::time::sleep(SAVE_EVERY).await;
            if !self.board.is_running() || self.board.is_complete() {
                return;
            }
            let Some(record) = open.take().or_else(|| self.next_record(&saved)) else {
                continue;
            };
            match self.write(&record).await {
                Ok(Created::Now) => {
                    self.board
                        .note_saved_records(self.board.saved_records() + 1);
                    note_saved(&mut saved, &record);
                }
                Ok(Created::Before) => {
                    self.event("texts_met", &"another-runner");
                    return;
                }
                Err(StoreError::Unknown) => open = Some(record),
                Err(error) => self.event("texts_unsaved", &error),
            }
        }
    }

    /// What is new, as far as it fits one record.
    fn next_record(&self, saved: &[SavedText]) -> Option<UnfinishedTexts> {
        let pieces = self.drafting.unsaved_texts(&self.board.id, saved);
        let mut records = cut(pieces, piece_bytes);
        records.truncate(1);
        let pieces = records.pop()?;
        let write = self.store.write_id();
        Some(UnfinishedTexts { write, pieces })
    }

    async fn write(&self, record: &UnfinishedTexts) -> Result<Created, StoreError> {
        let name = numbered(&self.board.id, self.board.saved_records());
        let until = self.clock.now() + WRITE_PATIENCE;
        let kind = Kind::UnfinishedTexts;
        let creating = self.store.create(kind, &name, record, &record.write, until);
        creating.await
    }

    fn event(&self, name: &str, cause: &dyn std::fmt::Display) {
        let submission = &self.board.id;
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("submission", submission), ("cause", cause)];
        self.journal.event(name, &fields);
    }
}

fn note_saved(saved: &mut Vec<SavedText>, record: &UnfinishedTexts) {
    for piece in &record.pieces {
        let text = SavedText {
            item: piece.item.clone(),
            events: piece.after + piece.events.len(),
            whole: piece.whole,
        };
        match saved.binary_search_by(|held| held.item.cmp(&piece.item)) {
            Ok(at) => saved[at] = text,
            Err(at) => saved.insert(at, text),
        }
    }
}
