//! Handles the requests of clients, the balancer and other nodes, and authenticates clients.

mod peer_requests;

use std::fmt::Display;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use firweir::connection::body::BodyError;
use firweir::connection::body::PendingBody;
use firweir::connection::client::within;
use firweir::connection::open_connections::OpenConnections;
use firweir::connection::server::Body;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir::process::tasks::Tasks;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use crate::authentication::AccessRequest;
use crate::authentication::ConfigAgeLimits;
use crate::authentication::Denied;
use crate::authentication::Purpose;
use crate::authentication::authenticate;
use crate::config_news::ConfigBasis;
use crate::connection_pool::ConnectionPool;
use crate::dialect::AskedCall;
use crate::dialect::ClientCall;
use crate::dialect::Dialect;
use crate::dialect::RoutedCall;
use crate::drafting::Drafting;
use crate::duty::BootClock;
use crate::failed_requests::FailedRequests;
use crate::failure_exchange::FailureExchange;
use crate::fleet::Fleet;
use crate::holder::DutyHolder;
use crate::live::Arrival;
use crate::live::DEFAULT_TIMEOUT;
use crate::live::LiveCalls;
use crate::mechanisms::EnabledMechanisms;
use crate::mechanisms::Mechanism;
use crate::model::Config;
use crate::model::Route;
use crate::model::RouteKind;
use crate::relay::Relay;
use crate::reload::CurrentSettings;
use crate::respond::Outcome;
use crate::respond::SHUTDOWN_RETRY_AFTER;
use crate::respond::SHUTTING_DOWN;
use crate::respond::body_refusal;
use crate::respond::empty;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::scoring::Scoring;
use crate::shutdown::Shutdown;
use crate::submission::accept::SubmissionRequest;
use crate::submission::home_finder::HomeFinder;
use crate::submission::homes::Homes;
use crate::submission::manager::RequestOrigin;
use crate::submission::manager::SubmissionManager;
use crate::submission::runners::set_account_header;
use crate::usage::counter::UsageCounter;

/// Time after which a client may retry a call while this node's configuration may be too old: the
/// retry goes to another node, and a node that lost its seed follows another one within a second.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest wait of a request for a node's first configuration: many times as long as listing it
/// takes. Waiting longer is no use, since a store that is unavailable stays so for seconds.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(200);

/// Largest fraction of a client's timeout that a request waits for the first configuration.
const CONFIG_WAIT_FRACTION: f64 = 0.25;

/// Largest submission that is forwarded to the home of its model. Its body is kept beside its decoded
/// items until it is accepted; a larger one is accepted where it arrives.
const MAX_FORWARDED_BYTES: usize = 4 << 20;

/// Answers clients, the balancer and other nodes by means of the components of this node.
#[derive(Debug)]
pub(crate) struct RequestHandler {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) live: Arc<LiveCalls>,
    pub(crate) failed_requests: FailedRequests,
    pub(crate) failure_exchange: FailureExchange,
    pub(crate) scoring: Scoring,
    pub(crate) submissions: SubmissionManager,
    pub(crate) drafting: Drafting,
    pub(crate) homes: Homes,
    pub(crate) home_finder: HomeFinder,
    pub(crate) holder: DutyHolder,
    pub(crate) usage_counter: UsageCounter,
    pub(crate) relay: Arc<Relay>,
    pub(crate) connections: ConnectionPool,
    pub(crate) request_memory: OpenConnections,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) boot_clock: Arc<dyn BootClock>,
    pub(crate) settings: CurrentSettings,
    pub(crate) journal: Journal,
    pub(crate) tasks: Tasks,
    pub(crate) shutdown: Shutdown,
    pub(crate) mechanisms: EnabledMechanisms,
}

