//! Live calls: a client's request is admitted, sent to an upstream, retried where that is safe,
//! and answered with the upstream's bytes or a typed outcome.

use std::fmt::Display;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir::connection::blocks::Blocks;
use firweir::connection::body::BodyError;
use firweir::connection::body::PendingBody;
use firweir::connection::body::collect_into;
use firweir::connection::client::within;
use firweir::connection::server::Body;
use firweir::connection::server::blocks_response;
use firweir::process::clock::Clock;
use firweir::process::entry::balanced;
use firweir::request::gate::Ask;
use firweir::request::gate::Permit;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::suspect::Isolation;
use firweir_policy::tries::Tries;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::Refusal;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http_body_util::BodyExt;
use tokio::sync::SemaphorePermit;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer_stream::AnswerStream;
use crate::config_news::ConfigBasis;
use crate::connection_pool::CallError;
use crate::dialect::RoutedCall;
use crate::fingerprint::Fingerprint;
use crate::gates::Gates;
use crate::mechanisms::Mechanism;
use crate::model::Route;
use crate::model::RouteKind;
use crate::model::Upstream;
use crate::progress::CallProgress;
use crate::respond::Outcome;
use crate::respond::SHUTDOWN_RETRY_AFTER;
use crate::respond::SHUTTING_DOWN;
use crate::respond::body_refusal;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::shared::Shared;
use crate::split::SplitPoint;
use crate::upstream_answer::UpstreamRequest;
use crate::usage::counter::TrackedRequest;

/// Timeout of a call whose client sends none.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Largest body of a streamed answer.
const MAX_STREAM_BYTES: usize = 64 << 20;

/// Fraction of the remaining time that a try may take unless it is the last one: if the upstream
/// does not answer, there is time left to try another.
const TRY_TIME_FRACTION: f64 = 0.4;

/// Shortest timeout of a try: live services answer within tens of milliseconds, and within a few
/// hundred under load.
const MIN_TRY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a client may retry a call that no upstream accepted.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time after which a client may retry while this node has no configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reason of a refusal: the request has crashed as many upstreams as one request may.
const QUARANTINED: &str = "quarantined";

/// Reason of a refusal: the request may have crashed upstreams, and cannot run alone in time.
const SUSPECT: &str = "suspect";

fn without_outlier_ejection() -> Box<dyn Dispatcher> {
    Box::new(LaneDispatcher::without_outlier_ejection())
}

/// Answers live calls; shared by all connections.
#[derive(Debug)]
pub struct LiveCalls {
    shared: Shared,
    /// Hash of this node's name. Its calls of a service prefer one upstream while that is no
    /// fuller than others, so that connections are reused: with many nodes each has few calls,
    /// and a connection would be closed as idle between two of them.
    affinity: u64,
    gates: Gates,
}

/// When a request arrived, and what decides it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When its head arrived.
    pub at: Instant,
    /// The configuration by which it is routed.
    pub basis: ConfigBasis,
}

/// Outcome of one try.
enum TryOutcome {
    /// A complete answer, or the head of a stream.
    Answer(Response<Body>),
    /// The upstream answered with a server error; returned unless another try succeeds.
    FailedAnswer(Response<Body>),
    /// The upstream did not run the request.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// The request may have been sent, and there is no usable answer.
    Unknown,
}

/// A call that is being answered.
struct Call<'a> {
    route: &'a Route,
    routed: &'a RoutedCall,
    account: Option<&'a str>,
    head: &'a request::Parts,
    body: Blocks,
    fingerprint: Fingerprint,
    started: Instant,
    deadline: Instant,
    /// Service chosen from the targets of its route.
    service: &'a str,
    progress: CallProgress,
}

impl LiveCalls {
    /// Creates it without upstreams; they are set by [`LiveCalls::update_upstreams`].
    #[must_use]
    pub fn new(shared: Shared, node: &str, zone: String) -> Arc<Self> {
        let dispatcher: fn() -> Box<dyn Dispatcher> =
            if shared.mechanisms.is_enabled(Mechanism::Outliers) {
                balanced
            } else {
                without_outlier_ejection
            };
        let affinity = xxh3_64(node.as_bytes());
        let gates = Gates::new(Arc::clone(&shared.clock), zone, dispatcher);
        let gates = if shared.mechanisms.is_enabled(Mechanism::SharedService) {
            gates.with_jitter_seed(affinity)
        } else {
            gates
        };
        Arc::new(Self {
            shared,
            affinity,
            gates,
        })
    }

