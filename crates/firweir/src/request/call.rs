//! One live call: read, admitted, sent to an upstream, tried again where that is
//! safe, and answered with a typed outcome.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir_policy::suspect::Isolation;
use firweir_policy::suspect::PROPAGATION_TIME;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::UpstreamKey;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::SemaphorePermit;
use tokio::sync::oneshot;
use tokio::time::Sleep;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::connection::blocks::Blocks;
use crate::connection::client::ClientError;
use crate::connection::client::within;
use crate::connection::server::Body;
use crate::connection::server::bytes_response;
use crate::connection::server::read_body;
use crate::process::entry::Entry;
use crate::request::answer::OUTCOME_HEADER;
use crate::request::answer::Outcome;
use crate::request::answer::Refused;
use crate::request::continued::relay;
use crate::request::cost::BYTES_PER_TOKEN;
use crate::request::cost::estimate_tokens;
use crate::request::draft::COMPLETIONS_PATH;
use crate::request::gate::Ask;
use crate::request::gate::Gate;
use crate::request::gate::Permit;
use crate::request::head::CallHead;
use crate::request::idempotency::Begin;
use crate::request::idempotency::Identity;

/// Largest request body.
const REQUEST_LIMIT_BYTES: usize = 1 << 20;

/// Largest answer that is not streamed.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Bytes of a body that count as its prompt prefix.
const PREFIX_BYTES: usize = 256;

/// When a caller whose call failed may send it again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Headers that concern one connection or are set anew for the next.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
];

/// What an upstream gave.
enum Given {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream that still goes on.
    Stream(Response<Incoming>, Permit),
}

/// A try that brought no answer.
struct Failure {
    ending: Ending,
    upstream: UpstreamKey,
}

/// A call with all that its tries need.
#[derive(Clone)]
pub(in crate::request) struct Call {
    head: CallHead,
    headers: HeaderMap,
    pub(in crate::request) body: Bytes,
    deadline: Instant,
    /// Hash of what an upstream gets to see; the same when it is sent again.
    fingerprint: u64,
}

/// Answers one caller.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let started = entry.now();
    let (parts, body) = request.into_parts();
    let head = match CallHead::read(&parts, &entry.view()) {
        Ok(head) => head,
        Err(refused) => return refused.response(),
    };
    let Some(body) = within(head.patience, read_body(body, REQUEST_LIMIT_BYTES))
        .await
        .flatten()
    else {
        return Refused::bad_request("bad-body", StatusCode::PAYLOAD_TOO_LARGE).response();
    };
    let call = Call {
        deadline: started + head.patience,
        fingerprint: fingerprint_of(&head, &body),
        headers: parts.headers,
        head,
        body,
    };
    let (service, patience) = (call.head.service.clone(), call.head.patience);
    let response = call.answer(&entry).await;
    entry.note_call(&service, outcome_of(&response), started, patience);
    response
}

fn fingerprint_of(head: &CallHead, body: &[u8]) -> u64 {
    let name = format!("{}{}", head.service, head.target);
    xxh3_64_with_seed(body, xxh3_64(name.as_bytes()))
}

fn outcome_of(response: &Response<Body>) -> &str {
    let outcome = response.headers().get(OUTCOME_HEADER);
    outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or("unknown")
}

impl Call {
    async fn answer(self, entry: &Arc<Entry>) -> Response<Body> {
        if self.head.idempotency_key.is_none() {
            return match self.run(entry).await {
                Ok(given) => self.respond(entry, given),
                Err(refused) => refused.response(),
            };
        }
        // A caller that goes away does not stop a charged call: its answer is
        // kept for the resend, which would otherwise get `unknown`.
        let (answered, answer) = oneshot::channel();
        let running = Arc::clone(entry);
        entry.spawn(async move {
            _ = answered.send(self.answer_charged(&running).await);
        });
        let refused = || Refused::unknown("ended", RETRY_AFTER).response();
        answer.await.unwrap_or_else(|_ended| refused())
    }

    async fn answer_charged(&self, entry: &Arc<Entry>) -> Response<Body> {
        let identity = Identity {
            service: &self.head.service,
            key: self.head.idempotency_key.as_deref().unwrap_or_default(),
            path: self.head.target.as_str(),
            body: &self.body,
        };
        let patience = self.remaining(entry);
        let view = entry.view();
        match entry.ledger().begin(&view, identity, patience).await {
            Begin::Refuse(refused) => refused.response(),
            Begin::Answer(stored) => whole_response(stored),
            Begin::Run(claim) => match self.run(entry).await {
                Ok(Given::Whole(whole)) => {
                    claim.answered(&whole).await;
                    whole_response(whole)
                }
                Ok(stream @ Given::Stream(..)) => self.respond(entry, stream),
                Err(refused) => {
                    if refused.outcome == Outcome::NotRun {
                        claim.not_run().await;
                    }
                    refused.response()
                }
            },
        }
    }

