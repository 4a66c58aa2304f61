//! One held feed: drafts steps, seals lots, answers for them to the trainer, and
//! brings new weights to the engines.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::connection::client::ClientError;
use crate::connection::client::within;
use crate::connection::object::Condition;
use crate::connection::object::ObjectError;
use crate::connection::object::Versioned;
use crate::process::feed::FeedProgram;
use crate::process::feed::record_key;
use crate::request::chunk::Segment;
use crate::request::draft::Completion;
use crate::request::draft::Draft;
use crate::request::draft::Drafted;
use crate::request::draft::read_drafted;
use crate::request::draft::write_draft;
use crate::request::lot::Lot;
use crate::request::lot::Sample;
use crate::request::record::AcceptError;
use crate::request::record::Acceptance;
use crate::request::record::FeedRecord;
use crate::version::config::Feed;
use crate::version::view::Upstream;
use crate::version::view::WireError;

/// Time between renewals: three fit into a lapse, so that two may fail.
const RENEW_EVERY: Duration = Duration::from_secs(3);

/// Drafts of one feed that are out at once; more would only wait at the entries.
const DRAFTS_OUT: usize = 512;

/// Pause before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What an entry may take beyond the draft's own patience.
const DRAFT_GRACE: Duration = Duration::from_secs(2);

/// The trainer gives prompts and scores within this, or is asked again.
const TRAINER_TIMEOUT: Duration = Duration::from_secs(30);

/// Engines that load weights at once: a bounded wave, so that neither the weight
/// store nor live calls are met by all engines swapping together.
const WEIGHT_WAVE: usize = 4;

/// An engine that has not loaded by then is asked again.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between looks at the versions that engines report.
const WEIGHT_LOOK_EVERY: Duration = Duration::from_secs(2);

/// A holder that lost track of its last write waits this long between looks.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// A sample sent for scoring.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScoreSample {
    /// Group of the step.
    pub group: u32,
    /// Sample of the group.
    pub index: u32,
    /// The whole text.
    pub text: String,
}

/// Body of a scoring call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// Step of the feed.
    pub step: u64,
    /// Samples of one group.
    pub samples: Vec<ScoreSample>,
}

/// Order to an engine to serve a model at a weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WeightOrder {
    /// Model, or adapter.
    pub model: String,
    /// Version to be at.
    pub version: u64,
    /// Epoch of the holder; engines that check fencing refuse an older one.
    pub fence: u64,
}

/// What an engine says of one model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelState {
    /// Version that it serves.
    pub version: u64,
}

/// A feed that this VM holds.
#[derive(Debug)]
pub struct Holder {
    program: Rc<FeedProgram>,
    name: String,
    epoch: u64,
    record: RefCell<Versioned<FeedRecord>>,
    /// One write at a time: each is made against the version of the one before.
    writing: tokio::sync::Mutex<()>,
    lots: RefCell<Vec<Rc<Lot>>>,
    changes: watch::Sender<u64>,
    lost: CancellationToken,
    drafts_out: Semaphore,
    random: RefCell<Pcg64Mcg>,
}

impl Holder {
    /// A holder of the feed as its record stands.
    #[must_use]
    pub fn new(program: Rc<FeedProgram>, name: String, record: Versioned<FeedRecord>) -> Rc<Self> {
        let epoch = record.value.epoch;
        let random = program.parts.random(epoch);
        Rc::new(Self {
            program,
            name,
            epoch,
            record: RefCell::new(record),
            writing: tokio::sync::Mutex::new(()),
            lots: RefCell::default(),
            changes: watch::Sender::new(0),
            lost: CancellationToken::new(),
            drafts_out: Semaphore::new(DRAFTS_OUT),
            random: RefCell::new(random),
        })
    }

    /// Works for the feed until another holder takes it, it is released, or it
    /// leaves the configuration.
    pub async fn run(self: &Rc<Self>) {
        let work = Box::pin(async {
            tokio::join!(biased; self.renew_forever(), self.draft_forever(), self.order_weights());
        });
        _ = self.lost.run_until_cancelled(work).await;
    }

    /// The record as this holder last wrote it.
    #[must_use]
    pub fn record(&self) -> FeedRecord {
        self.record.borrow().value.clone()
    }