    /// Updates the upstreams of the gates from the fleet.
    pub fn update_upstreams(&self) {
        self.gates.update_upstreams(&self.shared.fleet);
    }

    /// Runs decisions that depend on the time.
    pub fn tick(&self) {
        self.gates.tick();
    }

    /// Answers one call on behalf of this account.
    pub async fn answer(
        self: &Arc<Self>,
        arrival: Arrival,
        routed: &RoutedCall,
        account: Option<&str>,
        route: &Route,
        head: &request::Parts,
        body: PendingBody,
    ) -> Response<Body> {
        let timeout = routed
            .timeout
            .unwrap_or(DEFAULT_TIMEOUT)
            .min(route.timeout());
        let Arrival { at: started, basis } = arrival;
        let deadline = started + timeout;
        let point = SplitPoint::of_request(&routed.request_id);
        let is_served = |service: &str| self.shared.fleet.serves(service);
        let Some(service) = route.service_at(point, is_served) else {
            self.shared.journal.count("live.no_service");
            let refused = refusal(Outcome::NotRun(RETRY_AFTER), "no-service");
            self.log_refused(routed, route, &refused, basis);
            return refused;
        };
        let body = match self.read_body(body, deadline).await {
            Ok(body) => body,
            Err(refused) => {
                self.shared.journal.count("live.body_refused");
                self.log_refused(routed, route, &refused, basis);
                return refused;
            }
        };
        let call = Call {
            service,
            progress: CallProgress::for_call(&self.shared, service, account, route),
            route,
            routed,
            account,
            head,
            fingerprint: Fingerprint::of_call(head, account, &body),
            body,
            started,
            deadline,
        };
        let answer = self.run(&call).await;
        let took = self.shared.clock.now().duration_since(started);
        let took_ms = took.as_millis();
        self.shared.journal.time("live.call", took);
        self.shared.journal.count(match answer.status().as_u16() {
            200..=299 => "live.answered",
            503 => "live.not_run",
            504 => "live.out_of_time",
            _ => "live.failed",
        });
        let (status, reason) = (answer.status().as_u16(), reason_of(&answer));
        let (account, timeout_ms) = (account.unwrap_or("none"), timeout.as_millis());
        let mut fields: Vec<(&str, &dyn Display)> = vec![
            ("request", &routed.request_id),
            ("route", &route.name),
            ("account", &account),
            ("status", &status),
            ("reason", &reason),
            ("took_ms", &took_ms),
            ("patience_ms", &timeout_ms),
        ];
        fields.extend(basis.fields());
        let shared_fields = call.progress.fields();
        if call.progress.is_shared {
            self.count_shared_call(&call.progress, reason);
            fields.extend(
                shared_fields
                    .iter()
                    .map(|(name, value)| (*name, value as _)),
            );
        }
        if matches!(reason, QUARANTINED | SUSPECT) {
            fields.push(("fingerprint", &call.fingerprint));
        }
        self.shared.journal.event("call", &fields);
        answer
    }

    /// Reads the body of a call; the error is the answer to a call that is not taken.
    async fn read_body(
        &self,
        body: PendingBody,
        deadline: Instant,
    ) -> Result<Blocks, Response<Body>> {
        let shutdown = &self.shared.shutdown;
        let shutting_down = || {
            self.shared.journal.count("live.shutting_down");
            refusal(Outcome::NotRun(SHUTDOWN_RETRY_AFTER), SHUTTING_DOWN)
        };
        if !shutdown.may_take(deadline) {
            return Err(shutting_down());
        }
        let limit = self.shared.fleet.config().max_body_bytes;
        let time_to_read = deadline.saturating_duration_since(self.shared.clock.now());
        let reading = pin!(within(time_to_read, body.receive(limit)));
        let Some(read) = shutdown.before_answer_due(reading).await else {
            return Err(shutting_down());
        };
        match read {
            // A long body may have arrived after the beginning of a shutdown.
            Some(Ok(_)) if !shutdown.may_take(deadline) => Err(shutting_down()),
            Some(Ok(body)) => Ok(body),
            Some(Err(error)) => Err(body_refusal(error, RETRY_AFTER)),
            None => Err(refusal(Outcome::NotRun(RETRY_AFTER), "body-late")),
        }
    }

    /// Logs a call whose body was not taken.
    fn log_refused(
        &self,
        routed: &RoutedCall,
        route: &Route,
        refused: &Response<Body>,
        basis: ConfigBasis,
    ) {
        let (status, reason) = (refused.status().as_u16(), reason_of(refused));
        let mut fields: Vec<(&str, &dyn Display)> = vec![
            ("request", &routed.request_id),
            ("route", &route.name),
            ("status", &status),
            ("reason", &reason),
        ];
        fields.extend(basis.fields());
        self.shared.journal.event("call_refused", &fields);
    }