impl RequestHandler {
    /// Answers a request of a client or the balancer.
    pub(crate) async fn handle_client(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let (head, body) = PendingBody::split(request);
        let mut answer = if self.shutdown.is_answer_due() {
            refusal(Outcome::NotRun(SHUTDOWN_RETRY_AFTER), SHUTTING_DOWN)
        } else {
            let answering = pin!(self.answer_client(head, body));
            let answered = self.shutdown.before_answer_due(answering).await;
            answered.unwrap_or_else(|| refusal(Outcome::Unknown, SHUTTING_DOWN))
        };
        if self.shutdown.has_begun() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    async fn answer_client(&self, head: http::request::Parts, body: PendingBody) -> Response<Body> {
        match self.dialect.client_call(&head) {
            ClientCall::Ready => self.readiness(),
            ClientCall::Routed(routed) => self.answer_routed(&routed, head, body).await,
            ClientCall::Asked(question) => self.answer_question(&question, head).await,
        }
    }

    /// Answers a client's question about a submission.
    async fn answer_question(
        &self,
        question: &AskedCall,
        mut head: http::request::Parts,
    ) -> Response<Body> {
        let Some(config) = self.wait_for_config(None).await else {
            return self.anonymous_question(question, head).await;
        };
        let access = AccessRequest {
            key: question.key.as_ref(),
            is_public: config.has_public_rollouts(&question.host),
            purpose: Purpose::Manage,
        };
        let account = match self.authenticate(&config, access, &question.submission) {
            Ok(account) => account,
            Err(denied) => return denial_answer(denied),
        };
        set_account_header(&mut head.headers, account);
        self.submissions
            .answer_question(RequestOrigin::Client, account, question, &head)
            .await
    }

    /// Answers a question while there is no configuration to tell whose key came with it: what
    /// belongs to no account can be read by all; for anything else the answer is not ready.
    async fn anonymous_question(
        &self,
        question: &AskedCall,
        mut head: http::request::Parts,
    ) -> Response<Body> {
        set_account_header(&mut head.headers, None);
        let answer = self
            .submissions
            .answer_question(RequestOrigin::Client, None, question, &head)
            .await;
        if answer.status() == StatusCode::NOT_FOUND {
            return LiveCalls::not_ready();
        }
        answer
    }

    /// Name of the account that a call is for; a denial is logged.
    fn authenticate<'a>(
        &self,
        config: &'a Config,
        access: AccessRequest<'_>,
        call: &str,
    ) -> Result<Option<&'a str>, Denied> {
        let basis = self.fleet.config_basis(config);
        let account = authenticate(config, access, basis.age.0, &self.age_limits());
        if let Err(denied) = account {
            self.log_denied(denied, &basis, call);
        }
        account
    }

    fn age_limits(&self) -> ConfigAgeLimits {
        let settings = self.settings.now();
        ConfigAgeLimits::new(settings.config_apply(), settings.revocation())
    }

    fn log_denied(&self, denied: Denied, basis: &ConfigBasis, call: &str) {
        let reason = denial_reason(denied);
        self.journal.count(match denied {
            Denied::NoKey => "door.no_key",
            Denied::UnknownKey => "door.unknown_key",
            Denied::StaleConfig => "door.unsure",
        });
        let mut fields: Vec<(&str, &dyn Display)> = vec![("request", &call), ("reason", &reason)];
        fields.extend(basis.fields());
        self.journal.event("call_denied", &fields);
    }

    /// Answers the balancer. A node is not ready without a configuration, while that may be too
    /// old for calls with a key, or once it drains.
    fn readiness(&self) -> Response<Body> {
        let config = self.fleet.config();
        let may_serve_keys = || self.age_limits().may_serve(self.fleet.config_age());
        let has_recent_config = !config.accounts.are_declared() || may_serve_keys();
        let is_ready = config.version > 0 && has_recent_config && !self.tasks.is_draining();
        empty(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }

    async fn answer_routed(
        &self,
        routed: &RoutedCall,
        mut head: http::request::Parts,
        body: PendingBody,
    ) -> Response<Body> {
        let started = self.clock.now();
        let Some(config) = self.wait_for_config(routed.timeout).await else {
            return LiveCalls::not_ready();
        };
        let basis = self.fleet.config_basis(&config);
        let Some(route) = config.route(&routed.host, head.uri.path()) else {
            return self.no_route_answer(routed, &basis);
        };
        let access = access_request_of(route, routed);
        let account = match self.authenticate(&config, access, &routed.request_id) {
            Ok(account) => account,
            Err(denied) => return denial_answer(denied),
        };
        if config.accounts.are_declared() {
            head.headers.remove(header::AUTHORIZATION);
        }
        if route.kind != RouteKind::Rollout || head.method != Method::POST {
            let live = &self.live;
            let arrival = Arrival { at: started, basis };
            return live
                .answer(arrival, routed, account, route, &head, body)
                .await;
        }
        set_account_header(&mut head.headers, account);
        let incoming = IncomingSubmission {
            origin: RequestOrigin::Client,
            routed,
            account,
            head: &head,
            limit_bytes: config.max_body_bytes,
        };
        let answer = self.submit(incoming, body).await;
        self.log_routed("submission", routed, &basis, &answer);
        answer
    }

    fn no_route_answer(&self, routed: &RoutedCall, basis: &ConfigBasis) -> Response<Body> {
        let answer = if self.fleet.is_config_fresh() {
            refusal(Outcome::BadRequest(StatusCode::NOT_FOUND), "no-route")
        } else {
            refusal(Outcome::NotRun(RETRY_AFTER), "configuration-old")
        };
        self.log_routed("route_unknown", routed, basis, &answer);
        answer
    }

    /// Logs by which configuration a request that is no live call was decided.
    fn log_routed(
        &self,
        event: &str,
        routed: &RoutedCall,
        basis: &ConfigBasis,
        answer: &Response<Body>,
    ) {
        let (status, reason) = (answer.status().as_u16(), reason_of(answer));
        let mut fields: Vec<(&str, &dyn Display)> = vec![
            ("request", &routed.request_id),
            ("status", &status),
            ("reason", &reason),
        ];
        fields.extend(basis.fields());
        self.journal.event(event, &fields);
    }

    /// The configuration; on a node that has just started, waits for it up to a limit.
    ///
    /// After a loss of power clients reach nodes that have no configuration yet, since the
    /// balancer uses all nodes if none is ready. Refused calls would be retried too late.
    async fn wait_for_config(&self, timeout: Option<Duration>) -> Option<Arc<Config>> {
        if !self.mechanisms.is_enabled(Mechanism::FirstConfig) {
            let config = self.fleet.config();
            return (config.version > 0).then_some(config);
        }
        let timeout = timeout.unwrap_or(MAX_CONFIG_WAIT);
        let wait = MAX_CONFIG_WAIT.min(timeout.mul_f64(CONFIG_WAIT_FRACTION));
        // A timeout needs no handling: the version is checked below.
        _ = within(wait, self.fleet.wait_until_configured()).await;
        let config = self.fleet.config();
        (config.version > 0).then_some(config)
    }

    async fn submit(&self, incoming: IncomingSubmission<'_>, body: PendingBody) -> Response<Body> {
        let IncomingSubmission { routed, head, .. } = incoming;
        let timeout = routed.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let Some(body) = within(timeout, body.receive(incoming.limit_bytes)).await else {
            return refusal(Outcome::NotRun(RETRY_AFTER), "body-late");
        };
        let body = match body {
            Ok(body) => body,
            Err(error) => return body_refusal(error, RETRY_AFTER),
        };
        let body_bytes = body.len();
        let forwarded_body = (body_bytes <= MAX_FORWARDED_BYTES).then(|| body.clone());
        let submission = match self.dialect.submission(&routed.request_id, body) {
            Ok(submission) => submission,
            Err(error) => {
                self.journal.event(
                    "submission_malformed",
                    &[("submission", &routed.request_id), ("cause", &error)],
                );
                let status = StatusCode::BAD_REQUEST;
                return refusal(Outcome::BadRequest(status), "malformed-submission");
            }
        };
        let memory = self.request_memory.reserve(body_bytes, body_bytes).await;
        let Some(memory) = memory else {
            return body_refusal(BodyError::NoMemory, RETRY_AFTER);
        };
        let submission_request = SubmissionRequest {
            host: &routed.host,
            head,
            body: forwarded_body.as_ref(),
            memory: &Arc::new(memory),
            account: incoming.account,
        };
        match incoming.origin {
            RequestOrigin::Client => {
                let is_draining = self.tasks.is_draining();
                self.submissions
                    .submit(&submission_request, submission, is_draining)
                    .await
            }
            RequestOrigin::Peer => {
                self.submissions
                    .accept(&submission_request, submission)
                    .await
            }
        }
    }
}

/// A submission as it arrives, before its body is read.
#[derive(Debug, Clone, Copy)]
struct IncomingSubmission<'a> {
    origin: RequestOrigin,
    routed: &'a RoutedCall,
    account: Option<&'a str>,
    head: &'a http::request::Parts,
    limit_bytes: usize,
}

const fn access_request_of<'a>(route: &Route, routed: &'a RoutedCall) -> AccessRequest<'a> {
    AccessRequest {
        key: routed.key.as_ref(),
        is_public: route.public,
        purpose: Purpose::Run,
    }
}

const fn denial_reason(denied: Denied) -> &'static str {
    match denied {
        Denied::NoKey => "no-key",
        Denied::UnknownKey => "unknown-key",
        Denied::StaleConfig => "keys-may-be-old",
    }
}

/// The answer to a call that is denied.
fn denial_answer(denied: Denied) -> Response<Body> {
    let reason = denial_reason(denied);
    if denied == Denied::StaleConfig {
        return refusal(Outcome::NotRun(RETRY_AFTER), reason);
    }
    let mut answer = refusal(Outcome::BadRequest(StatusCode::UNAUTHORIZED), reason);
    let scheme = HeaderValue::from_static("Bearer");
    answer
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, scheme);
    answer
}
