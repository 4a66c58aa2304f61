//! Removes submissions from the store after the retention time of their results.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::submission::local::LocalSubmission;
use crate::submission::manager::SubmissionManager;
use crate::submission::records::record_name;

/// Interval at which a submission is checked for removal, and a failed removal is retried.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(2);

impl SubmissionManager {
    /// Removes a submission from the store once it has ended and the retention time of its
    /// results, counted from when this process began to run it, has passed.
    pub(in crate::submission) async fn clean_up(self, submission: Arc<LocalSubmission>) {
        let remove_at = submission.started() + self.shared.settings.now().keep_results();
        loop {
            if submission.is_released() {
                return;
            }
            if self.shared.clock.now() >= remove_at && !submission.is_running() {
                break;
            }
            tokio::time::sleep(CLEAN_UP_INTERVAL).await;
        }
        while let Err(error) = self.remove(&submission).await {
            self.shared.journal.event(
                "submission_not_removed",
                &[("submission", &submission.id), ("cause", &error)],
            );
            tokio::time::sleep(CLEAN_UP_INTERVAL).await;
        }
        self.lock()
            .submissions
            .retain(|other| other.id != submission.id);
        self.shared.heads.forget(&submission.id);
        self.shared
            .journal
            .event("submission_removed", &[("submission", &submission.id)]);
    }

    /// Removes results and items, then the head. The head goes last, so that after a crash the
    /// restarted node finds what is left to remove. Does nothing if the head is gone or names
    /// another runner.
    async fn remove(&self, submission: &LocalSubmission) -> Result<(), StoreError> {
        let Some(known) = self.shared.heads.read_newest(&submission.id).await? else {
            return Ok(());
        };
        if known.head.runner != self.shared.this_node {
            return Ok(());
        }
        let store = &self.shared.store;
        let records = [
            (ObjectKind::ResultChunks, submission.chunk_count()),
            (ObjectKind::UnfinishedTexts, submission.saved_record_count()),
            (ObjectKind::SubmissionParts, submission.head.parts as usize),
        ];
        for (kind, count) in records {
            for number in 0..count {
                let name = record_name(&submission.id, number);
                store.remove(kind, &name).await?;
            }
        }
        store.remove(ObjectKind::Submissions, &submission.id).await
    }
}