    fn count_shared_call(&self, progress: &CallProgress, reason: &str) {
        if progress.has_waited() {
            self.shared.journal.count("live.held_for_room");
        }
        if reason == Refusal::LowPriority.as_str() {
            self.shared.journal.count("live.refused_low_priority");
        }
    }

    async fn run(self: &Arc<Self>, call: &Call<'_>) -> Response<Body> {
        let service = call.service;
        let gate = self.gates.get_or_create(service);
        gate.count_offered();
        // Calls have no prompt; calls with an equal hash prefer the same upstreams.
        let prefix = if self.shared.mechanisms.is_enabled(Mechanism::CallAffinity) {
            self.affinity
        } else {
            xxh3_64(call.routed.request_id.as_bytes())
        };
        let is_idempotent = call.route.kind == RouteKind::Idempotent;
        let mut tries = Tries::new(call.route.max_attempts, call.progress.is_shared);
        let mut failed_answer = None;
        let mut may_have_run = false;
        while tries.has_tries_left() {
            let isolating = self.wait_for_isolation(call, may_have_run).await;
            let _isolated = match isolating {
                Ok(isolated) => isolated,
                Err(_) if may_have_run => break,
                Err((reason, retry_after)) => {
                    return refusal(Outcome::NotRun(retry_after), reason);
                }
            };
            let asked_at = self.shared.clock.now();
            let admitting = pin!(gate.admit(call.ask(asked_at, prefix, &tries)));
            let Some(admitted) = self.shared.shutdown.before_answer_due(admitting).await else {
                break;
            };
            call.progress
                .record_wait(self.shared.clock.now().duration_since(asked_at));
            let permit = match admitted {
                Ok(permit) => permit,
                Err(refused) if !may_have_run => {
                    let retry_after = refused
                        .retry_after
                        .min(call.time_left(&*self.shared.clock) / 3);
                    return refusal(Outcome::NotRun(retry_after), refused.reason.as_str());
                }
                Err(_) => break,
            };
            let upstream = permit.upstream();
            // Refused tries do not count as attempts, but the route still limits how many different
            // upstreams may get the call.
            if !tries.may_send_to(upstream) {
                break;
            }
            let is_last = tries.is_last() || !is_idempotent;
            let trying = pin!(self.try_upstream(call, service, permit, is_last));
            let outcome = self.shared.shutdown.before_answer_due(trying).await;
            let outcome = outcome.unwrap_or(TryOutcome::Unknown);
            if matches!(outcome, TryOutcome::NotSent) {
                tries.record_not_sent(upstream);
            } else {
                self.count_try(call, &outcome);
                tries.record_sent(upstream, matches!(outcome, TryOutcome::NotRun));
            }
            match outcome {
                TryOutcome::Answer(answer) => return answer,
                TryOutcome::FailedAnswer(answer) => {
                    may_have_run = true;
                    failed_answer = Some(answer);
                }
                TryOutcome::NotRun | TryOutcome::NotSent => {}
                TryOutcome::Unknown => may_have_run = true,
            }
            let is_in_time = self.shared.clock.now() < call.deadline;
            let is_ending = self.shared.shutdown.is_answer_due();
            if !is_in_time || is_ending || (may_have_run && !is_idempotent) {
                break;
            }
        }
        self.failure_answer(call, failed_answer, may_have_run)
    }

