//! Counts failed runs of requests and items over all nodes and restarts, so that what fails
//! wherever it runs is stopped everywhere.
//!
//! Without it each node, and each step that repeats an item, starts to count at zero: a request
//! that crashes upstreams is sent on by one node after the other, and an item that always fails
//! runs anew in every step.
//!
//! A node tells the failures that it saw to the other nodes through the seeds
//! ([`crate::failure_exchange`]), also while the store is away. It writes them to the store as well
//! ([`crate::failure_writer`]), where they outlive the nodes. An answer at any node clears the
//! failures of the request at all nodes.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::crash_evidence::Loss;
use firweir_policy::crash_evidence::crash_count;
use firweir_policy::crash_evidence::ended_together;
use firweir_policy::suspect::Isolation;
use firweir_policy::suspect::LossReport;
use firweir_policy::suspect::SUSPICION_EXPIRY;
use firweir_policy::suspect::Suspects;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::change::Change;
use crate::dialect::Object;
use crate::failure_log::FailureLog;
use crate::failure_records::Clearing;
use crate::failure_records::Failure;
use crate::failure_records::FailureRecord;
use crate::failure_records::NodeFailures;
use crate::fingerprint::Fingerprint;
use crate::model::Instance;
use crate::report_timer::ReportTimer;
use crate::store::Store;

/// Number of steps in which an item may fail as often as its route allows. A second step gives an
/// item another chance that failed by a fault of its engines; after that it counts as failing
/// wherever it runs.
const MAX_STEPS_WITH_FAILURES: u32 = 2;

/// Prefix of the names of these objects among the duties in the store.
const PREFIX: &str = "failures-";

/// By how much the times of day of two nodes may differ: an answer clears failures up to this much
/// later.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(3);

#[derive(Debug)]
pub(crate) struct State {
    /// Decides by the failures that all nodes saw.
    suspects: Suspects,
    /// These failures, sorted by request, cause and time.
    current: Vec<Failure>,
    pub(crate) own: NodeFailures,
    /// By name of the object, sorted.
    others: Vec<(String, NodeFailures)>,
    /// What this node and others have told one another.
    pub(crate) log: FailureLog,
    /// Revision of this node's object; `None` if there is none.
    pub(crate) revision: Option<u64>,
    /// Whether the objects of other nodes and of an earlier process of this node were read.
    pub(crate) is_loaded: bool,
    /// When `own` is to be written to the store.
    pub(crate) write_timer: ReportTimer,
    /// Changes of `own` that are not in the log.
    pub(crate) untold: NodeFailures,
    /// When they are to be told to other nodes.
    pub(crate) news_timer: ReportTimer,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) store: Store,
    pub(crate) clock: Arc<dyn Clock>,
    journal: Journal,
    /// Name of this node's object.
    pub(crate) name: String,
    state: Mutex<State>,
    /// A change is to be written to the store.
    pub(crate) write_due: Notify,
    /// A change is to be told to other nodes.
    pub(crate) news_due: Notify,
    /// The log has new entries.
    pub(crate) log_changed: Notify,
    /// Admits one suspected request at a time.
    isolated: Semaphore,
}

/// Failed runs of requests and items; cheap to clone.
#[derive(Debug, Clone)]
pub struct FailedRequests {
    pub(crate) inner: Arc<Inner>,
}

impl FailedRequests {
    /// Creates it without failures, for the node with this name.
    #[must_use]
    pub fn new(store: Store, clock: Arc<dyn Clock>, journal: Journal, node: &str) -> Self {
        Self {
            inner: Arc::new(Inner {
                store,
                clock,
                journal,
                name: format!("{PREFIX}{node}"),
                state: Mutex::new(State::new()),
                write_due: Notify::new(),
                news_due: Notify::new(),
                log_changed: Notify::new(),
                isolated: Semaphore::new(1),
            }),
        }
    }

    /// Records that the connection to an upstream broke before it had answered the request.
    pub fn record_lost_upstream(&self, fingerprint: Fingerprint, upstream: &Instance) {
        let cause = Fingerprint::of_cause(&upstream.to_string());
        self.record(fingerprint, cause);
    }

    /// Records that an upstream reported a failure.
    pub fn record_failed_run(&self, fingerprint: Fingerprint) {
        let run = self.inner.store.write_id();
        self.record(fingerprint, Fingerprint::of_cause(&run));
    }

