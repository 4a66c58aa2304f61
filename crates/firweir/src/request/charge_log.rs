//! The records of one shard of charged calls: a chain of segments in the object
//! API, and what they say to a charge.
//!
//! A segment is one object. Its holder appends to the open one by conditional
//! writes until it is large, then seals it in the same write and names the slot
//! of the next. Whoever takes the shard over writes to the open segment as well:
//! that changes its version, so that the condition of every later write of the
//! holder before fails, however long that one was paused. No clock decides who
//! may write.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::object::Condition;
use crate::connection::object::Etag;
use crate::connection::object::Stamped;
use crate::request::charge::Charge;
use crate::request::charge::Progress;
use crate::request::charge::Verdict;

/// A record is found for at least this long after its last change. Calls that
/// are charged wait at most a third of it, so that a claim that is still
/// running cannot outlive its record.
pub const RETENTION: Duration = Duration::from_secs(900);

/// A segment is sealed above this. Each write sends the open segment whole, so
/// larger ones cost bytes and processor time; smaller ones are more reads at a
/// takeover: at 1,300 charged calls a second this makes some 800 of a shard.
pub const SEAL_ABOVE_BYTES: usize = 32 << 10;

/// No record is added to an open segment above this, which keeps the object
/// below the API's megabyte with the answers of one more write.
pub const OPEN_LIMIT_BYTES: usize = 640 << 10;

/// Bytes of a record beside its texts, as JSON.
const RECORD_BYTES: usize = 96;

/// The record of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    key: String,
    fingerprint: String,
    claim: String,
    #[serde(flatten)]
    progress: Progress,
}

/// One object of the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    write_id: String,
    /// Grows with each takeover.
    pub epoch: u64,
    /// Where the entry that wrote it takes charges.
    pub holder: SocketAddr,
    /// Place in the chain.
    pub seq: u64,
    /// Time of day of the last write.
    pub written_ms: u64,
    /// Set once it is sealed: the slot of the next segment.
    next: Option<u32>,
    /// Sorted by key.
    records: Vec<Record>,
}

impl Stamped for Segment {
    fn write_id(&self) -> &str {
        &self.write_id
    }
}

/// A segment as it was read.
#[derive(Debug, Clone)]
pub struct Stored {
    /// Number in its object's name.
    pub slot: u32,
    /// Version of the object.
    pub etag: Etag,
    /// Its value.
    pub segment: Segment,
}

/// The segments changed while they were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Torn;

/// Who writes, for the head of a segment.
#[derive(Debug, Clone)]
pub struct Writer {
    /// Name of the write.
    pub write_id: String,
    /// Where the writing entry takes charges.
    pub holder: SocketAddr,
    /// Time of day.
    pub now_ms: u64,
}

/// One write that brings the stored chain up to [`ChargeLog::changes`].
#[derive(Debug)]
pub struct Write {
    /// Object to write.
    pub slot: u32,
    /// Under which condition.
    pub condition: Condition,
    /// Its new value.
    pub segment: Segment,
}

/// The chain of one shard as its holder keeps it.
#[derive(Debug)]
pub struct ChargeLog {
    epoch: u64,
    /// Sealed segments by place in the chain.
    sealed: Vec<Sealed>,
    open: Open,
    /// Changes so far.
    changes: u64,
    /// Changes that the object API holds.
    stored: u64,
    /// What the write that is on its way covers.
    writing: Option<Writing>,
}

#[derive(Debug)]
struct Sealed {
    slot: u32,
    /// None while its sealing write is on its way.
    etag: Option<Etag>,
    written_ms: u64,
    records: Vec<Record>,
}

#[derive(Debug)]
struct Open {
    slot: u32,
    condition: Condition,
    seq: u64,
    bytes: usize,
    records: Vec<Record>,
}

#[derive(Debug, Clone, Copy)]
struct Writing {
    changes: u64,
    seals: bool,
}

