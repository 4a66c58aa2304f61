//! Who runs which submission, and what clients ask about them.
//!
//! A model's submissions are run at its home, if that can be reached, else where they
//! arrive ([`crate::submission::homes`]). Any other node passes questions on to
//! the runner. A node that finds the runner gone takes the submission over by a conditional
//! change of its head, reads its items and results from the store and goes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use firweir::connection::server::Body;
use firweir::connection::server::bytes_response;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http_body_util::Full;

use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::Kind;
use crate::dialect::Object;
use crate::dialect::Question;
use crate::dialect::ResultPage;
use crate::dialect::StoreError;
use crate::drafting::Drafting;
use crate::follow::list;
use crate::link::LinkError;
use crate::link::Links;
use crate::model::Submission;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::respond::with_json;
use crate::store::Created;
use crate::store::Store;
use crate::submission::board::Board;
use crate::submission::homes::Homes;
use crate::submission::records::Head;
use crate::submission::records::Part;
use crate::submission::records::Runner;
use crate::submission::records::cut;
use crate::submission::records::item_bytes;
use crate::submission::records::numbered;
use crate::submission::saver::Saver;

/// How long an acceptance is tried. Clients wait seconds for it, and one that is
/// refused in time is accepted elsewhere.
const ACCEPT_PATIENCE: Duration = Duration::from_millis(2_500);

/// Time for the home of a model to accept a submission: a write of a few milliseconds,
/// or one that a slow store answers in 300 ms. Then it is accepted here.
const HOME_PATIENCE: Duration = Duration::from_millis(900);

/// Time for a runner's answer beyond what it was asked to wait.
const PEER_PATIENCE: Duration = Duration::from_millis(800);

/// A runner that was not reached for this long is taken for gone. Shorter, and
/// a pause of its VM moves what it runs; longer, and its trainer waits.
const GONE_AFTER: Duration = Duration::from_secs(2);

/// A question that a runner answers at once.
pub const PING_PATH: &str = "/peer/ping";

/// Least time for its answer.
const PING_PATIENCE: Duration = Duration::from_millis(200);

/// When a client may ask again where it is not known who runs a submission.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Time between looks at the head of a submission that this node runs. An end that
/// this node did not hear of must stop its items within 3 s.
const LOOK_AT_HEAD: Duration = Duration::from_millis(1_800);

/// Time between looks at whether a submission is to be removed.
const CLEAN_UP_EVERY: Duration = Duration::from_secs(2);

/// Pause before the list of submissions is asked for again at a start.
const RESUME_PAUSE: Duration = Duration::from_millis(700);

/// When a trainer may submit again what could not be kept: the store's outages take
/// seconds, and a submission that comes back after one is a second late at most.
const SUBMIT_AGAIN: Duration = Duration::from_millis(700);

/// Tries to change a head that others change too.
const HEAD_TRIES: usize = 4;

/// Where a question comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asker {
    /// A client; the question may be passed on.
    Client,
    /// Another node, which takes this one for the runner.
    Peer,
}

/// A submission as a client posted it.
#[derive(Debug)]
pub struct Posted<'a> {
    /// Host that the client asked.
    pub host: &'a str,
    /// Head of the request.
    pub head: &'a request::Parts,
    /// Its body.
    pub body: &'a Bytes,
}

/// Takes out what describes how the body came, which the next connection sets anew.
fn strip_framing(headers: &mut http::HeaderMap) {
    let framing = [
        http::header::CONNECTION,
        http::header::CONTENT_LENGTH,
        http::header::TRANSFER_ENCODING,
        http::header::EXPECT,
    ];
    for name in framing {
        headers.remove(name);
    }
}

#[derive(Debug, Clone)]
struct Known {
    id: String,
    revision: u64,
    head: Head,
}

#[derive(Debug)]
struct Unreached {
    address: SocketAddr,
    since: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by id.
    heads: Vec<Known>,
    /// Sorted by id.
    boards: Vec<Arc<Board>>,
    /// Submissions that are being accepted or read from the store.
    starting: Vec<String>,
    unreached: Vec<Unreached>,
}

/// All submissions as this node knows them; cheap to clone.
#[derive(Debug, Clone)]
pub struct Desk {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    me: Runner,
    store: Store,
    links: Links,
    dialect: Arc<dyn Dialect>,
    drafting: Drafting,
    homes: Homes,
    keep_results: Duration,
    clock: Arc<dyn Clock>,
    journal: Journal,
    state: Mutex<State>,
    /// Held while a submission is read from the store: one after the other.
    loading: tokio::sync::Mutex<()>,
}