    fn record(&self, fingerprint: Fingerprint, cause: Fingerprint) {
        let now = self.inner.clock.now();
        let failure = Failure {
            fingerprint: fingerprint.0,
            cause: cause.0,
            at_ms: self.now_ms(),
            is_written: false,
        };
        let mut state = self.lock();
        if !state.own.add_failure(failure) {
            return;
        }
        self.update_suspects(&mut state);
        let is_urgent = state.suspects.losses(now, fingerprint.0) > 1;
        state.untold.add_failure(failure);
        state.start_timers(now, is_urgent);
        drop(state);
        self.notify_reporters();
    }

    /// Clears the failures of a request on all nodes, after a complete answer.
    pub fn clear(&self, fingerprint: Fingerprint) {
        let now = self.inner.clock.now();
        let mut state = self.lock();
        let losses = state.suspects.losses(now, fingerprint.0);
        if losses == 0 {
            return;
        }
        let fields: [(&str, &dyn Display); 2] =
            [("fingerprint", &fingerprint), ("failures", &losses)];
        self.inner.journal.event("failures_cleared", &fields);
        let is_known_elsewhere = state.is_known_elsewhere(fingerprint);
        let clearing = Clearing {
            fingerprint: fingerprint.0,
            at_ms: self.now_ms(),
        };
        state.own.clear(clearing);
        self.update_suspects(&mut state);
        state.untold.drop_failures_of(fingerprint.0);
        if is_known_elsewhere {
            state.untold.add_clearing(clearing);
            state.start_timers(now, true);
        }
        drop(state);
        self.notify_reporters();
    }

    fn notify_reporters(&self) {
        self.inner.write_due.notify_one();
        self.inner.news_due.notify_one();
    }

