//! State of the samples that a node generates, and the keys that stand for samples, engines and
//! models in the decisions of [`Placement`].

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::longest_first::Sample;
use firweir_policy::longest_first::rank_by_length;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::MoveReason;
use firweir_policy::placement::Placement;
use firweir_policy::placement::SampleKey;
use firweir_policy::slack::LengthEstimator;
use firweir_policy::slack::SampleRank;
use firweir_policy::work::UpstreamKey;
use tokio::sync::Notify;

use crate::crash_pacing::CrashPacing;
use crate::fleet::Fleet;
use crate::interest::DraftedModel;
use crate::model::Config;
use crate::model::Instance;
use crate::model::Item;
use crate::model::ItemResult;
use crate::model::ItemState;
use crate::model::ModelVersion;
use crate::model::Route;
use crate::model::Upstream;
use crate::split::SplitPoint;
use crate::submission::local::LocalSubmission;
use crate::submission::texts::SampleProgress;
use crate::submission::texts::TextCache;

/// One sample that waits for an engine, is being generated or waits for its score.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) key: SampleKey,
    pub(crate) submission: Arc<LocalSubmission>,
    /// Index of its item in the submission.
    pub(crate) item_index: usize,
    /// Rank among waiting samples unless they are ordered by slack; the lowest starts first.
    pub(crate) rank: u64,
    /// Index of its group within the step, in the trainer's order.
    pub(crate) group: usize,
    /// Number of groups in its step.
    pub(crate) groups: usize,
    /// Its position by slack, which replaces `rank`; `None` if samples are not ordered by slack.
    pub(crate) slack_rank: Option<SampleRank>,
    /// Its slack in milliseconds at its first start; `None` before that, or if samples are not
    /// ordered by slack.
    pub(crate) first_slack_ms: Option<i64>,
    pub(crate) progress: SampleProgress,
    pub(crate) running: bool,
    /// When it was added.
    pub(crate) added_at: Instant,
    /// When its first run started.
    pub(crate) first_started_at: Option<Instant>,
    /// When its text was complete.
    pub(crate) text_completed_at: Option<Instant>,
    /// Number of runs so far.
    pub(crate) runs: u32,
    /// Runs in a row that timed out before their first event; at least 1 after a run that timed
    /// out later.
    pub(crate) timeouts_in_row: u32,
    /// Engines that were lost in a row under it.
    pub(crate) pacing: CrashPacing,
    /// It is not queued for an engine before this time.
    pub(crate) paced_until: Option<Instant>,
    /// Tells the run to leave its engine.
    pub(crate) leave: Arc<Notify>,
    /// Reason for which its run is to leave its engine; `None` unless it is moved.
    pub(crate) move_reason: Option<MoveReason>,
}

/// The engine for one run of one sample.
#[derive(Debug)]
pub(crate) struct Assignment {
    pub(crate) upstream: Arc<Upstream>,
    /// Timeout of each event after the first.
    pub(crate) event_timeout: Duration,
    /// Tells the run to leave its engine.
    pub(crate) leave: Arc<Notify>,
}

/// All samples of a node, and the engines that generate them.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) placement: Placement,
    /// Sorted by key.
    pub(crate) jobs: Vec<Job>,
    /// Models of the submissions as of the last one that was added or removed; sorted.
    pub(crate) drafted_models: Vec<DraftedModel>,
    /// Sorted by key.
    pub(crate) engines: Vec<(UpstreamKey, Arc<Upstream>)>,
    /// Engines that will be removed soon and whose samples have to move; sorted.
    pub(crate) leaving: Vec<UpstreamKey>,
    /// Sorted by instance. Entries are never removed, so that a key stands for one instance.
    pub(crate) engine_keys: Vec<(Instance, UpstreamKey)>,
    /// Sorted by service and model. Entries are never removed.
    pub(crate) model_keys: Vec<(String, ModelKey)>,
    /// Models, each of one service, that engines hold; sorted.
    pub(crate) served_models: Vec<ModelKey>,
    pub(crate) next_key: u64,
    /// State of the fleet from which the engines were last updated.
    pub(crate) applied_fleet: Option<FleetSnapshot>,
    /// The engines are not updated before this time.
    pub(crate) next_engine_update: Option<Instant>,
    /// Waiting samples are not checked for expiry before this time.
    pub(crate) next_expiry_check: Option<Instant>,
    pub(crate) config_version: u64,
    /// Samples that are to be queued at these times.
    pub(crate) paced: Vec<(Instant, SampleKey)>,
    /// Texts of samples that ended or were removed, in case their items are submitted again.
    pub(crate) texts: TextCache,
    /// Whether waiting samples are ordered by the slack of their steps.
    pub(crate) is_by_slack: bool,
    /// Waiting samples are not reordered before this time; `None` if they may be at once.
    pub(crate) next_reorder: Option<Instant>,
    pub(crate) lengths: LengthEstimator,
}

/// What a node knows of its fleet at one time. Samples end many times a second, so the
/// engines are only updated if this has changed.
#[derive(Debug)]
pub(crate) struct FleetSnapshot {
    pub(crate) config: Arc<Config>,
    pub(crate) upstreams: Arc<Vec<Arc<Upstream>>>,
    pub(crate) latest_versions: Arc<Vec<ModelVersion>>,
}

impl FleetSnapshot {
    pub(crate) fn of(fleet: &Fleet) -> Self {
        Self {
            config: fleet.config(),
            upstreams: fleet.upstreams(),
            latest_versions: fleet.latest_versions(),
        }
    }

