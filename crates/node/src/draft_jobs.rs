//! The samples that a node is making: what is known of each, and the names that decisions
//! use for samples, engines and models.

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

use crate::fleet::Fleet;
use crate::interest::DraftedModel;
use crate::model::Config;
use crate::model::Instance;
use crate::model::Item;
use crate::model::ItemResult;
use crate::model::ItemState;
use crate::model::ModelVersion;
use crate::model::Upstream;
use crate::submission::local::LocalSubmission;
use crate::submission::texts::SampleProgress;
use crate::submission::texts::TextCache;

/// One sample that is being made, or waits for its score.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) key: SampleKey,
    pub(crate) submission: Arc<LocalSubmission>,
    pub(crate) place: usize,
    /// Lowest first among those that wait.
    pub(crate) rank: u64,
    /// Index of its group within the step, in the trainer's order.
    pub(crate) group: usize,
    /// Number of groups in its step.
    pub(crate) groups: usize,
    /// Its position by slack, which replaces `rank`; `None` if samples are not ordered by slack.
    pub(crate) by_slack: Option<SampleRank>,
    /// Its slack in milliseconds at its first start; `None` before that, or if samples are not
    /// ordered by slack.
    pub(crate) first_slack_ms: Option<i64>,
    pub(crate) progress: SampleProgress,
    pub(crate) running: bool,
    /// When it was first offered, and first started.
    pub(crate) offered: Instant,
    pub(crate) first_start: Option<Instant>,
    /// When its text was whole.
    pub(crate) drafted: Option<Instant>,
    /// Runs so far.
    pub(crate) tries: u32,
    /// Runs in a row that ended since nothing came.
    pub(crate) silences: u32,
    /// Tells the run to leave its engine.
    pub(crate) leave: Arc<Notify>,
    /// Reason for which its run is to leave its engine; `None` unless it is moved.
    pub(crate) moved: Option<MoveReason>,
}

/// An engine for one run of one sample.
#[derive(Debug)]
pub(crate) struct Assigned {
    pub(crate) upstream: Arc<Upstream>,
    /// How long a next event is waited for.
    pub(crate) patience: Duration,
    /// Tells the run to leave its engine.
    pub(crate) leave: Arc<Notify>,
}

/// All samples of a node, and the engines that make them.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) placement: Placement,
    /// Sorted by key.
    pub(crate) jobs: Vec<Job>,
    /// Models of submissions that are drafted, or were until the last sample ended; sorted.
    pub(crate) models_drafted: Vec<DraftedModel>,
    /// Sorted by key.
    pub(crate) engines: Vec<(UpstreamKey, Arc<Upstream>)>,
    /// Engines that are about to be removed and whose samples are to move; sorted.
    pub(crate) leaving: Vec<UpstreamKey>,
    /// Sorted by instance. Never removed, so that a key names one instance.
    pub(crate) keys: Vec<(Instance, UpstreamKey)>,
    /// Sorted by service and model. Never removed either.
    pub(crate) models: Vec<(String, ModelKey)>,
    pub(crate) next_draft: u64,
    /// What the engines were last taken from.
    pub(crate) seen: Option<FleetSeen>,
    /// They are not taken again before.
    pub(crate) engines_after: Option<Instant>,
    /// Samples that wait are not looked at for their age before.
    pub(crate) expired_after: Option<Instant>,
    pub(crate) config_version: u64,
    pub(crate) kept: TextCache,
    /// Whether waiting samples are ordered by the slack of their steps.
    pub(crate) by_slack: bool,
    /// Waiting samples are not reordered before this time; `None` if they may be at once.
    pub(crate) ordered_after: Option<Instant>,
    pub(crate) lengths: LengthEstimator,
}

/// What a node knows of its fleet at one time. Samples end many times a second, and
/// engines are only taken in again once this has changed.
#[derive(Debug)]
pub(crate) struct FleetSeen {
    pub(crate) config: Arc<Config>,
    pub(crate) upstreams: Arc<Vec<Arc<Upstream>>>,
    pub(crate) named: Arc<Vec<ModelVersion>>,
}

impl FleetSeen {
    pub(crate) fn of(fleet: &Fleet) -> Self {
        Self {
            config: fleet.config(),
            upstreams: fleet.upstreams(),
            named: fleet.named(),
        }
    }

    /// Nothing was published in between: each of them is replaced whole.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.config, &other.config)
            && Arc::ptr_eq(&self.upstreams, &other.upstreams)
            && Arc::ptr_eq(&self.named, &other.named)
    }
}

/// The result of an item whose text is whole.
pub(crate) fn completed(item: &Item, progress: &SampleProgress) -> ItemResult {
    ItemResult {
        item: item.id.clone(),
        state: ItemState::Completed,
        text: progress.events.join("\n"),
        versions: progress.versions.clone(),
        score: progress.score.as_ref().map(|score| score.proof.clone()),
    }
}

/// The text is whole, and has the score that this item asks for: an item that comes again
/// keeps its text, but may ask for another score.
pub(crate) fn is_done(item: &Item, progress: &SampleProgress) -> bool {
    let held = progress.score.as_ref().map(|score| &score.call);
    let scored = item.reward_call.is_none() || held == item.reward_call.as_ref();
    progress.complete && scored
}

/// Group index of each sample of a submission; groups are numbered in the trainer's order.
pub(crate) fn groups_of(submission: &LocalSubmission) -> Vec<usize> {
    let mut groups: Vec<&str> = Vec::new();
    let mut numbers = Vec::new();
    for item in &submission.items {
        // Items of one group stand together, so the last ones are looked at first.
        let group = groups.iter().rposition(|group| *group == item.group);
        numbers.push(group.unwrap_or_else(|| {
            groups.push(&item.group);
            groups.len() - 1
        }));
    }
    numbers
}

/// Ranks of a submission's samples; all alike unless the longest go first.
pub(crate) fn ranks_of(
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
    pub(crate) fn order(&self) -> u64 {
        self.by_slack.map_or(self.rank, |place| place.rank)
    }
}

impl State {
    pub(crate) fn job_at(&self, key: SampleKey) -> Option<usize> {
        self.jobs.binary_search_by_key(&key, |job| job.key).ok()
    }

    pub(crate) fn engine(&self, key: UpstreamKey) -> Option<Arc<Upstream>> {
        let at = self.engines.binary_search_by_key(&key, |(held, _)| *held);
        at.ok().map(|at| Arc::clone(&self.engines[at].1))
    }

    pub(crate) fn key_of(&mut self, instance: &Instance) -> UpstreamKey {
        let found = self.keys.binary_search_by(|(held, _)| held.cmp(instance));
        match found {
            Ok(at) => self.keys[at].1,
            Err(at) => {
                let key = UpstreamKey(self.keys.len() as u32);
                self.keys.insert(at, (instance.clone(), key));
                key
            }
        }
    }

    pub(crate) fn model_key(&mut self, service: &str, model: &str) -> ModelKey {
        let name = format!("{service}/{model}");
        match self.models.binary_search_by(|(held, _)| held.cmp(&name)) {
            Ok(at) => self.models[at].1,
            Err(at) => {
                let key = ModelKey(self.models.len() as u32);
                self.models.insert(at, (name, key));
                key
            }
        }
    }
}
