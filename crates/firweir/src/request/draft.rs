//! One draft: training work that a feed hands to an entry, run on an engine
//! through the same gate as live calls.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::Eventsource;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use futures_util::StreamExt;
use http::Method;
use http_body_util::BodyDataStream;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::client::ClientError;
use crate::connection::client::json_request;
use crate::connection::client::within;
use crate::process::entry::Entry;
use crate::request::chunk::Assembly;
use crate::request::chunk::Segment;
use crate::request::chunk::StreamFault;
use crate::request::gate::Ask;
use crate::request::gate::Permit;
use crate::version::view::WireError;
use crate::wire::firweir_capnp;

/// Path of the engines' completions call.
pub const COMPLETIONS_PATH: &str = "/v1/completions";

/// Bytes of text per token, for cost estimates.
const BYTES_PER_TOKEN: usize = 4;

/// When a feed may come back with a draft for a service that is not known here.
const UNKNOWN_SERVICE_PAUSE: Duration = Duration::from_secs(1);

/// Body of a completions call.
#[derive(Debug, Clone, Serialize, Deserialize)]
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
}

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
    /// Runs a draft.
    pub async fn draft(&self, draft: &Draft) -> Drafted {
        let Some(gate) = self.gate(&draft.service) else {
            return Drafted::NotRun {
                reason: "unknown-service".to_owned(),
                retry_after: UNKNOWN_SERVICE_PAUSE,
            };
        };
        let deadline = self.now() + draft.patience;
        match gate.admit(draft.ask(deadline)).await {
            Ok(permit) => self.run_draft(draft, permit).await,
            Err(turned) => Drafted::NotRun {
                reason: turned.reason.as_str().to_owned(),
                retry_after: turned.retry_after,
            },
        }
    }

    async fn run_draft(&self, draft: &Draft, permit: Permit) -> Drafted {
        let stream = self.stream_draft(draft, permit.address());
        match within(draft.patience, stream).await {
            Some(Ok(segments)) => {
                permit.finish(
                    Ending::Answered,
                    segments.iter().map(|part| part.tokens).sum(),
                );
                Drafted::Answered(segments)
            }
            Some(Err(fault)) => {
                let not_sent = matches!(fault, DraftFault::Call(ClientError::Unreachable(_)));
                permit.finish(
                    if not_sent {
                        Ending::Unreachable
                    } else {
                        Ending::Failed
                    },
                    0,
                );
                Drafted::Failed(fault.to_string())
            }
            None => {
                permit.finish(Ending::Abandoned, 0);
                Drafted::Failed("timeout".to_owned())
            }
        }
    }

    async fn stream_draft(
        &self,
        draft: &Draft,
        address: SocketAddr,
    ) -> Result<Vec<Segment>, DraftFault> {
        let body = serde_json::to_vec(&draft.completion).unwrap_or_default();
        let request = json_request(Method::POST, COMPLETIONS_PATH, body);
        let response = self.http().send(address, request).await?;
        if !response.status().is_success() {
            return Err(ClientError::Status(response.status()).into());
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        let mut assembly = Assembly::default();
        while let Some(event) = events.next().await {
            let event = event.map_err(|_broken| ClientError::Broken(address))?;
            assembly.push(&event.data).map_err(DraftFault::Stream)?;
        }
        assembly.whole().map_err(DraftFault::Stream)
    }
}

impl Draft {
    fn ask(&self, deadline: std::time::Instant) -> Ask {
        let prompt = &self.completion.prompt;
        Ask {
            class: Class::Training,
            caller: xxh3_64(self.feed.as_bytes()),
            prefix: xxh3_64(prompt.as_bytes()),
            cost_tokens: self.completion.max_tokens + (prompt.len() / BYTES_PER_TOKEN) as u32,
            deadline,
            avoid: Vec::new(),
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
        },
        patience: Duration::from_millis(reader.get_deadline_ms()),
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
}

/// Reads what became of a draft.
pub fn read_drafted(reader: firweir_capnp::draft_answer::Reader<'_>) -> Result<Drafted, WireError> {
    use firweir_capnp::draft_answer::Which;
    Ok(match reader.which()? {
        Which::Answered(segments) => {
            let mut read = Vec::new();
            for segment in segments? {
                read.push(Segment {
                    text: segment.get_text()?.to_str()?.to_owned(),
                    tokens: segment.get_tokens(),
                    weight_version: segment.get_weight_version(),
                });
            }
            Drafted::Answered(read)
        }
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
            let mut list = builder.init_answered(segments.len() as u32);
            for (index, segment) in segments.iter().enumerate() {
                let mut item = list.reborrow().get(index as u32);
                item.set_text(&segment.text);
                item.set_tokens(segment.tokens);
                item.set_weight_version(segment.weight_version);
            }
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
