//! An engine's streamed answer that goes on at another engine where its own breaks off.
//!
//! **Failure:** an engine dies in the middle of a long answer. Its caller sees a broken
//! stream, asks again and waits for all of it once more, past its deadline. **Guard:**
//! whole events are passed on and kept; the next engine gets the text so far and goes
//! on behind it, in the same answer. Half an event is never passed on, and an answer
//! whose events have a gap is broken off, so that nothing is doubled or left out.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use firweir_policy::work::Ending;
use firweir_policy::work::UpstreamKey;
use futures_util::stream;
use futures_util::stream::Stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde_json::Map;
use serde_json::Value;

use crate::connection::client::within;
use crate::process::entry::Entry;
use crate::request::call::Call;
use crate::request::call::is_stream;
use crate::request::chunk::Assembly;
use crate::request::chunk::DONE;
use crate::request::chunk::text_of;
use crate::request::cost::BYTES_PER_TOKEN;
use crate::request::gate::Gate;
use crate::request::gate::Permit;

/// An answer longer than this is not kept and not continued: 250,000 tokens, far more
/// than engines make in one answer.
const KEPT_LIMIT_BYTES: usize = 1 << 20;

/// Field of a request with the start of its answer: `resume_text` of
/// [`Completion`](crate::request::draft::Completion).
const RESUME_TEXT: &str = "resume_text";

/// Begin of the line that carries an event's data.
const DATA: &[u8] = b"data:";

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Events of an answer that have gone to its caller.
#[derive(Debug, Default)]
pub struct Passed {
    /// Begin of an event whose end has not come yet.
    begun: BytesMut,
    /// All events so far.
    kept: Vec<u8>,
    /// The answer is too long to be kept.
    too_long: bool,
    /// Chunks of the engines before; this engine counts from 0 again.
    chunks_before: u64,
}

/// What is known of an answer that broke off.
#[derive(Debug, PartialEq, Eq)]
pub enum Broken {
    /// Its text so far; it goes on behind that.
    Unfinished(String),
    /// Only the event that ends it is missing.
    Finished,
    /// It cannot be continued.
    Lost,
}

impl Passed {
    /// Takes bytes in and gives the events that are whole now.
    pub fn take(&mut self, data: &[u8]) -> Bytes {
        self.begun.extend_from_slice(data);
        let ends = self.begun.windows(EVENT_END.len());
        let Some(last) = ends.into_iter().rposition(|bytes| bytes == EVENT_END) else {
            return Bytes::new();
        };
        let mut events = self.begun.split_to(last + EVENT_END.len()).freeze();
        if self.chunks_before > 0 {
            events = renumber(&events, self.chunks_before);
        }
        self.keep(&events);
        events
    }

    fn keep(&mut self, events: &[u8]) {
        if self.kept.len() + events.len() > KEPT_LIMIT_BYTES {
            self.too_long = true;
            // The end of the answer has to be known all the same.
            self.kept.clear();
        }
        self.kept.extend_from_slice(events);
    }

    /// The last event was the one that ends an answer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.begun.is_empty() && self.kept.trim_ascii_end().ends_with(DONE.as_bytes())
    }

    /// What can be done about an engine that broke off; the next one starts anew.
    pub fn break_off(&mut self) -> Broken {
        self.begun.clear();
        if self.too_long {
            return Broken::Lost;
        }
        let mut assembly = Assembly::default();
        let mut text = String::new();
        for data in data_lines(&self.kept) {
            let Ok(data) = std::str::from_utf8(data) else {
                return Broken::Lost;
            };
            match assembly.push(data) {
                Ok(taken) => text.push_str(&text_of(&taken)),
                Err(_fault) => return Broken::Lost,
            }
        }
        if !assembly.has_no_gap() {
            return Broken::Lost;
        }
        if assembly.is_finished() {
            return Broken::Finished;
        }
        self.chunks_before = assembly.next_seq();
        Broken::Unfinished(text)
    }
}

/// Data of each event.
fn data_lines(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter_map(|line| line.strip_prefix(DATA).map(<[u8]>::trim_ascii))
}

/// Counts the chunks of a later engine on from those of the engines before.
fn renumber(events: &[u8], chunks_before: u64) -> Bytes {
    let mut renumbered = BytesMut::new();
    for data in data_lines(events) {
        renumbered.extend_from_slice(DATA);
        renumbered.extend_from_slice(b" ");
        match serde_json::from_slice::<Value>(data) {
            Ok(mut chunk) if chunk["seq"].is_u64() => {
                let seq = chunk["seq"].as_u64().unwrap_or_default();
                chunk["seq"] = Value::from(seq + chunks_before);
                renumbered.extend_from_slice(chunk.to_string().as_bytes());
            }
            // The end of the answer, or what the caller has to judge itself.
            Ok(_) | Err(_) => renumbered.extend_from_slice(data),
        }
        renumbered.extend_from_slice(EVENT_END);
    }
    renumbered.freeze()
}

