//! Client of the platform's store. Every write has a condition, and a write
//! without an answer is settled before its caller goes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::store_fallback::FallbackFailure;
use crate::store_fallback::StoreFallback;
use crate::store_fallback::to_peer_uri;

/// The store answers in milliseconds; past this it counts as not answering.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a failed write is tried again, at first and at most. Each call
/// costs, also in an outage, and an outage takes seconds.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// Confirmed outcome of [`Store::create`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// This write created the object.
    Created,
    /// An earlier write by another caller had created it.
    AlreadyExists,
}

/// The part of every value that names the write which made it.
#[derive(Debug, Deserialize)]
struct Stamp {
    write: String,
}

/// Client of the store; cheap to clone.
#[derive(Debug, Clone)]
pub struct Store {
    dialect: Arc<dyn Dialect>,
    connections: ConnectionPool,
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    writer: Arc<str>,
    writes: Arc<AtomicU64>,
    journal: Journal,
    fallback: StoreFallback,
}

impl Store {
    /// A client that names its writes after `writer`, which no other process has.
    #[must_use]
    pub fn new(
        dialect: Arc<dyn Dialect>,
        connections: ConnectionPool,
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        journal: Journal,
        writer: &str,
        fallback: StoreFallback,
    ) -> Self {
        Self {
            dialect,
            connections,
            address,
            clock,
            writer: writer.into(),
            writes: Arc::default(),
            journal,
            fallback,
        }
    }

    /// Id of this process, unique among all processes that write.
    #[must_use]
    pub fn writer_id(&self) -> &str {
        &self.writer
    }

