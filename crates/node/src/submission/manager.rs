//! Runs submissions, and answers questions about them.
//!
//! The home node of a model runs its submissions. If it cannot be reached, the node that
//! receives a submission runs it ([`crate::submission::homes`]). Other nodes forward
//! questions to the runner. If the runner is down, the submission is taken over by a
//! conditional change of its head; its new runner reads items and results from the store
//! and continues.

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

use crate::connection_pool::ConnectionPool;
use crate::dialect::AskedCall;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::ObjectKind;
use crate::dialect::Question;
use crate::dialect::ResultPage;
use crate::dialect::StoreError;
use crate::drafting::Drafting;
use crate::duty::BootClock;
use crate::listing::list;
use crate::mechanisms::EnabledMechanisms;
use crate::mechanisms::Mechanism;
use crate::model::ItemResult;
use crate::outage::Outage;
use crate::reload::CurrentSettings;
use crate::respond::Outcome;
use crate::respond::empty;
use crate::respond::reason_of;
use crate::respond::refusal;
use crate::respond::with_json;
use crate::store::Store;
use crate::submission::heads::Heads;
use crate::submission::heads::VersionedHead;
use crate::submission::home_finder::HomeFinder;
use crate::submission::homes::Homes;
use crate::submission::local::LocalSubmission;
use crate::submission::records::Head;
use crate::submission::records::NodeRef;
use crate::submission::runners::Runners;
use crate::submission::text_saver::TextSaver;

/// Delay after which a client may retry a question that could not be answered.
pub(in crate::submission) const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long after a read of the head a runner may answer that nothing is listed. Results that
/// another node lists may be missing in an answer for at most a second.
const CONFIRMATION_TTL: Duration = Duration::from_millis(700);

/// Delay before a failed list of submissions is retried at startup.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A client; the request may be forwarded.
    Client,
    /// Another node, which regards this one as the runner or the home.
    Peer,
}

#[derive(Debug, Default)]
pub(in crate::submission) struct State {
    /// Sorted by id.
    pub(in crate::submission) submissions: Vec<Arc<LocalSubmission>>,
    /// Submissions that are being accepted.
    accepting: Vec<PendingAcceptance>,
    /// Submissions whose heads were read for questions of other nodes, and when.
    pub(in crate::submission) recent_reads: Vec<(String, Instant)>,
}

/// How the acceptance of a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::submission) enum Acceptance {
    /// It is in the store; this node or another one runs it.
    Accepted,
    /// It is not in the store and will not appear there.
    NotStored,
    /// It may still appear in the store.
    Unknown,
}

/// A submission that is being accepted.
#[derive(Debug)]
struct PendingAcceptance {
    id: String,
    outcome: watch::Receiver<Option<Acceptance>>,
}

/// Whether a submission is already being accepted.
#[derive(Debug)]
pub(in crate::submission) enum AcceptanceEntry {
    /// It is; the receiver gets the outcome.
    InProgress(watch::Receiver<Option<Acceptance>>),
    /// It is not; the caller accepts it and sends the outcome.
    New(
        watch::Sender<Option<Acceptance>>,
        watch::Receiver<Option<Acceptance>>,
    ),
}

