//! One held feed: drafts steps, seals lots, answers for them to the trainer, and
//! brings new weights to the engines.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::step_pacing::StepPacer;
use firweir_policy::straggler::PromptLengths;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::connection::client::within;
use crate::connection::object::Condition;
use crate::connection::object::ObjectError;
use crate::connection::object::Versioned;
use crate::process::copies::Fetched;
use crate::process::copies::RETRY_PAUSE;
use crate::process::feed::FeedProgram;
use crate::process::feed::record_key;
use crate::process::watched::Watched;
use crate::process::watched::Watcher;
use crate::request::lot::Lot;
use crate::request::record::AcceptError;
use crate::request::record::Acceptance;
use crate::request::record::FeedRecord;
use crate::version::config::Feed;

/// Time between renewals: three fit into a lapse, so that two may fail.
const RENEW_EVERY: Duration = Duration::from_secs(3);

/// Drafts of one feed that are out at once; more would only wait at the entries.
const DRAFTS_OUT: usize = 512;

/// A holder that lost track of its last write waits this long between looks.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// The lot that was accepted last.
#[derive(Debug)]
pub(crate) enum AcceptedLot {
    /// No lot was accepted yet.
    NoneYet,
    /// Its bytes.
    Lot(Rc<Lot>),
    /// Its bytes are lost for good.
    Lost,
    /// A vault that may have them does not answer.
    Unreachable,
}

