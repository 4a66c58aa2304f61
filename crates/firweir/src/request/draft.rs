//! One draft: training work that a feed hands to an entry, run on an engine
//! through the same gate as live calls.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eventsource_stream::Eventsource;
use firweir_policy::straggler::ENGINE_IDLE_TIMEOUT;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::UpstreamKey;
use futures_util::StreamExt;
use http::Method;
use http::Uri;
use http_body_util::BodyDataStream;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::client::ClientError;
use crate::connection::client::json_request;
use crate::connection::client::within;
use crate::process::entry::Entry;
use crate::request::chunk::Assembly;
use crate::request::chunk::Segment;
use crate::request::chunk::StreamFault;
use crate::request::chunk::join;
use crate::request::chunk::text_of;
use crate::request::chunk::tokens_of;
use crate::request::cost::BYTES_PER_TOKEN;
use crate::request::gate::Ask;
use crate::request::gate::Permit;
use crate::version::view::WireError;
use crate::wire::firweir_capnp;

/// Path of the engines' completions call.
pub const COMPLETIONS_PATH: &str = "/v1/completions";

/// When a feed may come back with a draft for a service that is not known here.
const UNKNOWN_SERVICE_PAUSE: Duration = Duration::from_secs(1);

/// Body of a completions call.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Completion {
    /// Model, or adapter, that answers.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Longest answer.
    pub max_tokens: u32,
    /// Answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Start of the answer; the engine goes on from its end.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume_text: String,
    /// Seed of the engine's sampling.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// One attempt at one sample.
#[derive(Debug, Clone)]
pub struct Draft {
    /// Feed that asks.
    pub feed: String,
    /// Step of the feed.
    pub step: u64,
    /// Group of the step.
    pub group: u32,
    /// Sample of the group.
    pub index: u32,
    /// Attempt at the sample.
    pub attempt: u32,
    /// Epoch of the feed's holder.
    pub epoch: u64,
    /// Service whose engines draft.
    pub service: String,
    /// The engine call.
    pub completion: Completion,
    /// The draft is worthless after this.
    pub patience: Duration,
    /// Text of an older weight version is of no use.
    pub oldest_version: u64,
    /// Engines that the entry may ask, one after the other.
    pub engines: u32,
}

/// Takes text as it comes from the engine.
pub type Reports = mpsc::UnboundedSender<Segment>;

/// What became of a draft.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Drafted {
    /// The whole answer.
    Answered(Vec<Segment>),
    /// No engine was asked.
    NotRun {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// An engine was asked, and gave no whole answer.
    Failed(String),
}

impl Entry {
    /// Runs a draft. Where an engine breaks off, the next one goes on from the
    /// text so far; `reports` hears all text as it comes.
    pub async fn draft(&self, draft: &Draft, reports: &Reports) -> Drafted {
        let Some(gate) = self.gate(&draft.service) else {
            return Drafted::NotRun {
                reason: "unknown-service".to_owned(),
                retry_after: UNKNOWN_SERVICE_PAUSE,
            };
        };
        let deadline = self.now() + draft.patience;
        let mut attempt = Attempt {
            draft,
            reports,
            segments: Vec::new(),
        };
        let mut asked = Vec::new();
        loop {
            let permit = match gate.admit(draft.ask(deadline, asked.clone())).await {
                Ok(permit) => permit,
                Err(turned) if asked.is_empty() => {
                    return Drafted::NotRun {
                        reason: turned.reason.as_str().to_owned(),
                        retry_after: turned.retry_after,
                    };
                }
                Err(turned) => return Drafted::Failed(turned.reason.as_str().to_owned()),
            };
            asked.push(permit.upstream());
            match self.ask_engine(&mut attempt, permit, deadline).await {
                Ok(()) => return Drafted::Answered(attempt.segments),
                Err(fault) if asked.len() >= draft.engines as usize => {
                    return Drafted::Failed(fault.to_string());
                }
                Err(DraftFault::Timeout) => return Drafted::Failed("timeout".to_owned()),
                Err(_next_engine) => {}
            }
        }
    }

