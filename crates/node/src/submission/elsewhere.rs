//! Questions about submissions that other nodes run: found out who runs one, passed on,
//! taken over from a runner that is gone.

use std::time::Duration;

use firweir::connection::server::Body;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Response;
use http::StatusCode;
use http::request;

use crate::dialect::AskedCall;
use crate::dialect::Question;
use crate::dialect::StoreError;
use crate::link::LinkError;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::refusal;
use crate::respond::with_json;
use crate::submission::desk::ASK_AGAIN;
use crate::submission::desk::Asker;
use crate::submission::desk::Desk;
use crate::submission::heads::Known;

/// A node that is wrongly taken for the runner looks at the head once in this time: a
/// client asks twice a second, and each look costs a call.
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// Tries to change a head that others change too.
const HEAD_TRIES: usize = 4;

impl Desk {
    pub(in crate::submission) async fn answer_or_pass_on(
        &self,
        asker: Asker,
        account: Option<&str>,
        call: &AskedCall,
        head: &request::Parts,
    ) -> Response<Body> {
        let (id, question) = (call.submission.as_str(), &call.question);
        // Its own head is looked at while it runs; a question need not wait for the store.
        if let Some(board) = self.board(id) {
            if !board.head.is_for(account) {
                return no_such_submission();
            }
            let answer = self.answer(&board, question).await;
            // It was let go meanwhile: its new runner answers a client.
            if asker == Asker::Peer || answer.status() != StatusCode::CONFLICT {
                return answer;
            }
        }
        let away = asker == Asker::Client && self.shared.outage.is_on();
        if away
            && !self.is_known(id)
            && let Some(answer) = self.ask_homes(question, head).await
        {
            return answer;
        }
        let mut known = match self.shared.heads.known(id).await {
            Ok(Some(known)) => known,
            Ok(None) => return no_such_submission(),
            Err(_) => {
                let answer = match asker {
                    Asker::Client if !away => self.ask_homes(question, head).await,
                    Asker::Client | Asker::Peer => None,
                };
                let refused = || refusal(Outcome::NotRun(ASK_AGAIN), "store-unavailable");
                return answer.unwrap_or_else(refused);
            }
        };
        if !known.head.is_for(account) {
            return no_such_submission();
        }
        for _ in 0..HEAD_TRIES {
            if known.head.runner == self.shared.me {
                return match self.own(id, known.head).await {
                    Ok(board) => self.answer(&board, question).await,
                    Err(_) => refusal(Outcome::NotRun(ASK_AGAIN), "store-unavailable"),
                };
            }
            if asker == Asker::Peer {
                match self.reconsider(&known).await {
                    Some(now) if now.head.runner == self.shared.me => {
                        known = now;
                        continue;
                    }
                    _ => return empty(StatusCode::CONFLICT),
                }
            }
            let runner = known.head.runner.address;
            let runners = &self.shared.runners;
            let passing = runners.pass_on(runner, question, head);
            let Some(answer) = runners.while_alive(runner, passing).await else {
                let finding = tokio::spawn(self.clone().runner_after_silence(known.clone()));
                // Nobody has to run a submission for it to be ended.
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
                    // Nobody has to run a submission for it to be ended.
                    if *question == Question::End {
                        break;
                    }
                    if let Ok(Some(now)) = replacing.await {
                        known = now;
                        continue;
                    }
                }
            }
            match self.shared.heads.reread(id).await {
                Ok(Some(now)) if now.head.runner != known.head.runner => known = now,
                _ => break,
            }
        }
        if asker == Asker::Client && *question == Question::End {
            return self.end_in_store(id).await;
        }
        refusal(Outcome::NotRun(ASK_AGAIN), "runner-unreached")
    }

    /// The head to go by once the runner that is known has fallen silent: another node may run
    /// the submission by now, or takes it over. The same head if the runner answers after all.
    ///
    /// Without the look each node that knows an old head, as all do after they have started
    /// together, waits for a runner that is long replaced until its client has left.
    ///
    /// A task of its own, as [`Desk::replace_runner`] is.
    async fn runner_after_silence(self, known: Known) -> Known {
        let newest = self.shared.heads.reread(&known.id).await;
        if let Ok(Some(now)) = newest
            && now.head.runner != known.head.runner
        {
            return now;
        }
        let replacing = self.replace_runner(known.clone(), LinkError::Late);
        replacing.await.unwrap_or(known)
    }

    /// Has a submission taken over if its runner, which did not answer, is gone; gives the head
    /// that holds then. A seed names the successor, since this node was asked by chance.
    ///
    /// A task of its own: a client that waits for less than it takes to tell that a runner is
    /// gone would end the look with its question, and its next one reaches another node,
    /// which begins anew.
    async fn replace_runner(self, known: Known, error: LinkError) -> Option<Known> {
        let runner = known.head.runner.address;
        if !self.shared.runners.is_gone(runner, error).await {
            return None;
        }
        let finder = &self.shared.finder;
        let named = finder.find(&known.head.model, Some(runner)).await;
        let successor = named.unwrap_or_else(|| self.shared.me.clone());
        match self.shared.heads.take_over(&known, successor).await {
            Ok(now) => now,
            Err(error) => {
                self.shared.journal.event(
                    "submission_not_taken_over",
                    &[("submission", &known.id), ("cause", &error)],
                );
                None
            }
        }
    }

    /// The newest head of a submission that another node takes this one to run; `None` if
    /// it was looked at a moment ago.
    ///
    /// **Failure:** a node that has taken a submission over starts again, and reads in a
    /// list that is seconds old that the runner before it still runs it. That one knows
    /// better, and the two send each question to each other: the submission cannot be read
    /// any more. **Guard:** whoever is asked by another node looks before it sends the
    /// question away. Nodes that ask remember who answered, so that few come to the wrong one.
    async fn reconsider(&self, known: &Known) -> Option<Known> {
        let now = self.shared.clock.now();
        {
            let mut state = self.lock();
            let looked = &mut state.looked;
            looked.retain(|(_, at)| now.duration_since(*at) < LOOK_AGAIN);
            if looked.iter().any(|(id, _)| *id == known.id) {
                return None;
            }
            looked.push((known.id.clone(), now));
        }
        match self.shared.heads.reread(&known.id).await {
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

    /// Asks the homes of all models, one of which most likely runs the submission.
    ///
    /// While the store is away a node cannot read who runs a submission that it was not
    /// asked about before, and clients' questions arrive at changing nodes. A home that does not
    /// run it says so by a conflict or, without the store, a refusal.
    async fn ask_homes(
        &self,
        question: &Question,
        call: &request::Parts,
    ) -> Option<Response<Body>> {
        let homes = self.shared.homes.all().into_iter();
        let others = homes.filter(|home| *home != self.shared.me);
        let mut asked: FuturesUnordered<_> = others
            .map(|home| self.shared.runners.pass_on(home.address, question, call))
            .collect();
        while let Some(answer) = asked.next().await {
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

    /// Ends a submission in the store, whoever runs it: its runner hears of it as it looks at
    /// the head.
    ///
    /// **Failure:** a trainer ends its step while the runner reads it anew after a restart,
    /// which takes a second, or is cut off. Passed on to it alone, the end was refused, the
    /// trainer left it at that, and engines went on with a step that nobody wanted. **Guard:**
    /// the end needs the head only, which any node can change.
    pub(in crate::submission) async fn end_in_store(&self, id: &str) -> Response<Body> {
        for _ in 0..HEAD_TRIES {
            let Ok(Some(known)) = self.shared.heads.reread(id).await else {
                break;
            };
            if known.head.ended {
                return empty(StatusCode::OK);
            }
            match self.shared.heads.end(&known).await {
                Ok(()) => {
                    self.shared
                        .journal
                        .event("submission_ended", &[("submission", &id)]);
                    // This node may have begun to run it meanwhile.
                    if let Some(board) = self.board(id) {
                        self.stop(&board);
                    }
                    return empty(StatusCode::OK);
                }
                Err(StoreError::Conflict) => {}
                Err(_) => break,
            }
        }
        refusal(Outcome::NotRun(ASK_AGAIN), "store-unavailable")
    }
}

/// The answer for a submission that is not there, or is another account's.
fn no_such_submission() -> Response<Body> {
    let outcome = Outcome::BadRequest(StatusCode::NOT_FOUND);
    refusal(outcome, "no-such-submission")
}

/// Whether a runner's answer stands; else the question goes on elsewhere.
fn is_final(question: &Question, status: StatusCode) -> bool {
    match question {
        Question::End => status.is_success() || status == StatusCode::NOT_FOUND,
        Question::Results { .. } | Question::Item(_) => status != StatusCode::CONFLICT,
    }
}
