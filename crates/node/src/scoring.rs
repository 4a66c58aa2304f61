//! Scores of complete texts: one call of a reward service for each, through the routes that
//! callers use, retried on other upstreams until it has an answer.
//!
//! When a call starts, and where, is decided by [`BackgroundDispatcher`], so that the calls of a
//! step do not crowd out callers of the same service.

use std::sync::Arc;
use std::time::Duration;

use firweir::connection::client::within;
use firweir::request::gate::Ask;
use firweir::request::gate::Permit;
use firweir_policy::background::BackgroundDispatcher;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;
use http::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection_pool::CallError;
use crate::crash_pacing::CrashPacing;
use crate::dialect::RewardRequest;
use crate::fingerprint::Fingerprint;
use crate::gates::Gates;
use crate::mechanisms::Mechanism;
use crate::model::Item;
use crate::model::RewardCall;
use crate::model::Route;
use crate::model::Score;
use crate::model::Upstream;
use crate::shared::Shared;
use crate::split::SplitPoint;
use crate::submission::local::LocalSubmission;
use crate::upstream_answer::OwnAnswer;
use crate::upstream_answer::UpstreamRequest;

/// Delay before the retry of a call that did not run or broke off: a full service has a free
/// slot within a tenth of a second, and a restart takes seconds.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before the retry of a call without a route, or one that cannot be sent: a new
/// configuration takes effect within seconds.
const NO_ROUTE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time left that a call past its due time claims when it asks for a slot; makes it the most
/// urgent one.
const OVERDUE_TIME_LEFT: Duration = Duration::from_secs(1);

/// Largest body of an answer to a reward call; the proof is in the head.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// How scoring a text ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// The text has a score.
    Score(Score),
    /// The item is abandoned for this reason.
    Abandoned(&'static str),
}