/// What a desk works with.
#[derive(Debug)]
pub struct DeskParts {
    /// This node.
    pub me: Runner,
    /// The platform's store.
    pub store: Store,
    /// Connections to other nodes.
    pub links: Links,
    /// Writes pages of results.
    pub dialect: Arc<dyn Dialect>,
    /// Drafts items.
    pub drafting: Drafting,
    /// Who runs the submissions of which model.
    pub homes: Homes,
    /// Results stay readable for this long after a submission was accepted.
    pub keep_results: Duration,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Events.
    pub journal: Journal,
}

impl Desk {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(parts: DeskParts) -> Self {
        let shared = Shared {
            me: parts.me,
            store: parts.store,
            links: parts.links,
            dialect: parts.dialect,
            drafting: parts.drafting,
            homes: parts.homes,
            keep_results: parts.keep_results,
            clock: parts.clock,
            journal: parts.journal,
            state: Mutex::default(),
            loading: tokio::sync::Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Goes on with the submissions that an earlier process of this VM ran.
    ///
    /// The list may be seconds old. What it lacks is loaded by the next question of the
    /// trainer, which comes within 500 ms; what it shows too much of is let go by the
    /// look at its head.
    pub async fn resume(&self) {
        let store = &self.shared.store;
        let listed = loop {
            match list(store, Kind::Submissions, Freshness::Seconds).await {
                Ok((objects, _)) => break objects,
                Err(_) => tokio::time::sleep(RESUME_PAUSE).await,
            }
        };
        let heads = listed
            .into_iter()
            .filter_map(|object| self.read_head(object));
        let (ended, running): (Vec<Known>, Vec<Known>) = heads.partition(|known| known.head.ended);
        // They are read one after the other; those that a trainer waits for go first.
        for known in running.into_iter().chain(ended) {
            self.apply(known);
        }
    }

    /// Brings this node in line with a head as the store shows it.
    fn apply(&self, known: Known) {
        self.note_head(known.clone());
        let mine = known.head.runner == self.shared.me;
        match self.board(&known.id) {
            Some(board) if !mine => self.let_go(&board),
            Some(board) if known.head.ended => self.stop(&board),
            None if mine && !self.is_starting(&known.id) => {
                let desk = self.clone();
                drop(tokio::spawn(async move {
                    // Logged there; the next question reads it again.
                    drop(desk.load(&known.id, known.head).await);
                }));
            }
            Some(_) | None => {}
        }
    }

    /// Looks at the head of a submission for as long as this node runs it: another
    /// node that did not reach this one may have taken it over, or ended it.
    async fn watch_head(self, board: Arc<Board>) {
        while board.is_running() && !board.is_complete() {
            tokio::time::sleep(LOOK_AT_HEAD).await;
            // Without the store no one else can take it over either.
            if let Ok(Some(known)) = self.read(&board.id).await {
                self.apply(known);
            }
        }
    }

    fn read_head(&self, object: Object) -> Option<Known> {
        match serde_json::from_str::<Head>(object.value.get()) {
            Ok(head) => Some(Known {
                id: object.name,
                revision: object.revision,
                head,
            }),
            Err(error) => {
                self.shared.journal.event(
                    "head_unreadable",
                    &[("submission", &object.name), ("cause", &error)],
                );
                None
            }
        }
    }

    /// Accepts a submission, or has the home of its model accept it.
    pub async fn submit(&self, posted: &Posted<'_>, submission: Submission) -> Response<Body> {
        if self.is_known(&submission.id) {
            return empty(StatusCode::ACCEPTED);
        }
        let model = submission.model.clone();
        match self.shared.homes.of(&model) {
            Some(home) if home == self.shared.me => self.accept(posted, submission).await,
            Some(home) => {
                if self.pass_to_home(&home, posted).await {
                    return empty(StatusCode::ACCEPTED);
                }
                self.accept_as_home(posted, submission, &model).await
            }
            None => self.accept_as_home(posted, submission, &model).await,
        }
    }

    async fn accept_as_home(
        &self,
        posted: &Posted<'_>,
        submission: Submission,
        model: &str,
    ) -> Response<Body> {
        let answer = self.accept(posted, submission).await;
        if answer.status() == StatusCode::ACCEPTED {
            let (homes, me) = (self.shared.homes.clone(), self.shared.me.clone());
            let model = model.to_owned();
            drop(tokio::spawn(async move { homes.settle(&model, me).await }));
        }
        answer
    }

    /// Whether the home of its model has accepted a submission.
    async fn pass_to_home(&self, home: &Runner, posted: &Posted<'_>) -> bool {
        let mut request = Request::new(Full::new(posted.body.clone()));
        *request.method_mut() = posted.head.method.clone();
        *request.uri_mut() = posted.head.uri.clone();
        *request.headers_mut() = posted.head.headers.clone();
        strip_framing(request.headers_mut());
        let passing = self.shared.links.call(home.address, request, HOME_PATIENCE);
        let answer = passing.await;
        let accepted = matches!(&answer, Ok(answer) if answer.status() == StatusCode::ACCEPTED);
        if !accepted {
            let outcome = answer.map(|answer| answer.status());
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
        if self.is_known(&id) {
            return empty(StatusCode::ACCEPTED);
        }
        if !self.begin_start(&id) {
            // The same submission, sent again while the first is being accepted.
            return refusal(Outcome::NotRun(ASK_AGAIN), "being-accepted");
        }
        let accepted = self.write_submission(posted, &submission).await;
        let response = match accepted {
            Ok(Some(head)) => {
                self.shared.journal.event(
                    "submission_accepted",
                    &[
                        ("submission", &id),
                        ("items", &submission.items.len()),
                        ("min_version", &submission.min_version),
                    ],
                );
                self.start(Board::new(id.clone(), head, submission.items));
                empty(StatusCode::ACCEPTED)
            }
            Ok(None) => empty(StatusCode::ACCEPTED),
            Err(error) => {
                self.shared.journal.event(
                    "submission_not_accepted",
                    &[("submission", &id), ("cause", &error)],
                );
                match error {
                    // It may yet appear in the store, and then it runs.
                    StoreError::Unknown => refusal(Outcome::Unknown, "store-silent"),
                    _ => refusal(Outcome::NotRun(SUBMIT_AGAIN), "store-unavailable"),
                }
            }
        };
        self.end_start(&id);
        response
    }

    /// Writes parts, then the head. `None` if another node had accepted it.
    async fn write_submission(
        &self,
        posted: &Posted<'_>,
        submission: &Submission,
    ) -> Result<Option<Head>, StoreError> {
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
            host: posted.host.to_owned(),
            path: posted.head.uri.path().to_owned(),
            model: submission.model.clone(),
            min_version: submission.min_version,
            target_groups: submission.target_groups,
            items: submission.items.len() as u32,
            parts: count,
            accepted_ms: self.shared.clock.since_epoch().as_millis() as u64,
            runner: self.shared.me.clone(),
            ended: false,
        };
        let created = store
            .create(Kind::Submissions, &submission.id, &head, &head.write, until)
            .await?;
        Ok((created == Created::Now).then_some(head))
    }

    /// Removes a submission from the store once its results need no longer be read.
    async fn clean_up(self, board: Arc<Board>) {
        let due_ms = board.head.accepted_ms + self.shared.keep_results.as_millis() as u64;
        loop {
            let now_ms = self.shared.clock.since_epoch().as_millis() as u64;
            if board.is_given_up() {
                return;
            }
            if now_ms >= due_ms && !board.is_running() {
                break;
            }
            tokio::time::sleep(CLEAN_UP_EVERY).await;
        }
        while let Err(error) = self.remove(&board).await {
            self.shared.journal.event(
                "submission_not_removed",
                &[("submission", &board.id), ("cause", &error)],
            );
            tokio::time::sleep(CLEAN_UP_EVERY).await;
        }
        let mut state = self.lock();
        state.boards.retain(|held| held.id != board.id);
        state.heads.retain(|held| held.id != board.id);
        drop(state);
        self.shared
            .journal
            .event("submission_removed", &[("submission", &board.id)]);
    }

    /// Removes results and items, then the head: as long as that is there, a node that
    /// starts finds what is left to remove.
    async fn remove(&self, board: &Board) -> Result<(), StoreError> {
        let Some(known) = self.read(&board.id).await? else {
            return Ok(());
        };
        if known.head.runner != self.shared.me {
            return Ok(());
        }
        let store = &self.shared.store;
        for number in 0..board.chunks() {
            let name = numbered(&board.id, number);
            store.remove(Kind::ResultChunks, &name).await?;
        }
        for number in 0..board.saved_records() {
            let name = numbered(&board.id, number);
            store.remove(Kind::UnfinishedTexts, &name).await?;
        }
        for number in 0..board.head.parts as usize {
            let name = numbered(&board.id, number);
            store.remove(Kind::SubmissionParts, &name).await?;
        }
        store.remove(Kind::Submissions, &board.id).await
    }

    /// Answers a question about a submission.
    pub async fn ask(
        &self,
        asker: Asker,
        id: &str,
        question: &Question,
        call: &request::Parts,
    ) -> Response<Body> {
        let answer = self.answer_or_pass_on(asker, id, question, call).await;
        if !answer.status().is_success() {
            self.shared.journal.event(
                "question_refused",
                &[
                    ("submission", &id),
                    ("question", &format_args!("{question:?}")),
                    ("from", &format_args!("{asker:?}")),
                    ("status", &answer.status().as_u16()),
                    ("reason", &reason_of(&answer)),
                ],
            );
        }
        answer
    }

    async fn answer_or_pass_on(
        &self,
        asker: Asker,
        id: &str,
        question: &Question,
        call: &request::Parts,
    ) -> Response<Body> {
        let mut known = match self.known(id).await {
            Ok(Some(known)) => known,
            Ok(None) => {
                return refusal(
                    Outcome::BadRequest(StatusCode::NOT_FOUND),
                    "no-such-submission",
                );
            }
            Err(_) => return refusal(Outcome::NotRun(ASK_AGAIN), "store-unavailable"),
        };
        for _ in 0..HEAD_TRIES {
            if known.head.runner == self.shared.me {
                return match self.own(id, known.head).await {
                    Ok(board) => self.answer(&board, question).await,
                    Err(_) => refusal(Outcome::NotRun(ASK_AGAIN), "store-unavailable"),
                };
            }
            if asker == Asker::Peer {
                return empty(StatusCode::CONFLICT);
            }
            let runner = known.head.runner.address;
            let gone = match self.pass_on(runner, question, call).await {
                Ok(answer) if answer.status() != StatusCode::CONFLICT => {
                    let (head, body) = answer.into_parts();
                    return with_json(head.status, body);
                }
                Ok(_) => false,
                Err(error) => self.is_gone(runner, error).await,
            };
            let next = if gone {
                self.take_over(&known).await
            } else {
                self.reread(id).await
            };
            match next {
                Ok(Some(now)) if gone || now.head.runner != known.head.runner => known = now,
                _ => break,
            }
        }
        refusal(Outcome::NotRun(ASK_AGAIN), "runner-unreached")
    }

    async fn pass_on(
        &self,
        runner: SocketAddr,
        question: &Question,
        call: &request::Parts,
    ) -> Result<Response<Bytes>, LinkError> {
        let wait = match question {
            Question::Results { wait, .. } => *wait,
            Question::Item(_) | Question::End => Duration::ZERO,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        strip_framing(request.headers_mut());
        self.note_asked(runner);
        let passing = self
            .shared
            .links
            .call(runner, request, wait + PEER_PATIENCE);
        let answer = passing.await;
        if answer.is_ok() {
            self.note_reached(runner);
        }
        answer
    }

    /// Whether a runner that did not answer is gone. Asks it until [`GONE_AFTER`] has
    /// passed since it was first asked: a client that had to come again for that
    /// would wait 2 s more.
    async fn is_gone(&self, runner: SocketAddr, mut error: LinkError) -> bool {
        loop {
            let silent_for = self.silent_for(runner);
            // Nothing listens there: the process is gone, with all it had in memory.
            if error == LinkError::Refused || silent_for >= GONE_AFTER {
                return true;
            }
            let left = (GONE_AFTER - silent_for).max(PING_PATIENCE);
            let mut request = Request::new(Full::new(Bytes::new()));
            *request.uri_mut() = http::Uri::from_static(PING_PATH);
            let pinging = self.shared.links.call(runner, request, left);
            match pinging.await {
                Ok(_) => {
                    self.note_reached(runner);
                    return false;
                }
                Err(failed) => error = failed,
            }
        }
    }

    /// Notes that a runner was asked and has not answered yet.
    fn note_asked(&self, runner: SocketAddr) {
        let since = self.shared.clock.now();
        let mut state = self.lock();
        // One that is older was left behind by a client that went away.
        state
            .unreached
            .retain(|held| since.duration_since(held.since) < GONE_AFTER * 2);
        if !state.unreached.iter().any(|held| held.address == runner) {
            let address = runner;
            state.unreached.push(Unreached { address, since });
        }
    }

    fn note_reached(&self, runner: SocketAddr) {
        self.lock().unreached.retain(|held| held.address != runner);
    }

    fn silent_for(&self, runner: SocketAddr) -> Duration {
        let now = self.shared.clock.now();
        let state = self.lock();
        let asked = state.unreached.iter().find(|held| held.address == runner);
        asked.map_or(Duration::ZERO, |held| now.duration_since(held.since))
    }

    /// Makes this node the runner in place of the one that is known.
    async fn take_over(&self, known: &Known) -> Result<Option<Known>, StoreError> {
        let Some(now) = self.reread(&known.id).await? else {
            return Ok(None);
        };
        if now.head.runner != known.head.runner {
            return Ok(Some(now));
        }
        let head = Head {
            write: self.shared.store.write_id(),
            runner: self.shared.me.clone(),
            ..now.head.clone()
        };
        match self.replace_head(&now, head).await {
            Ok(taken) => {
                self.shared.journal.event(
                    "submission_taken_over",
                    &[("submission", &known.id), ("from", &known.head.runner.node)],
                );
                Ok(Some(taken))
            }
            Err(StoreError::Conflict) => self.reread(&known.id).await,
            Err(error) => Err(error),
        }
    }

    async fn replace_head(&self, known: &Known, head: Head) -> Result<Known, StoreError> {
        let write = head.write.clone();
        let (kind, id, revision) = (Kind::Submissions, &known.id, known.revision);
        let store = &self.shared.store;
        let object = store.replace(kind, id, revision, &head, &write).await?;
        let replaced = Known {
            id: known.id.clone(),
            revision: object.revision,
            head,
        };
        self.note_head(replaced.clone());
        Ok(replaced)
    }

    async fn answer(&self, board: &Arc<Board>, question: &Question) -> Response<Body> {
        match question {
            Question::Results { after, wait } => {
                let results = board.results(*after, *wait).await;
                if board.is_given_up() {
                    return empty(StatusCode::CONFLICT);
                }
                let page = ResultPage {
                    total: board.items.len(),
                    next: after + results.len(),
                    results: &results,
                };
                with_json(StatusCode::OK, self.shared.dialect.result_page(&page))
            }
            Question::Item(item) => match board.unlisted(item) {
                Some(item) => match self.shared.dialect.item_body(&item) {
                    Ok(body) => bytes_response(StatusCode::OK, body),
                    Err(_) => refusal(Outcome::Unknown, "body-unreadable"),
                },
                None => refusal(Outcome::BadRequest(StatusCode::NOT_FOUND), "no-such-item"),
            },
            Question::End => self.end(board).await,
        }
    }

    /// Ends a submission: here at once, and in the store before it is confirmed.
    async fn end(&self, board: &Arc<Board>) -> Response<Body> {
        self.stop(board);
        for _ in 0..HEAD_TRIES {
            let Ok(Some(known)) = self.reread(&board.id).await else {
                break;
            };
            if known.head.ended {
                return empty(StatusCode::OK);
            }
            let head = Head {
                write: self.shared.store.write_id(),
                ended: true,
                ..known.head.clone()
            };
            match self.replace_head(&known, head).await {
                Ok(_) => {
                    self.shared
                        .journal
                        .event("submission_ended", &[("submission", &board.id)]);
                    return empty(StatusCode::OK);
                }
                Err(StoreError::Conflict) => {}
                Err(_) => break,
            }
        }
        refusal(Outcome::NotRun(ASK_AGAIN), "store-unavailable")
    }

    /// The submission as this node runs it; read from the store if need be.
    async fn own(&self, id: &str, head: Head) -> Result<Arc<Board>, StoreError> {
        if let Some(board) = self.board(id) {
            return Ok(board);
        }
        self.load(id, head).await
    }

    async fn load(&self, id: &str, head: Head) -> Result<Arc<Board>, StoreError> {
        let _one = self.shared.loading.lock().await;
        if let Some(board) = self.board(id) {
            return Ok(board);
        }
        let started = self.shared.clock.now();
        let loaded = Board::load(&self.shared.store, id, head).await;
        let took_ms = self.shared.clock.now().duration_since(started).as_millis();
        match &loaded {
            Ok(board) => {
                self.shared.journal.event(
                    "submission_loaded",
                    &[("submission", &id), ("took_ms", &took_ms)],
                );
                self.start(Arc::clone(board));
            }
            Err(error) => self.shared.journal.event(
                "submission_not_loaded",
                &[("submission", &id), ("cause", error)],
            ),
        }
        loaded
    }

    fn start(&self, board: Arc<Board>) {
        let mut state = self.lock();
        let found = state.boards.binary_search_by(|held| held.id.cmp(&board.id));
        let Err(at) = found else {
            return;
        };
        state.boards.insert(at, Arc::clone(&board));
        drop(state);
        drop(tokio::spawn(self.clone().clean_up(Arc::clone(&board))));
        if board.is_running() {
            self.shared.drafting.add(&board);
            let (store, clock) = (self.shared.store.clone(), Arc::clone(&self.shared.clock));
            let journal = self.shared.journal.clone();
            drop(tokio::spawn(self.clone().watch_head(Arc::clone(&board))));
            let saver = Saver {
                board: Arc::clone(&board),
                drafting: self.shared.drafting.clone(),
                store: store.clone(),
                clock: Arc::clone(&clock),
                journal: journal.clone(),
            };
            drop(tokio::spawn(saver.run()));
            let due = self.shared.drafting.due_of(&board.head);
            drop(tokio::spawn(board.keep_log(store, clock, journal, due)));
        }
    }

    fn stop(&self, board: &Arc<Board>) {
        board.end();
        self.shared.drafting.remove(&board.id);
    }

    /// Another node runs it now.
    fn let_go(&self, board: &Arc<Board>) {
        board.give_up();
        self.shared.drafting.remove(&board.id);
        self.lock().boards.retain(|held| held.id != board.id);
        self.shared
            .journal
            .event("submission_let_go", &[("submission", &board.id)]);
    }

    async fn known(&self, id: &str) -> Result<Option<Known>, StoreError> {
        let held = {
            let state = self.lock();
            let at = state
                .heads
                .binary_search_by(|held| held.id.as_str().cmp(id));
            at.ok().map(|at| state.heads[at].clone())
        };
        if held.is_some() {
            return Ok(held);
        }
        // An old head does for asking its runner, who knows better; that there is no
        // such submission has to be the newest.
        let old = self.shared.store.read_stale(Kind::Submissions, id).await;
        if let Ok(Some(object)) = old
            && let Some(known) = self.read_head(object)
            && known.head.runner != self.shared.me
        {
            self.note_head(known.clone());
            return Ok(Some(known));
        }
        self.reread(id).await
    }

    async fn reread(&self, id: &str) -> Result<Option<Known>, StoreError> {
        let known = self.read(id).await?;
        if let Some(known) = &known {
            self.note_head(known.clone());
        }
        Ok(known)
    }

    async fn read(&self, id: &str) -> Result<Option<Known>, StoreError> {
        let object = self.shared.store.read(Kind::Submissions, id).await?;
        Ok(object.and_then(|object| self.read_head(object)))
    }

    /// Keeps the newest head of each submission.
    fn note_head(&self, known: Known) {
        let mut state = self.lock();
        match state.heads.binary_search_by(|held| held.id.cmp(&known.id)) {
            Ok(at) if state.heads[at].revision < known.revision => state.heads[at] = known,
            Ok(_) => {}
            Err(at) => state.heads.insert(at, known),
        }
    }

    fn board(&self, id: &str) -> Option<Arc<Board>> {
        let state = self.lock();
        let at = state
            .boards
            .binary_search_by(|held| held.id.as_str().cmp(id));
        at.ok().map(|at| Arc::clone(&state.boards[at]))
    }

    fn is_known(&self, id: &str) -> bool {
        let state = self.lock();
        let known = state
            .heads
            .binary_search_by(|held| held.id.as_str().cmp(id));
        known.is_ok() || state.boards.iter().any(|board| board.id == id)
    }

    fn is_starting(&self, id: &str) -> bool {
        self.lock().starting.iter().any(|held| held == id)
    }

    fn begin_start(&self, id: &str) -> bool {
        let mut state = self.lock();
        if state.starting.iter().any(|held| held == id) {
            return false;
        }
        state.starting.push(id.to_owned());
        true
    }

    fn end_start(&self, id: &str) {
        self.lock().starting.retain(|held| held != id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}
