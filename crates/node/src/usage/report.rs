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
use crate::follow::list;
use crate::holder::DutyHolder;
use crate::reload::CurrentSettings;
use crate::settings::UsageSettings;
use crate::store::CreateOutcome;
use crate::store::Store;
use crate::usage::counting::Counting;
use crate::usage::tally::AccountCount;
use crate::usage::tally::Window;

/// Time between two checks whether a window is due.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time between two checks whether this node has the duty. It is longer than `LOOK_EVERY`
/// because each check wakes up every VM of the fleet.
const IDLE_LOOK_EVERY: Duration = Duration::from_secs(1);

/// Fraction of the time allowed for a report, after its window's end, at which its counts become
/// final. By then requests in flight and late messages are counted; the rest of the time is for
/// a store or platform that is unavailable.
const SETTLE_PART: f64 = 0.3;

/// Time in which a new holder only collects counts: other nodes learn of it within a second and
/// send it all of theirs.
const GATHER: Duration = Duration::from_millis(2_500);

/// Time for which a write to a store that does not answer is tried in one round.
const FIX_FOR: Duration = Duration::from_secs(1);

/// Time-out of a report; the platform answers within milliseconds.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a report that the platform did not take, or a failed access to the store.
const SEND_AGAIN: Duration = Duration::from_millis(500);

/// Number of reports kept in the store, of which a successor sends the newest ones again.
const REPORTS_KEPT: u64 = 12;

/// Report of one window as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Fixed {
    /// Id of the write, by which a holder recognises its own write.
    write: String,
    window: Window,
    /// Sorted by account.
    counts: Vec<AccountCount>,
}

/// Dependencies of a [`Reporter`].
#[derive(Debug)]
pub struct ReporterParts {
    /// Counts of all nodes.
    pub counting: Counting,
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
pub struct Reporter {
    parts: ReporterParts,
    /// True time at this process's start.
    started: Duration,
}

/// State of a holder.
#[derive(Debug)]
struct Progress {
    /// The first window whose counts are not final.
    next: Window,
    /// Reports to send, oldest first.
    unsent: Vec<Fixed>,
    /// The oldest window whose report may be in the store.
    oldest: Window,
    /// End of the time in which a new holder only collects counts.
    gathered: Instant,
}

impl Reporter {
    /// A reporter that has not reported anything.
    #[must_use]
    pub fn new(parts: ReporterParts) -> Self {
        let started = parts.counting.true_time();
        Self { parts, started }
    }

    /// Never returns; reports whenever this node holds the duty.
    pub async fn run(self) {
        let mut progress = None;
        let mut pause = LOOK_EVERY;
        loop {
            tokio::time::sleep(pause).await;
            let settings = self.parts.settings.now();
            let usage = settings.usage.as_ref();
            let Some(usage) = usage.filter(|_| self.parts.holder.holds_duty()) else {
                progress = None;
                pause = IDLE_LOOK_EVERY;
                continue;
            };
            pause = LOOK_EVERY;
            let outcome = match &mut progress {
                None => self.begin(usage).await.map(|begun| progress = Some(begun)),
                Some(progress) => self.go_on(progress, usage).await,
            };
            if let Err(error) = outcome {
                self.parts
                    .journal
                    .event("usage_not_fixed", &[("cause", &error)]);
                tokio::time::sleep(SEND_AGAIN).await;
            }
        }
    }

    /// Reads the reports of earlier holders, and the counts that seed nodes have received.
    async fn begin(&self, usage: &UsageSettings) -> Result<Progress, StoreError> {
        let parts = &self.parts;
        let (objects, _) = list(&parts.store, ObjectKind::UsageReports, Freshness::Newest).await?;
        parts.counting.fetch_copies().await;
        let mut fixed: Vec<Fixed> = objects
            .iter()
            .filter_map(|object| self.decode(object))
            .collect();
        fixed.sort_by_key(|fixed| fixed.window);
        let now = parts.counting.true_time();
        let first = match fixed.last() {
            Some(last) => last.window.next(),
            None => self.first_ever(usage),
        };
        let too_late = now.saturating_sub(usage.due_after() + usage.window());
        let oldest = fixed.first().map_or(first, |fixed| fixed.window);
        // An earlier holder may have died before it sent the newest ones.
        fixed.retain(|fixed| fixed.window.end(usage.window()) > too_late);
        Ok(Progress {
            next: first.max(Window::of(too_late, usage.window())),
            unsent: fixed,
            oldest,
            gathered: parts.clock.now() + GATHER,
        })
    }

