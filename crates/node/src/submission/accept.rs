//! Accepting submissions: once, and kept whole in the store before a trainer hears of it.

use std::time::Duration;

use bytes::Bytes;
use firweir::connection::server::Body;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http_body_util::Full;
use tokio::sync::watch;

use crate::dialect::Kind;
use crate::dialect::StoreError;
use crate::mechanisms::Mechanism;
use crate::model::Submission;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::store::Created;
use crate::submission::board::Board;
use crate::submission::desk::Acceptance;
use crate::submission::desk::Desk;
use crate::submission::desk::Start;
use crate::submission::records::Head;
use crate::submission::records::Part;
use crate::submission::records::Runner;
use crate::submission::records::cut;
use crate::submission::records::item_bytes;
use crate::submission::records::numbered;
use crate::submission::runners::strip_framing;

/// How long an acceptance is tried. Clients wait seconds for it, and one that is
/// refused in time is accepted elsewhere.
const ACCEPT_PATIENCE: Duration = Duration::from_millis(2_500);

/// Time for the home of a model to accept a submission, which takes two writes of a store
/// that may be slow. Then it is accepted elsewhere.
const HOME_PATIENCE: Duration = Duration::from_millis(900);

/// When a trainer may submit again what could not be kept: the store's outages take
/// seconds, and a submission that comes back after one is a second late at most.
const SUBMIT_AGAIN: Duration = Duration::from_millis(700);

/// A submission as a client posted it.
#[derive(Debug)]
pub struct Posted<'a> {
    /// Host that the client asked.
    pub host: &'a str,
    /// Head of the request.
    pub head: &'a request::Parts,
    /// Its body.
    pub body: &'a Bytes,
    /// Account that it is for.
    pub account: Option<&'a str>,
}

impl Desk {
    /// Accepts a submission, or has the home of its model accept it. A node that drains
    /// begins no step that another one would have to take over in a few seconds.
    pub async fn submit(
        &self,
        posted: &Posted<'_>,
        submission: Submission,
        draining: bool,
    ) -> Response<Body> {
        if self.is_known(&submission.id) {
            return empty(StatusCode::ACCEPTED);
        }
        if !self.shared.off.leaves(Mechanism::Homes) {
            return self.accept_here(posted, submission, draining, false).await;
        }
        let model = submission.model.clone();
        let known = self.shared.homes.of(&model);
        if known.as_ref() == Some(&self.shared.me) {
            return self.accept_here(posted, submission, draining, false).await;
        }
        if let Some(home) = &known
            && self.pass_to_home(home, posted).await
        {
            return empty(StatusCode::ACCEPTED);
        }
        let samples = submission.items.len() as u32;
        let silent = known.map(|home| home.address);
        let named = self.shared.finder.find(&model, silent).await;
        let named = named.filter(|home| *home != self.shared.me);
        if let Some(home) = &named
            && self.pass_to_home(home, posted).await
        {
            self.settle(&model, home.clone(), samples);
            return empty(StatusCode::ACCEPTED);
        }
        let was_passed = silent.is_some() || named.is_some();
        self.accept_here(posted, submission, draining, was_passed)
            .await
    }

    /// Accepts a submission as the home of its model; `was_passed` to a node that may have
    /// accepted it and not said so.
    async fn accept_here(
        &self,
        posted: &Posted<'_>,
        submission: Submission,
        draining: bool,
        was_passed: bool,
    ) -> Response<Body> {
        if draining && was_passed {
            return refusal(Outcome::Unknown, "draining");
        }
        if draining {
            return refusal(Outcome::NotRun(SUBMIT_AGAIN), "draining");
        }
        let model = submission.model.clone();
        let samples = submission.items.len() as u32;
        let answer = self.accept(posted, submission).await;
        let is_home = self.shared.homes.of(&model).as_ref() == Some(&self.shared.me);
        let is_on = self.shared.off.leaves(Mechanism::Homes);
        if answer.status() == StatusCode::ACCEPTED && !is_home && is_on {
            self.settle(&model, self.shared.me.clone(), samples);
        }
        answer
    }

    /// Makes a node the home of a model, beside the answer to a trainer.
    fn settle(&self, model: &str, home: Runner, samples: u32) {
        let (homes, model) = (self.shared.homes.clone(), model.to_owned());
        drop(tokio::spawn(async move {
            homes.settle(&model, home, samples).await;
        }));
    }

