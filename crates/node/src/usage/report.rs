//! Reports usage to the platform, each window once.
//!
//! If a holder reports a window and dies, its successor may have received slightly different
//! counts, and the platform would get two different reports of one window. A report is therefore
//! written to the store, under the number of its window, before it is first sent. A successor
//! reads it there and sends the same one.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use serde::Deserialize;
use serde::Serialize;

use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::DutyAnswer;
use crate::dialect::Freshness;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::dialect::UsageReport;
use crate::holder::DutyHolder;
use crate::listing::list;
use crate::reload::CurrentSettings;
use crate::settings::UsageSettings;
use crate::store::CreateOutcome;
use crate::store::Store;
use crate::usage::counter::UsageCounter;
use crate::usage::tally::AccountCount;
use crate::usage::tally::Window;

/// Time between two checks whether a window is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two checks whether this node has the duty. It is longer than `CHECK_INTERVAL`
/// because each check wakes up every VM of the fleet.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the time allowed for a report, after its window's end, at which its counts become
/// final. By then requests in flight and late messages are counted; the rest of the time is for
/// a store or platform that is unavailable.
const SETTLE_FRACTION: f64 = 0.3;

/// Time in which a new holder only collects counts: other nodes learn of it within a second and
/// send it all of theirs.
const COLLECTION_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a write to a store that does not answer is tried in one round.
const STORE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a report; the platform answers within milliseconds.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a report that the platform did not accept, or a failed access to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of reports kept in the store, of which a successor sends the newest ones again.
const MAX_STORED_REPORTS: u64 = 12;

/// Report of one window as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WindowReport {
    /// Id of the write, by which a holder recognises its own write.
    write: String,
    window: Window,
    /// Sorted by account.
    counts: Vec<AccountCount>,
}

/// Dependencies of a [`UsageReporter`].
#[derive(Debug)]
pub struct UsageReporterParts {
    /// Counts of all nodes.
    pub usage_counter: UsageCounter,
    /// The duty of reporting.
    pub holder: DutyHolder,
    /// The platform's store.
    pub store: Store,
    /// Connections to the platform.
    pub connections: ConnectionPool,
    /// Encodes reports for the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Settings, which name the address for reports.
    pub settings: CurrentSettings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Events.
    pub journal: Journal,
}

/// Reports usage while this node holds the duty.
#[derive(Debug)]
pub struct UsageReporter {
    parts: UsageReporterParts,
    /// True time at this process's start.
    started: Duration,
}

/// State of a holder.
#[derive(Debug)]
struct Progress {
    /// The first window whose counts are not final.
    next_window: Window,
    /// Reports to send, oldest first.
    unsent: Vec<WindowReport>,
    /// The oldest window whose report may be in the store.
    oldest_window: Window,
    /// End of the time in which a new holder only collects counts.
    collect_until: Instant,
}

impl UsageReporter {
    /// A reporter that has not reported anything.
    #[must_use]
    pub fn new(parts: UsageReporterParts) -> Self {
        let started = parts.usage_counter.true_time();
        Self { parts, started }
    }

