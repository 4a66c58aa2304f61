//! Questions about submissions that other nodes run: finds the runner, forwards the question,
//! and has the submission taken over if its runner is down.

use std::time::Duration;

use firweir::connection::server::Body;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Response;
use http::StatusCode;
use http::request;

use crate::connection_pool::CallError;
use crate::dialect::AskedCall;
use crate::dialect::Question;
use crate::dialect::StoreError;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::refusal;
use crate::respond::with_json;
use crate::submission::heads::VersionedHead;
use crate::submission::manager::RETRY_AFTER;
use crate::submission::manager::RequestOrigin;
use crate::submission::manager::SubmissionManager;

/// Least time between reads of a head for questions that other nodes forwarded by mistake: a
/// client asks twice a second, and each read costs a call of the store.
const HEAD_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Attempts to reach a runner, or to change a head that other nodes change concurrently.
const MAX_HEAD_ATTEMPTS: usize = 4;

impl SubmissionManager {
    /// Answers a question about a submission that this node runs; else forwards it to the runner.
    pub(in crate::submission) async fn answer_or_forward(
        &self,
        origin: RequestOrigin,
        account: Option<&str>,
        call: &AskedCall,
        head: &request::Parts,
    ) -> Response<Body> {
        let (id, question) = (call.submission.as_str(), &call.question);
        // The heads of own submissions are read periodically, so this needs no read.
        if let Some(submission) = self.find_local(id) {
            if !submission.head.is_visible_to(account) {
                return no_such_submission();
            }
            let answer = self.answer(&submission, question).await;
            // On a conflict the submission was released; a client's question goes to its new
            // runner.
            if origin == RequestOrigin::Peer || answer.status() != StatusCode::CONFLICT {
                return answer;
            }
        }
        let in_outage = origin == RequestOrigin::Client && self.shared.outage.is_ongoing();
        if in_outage
            && !self.is_known(id)
            && let Some(answer) = self.ask_homes(question, head).await
        {
            return answer;
        }
        let mut known = match self.shared.heads.lookup(id).await {
            Ok(Some(known)) => known,
            Ok(None) => return no_such_submission(),
            Err(_) => {
                let answer = match origin {
                    RequestOrigin::Client if !in_outage => self.ask_homes(question, head).await,
                    RequestOrigin::Client | RequestOrigin::Peer => None,
                };
                let refused = || refusal(Outcome::NotRun(RETRY_AFTER), "store-unavailable");
                return answer.unwrap_or_else(refused);
            }
        };
        if !known.head.is_visible_to(account) {
            return no_such_submission();
        }
        for _ in 0..MAX_HEAD_ATTEMPTS {
            if known.head.runner == self.shared.this_node {
                return match self.get_or_load(id, known.head).await {
                    Ok(submission) => self.answer(&submission, question).await,
                    Err(_) => refusal(Outcome::NotRun(RETRY_AFTER), "store-unavailable"),
                };
            }
            if origin == RequestOrigin::Peer {
                match self.read_for_peer(&known).await {
                    Some(newest) if newest.head.runner == self.shared.this_node => {
                        known = newest;
                        continue;
                    }
                    _ => return empty(StatusCode::CONFLICT),
                }
            }
            let runner = known.head.runner.address;
            let runners = &self.shared.runners;
            let forwarding = runners.forward(runner, question, head);
            let Some(answer) = runners.call_while_alive(runner, forwarding).await else {
                let finding = tokio::spawn(self.clone().find_current_head(known.clone()));
                // A submission can be ended in the store without its runner (below).
                if *question == Question::End {
                    break;
                }
                known = finding.await.unwrap_or(known);
                continue;
            };
            match answer {
                Ok(answer) if is_final(question, answer.status()) => {
                    let (head, body) = answer.into_parts();
                    return with_json(head.status, body);
                }
                Ok(_) => {}
                Err(error) => {
                    let replacing = tokio::spawn(self.clone().replace_runner(known.clone(), error));
                    // A submission can be ended in the store without its runner (below).
                    if *question == Question::End {
                        break;
                    }
                    if let Ok(Some(newest)) = replacing.await {
                        known = newest;
                        continue;
                    }
                }
            }
            match self.shared.heads.read_newest(id).await {
                Ok(Some(newest)) if newest.head.runner != known.head.runner => known = newest,
                _ => break,
            }
        }
        if origin == RequestOrigin::Client && *question == Question::End {
            return self.end_in_store(id).await;
        }
        refusal(Outcome::NotRun(RETRY_AFTER), "runner-unreached")
    }

    /// Returns the current head after the known runner did not answer. Another node may run the
    /// submission by now, or takes it over; if the runner answers after all, the head is `known`.
    ///
    /// After a restart of all nodes at once, their heads may be old. Without the read, such a node
    /// would wait for a runner that was replaced long ago until its client disconnects.
    ///
    /// Runs in a task of its own, like [`SubmissionManager::replace_runner`].
    async fn find_current_head(self, known: VersionedHead) -> VersionedHead {
        let read = self.shared.heads.read_newest(&known.id).await;
        if let Ok(Some(newest)) = read
            && newest.head.runner != known.head.runner
        {
            return newest;
        }
        let replacing = self.replace_runner(known.clone(), CallError::Late);
        replacing.await.unwrap_or(known)
    }