    /// Waits until the call may be tried: one that may crash upstreams is tried once, with no other
    /// such call at the same time, so that the next crash is its own. The error holds the reason
    /// and the time after which the caller may retry.
    async fn wait_for_isolation(
        &self,
        call: &Call<'_>,
        may_have_run: bool,
    ) -> Result<Option<SemaphorePermit<'_>>, (&'static str, Duration)> {
        let failed_requests = &self.shared.failed_requests;
        let third = call.time_left(&*self.shared.clock) / 3;
        match failed_requests.isolation(call.fingerprint) {
            Isolation::Free => Ok(None),
            Isolation::Quarantined(remaining) => {
                self.shared.journal.count("live.quarantined");
                Err((QUARANTINED, remaining))
            }
            Isolation::Alone if may_have_run => Err((SUSPECT, third)),
            Isolation::Alone => {
                let time_left = call.time_left(&*self.shared.clock);
                let waiting = pin!(within(time_left, failed_requests.isolated().acquire()));
                match self.shared.shutdown.before_answer_due(waiting).await {
                    Some(Some(Ok(isolated))) => Ok(Some(isolated)),
                    Some(Some(Err(_)) | None) | None => Err((SUSPECT, third)),
                }
            }
        }
    }

    /// Counts a try that was sent to an upstream, and whether the upstream refused it.
    fn count_try(&self, call: &Call<'_>, outcome: &TryOutcome) {
        call.progress.record_try();
        if call.progress.is_shared && matches!(outcome, TryOutcome::NotRun) {
            self.shared.journal.count("live.refused_by_upstream");
        }
    }

    /// The final answer of a call for which no try succeeded.
    fn failure_answer(
        &self,
        call: &Call<'_>,
        failed_answer: Option<Response<Body>>,
        may_have_run: bool,
    ) -> Response<Body> {
        if let Some(answer) = failed_answer {
            return answer;
        }
        if !may_have_run {
            let third = call.time_left(&*self.shared.clock) / 3;
            let retry_after = if call.progress.is_shared {
                RETRY_AFTER.min(third)
            } else {
                RETRY_AFTER
            };
            return refusal(Outcome::NotRun(retry_after), "no-upstream-took-it");
        }
        if self.shared.clock.now() >= call.deadline {
            return refusal(Outcome::OutOfTime, "out-of-time");
        }
        refusal(Outcome::Unknown, "upstream-failed")
    }

    async fn try_upstream(
        self: &Arc<Self>,
        call: &Call<'_>,
        service: &str,
        permit: Permit,
        is_last: bool,
    ) -> TryOutcome {
        let upstream = self.shared.fleet.permitted_upstream(service, &permit);
        let remaining = call.time_left(&*self.shared.clock);
        let Some(upstream) = upstream.filter(|_| !remaining.is_zero()) else {
            permit.finish(Ending::Unreachable, 0);
            return TryOutcome::NotSent;
        };
        let timeout = if is_last {
            remaining
        } else {
            remaining
                .mul_f64(TRY_TIME_FRACTION)
                .max(MIN_TRY_TIMEOUT)
                .min(remaining)
        };
        let request = self.upstream_request(call, &upstream);
        let tracked = self.shared.usage_counter.track_request(call.account);
        let sending = self.exchange(call, &upstream, request, permit, tracked);
        let Some(outcome) = within(timeout, sending).await else {
            self.log_failed_try(call, &upstream, "late");
            return TryOutcome::Unknown;
        };
        outcome
    }

    fn upstream_request(&self, call: &Call<'_>, upstream: &Upstream) -> Request<Blocks> {
        let mut request = Request::new(call.body.clone());
        *request.method_mut() = call.head.method.clone();
        *request.uri_mut() = call.head.uri.clone();
        let headers = &call.head.headers;
        *request.headers_mut() =
            self.shared
                .dialect
                .forwarded_headers(headers, call.account, upstream);
        request
    }

    async fn exchange(
        self: &Arc<Self>,
        call: &Call<'_>,
        upstream: &Upstream,
        request: Request<Blocks>,
        permit: Permit,
        tracked: TrackedRequest,
    ) -> TryOutcome {
        let set_time_left = |headers: &mut HeaderMap| {
            let time_left = call.time_left(&*self.shared.clock);
            self.shared.dialect.set_time_left(headers, time_left);
        };
        let upstream_request = UpstreamRequest {
            to: upstream.address,
            request_id: &call.routed.request_id,
            request,
        };
        let own = match self
            .shared
            .send_upstream(upstream_request, set_time_left)
            .await
        {
            Ok(own) => own,
            Err(error) => {
                self.log_failed_try(call, upstream, failure_name(error));
                return match error {
                    CallError::Refused | CallError::NotSent => {
                        tracked.record_not_run();
                        permit.finish(Ending::Unreachable, 0);
                        TryOutcome::NotSent
                    }
                    CallError::Broken
                    | CallError::Late
                    | CallError::Malformed
                    | CallError::Foreign => {
                        if error == CallError::Broken {
                            self.record_lost_upstream(call, upstream);
                        }
                        permit.finish(Ending::Failed, 0);
                        TryOutcome::Unknown
                    }
                };
            }
        };
        let load = self.shared.usable_load(own.reported.load);
        if own.reported.not_run {
            tracked.record_not_run();
            own.discard_refusal().await;
            permit.finish_with_load(Ending::Refused, load);
            return TryOutcome::NotRun;
        }
        if own.reported.proof.is_none() {
            self.log_failed_try(call, upstream, "no-proof");
            permit.finish(Ending::Failed, 0);
            return TryOutcome::Unknown;
        }
        let status = own.status;
        let headers = self.shared.dialect.returned_headers(&own.headers);
        let stream = |read, body, connection, permit| {
            let stream = AnswerStream {
                read,
                body,
                connection: Some(connection),
                permit: Some(permit),
                failed_requests: self.shared.failed_requests.clone(),
                fingerprint: call.fingerprint,
                upstream: upstream.instance.clone(),
                deadline: Box::pin(tokio::time::sleep_until(call.deadline.into())),
            };
            let mut answer = Response::new(stream.boxed_unsync());
            *answer.status_mut() = status;
            headers.clone_into(answer.headers_mut());
            TryOutcome::Answer(answer)
        };
        if matches!(call.route.kind, RouteKind::Streaming { .. }) && status.is_success() {
            let (body, connection) = own.into_stream(MAX_STREAM_BYTES);
            return stream(Blocks::default(), body, connection, permit);
        }
        let (mut body, connection) = own.into_stream(MAX_ANSWER_BYTES);
        let memory = &self.shared.request_memory;
        let collected = collect_into(memory, &mut body, MAX_ANSWER_BYTES).await;
        let body = match collected.whole_or_part() {
            Ok(whole) => whole,
            // It is passed on as it arrives; a server error is not worth it.
            Err((BodyError::NoMemory, read)) if !status.is_server_error() => {
                return stream(read, body, connection, permit);
            }
            Err(_) => {
                self.log_failed_try(call, upstream, "broken-answer");
                self.record_lost_upstream(call, upstream);
                permit.finish(Ending::Failed, 0);
                return TryOutcome::Unknown;
            }
        };
        connection.return_to_pool();
        if shows_complete_run(status) {
            self.shared.failed_requests.clear(call.fingerprint);
        }
        let mut answer = blocks_response(status, body);
        *answer.headers_mut() = headers;
        if status.is_server_error() {
            permit.finish_with_load(Ending::Failed, load);
            return TryOutcome::FailedAnswer(answer);
        }
        permit.finish_with_load(Ending::Answered, load);
        TryOutcome::Answer(answer)
    }

    fn record_lost_upstream(&self, call: &Call<'_>, upstream: &Upstream) {
        let failed_requests = &self.shared.failed_requests;
        failed_requests.record_lost_upstream(call.fingerprint, &upstream.instance);
    }

    fn log_failed_try(&self, call: &Call<'_>, upstream: &Upstream, outcome: &str) {
        self.shared.journal.event(
            "try_failed",
            &[
                ("request", &call.routed.request_id),
                ("fingerprint", &call.fingerprint),
                ("upstream", &upstream.instance),
                ("outcome", &outcome),
                (
                    "failures",
                    &self.shared.failed_requests.count(call.fingerprint),
                ),
                ("left_ms", &call.time_left(&*self.shared.clock).as_millis()),
            ],
        );
    }

    /// The answer while this node has no configuration.
    #[must_use]
    pub fn not_ready() -> Response<Body> {
        refusal(Outcome::NotRun(NOT_READY_RETRY_AFTER), "no-configuration")
    }
}

