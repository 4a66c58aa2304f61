//! Scores of whole texts: one call of a plain service for each, through the routes that
//! callers use, sent again elsewhere until it has an answer.
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
use http_body_util::BodyExt;
use http_body_util::Limited;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection_pool::CallError;
use crate::connection_pool::StreamingResponse;
use crate::dialect::RewardRequest;
use crate::gates::Gates;
use crate::live::pick_target;
use crate::mechanisms::Mechanism;
use crate::model::Item;
use crate::model::RewardCall;
use crate::model::Route;
use crate::model::Score;
use crate::model::Upstream;
use crate::shared::Shared;
use crate::submission::local::LocalSubmission;

/// Pause before a call that did not run, or broke off, is sent again: a full service
/// frees a place in a tenth of a second, and a restart takes seconds.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Pause before a call is looked at again that no route leads anywhere: a configuration
/// is in force within seconds.
const NO_ROUTE_PAUSE: Duration = Duration::from_secs(1);

/// A call that is past its due time asks for a place with this much time left, which
/// makes it the most urgent one.
const LATE_ASK: Duration = Duration::from_secs(1);

/// An answer to a reward call larger than this is broken: its proof is in its head.
const ANSWER_LIMIT_BYTES: usize = 1 << 20;

/// How scoring a text ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// It has a score.
    Score(Score),
    /// The item is given up, for this reason.
    Abandoned(&'static str),
}

/// How one attempt of a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Attempt {
    /// A success, with this proof of origin.
    Answered(String),
    /// The upstream says that the call failed.
    Failed,
    /// It did not run.
    NotRun(&'static str),
    /// It may have run, and no usable answer came.
    Broken(&'static str),
    /// No route leads to a service.
    NoRoute,
    /// The call can never be sent.
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
    /// Knows no upstream before [`Scoring::update_upstreams`].
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

    /// Brings the gates up to what the fleet knows.
    pub fn update_upstreams(&self) {
        self.gates.take_fleet(&self.shared.fleet);
    }

    /// Lets time-bound decisions happen.
    pub fn tick(&self) {
        self.gates.tick();
    }

    /// Scores an item's whole text. Dropping the future ends its call.
    pub async fn score(
        &self,
        submission: &LocalSubmission,
        item: &Item,
        call: &RewardCall,
    ) -> ScoreOutcome {
        let mut avoid = Vec::new();
        let mut failures = 0;
        loop {
            if let Some(reason) = self.is_over(submission) {
                return ScoreOutcome::Abandoned(reason);
            }
            let attempt = self.attempt(submission, call, &mut avoid).await;
            if let Attempt::Answered(proof) = attempt {
                let call = call.clone();
                return ScoreOutcome::Score(Score { call, proof });
            }
            self.note(submission, item, call, &attempt);
            let pause = match attempt {
                Attempt::Failed => {
                    failures += 1;
                    if failures >= self.most_failures(submission, call) {
                        return ScoreOutcome::Abandoned("score-failed");
                    }
                    Duration::ZERO
                }
                Attempt::NoRoute | Attempt::Unusable => NO_ROUTE_PAUSE,
                Attempt::NotRun(_) | Attempt::Broken(_) | Attempt::Answered(_) => AGAIN_AFTER,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Why the submission's items may be given up, if they may.
    fn is_over(&self, submission: &LocalSubmission) -> Option<&'static str> {
        let config = self.shared.fleet.config();
        match config.route(&submission.head.host, &submission.head.path) {
            Some(route) if self.shared.clock.now() < submission.expires_at(route) => None,
            Some(_) => Some("score-expired"),
            // Without a configuration nothing is known of routes: a node that starts reads
            // its submissions first.
            None if config.version == 0 => None,
            None => Some("route-gone"),
        }
    }

    /// Failures that end the item: the calls of both its routes have a limit, and the
    /// larger one is safe under either.
    fn most_failures(&self, submission: &LocalSubmission, call: &RewardCall) -> u32 {
        let config = self.shared.fleet.config();
        let of_item = config.route(&submission.head.host, &submission.head.path);
        let of_call = config.route(&call.host, &call.path);
        let limits = [of_item, of_call].into_iter().flatten();
        let most = limits.map(|route| route.max_attempts).max();
        most.unwrap_or(u32::MAX).max(1)
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
        let service = pick_target(route, &call.id);
        let ask = self.ask(submission, avoid);
        let permit = match self.gates.of(service).admit(ask).await {
            Ok(permit) => permit,
            Err(turned) => return Attempt::NotRun(turned.reason.as_str()),
        };
        let upstream = self.shared.fleet.upstream_at(service, permit.address());
        let Some(upstream) = upstream else {
            permit.finish(Ending::Unreachable, 0);
            return Attempt::NotRun("upstream-gone");
        };
        let key = permit.upstream();
        let attempt = self.send(route, call, &upstream, permit).await;
        if !matches!(attempt, Attempt::Answered(_)) && !avoid.contains(&key) {
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
            deadline: due.max(now + LATE_ASK),
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
        let patience = route.timeout();
        let request = RewardRequest {
            call,
            upstream,
            patience,
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
            let exchange = self
                .shared
                .connections
                .send(upstream.address, request)
                .await?;
            Ok(self.read(call, exchange).await)
        };
        let exchanged = within(patience, exchanging).await;
        let (attempt, ending, told) = match exchanged.unwrap_or(Err(CallError::Late)) {
            Ok(read) => read,
            Err(CallError::Refused | CallError::NotSent) => {
                (Attempt::NotRun("not-sent"), Ending::Unreachable, None)
            }
            Err(CallError::Broken) => (Attempt::Broken("no-answer"), Ending::Failed, None),
            Err(CallError::Late) => (Attempt::Broken("late"), Ending::Failed, None),
        };
        permit.finish_told(ending, told);
        attempt
    }

    /// Reads an answer to its end: how the attempt ended, what that says of the upstream,
    /// and the load that it told of.
    async fn read(
        &self,
        call: &RewardCall,
        exchange: StreamingResponse,
    ) -> (Attempt, Ending, Option<ReportedLoad>) {
        let (head, body) = exchange.answer.into_parts();
        let said = self.shared.dialect.answer_head(&head);
        let whole = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
        let is_whole = whole.is_ok();
        if said.not_run {
            if is_whole {
                exchange.connection.return_to_pool();
            }
            return (Attempt::NotRun("upstream"), Ending::Abandoned, said.load);
        }
        let own = said.request_id.as_deref() == Some(call.id.as_str());
        let Some(proof) = said.proof.filter(|_| own && is_whole) else {
            return (Attempt::Broken("answer"), Ending::Failed, said.load);
        };
        exchange.connection.return_to_pool();
        match head.status {
            status if status.is_success() => {
                (Attempt::Answered(proof), Ending::Answered, said.load)
            }
            // The call's own fault: some always fail, at any upstream.
            StatusCode::INTERNAL_SERVER_ERROR => (Attempt::Failed, Ending::Answered, said.load),
            _ => (Attempt::Broken("status"), Ending::Failed, said.load),
        }
    }

    fn note(
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