    /// Whether nothing changed in between: each change replaces the shared value.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.config, &other.config)
            && Arc::ptr_eq(&self.upstreams, &other.upstreams)
            && Arc::ptr_eq(&self.latest_versions, &other.latest_versions)
    }
}

/// The result of an item whose text is complete.
pub(crate) fn completed_result(item: &Item, progress: &SampleProgress) -> ItemResult {
    ItemResult {
        item: item.id.clone(),
        state: ItemState::Completed,
        text: progress.events.join("\n"),
        versions: progress.versions.clone(),
        score: progress.score.as_ref().map(|score| score.proof.clone()),
    }
}

/// Whether the text is complete and has the score that this item asks for: an item that is
/// submitted again keeps its text, but may ask for another score.
pub(crate) fn is_done(item: &Item, progress: &SampleProgress) -> bool {
    let held = progress.score.as_ref().map(|score| &score.call);
    let scored = item.reward_call.is_none() || held == item.reward_call.as_ref();
    progress.complete && scored
}

/// Id of the item of a sample.
pub(crate) fn item_id(job: &Job) -> &str {
    &job.submission.items[job.item_index].id
}

/// Group index of each sample of a submission; groups are numbered in the trainer's order.
pub(crate) fn group_indices(submission: &LocalSubmission) -> Vec<usize> {
    let mut groups: Vec<&str> = Vec::new();
    let mut indices = Vec::new();
    for item in &submission.items {
        // Items of one group are adjacent, so the search starts at the last group.
        let group = groups.iter().rposition(|group| *group == item.group);
        indices.push(group.unwrap_or_else(|| {
            groups.push(&item.group);
            groups.len() - 1
        }));
    }
    indices
}

/// Ranks of a submission's samples; all equal unless the longest start first.
pub(crate) fn initial_ranks(
    submission: &LocalSubmission,
    groups: &[usize],
    long_first: bool,
) -> Vec<u64> {
    if !long_first {
        return vec![submission.head.accepted_ms; submission.items.len()];
    }
    let sample = |(item, group): (&Arc<Item>, &usize)| Sample {
        group: *group,
        expected_tokens: item.expected_tokens,
    };
    let samples: Vec<Sample> = submission.items.iter().zip(groups).map(sample).collect();
    let target = submission.head.target_groups as usize;
    rank_by_length(&samples, target, submission.head.accepted_ms)
}

impl Job {
    /// Rank among waiting samples; the lowest starts first.
    pub(crate) fn current_rank(&self) -> u64 {
        self.slack_rank.map_or(self.rank, |by_slack| by_slack.rank)
    }
}

impl State {
    /// Keeps a sample out of the queue for its pause, if it has one.
    pub(crate) fn pace(&mut self, at: usize, now: Instant) {
        let job = &mut self.jobs[at];
        let pause = job.pacing.pause();
        if !pause.is_zero() {
            job.paced_until = Some(now + pause);
            self.paced.push((now + pause, job.key));
        }
    }

    /// Removes and returns the samples whose pause is over.
    pub(crate) fn take_paced(&mut self, now: Instant) -> Vec<SampleKey> {
        let paced = std::mem::take(&mut self.paced);
        let (due, waiting): (Vec<_>, Vec<_>) = paced.into_iter().partition(|(at, _)| *at <= now);
        self.paced = waiting;
        let due: Vec<SampleKey> = due.into_iter().map(|(_, key)| key).collect();
        for key in &due {
            if let Some(at) = self.job_index(*key) {
                self.jobs[at].paced_until = None;
            }
        }
        due
    }

    pub(crate) fn job_index(&self, key: SampleKey) -> Option<usize> {
        self.jobs.binary_search_by_key(&key, |job| job.key).ok()
    }

    pub(crate) fn engine(&self, key: UpstreamKey) -> Option<Arc<Upstream>> {
        let at = self.engines.binary_search_by_key(&key, |(held, _)| *held);
        at.ok().map(|at| Arc::clone(&self.engines[at].1))
    }

    pub(crate) fn engine_key(&mut self, instance: &Instance) -> UpstreamKey {
        let found = self
            .engine_keys
            .binary_search_by(|(held, _)| held.cmp(instance));
        match found {
            Ok(at) => self.engine_keys[at].1,
            Err(at) => {
                let key = UpstreamKey(self.engine_keys.len() as u32);
                self.engine_keys.insert(at, (instance.clone(), key));
                key
            }
        }
    }

    /// The service on whose engines a sample is generated: one that has engines for it, if any has.
    pub(crate) fn service_of<'a>(&self, job: &Job, route: &'a Route) -> Option<&'a str> {
        let point = SplitPoint::of_group(&job.submission.id, job.group);
        let model = &job.submission.head.model;
        route.service_at(point, |service| self.is_served(service, model))
    }

    fn is_served(&self, service: &str, model: &str) -> bool {
        let name = format!("{service}/{model}");
        let known = self
            .model_keys
            .binary_search_by(|(known, _)| known.cmp(&name));
        known.is_ok_and(|at| {
            let key = self.model_keys[at].1;
            self.served_models.binary_search(&key).is_ok()
        })
    }

    pub(crate) fn model_key(&mut self, service: &str, model: &str) -> ModelKey {
        let name = format!("{service}/{model}");
        match self
            .model_keys
            .binary_search_by(|(held, _)| held.cmp(&name))
        {
            Ok(at) => self.model_keys[at].1,
            Err(at) => {
                let key = ModelKey(self.model_keys.len() as u32);
                self.model_keys.insert(at, (name, key));
                key
            }
        }
    }
}