    /// Has a submission taken over if its runner, which did not answer, is down; returns the
    /// resulting head. A seed node names the successor, as any node may get the question.
    ///
    /// Runs in a task of its own: a client may disconnect before the runner is known to be down.
    /// If that cancelled the check, the client's next question would reach another node, which
    /// would start it again.
    async fn replace_runner(self, known: VersionedHead, error: CallError) -> Option<VersionedHead> {
        let runner = known.head.runner.address;
        if !self.shared.runners.is_down(runner, error).await {
            return None;
        }
        let home_finder = &self.shared.home_finder;
        let found = home_finder.find(&known.head.model, Some(runner)).await;
        let successor = found.unwrap_or_else(|| self.shared.this_node.clone());
        match self.shared.heads.take_over(&known, successor).await {
            Ok(newest) => newest,
            Err(error) => {
                self.shared.journal.event(
                    "submission_not_taken_over",
                    &[("submission", &known.id), ("cause", &error)],
                );
                None
            }
        }
    }

    /// Reads the newest head of a submission that another node believes this one to run; `None`
    /// if it was read less than [`HEAD_READ_INTERVAL`] ago.
    ///
    /// A node that took a submission over and then restarted may read in a list that is seconds
    /// old that the previous runner still runs it. The previous runner knows the later head.
    /// Without this read, the two would send every question to each other, and the submission
    /// could not be read. Nodes remember the runner that answered, so such questions are rare.
    async fn read_for_peer(&self, known: &VersionedHead) -> Option<VersionedHead> {
        let now = self.shared.clock.now();
        {
            let mut state = self.lock();
            let reads = &mut state.recent_reads;
            reads.retain(|(_, at)| now.duration_since(*at) < HEAD_READ_INTERVAL);
            if reads.iter().any(|(id, _)| *id == known.id) {
                return None;
            }
            reads.push((known.id.clone(), now));
        }
        match self.shared.heads.read_newest(&known.id).await {
            Ok(newest) => newest,
            Err(error) => {
                self.shared.journal.event(
                    "head_unread",
                    &[("submission", &known.id), ("cause", &error)],
                );
                None
            }
        }
    }

    /// Forwards a question to the homes of all models; one of them most likely runs the
    /// submission.
    ///
    /// During a store outage a node can't look up the runner of a submission that it has not
    /// seen before, and a client's questions reach different nodes. A home that doesn't run the
    /// submission answers 409 (conflict), or 503 (unavailable) if it can't reach the store.
    async fn ask_homes(
        &self,
        question: &Question,
        call: &request::Parts,
    ) -> Option<Response<Body>> {
        let homes = self.shared.homes.nodes().into_iter();
        let others = homes.filter(|home| *home != self.shared.this_node);
        let mut answers: FuturesUnordered<_> = others
            .map(|home| self.shared.runners.forward(home.address, question, call))
            .collect();
        while let Some(answer) = answers.next().await {
            if let Ok(answer) = answer
                && !matches!(
                    answer.status(),
                    StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE
                )
            {
                let (head, body) = answer.into_parts();
                return Some(with_json(head.status, body));
            }
        }
        None
    }

    /// Ends a submission in the store, whichever node runs it: the runner sees the end at its
    /// next read of the head.
    ///
    /// Any node can change the head, so the end doesn't depend on the runner. That may be
    /// partitioned, or loading the submission after a restart, which takes a second. A trainer
    /// doesn't retry a refused end, and engines would go on generating samples of its step.
    pub(in crate::submission) async fn end_in_store(&self, id: &str) -> Response<Body> {
        for _ in 0..MAX_HEAD_ATTEMPTS {
            let Ok(Some(known)) = self.shared.heads.read_newest(id).await else {
                break;
            };
            if known.head.ended {
                return empty(StatusCode::OK);
            }
            match self.shared.heads.mark_ended(&known).await {
                Ok(()) => {
                    self.shared
                        .journal
                        .event("submission_ended", &[("submission", &id)]);
                    // This node may have started to run it meanwhile.
                    if let Some(submission) = self.find_local(id) {
                        self.stop(&submission);
                    }
                    return empty(StatusCode::OK);
                }
                Err(StoreError::Conflict) => {}
                Err(_) => break,
            }
        }
        refusal(Outcome::NotRun(RETRY_AFTER), "store-unavailable")
    }
}

/// The answer for a submission that doesn't exist or belongs to another account.
fn no_such_submission() -> Response<Body> {
    let outcome = Outcome::BadRequest(StatusCode::NOT_FOUND);
    refusal(outcome, "no-such-submission")
}

/// Whether a runner's answer is passed to the client; if not, the head is read again.
fn is_final(question: &Question, status: StatusCode) -> bool {
    match question {
        Question::End => status.is_success() || status == StatusCode::NOT_FOUND,
        Question::Results { .. } | Question::Item(_) => status != StatusCode::CONFLICT,
    }
}