    async fn ask_engine(
        &self,
        attempt: &mut Attempt<'_>,
        permit: Permit,
        deadline: Instant,
    ) -> Result<(), DraftFault> {
        let left = deadline.saturating_duration_since(self.now());
        let before = tokens_of(&attempt.segments);
        let streamed = within(left, self.stream(attempt, permit.address())).await;
        let streamed = streamed.unwrap_or(Err(DraftFault::Timeout));
        let ending = match &streamed {
            Ok(()) => Ending::Answered,
            Err(DraftFault::Call(ClientError::Unreachable(_))) => Ending::Unreachable,
            Err(DraftFault::Timeout) => Ending::Abandoned,
            Err(_) => Ending::Failed,
        };
        permit.finish(ending, tokens_of(&attempt.segments) - before);
        streamed
    }

    async fn stream(
        &self,
        attempt: &mut Attempt<'_>,
        address: SocketAddr,
    ) -> Result<(), DraftFault> {
        let body = serde_json::to_vec(&attempt.completion()).unwrap_or_default();
        let request = json_request(Method::POST, Uri::from_static(COMPLETIONS_PATH), body);
        let response = self.http().send(address, request).await?;
        if !response.status().is_success() {
            return Err(ClientError::Status(response.status()).into());
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        let mut assembly = Assembly::default();
        loop {
            let event = within(ENGINE_IDLE_TIMEOUT, events.next()).await;
            let Some(event) = event.ok_or(DraftFault::Silent)? else {
                break;
            };
            let event = event.map_err(|_broken| ClientError::Broken(address))?;
            let taken = assembly.push(&event.data).map_err(DraftFault::Stream)?;
            attempt.add(taken)?;
        }
        assembly.whole().map_err(DraftFault::Stream)?;
        Ok(())
    }
}

/// A draft on its way through one entry.
struct Attempt<'a> {
    draft: &'a Draft,
    reports: &'a Reports,
    /// Text that the engines asked here have made.
    segments: Vec<Segment>,
}

impl Attempt<'_> {
    /// The call to the next engine.
    fn completion(&self) -> Completion {
        let mut completion = self.draft.completion.clone();
        completion.resume_text.push_str(&text_of(&self.segments));
        completion
    }

    /// Takes text in. An engine that restarted without weights, or whose swaps
    /// fail, answers with a version that no trainer takes any more: it is left
    /// at its first chunk, before its text spoils the sample.
    fn add(&mut self, taken: Vec<Segment>) -> Result<(), DraftFault> {
        for segment in taken {
            if segment.weight_version < self.draft.oldest_version {
                return Err(DraftFault::Stale(segment.weight_version));
            }
            // A feed that is gone needs no report.
            drop(self.reports.send(segment.clone()));
            join(&mut self.segments, segment);
        }
        Ok(())
    }
}

impl Draft {
    fn ask(&self, deadline: Instant, avoid: Vec<UpstreamKey>) -> Ask {
        let prompt = &self.completion.prompt;
        Ask {
            class: Class::Training,
            caller: xxh3_64(self.feed.as_bytes()),
            prefix: xxh3_64(prompt.as_bytes()),
            cost_tokens: self.completion.max_tokens + (prompt.len() / BYTES_PER_TOKEN) as u32,
            priority: 0,
            deadline,
            objective: None,
            avoid,
        }
    }
}

quick_error! {
    /// Why an engine gave no whole draft.
    #[derive(Debug)]
    enum DraftFault {
        /// The call failed.
        Call(err: ClientError) {
            display("{err}")
            source(err)
            from()
        }
        /// The engine sent nothing for too long.
        Silent {
            display("silent")
        }
        /// The draft's patience ended.
        Timeout {
            display("timeout")
        }
        /// The engine is at a version that is of no use.
        Stale(version: u64) {
            display("stale at version {version}")
        }
        /// The stream makes no whole answer.
        Stream(fault: StreamFault) {
            display("stream: {fault:?}")
        }
    }
}