/// How one attempt of a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Attempt {
    /// The call succeeded; the value is its proof of origin.
    Answered(String),
    /// The upstream reports that the call failed.
    Failed,
    /// The call did not run.
    NotRun(&'static str),
    /// The call may have run, and there is no usable answer.
    Broken(&'static str),
    /// The upstream was lost before it had answered.
    Crashed,
    /// There is no route for the call.
    NoRoute,
    /// No request can be made of the call.
    Unusable,
}

/// Scores texts; cheap to clone.
#[derive(Debug, Clone)]
pub struct Scoring {
    shared: Shared,
    gates: Arc<Gates>,
}

fn background() -> Box<dyn Dispatcher> {
    Box::new(BackgroundDispatcher::new())
}

fn unpaced() -> Box<dyn Dispatcher> {
    Box::new(BackgroundDispatcher::unpaced())
}

impl Scoring {
    /// Creates a scorer without upstreams; [`Scoring::update_upstreams`] sets them.
    #[must_use]
    pub fn new(shared: Shared, zone: String) -> Self {
        let is_paced = shared.mechanisms.is_enabled(Mechanism::PacedRewards);
        let dispatcher = if is_paced { background } else { unpaced };
        let gates = Gates::new(Arc::clone(&shared.clock), zone, dispatcher);
        Self {
            shared,
            gates: Arc::new(gates),
        }
    }

    /// Updates the upstreams of the gates from the fleet.
    pub fn update_upstreams(&self) {
        self.gates.update_upstreams(&self.shared.fleet);
    }

    /// Runs decisions that depend on the time.
    pub fn tick(&self) {
        self.gates.tick();
    }

    /// Scores an item's complete text. Dropping the future cancels its call.
    pub async fn score(
        &self,
        submission: &LocalSubmission,
        item: &Item,
        call: &RewardCall,
    ) -> ScoreOutcome {
        let mut avoid = Vec::new();
        let mut failures = 0;
        let failed_requests = &self.shared.failed_requests;
        let fingerprint = Fingerprint::of_failing_reward_call(call);
        let mut pacing = CrashPacing::default();
        loop {
            if let Some(reason) = self.abandon_reason(submission) {
                return ScoreOutcome::Abandoned(reason);
            }
            let max_failures = self.max_failures(submission, call);
            if failed_requests.is_exhausted(fingerprint, failures, max_failures) {
                return ScoreOutcome::Abandoned("score-failed");
            }
            let attempt = self.attempt(submission, call, &mut avoid).await;
            if let Attempt::Answered(proof) = attempt {
                failed_requests.clear(fingerprint);
                let call = call.clone();
                return ScoreOutcome::Score(Score { call, proof });
            }
            self.log_failure(submission, item, call, &attempt);
            match attempt {
                Attempt::Crashed => pacing.record_loss(),
                Attempt::Failed => pacing.record_answer(),
                _ => {}
            }
            let delay = match attempt {
                Attempt::Failed => {
                    failures += 1;
                    failed_requests.record_failed_run(fingerprint);
                    Duration::ZERO
                }
                Attempt::NoRoute | Attempt::Unusable => NO_ROUTE_RETRY_DELAY,
                Attempt::NotRun(_) | Attempt::Broken(_) | Attempt::Answered(_) => RETRY_DELAY,
                Attempt::Crashed => RETRY_DELAY.max(pacing.pause()),
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Reason for which the submission's items are to be abandoned; `None` if they are not.
    fn abandon_reason(&self, submission: &LocalSubmission) -> Option<&'static str> {
        let config = self.shared.fleet.config();
        match config.route(&submission.head.host, &submission.head.path) {
            Some(route) if self.shared.clock.now() < submission.expires_at(route) => None,
            Some(_) => Some("score-expired"),
            // Without a configuration no routes are known: a node that starts reads its
            // submissions first.
            None if config.version == 0 => None,
            None => Some("route-gone"),
        }
    }

    /// Number of failures after which the item is abandoned: the larger of the limits of the
    /// item's route and the call's route, so that it is never abandoned before both are reached.
    fn max_failures(&self, submission: &LocalSubmission, call: &RewardCall) -> u32 {
        let config = self.shared.fleet.config();
        let of_item = config.route(&submission.head.host, &submission.head.path);
        let of_call = config.route(&call.host, &call.path);
        let limits = [of_item, of_call].into_iter().flatten();
        let max_attempts = limits.map(|route| route.max_attempts).max();
        max_attempts.unwrap_or(u32::MAX).max(1)
    }

    async fn attempt(
        &self,
        submission: &LocalSubmission,
        call: &RewardCall,
        avoid: &mut Vec<UpstreamKey>,
    ) -> Attempt {
        let config = self.shared.fleet.config();
        let Some(route) = config.route(&call.host, &call.path) else {
            return Attempt::NoRoute;
        };
        let point = SplitPoint::of_request(&call.id);
        let is_served = |service: &str| self.shared.fleet.serves(service);
        let Some(service) = route.service_at(point, is_served) else {
            return Attempt::NoRoute;
        };
        let ask = self.ask(submission, avoid);
        let permit = match self.gates.get_or_create(service).admit(ask).await {
            Ok(permit) => permit,
            Err(refused) => return Attempt::NotRun(refused.reason.as_str()),
        };
        let upstream = self.shared.fleet.permitted_upstream(service, &permit);
        let Some(upstream) = upstream else {
            permit.finish(Ending::Unreachable, 0);
            return Attempt::NotRun("upstream-gone");
        };
        let key = permit.upstream();
        let attempt = self.send(route, call, &upstream, permit).await;
        if !matches!(attempt, Attempt::Answered(_)) {
            // Every upstream with room has failed the call: each gets another chance, in turn.
            if avoid.contains(&key) {
                avoid.clear();
            }
            avoid.push(key);
        }
        attempt
    }

    fn ask(&self, submission: &LocalSubmission, avoid: &[UpstreamKey]) -> Ask {
        let now = self.shared.clock.now();
        let due = submission.due_at(&self.shared.fleet.config());
        Ask {
            class: Class::Training,
            caller: xxh3_64(submission.head.model.as_bytes()),
            prefix: 0,
            cost_tokens: 1,
            priority: 0,
            deadline: due.max(now + OVERDUE_TIME_LEFT),
            objective: None,
            avoid: avoid.to_vec(),
        }
    }

    async fn send(
        &self,
        route: &Route,
        call: &RewardCall,
        upstream: &Upstream,
        permit: Permit,
    ) -> Attempt {
        let timeout = route.timeout();
        let request = RewardRequest {
            call,
            upstream,
            timeout,
        };
        let request = match self.shared.dialect.reward_request(&request) {
            Ok(request) => request,
            Err(error) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("request", &call.id), ("cause", &error)];
                self.shared.journal.event("reward_call_unusable", &fields);
                return Attempt::Unusable;
            }
        };
        let exchanging = async {
            let upstream_request = UpstreamRequest {
                to: upstream.address,
                request_id: &call.id,
                request,
            };
            let sending = self.shared.send_upstream(upstream_request, |_headers| {});
            Ok(read(sending.await?).await)
        };
        let exchanged = within(timeout, exchanging).await;
        let (attempt, ending, reported_load) = match exchanged.unwrap_or(Err(CallError::Late)) {
            Ok(read) => read,
            Err(CallError::Refused | CallError::NotSent) => {
                (Attempt::NotRun("not-sent"), Ending::Unreachable, None)
            }
            Err(CallError::Broken) => {
                let attempt = if self.shared.has_crashed(upstream).await {
                    Attempt::Crashed
                } else {
                    Attempt::Broken("no-answer")
                };
                (attempt, Ending::Failed, None)
            }
            Err(CallError::Foreign) => (Attempt::Broken("foreign-answer"), Ending::Failed, None),
            Err(CallError::Malformed) => {
                (Attempt::Broken("malformed-answer"), Ending::Failed, None)
            }
            Err(CallError::Late) => (Attempt::Broken("late"), Ending::Failed, None),
        };
        permit.finish_with_load(ending, reported_load);
        attempt
    }

    fn log_failure(
        &self,
        submission: &LocalSubmission,
        item: &Item,
        call: &RewardCall,
        attempt: &Attempt,
    ) {
        self.shared.journal.event(
            "reward_call_failed",
            &[
                ("submission", &submission.id),
                ("item", &item.id),
                ("request", &call.id),
                ("outcome", &format_args!("{attempt:?}")),
            ],
        );
    }
}

/// Reads an answer to its end; returns how the attempt ended, the ending for the gate's record
/// of the upstream, and the load that the upstream reported.
async fn read(own: OwnAnswer) -> (Attempt, Ending, Option<ReportedLoad>) {
    let (status, load) = (own.status, own.reported.load);
    if own.reported.not_run {
        own.discard_refusal().await;
        return (Attempt::NotRun("upstream"), Ending::Abandoned, load);
    }
    let proof = own.reported.proof.clone();
    let is_complete = own.read_body(MAX_ANSWER_BYTES).await.is_ok();
    let Some(proof) = proof.filter(|_| is_complete) else {
        return (Attempt::Broken("answer"), Ending::Failed, load);
    };
    match status {
        status if status.is_success() => (Attempt::Answered(proof), Ending::Answered, load),
        // The call itself fails, as some do on every upstream; the upstream is healthy.
        StatusCode::INTERNAL_SERVER_ERROR => (Attempt::Failed, Ending::Answered, load),
        _ => (Attempt::Broken("status"), Ending::Failed, load),
    }
}
