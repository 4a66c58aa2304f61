//! Client of the platform's store. Every write is conditional, and the outcome of a write
//! without an answer is determined before its caller goes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::config_news::NewsSource;
use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::store_fallback::CallPath;
use crate::store_fallback::FallbackFailure;
use crate::store_fallback::StoreFallback;
use crate::store_fallback::to_peer_uri;
use crate::watch_limits::WatchLimits;

/// Timeout of a call; the store normally answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// First and longest delay before the retry of a failed write. Calls have a cost even during an
/// outage, and an outage lasts for seconds.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Confirmed outcome of [`Store::create`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// This write created the object.
    Created,
    /// Another write had created it before.
    AlreadyExists,
}

/// An answer of the store, and the way by which it came.
#[derive(Debug)]
pub(crate) struct Sourced {
    pub(crate) answer: StoreAnswer,
    pub(crate) source: NewsSource,
}

/// The part of every stored value that holds the id of the write which made it.
#[derive(Debug, Deserialize)]
struct WriteStamp {
    write: String,
}

/// Client of the store; cheap to clone.
#[derive(Debug, Clone)]
pub struct Store {
    dialect: Arc<dyn Dialect>,
    connections: ConnectionPool,
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    writer_id: Arc<str>,
    next_write: Arc<AtomicU64>,
    journal: Journal,
    fallback: StoreFallback,
    watch_limits: Arc<ArcSwap<WatchLimits>>,
    /// Number of calls sent, directly or through another node.
    calls_sent: Arc<AtomicU64>,
}

impl Store {
    /// Creates a client whose write ids start with `writer_id`, which has to be unique among all
    /// processes.
    #[must_use]
    pub fn new(
        dialect: Arc<dyn Dialect>,
        connections: ConnectionPool,
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        journal: Journal,
        writer_id: &str,
        fallback: StoreFallback,
    ) -> Self {
        Self {
            dialect,
            connections,
            address,
            clock,
            writer_id: writer_id.into(),
            next_write: Arc::default(),
            journal,
            fallback,
            watch_limits: Arc::new(ArcSwap::from_pointee(WatchLimits::default())),
            calls_sent: Arc::default(),
        }
    }

    /// Id of this process, unique among all processes that write.
    #[must_use]
    pub fn writer_id(&self) -> &str {
        &self.writer_id
    }