/// The caller's request with the text that its answer has so far. All else in it, known
/// here or not, stays as the caller sent it; `None` if it is no JSON object.
#[must_use]
pub fn going_on(body: &[u8], text: &str) -> Option<Bytes> {
    let mut request: Map<String, Value> = serde_json::from_slice(body).ok()?;
    let before = request.get(RESUME_TEXT).and_then(Value::as_str);
    let text = format!("{}{text}", before.unwrap_or_default());
    request.insert(RESUME_TEXT.to_owned(), text.into());
    serde_json::to_vec(&request).ok().map(Bytes::from)
}

/// An answer on its way to its caller.
struct Relay {
    entry: Arc<Entry>,
    call: Call,
    gate: Arc<Gate>,
    /// What comes from the engine; `None` at the end.
    run: Option<(Incoming, Permit)>,
    passed: Passed,
    /// Bytes of the engine that answers now.
    run_bytes: usize,
    /// Engines that were asked.
    asked: Vec<UpstreamKey>,
}

/// Passes an engine's answer on, from as many engines as it takes.
pub(in crate::request) fn relay(
    entry: Arc<Entry>,
    call: Call,
    gate: Arc<Gate>,
    body: Incoming,
    permit: Permit,
) -> impl Stream<Item = Result<Frame<Bytes>, io::Error>> {
    let relay = Relay {
        asked: vec![permit.upstream()],
        run: Some((body, permit)),
        passed: Passed::default(),
        run_bytes: 0,
        entry,
        call,
        gate,
    };
    stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    })
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            let left = self.call.remaining(&self.entry);
            let (body, _) = self.run.as_mut()?;
            let Some(frame) = within(left, body.frame()).await else {
                self.finish(Ending::Abandoned);
                return Some(Err(io::ErrorKind::TimedOut.into()));
            };
            match frame {
                Some(Ok(frame)) => {
                    let events = frame.data_ref().map(|data| self.take(data));
                    if let Some(events) = events.filter(|events| !events.is_empty()) {
                        return Some(Ok(events));
                    }
                }
                None if self.passed.is_whole() => {
                    self.finish(Ending::Answered);
                    return None;
                }
                None | Some(Err(_)) => {
                    self.finish(Ending::Failed);
                    match self.go_on().await {
                        Ok(None) => {}
                        Ok(Some(end)) => return Some(Ok(end)),
                        Err(error) => return Some(Err(error)),
                    }
                }
            }
        }
    }

    fn take(&mut self, data: &[u8]) -> Bytes {
        self.run_bytes += data.len();
        self.passed.take(data)
    }

    fn finish(&mut self, ending: Ending) {
        let Some((_, permit)) = self.run.take() else {
            return;
        };
        self.call.note_ending(&self.entry, ending);
        permit.finish(ending, (self.run_bytes / BYTES_PER_TOKEN) as u32);
        self.run_bytes = 0;
    }

    /// Asks the next engine to go on, or gives the end of the answer.
    async fn go_on(&mut self) -> Result<Option<Bytes>, io::Error> {
        let lost = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let text = match self.passed.break_off() {
            Broken::Unfinished(text) if self.call.may_continue() => text,
            Broken::Finished => return Ok(Some(format!("data: {DONE}\n\n").into())),
            Broken::Unfinished(_) | Broken::Lost => return Err(lost()),
        };
        loop {
            let tries = self.asked.len() as u32;
            if !self.gate.allow_retry(Ending::Failed, true, tries) {
                return Err(lost());
            }
            let standing = self.call.check_standing(&self.entry, true).await;
            standing.map_err(|_suspect| lost())?;
            let ask = self.call.ask(self.asked.clone());
            let permit = self.gate.admit(ask).await.map_err(|_turned| lost())?;
            self.asked.push(permit.upstream());
            let body = self.ask_engine(&permit, &text).await;
            self.call.note_continued(&self.entry, body.is_some());
            if let Some(body) = body {
                self.run = Some((body, permit));
                return Ok(None);
            }
            permit.finish(Ending::Failed, 0);
        }
    }

    async fn ask_engine(&self, permit: &Permit, text: &str) -> Option<Incoming> {
        let body = going_on(&self.call.body, text)?;
        let request = self.call.upstream_request(body);
        let sending = self.entry.http().send(permit.address(), request);
        let response = within(self.call.remaining(&self.entry), sending).await;
        let response = response?.ok()?;
        (response.status().is_success() && is_stream(&response)).then(|| response.into_body())
    }
}
