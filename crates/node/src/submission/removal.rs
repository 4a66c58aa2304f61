//! Removing submissions from the store once their results need no longer be read.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::Kind;
use crate::dialect::StoreError;
use crate::submission::board::Board;
use crate::submission::desk::Desk;
use crate::submission::records::numbered;

/// Time between looks at whether a submission is to be removed.
const CLEAN_UP_EVERY: Duration = Duration::from_secs(2);

impl Desk {
    /// Removes a submission from the store once its results need no longer be read.
    pub(in crate::submission) async fn clean_up(self, board: Arc<Board>) {
        let due = board.started() + self.shared.settings.now().keep_results();
        loop {
            if board.is_given_up() {
                return;
            }
            if self.shared.clock.now() >= due && !board.is_running() {
                break;
            }
            tokio::time::sleep(CLEAN_UP_EVERY).await;
        }
        while let Err(error) = self.remove(&board).await {
            self.shared.journal.event(
                "submission_not_removed",
                &[("submission", &board.id), ("cause", &error)],
            );
            tokio::time::sleep(CLEAN_UP_EVERY).await;
        }
        self.lock().boards.retain(|held| held.id != board.id);
        self.shared.heads.forget(&board.id);
        self.shared
            .journal
            .event("submission_removed", &[("submission", &board.id)]);
    }

    /// Removes results and items, then the head: as long as that is there, a node that
    /// starts finds what is left to remove.
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