    /// A unique id for the next write.
    #[must_use]
    pub fn write_id(&self) -> String {
        let number = self.next_write.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.writer_id)
    }

    /// Makes one call, without a retry.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    pub async fn call(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        self.call_sourced(call).await.map(|sourced| sourced.answer)
    }

    /// As [`Store::call`], with the way by which the answer came.
    pub(crate) async fn call_sourced(&self, call: &StoreCall) -> Result<Sourced, StoreError> {
        let started = self.clock.now();
        let answer = self.call_with_fallback(call).await;
        self.record_call(call, started, &answer);
        answer
    }

    /// Whether calls go through another node, since the store is unavailable to this one.
    #[must_use]
    pub fn is_detoured(&self) -> bool {
        self.fallback.is_active()
    }

    /// Number of calls that this node has sent, directly or through another node.
    #[must_use]
    pub fn calls_sent(&self) -> u64 {
        self.calls_sent.load(Ordering::Relaxed)
    }

    /// Replaces the times of watches.
    pub fn set_watch_limits(&self, limits: WatchLimits) {
        self.watch_limits.store(Arc::new(limits));
    }

    /// The times of watches.
    #[must_use]
    pub fn watch_limits(&self) -> WatchLimits {
        **self.watch_limits.load()
    }

    /// Makes a call directly, or through another node if the store is unavailable to this one.
    async fn call_with_fallback(&self, call: &StoreCall) -> Result<Sourced, StoreError> {
        let limits = self.watch_limits();
        match self.fallback.path(self.clock.now()) {
            CallPath::Direct => {
                let direct = self.call_directly(call, limits.answer_time).await;
                // A watch that broke off is handled by its follower, which lists again.
                let is_watch = matches!(call, StoreCall::Watch { .. });
                if is_watch || !is_unavailable(&direct) {
                    return direct;
                }
                self.call_through_next(call, direct, &limits).await
            }
            CallPath::Probe => self.probe(call, &limits).await,
            CallPath::Through(node) => {
                let shortened = limited_to(call, limits.detour_wait);
                let answer = self.call_through_node(node, &shortened, &limits).await;
                if !is_unavailable(&answer) {
                    return answer;
                }
                let probed = self.probe(call, &limits).await;
                outcome_of_two(call, &answer, probed)
            }
        }
    }

    /// Makes a call directly while a detour is active, or else through the next node. A watch must
    /// not wait on a way that may be cut: it only asks for what is there.
    async fn probe(&self, call: &StoreCall, limits: &WatchLimits) -> Result<Sourced, StoreError> {
        let call = limited_to(call, Duration::ZERO);
        let direct = self.call_directly(&call, limits.detour_answer_time).await;
        if !is_unavailable(&direct) {
            return direct;
        }
        self.call_through_next(&call, direct, limits).await
    }

    async fn call_directly(
        &self,
        call: &StoreCall,
        watch_answer_time: Duration,
    ) -> Result<Sourced, StoreError> {
        let timeout = timeout_of(call, watch_answer_time);
        let direct = self.call_at(self.address, call, timeout, false).await;
        if !is_unavailable(&direct) {
            self.fallback.record_direct_success();
        }
        direct
    }

    /// Makes a call that has failed directly through the next node.
    async fn call_through_next(
        &self,
        call: &StoreCall,
        direct: Result<Sourced, StoreError>,
        limits: &WatchLimits,
    ) -> Result<Sourced, StoreError> {
        let Some(node) = self.fallback.next_node(self.clock.now()) else {
            return direct;
        };
        let answer = self.call_through_node(node, call, limits).await;
        if is_unavailable(&answer) {
            return outcome_of_two(call, &answer, direct);
        }
        self.fallback.record_detour(self.clock.now(), node);
        self.journal.event("store_detour", &[("through", &node)]);
        answer
    }

    async fn call_through_node(
        &self,
        node: SocketAddr,
        call: &StoreCall,
        limits: &WatchLimits,
    ) -> Result<Sourced, StoreError> {
        let timeout = timeout_of(call, limits.detour_answer_time);
        let answer = self.call_at(node, call, timeout, true).await;
        let now = self.clock.now();
        match &answer {
            Err(StoreError::Refused(_)) => {
                self.fallback
                    .record_failure(now, node, FallbackFailure::StoreRefused);
            }
            Err(StoreError::Unreachable | StoreError::Unknown) => {
                self.fallback
                    .record_failure(now, node, FallbackFailure::NoAnswer);
            }
            Ok(_) | Err(_) => {}
        }
        answer
    }

    async fn call_at(
        &self,
        to: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
        is_through_node: bool,
    ) -> Result<Sourced, StoreError> {
        let mut request = self.dialect.store_request(call)?;
        if is_through_node {
            to_peer_uri(&mut request)?;
        }
        self.calls_sent.fetch_add(1, Ordering::Relaxed);
        let source = if is_through_node {
            NewsSource::Detour(to)
        } else {
            NewsSource::Store
        };
        match self.connections.call(to, request, timeout).await {
            Ok(answer) => self
                .dialect
                .store_answer(call, &answer)
                .map(|answer| Sourced { answer, source }),
            Err(CallError::Refused | CallError::NotSent) => Err(StoreError::Unreachable),
            Err(
                CallError::Broken | CallError::Late | CallError::Malformed | CallError::Foreign,
            ) => Err(StoreError::Unknown),
        }
    }

    fn record_call(
        &self,
        call: &StoreCall,
        started: Instant,
        sourced: &Result<Sourced, StoreError>,
    ) {
        self.journal.count(match call {
            StoreCall::Read { .. } => "store.read",
            StoreCall::List { .. } => "store.list",
            StoreCall::Watch { .. } => "store.watch",
            StoreCall::Create { .. } => "store.create",
            StoreCall::Replace { .. } | StoreCall::ReportEvacuated { .. } => "store.replace",
            StoreCall::Delete { .. } => "store.delete",
        });
        match sourced.as_ref().map(|sourced| &sourced.answer) {
            Ok(StoreAnswer::Page { unreadable, .. } | StoreAnswer::Changes { unreadable, .. })
                if *unreadable > 0 =>
            {
                self.journal.event(
                    "objects_unreadable",
                    &[("call", &format_args!("{call:?}")), ("objects", unreadable)],
                );
            }
            Ok(_) => {}
            Err(StoreError::Unknown) => self.journal.count("store.unknown"),
            Err(StoreError::Refused(_) | StoreError::Unreachable) => {
                self.journal.count("store.refused");
            }
            Err(_) => self.journal.count("store.conflict"),
        }
        if !matches!(call, StoreCall::Watch { .. }) {
            let took = self.clock.now().duration_since(started);
            self.journal.time("store.call", took);
        }
    }

    /// Logs that an object which the nodes write themselves is malformed.
    pub fn log_unreadable(&self, kind: ObjectKind, name: &str, cause: &serde_json::Error) {
        self.journal.event(
            "object_unreadable",
            &[
                ("kind", &format_args!("{kind:?}")),
                ("object", &name),
                ("cause", cause),
            ],
        );
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn read(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, StoreError> {
        self.read_with(kind, name, Freshness::Newest).await
    }

    /// Reads an object as it is or was some seconds ago; `None` if it does or did not exist.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn read_stale(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        self.read_with(kind, name, Freshness::Seconds).await
    }

    async fn read_with(
        &self,
        kind: ObjectKind,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, StoreError> {
        let call = StoreCall::Read {
            kind,
            name: name.to_owned(),
            freshness,
        };
        match self.call(&call).await {
            Ok(StoreAnswer::Object(object)) => Ok(Some(object)),
            Ok(_) | Err(StoreError::Missing) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates an object; retries until it is certain whether this write or an earlier one
    /// created it. A refusal by the store is certain and not retried.
    ///
    /// A creation without an answer may still be carried out seconds later. Only the same
    /// creation, sent again, tells the outcome: it succeeds, or it conflicts with the object,
    /// which holds the id of the write that made it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] if it is unknown at `until` whether the object will exist; with
    /// any other error this write created nothing.
    pub async fn create<T: Serialize + Sync>(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &T,
        write_id: &str,
        until: Instant,
    ) -> Result<CreateOutcome, StoreError> {
        let call = StoreCall::Create {
            kind,
            name: name.to_owned(),
            value: to_raw(value)?,
        };
        let mut is_unknown = false;
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            let failed = match self.call(&call).await {
                Ok(_) => return Ok(CreateOutcome::Created),
                Err(StoreError::Conflict) => match self.read(kind, name).await {
                    Ok(Some(object)) if is_made_by(&object, write_id) => {
                        return Ok(CreateOutcome::Created);
                    }
                    Ok(Some(_)) => return Ok(CreateOutcome::AlreadyExists),
                    Ok(None) => StoreError::Conflict,
                    // The object is there, and this write may have made it.
                    Err(StoreError::Refused(_) | StoreError::Unreachable) => StoreError::Unknown,
                    Err(error) => error,
                },
                Err(error) => error,
            };
            match failed {
                StoreError::Unknown => is_unknown = true,
                StoreError::Conflict => {}
                StoreError::Refused(_) | StoreError::Unreachable if is_unknown => {}
                other => return Err(other),
            }
            if self.clock.now() + delay >= until {
                return Err(if is_unknown {
                    StoreError::Unknown
                } else {
                    failed
                });
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Creates an object without a retry, and returns its revision.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] the object may still be created.
    pub async fn create_once<T: Serialize + Sync>(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &T,
    ) -> Result<u64, StoreError> {
        let call = StoreCall::Create {
            kind,
            name: name.to_owned(),
            value: to_raw(value)?,
        };
        match self.call(&call).await? {
            StoreAnswer::Object(object) => Ok(object.revision),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Removes an object; succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// The store did not answer, or the object changed meanwhile.
    pub async fn remove(&self, kind: ObjectKind, name: &str) -> Result<(), StoreError> {
        let Some(object) = self.read(kind, name).await? else {
            return Ok(());
        };
        let call = StoreCall::Delete {
            kind,
            name: name.to_owned(),
            revision: object.revision,
        };
        match self.call(&call).await {
            Ok(_) | Err(StoreError::Missing) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Replaces an object that must be at `revision`, and returns the new object.
    ///
    /// After a conflict the object is read: an earlier try whose answer was lost may have made
    /// the change.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another write came first;
    /// [`StoreError::Unknown`] if it is unknown whether this one was made.
    pub async fn replace<T: Serialize + Sync>(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: u64,
        value: &T,
        write_id: &str,
    ) -> Result<Object, StoreError> {
        let call = StoreCall::Replace {
            kind,
            name: name.to_owned(),
            revision,
            value: to_raw(value)?,
        };
        let mut failed = StoreError::Unknown;
        for _ in 0..MAX_REPLACE_TRIES {
            failed = match self.call(&call).await {
                Ok(StoreAnswer::Object(object)) => return Ok(object),
                Ok(_) | Err(StoreError::Unknown) => StoreError::Unknown,
                Err(StoreError::Conflict) => match self.read(kind, name).await? {
                    Some(object) if is_made_by(&object, write_id) => return Ok(object),
                    _ => return Err(StoreError::Conflict),
                },
                Err(error) => return Err(error),
            };
        }
        Err(failed)
    }
}

/// Maximum number of tries of one replacement whose answers are lost. Up to a third of the
/// answers can be lost for a while, so that three losses in a row are rare.
const MAX_REPLACE_TRIES: u32 = 3;

/// The call, whose wait is at most `max_wait` if it is a watch.
fn limited_to(call: &StoreCall, max_wait: Duration) -> StoreCall {
    let mut call = call.clone();
    if let StoreCall::Watch { wait, .. } = &mut call {
        *wait = max_wait.min(*wait);
    }
    call
}

/// Outcome of a call that was tried on two ways, neither of which was answered with success: a write
/// without an answer may still be carried out, whatever came of the other try.
fn outcome_of_two(
    call: &StoreCall,
    one: &Result<Sourced, StoreError>,
    other: Result<Sourced, StoreError>,
) -> Result<Sourced, StoreError> {
    let is_read = matches!(
        call,
        StoreCall::Read { .. } | StoreCall::List { .. } | StoreCall::Watch { .. }
    );
    let may_be_done = !is_read && matches!(one, Err(StoreError::Unknown));
    if may_be_done && is_unavailable(&other) {
        return Err(StoreError::Unknown);
    }
    other
}

/// Timeout of a call; a watch may be answered this long after its wait.
fn timeout_of(call: &StoreCall, watch_answer_time: Duration) -> Duration {
    match call {
        StoreCall::Watch { wait, .. } => *wait + watch_answer_time,
        _ => CALL_TIMEOUT,
    }
}

/// Whether the call was not carried out, or not answered; it may succeed through another node.
const fn is_unavailable(answer: &Result<Sourced, StoreError>) -> bool {
    let refused = matches!(answer, Err(StoreError::Refused(_)));
    refused || matches!(answer, Err(StoreError::Unreachable | StoreError::Unknown))
}

fn to_raw<T: Serialize>(value: &T) -> Result<Box<RawValue>, StoreError> {
    serde_json::value::to_raw_value(value).map_err(|error| StoreError::Malformed(error.into()))
}

fn is_made_by(object: &Object, write_id: &str) -> bool {
    serde_json::from_str::<WriteStamp>(object.value.get())
        .is_ok_and(|stamp| stamp.write == write_id)
}