    /// The samples of a sealed or accepted lot.
    #[must_use]
    pub fn lot(&self, step: u64, generation: u64) -> Option<Rc<Lot>> {
        let lots = self.lots.borrow();
        lots.iter()
            .find(|lot| lot.step == step && lot.generation == generation)
            .cloned()
    }

    /// Tells when the record changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Accepts a lot for the trainer.
    ///
    /// # Errors
    ///
    /// The inner error says why the lot is not accepted; a lot that is too old
    /// is voided and drafted anew.
    pub async fn accept(
        &self,
        acceptance: &Acceptance,
    ) -> Result<Result<(), AcceptError>, ObjectError> {
        let bound = self
            .config()
            .map_or(0, |feed| feed.staleness_bound_versions);
        let mut outcome = Ok(());
        self.update(|record| match record.with_accepted(acceptance, bound) {
            Ok(next) => next,
            Err(error) => {
                outcome = Err(error);
                (error == AcceptError::Stale).then(|| record.with_voided(acceptance.step))
            }
        })
        .await?;
        Ok(outcome)
    }

    /// Notes a weight version that the trainer published.
    ///
    /// # Errors
    ///
    /// The object API refused, or another holder has the feed.
    pub async fn publish_weights(&self, version: u64) -> Result<(), ObjectError> {
        self.update(|record| record.with_weights(version)).await
    }

    /// Gives the feed up.
    pub async fn release(&self) {
        // If this write fails, others take the feed once the lease has lapsed.
        _ = within(RENEW_EVERY, self.update(|record| Some(record.released()))).await;
        self.lost.cancel();
    }

    /// Writes the record's next state, or nothing if there is none.
    ///
    /// A write that may or may not have taken effect is settled before the next
    /// one is made; a record that another wrote ends the hold.
    async fn update(
        &self,
        mut next: impl FnMut(&FeedRecord) -> Option<FeedRecord>,
    ) -> Result<(), ObjectError> {
        let _one_at_a_time = self.writing.lock().await;
        let held = self.record.borrow().clone();
        let Some(mut value) = next(&held.value) else {
            return Ok(());
        };
        value.write_id = self.program.api.write_id();
        let key = record_key(&self.name);
        let written = self
            .program
            .api
            .write(&key, &value, &Condition::At(held.etag.clone()))
            .await;
        let written = match written {
            Err(ObjectError::Unknown(_)) => self.settle(&held, &value).await,
            written => written.map(|etag| Versioned { etag, value }),
        };
        match written {
            Ok(record) => {
                *self.record.borrow_mut() = record;
                self.drop_old_lots();
                self.changes.send_modify(|count| *count += 1);
                Ok(())
            }
            Err(ObjectError::Conflict) => {
                self.lost.cancel();
                Err(ObjectError::Conflict)
            }
            Err(error) => Err(error),
        }
    }

    /// Finds out whether a write took effect, however long the platform is away.
    async fn settle(
        &self,
        held: &Versioned<FeedRecord>,
        value: &FeedRecord,
    ) -> Result<Versioned<FeedRecord>, ObjectError> {
        let key = record_key(&self.name);
        let condition = Condition::At(held.etag.clone());
        loop {
            tokio::time::sleep(SETTLE_PAUSE).await;
            match self.program.api.read::<FeedRecord>(&key).await {
                Ok(Some(found)) if found.value.write_id == value.write_id => return Ok(found),
                Ok(Some(found)) if found.etag == held.etag => {
                    if let Ok(etag) = self.program.api.write(&key, value, &condition).await {
                        return Ok(Versioned {
                            etag,
                            value: value.clone(),
                        });
                    }
                }
                Ok(_) => return Err(ObjectError::Conflict),
                Err(_) => {}
            }
        }
    }

    async fn renew_forever(&self) {
        loop {
            tokio::time::sleep(RENEW_EVERY).await;
            if self.config().is_none() {
                self.release().await;
                return;
            }
            drop(self.update(|record| Some(record.renewed())).await);
        }
    }

    async fn draft_forever(&self) {
        let mut changes = self.changes();
        loop {
            let Some(feed) = self.config() else {
                return;
            };
            let record = self.record();
            let ahead = record.sealed.len() >= feed.steps_ahead as usize;
            if ahead || record.weight_version == 0 || self.program.parts.tasks.is_draining() {
                drop(changes.changed().await);
                continue;
            }
            let (step, generation) = (record.next_step(), record.next_generation);
            let samples = self.draft_step(&feed, step).await;
            self.seal(Lot::seal(&self.name, step, generation, samples))
                .await;
        }
    }

