//! A submission that this node runs: the state of its items and its durable result log.
//!
//! The log is a sequence of consecutively numbered chunks in the platform store. Each is
//! created once and never changed. If two nodes both believe that they run a submission,
//! only one of them creates the next chunk; the other reads that chunk and appends after
//! it. So no item is listed twice and no position changes, without a lease or a clock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use firweir::connection::memory_budget::Reservation;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::long_poll::LongPoll;
use firweir_policy::write_batching::UnwrittenResults;
use tokio::sync::Notify;

use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::model::Config;
use crate::model::Item;
use crate::model::ItemResult;
use crate::model::Route;
use crate::store::CreateOutcome;
use crate::store::Store;
use crate::submission::head_view::HeadView;
use crate::submission::records::Head;
use crate::submission::records::ResultChunk;
use crate::submission::records::SubmissionPart;
use crate::submission::records::UnfinishedTexts;
use crate::submission::records::estimated_result_bytes;
use crate::submission::records::read_records;
use crate::submission::records::record_name;
use crate::submission::records::split_into_records;
use crate::submission::texts::SampleProgress;
use crate::submission::texts::SavedText;
use crate::submission::texts::join_pieces;

/// How long a write is retried before the writer checks again whether this node still runs
/// the submission.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after a failed write: store outages last seconds, and refused calls cost too.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Size limit of a page of results. A trainer polls an open step twice a second and needs
/// everything that is listed.
const PAGE_LIMIT_BYTES: usize = 900_000;

/// Size limit of a page of an ended submission. Many clients read it from the start at once,
/// and each page travels from the runner to the queried node over shared links: with larger
/// pages all of these reads time out and are retried, and none succeeds.
const ENDED_PAGE_LIMIT_BYTES: usize = 250_000;

/// State of an item's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemStatus {
    /// It has no result yet.
    Open,
    /// Its result is not in the log yet.
    Pending,
    /// Its result is in the log.
    Listed,
}

#[derive(Debug)]
struct State {
    statuses: Vec<ItemStatus>,
    /// Item ids with their indexes in the trainer's order, sorted by id.
    index_by_id: Vec<(String, usize)>,
    listed: Vec<ItemResult>,
    pending: Vec<ItemResult>,
    pending_since: Option<Instant>,
    chunks: usize,
    ended: bool,
}

/// A submission that this node runs.
#[derive(Debug)]
pub struct LocalSubmission {
    /// Its id.
    pub id: String,
    /// Its head when this node began to run it.
    pub head: Head,
    /// Its items, in the trainer's order.
    pub items: Vec<Arc<Item>>,
    /// Whether another process may have run it before.
    had_previous_runner: AtomicBool,
    /// When this process began to run it.
    started: Instant,
    /// Estimated time of acceptance. If another node accepted it, this is before `started`,
    /// by the wall clocks of both nodes.
    accepted: Instant,
    state: Mutex<State>,
    /// Texts of items that an earlier runner saved, sorted by item.
    saved: Mutex<Vec<(String, SampleProgress)>>,
    saved_record_count: AtomicUsize,
    /// When the head was last read; samples start only after a recent read.
    pub head_view: HeadView,
    results_listed: Notify,
    results_pending: Notify,
    /// Whether another node runs it now.
    released: AtomicBool,
    /// Memory of the requests' budget that its items take; none if it was loaded from the store.
    memory: OnceLock<Arc<Reservation>>,
}

impl LocalSubmission {
    /// Keeps the memory that its items take for as long as they are here.
    pub fn keep_memory(&self, memory: Arc<Reservation>) {
        // Nobody else sets it.
        drop(self.memory.set(memory));
    }