impl ChargeLog {
    /// Puts the segments of a shard together.
    ///
    /// # Errors
    ///
    /// They were not read at one point of the chain: read again.
    pub fn load(mut found: Vec<Stored>) -> Result<Self, Torn> {
        found.sort_by_key(|stored| stored.segment.seq);
        // The oldest slot is the one that is used again, so that the segments
        // of a whole reading are always consecutive.
        let torn = |pair: &[Stored]| pair[0].segment.seq + 1 != pair[1].segment.seq;
        if found.windows(2).any(torn) {
            return Err(Torn);
        }
        let slots = found.len() as u32;
        let last = found.pop();
        let mut sealed: Vec<Sealed> = found.into_iter().map(Sealed::from).collect();
        let epoch = last.as_ref().map_or(0, |last| last.segment.epoch) + 1;
        let open = match last {
            None => Open::new(0, Condition::Absent, 0),
            Some(last) => match last.segment.next {
                None => Open::from(last),
                Some(next) => {
                    let seq = last.segment.seq + 1;
                    sealed.push(Sealed::from(last));
                    let condition = condition_of(&mut sealed, next, slots).ok_or(Torn)?;
                    Open::new(next, condition, seq)
                }
            },
        };
        Ok(Self {
            epoch,
            sealed,
            open,
            changes: 0,
            stored: 0,
            writing: None,
        })
    }

    /// Changes so far; a write covers those made before it.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// The object API lacks changes.
    #[must_use]
    pub const fn is_dirty(&self) -> bool {
        self.stored < self.changes
    }

    /// The slot that is written next.
    #[must_use]
    pub const fn open_slot(&self) -> u32 {
        self.open.slot
    }

    /// What the records say to a charge, or `None` if it may be claimed.
    #[must_use]
    pub fn look_up(&self, charge: &Charge) -> Option<Verdict> {
        let record = self.find(&charge.key)?;
        if record.fingerprint != charge.fingerprint {
            return Some(Verdict::KeyReused);
        }
        match &record.progress {
            Progress::Answered(answer) => Some(Verdict::Answered(answer.clone())),
            Progress::NotRun => None,
            // The same claim asks again because our reply was lost.
            Progress::Started if record.claim == charge.claim && !self.is_dirty() => {
                Some(Verdict::Run)
            }
            Progress::Started if record.claim == charge.claim => None,
            Progress::Started => Some(Verdict::MayHaveRun),
        }
    }

    /// Claims a call that [`ChargeLog::look_up`] found free. The claim holds once
    /// the change whose number is given is stored; `None` if there is no room.
    pub fn claim(&mut self, charge: &Charge) -> Option<u64> {
        if self.open.bytes > OPEN_LIMIT_BYTES {
            return None;
        }
        self.put(Record {
            key: charge.key.clone(),
            fingerprint: charge.fingerprint.clone(),
            claim: charge.claim.clone(),
            progress: Progress::Started,
        });
        Some(self.changes)
    }

    /// Notes how a claim ended; gives whether it is the one that stands.
    ///
    /// A late `NotRun` of an earlier claim would open the call to a second run
    /// while a later claim runs it; the claim's name keeps the two apart.
    pub fn end(&mut self, key: &str, claim: &str, progress: Progress) -> bool {
        let Some(found) = self.find(key) else {
            return false;
        };
        if found.claim != claim || found.progress != Progress::Started {
            return false;
        }
        let record = Record {
            progress,
            ..found.clone()
        };
        if self.open.bytes + record.bytes() > OPEN_LIMIT_BYTES {
            return false;
        }
        self.put(record);
        true
    }

    /// The next write. No other is made until [`ChargeLog::written`].
    pub fn write(&mut self, writer: Writer) -> Write {
        let seals = self.open.bytes > SEAL_ABOVE_BYTES;
        self.writing = Some(Writing {
            changes: self.changes,
            seals,
        });
        let next = seals.then(|| self.next_slot(writer.now_ms));
        let write = Write {
            slot: self.open.slot,
            condition: self.open.condition.clone(),
            segment: Segment {
                write_id: writer.write_id,
                epoch: self.epoch,
                holder: writer.holder,
                seq: self.open.seq,
                written_ms: writer.now_ms,
                next,
                records: self.open.records.clone(),
            },
        };
        if let Some(next) = next {
            self.seal(next, writer.now_ms);
        }
        write
    }