/// Reads a draft from a message.
pub fn read_draft(reader: firweir_capnp::draft::Reader<'_>) -> Result<Draft, WireError> {
    Ok(Draft {
        feed: reader.get_feed()?.to_str()?.to_owned(),
        step: reader.get_step(),
        group: reader.get_group(),
        index: reader.get_index(),
        attempt: reader.get_attempt(),
        epoch: reader.get_epoch(),
        service: reader.get_service()?.to_str()?.to_owned(),
        completion: Completion {
            model: reader.get_model()?.to_str()?.to_owned(),
            prompt: reader.get_prompt()?.to_str()?.to_owned(),
            max_tokens: reader.get_max_tokens(),
            stream: true,
            resume_text: reader.get_resume_text()?.to_str()?.to_owned(),
            seed: Some(reader.get_seed()),
        },
        patience: Duration::from_millis(reader.get_deadline_ms()),
        oldest_version: reader.get_oldest_version(),
        engines: reader.get_engines(),
    })
}

/// Writes a draft into a message.
pub fn write_draft(draft: &Draft, mut builder: firweir_capnp::draft::Builder<'_>) {
    builder.set_feed(&draft.feed);
    builder.set_step(draft.step);
    builder.set_group(draft.group);
    builder.set_index(draft.index);
    builder.set_attempt(draft.attempt);
    builder.set_epoch(draft.epoch);
    builder.set_service(&draft.service);
    builder.set_model(&draft.completion.model);
    builder.set_prompt(&draft.completion.prompt);
    builder.set_max_tokens(draft.completion.max_tokens);
    builder.set_deadline_ms(draft.patience.as_millis() as u64);
    builder.set_resume_text(&draft.completion.resume_text);
    builder.set_seed(draft.completion.seed.unwrap_or(0));
    builder.set_oldest_version(draft.oldest_version);
    builder.set_engines(draft.engines);
}

/// Reads what became of a draft.
pub fn read_drafted(reader: firweir_capnp::draft_answer::Reader<'_>) -> Result<Drafted, WireError> {
    use firweir_capnp::draft_answer::Which;
    Ok(match reader.which()? {
        Which::Answered(segments) => Drafted::Answered(read_segments(segments?)?),
        Which::NotRun(refusal) => {
            let refusal = refusal?;
            Drafted::NotRun {
                reason: refusal.get_reason()?.to_str()?.to_owned(),
                retry_after: Duration::from_millis(refusal.get_retry_after_ms()),
            }
        }
        Which::Unknown(reason) => Drafted::Failed(reason?.to_str()?.to_owned()),
    })
}

/// Writes what became of a draft.
pub fn write_drafted(drafted: &Drafted, mut builder: firweir_capnp::draft_answer::Builder<'_>) {
    match drafted {
        Drafted::Answered(segments) => {
            write_segments(segments, builder.init_answered(segments.len() as u32));
        }
        Drafted::NotRun {
            reason,
            retry_after,
        } => {
            let mut refusal = builder.init_not_run();
            refusal.set_reason(reason);
            refusal.set_retry_after_ms(retry_after.as_millis() as u64);
        }
        Drafted::Failed(reason) => builder.set_unknown(reason),
    }
}

/// Reads segments from a message.
pub fn read_segments(
    reader: capnp::struct_list::Reader<'_, firweir_capnp::segment::Owned>,
) -> Result<Vec<Segment>, WireError> {
    let mut read = Vec::new();
    for segment in reader {
        read.push(Segment {
            text: segment.get_text()?.to_str()?.to_owned(),
            tokens: segment.get_tokens(),
            weight_version: segment.get_weight_version(),
        });
    }
    Ok(read)
}

/// Writes segments into a message.
pub fn write_segments(
    segments: &[Segment],
    mut builder: capnp::struct_list::Builder<'_, firweir_capnp::segment::Owned>,
) {
    for (index, segment) in segments.iter().enumerate() {
        let mut item = builder.reborrow().get(index as u32);
        item.set_text(&segment.text);
        item.set_tokens(segment.tokens);
        item.set_weight_version(segment.weight_version);
    }
}
