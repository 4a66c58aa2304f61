//! How a holder drafts one step: every sample of every group, as often as it
//! takes, handed to entries and scored by the trainer.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::straggler::REPORT_INTERVAL;
use firweir_policy::straggler::StragglerPolicy;
use firweir_policy::straggler::is_silent;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::client::ClientError;
use crate::connection::client::within;
use crate::connection::target::Target;
use crate::process::clock::Clock;
use crate::process::copies::RETRY_PAUSE;
use crate::process::holder::Holder;
use crate::request::chunk::Segment;
use crate::request::chunk::join_all;
use crate::request::chunk::text_of;
use crate::request::chunk::tokens_of;
use crate::request::draft::Completion;
use crate::request::draft::Draft;
use crate::request::draft::Drafted;
use crate::request::draft::read_drafted;
use crate::request::draft::read_segments;
use crate::request::draft::write_draft;
use crate::request::lot::Sample;
use crate::version::config::Feed;
use crate::version::view::WireError;
use crate::wire::firweir_capnp::progress;

/// What an entry may take beyond the draft's own patience.
const DRAFT_GRACE: Duration = Duration::from_secs(2);

/// The trainer gives prompts and scores within this, or is asked again.
const TRAINER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between looks at whether engines serve new weights while a step waits
/// for them.
const START_LOOK: Duration = Duration::from_millis(500);

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

impl Holder {
    /// Drafts a whole step; the samples are sorted by group and index.
    pub(crate) async fn draft_step(&self, feed: &Feed, step: u64) -> Vec<Sample> {
        let prompts = self.prompts(feed, step).await;
        let plan = StepPlan::new(feed, step, &prompts, self.program.rules);
        let order = self.order(&plan);
        let mut running: FuturesUnordered<_> = order
            .into_iter()
            .map(|slot| self.draft_sample(&plan, slot))
            .collect();
        let mut scoring = FuturesUnordered::new();
        let mut groups = vec![Vec::new(); prompts.len()];
        let mut samples = Vec::with_capacity(plan.samples());
        loop {
            tokio::select! {
                biased;
                Some(drafted) = running.next(), if !running.is_empty() => {
                    let group = &mut groups[drafted.slot.group as usize];
                    group.push(drafted);
                    if group.len() == feed.samples_per_group as usize {
                        scoring.push(self.score_group(&plan, std::mem::take(group)));
                    }
                }
                Some(scored) = scoring.next(), if !scoring.is_empty() => samples.extend(scored),
                else => break,
            }
        }
        samples.sort_by_key(|sample: &Sample| (sample.group, sample.index));
        samples
    }

    /// Waits until the next step is to start. Any change of the record is looked
    /// at, since new weights end the wait.
    pub(crate) async fn await_start(&self, feed: &Feed) {
        let mut changes = self.changes();
        loop {
            let weight = feed.staleness_weight_percent;
            let wait = self.pace.borrow().start_delay(weight, self.now());
            if wait.is_zero() {
                return;
            }
            _ = within(wait.min(START_LOOK), changes.changed()).await;
        }
    }

    /// All samples of a step in the order in which they start.
    fn order(&self, plan: &StepPlan<'_>) -> Vec<Slot> {
        let slots = plan.slots();
        if !plan.rules.longest_first {
            return slots;
        }
        let prompts: Vec<u64> = slots.iter().map(|slot| plan.prompt_hash(*slot)).collect();
        let order = self.lengths.borrow().order_longest_first(&prompts);
        order.into_iter().map(|position| slots[position]).collect()
    }

