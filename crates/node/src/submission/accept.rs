//! Accepts submissions: each once, and only after all of it is in the store.

use std::sync::Arc;
use std::time::Duration;

use firweir::connection::blocks::Blocks;
use firweir::connection::memory_budget::Reservation;
use firweir::connection::server::Body;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use tokio::sync::watch;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::mechanisms::Mechanism;
use crate::model::Submission;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::store::CreateOutcome;
use crate::submission::local::LocalSubmission;
use crate::submission::manager::Acceptance;
use crate::submission::manager::AcceptanceEntry;
use crate::submission::manager::SubmissionManager;
use crate::submission::records::Head;
use crate::submission::records::NodeRef;
use crate::submission::records::SubmissionPart;
use crate::submission::records::estimated_item_bytes;
use crate::submission::records::record_name;
use crate::submission::records::record_ranges;
use crate::submission::runners::remove_framing_headers;

/// How long the writes of a submission are retried. Clients wait for seconds, and a submission
/// that is refused in time can be accepted by another node.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for a home node to accept a submission, which takes two writes to a store that may be
/// slow. After that this node looks for another home, or accepts the submission itself.
const HOME_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay after which a trainer may retry a submission that was not stored: store outages last
/// seconds, and the retry is at most a second late after one.
const SUBMIT_RETRY_AFTER: Duration = Duration::from_millis(700);

/// What became of a submission that was forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forwarded {
    /// The home has accepted it.
    Accepted,
    /// The home has not accepted it and never will.
    Refused,
    /// There is no answer that tells; the home may have accepted it, or may do so later.
    Unknown,
}

/// A client's request that submits a step.
#[derive(Debug)]
pub struct SubmissionRequest<'a> {
    /// Host that the client called.
    pub host: &'a str,
    /// Head of the request.
    pub head: &'a request::Parts,
    /// Body of the request; `None` if it is too large to be forwarded.
    pub body: Option<&'a Blocks>,
    /// Memory that its items take.
    pub memory: &'a Arc<Reservation>,
    /// Account that it is for.
    pub account: Option<&'a str>,
}

impl SubmissionManager {
    /// Accepts a submission, or forwards it to the home node of its model. If the home fails, or
    /// none is known, another one is looked up; if there is none or it fails too, this node
    /// accepts. A draining node accepts nothing, since another one would have to take it over
    /// seconds later.
    pub async fn submit(
        &self,
        posted: &SubmissionRequest<'_>,
        submission: Submission,
        draining: bool,
    ) -> Response<Body> {
        if self.is_known(&submission.id) {
            return empty(StatusCode::ACCEPTED);
        }
        if posted.body.is_none() || !self.shared.mechanisms.is_enabled(Mechanism::Homes) {
            return self.accept_here(posted, submission, draining, false).await;
        }
        let model = submission.model.clone();
        let known = self.shared.homes.get(&model);
        if known.as_ref() == Some(&self.shared.this_node) {
            return self.accept_here(posted, submission, draining, false).await;
        }
        let mut may_be_accepted = false;
        if let Some(home) = &known {
            match self.forward_to_home(home, posted).await {
                Forwarded::Accepted => return empty(StatusCode::ACCEPTED),
                Forwarded::Refused => {}
                Forwarded::Unknown => may_be_accepted = true,
            }
        }
        let samples = submission.items.len() as u32;
        let failed_home = known.map(|home| home.address);
        let found = self.shared.home_finder.find(&model, failed_home).await;
        let found = found.filter(|home| *home != self.shared.this_node);
        if let Some(home) = found {
            match self.forward_to_home(&home, posted).await {
                Forwarded::Accepted => {
                    self.assign_home(&model, home, samples);
                    return empty(StatusCode::ACCEPTED);
                }
                Forwarded::Refused => {}
                Forwarded::Unknown => may_be_accepted = true,
            }
        }
        self.accept_here(posted, submission, draining, may_be_accepted)
            .await
    }