    /// A name for the next write.
    #[must_use]
    pub fn write_id(&self) -> String {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.writer)
    }

    /// One call, tried once.
    ///
    /// # Errors
    ///
    /// As [`StoreError`] tells.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        let timeout = match call {
            StoreCall::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let started = self.clock.now();
        let answer = self.call_some_way(call, timeout).await;
        self.measure(call, started, &answer);
        answer
    }

    /// Asks the store, or a node that can if this one cannot.
    async fn call_some_way(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        if let Some(node) = self.fallback.current(self.clock.now()) {
            let answer = self.call_through(node, call, timeout).await;
            if !is_unavailable(&answer) {
                return answer;
            }
        }
        let direct = self.call_at(self.address, call, timeout, false).await;
        if !is_unavailable(&direct) {
            self.fallback.record_direct_success();
            return direct;
        }
        // A watch that broke off is for its follower, who lists anew.
        if matches!(call, StoreCall::Watch { .. }) {
            return direct;
        }
        let Some(node) = self.fallback.next_node(self.clock.now()) else {
            return direct;
        };
        let answer = self.call_through(node, call, timeout).await;
        if is_unavailable(&answer) {
            return direct;
        }
        self.journal.event("store_detour", &[("through", &node)]);
        answer
    }

    async fn call_through(
        &self,
        node: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
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
            Ok(_) | Err(_) => self.fallback.record_success(now, node),
        }
        answer
    }

    async fn call_at(
        &self,
        to: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
        through_node: bool,
    ) -> Result<StoreAnswer, StoreError> {
        let mut request = self.dialect.store_request(call);
        if through_node {
            to_peer_uri(&mut request);
        }
        match self.connections.call(to, request, timeout).await {
            Ok(answer) => self.dialect.store_answer(call, &answer),
            Err(CallError::Refused | CallError::NotSent) => Err(StoreError::Unreachable),
            Err(CallError::Broken | CallError::Late) => Err(StoreError::Unknown),
        }
    }

    fn measure(
        &self,
        call: &StoreCall,
        started: Instant,
        answer: &Result<StoreAnswer, StoreError>,
    ) {
        self.journal.count(match call {
            StoreCall::Read { .. } => "store.read",
            StoreCall::List { .. } => "store.list",
            StoreCall::Watch { .. } => "store.watch",
            StoreCall::Create { .. } => "store.create",
            StoreCall::Replace { .. } | StoreCall::ReportEvacuated { .. } => "store.replace",
            StoreCall::Delete { .. } => "store.delete",
        });
        match answer {
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

    /// Notes that an object of the system's own is not as the system writes it.
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

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn read(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, StoreError> {
        self.read_as(kind, name, Freshness::Newest).await
    }

    /// Reads an object as it is or was seconds ago; `None` if there is or was none.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn read_stale(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        self.read_as(kind, name, Freshness::Seconds).await
    }

    async fn read_as(
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

    /// Creates an object, tried until it is certain whether this write or an
    /// earlier one made it. A store that refuses is not asked again: that is certain.
    ///
    /// A creation without an answer may still be carried out seconds later.
    /// Only the same creation, sent again, settles it: it succeeds, or it meets
    /// the object, which names its write.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] if it is open at `until` whether the object will
    /// appear; any other error says that this write made nothing.
    pub async fn create<T: Serialize + Sync>(
        &self,
        kind: ObjectKind,
        name: &str,
        value: &T,
        write: &str,
        until: Instant,
    ) -> Result<CreateOutcome, StoreError> {
        let call = StoreCall::Create {
            kind,
            name: name.to_owned(),
            value: to_raw(value)?,
        };
        let mut open = false;
        let mut pause = PAUSE_FIRST;
        loop {
            let failed = match self.call(&call).await {
                Ok(_) => return Ok(CreateOutcome::Created),
                Err(StoreError::Conflict) => match self.read(kind, name).await {
                    Ok(Some(object)) if is_made_by(&object, write) => {
                        return Ok(CreateOutcome::Created);
                    }
                    Ok(Some(_)) => return Ok(CreateOutcome::AlreadyExists),
                    Ok(None) => StoreError::Conflict,
                    Err(error) => error,
                },
                Err(error) => error,
            };
            match failed {
                StoreError::Unknown => open = true,
                StoreError::Conflict => {}
                StoreError::Refused(_) | StoreError::Unreachable if open => {}
                other => return Err(other),
            }
            if self.clock.now() + pause >= until {
                return Err(if open { StoreError::Unknown } else { failed });
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MOST);
        }
    }

    /// Creates an object, tried once, and gives its revision.
    ///
    /// # Errors
    ///
    /// As [`StoreError`] tells; after [`StoreError::Unknown`] it may yet appear.
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

    /// Removes an object; done as well if there is none.
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

    /// Replaces an object that must be at `revision`, and gives it as it is then.
    ///
    /// A conflict is read back: an earlier try whose answer was lost may have
    /// made the change.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another write came first;
    /// [`StoreError::Unknown`] if it is open whether this one was made.
    pub async fn replace<T: Serialize + Sync>(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: u64,
        value: &T,
        write: &str,
    ) -> Result<Object, StoreError> {
        let call = StoreCall::Replace {
            kind,
            name: name.to_owned(),
            revision,
            value: to_raw(value)?,
        };
        let mut failed = StoreError::Unknown;
        for _ in 0..REPLACE_TRIES {
            failed = match self.call(&call).await {
                Ok(StoreAnswer::Object(object)) => return Ok(object),
                Ok(_) | Err(StoreError::Unknown) => StoreError::Unknown,
                Err(StoreError::Conflict) => match self.read(kind, name).await? {
                    Some(object) if is_made_by(&object, write) => return Ok(object),
                    _ => return Err(StoreError::Conflict),
                },
                Err(error) => return Err(error),
            };
        }
        Err(failed)
    }
}

/// Tries of one replacement whose answers are lost: a third of them are in a bad
/// spell, so that three in a row are rare.
const REPLACE_TRIES: u32 = 3;

/// The store did not do the call, or did not say so: another node may have its ear.
const fn is_unavailable(answer: &Result<StoreAnswer, StoreError>) -> bool {
    let refused = matches!(answer, Err(StoreError::Refused(_)));
    refused || matches!(answer, Err(StoreError::Unreachable | StoreError::Unknown))
}

fn to_raw<T: Serialize>(value: &T) -> Result<Box<RawValue>, StoreError> {
    serde_json::value::to_raw_value(value).map_err(|error| StoreError::Malformed(error.into()))
}

fn is_made_by(object: &Object, write: &str) -> bool {
    serde_json::from_str::<Stamp>(object.value.get()).is_ok_and(|stamp| stamp.write == write)
}
