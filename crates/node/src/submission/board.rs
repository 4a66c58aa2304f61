//! One submission that this node runs: which items have ended, and the log that
//! makes their results last.
//!
//! The log is a chain of chunks in the platform's store, each created once, its
//! number one above the last. Two nodes that both believe that they run a submission
//! meet at the same number, and only one of them creates it; the other takes over what
//! it finds there. So no item is listed twice and no position ever changes, with no
//! lease and no clock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::answering::Asked;
use firweir_policy::listing::Unwritten;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use crate::dialect::Freshness;
use crate::dialect::Kind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::model::Config;
use crate::model::Item;
use crate::model::ItemResult;
use crate::model::Route;
use crate::store::Created;
use crate::store::Store;
use crate::submission::head_view::HeadView;
use crate::submission::records::Chunk;
use crate::submission::records::Head;
use crate::submission::records::Part;
use crate::submission::records::UnfinishedTexts;
use crate::submission::records::cut;
use crate::submission::records::numbered;
use crate::submission::records::result_bytes;
use crate::submission::texts::Progress;
use crate::submission::texts::SavedText;
use crate::submission::texts::put_together;

/// How long one write is tried before the log looks anew at who runs it.
const WRITE_PATIENCE: Duration = Duration::from_secs(4);

/// Pause after a write that the store refused: its outages take seconds, and each
/// call costs, refused ones too.
const WRITE_PAUSE: Duration = Duration::from_millis(400);

/// Most bytes of texts in one page of results. A trainer reads an open step twice a second
/// and needs all that is there.
const PAGE_LIMIT_BYTES: usize = 900_000;

/// The same for a submission that has ended. It is read from its start, by many at once,
/// and each page passes from its runner to the node that was asked, over links that they
/// share: with large pages all run out of time, ask again, and none gets a page any more.
const ENDED_PAGE_LIMIT_BYTES: usize = 250_000;

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It has no result yet.
    Open,
    /// It has a result that is being written.
    Pending,
    /// Its result is listed.
    Listed,
}

#[derive(Debug)]
struct State {
    standings: Vec<Standing>,
    /// Sorted by id: places in the trainer's order.
    places: Vec<(String, usize)>,
    listed: Vec<ItemResult>,
    pending: Vec<ItemResult>,
    pending_since: Option<Instant>,
    chunks: usize,
    ended: bool,
}

/// One submission that this node runs.
#[derive(Debug)]
pub struct Board {
    /// Its id.
    pub id: String,
    /// Its head as it was when this node began to run it.
    pub head: Head,
    /// Its items, in the trainer's order.
    pub items: Vec<Arc<Item>>,
    /// Another process may have run it before.
    had_another_runner: AtomicBool,
    /// When this process began to run it.
    started: Instant,
    /// When it was accepted, as far as this process knows: before `started`, where that
    /// was at another node, by the times of day of both.
    accepted: Instant,
    state: Mutex<State>,
    /// Texts of items that an earlier runner saved, sorted by item.
    saved: Mutex<Vec<(String, Progress)>>,
    saved_records: AtomicUsize,
    /// How old the view of its head is.
    pub view: HeadView,
    listed: Notify,
    pending: Notify,
    /// Another node runs it.
    given_up: AtomicBool,
}

impl Board {
    /// A submission of which nothing is listed yet.
    #[must_use]
    pub fn new(id: String, head: Head, items: Vec<Item>, clock: &dyn Clock) -> Arc<Self> {
        let started = clock.now();
        let accepted_ago = clock
            .since_epoch()
            .saturating_sub(Duration::from_millis(head.accepted_ms));
        let accepted = started.checked_sub(accepted_ago).unwrap_or(started);
        let mut places: Vec<(String, usize)> = items
            .iter()
            .enumerate()
            .map(|(place, item)| (item.id.clone(), place))
            .collect();
        places.sort();
        let state = State {
            standings: vec![Standing::Open; items.len()],
            places,
            listed: Vec::new(),
            pending: Vec::new(),
            pending_since: None,
            chunks: 0,
            ended: head.ended,
        };
        Arc::new(Self {
            id,
            head,
            items: items.into_iter().map(Arc::new).collect(),
            had_another_runner: AtomicBool::new(false),
            started,
            accepted,
            state: Mutex::new(state),
            saved: Mutex::default(),
            saved_records: AtomicUsize::new(0),
            view: HeadView::default(),
            listed: Notify::new(),
            pending: Notify::new(),
            given_up: AtomicBool::new(false),
        })
    }

