//! Orders waiting samples by the slack of their steps, where engines serve several models.
//! Collects the input for the decisions of [`firweir_policy::slack`] and applies them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::slack::LengthEstimator;
use firweir_policy::slack::OpenSample;
use firweir_policy::slack::OpenStep;
use firweir_policy::slack::SampleRank;
use firweir_policy::slack::rank_by_slack;
use firweir_policy::slack::slack_ms;

use crate::draft_jobs::FleetSnapshot;
use crate::draft_jobs::Job;
use crate::draft_jobs::State;
use crate::drafting::CHECK_INTERVAL;
use crate::drafting::Drafting;
use crate::mechanisms::Mechanism;
use crate::model::Config;
use crate::model::Upstream;
use crate::submission::local::LocalSubmission;

/// Whether a service with rollouts has engines that hold two or more models.
#[must_use]
pub fn serves_several_models(config: &Config, upstreams: &[Arc<Upstream>]) -> bool {
    let services = config.rollout_services();
    upstreams.iter().any(|upstream| {
        let service = upstream.service.as_str();
        upstream.models.len() >= 2 && services.binary_search(&service).is_ok()
    })
}

/// Records the length hints of a new step.
pub(crate) fn record_step(state: &mut State, submission: &LocalSubmission) {
    let hints = submission.items.iter().map(|item| item.expected_tokens);
    state.lengths.record_step(hints);
    state.next_reorder = None;
}

/// Records the length of a sample whose text is complete.
pub(crate) fn record_length(lengths: &mut LengthEstimator, job: &Job) {
    let expected_tokens = job.submission.items[job.item_index].expected_tokens;
    lengths.record_ended(expected_tokens, job.progress.events.len() as u32);
}

fn open_sample(job: &Job) -> OpenSample {
    OpenSample {
        group: job.group,
        expected_tokens: job.submission.items[job.item_index].expected_tokens,
        events_done: job.progress.events.len() as u32,
        is_text_complete: job.progress.complete,
    }
}

impl Drafting {
    /// Enables or disables the order by slack according to the current engines.
    pub(crate) fn update_slack_order(&self, state: &mut State, snapshot: &FleetSnapshot) {
        let is_on = self.shared.mechanisms.is_enabled(Mechanism::StepSlack);
        let by_slack = is_on && serves_several_models(&snapshot.config, &snapshot.upstreams);
        if state.is_by_slack == by_slack {
            return;
        }
        state.is_by_slack = by_slack;
        state.next_reorder = None;
        if by_slack {
            return;
        }
        for job in &mut state.jobs {
            job.slack_rank = None;
        }
        rank_waiting(state);
    }

    /// Reorders the waiting samples, at most once per [`CHECK_INTERVAL`].
    pub(crate) fn order_waiting(&self, state: &mut State, now: Instant) {
        let is_early = state.next_reorder.is_some_and(|after| now < after);
        if !state.is_by_slack || is_early || state.placement.waiting() == 0 {
            return;
        }
        state.next_reorder = Some(now + CHECK_INTERVAL);
        let event = state.placement.median_event_time();
        let State { jobs, lengths, .. } = state;
        // Jobs of one step are adjacent.
        for step in jobs.chunk_by_mut(|a, b| Arc::ptr_eq(&a.submission, &b.submission)) {
            let ranks = self.slack_ranks(step, lengths, event, now);
            for (job, rank) in step.iter_mut().zip(ranks) {
                job.slack_rank = Some(rank);
            }
        }
        rank_waiting(state);
    }

    fn slack_ranks(
        &self,
        step: &[Job],
        lengths: &LengthEstimator,
        event: Option<Duration>,
        now: Instant,
    ) -> Vec<SampleRank> {
        let Some(first) = step.first() else {
            return Vec::new();
        };
        let head = &first.submission.head;
        let (due, age) = self.due_and_age(&first.submission, now);
        let samples: Vec<OpenSample> = step.iter().map(open_sample).collect();
        let step = OpenStep {
            accepted_ms: head.accepted_ms,
            age,
            due,
            target_groups: head.target_groups as usize,
            groups: first.groups,
            samples: &samples,
        };
        rank_by_slack(&step, lengths, event)
    }

    /// Time from when a step was accepted until it is due, and its current age.
    fn due_and_age(&self, submission: &LocalSubmission, now: Instant) -> (Duration, Duration) {
        let due = self.due_age(&submission.head);
        let due_at = submission.due_at(&self.shared.fleet.config());
        let accepted = due_at.checked_sub(due).unwrap_or(due_at);
        (due, now.saturating_duration_since(accepted))
    }

    /// Records the slack of a sample that is started for the first time.
    pub(crate) fn record_first_slack(&self, job: &mut Job, now: Instant) {
        let is_first = job.first_started_at == Some(now) && job.runs == 1;
        if let Some(rank) = job.slack_rank.filter(|_| is_first) {
            let (due, age) = self.due_and_age(&job.submission, now);
            job.first_slack_ms = Some(slack_ms(due, age, rank.remaining));
        }
    }

    /// Counts the events of a sample that ends without a result or restarts, where samples are
    /// ordered by slack.
    pub(crate) fn count_discarded(&self, state: &State, job: &Job) {
        let events = job.progress.events.len() as u64;
        if state.is_by_slack && events > 0 {
            let journal = &self.shared.journal;
            journal.count_many("draft.events_discarded", events);
        }
    }
}

/// Updates the ranks of the waiting samples in the placement from their jobs.
fn rank_waiting(state: &mut State) {
    let jobs = &state.jobs;
    state.placement.rank_waiting(|key| {
        let at = jobs.binary_search_by_key(&key, |job| job.key).ok()?;
        Some(jobs[at].current_rank())
    });
}