    pub(in crate::request) fn remaining(&self, entry: &Entry) -> Duration {
        self.deadline.saturating_duration_since(entry.now())
    }

    /// Tries until an upstream answers, the call may not be repeated, or time
    /// or budget is up.
    async fn run(&self, entry: &Arc<Entry>) -> Result<Given, Refused> {
        let gate = entry
            .gate(&self.head.service)
            .ok_or_else(|| Refused::bad_request("unknown-service", StatusCode::NOT_FOUND))?;
        gate.count_offered();
        let mut avoid = Vec::new();
        let mut may_have_run = false;
        for tries in 1.. {
            let _alone = self.check_standing(entry, may_have_run).await?;
            let permit = match gate.admit(self.ask(avoid.clone())).await {
                Ok(permit) => permit,
                Err(turned) if may_have_run => {
                    return Err(Refused::unknown(turned.reason.as_str(), turned.retry_after));
                }
                Err(turned) => {
                    return Err(Refused::not_run(turned.reason.as_str(), turned.retry_after));
                }
            };
            let failure = match self.try_upstream(entry, permit).await {
                Ok(given) => return Ok(given),
                Err(failure) => failure,
            };
            may_have_run |= failure.ending != Ending::Unreachable;
            avoid.push(failure.upstream);
            let in_time = entry.now() < self.deadline;
            if !in_time || !self.may_retry(&gate, failure.ending, tries) {
                break;
            }
        }
        if may_have_run {
            Err(Refused::unknown("upstream-failed", RETRY_AFTER))
        } else {
            Err(Refused::not_run("unreachable", RETRY_AFTER))
        }
    }