    /// Reads a submission and its log from the store.
    ///
    /// # Errors
    ///
    /// The store did not answer, or lacks a part.
    pub async fn load(
        store: &Store,
        id: &str,
        head: Head,
        clock: &dyn Clock,
    ) -> Result<Arc<Self>, StoreError> {
        let mut items = Vec::new();
        for number in 0..head.parts as usize {
            let object = store
                .read(Kind::SubmissionParts, &numbered(id, number))
                .await?
                .ok_or(StoreError::Missing)?;
            let part: Part = serde_json::from_str(object.value.get())
                .map_err(|error| StoreError::Malformed(error.into()))?;
            items.extend(part.items);
        }
        let board = Self::new(id.to_owned(), head, items, clock);
        board.had_another_runner.store(true, Ordering::Relaxed);
        board.catch_up(store).await?;
        if board.is_running() {
            let records: Vec<UnfinishedTexts> =
                read_numbered(store, Kind::UnfinishedTexts, id, 0).await?;
            board.note_saved_records(records.len());
            let pieces = records.into_iter().flat_map(|record| record.pieces);
            *board.lock_saved() = put_together(pieces.collect());
        }
        Ok(board)
    }

    /// Takes in the chunks that the store has beyond those known here.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn catch_up(&self, store: &Store) -> Result<(), StoreError> {
        let known = self.lock().chunks;
        let chunks: Vec<Chunk> = read_numbered(store, Kind::ResultChunks, &self.id, known).await?;
        for (place, chunk) in chunks.into_iter().enumerate() {
            self.append(known + place, chunk.results);
        }
        Ok(())
    }

    /// Another process may have run it before, and may list results for a while yet.
    #[must_use]
    pub fn had_another_runner(&self) -> bool {
        self.had_another_runner.load(Ordering::Relaxed)
    }

    /// When this process began to run it.
    ///
    /// What may not happen too soon counts from here: giving items up, removing results.
    /// The time of its acceptance is known by two times of day, which jump by seconds;
    /// an item that was given up early is one that its trainer was still owed.
    #[must_use]
    pub const fn started(&self) -> Instant {
        self.started
    }

    /// When its items may be given up.
    #[must_use]
    pub fn expires(&self, route: &Route) -> Instant {
        self.started + Duration::from_millis(route.queue_ttl_ms)
    }

    /// When all its results are due, as far as this process knows: what hangs on it is
    /// only which work goes first. Its acceptance where its route is not known.
    #[must_use]
    pub fn due(&self, config: &Config) -> Instant {
        let route = config.route(&self.head.host, &self.head.path);
        let due_ms = route.map_or(0, |route| route.due_ms);
        self.accepted + Duration::from_millis(due_ms)
    }

    /// The text of an item that an earlier runner saved.
    #[must_use]
    pub fn saved_text(&self, item: &str) -> Option<Progress> {
        let saved = self.lock_saved();
        let at = saved.binary_search_by(|(held, _)| held.as_str().cmp(item));
        at.ok().map(|at| saved[at].1.clone())
    }

    /// What is saved of each item, sorted by item.
    #[must_use]
    pub fn saved_texts(&self) -> Vec<SavedText> {
        let saved = self.lock_saved();
        let texts = saved.iter().map(|(item, text)| SavedText {
            item: item.clone(),
            events: text.events.len(),
            whole: text.whole,
        });
        texts.collect()
    }

    /// Records of unfinished texts that are in the store.
    #[must_use]
    pub fn saved_records(&self) -> usize {
        self.saved_records.load(Ordering::Relaxed)
    }

    /// Notes how many such records there are.
    pub fn note_saved_records(&self, records: usize) {
        self.saved_records.store(records, Ordering::Relaxed);
    }

    fn lock_saved(&self) -> MutexGuard<'_, Vec<(String, Progress)>> {
        self.saved.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how an item ended. A second result of an item is dropped.
    pub fn note(&self, now: Instant, result: ItemResult) {
        let mut state = self.lock();
        let Some(place) = state.place(&result.item) else {
            return;
        };
        if state.standings[place] != Standing::Open {
            return;
        }
        state.standings[place] = Standing::Pending;
        state.pending.push(result);
        state.pending_since.get_or_insert(now);
        drop(state);
        self.pending.notify_one();
    }

    /// Whether an item still needs a draft.
    #[must_use]
    pub fn is_open(&self, place: usize) -> bool {
        self.is_running() && self.lock().standings[place] == Standing::Open
    }

    /// This node runs it, and more of it is wanted.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.given_up.load(Ordering::Acquire) && !self.lock().ended
    }

    /// No more of it is wanted.
    pub fn end(&self) {
        self.lock().ended = true;
        self.view.wake();
        self.pending.notify_one();
        self.listed.notify_waiters();
    }

    /// Another node runs it from now on.
    pub fn give_up(&self) {
        self.given_up.store(true, Ordering::Release);
        self.view.wake();
        self.pending.notify_one();
        self.listed.notify_waiters();
    }

    /// Another node runs it.
    #[must_use]
    pub fn is_given_up(&self) -> bool {
        self.given_up.load(Ordering::Acquire)
    }

    /// Every item is listed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        state.listed.len() == state.standings.len()
    }

    /// Chunks of its log that are known here.
    #[must_use]
    pub fn chunks(&self) -> usize {
        self.lock().chunks
    }

    /// Results from a position on, at most a page; waits for a first one.
    pub async fn results(&self, after: usize, wait: Duration) -> Vec<ItemResult> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let listed = self.listed.notified();
            tokio::pin!(listed);
            // Before the look, so that a result listed in between is not missed.
            listed.as_mut().enable();
            let page = self.page(after);
            if !page.is_empty() || self.is_given_up() {
                return page;
            }
            if tokio::time::timeout_at(until, listed).await.is_err() {
                return Vec::new();
            }
        }
    }

    /// As [`Board::results`] for a step that is due at this age; held for the last group that
    /// its trainer waits for.
    pub async fn results_held(
        &self,
        after: usize,
        wait: Duration,
        due: Duration,
        clock: &dyn Clock,
    ) -> Vec<ItemResult> {
        let asked = clock.now();
        loop {
            let listed = self.listed.notified();
            tokio::pin!(listed);
            // Before the look, so that a result listed in between is not missed.
            listed.as_mut().enable();
            let now = clock.now();
            let waited = now.duration_since(asked);
            let page = self.page(after);
            let is_over = self.is_given_up() || waited >= wait;
            let hold = if page.is_empty() {
                wait.saturating_sub(waited)
            } else {
                self.hold(waited, wait, now.duration_since(self.accepted), due)
            };
            if is_over || hold.is_zero() {
                return page;
            }
            // Late or not, the loop looks again.
            drop(tokio::time::timeout(hold, listed).await);
        }
    }

    fn hold(&self, waited: Duration, may_wait: Duration, age: Duration, due: Duration) -> Duration {
        let state = self.lock();
        if state.ended {
            return Duration::ZERO;
        }
        let asked = Asked {
            waited,
            may_wait,
            whole_groups: state.listed_groups(&self.items),
            target_groups: self.head.target_groups as usize,
            age,
            due,
        };
        asked.hold()
    }

    /// An item that has no result yet.
    #[must_use]
    pub fn unlisted(&self, item: &str) -> Option<Arc<Item>> {
        let place = self.lock().place(item)?;
        Some(Arc::clone(&self.items[place]))
    }

    /// Writes results for as long as this node runs the submission, which is due at this
    /// age; each as it comes unless they are `paced`.
    pub async fn keep_log(
        self: Arc<Self>,
        store: Store,
        clock: Arc<dyn Clock>,
        journal: Journal,
        due: Duration,
        paced: bool,
    ) {
        loop {
            self.gather(&*clock, due, paced).await;
            if self.is_given_up() {
                return;
            }
            let batch = self.lock().take_batch();
            if batch.is_empty() {
                if self.lock().ended || self.is_complete() {
                    return;
                }
                continue;
            }
            self.write(&store, &*clock, &journal, batch).await;
        }
    }

    /// Waits until there are results to write.
    async fn gather(&self, clock: &dyn Clock, due: Duration, paced: bool) {
        loop {
            let write_at = {
                let state = self.lock();
                if state.ended || self.is_given_up() {
                    return;
                }
                let oldest = state.pending_since.unwrap_or_else(|| clock.now());
                let age = oldest.saturating_duration_since(self.accepted);
                let unwritten = state.unwritten(&self.items, self.head.target_groups, age, due);
                let wait = if paced {
                    unwritten.wait()
                } else {
                    Duration::ZERO
                };
                state.pending_since.map(|since| since + wait)
            };
            match write_at {
                None => self.pending.notified().await,
                Some(at) if at <= clock.now() || self.is_all_done() => return,
                Some(at) => {
                    let at = tokio::time::Instant::from_std(at);
                    drop(tokio::time::timeout_at(at, self.pending.notified()).await);
                }
            }
        }
    }

    /// Nothing is to come that a result could wait for.
    fn is_all_done(&self) -> bool {
        let state = self.lock();
        !state.standings.contains(&Standing::Open)
    }

    async fn write(
        &self,
        store: &Store,
        clock: &dyn Clock,
        journal: &Journal,
        results: Vec<ItemResult>,
    ) {
        let chunk = Chunk {
            write: store.write_id(),
            results,
        };
        let number = self.lock().chunks;
        let name = numbered(&self.id, number);
        let started = clock.now();
        while !self.is_given_up() {
            let until = clock.now() + WRITE_PATIENCE;
            let kind = Kind::ResultChunks;
            match store.create(kind, &name, &chunk, &chunk.write, until).await {
                Ok(Created::Now) => {
                    let took_ms = clock.now().duration_since(started).as_millis();
                    journal.event(
                        "results_listed",
                        &[
                            ("submission", &self.id),
                            ("chunk", &number),
                            ("results", &chunk.results.len()),
                            ("took_ms", &took_ms),
                        ],
                    );
                    self.append(number, chunk.results);
                    return;
                }
                Ok(Created::Before) => {
                    journal.event(
                        "results_met",
                        &[("submission", &self.id), ("chunk", &number)],
                    );
                    self.put_back(started, chunk.results);
                    if let Err(error) = self.catch_up(store).await {
                        journal.event(
                            "results_unread",
                            &[("submission", &self.id), ("cause", &error)],
                        );
                    }
                    return;
                }
                Err(error) => {
                    journal.event(
                        "results_unwritten",
                        &[
                            ("submission", &self.id),
                            ("chunk", &number),
                            ("cause", &error),
                        ],
                    );
                    tokio::time::sleep(WRITE_PAUSE).await;
                }
            }
        }
    }

    /// Lists the results of one chunk.
    fn append(&self, number: usize, results: Vec<ItemResult>) {
        let mut state = self.lock();
        if state.chunks != number {
            return;
        }
        state.chunks += 1;
        for result in results {
            let Some(place) = state.place(&result.item) else {
                continue;
            };
            state.standings[place] = Standing::Listed;
            state.pending.retain(|held| held.item != result.item);
            state.listed.push(result);
        }
        drop(state);
        self.listed.notify_waiters();
    }

    /// Gives back results whose chunk another node had made, but for those that are listed.
    ///
    /// **Failure:** while they were on their way to the store, a question had the other
    /// node's chunk taken in. Given back after that, they were written once more: an item
    /// stood at two positions.
    fn put_back(&self, now: Instant, mut results: Vec<ItemResult>) {
        let mut state = self.lock();
        results.retain(|result| {
            let place = state.place(&result.item);
            place.is_some_and(|place| state.standings[place] != Standing::Listed)
        });
        if results.is_empty() {
            return;
        }
        state.pending_since.get_or_insert(now);
        state.pending.splice(0..0, results);
    }

    fn page(&self, after: usize) -> Vec<ItemResult> {
        let state = self.lock();
        let limit_bytes = if state.ended {
            ENDED_PAGE_LIMIT_BYTES
        } else {
            PAGE_LIMIT_BYTES
        };
        let mut size = 0;
        let mut page = Vec::new();
        for result in state.listed.iter().skip(after) {
            size += result_bytes(result);
            if !page.is_empty() && size > limit_bytes {
                break;
            }
            page.push(result.clone());
        }
        page
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn place(&self, item: &str) -> Option<usize> {
        let at = self
            .places
            .binary_search_by(|(id, _)| id.as_str().cmp(item));
        at.ok().map(|at| self.places[at].1)
    }

    /// What decides when the pending results are written.
    fn unwritten(
        &self,
        items: &[Arc<Item>],
        target_groups: u32,
        age: Duration,
        due: Duration,
    ) -> Unwritten {
        let groups = self.by_group(items);
        let groups = groups.chunk_by(|a, b| a.0 == b.0);
        let has = |group: &[(&str, Standing)], wanted| group.iter().any(|held| held.1 == wanted);
        let whole: Vec<_> = groups.filter(|group| !has(group, Standing::Open)).collect();
        Unwritten {
            completes_group: whole.iter().any(|group| has(group, Standing::Pending)),
            whole_groups: whole.len(),
            target_groups: target_groups as usize,
            age,
            due,
        }
    }

    /// Where each item stands, those of one group beside each other.
    fn by_group<'a>(&self, items: &'a [Arc<Item>]) -> Vec<(&'a str, Standing)> {
        let standings = items.iter().zip(&self.standings);
        let mut groups: Vec<(&str, Standing)> = standings
            .map(|(item, standing)| (item.group.as_str(), *standing))
            .collect();
        groups.sort_unstable_by_key(|(group, _)| *group);
        groups
    }

    /// Groups of which every item is listed.
    fn listed_groups(&self, items: &[Arc<Item>]) -> usize {
        let groups = self.by_group(items);
        let groups = groups.chunk_by(|a, b| a.0 == b.0);
        let is_listed = |group: &&[(&str, Standing)]| {
            let mut standings = group.iter().map(|(_, standing)| *standing);
            standings.all(|standing| standing == Standing::Listed)
        };
        groups.filter(is_listed).count()
    }

    /// The pending results that fit one chunk.
    fn take_batch(&mut self) -> Vec<ItemResult> {
        let mut batches = cut(std::mem::take(&mut self.pending), result_bytes);
        if batches.is_empty() {
            self.pending_since = None;
            return Vec::new();
        }
        let first = batches.remove(0);
        self.pending = batches.into_iter().flatten().collect();
        if self.pending.is_empty() {
            self.pending_since = None;
        }
        first
    }
}

