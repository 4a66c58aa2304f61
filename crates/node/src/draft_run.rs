//! One run of one sample on one engine: sends the request, reads the stream and checks each
//! event before it is recorded.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use firweir_policy::work::ReportedLoad;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memchr::memmem;
use tokio::time::Instant;

use crate::connection_pool::CallError;
use crate::dialect::GenerationRequest;
use crate::dialect::StreamEvent;
use crate::model::Item;
use crate::model::Upstream;
use crate::shared::Shared;
use crate::submission::local::LocalSubmission;
use crate::upstream_answer::OwnAnswer;
use crate::upstream_answer::UpstreamRequest;

/// Ratio of the timeout of the first event to that of later ones: the engine first processes
/// the prompt, and may queue the request.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 1.25;

/// Largest event of a stream; a longer one breaks the run.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Largest answer with the events of a sample.
const MAX_SAMPLE_BYTES: usize = 16 << 20;

/// How a run on an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attempt {
    /// The stream is complete.
    Whole,
    /// The engine reports that it did not run the item.
    NotRun,
    /// The engine reports that the item failed.
    Failed,
    /// The engine reports that the item can never be run, or no request can be made of it.
    Impossible,
    /// The connection or the stream broke, an answer was unusable, or an event timed out.
    Broken(&'static str),
    /// The engine's weights are older than the sample's minimum version.
    TooOld,
    /// The version of the weights changed in a sample that must not mix versions.
    VersionChanged,
    /// The run was told to leave its engine, or the submission ended before it was sent.
    Moved,
}

impl Attempt {
    /// Whether the connection to the engine broke.
    pub(crate) fn is_connection_loss(self) -> bool {
        matches!(self, Self::Broken("no-head" | "stream"))
    }
}

/// Progress of a sample's text, earlier runs included.
#[derive(Debug)]
pub(crate) struct RunProgress {
    /// Number of the last event; 0 for none.
    pub(crate) last_event: u64,
    /// Versions of the weights that generated an event, ascending.
    pub(crate) versions: Vec<u64>,
    /// Number of events of this run.
    pub(crate) events_of_run: u32,
}

/// One run of one item on one engine.
pub(crate) struct Run<'a> {
    pub(crate) shared: &'a Shared,
    /// Called with each event and the version of the weights that generated it.
    pub(crate) on_event: &'a (dyn Fn(StreamEvent, u64) + Send + Sync),
    /// Called with the load that the engine reports in the head of its answer.
    pub(crate) on_load: &'a (dyn Fn(ReportedLoad) + Send + Sync),
    pub(crate) submission: &'a LocalSubmission,
    pub(crate) item: &'a Item,
    pub(crate) upstream: &'a Upstream,
    /// Timeout of each event after the first.
    pub(crate) event_timeout: Duration,
}

impl RunProgress {
    fn add(&mut self, event: u64, version: u64) {
        self.last_event = event;
        self.events_of_run += 1;
        if let Err(at) = self.versions.binary_search(&version) {
            self.versions.insert(at, version);
        }
    }
}