/// Accepts and runs submissions, and answers questions about them; cheap to clone.
#[derive(Debug, Clone)]
pub struct SubmissionManager {
    pub(in crate::submission) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(in crate::submission) struct Shared {
    pub(in crate::submission) this_node: NodeRef,
    pub(in crate::submission) store: Store,
    pub(in crate::submission) connections: ConnectionPool,
    pub(in crate::submission) homes: Homes,
    pub(in crate::submission) home_finder: HomeFinder,
    pub(in crate::submission) heads: Heads,
    pub(in crate::submission) settings: CurrentSettings,
    pub(in crate::submission) mechanisms: EnabledMechanisms,
    pub(in crate::submission) clock: Arc<dyn Clock>,
    pub(in crate::submission) boot_clock: Arc<dyn BootClock>,
    pub(in crate::submission) journal: Journal,
    pub(in crate::submission) runners: Runners,
    pub(in crate::submission) outage: Outage,
    dialect: Arc<dyn Dialect>,
    drafting: Drafting,
    state: Mutex<State>,
    /// Held while a submission is read from the store: they are read one at a time.
    loading: tokio::sync::Mutex<()>,
}

/// Dependencies of a [`SubmissionManager`].
#[derive(Debug)]
pub struct SubmissionManagerParts {
    /// This node.
    pub this_node: NodeRef,
    /// The platform store.
    pub store: Store,
    /// Connections to other nodes.
    pub connections: ConnectionPool,
    /// Encodes pages of results.
    pub dialect: Arc<dyn Dialect>,
    /// Generates the samples of items.
    pub drafting: Drafting,
    /// Home nodes of models.
    pub homes: Homes,
    /// Finds home nodes.
    pub home_finder: HomeFinder,
    /// Whether the store refuses this node's calls.
    pub outage: Outage,
    /// Settings, such as how long results stay readable.
    pub settings: CurrentSettings,
    /// Mechanisms that are switched on.
    pub mechanisms: EnabledMechanisms,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that includes suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// The event log.
    pub journal: Journal,
}

impl SubmissionManager {
    /// Creates a manager without submissions.
    #[must_use]
    pub fn new(parts: SubmissionManagerParts) -> Self {
        let heads = Heads::new(
            parts.this_node.clone(),
            parts.store.clone(),
            parts.journal.clone(),
        );
        let shared = Shared {
            heads,
            runners: Runners::new(parts.connections.clone(), Arc::clone(&parts.clock)),
            this_node: parts.this_node,
            store: parts.store,
            connections: parts.connections,
            dialect: parts.dialect,
            drafting: parts.drafting,
            homes: parts.homes,
            home_finder: parts.home_finder,
            outage: parts.outage,
            settings: parts.settings,
            mechanisms: parts.mechanisms,
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

    /// Resumes the submissions that an earlier process of this VM ran.
    ///
    /// The list may be seconds old. A missing submission is loaded at the next question of its
    /// trainer; one that another node runs by now is released after the next read of its head.
    pub async fn resume(&self) {
        let store = &self.shared.store;
        let listed = loop {
            match list(store, ObjectKind::Submissions, Freshness::Seconds).await {
                Ok((objects, _)) => break objects,
                Err(_) => tokio::time::sleep(RESUME_RETRY_DELAY).await,
            }
        };
        let heads = listed
            .into_iter()
            .filter_map(|object| self.shared.heads.decode(object));
        let (ended, running): (Vec<VersionedHead>, Vec<VersionedHead>) =
            heads.partition(|known| known.head.ended);
        // They are loaded one at a time; trainers still wait for those that have not ended.
        for known in running.into_iter().chain(ended) {
            self.apply_head(known);
        }
    }

    /// Loads, stops or releases a submission as its head in the store requires.
    fn apply_head(&self, known: VersionedHead) {
        self.shared.heads.update(known.clone());
        let is_runner = known.head.runner == self.shared.this_node;
        match self.find_local(&known.id) {
            Some(submission) if !is_runner => self.release(&submission),
            Some(submission) if known.head.ended => self.stop(&submission),
            None if is_runner && !self.is_being_accepted(&known.id) => {
                let manager = self.clone();
                drop(tokio::spawn(async move {
                    // `load` logs a failure; the next question retries it.
                    drop(manager.load(&known.id, known.head).await);
                }));
            }
            Some(_) | None => {}
        }
    }

    /// Reads the head of a submission periodically for as long as this node runs it: another
    /// node that could not reach this one may have taken it over, or ended it.
    async fn watch_head(self, submission: Arc<LocalSubmission>) {
        while submission.is_running() && !submission.is_complete() {
            let limits = self.shared.settings.now().head_limits();
            let read_requested = submission.head_view.read_requested();
            // The head is read after the interval, or earlier on request.
            drop(tokio::time::timeout(limits.read_interval, read_requested).await);
            // While the store is unavailable no other node can take over either.
            drop(self.confirm_runner(&submission).await);
        }
    }

    /// Reads the head to check whether this node still runs a submission; releases it if not.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    async fn confirm_runner(&self, submission: &LocalSubmission) -> Result<bool, StoreError> {
        let sent = self.shared.boot_clock.since_boot();
        let newest = self.shared.heads.read_newest(&submission.id).await;
        if newest.is_err() {
            submission.head_view.record_unreachable(sent);
        }
        let Some(known) = newest? else {
            return Ok(false);
        };
        let is_runner = known.head.runner == self.shared.this_node;
        if is_runner && !known.head.ended {
            submission.head_view.record_confirmed(sent);
        }
        self.apply_head(known);
        Ok(is_runner)
    }

    /// Answers that nothing is listed from a position on, after making sure of it.
    ///
    /// A runner that was paused may have been replaced by another node, which has listed more;
    /// its own answer would then show less than the trainer has already read. So it gives an
    /// empty page only if a read of the head, sent less than [`CONFIRMATION_TTL`] ago, showed
    /// it as the runner. Listed results never change, so other pages need no such read.
    async fn answer_empty_page(
        &self,
        submission: &LocalSubmission,
        after: usize,
    ) -> Response<Body> {
        let now = self.shared.boot_clock.since_boot();
        let confirmed = submission.head_view.last_confirmed();
        let is_fresh = confirmed.is_some_and(|sent| now.saturating_sub(sent) < CONFIRMATION_TTL);
        let is_certain = is_fresh || after >= submission.items.len();
        let is_runner = if is_certain {
            Ok(true)
        } else {
            self.confirm_log(submission).await
        };
        match is_runner {
            Ok(true) => {
                let results = submission.results(after, Duration::ZERO).await;
                self.result_page(submission, after, &results)
            }
            Ok(false) => empty(StatusCode::CONFLICT),
            Err(_) => refusal(Outcome::NotRun(RETRY_AFTER), "not-confirmed"),
        }
    }

    /// Like [`SubmissionManager::confirm_runner`], and reads what an earlier runner has listed
    /// since.
    ///
    /// A runner that was paused continues until its next read of the head, and may list
    /// results after its successor has read the log. If the submission has ended, the successor
    /// writes no chunk that would collide with them, so it would never notice them and show
    /// less than the trainer has read. Hence a node that did not accept the submission itself
    /// reads the log again before it gives an empty page.
    async fn confirm_log(&self, submission: &LocalSubmission) -> Result<bool, StoreError> {
        let is_runner = self.confirm_runner(submission).await?;
        if is_runner && submission.had_previous_runner() {
            submission.catch_up(&self.shared.store).await?;
        }
        Ok(is_runner)
    }

    fn result_page(
        &self,
        submission: &LocalSubmission,
        after: usize,
        results: &[ItemResult],
    ) -> Response<Body> {
        let page = ResultPage {
            total: submission.items.len(),
            next: after + results.len(),
            results,
        };
        with_json(StatusCode::OK, self.shared.dialect.result_page(&page))
    }

    /// Answers a question about a submission on behalf of an account, and logs a refusal.
    pub async fn answer_question(
        &self,
        origin: RequestOrigin,
        account: Option<&str>,
        call: &AskedCall,
        head: &request::Parts,
    ) -> Response<Body> {
        let (id, question) = (call.submission.as_str(), &call.question);
        let answer = self.answer_or_forward(origin, account, call, head).await;
        if !answer.status().is_success() {
            self.shared.journal.event(
                "question_refused",
                &[
                    ("submission", &id),
                    ("question", &format_args!("{question:?}")),
                    ("from", &format_args!("{origin:?}")),
                    ("status", &answer.status().as_u16()),
                    ("reason", &reason_of(&answer)),
                ],
            );
        }
        answer
    }

    /// Answers a question about a submission that this node runs.
    pub(in crate::submission) async fn answer(
        &self,
        submission: &Arc<LocalSubmission>,
        question: &Question,
    ) -> Response<Body> {
        match question {
            Question::Results { after, wait } => {
                let results = self.results(submission, *after, *wait).await;
                if submission.is_released() {
                    return empty(StatusCode::CONFLICT);
                }
                if results.is_empty() {
                    return self.answer_empty_page(submission, *after).await;
                }
                self.result_page(submission, *after, &results)
            }
            Question::Item(item) => match submission.find_item(item) {
                Some(item) => match self.shared.dialect.item_body(&item) {
                    Ok(body) => bytes_response(StatusCode::OK, body),
                    Err(_) => refusal(Outcome::Unknown, "body-unreadable"),
                },
                None => refusal(Outcome::BadRequest(StatusCode::NOT_FOUND), "no-such-item"),
            },
            Question::End => self.end(submission).await,
        }
    }

    async fn results(
        &self,
        submission: &LocalSubmission,
        after: usize,
        wait: Duration,
    ) -> Vec<ItemResult> {
        if !self.shared.mechanisms.is_enabled(Mechanism::HeldAnswers) {
            return submission.results(after, wait).await;
        }
        let due = self.shared.drafting.due_age(&submission.head);
        let clock = &*self.shared.clock;
        submission.results_held(after, wait, due, clock).await
    }

    /// Ends a submission: here at once, and in the store before the answer.
    async fn end(&self, submission: &Arc<LocalSubmission>) -> Response<Body> {
        self.stop(submission);
        self.end_in_store(&submission.id).await
    }

    /// Returns a submission that this node runs, loaded from the store if necessary.
    pub(in crate::submission) async fn get_or_load(
        &self,
        id: &str,
        head: Head,
    ) -> Result<Arc<LocalSubmission>, StoreError> {
        if let Some(submission) = self.find_local(id) {
            return Ok(submission);
        }
        self.load(id, head).await
    }

    async fn load(&self, id: &str, head: Head) -> Result<Arc<LocalSubmission>, StoreError> {
        let _guard = self.shared.loading.lock().await;
        if let Some(submission) = self.find_local(id) {
            return Ok(submission);
        }
        let started = self.shared.clock.now();
        let loaded = self.read_submission(id, head).await;
        let took_ms = self.shared.clock.now().duration_since(started).as_millis();
        match &loaded {
            Ok(submission) => {
                self.shared.journal.event(
                    "submission_loaded",
                    &[("submission", &id), ("took_ms", &took_ms)],
                );
                self.start(Arc::clone(submission));
            }
            Err(error) => self.shared.journal.event(
                "submission_not_loaded",
                &[("submission", &id), ("cause", error)],
            ),
        }
        loaded
    }

    /// Reads a submission from the store, then its head once more.
    ///
    /// The first read takes a second, and a trainer may end its step through another node
    /// meanwhile. Without the second read, engines would generate samples of an ended step
    /// until the next read of the head. If the head is gone or ended by then, the submission
    /// counts as ended.
    async fn read_submission(
        &self,
        id: &str,
        head: Head,
    ) -> Result<Arc<LocalSubmission>, StoreError> {
        let submission =
            LocalSubmission::load(&self.shared.store, id, head, &*self.shared.clock).await?;
        if submission.is_running() {
            let sent = self.shared.boot_clock.since_boot();
            match self.shared.heads.read_newest(id).await? {
                Some(known) if !known.head.ended => {
                    // If another node runs it, no sample starts here, and the next read of the
                    // head releases it.
                    if known.head.runner == self.shared.this_node {
                        submission.head_view.record_confirmed(sent);
                    }
                }
                _ => submission.end(),
            }
        }
        Ok(submission)
    }

    /// Starts to run a submission, or only to answer for it if it has ended; does nothing if it
    /// was started before.
    pub(in crate::submission) fn start(&self, submission: Arc<LocalSubmission>) {
        let mut state = self.lock();
        let found = state
            .submissions
            .binary_search_by(|other| other.id.cmp(&submission.id));
        let Err(at) = found else {
            return;
        };
        state.submissions.insert(at, Arc::clone(&submission));
        drop(state);
        drop(tokio::spawn(self.clone().clean_up(Arc::clone(&submission))));
        if submission.is_running() {
            self.shared.drafting.add(&submission);
            let (store, clock) = (self.shared.store.clone(), Arc::clone(&self.shared.clock));
            let journal = self.shared.journal.clone();
            drop(tokio::spawn(
                self.clone().watch_head(Arc::clone(&submission)),
            ));
            let saver = TextSaver {
                submission: Arc::clone(&submission),
                drafting: self.shared.drafting.clone(),
                store: store.clone(),
                clock: Arc::clone(&clock),
                journal: journal.clone(),
            };
            if self.shared.mechanisms.is_enabled(Mechanism::SavedTexts) {
                drop(tokio::spawn(saver.run()));
            }
            let due = self.shared.drafting.due_age(&submission.head);
            let paced = self.shared.mechanisms.is_enabled(Mechanism::PacedListing);
            drop(tokio::spawn(
                submission.write_log(store, clock, journal, due, paced),
            ));
        }
    }

    /// Stops generating samples of a submission that has ended.
    pub(in crate::submission) fn stop(&self, submission: &Arc<LocalSubmission>) {
        submission.end();
        self.shared.drafting.remove(&submission.id);
    }

    /// Stops running a submission that another node runs now.
    fn release(&self, submission: &Arc<LocalSubmission>) {
        submission.release();
        self.shared.drafting.remove(&submission.id);
        self.lock()
            .submissions
            .retain(|other| other.id != submission.id);
        self.shared
            .journal
            .event("submission_let_go", &[("submission", &submission.id)]);
    }

    /// Returns a submission if this node has loaded or accepted it.
    pub(in crate::submission) fn find_local(&self, id: &str) -> Option<Arc<LocalSubmission>> {
        let state = self.lock();
        let at = state
            .submissions
            .binary_search_by(|other| other.id.as_str().cmp(id));
        at.ok().map(|at| Arc::clone(&state.submissions[at]))
    }

    pub(in crate::submission) fn is_known(&self, id: &str) -> bool {
        self.shared.heads.contains(id) || self.find_local(id).is_some()
    }

    fn is_being_accepted(&self, id: &str) -> bool {
        self.lock().accepting.iter().any(|other| other.id == id)
    }

    /// Returns the acceptance of a submission that is in progress, or begins it.
    pub(in crate::submission) fn begin_acceptance(&self, id: &str) -> AcceptanceEntry {
        let mut state = self.lock();
        if let Some(pending) = state.accepting.iter().find(|other| other.id == id) {
            return AcceptanceEntry::InProgress(pending.outcome.clone());
        }
        let (outcome_sender, outcome) = watch::channel(None);
        state.accepting.push(PendingAcceptance {
            id: id.to_owned(),
            outcome: outcome.clone(),
        });
        AcceptanceEntry::New(outcome_sender, outcome)
    }

    pub(in crate::submission) fn end_acceptance(&self, id: &str) {
        self.lock().accepting.retain(|other| other.id != id);
    }

    pub(in crate::submission) fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}
