//! Who runs which submission, and what clients ask about them.
//!
//! A model's submissions are run at its home, if that can be reached, else where they
//! arrive ([`crate::submission::homes`]). Any other node passes questions on to
//! the runner. A node that finds the runner gone takes the submission over by a conditional
//! change of its head, reads its items and results from the store and goes on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir::connection::server::Body;
use firweir::connection::server::bytes_response;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use http::Response;
use http::StatusCode;
use http::request;
use tokio::sync::watch;

use crate::dialect::AskedCall;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::Kind;
use crate::dialect::Question;
use crate::dialect::ResultPage;
use crate::dialect::StoreError;
use crate::drafting::Drafting;
use crate::duty::BootClock;
use crate::follow::list;
use crate::link::Links;
use crate::mechanisms::Mechanism;
use crate::mechanisms::Off;
use crate::model::ItemResult;
use crate::outage::Outage;
use crate::reload::InForce;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::respond::with_json;
use crate::store::Store;
use crate::submission::board::Board;
use crate::submission::finder::Finder;
use crate::submission::heads::Heads;
use crate::submission::heads::Known;
use crate::submission::homes::Homes;
use crate::submission::records::Head;
use crate::submission::records::Runner;
use crate::submission::runners::Runners;
use crate::submission::saver::Saver;

/// When a client may ask again where it is not known who runs a submission.
pub(in crate::submission) const ASK_AGAIN: Duration = Duration::from_millis(250);

/// For this long after a read of its head a runner may say that nothing is listed: what
/// another node lists meanwhile may be missing in an answer for a second.
const CONFIRMED_FOR: Duration = Duration::from_millis(700);

/// Pause before the list of submissions is asked for again at a start.
const RESUME_PAUSE: Duration = Duration::from_millis(700);

/// Where a question comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asker {
    /// A client; the question may be passed on.
    Client,
    /// Another node, which takes this one for the runner.
    Peer,
}

#[derive(Debug, Default)]
pub(in crate::submission) struct State {
    /// Sorted by id.
    pub(in crate::submission) boards: Vec<Arc<Board>>,
    /// Submissions that are being accepted.
    starting: Vec<Starting>,
    /// Submissions whose heads were looked at for other nodes, and when.
    pub(in crate::submission) looked: Vec<(String, Instant)>,
}

/// How the acceptance of a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::submission) enum Acceptance {
    /// It is kept, here or by another node.
    Accepted,
    /// Nothing of it is kept, or ever will be.
    NotKept,
    /// It may yet be kept.
    Unknown,
}

/// A submission that is being accepted.
#[derive(Debug)]
struct Starting {
    id: String,
    outcome: watch::Receiver<Option<Acceptance>>,
}

/// Whether a submission is being accepted already.
#[derive(Debug)]
pub(in crate::submission) enum Start {
    /// It is; this tells how it ends.
    Running(watch::Receiver<Option<Acceptance>>),
    /// It begins now, and its end has to be told.
    New(
        watch::Sender<Option<Acceptance>>,
        watch::Receiver<Option<Acceptance>>,
    ),
}

/// All submissions as this node knows them; cheap to clone.
#[derive(Debug, Clone)]
pub struct Desk {
    pub(in crate::submission) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(in crate::submission) struct Shared {
    pub(in crate::submission) me: Runner,
    pub(in crate::submission) store: Store,
    pub(in crate::submission) links: Links,
    pub(in crate::submission) homes: Homes,
    pub(in crate::submission) finder: Finder,
    pub(in crate::submission) heads: Heads,
    pub(in crate::submission) settings: InForce,
    pub(in crate::submission) off: Off,
    pub(in crate::submission) clock: Arc<dyn Clock>,
    pub(in crate::submission) boot_clock: Arc<dyn BootClock>,
    pub(in crate::submission) journal: Journal,
    pub(in crate::submission) runners: Runners,
    pub(in crate::submission) outage: Outage,
    dialect: Arc<dyn Dialect>,
    drafting: Drafting,
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
    /// Finds homes.
    pub finder: Finder,
    /// Whether the store turns this node away.
    pub outage: Outage,
    /// Settings, with how long results stay readable.
    pub settings: InForce,
    /// Mechanisms that are switched off.
    pub off: Off,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Events.
    pub journal: Journal,
}

impl Desk {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(parts: DeskParts) -> Self {
        let heads = Heads::new(parts.me.clone(), parts.store.clone(), parts.journal.clone());
        let shared = Shared {
            heads,
            runners: Runners::new(parts.links.clone(), Arc::clone(&parts.clock)),
            me: parts.me,
            store: parts.store,
            links: parts.links,
            dialect: parts.dialect,
            drafting: parts.drafting,
            homes: parts.homes,
            finder: parts.finder,
            outage: parts.outage,
            settings: parts.settings,
            off: parts.off,
            clock: parts.clock,
            boot_clock: parts.boot_clock,
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
    /// trainer, what it shows too much of is let go by the look at its head.
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
            .filter_map(|object| self.shared.heads.decode(object));
        let (ended, running): (Vec<Known>, Vec<Known>) = heads.partition(|known| known.head.ended);
        // They are read one after the other; those that a trainer waits for go first.
        for known in running.into_iter().chain(ended) {
            self.apply(known);
        }
    }