    /// Leave to try, for a suspect the only one at a time.
    pub(in crate::request) async fn check_standing<'a>(
        &self,
        entry: &'a Entry,
        may_have_run: bool,
    ) -> Result<Option<SemaphorePermit<'a>>, Refused> {
        let isolation = entry.suspects().isolation(entry.now(), self.fingerprint);
        let (reason, retry_after) = match isolation {
            Isolation::Free => return Ok(None),
            Isolation::Quarantined(clear) => ("quarantined", clear),
            // No retry here: its third loss must be the last of the fleet.
            Isolation::Alone if may_have_run => ("suspect", PROPAGATION_TIME),
            Isolation::Alone => {
                match within(self.remaining(entry), entry.alone().acquire()).await {
                    Some(Ok(alone)) => return Ok(Some(alone)),
                    Some(Err(_)) | None => ("suspect", PROPAGATION_TIME),
                }
            }
        };
        Err(if may_have_run {
            Refused::unknown(reason, retry_after)
        } else {
            Refused::not_run(reason, retry_after)
        })
    }

    /// Notes whether an upstream survived this call.
    pub(in crate::request) fn note_ending(&self, entry: &Entry, ending: Ending) {
        match ending {
            Ending::Answered => entry.suspects().clear(self.fingerprint),
            Ending::Failed => entry.note_loss(self.fingerprint),
            Ending::Unreachable | Ending::Abandoned | Ending::Refused => {}
        }
    }

    /// Logs that the answer was to go on at another engine.
    pub(in crate::request) fn note_continued(&self, entry: &Entry, goes_on: bool) {
        entry.note_continued(&self.head.service, self.fingerprint, goes_on);
    }

    /// Its answer may go on at another engine: a charged one runs once at most.
    pub(in crate::request) const fn may_continue(&self) -> bool {
        self.head.idempotency_key.is_none() && self.head.idempotent
    }

    fn may_retry(&self, gate: &Gate, ending: Ending, tries: u32) -> bool {
        gate.allow_retry(ending, self.head.idempotent, tries)
    }

    async fn try_upstream(&self, entry: &Entry, permit: Permit) -> Result<Given, Failure> {
        let upstream = permit.upstream();
        let remaining = self.remaining(entry);
        // An entry that was paused past the deadline must not begin now: the
        // record of a charged call may have gone, and a resend may run.
        if remaining.is_zero() {
            let ending = Ending::Unreachable;
            permit.finish(Ending::Abandoned, 0);
            return Err(Failure { ending, upstream });
        }
        let sending = async {
            let response = entry
                .http()
                .send(permit.address(), self.upstream_request(self.body.clone()))
                .await?;
            if is_stream(&response) {
                return Ok(Err(response));
            }
            let (parts, body) = response.into_parts();
            let broken = |_broken| ClientError::Broken(permit.address());
            let body = Limited::new(body, ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .map_err(broken)?;
            Ok(Ok(Response::from_parts(parts, body.to_bytes())))
        };
        let sent = within(remaining, sending).await;
        if matches!(sent, Some(Err(ClientError::Broken(_)))) {
            entry.note_loss(self.fingerprint);
        }
        let ending = match sent {
            Some(Ok(Ok(whole))) if !whole.status().is_server_error() => {
                entry.suspects().clear(self.fingerprint);
                permit.finish(
                    Ending::Answered,
                    (whole.body().len() / BYTES_PER_TOKEN) as u32,
                );
                return Ok(Given::Whole(whole));
            }
            Some(Ok(Err(stream))) => return Ok(Given::Stream(stream, permit)),
            Some(Ok(Ok(_)) | Err(ClientError::Broken(_))) => Ending::Failed,
            Some(Err(error)) if error.is_not_sent() => Ending::Unreachable,
            Some(Err(_)) => Ending::Failed,
            None => Ending::Abandoned,
        };
        permit.finish(ending, 0);
        Err(Failure { ending, upstream })
    }

    pub(in crate::request) fn upstream_request(&self, body: Bytes) -> Request<Blocks> {
        let mut request = Request::new(Blocks::from(body));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone().into();
        *request.headers_mut() = without_hop_headers(&self.headers);
        request
    }

    pub(in crate::request) fn ask(&self, avoid: Vec<UpstreamKey>) -> Ask {
        let prefix = &self.body[..self.body.len().min(PREFIX_BYTES)];
        Ask {
            class: Class::Live,
            caller: self.head.caller,
            prefix: xxh3_64(prefix),
            cost_tokens: estimate_tokens(&self.body),
            priority: 0,
            deadline: self.deadline,
            objective: None,
            avoid,
        }
    }

    fn respond(&self, entry: &Arc<Entry>, given: Given) -> Response<Body> {
        match given {
            Given::Whole(whole) => whole_response(whole),
            Given::Stream(response, permit) => {
                let (parts, body) = response.into_parts();
                let body = match entry.gate(&self.head.service) {
                    Some(gate) if self.head.target.as_str().starts_with(COMPLETIONS_PATH) => {
                        let relayed = relay(Arc::clone(entry), self.clone(), gate, body, permit);
                        StreamBody::new(relayed).boxed_unsync()
                    }
                    Some(_) | None => {
                        let (entry, call) = (Arc::clone(entry), self.clone());
                        Tracked::new(body, permit, entry, call).boxed_unsync()
                    }
                };
                let mut response = Response::new(body);
                *response.status_mut() = parts.status;
                *response.headers_mut() = without_hop_headers(&parts.headers);
                mark_answered(response.headers_mut());
                response
            }
        }
    }
}

/// Whether the answer is a stream of events.
pub(in crate::request) fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn without_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

fn mark_answered(headers: &mut HeaderMap) {
    let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
}

fn whole_response(whole: Response<Bytes>) -> Response<Body> {
    let (parts, body) = whole.into_parts();
    let mut response = bytes_response(parts.status, body);
    *response.headers_mut() = without_hop_headers(&parts.headers);
    mark_answered(response.headers_mut());
    response
}

/// A streamed answer of a plain service that reports its end to the gate.
///
/// If the upstream breaks off or the deadline passes, the caller's connection
/// is broken off as well: a stream that simply ended there would look whole.
struct Tracked {
    body: Incoming,
    permit: Option<Permit>,
    deadline: Pin<Box<Sleep>>,
    bytes: usize,
    entry: Arc<Entry>,
    call: Call,
}

impl Tracked {
    fn new(body: Incoming, permit: Permit, entry: Arc<Entry>, call: Call) -> Self {
        let deadline = tokio::time::Instant::from_std(call.deadline);
        Self {
            body,
            permit: Some(permit),
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            bytes: 0,
            entry,
            call,
        }
    }

    fn finish(&mut self, ending: Ending) {
        if let Some(permit) = self.permit.take() {
            self.call.note_ending(&self.entry, ending);
            permit.finish(ending, (self.bytes / BYTES_PER_TOKEN) as u32);
        }
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.bytes += data.len();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish(Ending::Failed);
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(None) => {
                self.finish(Ending::Answered);
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.finish(Ending::Abandoned);
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
        }
    }
}

/// Answers a caller as a boxed future, for the server.
pub fn boxed_answer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> BoxFuture<'static, Response<Body>> {
    Box::pin(answer(entry, request))
}