    async fn prompts(&self, feed: &Feed, step: u64) -> Vec<String> {
        let target = Target::new("/steps")
            .segment(&step.to_string())
            .segment("prompts")
            .parameter("groups", &feed.groups_per_step);
        let http = self.program.parts.http();
        loop {
            let asked: Result<Vec<String>, ClientError> =
                http.get(feed.trainer, &target, TRAINER_TIMEOUT).await;
            match asked {
                Ok(prompts) if prompts.len() == feed.groups_per_step as usize => return prompts,
                Ok(_) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn score_group(
        &self,
        plan: &StepPlan<'_>,
        mut drafted: Vec<DraftedSample>,
    ) -> Vec<Sample> {
        drafted.sort_by_key(|sample| sample.slot.index);
        let rewards = self.score(plan, &drafted).await;
        let scored = drafted.into_iter().zip(rewards);
        scored
            .map(|(drafted, reward)| Sample {
                group: drafted.slot.group,
                index: drafted.slot.index,
                attempt: drafted.attempt,
                reward,
                segments: drafted.segments,
            })
            .collect()
    }

    async fn score(&self, plan: &StepPlan<'_>, drafted: &[DraftedSample]) -> Vec<f64> {
        let samples = drafted.iter().map(|drafted| ScoreSample {
            group: drafted.slot.group,
            index: drafted.slot.index,
            text: text_of(&drafted.segments),
        });
        let request = ScoreRequest {
            step: plan.step,
            samples: samples.collect(),
        };
        let http = self.program.parts.http();
        loop {
            let scored: Result<Vec<f64>, ClientError> = http
                .post(plan.feed.trainer, "/score", &request, TRAINER_TIMEOUT)
                .await;
            match scored {
                Ok(rewards) if rewards.len() == drafted.len() => return rewards,
                Ok(_) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Drafts one sample, as often as it takes. A draft that broke off goes on
    /// from its text so far; text that has grown too old meanwhile is dropped.
    async fn draft_sample(&self, plan: &StepPlan<'_>, slot: Slot) -> DraftedSample {
        let mut attempt = 0;
        let mut segments = Vec::new();
        loop {
            let draft = self.draft(plan, slot, attempt, &segments);
            let heard = Rc::new(Heard::new(self.now()));
            let pause = match self.hand_to_entry(plan, &draft, &heard).await {
                Ok(Drafted::Answered(made)) => {
                    join_all(&mut segments, made);
                    if self.is_fresh(plan.feed, &segments) {
                        self.learn(plan, slot, &segments);
                        return DraftedSample {
                            slot,
                            attempt,
                            segments,
                        };
                    }
                    RETRY_PAUSE
                }
                Ok(Drafted::NotRun { retry_after, .. }) => retry_after,
                Ok(Drafted::Failed(_)) | Err(_) => {
                    let made = heard.segments.take();
                    join_all(&mut segments, made);
                    RETRY_PAUSE
                }
            };
            if !plan.rules.resumes || !self.is_fresh(plan.feed, &segments) {
                segments.clear();
            }
            tokio::time::sleep(self.jitter(pause)).await;
            attempt += 1;
        }
    }

    fn draft(&self, plan: &StepPlan<'_>, slot: Slot, attempt: u32, so_far: &[Segment]) -> Draft {
        let feed = plan.feed;
        let name = format!("{}/{}/{}/{}", self.name, plan.step, slot.group, slot.index);
        let newest = self.record.borrow().value.weight_version;
        Draft {
            feed: self.name.clone(),
            step: plan.step,
            group: slot.group,
            index: slot.index,
            attempt,
            epoch: self.epoch,
            service: feed.service.clone(),
            completion: Completion {
                model: feed.model.clone(),
                prompt: plan.prompts[slot.group as usize].clone(),
                max_tokens: feed.max_tokens,
                stream: true,
                resume_text: text_of(so_far),
                seed: Some(xxh3_64(name.as_bytes())),
            },
            patience: feed.draft_timeout(),
            oldest_version: newest.saturating_sub(feed.staleness_bound_versions),
            engines: plan.rules.engines_per_draft,
        }
    }

    fn learn(&self, plan: &StepPlan<'_>, slot: Slot, segments: &[Segment]) {
        let mut lengths = self.lengths.borrow_mut();
        lengths.record_answer(plan.prompt_hash(slot), tokens_of(segments));
    }

    /// A sample that is already too old for the trainer's present version would
    /// spoil its whole lot at acceptance.
    fn is_fresh(&self, feed: &Feed, segments: &[Segment]) -> bool {
        let newest = self.record.borrow().value.weight_version;
        let oldest = segments.iter().map(|segment| segment.weight_version).min();
        oldest.is_some_and(|oldest| newest.saturating_sub(oldest) <= feed.staleness_bound_versions)
    }

    /// Hands a draft to the entry of some live VM, another one at each attempt,
    /// and takes it back if that entry falls silent.
    async fn hand_to_entry(
        &self,
        plan: &StepPlan<'_>,
        draft: &Draft,
        heard: &Rc<Heard>,
    ) -> Result<Drafted, WireError> {
        let Ok(_out) = self.drafts_out.acquire().await else {
            return Ok(Drafted::Failed("stopped".to_owned()));
        };
        heard.at.set(self.now());
        let view = self.program.view.load_full();
        let number = draft.group * plan.feed.samples_per_group + draft.index + draft.attempt;
        let live = view.live_members().count();
        let Some(member) = view.live_members().nth(number as usize % live.max(1)) else {
            return Ok(Drafted::Failed("no live entry".to_owned()));
        };
        let to = member.draft_address;
        let call = async {
            let entry = self.program.entries.get(to).await?;
            let mut request = entry.draft_request();
            write_draft(draft, request.get().init_draft());
            let progress = capnp_rpc::new_client(Sink {
                heard: Rc::clone(heard),
                clock: Arc::clone(&self.program.parts.clock),
            });
            request.get().set_progress(progress);
            let response = request.send().promise.await?;
            read_drafted(response.get()?.get_answer()?)
        };
        let drafted = tokio::select! {
            biased;
            drafted = within(draft.patience + DRAFT_GRACE, call) => drafted,
            () = self.silence(plan, heard) => None,
        };
        if !matches!(drafted, Some(Ok(_))) {
            self.program.entries.forget(to);
        }
        drafted.unwrap_or_else(|| Ok(Drafted::Failed("entry silent".to_owned())))
    }

    /// Ends when the entry has been silent for too long and the step may still
    /// move a draft.
    ///
    /// A frozen VM neither answers nor closes its connections; without this its
    /// drafts hold up the step until their patience ends. What it still sends
    /// when it thaws reaches a sink that no one reads any more.
    async fn silence(&self, plan: &StepPlan<'_>, heard: &Heard) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let silent = is_silent(heard.at.get(), self.now());
            let moves = plan.moves_left.get();
            if silent && moves > 0 {
                plan.moves_left.set(moves - 1);
                return;
            }
        }
    }

    fn jitter(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.random.borrow_mut().random_range(0.5..1.0))
    }
}

/// What all samples of one step share.
struct StepPlan<'a> {
    feed: &'a Feed,
    step: u64,
    prompts: &'a [String],
    rules: StragglerPolicy,
    /// Drafts that may still be taken away from silent entries.
    moves_left: Cell<usize>,
}

impl<'a> StepPlan<'a> {
    fn new(feed: &'a Feed, step: u64, prompts: &'a [String], rules: StragglerPolicy) -> Self {
        let samples = prompts.len() * feed.samples_per_group as usize;
        Self {
            feed,
            step,
            prompts,
            rules,
            moves_left: Cell::new(rules.max_moves(samples)),
        }
    }

    const fn samples(&self) -> usize {
        self.prompts.len() * self.feed.samples_per_group as usize
    }

    fn slots(&self) -> Vec<Slot> {
        let mut slots = Vec::with_capacity(self.samples());
        for group in 0..self.prompts.len() as u32 {
            slots.extend((0..self.feed.samples_per_group).map(|index| Slot { group, index }));
        }
        slots
    }

    fn prompt_hash(&self, slot: Slot) -> u64 {
        xxh3_64(self.prompts[slot.group as usize].as_bytes())
    }
}

/// One sample of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Slot {
    group: u32,
    index: u32,
}

/// A whole sample that is not scored yet.
#[derive(Debug, Clone)]
struct DraftedSample {
    slot: Slot,
    attempt: u32,
    segments: Vec<Segment>,
}

/// What an entry has reported of one draft.
struct Heard {
    segments: RefCell<Vec<Segment>>,
    at: Cell<Instant>,
}

impl Heard {
    fn new(now: Instant) -> Self {
        Self {
            segments: RefCell::default(),
            at: Cell::new(now),
        }
    }
}

/// Where an entry reports to.
struct Sink {
    heard: Rc<Heard>,
    clock: Arc<dyn Clock>,
}

impl progress::Server for Sink {
    async fn add(
        self: Rc<Self>,
        params: progress::AddParams,
        _results: progress::AddResults,
    ) -> Result<(), capnp::Error> {
        let segments = read_segments(params.get()?.get_segments()?)?;
        join_all(&mut self.heard.segments.borrow_mut(), segments);
        self.heard.at.set(self.clock.now());
        Ok(())
    }
}