    /// Brings this node in line with a head as the store shows it.
    fn apply(&self, known: Known) {
        self.shared.heads.note(known.clone());
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
            let limits = self.shared.settings.now().head_limits();
            let look_wanted = board.view.look_wanted();
            // In time or sooner, the head is looked at.
            drop(tokio::time::timeout(limits.look_every, look_wanted).await);
            // Without the store no one else can take it over either.
            drop(self.confirm(&board).await);
        }
    }

    /// Looks whether this node still runs a submission; lets it go if not.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    async fn confirm(&self, board: &Board) -> Result<bool, StoreError> {
        let sent = self.shared.boot_clock.since_boot();
        let newest = self.shared.heads.reread(&board.id).await;
        if newest.is_err() {
            board.view.note_in_vain(sent);
        }
        let Some(known) = newest? else {
            return Ok(false);
        };
        let mine = known.head.runner == self.shared.me;
        if mine && !known.head.ended {
            board.view.confirm(sent);
        }
        self.apply(known);
        Ok(mine)
    }

    /// Answers that nothing is listed from a position on, if that is certain.
    ///
    /// A runner that was silent for a while may have lost its submission to another node, which
    /// lists more, and would show less than a trainer has read. So it says that there is
    /// nothing only if a read of the head, sent less than [`CONFIRMED_FOR`] ago, showed it
    /// as the runner. What is listed never changes, so other pages need no such read.
    async fn nothing_listed(&self, board: &Board, after: usize) -> Response<Body> {
        let now = self.shared.boot_clock.since_boot();
        let confirmed = board.view.confirmed();
        let fresh = confirmed.is_some_and(|sent| now.saturating_sub(sent) < CONFIRMED_FOR);
        let certain = fresh || after >= board.items.len();
        let mine = if certain {
            Ok(true)
        } else {
            self.confirm_log(board).await
        };
        match mine {
            Ok(true) => {
                let results = board.results(after, Duration::ZERO).await;
                self.result_page(board, after, &results)
            }
            Ok(false) => empty(StatusCode::CONFLICT),
            Err(_) => refusal(Outcome::NotRun(ASK_AGAIN), "not-confirmed"),
        }
    }

    /// As [`Desk::confirm`], and takes in what an earlier runner has listed.
    ///
    /// **Failure:** a runner that was frozen goes on until it looks at the head again, and
    /// lists a last few results after another node has read the log. Once the submission has
    /// ended nothing is written there any more that would meet them: that node shows less
    /// than the trainer has read, for good. **Guard:** a node that has not accepted the
    /// submission itself looks for them before it says that there is nothing.
    async fn confirm_log(&self, board: &Board) -> Result<bool, StoreError> {
        let mine = self.confirm(board).await?;
        if mine && board.had_another_runner() {
            board.catch_up(&self.shared.store).await?;
        }
        Ok(mine)
    }

    fn result_page(&self, board: &Board, after: usize, results: &[ItemResult]) -> Response<Body> {
        let page = ResultPage {
            total: board.items.len(),
            next: after + results.len(),
            results,
        };
        with_json(StatusCode::OK, self.shared.dialect.result_page(&page))
    }

