//! Writes the failures that a node saw to an object of its own in the store, so that they outlive
//! the node. The object is of the kind that all nodes follow anyway.

use std::time::Duration;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::failed_requests::FailedRequests;
use crate::failure_records::FailureRecord;

/// Shortest time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed write: outages of the store last seconds, and each call costs.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Interval at which expired failures are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

impl FailedRequests {
    /// Writes what this node sees to the store as it changes; never returns.
    pub async fn run_writer(self) {
        loop {
            let changed = self.inner.write_due.notified();
            // A timeout needs no handling: expired failures are dropped below.
            _ = tokio::time::timeout(self.write_delay(), changed).await;
            if self.write_delay().is_zero() {
                let pause = match self.write().await {
                    Ok(()) => WRITE_INTERVAL,
                    Err(error) => {
                        self.handle_failed_write(&error).await;
                        WRITE_RETRY_DELAY
                    }
                };
                tokio::time::sleep(pause).await;
            }
            self.drop_expired();
        }
    }

    fn drop_expired(&self) {
        let oldest_ms = self.oldest_ms();
        let mut state = self.lock();
        state.log.drop_before(oldest_ms);
        self.update_suspects(&mut state);
    }

    /// Time until the unwritten changes are due to be written.
    fn write_delay(&self) -> Duration {
        let now = self.inner.clock.now();
        let state = self.lock();
        let delay = state.write_timer.delay(now).filter(|_| state.is_loaded);
        delay.unwrap_or(EXPIRY_INTERVAL)
    }

    async fn write(&self) -> Result<(), StoreError> {
        let Some((record, revision)) = self.take_unwritten() else {
            return Ok(());
        };
        let (store, name) = (&self.inner.store, &self.inner.name);
        let kind = ObjectKind::Duties;
        let revision = match revision {
            Some(revision) => {
                let replacing = store.replace(kind, name, revision, &record, &record.write);
                replacing.await?.revision
            }
            None => store.create_once(kind, name, &record).await?,
        };
        self.lock().revision = Some(revision);
        Ok(())
    }

    /// The record to write, with the revision that it replaces; `None` if the changes have cancelled
    /// each other out.
    fn take_unwritten(&self) -> Option<(FailureRecord, Option<u64>)> {
        let oldest_ms = self.oldest_ms();
        let mut state = self.lock();
        state.write_timer.reset();
        state.own.drop_before(oldest_ms);
        let own = &mut state.own;
        if own.is_empty() {
            return None;
        }
        own.mark_written();
        let record = FailureRecord {
            write: self.inner.store.write_id(),
            seen: own.clone(),
        };
        Some((record, state.revision))
    }

    /// Has the failures written again, on the object as it is then.
    async fn handle_failed_write(&self, error: &StoreError) {
        let (store, name) = (&self.inner.store, &self.inner.name);
        self.log_problem("failures_unwritten", name, error);
        let now = self.inner.clock.now();
        self.lock().write_timer.start(now, false);
        if matches!(error, StoreError::Refused(_) | StoreError::Unreachable) {
            return;
        }
        match store.read(ObjectKind::Duties, name).await {
            Ok(Some(object)) => self.put(&mut self.lock(), &object),
            Ok(None) => self.lock().revision = None,
            // The next write fails as well, and is retried.
            Err(_) => {}
        }
    }
}