/// The records of a submission from a number on, as far as they follow one another.
///
/// A record that another writer has spoilt counts as an empty one: all that read it see
/// the same, so that positions stay, and the records behind it are not lost with it.
async fn read_numbered<T: DeserializeOwned + Default>(
    store: &Store,
    kind: Kind,
    submission: &str,
    from: usize,
) -> Result<Vec<T>, StoreError> {
    let mut records = Vec::new();
    loop {
        let number = from + records.len();
        // Names sort by submission, then number: what follows the last known record
        // begins with the next one, if there is one.
        let after = number.checked_sub(1).map_or_else(
            || format!("{submission}-"),
            |last| numbered(submission, last),
        );
        let call = StoreCall::List {
            kind,
            after,
            freshness: Freshness::Newest,
        };
        let StoreAnswer::Page { objects, more, .. } = store.call(&call).await? else {
            return Err(StoreError::Unknown);
        };
        for object in objects {
            if object.name != numbered(submission, from + records.len()) {
                return Ok(records);
            }
            let record = serde_json::from_str(object.value.get());
            records.push(record.unwrap_or_else(|error| {
                store.note_unreadable(kind, &object.name, &error);
                T::default()
            }));
        }
        if !more || from + records.len() == number {
            return Ok(records);
        }
    }
}
