//! Removes submissions from the store after the retention time of their results.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::Kind;
use crate::dialect::StoreError;
use crate::submission::local::Board;
use crate::submission::manager::Desk;
use crate::submission::records::numbered;

/// Interval at which a submission is checked for removal, and a failed removal is retried.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(2);

impl Desk {
    /// Removes an ended submission from the store after the retention time of its results.
    pub(in crate::submission) async fn clean_up(self, board: Arc<Board>) {
        let remove_at = board.started() + self.shared.settings.now().keep_results();
        loop {
            if board.is_given_up() {
                return;
            }
            if self.shared.clock.now() >= remove_at && !board.is_running() {
                break;
            }
            tokio::time::sleep(CLEAN_UP_INTERVAL).await;
        }
        while let Err(error) = self.remove(&board).await {
            self.shared.journal.event(
                "submission_not_removed",
                &[("submission", &board.id), ("cause", &error)],
            );
            tokio::time::sleep(CLEAN_UP_INTERVAL).await;
        }
        self.lock().submissions.retain(|other| other.id != board.id);
        self.shared.heads.forget(&board.id);
        self.shared
            .journal
            .event("submission_removed", &[("submission", &board.id)]);
    }

    /// Removes results and items, then the head. The head goes last, so that after a crash the
    /// restarted node finds what is left to remove.
    async fn remove(&self, board: &Board) -> Result<(), StoreError> {
        let Some(known) = self.shared.heads.reread(&board.id).await? else {
            return Ok(());
        };
        if known.head.runner != self.shared.me {
            return Ok(());
        }
        let store = &self.shared.store;
        let records = [
            (Kind::ResultChunks, board.chunks()),
            (Kind::UnfinishedTexts, board.saved_records()),
            (Kind::SubmissionParts, board.head.parts as usize),
        ];
        for (kind, count) in records {
            for number in 0..count {
                let name = numbered(&board.id, number);
                store.remove(kind, &name).await?;
            }
        }
        store.remove(Kind::Submissions, &board.id).await
    }
}