    /// Number of failures on all nodes.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint) -> u32 {
        let now = self.inner.clock.now();
        self.lock().suspects.losses(now, fingerprint.0)
    }

    /// Whether a request must not run again: it has failed `failures_here` times, in the step or call
    /// that asks, and is allowed `max_attempts` there, or it has failed too often on all nodes.
    #[must_use]
    pub fn is_exhausted(
        &self,
        fingerprint: Fingerprint,
        failures_here: u32,
        max_attempts: u32,
    ) -> bool {
        let max_attempts = max_attempts.max(1);
        let max_in_all = max_attempts.saturating_mul(MAX_STEPS_WITH_FAILURES);
        failures_here >= max_attempts || self.count(fingerprint) >= max_in_all
    }

    /// Restriction under which a request may run, by the upstreams that it may have crashed.
    #[must_use]
    pub fn isolation(&self, fingerprint: Fingerprint) -> Isolation {
        let now = self.inner.clock.now();
        let state = self.lock();
        match state.suspects.isolation(now, fingerprint.0) {
            Isolation::Quarantined(_) if ended_together(&state.losses_of(fingerprint)) => {
                Isolation::Alone
            }
            isolation => isolation,
        }
    }

    /// Admits one suspected request at a time.
    #[must_use]
    pub fn isolated(&self) -> &Semaphore {
        &self.inner.isolated
    }

    /// Applies changes of the objects of all nodes.
    pub fn apply(&self, change: &Change) {
        let mut state = self.lock();
        match change {
            Change::All(objects) => {
                state.is_loaded = true;
                state.others.clear();
                for object in objects {
                    self.put(&mut state, object);
                }
            }
            Change::Put(object) => self.put(&mut state, object),
            Change::Removed(name) => state.others.retain(|(other, _)| other != name),
        }
        self.update_suspects(&mut state);
        drop(state);
        self.inner.write_due.notify_one();
    }

    /// Applies one object. This node's own may be of an earlier process, or older than what this
    /// one has written.
    pub(crate) fn put(&self, state: &mut State, object: &Object) {
        if !object.name.starts_with(PREFIX) {
            return;
        }
        let seen = match serde_json::from_str::<FailureRecord>(object.value.get()) {
            Ok(record) => record.seen,
            Err(error) => {
                self.log_problem("failures_unreadable", &object.name, &error);
                NodeFailures::default()
            }
        };
        if object.name == self.inner.name {
            state.revision = state.revision.max(Some(object.revision));
            return state.own.merge(seen);
        }
        let others = &mut state.others;
        match others.binary_search_by(|(other, _)| other.cmp(&object.name)) {
            Ok(at) => others[at].1 = seen,
            Err(at) => others.insert(at, (object.name.clone(), seen)),
        }
    }

    /// Passes all failures that were not cleared and have not expired to the decisions.
    pub(crate) fn update_suspects(&self, state: &mut State) {
        let oldest_ms = self.oldest_ms();
        let told = state.log.all();
        let nodes = || {
            let others = state.others.iter().map(|(_, seen)| seen);
            others.chain([&state.own, &told])
        };
        let mut clearings: Vec<Clearing> = nodes().flat_map(|seen| seen.cleared.clone()).collect();
        clearings.sort_unstable_by_key(|clearing| clearing.fingerprint);
        let is_cleared = |failure: &Failure| {
            let from =
                clearings.partition_point(|clearing| clearing.fingerprint < failure.fingerprint);
            let mut of_request = clearings[from..]
                .iter()
                .take_while(|clearing| clearing.fingerprint == failure.fingerprint);
            of_request.any(|clearing| {
                failure.at_ms <= clearing.at_ms.saturating_add(millis(CLOCK_TOLERANCE))
            })
        };
        let failures = nodes().flat_map(|seen| &seen.failures);
        let current = failures.filter(|failure| failure.at_ms >= oldest_ms && !is_cleared(failure));
        let mut current: Vec<Failure> = current.copied().collect();
        current.sort_unstable_by_key(|failure| (failure.key(), failure.at_ms));
        let by_cause = current.chunk_by(|a, b| a.key() == b.key());
        let reports = by_cause.map(|failures| LossReport {
            fingerprint: failures[0].fingerprint,
            node: failures[0].cause,
            losses: crash_count(&to_losses(failures)),
        });
        let reports = reports.collect();
        state.current = current;
        state.suspects.set_reports(reports);
    }

    fn now_ms(&self) -> u64 {
        millis(self.inner.clock.since_epoch())
    }

    /// Time of day before which failures have expired.
    pub(crate) fn oldest_ms(&self) -> u64 {
        self.now_ms().saturating_sub(millis(SUSPICION_EXPIRY))
    }

    /// Logs why an object could not be read or written, or a node not reached.
    pub(crate) fn log_problem(&self, event: &str, name: &str, cause: &dyn Display) {
        let fields: [(&str, &dyn Display); 2] = [("object", &name), ("cause", cause)];
        self.inner.journal.event(event, &fields);
    }

    /// Ignores poisoning: a panic in one decision leaves the counts usable.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn new() -> Self {
        Self {
            suspects: Suspects::default(),
            current: Vec::new(),
            own: NodeFailures::default(),
            others: Vec::new(),
            log: FailureLog::new(rand::random()),
            revision: None,
            is_loaded: false,
            write_timer: ReportTimer::default(),
            untold: NodeFailures::default(),
            news_timer: ReportTimer::default(),
        }
    }

    fn start_timers(&mut self, now: Instant, is_urgent: bool) {
        self.write_timer.start(now, is_urgent);
        self.news_timer.start(now, is_urgent);
    }

    /// Current failures of a request, sorted by cause and time.
    fn losses_of(&self, fingerprint: Fingerprint) -> Vec<Loss> {
        let current = &self.current;
        let first = current.partition_point(|failure| failure.fingerprint < fingerprint.0);
        let count =
            current[first..].partition_point(|failure| failure.fingerprint == fingerprint.0);
        to_losses(&current[first..first + count])
    }

    /// Whether other nodes count failures of the request, or may have read this node's.
    fn is_known_elsewhere(&self, fingerprint: Fingerprint) -> bool {
        let is_of_request = |failure: &&Failure| failure.fingerprint == fingerprint.0;
        let mut own = self.own.failures.iter().filter(is_of_request);
        let mut others = self.others.iter().flat_map(|(_, seen)| &seen.failures);
        own.any(|failure| failure.is_written)
            || others.any(|failure| is_of_request(&failure))
            || self.log.has_failure_of(fingerprint.0)
    }
}

fn to_losses(failures: &[Failure]) -> Vec<Loss> {
    let losses = failures.iter().map(|failure| Loss {
        upstream: failure.cause,
        at_ms: failure.at_ms,
    });
    losses.collect()
}

const fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