    /// The first window to report if none was ever reported.
    fn first_ever(&self, usage: &UsageSettings) -> Window {
        let counting = &self.parts.counting;
        let counted = counting.with_collected(|collected| collected.first());
        let started = Window::of(self.started, usage.window());
        counted.map_or(started, |counted| counted.min(started))
    }

    async fn go_on(
        &self,
        progress: &mut Progress,
        usage: &UsageSettings,
    ) -> Result<(), StoreError> {
        while self.is_due(progress, usage) {
            let fixed = self.fix(progress.next).await?;
            self.parts.counting.note_reported(progress.next);
            progress.next = progress.next.next();
            progress.unsent.push(fixed);
        }
        while let Some(first) = progress.unsent.first() {
            if !self.send(first, usage).await {
                return Ok(());
            }
            progress.unsent.remove(0);
        }
        while progress.oldest.0 + REPORTS_KEPT < progress.next.0 {
            let name = name_of(progress.oldest);
            self.parts
                .store
                .remove(ObjectKind::UsageReports, &name)
                .await?;
            progress.oldest = progress.oldest.next();
        }
        Ok(())
    }

    fn is_due(&self, progress: &Progress, usage: &UsageSettings) -> bool {
        let settle = usage.due_after().mul_f64(SETTLE_PART);
        let fix_at = progress.next.end(usage.window()) + settle;
        let parts = &self.parts;
        parts.clock.now() >= progress.gathered && parts.counting.true_time() >= fix_at
    }

    /// Writes the report of a window to the store; if an earlier holder has written one, returns
    /// that.
    async fn fix(&self, window: Window) -> Result<Fixed, StoreError> {
        let store = &self.parts.store;
        let counts = self
            .parts
            .counting
            .with_collected(|collected| collected.sum(window));
        let fixed = Fixed {
            write: store.write_id(),
            window,
            counts,
        };
        let (kind, name) = (ObjectKind::UsageReports, name_of(window));
        let until = self.parts.clock.now() + FIX_FOR;
        match store
            .create(kind, &name, &fixed, &fixed.write, until)
            .await?
        {
            CreateOutcome::Created => Ok(fixed),
            CreateOutcome::AlreadyExists => {
                let object = store.read(kind, &name).await?.ok_or(StoreError::Missing)?;
                self.decode(&object).ok_or(StoreError::Conflict)
            }
        }
    }

    fn decode(&self, object: &Object) -> Option<Fixed> {
        let fixed = serde_json::from_str(object.value.get());
        if let Err(error) = &fixed {
            let store = &self.parts.store;
            store.log_unreadable(ObjectKind::UsageReports, &object.name, error);
        }
        fixed.ok()
    }

    /// Sends a report and returns whether the platform has taken it.
    async fn send(&self, fixed: &Fixed, usage: &UsageSettings) -> bool {
        let parts = &self.parts;
        let Some(epoch) = parts.holder.verified_epoch().await else {
            return false;
        };
        let report = UsageReport {
            window: fixed.window,
            counts: &fixed.counts,
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
        self.note_sent(fixed, epoch, taken, usage);
        if !taken {
            tokio::time::sleep(SEND_AGAIN).await;
        }
        taken
    }

    fn note_sent(&self, fixed: &Fixed, epoch: u64, taken: bool, usage: &UsageSettings) {
        let now = self.parts.counting.true_time();
        let late = now.saturating_sub(fixed.window.end(usage.window()));
        let requests: u64 = fixed.counts.iter().map(|count| count.requests).sum();
        let journal = &self.parts.journal;
        journal.count(match (taken, late > usage.due_after()) {
            (false, _) => "usage.not_taken",
            (true, false) => "usage.reported",
            (true, true) => "usage.reported_late",
        });
        journal.event(
            "usage_sent",
            &[
                ("window", &fixed.window.0),
                ("accounts", &fixed.counts.len()),
                ("requests", &requests),
                ("epoch", &epoch),
                ("after_ms", &late.as_millis()),
                ("taken", &taken),
            ],
        );
    }
}

/// Name of a window's report in the store. Names sort like the numbers of windows.
fn name_of(window: Window) -> String {
    format!("{:012}", window.0)
}