    /// Never returns; reports whenever this node holds the duty.
    pub async fn run(self) {
        let mut progress = None;
        let mut pause = CHECK_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            let settings = self.parts.settings.now();
            let usage = settings.usage.as_ref();
            let Some(usage) = usage.filter(|_| self.parts.holder.holds_duty()) else {
                progress = None;
                pause = IDLE_CHECK_INTERVAL;
                continue;
            };
            pause = CHECK_INTERVAL;
            let outcome = match &mut progress {
                None => self
                    .load_progress(usage)
                    .await
                    .map(|loaded| progress = Some(loaded)),
                Some(progress) => self.report_due_windows(progress, usage).await,
            };
            if let Err(error) = outcome {
                self.parts
                    .journal
                    .event("usage_not_fixed", &[("cause", &error)]);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads the reports of earlier holders, and the counts that seed nodes have received.
    async fn load_progress(&self, usage: &UsageSettings) -> Result<Progress, StoreError> {
        let parts = &self.parts;
        let (objects, _) = list(&parts.store, ObjectKind::UsageReports, Freshness::Newest).await?;
        parts.usage_counter.fetch_snapshots().await;
        let mut reports: Vec<WindowReport> = objects
            .iter()
            .filter_map(|object| self.decode(object))
            .collect();
        reports.sort_by_key(|report| report.window);
        let now = parts.usage_counter.true_time();
        let first = match reports.last() {
            Some(last) => last.window.next(),
            None => self.initial_window(usage),
        };
        let too_late = now.saturating_sub(usage.due_after() + usage.window());
        let oldest = reports.first().map_or(first, |report| report.window);
        // An earlier holder may have died before it sent the newest ones.
        reports.retain(|report| report.window.end(usage.window()) > too_late);
        Ok(Progress {
            next_window: first.max(Window::of(too_late, usage.window())),
            unsent: reports,
            oldest_window: oldest,
            collect_until: parts.clock.now() + COLLECTION_TIME,
        })
    }

    /// The first window to report if none was ever reported.
    fn initial_window(&self, usage: &UsageSettings) -> Window {
        let usage_counter = &self.parts.usage_counter;
        let counted = usage_counter.with_fleet_counts(|counts| counts.first_window());
        let started = Window::of(self.started, usage.window());
        counted.map_or(started, |counted| counted.min(started))
    }

    async fn report_due_windows(
        &self,
        progress: &mut Progress,
        usage: &UsageSettings,
    ) -> Result<(), StoreError> {
        while self.is_due(progress, usage) {
            let report = self.store_report(progress.next_window).await?;
            self.parts
                .usage_counter
                .record_reported(progress.next_window);
            progress.next_window = progress.next_window.next();
            progress.unsent.push(report);
        }
        while let Some(first) = progress.unsent.first() {
            if !self.send(first, usage).await {
                return Ok(());
            }
            progress.unsent.remove(0);
        }
        while progress.oldest_window.0 + MAX_STORED_REPORTS < progress.next_window.0 {
            let name = report_name(progress.oldest_window);
            self.parts
                .store
                .remove(ObjectKind::UsageReports, &name)
                .await?;
            progress.oldest_window = progress.oldest_window.next();
        }
        Ok(())
    }

    fn is_due(&self, progress: &Progress, usage: &UsageSettings) -> bool {
        let settle = usage.due_after().mul_f64(SETTLE_FRACTION);
        let final_at = progress.next_window.end(usage.window()) + settle;
        let parts = &self.parts;
        parts.clock.now() >= progress.collect_until && parts.usage_counter.true_time() >= final_at
    }

    /// Writes the report of a window to the store; if an earlier holder has written one, returns
    /// that.
    async fn store_report(&self, window: Window) -> Result<WindowReport, StoreError> {
        let store = &self.parts.store;
        let counts = self
            .parts
            .usage_counter
            .with_fleet_counts(|counts| counts.sum(window));
        let report = WindowReport {
            write: store.write_id(),
            window,
            counts,
        };
        let (kind, name) = (ObjectKind::UsageReports, report_name(window));
        let until = self.parts.clock.now() + STORE_WRITE_TIMEOUT;
        match store
            .create(kind, &name, &report, &report.write, until)
            .await?
        {
            CreateOutcome::Created => Ok(report),
            CreateOutcome::AlreadyExists => {
                let object = store.read(kind, &name).await?.ok_or(StoreError::Missing)?;
                self.decode(&object).ok_or(StoreError::Conflict)
            }
        }
    }

    fn decode(&self, object: &Object) -> Option<WindowReport> {
        let report = serde_json::from_str(object.value.get());
        if let Err(error) = &report {
            let store = &self.parts.store;
            store.log_unreadable(ObjectKind::UsageReports, &object.name, error);
        }
        report.ok()
    }

    /// Sends a report and returns whether the platform has accepted it.
    async fn send(&self, window_report: &WindowReport, usage: &UsageSettings) -> bool {
        let parts = &self.parts;
        let Some(epoch) = parts.holder.verified_epoch().await else {
            return false;
        };
        let report = UsageReport {
            window: window_report.window,
            counts: &window_report.counts,
            holder: parts.holder.name(),
            epoch,
        };
        let request = parts.dialect.usage_report(&report);
        if !parts.holder.may_act(epoch) {
            return false;
        }
        let answer = parts
            .connections
            .call(usage.report_to, request, SEND_TIMEOUT)
            .await;
        let taken = answer
            .as_ref()
            .is_ok_and(|answer| parts.dialect.duty_answer(answer.status()) == DutyAnswer::Done);
        self.log_sent(window_report, epoch, taken, usage);
        if !taken {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        taken
    }

    fn log_sent(
        &self,
        window_report: &WindowReport,
        epoch: u64,
        taken: bool,
        usage: &UsageSettings,
    ) {
        let now = self.parts.usage_counter.true_time();
        let delay = now.saturating_sub(window_report.window.end(usage.window()));
        let requests: u64 = window_report
            .counts
            .iter()
            .map(|count| count.requests)
            .sum();
        let journal = &self.parts.journal;
        journal.count(match (taken, delay > usage.due_after()) {
            (false, _) => "usage.not_taken",
            (true, false) => "usage.reported",
            (true, true) => "usage.reported_late",
        });
        journal.event(
            "usage_sent",
            &[
                ("window", &window_report.window.0),
                ("accounts", &window_report.counts.len()),
                ("requests", &requests),
                ("epoch", &epoch),
                ("after_ms", &delay.as_millis()),
                ("taken", &taken),
            ],
        );
    }
}

/// Name of a window's report in the store. Names sort like the numbers of windows.
fn report_name(window: Window) -> String {
    format!("{:012}", window.0)
}