impl Call<'_> {
    fn ask(&self, now: Instant, prefix: u64, tries: &Tries) -> Ask {
        let elapsed = now.duration_since(self.started);
        let objective = self.route.objective();
        Ask {
            class: Class::Live,
            // Calls are admitted fairly by account: a burst of one does not delay the others.
            caller: xxh3_64(self.account.unwrap_or_default().as_bytes()),
            prefix,
            cost_tokens: 1,
            priority: self.progress.priority.unwrap_or(0),
            deadline: self.deadline,
            objective: objective.map(|objective| objective.saturating_sub(elapsed)),
            avoid: tries.avoid().to_vec(),
        }
    }

    fn time_left(&self, clock: &dyn Clock) -> Duration {
        self.deadline.saturating_duration_since(clock.now())
    }
}

/// Name of a failure in the log.
const fn failure_name(error: CallError) -> &'static str {
    match error {
        CallError::Foreign => "foreign-answer",
        CallError::Malformed => "malformed-answer",
        CallError::Refused | CallError::NotSent | CallError::Broken | CallError::Late => {
            "no-answer"
        }
    }
}

/// Whether an answer shows that an upstream ran the request to its end and survived. A server error
/// does not: the time may have run out, or the upstream may be faulty. Nor does a rejection before
/// the run.
fn shows_complete_run(status: StatusCode) -> bool {
    let is_rejection = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
    );
    !is_rejection && !status.is_server_error()
}