    /// The last write took effect; gives how many changes are stored now.
    pub fn written(&mut self, etag: Etag) -> u64 {
        if let Some(writing) = self.writing.take() {
            self.stored = writing.changes;
            if writing.seals {
                if let Some(sealed) = self.sealed.last_mut() {
                    sealed.etag = Some(etag);
                }
            } else {
                self.open.condition = Condition::At(etag);
            }
        }
        self.stored
    }

    fn find(&self, key: &str) -> Option<&Record> {
        let segments = self.sealed.iter().map(|sealed| &sealed.records);
        let newest_first = std::iter::once(&self.open.records).chain(segments.rev());
        newest_first.into_iter().find_map(|records| {
            let position = position_of(records, key).ok()?;
            Some(&records[position])
        })
    }

    fn put(&mut self, record: Record) {
        self.changes += 1;
        self.open.bytes += record.bytes();
        match position_of(&self.open.records, &record.key) {
            Ok(position) => {
                self.open.bytes -= self.open.records[position].bytes();
                self.open.records[position] = record;
            }
            Err(position) => self.open.records.insert(position, record),
        }
    }

    /// The slot of the oldest segment if all its records are past retention,
    /// otherwise a new one.
    fn next_slot(&self, now_ms: u64) -> u32 {
        let expired = |sealed: &&Sealed| {
            let age_ms = now_ms.saturating_sub(sealed.written_ms);
            age_ms > RETENTION.as_millis() as u64
        };
        let slots = self.sealed.len() as u32 + 1;
        self.sealed
            .first()
            .filter(expired)
            .map_or(slots, |sealed| sealed.slot)
    }

    fn seal(&mut self, next: u32, now_ms: u64) {
        let slots = self.sealed.len() as u32 + 1;
        let condition = condition_of(&mut self.sealed, next, slots).unwrap_or(Condition::Absent);
        let seq = self.open.seq + 1;
        let full = std::mem::replace(&mut self.open, Open::new(next, condition, seq));
        self.sealed.push(Sealed {
            slot: full.slot,
            etag: None,
            written_ms: now_ms,
            records: full.records,
        });
    }
}

/// The condition under which the segment in `next` is begun. A slot that is used
/// again gives up its old segment.
fn condition_of(sealed: &mut Vec<Sealed>, next: u32, slots: u32) -> Option<Condition> {
    if next == slots {
        return Some(Condition::Absent);
    }
    let position = sealed.iter().position(|sealed| sealed.slot == next)?;
    sealed.remove(position).etag.map(Condition::At)
}

fn position_of(records: &[Record], key: &str) -> Result<usize, usize> {
    records.binary_search_by(|record| record.key.as_str().cmp(key))
}

impl From<Stored> for Sealed {
    fn from(stored: Stored) -> Self {
        Self {
            slot: stored.slot,
            etag: Some(stored.etag),
            written_ms: stored.segment.written_ms,
            records: stored.segment.records,
        }
    }
}

impl From<Stored> for Open {
    fn from(stored: Stored) -> Self {
        let records = stored.segment.records;
        Self {
            slot: stored.slot,
            condition: Condition::At(stored.etag),
            seq: stored.segment.seq,
            bytes: records.iter().map(Record::bytes).sum(),
            records,
        }
    }
}

impl Open {
    const fn new(slot: u32, condition: Condition, seq: u64) -> Self {
        Self {
            slot,
            condition,
            seq,
            bytes: 0,
            records: Vec::new(),
        }
    }
}

impl Record {
    /// Bytes as JSON, never too few: a control character takes six.
    fn bytes(&self) -> usize {
        let answer = match &self.progress {
            Progress::Answered(answer) => {
                json_bytes(&answer.body) + json_bytes(&answer.content_type)
            }
            Progress::Started | Progress::NotRun => 0,
        };
        RECORD_BYTES + self.key.len() + self.fingerprint.len() + self.claim.len() + answer
    }
}

/// Bytes of a text as JSON.
#[must_use]
pub fn json_bytes(text: &str) -> usize {
    let bytes = text.bytes().map(|byte| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
        0..=0x1f => 6,
        _ => 1,
    });
    bytes.sum()
}