    /// Whether the home of its model has accepted a submission.
    async fn pass_to_home(&self, home: &Runner, posted: &Posted<'_>) -> bool {
        let mut request = Request::new(Full::new(posted.body.clone()));
        *request.method_mut() = posted.head.method.clone();
        *request.uri_mut() = posted.head.uri.clone();
        *request.headers_mut() = posted.head.headers.clone();
        strip_framing(request.headers_mut());
        let passing = self.shared.links.call(home.address, request, HOME_PATIENCE);
        let runners = &self.shared.runners;
        let answer = if self.shared.off.leaves(Mechanism::HomePing) {
            runners.while_alive(home.address, passing).await
        } else {
            Some(passing.await)
        };
        let accepted =
            matches!(&answer, Some(Ok(answer)) if answer.status() == StatusCode::ACCEPTED);
        if !accepted {
            let outcome = answer.map(|answer| answer.map(|answer| answer.status()));
            self.shared.journal.event(
                "home_failed",
                &[
                    ("home", &home.node),
                    ("outcome", &format_args!("{outcome:?}")),
                ],
            );
        }
        accepted
    }

    /// Accepts a submission, once.
    pub async fn accept(&self, posted: &Posted<'_>, submission: Submission) -> Response<Body> {
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

    /// Accepts a submission in a task of its own, which every attempt of its client waits
    /// for.
    ///
    /// **Failure:** a client leaves while the store is silent, and with it went the task
    /// that accepted its step: the step counted as being accepted for ever, and each later
    /// attempt was refused. **Guard:** the acceptance goes on to its end whoever leaves.
    async fn accept_once(&self, posted: &Posted<'_>, submission: Submission) -> Response<Body> {
        let id = submission.id.clone();
        if self.is_known(&id) {
            return empty(StatusCode::ACCEPTED);
        }
        let mut outcome = match self.begin_start(&id) {
            Start::Running(outcome) => outcome,
            Start::New(decided, outcome) => {
                let accepting = self.clone().accept_to_end(
                    posted.host.to_owned(),
                    posted.head.uri.path().to_owned(),
                    posted.account.map(str::to_owned),
                    submission,
                    decided,
                );
                drop(tokio::spawn(accepting));
                outcome
            }
        };
        let outcome = outcome.wait_for(Option::is_some).await;
        let outcome = outcome.ok().and_then(|outcome| *outcome);
        match outcome {
            Some(Acceptance::Accepted) => empty(StatusCode::ACCEPTED),
            Some(Acceptance::NotKept) => {
                refusal(Outcome::NotRun(SUBMIT_AGAIN), "store-unavailable")
            }
            // It may yet appear in the store, and then it runs.
            Some(Acceptance::Unknown) | None => refusal(Outcome::Unknown, "store-silent"),
        }
    }

    async fn accept_to_end(
        self,
        host: String,
        path: String,
        account: Option<String>,
        submission: Submission,
        decided: watch::Sender<Option<Acceptance>>,
    ) {
        let id = submission.id.clone();
        let acceptance = match self
            .write_submission(host, path, account, &submission)
            .await
        {
            Ok(head) => {
                if let Some((head, sent)) = head {
                    self.journal_accepted(&submission);
                    self.tell_growth(&submission);
                    let clock = &*self.shared.clock;
                    let board = Board::new(id.clone(), head, submission.items, clock);
                    // Its head names this node since then.
                    board.view.confirm(sent);
                    self.start(board);
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
                    _ => Acceptance::NotKept,
                }
            }
        };
        self.end_start(&id);
        decided.send_replace(Some(acceptance));
    }

    /// Tells how many samples a step has, as the home of its model.
    fn tell_growth(&self, submission: &Submission) {
        let homes = &self.shared.homes;
        let (model, samples) = (&submission.model, submission.items.len() as u32);
        let is_home = homes.of(model).as_ref() == Some(&self.shared.me);
        if is_home && homes.has_grown(model, samples) {
            self.settle(model, self.shared.me.clone(), samples);
        }
    }

    fn journal_accepted(&self, submission: &Submission) {
        self.shared.journal.event(
            "submission_accepted",
            &[
                ("submission", &submission.id),
                ("items", &submission.items.len()),
                ("min_version", &submission.min_version),
            ],
        );
    }

    /// Writes parts, then the head; gives that, and when it was sent. `None` if another node
    /// had accepted it.
    async fn write_submission(
        &self,
        host: String,
        path: String,
        account: Option<String>,
        submission: &Submission,
    ) -> Result<Option<(Head, Duration)>, StoreError> {
        let until = self.shared.clock.now() + ACCEPT_PATIENCE;
        let store = &self.shared.store;
        let parts = cut(submission.items.clone(), item_bytes);
        let count = parts.len() as u32;
        for (number, items) in parts.into_iter().enumerate() {
            let write = store.write_id();
            let name = numbered(&submission.id, number);
            let part = Part { write, items };
            // A part that is there was written for the same submission, whose
            // items are the same however often it is sent.
            store
                .create(Kind::SubmissionParts, &name, &part, &part.write, until)
                .await
                .map_err(|error| match error {
                    // Without a head nothing runs, whatever becomes of the part.
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
            runner: self.shared.me.clone(),
            ended: false,
            account,
        };
        let sent = self.shared.boot_clock.since_boot();
        let created = store
            .create(Kind::Submissions, &submission.id, &head, &head.write, until)
            .await?;
        Ok((created == Created::Now).then_some((head, sent)))
    }
}