impl Run<'_> {
    /// Runs the item to the end of its stream. Waits first for a recent read of the submission's
    /// head, so that no run starts for a submission that has ended.
    pub(crate) async fn attempt(&self, progress: &mut RunProgress) -> Attempt {
        let limits = self.shared.settings.now().head_limits();
        let clock = &*self.shared.boot_clock;
        let is_over = || !self.submission.is_running();
        let fresh = self
            .submission
            .head_view
            .wait_until_fresh(clock, &limits, is_over);
        fresh.await;
        if is_over() {
            return Attempt::Moved;
        }
        let sample = GenerationRequest {
            item: self.item,
            host: &self.submission.head.host,
            upstream: self.upstream,
            after_event: progress.last_event,
            account: self.submission.head.account.as_deref(),
        };
        let request = match self.shared.dialect.generation_request(&sample) {
            Ok(request) => request,
            Err(error) => {
                self.shared.journal.event(
                    "item_unusable",
                    &[("item", &self.item.id), ("cause", &error)],
                );
                return Attempt::Impossible;
            }
        };
        let upstream_request = UpstreamRequest {
            to: self.upstream.address,
            request_id: &self.item.id,
            request,
        };
        let sending = self.shared.send_upstream(upstream_request, |_headers| {});
        let own = match tokio::time::timeout(self.first_event_timeout(), sending).await {
            Ok(Ok(own)) => own,
            Ok(Err(CallError::Refused)) => return Attempt::Broken("refused"),
            Ok(Err(CallError::NotSent)) => return Attempt::Broken("not-sent"),
            Ok(Err(CallError::Malformed)) => return Attempt::Broken("malformed-answer"),
            Ok(Err(CallError::Foreign)) => return Attempt::Broken("foreign-answer"),
            Ok(Err(_)) => return Attempt::Broken("no-head"),
            Err(_elapsed) => return Attempt::Broken("head-late"),
        };
        self.read(own, progress).await
    }

    fn first_event_timeout(&self) -> Duration {
        self.event_timeout.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR)
    }

    async fn read(&self, own: OwnAnswer, progress: &mut RunProgress) -> Attempt {
        if let Some(load) = own.reported.load {
            (self.on_load)(load);
        }
        match own.status {
            StatusCode::OK if own.reported.proof.is_some() => {}
            StatusCode::UNPROCESSABLE_ENTITY => return Attempt::Impossible,
            _ if own.reported.not_run => {
                own.discard_refusal().await;
                return Attempt::NotRun;
            }
            StatusCode::INTERNAL_SERVER_ERROR => return Attempt::Failed,
            _ => return Attempt::Broken("status"),
        }
        let version = own.reported.version;
        let (body, connection) = own.into_stream(MAX_SAMPLE_BYTES);
        let attempt = self.read_events(body, version, progress).await;
        if attempt == Attempt::Whole {
            connection.return_to_pool();
        }
        attempt
    }

    async fn read_events(
        &self,
        mut body: Incoming,
        mut version: Option<u64>,
        progress: &mut RunProgress,
    ) -> Attempt {
        let mut buffer = BytesMut::new();
        // Bytes that do not complete an event do not put off its timeout.
        let mut event_due = Instant::now() + self.first_event_timeout();
        loop {
            let frame = match tokio::time::timeout_at(event_due, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_broken))) => return Attempt::Broken("stream"),
                Ok(None) if buffer.is_empty() && progress.last_event > 0 => return Attempt::Whole,
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
                // An answer without events has no version: it continues a text of which an
                // earlier run had received all events but not the end.
                let Some(version) = version else {
                    return Attempt::Broken("no-version");
                };
                if let Err(unusable) = self.check(&event, version, progress) {
                    return unusable;
                }
                event_due = Instant::now() + self.event_timeout;
                progress.add(event.number, version);
                (self.on_event)(event, version);
            }
            if buffer.len() > MAX_EVENT_BYTES {
                return Attempt::Broken("long-event");
            }
        }
    }

    /// Checks that an event is the next one and that the trainer accepts the version of the
    /// weights that generated it.
    fn check(
        &self,
        event: &StreamEvent,
        version: u64,
        progress: &RunProgress,
    ) -> Result<(), Attempt> {
        if event.number != progress.last_event + 1 {
            return Err(Attempt::Broken("event-out-of-order"));
        }
        if version < self.submission.head.min_version {
            return Err(Attempt::TooOld);
        }
        let head = &self.submission.head;
        let config = self.shared.fleet.config();
        let route = config.route(&head.host, &head.path);
        let single = route.is_some_and(|route| route.single_version);
        if single && progress.versions.iter().any(|held| *held != version) {
            return Err(Attempt::VersionChanged);
        }
        Ok(())
    }
}

/// Removes the first complete event from the buffer.
fn next_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = memmem::find(buffer, b"\n\n")?;
    let event = buffer.split_to(end + 2).freeze();
    Some(event.slice(..end))
}