    /// Creates a submission without results.
    #[must_use]
    pub fn new(id: String, head: Head, items: Vec<Item>, clock: &dyn Clock) -> Arc<Self> {
        let started = clock.now();
        let accepted_ago = clock
            .since_epoch()
            .saturating_sub(Duration::from_millis(head.accepted_ms));
        let accepted = started.checked_sub(accepted_ago).unwrap_or(started);
        let mut index_by_id: Vec<(String, usize)> = items
            .iter()
            .enumerate()
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        index_by_id.sort();
        let state = State {
            statuses: vec![ItemStatus::Open; items.len()],
            index_by_id,
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
            had_previous_runner: AtomicBool::new(false),
            started,
            accepted,
            state: Mutex::new(state),
            saved: Mutex::default(),
            saved_record_count: AtomicUsize::new(0),
            head_view: HeadView::default(),
            results_listed: Notify::new(),
            results_pending: Notify::new(),
            released: AtomicBool::new(false),
            memory: OnceLock::new(),
        })
    }

    /// Reads a submission and its log from the store.
    ///
    /// # Errors
    ///
    /// The store did not answer, or a part is missing or malformed.
    pub async fn load(
        store: &Store,
        id: &str,
        head: Head,
        clock: &dyn Clock,
    ) -> Result<Arc<Self>, StoreError> {
        let mut items = Vec::new();
        for number in 0..head.parts as usize {
            let object = store
                .read(ObjectKind::SubmissionParts, &record_name(id, number))
                .await?
                .ok_or(StoreError::Missing)?;
            let part: SubmissionPart = serde_json::from_str(object.value.get())
                .map_err(|error| StoreError::Malformed(error.into()))?;
            items.extend(part.items);
        }
        let submission = Self::new(id.to_owned(), head, items, clock);
        submission
            .had_previous_runner
            .store(true, Ordering::Relaxed);
        submission.catch_up(store).await?;
        if submission.is_running() {
            let records: Vec<UnfinishedTexts> =
                read_records(store, ObjectKind::UnfinishedTexts, id, 0).await?;
            submission.set_saved_record_count(records.len());
            let pieces = records.into_iter().flat_map(|record| record.pieces);
            *submission.lock_saved() = join_pieces(pieces.collect());
        }
        Ok(submission)
    }

    /// Reads the chunks that other runners have added to the log.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn catch_up(&self, store: &Store) -> Result<(), StoreError> {
        let known = self.lock().chunks;
        let chunks: Vec<ResultChunk> =
            read_records(store, ObjectKind::ResultChunks, &self.id, known).await?;
        for (offset, chunk) in chunks.into_iter().enumerate() {
            self.append(known + offset, chunk.results);
        }
        Ok(())
    }

    /// Whether another process may have run it before, and may still list results.
    #[must_use]
    pub fn had_previous_runner(&self) -> bool {
        self.had_previous_runner.load(Ordering::Relaxed)
    }

    /// When this process began to run it.
    ///
    /// Expiry of items and removal of results count from here, as neither may happen early.
    /// The time of acceptance depends on the wall clocks of two nodes, which jump by seconds;
    /// an item that expired early would be missing for its trainer.
    #[must_use]
    pub const fn started(&self) -> Instant {
        self.started
    }

    /// When its unfinished items expire.
    #[must_use]
    pub fn expires_at(&self, route: &Route) -> Instant {
        self.started + Duration::from_millis(route.queue_ttl_ms)
    }

    /// When all its results are due, or its time of acceptance if its route is not known. An
    /// estimate: it affects only the order of work.
    #[must_use]
    pub fn due_at(&self, config: &Config) -> Instant {
        let route = config.route(&self.head.host, &self.head.path);
        let due_ms = route.map_or(0, |route| route.due_ms);
        self.accepted + Duration::from_millis(due_ms)
    }

    /// Returns the text of an item that an earlier runner saved.
    #[must_use]
    pub fn saved_text(&self, item: &str) -> Option<SampleProgress> {
        let saved = self.lock_saved();
        let found = saved.binary_search_by(|(id, _)| id.as_str().cmp(item));
        found.ok().map(|index| saved[index].1.clone())
    }

    /// Returns how much of each item's text is saved, sorted by item.
    #[must_use]
    pub fn saved_texts(&self) -> Vec<SavedText> {
        let saved = self.lock_saved();
        let texts = saved.iter().map(|(item, text)| SavedText {
            item: item.clone(),
            events: text.events.len(),
            complete: text.complete,
        });
        texts.collect()
    }

    /// Number of records of unfinished texts in the store.
    #[must_use]
    pub fn saved_record_count(&self) -> usize {
        self.saved_record_count.load(Ordering::Relaxed)
    }

    /// Sets the number of records of unfinished texts in the store.
    pub fn set_saved_record_count(&self, records: usize) {
        self.saved_record_count.store(records, Ordering::Relaxed);
    }

    fn lock_saved(&self) -> MutexGuard<'_, Vec<(String, SampleProgress)>> {
        self.saved.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the result of an item, to be written to the log. A second result is dropped.
    pub fn add_result(&self, now: Instant, result: ItemResult) {
        let mut state = self.lock();
        let Some(index) = state.index_of(&result.item) else {
            return;
        };
        if state.statuses[index] != ItemStatus::Open {
            return;
        }
        state.statuses[index] = ItemStatus::Pending;
        state.pending.push(result);
        state.pending_since.get_or_insert(now);
        drop(state);
        self.results_pending.notify_one();
    }

    /// Whether an item, by its index, still needs a result.
    #[must_use]
    pub fn is_item_open(&self, index: usize) -> bool {
        self.is_running() && self.lock().statuses[index] == ItemStatus::Open
    }

    /// Whether this node runs it and it has not ended.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.released.load(Ordering::Acquire) && !self.lock().ended
    }

    /// Ends it: no more results are wanted.
    pub fn end(&self) {
        self.lock().ended = true;
        self.head_view.wake_waiters();
        self.results_pending.notify_one();
        self.results_listed.notify_waiters();
    }

    /// Stops running it here, as another node runs it now.
    pub fn release(&self) {
        self.released.store(true, Ordering::Release);
        self.head_view.wake_waiters();
        self.results_pending.notify_one();
        self.results_listed.notify_waiters();
    }

    /// Whether another node runs it now.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.released.load(Ordering::Acquire)
    }

    /// Whether every item is listed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        state.listed.len() == state.statuses.len()
    }

    /// Number of chunks of its log that this node has read or written.
    #[must_use]
    pub fn chunk_count(&self) -> usize {
        self.lock().chunks
    }

    /// Returns a page of results from a position on. If there is none yet, waits up to `wait`
    /// for the first one.
    pub async fn results(&self, after: usize, wait: Duration) -> Vec<ItemResult> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let listed = self.results_listed.notified();
            tokio::pin!(listed);
            // Registered before the page is read, so that no notification is missed.
            listed.as_mut().enable();
            let page = self.page(after);
            if !page.is_empty() || self.is_released() {
                return page;
            }
            if tokio::time::timeout_at(deadline, listed).await.is_err() {
                return Vec::new();
            }
        }
    }

    /// Like [`LocalSubmission::results`], but holds a page back until the last group that the
    /// trainer waits for is complete, within `wait` and the limits of
    /// [`LongPoll::remaining_hold`]. The step is due at the age `due`.
    pub async fn results_held(
        &self,
        after: usize,
        wait: Duration,
        due: Duration,
        clock: &dyn Clock,
    ) -> Vec<ItemResult> {
        let received = clock.now();
        loop {
            let listed = self.results_listed.notified();
            tokio::pin!(listed);
            // Registered before the page is read, so that no notification is missed.
            listed.as_mut().enable();
            let now = clock.now();
            let waited = now.duration_since(received);
            let page = self.page(after);
            let is_over = self.is_released() || waited >= wait;
            let hold = if page.is_empty() {
                wait.saturating_sub(waited)
            } else {
                self.remaining_hold(waited, wait, now.duration_since(self.accepted), due)
            };
            if is_over || hold.is_zero() {
                return page;
            }
            // The page is read again after a timeout, too.
            drop(tokio::time::timeout(hold, listed).await);
        }
    }

    fn remaining_hold(
        &self,
        waited: Duration,
        max_wait: Duration,
        age: Duration,
        due: Duration,
    ) -> Duration {
        let state = self.lock();
        if state.ended {
            return Duration::ZERO;
        }
        let poll = LongPoll {
            waited,
            max_wait,
            complete_groups: state.listed_group_count(&self.items),
            target_groups: self.head.target_groups as usize,
            step_age: age,
            step_due: due,
        };
        poll.remaining_hold()
    }

    /// Returns an item by its id.
    #[must_use]
    pub fn find_item(&self, item: &str) -> Option<Arc<Item>> {
        let index = self.lock().index_of(item)?;
        Some(Arc::clone(&self.items[index]))
    }

    /// Writes results to the log for as long as this node runs the submission, which is due at
    /// the age `due`. Unless `paced`, each result is written at once instead of in batches.
    pub async fn write_log(
        self: Arc<Self>,
        store: Store,
        clock: Arc<dyn Clock>,
        journal: Journal,
        due: Duration,
        paced: bool,
    ) {
        loop {
            self.wait_for_batch(&*clock, due, paced).await;
            if self.is_released() {
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

    /// Waits until pending results are to be written, or the submission ends here.
    async fn wait_for_batch(&self, clock: &dyn Clock, due: Duration, paced: bool) {
        loop {
            let write_at = {
                let state = self.lock();
                if state.ended || self.is_released() {
                    return;
                }
                let oldest = state.pending_since.unwrap_or_else(|| clock.now());
                let age = oldest.saturating_duration_since(self.accepted);
                let unwritten =
                    state.unwritten_results(&self.items, self.head.target_groups, age, due);
                let wait = if paced {
                    unwritten.write_delay()
                } else {
                    Duration::ZERO
                };
                state.pending_since.map(|since| since + wait)
            };
            match write_at {
                None => self.results_pending.notified().await,
                Some(at) if at <= clock.now() || self.has_all_results() => return,
                Some(at) => {
                    let at = tokio::time::Instant::from_std(at);
                    drop(tokio::time::timeout_at(at, self.results_pending.notified()).await);
                }
            }
        }
    }

    /// Whether every item has a result, so that no further ones can join a batch.
    fn has_all_results(&self) -> bool {
        let state = self.lock();
        !state.statuses.contains(&ItemStatus::Open)
    }

    async fn write(
        &self,
        store: &Store,
        clock: &dyn Clock,
        journal: &Journal,
        results: Vec<ItemResult>,
    ) {
        let chunk = ResultChunk {
            write: store.write_id(),
            results,
        };
        let number = self.lock().chunks;
        let name = record_name(&self.id, number);
        let started = clock.now();
        while !self.is_released() {
            let until = clock.now() + WRITE_TIMEOUT;
            let kind = ObjectKind::ResultChunks;
            match store.create(kind, &name, &chunk, &chunk.write, until).await {
                Ok(CreateOutcome::Created) => {
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
                Ok(CreateOutcome::AlreadyExists) => {
                    journal.event(
                        "results_met",
                        &[("submission", &self.id), ("chunk", &number)],
                    );
                    self.requeue(started, chunk.results);
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
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Lists the results of a chunk of the log, unless they are listed already.
    fn append(&self, number: usize, results: Vec<ItemResult>) {
        let mut state = self.lock();
        if state.chunks != number {
            return;
        }
        state.chunks += 1;
        for result in results {
            let Some(index) = state.index_of(&result.item) else {
                continue;
            };
            state.statuses[index] = ItemStatus::Listed;
            state.pending.retain(|other| other.item != result.item);
            state.listed.push(result);
        }
        drop(state);
        self.results_listed.notify_waiters();
    }

    /// Makes results pending again after another node created their chunk, except those that
    /// are listed.
    ///
    /// A concurrent [`LocalSubmission::catch_up`] may have read the other node's chunk during the
    /// write. Without the filter its items would be written again, and have two positions in the
    /// log.
    fn requeue(&self, now: Instant, mut results: Vec<ItemResult>) {
        let mut state = self.lock();
        results.retain(|result| {
            let index = state.index_of(&result.item);
            index.is_some_and(|index| state.statuses[index] != ItemStatus::Listed)
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
            size += estimated_result_bytes(result);
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
    fn index_of(&self, item: &str) -> Option<usize> {
        let at = self
            .index_by_id
            .binary_search_by(|(id, _)| id.as_str().cmp(item));
        at.ok().map(|at| self.index_by_id[at].1)
    }

    /// Describes the pending results, to decide when they are written.
    fn unwritten_results(
        &self,
        items: &[Arc<Item>],
        target_groups: u32,
        age: Duration,
        due: Duration,
    ) -> UnwrittenResults {
        let groups = self.statuses_by_group(items);
        let groups = groups.chunk_by(|a, b| a.0 == b.0);
        let has = |group: &[(&str, ItemStatus)], wanted| group.iter().any(|item| item.1 == wanted);
        let complete: Vec<_> = groups
            .filter(|group| !has(group, ItemStatus::Open))
            .collect();
        UnwrittenResults {
            completes_group: complete.iter().any(|group| has(group, ItemStatus::Pending)),
            complete_groups: complete.len(),
            target_groups: target_groups as usize,
            age,
            due,
        }
    }

    /// Returns the group and status of each item, sorted by group.
    fn statuses_by_group<'a>(&self, items: &'a [Arc<Item>]) -> Vec<(&'a str, ItemStatus)> {
        let statuses = items.iter().zip(&self.statuses);
        let mut groups: Vec<(&str, ItemStatus)> = statuses
            .map(|(item, status)| (item.group.as_str(), *status))
            .collect();
        groups.sort_unstable_by_key(|(group, _)| *group);
        groups
    }

    /// Counts the groups of which every item is listed.
    fn listed_group_count(&self, items: &[Arc<Item>]) -> usize {
        let groups = self.statuses_by_group(items);
        let groups = groups.chunk_by(|a, b| a.0 == b.0);
        let is_listed = |group: &&[(&str, ItemStatus)]| {
            let mut statuses = group.iter().map(|(_, status)| *status);
            statuses.all(|status| status == ItemStatus::Listed)
        };
        groups.filter(is_listed).count()
    }

    /// Takes the oldest pending results, as many as fit one chunk.
    fn take_batch(&mut self) -> Vec<ItemResult> {
        let mut batches =
            split_into_records(std::mem::take(&mut self.pending), estimated_result_bytes);
        if batches.is_empty() {
            self.pending_since = None;
            return Vec::new();
        }
        let batch = batches.remove(0);
        self.pending = batches.into_iter().flatten().collect();
        if self.pending.is_empty() {
            self.pending_since = None;
        }
        batch
    }
}
