//! Saves the texts of unfinished samples to the store, so that they survive their runner.
//!
//! The longest samples take nearly all the time of a step. Were their texts lost with a runner
//! that crashes, or loses power together with all others, their groups would complete too late.
//!
//! Each [`SAVE_INTERVAL`] the runner creates a numbered record with the new events of the longer
//! texts. A text that is complete and waits for its score is saved at any length, so that the
//! next runner only has to request the score. Like result chunks, records are never changed. A
//! runner that finds the next number taken stops saving, as another node runs the submission.
//! The next runner reads the records and continues the texts.

use std::sync::Arc;
use std::time::Duration;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::drafting::Drafting;
use crate::store::CreateOutcome;
use crate::store::Store;
use crate::submission::local::LocalSubmission;
use crate::submission::records::UnfinishedTexts;
use crate::submission::records::estimated_piece_bytes;
use crate::submission::records::record_name;
use crate::submission::records::split_into_records;
use crate::submission::texts::SavedText;

/// Interval between records: a sample loses a second of text with its runner on average, and a
/// step costs three calls to the store.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a write is retried.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Saves the texts of one submission.
#[derive(Debug)]
pub struct TextSaver {
    /// The submission.
    pub submission: Arc<LocalSubmission>,
    /// Provides the texts.
    pub drafting: Drafting,
    /// The platform store.
    pub store: Store,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The event log.
    pub journal: Journal,
}

impl TextSaver {
    /// Saves texts until the submission is complete, has ended, or is run by another node.
    pub async fn run(self) {
        let mut saved = self.submission.saved_texts();
        // A record whose write had no answer. It may still appear in the store, so it is
        // retried before another record may use its number.
        let mut unconfirmed: Option<UnfinishedTexts> = None;
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            if !self.submission.is_running() || self.submission.is_complete() {
                return;
            }
            let Some(record) = unconfirmed.take().or_else(|| self.next_record(&saved)) else {
                continue;
            };
            match self.write(&record).await {
                Ok(CreateOutcome::Created) => {
                    self.submission
                        .set_saved_record_count(self.submission.saved_record_count() + 1);
                    update_saved(&mut saved, &record);
                }
                Ok(CreateOutcome::AlreadyExists) => {
                    self.log_event("texts_met", &"another-runner");
                    return;
                }
                Err(StoreError::Unknown) => unconfirmed = Some(record),
                Err(error) => self.log_event("texts_unsaved", &error),
            }
        }
    }

    /// Returns a record of unsaved events, up to the size limit; `None` if there are none.
    fn next_record(&self, saved: &[SavedText]) -> Option<UnfinishedTexts> {
        let pieces = self.drafting.unsaved_texts(&self.submission.id, saved);
        let mut records = split_into_records(pieces, estimated_piece_bytes);
        records.truncate(1);
        let pieces = records.pop()?;
        let write = self.store.write_id();
        Some(UnfinishedTexts { write, pieces })
    }

    async fn write(&self, record: &UnfinishedTexts) -> Result<CreateOutcome, StoreError> {
        let name = record_name(&self.submission.id, self.submission.saved_record_count());
        let until = self.clock.now() + WRITE_TIMEOUT;
        let kind = ObjectKind::UnfinishedTexts;
        let creating = self.store.create(kind, &name, record, &record.write, until);
        creating.await
    }

    fn log_event(&self, name: &str, cause: &dyn std::fmt::Display) {
        let id = &self.submission.id;
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("submission", id), ("cause", cause)];
        self.journal.event(name, &fields);
    }
}

fn update_saved(saved: &mut Vec<SavedText>, record: &UnfinishedTexts) {
    for piece in &record.pieces {
        let text = SavedText {
            item: piece.item.clone(),
            events: piece.after + piece.events.len(),
            complete: piece.complete,
        };
        match saved.binary_search_by(|other| other.item.cmp(&piece.item)) {
            Ok(at) => saved[at] = text,
            Err(at) => saved.insert(at, text),
        }
    }
}
