//! One attempt of one sample on one engine: the request, its stream, and what is true of
//! each event before it counts.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use firweir_policy::work::ReportedLoad;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memchr::memmem;

use crate::connection_pool::CallError;
use crate::connection_pool::StreamingResponse;
use crate::dialect::DraftRequest;
use crate::dialect::StreamEvent;
use crate::model::Item;
use crate::model::Upstream;
use crate::shared::Shared;
use crate::submission::local::LocalSubmission;

/// A first event may take this much longer than a next one: the prompt is read first, and
/// the engine may have a queue.
const FIRST_EVENT_FACTOR: f64 = 1.25;

/// An event longer than this is no event.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// How one attempt on an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attempt {
    /// The stream came to its end.
    Whole,
    /// The engine says that it did not run the item.
    NotRun,
    /// The engine says that the item failed.
    Failed,
    /// The engine says that the item can never be done.
    Impossible,
    /// The connection or the stream broke, or nothing came any more.
    Broken(&'static str),
    /// The engine's weights are too old for the sample.
    TooOld,
    /// The sample may not mix versions of weights, and these are others than before.
    VersionChanged,
    /// It is to go on at another engine.
    Moved,
}

/// How far a run has come.
#[derive(Debug)]
pub(crate) struct Reached {
    /// Number of the last event; 0 for none.
    pub(crate) event: u64,
    /// Versions that made an event, ascending.
    pub(crate) versions: Vec<u64>,
    /// Events of this run.
    pub(crate) made: u32,
}

/// One attempt of one item on one engine.
pub(crate) struct Run<'a> {
    pub(crate) shared: &'a Shared,
    /// Takes each event as it comes, with the version that made it.
    pub(crate) take_event: &'a (dyn Fn(StreamEvent, u64) + Send + Sync),
    /// Takes the load that the engine reports in the head of its answer.
    pub(crate) take_load: &'a (dyn Fn(ReportedLoad) + Send + Sync),
    pub(crate) submission: &'a LocalSubmission,
    pub(crate) item: &'a Item,
    pub(crate) upstream: &'a Upstream,
    /// A first event has come.
    pub(crate) started: bool,
    /// How long a next event is waited for.
    pub(crate) patience: Duration,
}

impl Reached {
    fn add(&mut self, event: u64, version: u64) {
        self.event = event;
        self.made += 1;
        if let Err(at) = self.versions.binary_search(&version) {
            self.versions.insert(at, version);
        }
    }
}

impl Run<'_> {
    /// Runs it to its end, from when the submission is known to be wanted still.
    pub(crate) async fn attempt(&mut self, reached: &mut Reached) -> Attempt {
        let limits = self.shared.settings.now().head_limits();
        let clock = &*self.shared.boot_clock;
        let is_over = || !self.submission.is_running();
        let young = self
            .submission
            .head_view
            .wait_until_fresh(clock, &limits, is_over);
        young.await;
        if is_over() {
            return Attempt::Moved;
        }
        let draft = DraftRequest {
            item: self.item,
            host: &self.submission.head.host,
            upstream: self.upstream,
            after_event: reached.event,
            account: self.submission.head.account.as_deref(),
        };
        let request = match self.shared.dialect.draft_request(&draft) {
            Ok(request) => request,
            Err(error) => {
                self.shared.journal.event(
                    "item_unusable",
                    &[("item", &self.item.id), ("cause", &error)],
                );
                return Attempt::Impossible;
            }
        };
        let sending = self.shared.connections.send(self.upstream.address, request);
        let exchange = match tokio::time::timeout(self.first_patience(), sending).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(CallError::Refused)) => return Attempt::Broken("refused"),
            Ok(Err(CallError::NotSent)) => return Attempt::Broken("not-sent"),
            Ok(Err(_)) => return Attempt::Broken("no-head"),
            Err(_elapsed) => return Attempt::Broken("head-late"),
        };
        self.read(exchange, reached).await
    }

    fn first_patience(&self) -> Duration {
        self.patience.mul_f64(FIRST_EVENT_FACTOR)
    }

    async fn read(&mut self, exchange: StreamingResponse, reached: &mut Reached) -> Attempt {
        let StreamingResponse { answer, connection } = exchange;
        let (head, body) = answer.into_parts();
        let said = self.shared.dialect.answer_head(&head);
        if said.request_id.as_deref() != Some(self.item.id.as_str()) {
            return Attempt::Broken("foreign-answer");
        }
        if let Some(load) = said.load {
            (self.take_load)(load);
        }
        match head.status {
            StatusCode::OK if said.proof.is_some() => {}
            StatusCode::UNPROCESSABLE_ENTITY => return Attempt::Impossible,
            _ if said.not_run => {
                if body.collect().await.is_ok() {
                    connection.return_to_pool();
                }
                return Attempt::NotRun;
            }
            StatusCode::INTERNAL_SERVER_ERROR => return Attempt::Failed,
            _ => return Attempt::Broken("status"),
        }
        let attempt = self.read_events(body, said.version, reached).await;
        if attempt == Attempt::Whole {
            connection.return_to_pool();
        }
        attempt
    }

    async fn read_events(
        &mut self,
        mut body: Incoming,
        mut version: Option<u64>,
        reached: &mut Reached,
    ) -> Attempt {
        let mut buffer = BytesMut::new();
        loop {
            let patience = if self.started {
                self.patience
            } else {
                self.first_patience()
            };
            let frame = match tokio::time::timeout(patience, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_broken))) => return Attempt::Broken("stream"),
                Ok(None) if buffer.is_empty() && reached.event > 0 => return Attempt::Whole,
                Ok(None) => return Attempt::Broken("cut-event"),
                Err(_elapsed) => return Attempt::Broken("silent"),
            };
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
            while let Some(event) = next_event(&mut buffer) {
                let event = match self.shared.dialect.stream_event(&event) {
                    Ok(event) => event,
                    Err(_malformed) => return Attempt::Broken("malformed-event"),
                };
                version = event.version.or(version);
                // An answer without events carries none: it was asked to go on behind
                // the last one, when the run before had lost only its end.
                let Some(version) = version else {
                    return Attempt::Broken("no-version");
                };
                if let Err(unusable) = self.check(&event, version, reached) {
                    return unusable;
                }
                self.started = true;
                reached.add(event.number, version);
                (self.take_event)(event, version);
            }
            if buffer.len() > EVENT_LIMIT_BYTES {
                return Attempt::Broken("long-event");
            }
        }
    }

    /// An event is the next one, made by weights that the trainer takes.
    fn check(&self, event: &StreamEvent, version: u64, reached: &Reached) -> Result<(), Attempt> {
        if event.number != reached.event + 1 {
            return Err(Attempt::Broken("event-out-of-order"));
        }
        if version < self.submission.head.min_version {
            return Err(Attempt::TooOld);
        }
        let head = &self.submission.head;
        let config = self.shared.fleet.config();
        let route = config.route(&head.host, &head.path);
        let single = route.is_some_and(|route| route.single_version);
        if single && reached.versions.iter().any(|held| *held != version) {
            return Err(Attempt::VersionChanged);
        }
        Ok(())
    }
}

/// Takes the first whole event out of the buffer.
fn next_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = memmem::find(buffer, b"\n\n")?;
    let event = buffer.split_to(end + 2).freeze();
    Some(event.slice(..end))
}