    /// Seals a whole lot. A lot that was overtaken by a void is dropped, and its
    /// step drafted anew.
    async fn seal(&self, lot: Lot) {
        let lot = Rc::new(lot);
        self.lots.borrow_mut().push(Rc::clone(&lot));
        loop {
            match self.update(|record| record.with_sealed(lot.record())).await {
                Ok(()) => break,
                Err(ObjectError::Conflict) => return,
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        let samples = lot.samples.len();
        self.program.parts.journal.event(
            "lot_sealed",
            &[
                ("feed", &self.name),
                ("step", &lot.step),
                ("samples", &samples),
            ],
        );
    }

    fn drop_old_lots(&self) {
        let record = self.record.borrow();
        let kept = |lot: &Rc<Lot>| {
            let same = |held: &crate::request::record::LotRecord| {
                held.step == lot.step && held.generation == lot.generation
            };
            let pending = lot.generation >= record.value.next_generation;
            pending
                || record.value.sealed.iter().any(same)
                || record.value.accepted.as_ref().is_some_and(same)
        };
        self.lots.borrow_mut().retain(kept);
    }

    async fn draft_step(&self, feed: &Feed, step: u64) -> Vec<Sample> {
        let prompts = self.prompts(feed, step).await;
        let groups = prompts
            .iter()
            .enumerate()
            .map(|(group, prompt)| self.draft_group(feed, step, group as u32, prompt));
        let mut samples: Vec<Sample> = join_all(groups).await.into_iter().flatten().collect();
        samples.sort_by_key(|sample| (sample.group, sample.index));
        samples
    }

    async fn prompts(&self, feed: &Feed, step: u64) -> Vec<String> {
        let path = format!("/steps/{step}/prompts?groups={}", feed.groups_per_step);
        let http = self.program.parts.http();
        loop {
            let asked: Result<Vec<String>, ClientError> =
                http.get(feed.trainer, &path, TRAINER_TIMEOUT).await;
            match asked {
                Ok(prompts) if prompts.len() == feed.groups_per_step as usize => return prompts,
                Ok(_) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn draft_group(&self, feed: &Feed, step: u64, group: u32, prompt: &str) -> Vec<Sample> {
        let drafts = (0..feed.samples_per_group)
            .map(|index| self.draft_sample(feed, step, group, index, prompt));
        let drafted = join_all(drafts).await;
        let rewards = self.score(feed, step, group, &drafted).await;
        let mut samples = Vec::with_capacity(drafted.len());
        for (index, ((attempt, segments), reward)) in drafted.into_iter().zip(rewards).enumerate() {
            samples.push(Sample {
                group,
                index: index as u32,
                attempt,
                reward,
                segments,
            });
        }
        samples
    }

    async fn score(
        &self,
        feed: &Feed,
        step: u64,
        group: u32,
        drafted: &[(u32, Vec<Segment>)],
    ) -> Vec<f64> {
        let text_of = |segments: &[Segment]| segments.iter().map(|part| &*part.text).collect();
        let samples = drafted
            .iter()
            .enumerate()
            .map(|(index, (_, segments))| ScoreSample {
                group,
                index: index as u32,
                text: text_of(segments),
            });
        let request = ScoreRequest {
            step,
            samples: samples.collect(),
        };
        let http = self.program.parts.http();
        loop {
            let scored: Result<Vec<f64>, ClientError> = http
                .post(feed.trainer, "/score", &request, TRAINER_TIMEOUT)
                .await;
            match scored {
                Ok(rewards) if rewards.len() == drafted.len() => return rewards,
                Ok(_) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Drafts one sample, as often as it takes.
    async fn draft_sample(
        &self,
        feed: &Feed,
        step: u64,
        group: u32,
        index: u32,
        prompt: &str,
    ) -> (u32, Vec<Segment>) {
        let mut attempt = 0;
        loop {
            let draft = Draft {
                feed: self.name.clone(),
                step,
                group,
                index,
                attempt,
                epoch: self.epoch,
                service: feed.service.clone(),
                completion: Completion {
                    model: feed.model.clone(),
                    prompt: prompt.to_owned(),
                    max_tokens: feed.max_tokens,
                    stream: true,
                },
                patience: feed.draft_timeout(),
            };
            match self.hand_to_entry(&draft).await {
                Ok(Drafted::Answered(segments)) if self.is_fresh(feed, &segments) => {
                    return (attempt, segments);
                }
                Ok(Drafted::Answered(_) | Drafted::Failed(_)) => {
                    tokio::time::sleep(self.jitter(RETRY_PAUSE)).await;
                }
                Ok(Drafted::NotRun { retry_after, .. }) => {
                    tokio::time::sleep(self.jitter(retry_after)).await;
                }
                Err(_) => tokio::time::sleep(self.jitter(RETRY_PAUSE)).await,
            }
            attempt += 1;
        }
    }

    /// A sample that is already too old for the trainer's present version would
    /// spoil its whole lot at acceptance.
    fn is_fresh(&self, feed: &Feed, segments: &[Segment]) -> bool {
        let newest = self.record.borrow().value.weight_version;
        let oldest = segments.iter().map(|segment| segment.weight_version).min();
        oldest.is_some_and(|oldest| newest.saturating_sub(oldest) <= feed.staleness_bound_versions)
    }

    /// Hands a draft to the entry of some live VM, another one at each attempt.
    async fn hand_to_entry(&self, draft: &Draft) -> Result<Drafted, WireError> {
        let Ok(_out) = self.drafts_out.acquire().await else {
            return Ok(Drafted::Failed("stopped".to_owned()));
        };
        let view = self.program.view.load_full();
        let slot = (draft.group + draft.index + draft.attempt) as usize;
        let live = view.live_members().count();
        let Some(member) = view.live_members().nth(slot % live.max(1)) else {
            return Ok(Drafted::Failed("no live entry".to_owned()));
        };
        let to = member.draft_address;
        let call = async {
            let entry = self.program.entries.get(to).await?;
            let mut request = entry.draft_request();
            write_draft(draft, request.get().init_draft());
            let response = request.send().promise.await?;
            read_drafted(response.get()?.get_answer()?)
        };
        let drafted = within(draft.patience + DRAFT_GRACE, call).await;
        if !matches!(drafted, Some(Ok(_))) {
            self.program.entries.forget(to);
        }
        drafted.unwrap_or_else(|| Ok(Drafted::Failed("entry timeout".to_owned())))
    }

    /// Keeps every engine of the feed at the published version: orders it, reads
    /// it back, and orders again where a swap failed or an engine restarted.
    async fn order_weights(&self) {
        loop {
            let version = self.record.borrow().value.weight_version;
            if let Some(feed) = self.config().filter(|_| version > 0) {
                let view = self.program.view.load_full();
                let engines = view
                    .upstreams_of(&feed.service)
                    .iter()
                    .filter(|it| !it.leaving);
                stream::iter(engines)
                    .map(|engine| self.bring_up_to(engine, &feed, version))
                    .buffer_unordered(WEIGHT_WAVE)
                    .collect::<()>()
                    .await;
            }
            let mut changes = self.changes();
            let newer = changes.wait_for(|_| self.record.borrow().value.weight_version > version);
            drop(within(WEIGHT_LOOK_EVERY, newer).await);
        }
    }

    async fn bring_up_to(&self, engine: &Upstream, feed: &Feed, version: u64) {
        let http = self.program.parts.http();
        let path = format!("/models/{}", feed.model);
        let reported: Result<ModelState, ClientError> =
            http.get(engine.address, &path, WEIGHT_LOOK_EVERY).await;
        if reported.is_ok_and(|state| state.version >= version) {
            return;
        }
        let order = WeightOrder {
            model: feed.model.clone(),
            version,
            fence: self.epoch,
        };
        let ordered: Result<ModelState, ClientError> = http
            .post(engine.address, "/orders/weights", &order, WEIGHT_TIMEOUT)
            .await;
        if let Err(error) = ordered {
            self.program.parts.journal.event(
                "weight_order_failed",
                &[
                    ("feed", &self.name),
                    ("engine", &engine.address),
                    ("error", &error),
                ],
            );
        }
    }

    fn jitter(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.random.borrow_mut().random_range(0.5..1.0))
    }

    fn config(&self) -> Option<Feed> {
        self.program.view.load().config.feed(&self.name).cloned()
    }
}
