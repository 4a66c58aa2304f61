//! How a holder drafts one step: every sample of every group, as often as it
//! takes, handed to entries and scored by the trainer.

use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::client::ClientError;
use crate::connection::client::within;
use crate::process::holder::Holder;
use crate::process::holder::RETRY_PAUSE;
use crate::request::chunk::Segment;
use crate::request::draft::Completion;
use crate::request::draft::Draft;
use crate::request::draft::Drafted;
use crate::request::draft::read_drafted;
use crate::request::draft::write_draft;
use crate::request::lot::Sample;
use crate::version::config::Feed;
use crate::version::view::WireError;

/// What an entry may take beyond the draft's own patience.
const DRAFT_GRACE: Duration = Duration::from_secs(2);

/// The trainer gives prompts and scores within this, or is asked again.
const TRAINER_TIMEOUT: Duration = Duration::from_secs(30);

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

    fn jitter(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.random.borrow_mut().random_range(0.5..1.0))
    }
}
