//! Counts failed runs of requests and items over all nodes and restarts, so that what fails
//! wherever it runs is stopped everywhere.
//!
//! Without it each node, and each step that repeats an item, starts to count at zero: a request
//! that crashes upstreams is sent on by one node after the other, and an item that always fails
//! runs anew in every step.
//!
//! A node writes the failures that it saw to an object of its own in the store, of the kind that
//! all nodes follow anyway. An answer at any node clears the failures of the request at all nodes.
//! While the store is away, each node counts alone.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::suspect::Isolation;
use firweir_policy::suspect::LossReport;
use firweir_policy::suspect::SUSPICION_EXPIRY;
use firweir_policy::suspect::Suspects;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::change::Change;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::failure_records::Clearing;
use crate::failure_records::Failure;
use crate::failure_records::FailureRecord;
use crate::failure_records::NodeFailures;
use crate::fingerprint::Fingerprint;
use crate::model::Instance;
use crate::store::Store;

/// Number of steps in which an item may fail as often as its route allows. A second step gives an
/// item another chance that failed by a fault of its engines; after that it counts as failing
/// wherever it runs.
const MAX_STEPS_WITH_FAILURES: u32 = 2;

/// Prefix of the names of these objects among the duties in the store.
const PREFIX: &str = "failures-";

/// Time between the first failure of a request and its write: most requests succeed at another
/// upstream meanwhile, which clears it.
const FIRST_FAILURE_DELAY: Duration = Duration::from_millis(200);

/// Shortest time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed write: outages of the store last seconds, and each call costs.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Interval at which expired failures are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// By how much the times of day of two nodes may differ: an answer clears failures up to this much
/// later.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct State {
    /// Decides by the failures that all nodes saw.
    suspects: Suspects,
    own: NodeFailures,
    /// By name of the object, sorted.
    others: Vec<(String, NodeFailures)>,
    /// Revision of this node's object; `None` if there is none.
    revision: Option<u64>,
    /// Whether the objects of other nodes and of an earlier process of this node were read.
    is_loaded: bool,
    /// When the oldest unwritten change was made.
    unwritten_since: Option<Instant>,
    /// Whether a change is to be written without a delay.
    is_urgent: bool,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    clock: Arc<dyn Clock>,
    journal: Journal,
    /// Name of this node's object.
    name: String,
    state: Mutex<State>,
    changed: Notify,
    /// Admits one suspected request at a time.
    isolated: Semaphore,
}

/// Failed runs of requests and items; cheap to clone.
#[derive(Debug, Clone)]
pub struct FailedRequests {
    inner: Arc<Inner>,
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
                state: Mutex::default(),
                changed: Notify::new(),
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
        state.own.add_failure(failure);
        self.update_suspects(&mut state);
        state.is_urgent |= state.suspects.losses(now, fingerprint.0) > 1;
        state.unwritten_since.get_or_insert(now);
        drop(state);
        self.inner.changed.notify_one();
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
        state.own.clear(Clearing {
            fingerprint: fingerprint.0,
            at_ms: self.now_ms(),
        });
        self.update_suspects(&mut state);
        if is_known_elsewhere {
            state.is_urgent = true;
            state.unwritten_since.get_or_insert(now);
        }
        drop(state);
        self.inner.changed.notify_one();
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

    /// Whether a request has crashed as many upstreams as one request may.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        matches!(self.isolation(fingerprint), Isolation::Quarantined(_))
    }

    /// Restriction under which a request may run, by the upstreams that it may have crashed.
    #[must_use]
    pub fn isolation(&self, fingerprint: Fingerprint) -> Isolation {
        let now = self.inner.clock.now();
        self.lock().suspects.isolation(now, fingerprint.0)
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
        self.inner.changed.notify_one();
    }

    /// Applies one object. This node's own may be of an earlier process, or older than what this
    /// one has written.
    fn put(&self, state: &mut State, object: &Object) {
        if !object.name.starts_with(PREFIX) {
            return;
        }
        let seen = match serde_json::from_str::<FailureRecord>(object.value.get()) {
            Ok(record) => record.seen,
            Err(error) => {
                self.log("failures_unreadable", &object.name, &error);
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
    fn update_suspects(&self, state: &mut State) {
        let oldest_ms = self.now_ms().saturating_sub(millis(SUSPICION_EXPIRY));
        let nodes = || {
            let others = state.others.iter().map(|(_, seen)| seen);
            others.chain([&state.own])
        };
        let mut clearings: Vec<Clearing> = nodes().flat_map(|seen| seen.cleared.clone()).collect();
        clearings.sort_unstable_by_key(|clearing| clearing.fingerprint);
        let is_cleared = |failure: &Failure| {
            let from =
                clearings.partition_point(|clearing| clearing.fingerprint < failure.fingerprint);
            let mut of_request = clearings[from..]
                .iter()
                .take_while(|clearing| clearing.fingerprint == failure.fingerprint);
            of_request.any(|clearing| failure.at_ms <= clearing.at_ms + millis(CLOCK_TOLERANCE))
        };
        let failures = nodes().flat_map(|seen| &seen.failures);
        let current = failures.filter(|failure| failure.at_ms >= oldest_ms && !is_cleared(failure));
        let report = |failure: &Failure| LossReport {
            fingerprint: failure.fingerprint,
            node: failure.cause,
            losses: 1,
        };
        let reports = current.map(report).collect();
        state.suspects.set_reports(reports);
    }

    /// Writes what this node sees to the store as it changes; never returns.
    pub async fn run(self) {
        loop {
            let changed = self.inner.changed.notified();
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
            let mut state = self.lock();
            self.update_suspects(&mut state);
        }
    }

    /// Time until the unwritten changes are due to be written.
    fn write_delay(&self) -> Duration {
        let now = self.inner.clock.now();
        let state = self.lock();
        match state.unwritten_since {
            Some(_) if !state.is_loaded => EXPIRY_INTERVAL,
            Some(_) if state.is_urgent => Duration::ZERO,
            Some(since) => (since + FIRST_FAILURE_DELAY).saturating_duration_since(now),
            None => EXPIRY_INTERVAL,
        }
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
        let oldest_ms = self.now_ms().saturating_sub(millis(SUSPICION_EXPIRY));
        let mut state = self.lock();
        state.unwritten_since = None;
        state.is_urgent = false;
        state.own.drop_before(oldest_ms);
        let own = &mut state.own;
        if own.failures.is_empty() && own.cleared.is_empty() {
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
        self.log("failures_unwritten", name, error);
        let now = self.inner.clock.now();
        self.lock().unwritten_since.get_or_insert(now);
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

    fn now_ms(&self) -> u64 {
        millis(self.inner.clock.since_epoch())
    }

    fn log(&self, event: &str, name: &str, cause: &dyn Display) {
        let fields: [(&str, &dyn Display); 2] = [("object", &name), ("cause", cause)];
        self.inner.journal.event(event, &fields);
    }

    /// Ignores poisoning: a panic in one decision leaves the counts usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether other nodes count failures of the request, or may have read this node's.
    fn is_known_elsewhere(&self, fingerprint: Fingerprint) -> bool {
        let is_of_request = |failure: &&Failure| failure.fingerprint == fingerprint.0;
        let mut own = self.own.failures.iter().filter(is_of_request);
        let mut others = self.others.iter().flat_map(|(_, seen)| &seen.failures);
        own.any(|failure| failure.is_written) || others.any(|failure| is_of_request(&failure))
    }
}

const fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
