//! Charged calls as the entries tell each other of them: what is claimed, how far
//! it has come, and what the holder of its record says.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::version::view::WireError;
use crate::wire::firweir_capnp;

/// One attempt to run a charged call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Digest of service and idempotency key.
    pub key: String,
    /// Digest of the request under that key.
    pub fingerprint: String,
    /// Names this attempt; unique among all attempts of all entries.
    pub claim: String,
}

/// An answer that is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; only text is kept.
    pub body: String,
}

/// How far a charged call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Progress {
    /// It may have run.
    Started,
    /// It was turned away before it ran; it may be started again.
    NotRun,
    /// It ran, and this was the answer.
    Answered(StoredAnswer),
}

/// What the holder of a record says to a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// This claim alone may run the call.
    Run,
    /// The call ran; this was its answer.
    Answered(StoredAnswer),
    /// Another claim may have run it.
    MayHaveRun,
    /// The key stands for a different request.
    KeyReused,
    /// Nothing was claimed; come back later.
    Refused(Duration),
    /// The record is held by the entry at this address.
    Moved(SocketAddr),
}

/// Reads a charge from a message.
pub fn read_charge(reader: firweir_capnp::charge::Reader<'_>) -> Result<Charge, WireError> {
    Ok(Charge {
        key: reader.get_key()?.to_str()?.to_owned(),
        fingerprint: reader.get_fingerprint()?.to_str()?.to_owned(),
        claim: reader.get_claim()?.to_str()?.to_owned(),
    })
}

/// Writes a charge into a message.
pub fn write_charge(charge: &Charge, mut builder: firweir_capnp::charge::Builder<'_>) {
    builder.set_key(&charge.key);
    builder.set_fingerprint(&charge.fingerprint);
    builder.set_claim(&charge.claim);
}

/// Reads how far a call has come from a message.
pub fn read_progress(
    reader: firweir_capnp::charge_state::Reader<'_>,
) -> Result<Progress, WireError> {
    use firweir_capnp::charge_state::Which;
    Ok(match reader.which()? {
        Which::Started(()) => Progress::Started,
        Which::NotRun(()) => Progress::NotRun,
        Which::Answered(answer) => Progress::Answered(read_answer(answer?)?),
    })
}

/// Writes how far a call has come into a message.
pub fn write_progress(progress: &Progress, mut builder: firweir_capnp::charge_state::Builder<'_>) {
    match progress {
        Progress::Started => builder.set_started(()),
        Progress::NotRun => builder.set_not_run(()),
        Progress::Answered(answer) => write_answer(answer, builder.init_answered()),
    }
}

/// Reads a verdict from a message.
pub fn read_verdict(reader: firweir_capnp::verdict::Reader<'_>) -> Result<Verdict, WireError> {
    use firweir_capnp::verdict::Which;
    Ok(match reader.which()? {
        Which::Run(()) => Verdict::Run,
        Which::Answered(answer) => Verdict::Answered(read_answer(answer?)?),
        Which::MayHaveRun(()) => Verdict::MayHaveRun,
        Which::KeyReused(()) => Verdict::KeyReused,
        Which::Refused(refusal) => {
            Verdict::Refused(Duration::from_millis(refusal?.get_retry_after_ms()))
        }
        Which::Moved(address) => Verdict::Moved(address?.to_str()?.parse()?),
    })
}

/// Writes a verdict into a message.
pub fn write_verdict(verdict: &Verdict, mut builder: firweir_capnp::verdict::Builder<'_>) {
    match verdict {
        Verdict::Run => builder.set_run(()),
        Verdict::Answered(answer) => write_answer(answer, builder.init_answered()),
        Verdict::MayHaveRun => builder.set_may_have_run(()),
        Verdict::KeyReused => builder.set_key_reused(()),
        Verdict::Refused(retry_after) => builder
            .init_refused()
            .set_retry_after_ms(retry_after.as_millis() as u64),
        Verdict::Moved(address) => builder.set_moved(address.to_string()),
    }
}

fn read_answer(
    reader: firweir_capnp::stored_answer::Reader<'_>,
) -> Result<StoredAnswer, WireError> {
    Ok(StoredAnswer {
        status: reader.get_status(),
        content_type: reader.get_content_type()?.to_str()?.to_owned(),
        body: reader.get_body()?.to_str()?.to_owned(),
    })
}

fn write_answer(answer: &StoredAnswer, mut builder: firweir_capnp::stored_answer::Builder<'_>) {
    builder.set_status(answer.status);
    builder.set_content_type(&answer.content_type);
    builder.set_body(&answer.body);
}
