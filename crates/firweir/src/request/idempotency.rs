//! At most one execution per idempotency key, across resends to other VMs and
//! the death of the entry that ran the call.
//!
//! A claim is stored before the first byte is sent, by the entry that holds the
//! key's shard. Whoever finds a claim of another does not run the call: it gives
//! the stored answer, or `unknown` if there is none yet.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::connection::client::within;
use crate::connection::object::ObjectApi;
use crate::process::charges::Message;
use crate::process::charges::Outgoing;
use crate::process::charges::holders;
use crate::process::charges::shard_of;
use crate::process::shard::EndedClaim;
use crate::request::answer::OUTCOME_HEADER;
use crate::request::answer::Outcome;
use crate::request::answer::Refused;
use crate::request::charge::Charge;
use crate::request::charge::Progress;
use crate::request::charge::StoredAnswer;
use crate::request::charge::Verdict;
use crate::request::charge_log::json_bytes;
use crate::version::view::View;

/// When a caller may ask again what became of a call that may have run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer above this as JSON is not kept. A hundred of them may end between
/// two writes of a shard, and the object API holds values up to a megabyte.
pub const STORED_ANSWER_LIMIT_BYTES: usize = 32 << 10;

/// Digests are cut to this much hexadecimal text: 128 bits do not collide.
const DIGEST_LENGTH: usize = 32;

/// An answer waits this long for its record, so that a resend that is already
/// on its way finds it. The note is carried on afterwards all the same.
const END_WAIT: Duration = Duration::from_millis(100);

/// Claims charged calls for one entry.
#[derive(Debug)]
pub struct Ledger {
    names: ObjectApi,
    outbox: mpsc::Sender<Outgoing>,
}

/// The sole right to run one charged call.
#[derive(Debug)]
pub struct Claim {
    outbox: mpsc::Sender<Outgoing>,
    holders: Vec<SocketAddr>,
    key: String,
    name: String,
}

/// What to do with a charged call.
#[derive(Debug)]
pub enum Begin {
    /// Run it.
    Run(Box<Claim>),
    /// Give this answer; the call is not run.
    Answer(Response<Bytes>),
    /// Refuse it; the call is not run now.
    Refuse(Refused),
}

/// What makes a charged call the same as an earlier one.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// Path and query at the service.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl Ledger {
    /// A ledger whose messages are sent from the other end of `outbox`, and
    /// whose claims are named by `names`.
    #[must_use]
    pub const fn new(names: ObjectApi, outbox: mpsc::Sender<Outgoing>) -> Self {
        Self { names, outbox }
    }

    /// Claims a charged call within `patience`, or finds what became of it.
    pub async fn begin(&self, view: &View, call: Identity<'_>, patience: Duration) -> Begin {
        let charge = Charge {
            key: digest(&[call.service.as_bytes(), call.key.as_bytes()]),
            fingerprint: digest(&[call.path.as_bytes(), call.body]),
            claim: self.names.write_id(),
        };
        let claim = Claim {
            outbox: self.outbox.clone(),
            holders: holders(view, shard_of(&charge.key)),
            key: charge.key.clone(),
            name: charge.claim.clone(),
        };
        let (verdict, decided) = oneshot::channel();
        let outgoing = Outgoing {
            holders: claim.holders.clone(),
            message: Message::Begin(charge, verdict),
        };
        let decided = match self.outbox.try_send(outgoing) {
            Ok(()) => within(patience, decided).await.and_then(Result::ok),
            Err(_full) => None,
        };
        claim.decide(decided.unwrap_or(Verdict::Refused(RETRY_AFTER)))
    }
}

impl Claim {
    fn decide(self, verdict: Verdict) -> Begin {
        Begin::Refuse(match verdict {
            Verdict::Run => return Begin::Run(Box::new(self)),
            Verdict::Answered(answer) => return Begin::Answer(stored_response(answer)),
            Verdict::MayHaveRun => Refused::unknown("may-have-run", RETRY_AFTER),
            Verdict::KeyReused => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                Refused::bad_request("idempotency-key-reused", status)
            }
            Verdict::Refused(retry_after) => Refused::not_run("charges", retry_after),
            Verdict::Moved(_) => Refused::not_run("charges", RETRY_AFTER),
        })
    }

    /// Keeps the answer for resends. If that fails, resends get `unknown`.
    pub async fn answered(self, response: &Response<Bytes>) {
        let body = std::str::from_utf8(response.body()).ok();
        let fits = |body: &&str| json_bytes(body) <= STORED_ANSWER_LIMIT_BYTES;
        let Some(body) = body.filter(fits) else {
            return;
        };
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let answer = StoredAnswer {
            status: response.status().as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: body.to_owned(),
        };
        self.end(Progress::Answered(answer)).await;
    }

    /// Notes that no byte of the call was sent, so that a resend may run it.
    pub async fn not_run(self) {
        self.end(Progress::NotRun).await;
    }

    async fn end(self, progress: Progress) {
        let (kept, noted) = oneshot::channel();
        let ended = EndedClaim {
            key: self.key,
            claim: self.name,
            progress,
        };
        let outgoing = Outgoing {
            holders: self.holders,
            message: Message::End(ended, kept),
        };
        if self.outbox.send(outgoing).await.is_ok() {
            _ = within(END_WAIT, noted).await;
        }
    }
}

fn stored_response(answer: StoredAnswer) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    response
}

/// Digest of several parts, each preceded by its length so that moving a byte
/// from one part to the next changes it.
fn digest(parts: &[&[u8]]) -> String {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    let mut text = hex_digest(&bytes);
    text.truncate(DIGEST_LENGTH);
    text
}

/// SHA-256 as hexadecimal text.
#[must_use]
pub fn hex_digest(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let written = write!(text, "{byte:02x}");
        debug_assert!(written.is_ok(), "writing to a string does not fail");
    }
    text
}