    /// Answers a question about a submission, on behalf of an account.
    pub async fn ask(
        &self,
        asker: Asker,
        account: Option<&str>,
        call: &AskedCall,
        head: &request::Parts,
    ) -> Response<Body> {
        let (id, question) = (call.submission.as_str(), &call.question);
        let answer = self.answer_or_pass_on(asker, account, call, head).await;
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

    pub(in crate::submission) async fn answer(
        &self,
        board: &Arc<Board>,
        question: &Question,
    ) -> Response<Body> {
        match question {
            Question::Results { after, wait } => {
                let results = self.results(board, *after, *wait).await;
                if board.is_given_up() {
                    return empty(StatusCode::CONFLICT);
                }
                if results.is_empty() {
                    return self.nothing_listed(board, *after).await;
                }
                self.result_page(board, *after, &results)
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

    async fn results(&self, board: &Board, after: usize, wait: Duration) -> Vec<ItemResult> {
        if !self.shared.off.leaves(Mechanism::HeldAnswers) {
            return board.results(after, wait).await;
        }
        let due = self.shared.drafting.due_of(&board.head);
        let clock = &*self.shared.clock;
        board.results_held(after, wait, due, clock).await
    }

    /// Ends a submission: here at once, and in the store before it is confirmed.
    async fn end(&self, board: &Arc<Board>) -> Response<Body> {
        self.stop(board);
        self.end_in_store(&board.id).await
    }

    /// The submission as this node runs it; read from the store if need be.
    pub(in crate::submission) async fn own(
        &self,
        id: &str,
        head: Head,
    ) -> Result<Arc<Board>, StoreError> {
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
        let loaded = self.read_step(id, head).await;
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

    /// Reads a step from the store, and whether it has ended meanwhile.
    ///
    /// **Failure:** a trainer ends its step through another node while this one reads it,
    /// which takes a second; the head that this one began with does not say so, and engines
    /// draft a step that nobody wants until the next look at the head. **Guard:** the head is
    /// read again behind the rest, before any of its items starts.
    async fn read_step(&self, id: &str, head: Head) -> Result<Arc<Board>, StoreError> {
        let board = Board::load(&self.shared.store, id, head, &*self.shared.clock).await?;
        if board.is_running() {
            let sent = self.shared.boot_clock.since_boot();
            match self.shared.heads.reread(id).await? {
                Some(known) if !known.head.ended => {
                    // Another runner's step starts nothing here; the next look lets it go.
                    if known.head.runner == self.shared.me {
                        board.view.confirm(sent);
                    }
                }
                _ => board.end(),
            }
        }
        Ok(board)
    }

    pub(in crate::submission) fn start(&self, board: Arc<Board>) {
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
            if self.shared.off.leaves(Mechanism::SavedTexts) {
                drop(tokio::spawn(saver.run()));
            }
            let due = self.shared.drafting.due_of(&board.head);
            let paced = self.shared.off.leaves(Mechanism::PacedListing);
            drop(tokio::spawn(
                board.keep_log(store, clock, journal, due, paced),
            ));
        }
    }

    pub(in crate::submission) fn stop(&self, board: &Arc<Board>) {
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

    pub(in crate::submission) fn board(&self, id: &str) -> Option<Arc<Board>> {
        let state = self.lock();
        let at = state
            .boards
            .binary_search_by(|held| held.id.as_str().cmp(id));
        at.ok().map(|at| Arc::clone(&state.boards[at]))
    }

    pub(in crate::submission) fn is_known(&self, id: &str) -> bool {
        self.shared.heads.has(id) || self.board(id).is_some()
    }

    fn is_starting(&self, id: &str) -> bool {
        self.lock().starting.iter().any(|held| held.id == id)
    }

    pub(in crate::submission) fn begin_start(&self, id: &str) -> Start {
        let mut state = self.lock();
        if let Some(held) = state.starting.iter().find(|held| held.id == id) {
            return Start::Running(held.outcome.clone());
        }
        let (decided, outcome) = watch::channel(None);
        state.starting.push(Starting {
            id: id.to_owned(),
            outcome: outcome.clone(),
        });
        Start::New(decided, outcome)
    }

    pub(in crate::submission) fn end_start(&self, id: &str) {
        self.lock().starting.retain(|held| held.id != id);
    }

    pub(in crate::submission) fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}