/// A feed that this VM holds.
#[derive(Debug)]
pub struct Holder {
    pub(crate) program: Rc<FeedProgram>,
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) record: RefCell<Versioned<FeedRecord>>,
    /// One write at a time: each is made against the version of the one before.
    writing: tokio::sync::Mutex<()>,
    lots: RefCell<Vec<Rc<Lot>>>,
    changes: Watched<u64>,
    lost: CancellationToken,
    pub(crate) drafts_out: Semaphore,
    /// Lengths of answers by prompt; a new holder learns them anew.
    pub(crate) lengths: RefCell<PromptLengths>,
    /// When the next step starts; a new holder learns this anew too.
    pub(crate) pace: RefCell<StepPacer>,
    pub(crate) random: RefCell<Pcg64Mcg>,
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
            changes: Watched::new(0),
            lost: CancellationToken::new(),
            drafts_out: Semaphore::new(DRAFTS_OUT),
            lengths: RefCell::default(),
            pace: RefCell::default(),
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
    pub fn changes(&self) -> Watcher<u64> {
        self.changes.watch()
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
        if outcome.is_ok() {
            self.pace.borrow_mut().record_step_accepted(self.now());
        }
        Ok(outcome)
    }

    /// The time.
    pub(crate) fn now(&self) -> Instant {
        self.program.parts.clock.now()
    }

    /// Logs how long a trainer waited, and for which lot if it got one.
    pub(crate) fn note_take(&self, started: Instant, lot: Option<&Lot>) {
        let wait_ms = self.now().duration_since(started).as_millis();
        let step = lot.map_or("none".to_owned(), |lot| lot.step.to_string());
        self.program.parts.journal.event(
            "lot_taken",
            &[("feed", &self.name), ("step", &step), ("wait_ms", &wait_ms)],
        );
    }

    /// Logs how old an accepted lot was for its trainer.
    pub(crate) fn note_acceptance(&self, acceptance: &Acceptance) {
        let accepted = self.record().accepted;
        let oldest = accepted.map_or(acceptance.trainer_version, |lot| lot.oldest_version);
        let age_versions = acceptance.trainer_version.saturating_sub(oldest);
        self.program.parts.journal.event(
            "lot_accepted",
            &[
                ("feed", &self.name),
                ("step", &acceptance.step),
                ("age_versions", &age_versions),
            ],
        );
    }

    /// Notes a weight version that the trainer published.
    ///
    /// # Errors
    ///
    /// The object API refused, or another holder has the feed.
    pub async fn publish_weights(&self, version: u64) -> Result<(), ObjectError> {
        self.update(|record| record.with_weights(version)).await?;
        self.pace.borrow_mut().record_version_published(self.now());
        Ok(())
    }

    /// Waits until another holder has the feed, or this one gave it up.
    pub(crate) async fn lost(&self) {
        self.lost.cancelled().await;
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
        // After a release the record may be at the version that it left behind.
        if self.lost.is_cancelled() {
            return Err(ObjectError::Conflict);
        }
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
                self.changes.modify(|count| *count += 1);
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

    /// Takes the lots over that were sealed before this holder took the feed, and
    /// voids those whose bodies no vault gives.
    async fn take_over_lots(&self) {
        loop {
            let record = self.record();
            let missing = record
                .sealed
                .iter()
                .find(|lot| self.lot(lot.step, lot.generation).is_none());
            let Some(missing) = missing else {
                return;
            };
            let copies = &self.program.copies;
            if let Some(lot) = copies.fetch_patiently(&self.name, missing).await {
                self.add_lot(Rc::new(lot));
                self.event("lot_taken_over", missing.step);
                continue;
            }
            self.event("lot_lost", missing.step);
            if self
                .update(|record| Some(record.with_voided(missing.step)))
                .await
                .is_err()
            {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn draft_forever(&self) {
        self.take_over_lots().await;
        let mut changes = self.changes();
        loop {
            let Some(feed) = self.config() else {
                return;
            };
            let record = self.record();
            let ahead = record.sealed.len() >= feed.steps_ahead as usize;
            if ahead || record.weight_version == 0 || self.program.parts.tasks.is_draining() {
                changes.changed().await;
                continue;
            }
            self.await_start(&feed).await;
            let record = self.record();
            let (step, generation) = (record.next_step(), record.next_generation);
            let started = self.now();
            let samples = self.draft_step(&feed, step).await;
            let drafted = self.now().saturating_duration_since(started);
            self.pace.borrow_mut().record_step_generated(drafted);
            self.seal(Lot::seal(&self.name, step, generation, samples))
                .await;
        }
    }

    /// Seals a whole lot. A lot that was overtaken by a void is dropped, and its
    /// step drafted anew.
    async fn seal(&self, lot: Lot) {
        let lot = Rc::new(lot);
        self.add_lot(Rc::clone(&lot));
        let floor_step = self.record().accepted.map_or(0, |accepted| accepted.step);
        let vaults = self.program.copies.keep(&lot, floor_step).await;
        let sealed = lot.record(vaults);
        loop {
            match self
                .update(|record| record.with_sealed(sealed.clone()))
                .await
            {
                Ok(()) => break,
                Err(ObjectError::Conflict) => return,
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        if !self.record().sealed.contains(&sealed) {
            self.event("lot_overtaken", lot.step);
            return;
        }
        self.program.parts.journal.event(
            "lot_sealed",
            &[
                ("feed", &self.name),
                ("step", &lot.step),
                ("samples", &sealed.samples),
                ("copies", &sealed.vaults.len()),
            ],
        );
    }

    /// The lot that was accepted last, the same bytes as then; a new holder gets
    /// them from the vaults when they are first asked for.
    pub(crate) async fn accepted_lot(&self) -> AcceptedLot {
        let Some(accepted) = self.record().accepted else {
            return AcceptedLot::NoneYet;
        };
        if let Some(lot) = self.lot(accepted.step, accepted.generation) {
            return AcceptedLot::Lot(lot);
        }
        match self.program.copies.fetch(&self.name, &accepted).await {
            Fetched::Lot(lot) => {
                let lot = Rc::new(lot);
                self.add_lot(Rc::clone(&lot));
                AcceptedLot::Lot(lot)
            }
            Fetched::Lost => AcceptedLot::Lost,
            Fetched::Unreachable => AcceptedLot::Unreachable,
        }
    }

    fn add_lot(&self, lot: Rc<Lot>) {
        self.lots.borrow_mut().push(lot);
        self.changes.modify(|count| *count += 1);
    }

    fn event(&self, name: &str, step: u64) {
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("feed", &self.name), ("step", &step)];
        self.program.parts.journal.event(name, &fields);
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

    /// The feed as the newest view configures it.
    pub(crate) fn config(&self) -> Option<Feed> {
        self.program.view.load().config.feed(&self.name).cloned()
    }
}