    /// Accepts a submission on this node, which then becomes the home of its model if homes are
    /// enabled. If it `may_be_accepted` by another node, which has not answered, it is not refused.
    async fn accept_here(
        &self,
        posted: &SubmissionRequest<'_>,
        submission: Submission,
        draining: bool,
        may_be_accepted: bool,
    ) -> Response<Body> {
        if draining && may_be_accepted {
            return refusal(Outcome::Unknown, "draining");
        }
        if draining {
            return refusal(Outcome::NotRun(SUBMIT_RETRY_AFTER), "draining");
        }
        let model = submission.model.clone();
        let samples = submission.items.len() as u32;
        let answer = self.accept(posted, submission).await;
        let is_home = self.shared.homes.get(&model).as_ref() == Some(&self.shared.this_node);
        let has_homes = self.shared.mechanisms.is_enabled(Mechanism::Homes);
        if answer.status() == StatusCode::ACCEPTED && !is_home && has_homes {
            self.assign_home(&model, self.shared.this_node.clone(), samples);
        }
        if may_be_accepted && answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            return refusal(Outcome::Unknown, "may-be-accepted");
        }
        answer
    }

    /// Makes a node the home of a model, in a task of its own so as not to delay the answer.
    fn assign_home(&self, model: &str, home: NodeRef, samples: u32) {
        let (homes, model) = (self.shared.homes.clone(), model.to_owned());
        drop(tokio::spawn(async move {
            homes.assign(&model, home, samples).await;
        }));
    }

    /// Forwards a submission to the home of its model.
    async fn forward_to_home(&self, home: &NodeRef, posted: &SubmissionRequest<'_>) -> Forwarded {
        let mut request = Request::new(posted.body.cloned().unwrap_or_default());
        *request.method_mut() = posted.head.method.clone();
        *request.uri_mut() = posted.head.uri.clone();
        *request.headers_mut() = posted.head.headers.clone();
        remove_framing_headers(request.headers_mut());
        let call = self
            .shared
            .connections
            .call(home.address, request, HOME_TIMEOUT);
        let runners = &self.shared.runners;
        let answer = if self.shared.mechanisms.is_enabled(Mechanism::HomePing) {
            runners.call_while_alive(home.address, call).await
        } else {
            Some(call.await)
        };
        let forwarded = match &answer {
            Some(Ok(answer)) if answer.status() == StatusCode::ACCEPTED => Forwarded::Accepted,
            Some(Ok(answer)) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Forwarded::Refused
            }
            Some(Err(error)) if error.is_not_sent() => Forwarded::Refused,
            Some(Ok(_) | Err(_)) | None => Forwarded::Unknown,
        };
        if forwarded != Forwarded::Accepted {
            let outcome = answer.map(|answer| answer.map(|answer| answer.status()));
            self.shared.journal.event(
                "home_failed",
                &[
                    ("home", &home.node),
                    ("outcome", &format_args!("{outcome:?}")),
                ],
            );
        }
        forwarded
    }

    /// Accepts a submission on this node unless it was accepted before, and logs a refusal.
    pub async fn accept(
        &self,
        posted: &SubmissionRequest<'_>,
        submission: Submission,
    ) -> Response<Body> {
        let id = submission.id.clone();
        let answer = self.accept_once(posted, submission).await;
        if !answer.status().is_success() {
            self.shared.journal.event(
                "submission_refused",
                &[
                    ("submission", &id),
                    ("status", &answer.status().as_u16()),
                    ("reason", &reason_of(&answer)),
                ],
            );
        }
        answer
    }

    /// Accepts a submission in a task of its own; all attempts of its client wait for it.
    ///
    /// A client may disconnect while the store does not answer. If that cancelled the
    /// acceptance, the submission would count as being accepted for ever, and every later
    /// attempt would be refused.
    async fn accept_once(
        &self,
        posted: &SubmissionRequest<'_>,
        submission: Submission,
    ) -> Response<Body> {
        let id = submission.id.clone();
        if self.is_known(&id) {
            return empty(StatusCode::ACCEPTED);
        }
        let mut outcome = match self.begin_acceptance(&id) {
            AcceptanceEntry::InProgress(outcome) => outcome,
            AcceptanceEntry::New(outcome_sender, outcome) => {
                let accepting = self.clone().store_and_start(
                    posted.host.to_owned(),
                    posted.head.uri.path().to_owned(),
                    posted.account.map(str::to_owned),
                    (submission, Arc::clone(posted.memory)),
                    outcome_sender,
                );
                drop(tokio::spawn(accepting));
                outcome
            }
        };
        let outcome = outcome.wait_for(Option::is_some).await;
        let outcome = outcome.ok().and_then(|outcome| *outcome);
        match outcome {
            Some(Acceptance::Accepted) => empty(StatusCode::ACCEPTED),
            Some(Acceptance::NotStored) => {
                refusal(Outcome::NotRun(SUBMIT_RETRY_AFTER), "store-unavailable")
            }
            // It may still appear in the store, and then it runs.
            Some(Acceptance::Unknown) | None => refusal(Outcome::Unknown, "store-silent"),
        }
    }

    /// Stores a submission, runs it here unless another node has accepted it, and sends the
    /// outcome to all that wait.
    async fn store_and_start(
        self,
        host: String,
        path: String,
        account: Option<String>,
        (submission, memory): (Submission, Arc<Reservation>),
        outcome_sender: watch::Sender<Option<Acceptance>>,
    ) {
        let id = submission.id.clone();
        let acceptance = match self
            .write_submission(host, path, account, &submission)
            .await
        {
            Ok(head) => {
                if let Some((head, sent)) = head {
                    self.log_accepted(&submission);
                    self.update_home(&submission);
                    let clock = &*self.shared.clock;
                    let local = LocalSubmission::new(id.clone(), head, submission.items, clock);
                    // Its head names this node as the runner from this time on.
                    local.head_view.record_confirmed(sent);
                    local.keep_memory(memory);
                    self.start(local);
                }
                Acceptance::Accepted
            }
            Err(error) => {
                self.shared.journal.event(
                    "submission_not_accepted",
                    &[("submission", &id), ("cause", &error)],
                );
                match error {
                    StoreError::Unknown => Acceptance::Unknown,
                    _ => Acceptance::NotStored,
                }
            }
        };
        self.end_acceptance(&id);
        outcome_sender.send_replace(Some(acceptance));
    }

    /// Records the number of samples per step, if this node is the home of the model and the
    /// step has enough more samples than recorded.
    fn update_home(&self, submission: &Submission) {
        let homes = &self.shared.homes;
        let (model, samples) = (&submission.model, submission.items.len() as u32);
        let is_home = homes.get(model).as_ref() == Some(&self.shared.this_node);
        if is_home && homes.exceeds_recorded_samples(model, samples) {
            self.assign_home(model, self.shared.this_node.clone(), samples);
        }
    }

    fn log_accepted(&self, submission: &Submission) {
        self.shared.journal.event(
            "submission_accepted",
            &[
                ("submission", &submission.id),
                ("items", &submission.items.len()),
                ("min_version", &submission.min_version),
            ],
        );
    }

    /// Writes the parts, then the head; returns the head and when it was sent, or `None` if
    /// another node had accepted the submission.
    async fn write_submission(
        &self,
        host: String,
        path: String,
        account: Option<String>,
        submission: &Submission,
    ) -> Result<Option<(Head, Duration)>, StoreError> {
        let until = self.shared.clock.now() + ACCEPT_TIMEOUT;
        let store = &self.shared.store;
        let parts = record_ranges(&submission.items, estimated_item_bytes);
        let count = parts.len() as u32;
        for (number, part) in parts.into_iter().enumerate() {
            let write = store.write_id();
            let items = submission.items[part].to_vec();
            let name = record_name(&submission.id, number);
            let part = SubmissionPart { write, items };
            // An existing part is from an earlier attempt of the same submission, whose items
            // are the same in every attempt.
            store
                .create(
                    ObjectKind::SubmissionParts,
                    &name,
                    &part,
                    &part.write,
                    until,
                )
                .await
                .map_err(|error| match error {
                    // Without a head the submission doesn't run, even if the part was written.
                    StoreError::Unknown => StoreError::Unreachable,
                    other => other,
                })?;
        }
        let head = Head {
            write: store.write_id(),
            host,
            path,
            model: submission.model.clone(),
            min_version: submission.min_version,
            target_groups: submission.target_groups,
            items: submission.items.len() as u32,
            parts: count,
            accepted_ms: self.shared.clock.since_epoch().as_millis() as u64,
            runner: self.shared.this_node.clone(),
            ended: false,
            account,
        };
        let sent = self.shared.boot_clock.since_boot();
        let created = store
            .create(
                ObjectKind::Submissions,
                &submission.id,
                &head,
                &head.write,
                until,
            )
            .await?;
        Ok((created == CreateOutcome::Created).then_some((head, sent)))
    }
}
