//! One shard of charged calls at the entry that holds it: claims and ends go
//! into the shard's chain in batches, one write at a time.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::BoxFuture;
use futures_util::future::join_all;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::connection::object::Etag;
use crate::connection::object::ObjectApi;
use crate::connection::object::ObjectError;
use crate::process::run::Parts;
use crate::request::charge::Charge;
use crate::request::charge::Progress;
use crate::request::charge::Verdict;
use crate::request::charge_log::ChargeLog;
use crate::request::charge_log::Segment;
use crate::request::charge_log::Stored;
use crate::request::charge_log::Writer;

/// Time from the start of one write of a shard to the next. With
/// [`crate::process::charges::SHARDS`] this bounds the writes of the fleet.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Ends alone wait this long for a claim to share a write with: until then they
/// are answered from memory, and only the holder's death would lose them.
const ENDS_WAIT: Duration = Duration::from_secs(1);

/// A claim that is not stored by then is refused. Ten times what a healthy
/// platform and a full batch take.
const CLAIM_WAIT: Duration = Duration::from_secs(1);

/// Pause after the object API failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// When a caller may come back while the object API does not answer.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// When a caller may come back to a shard with no room.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An entry that lost the shard points to the new holder for so long before it
/// would take the shard over again. Entries that disagree on who is alive would
/// otherwise take it from each other with every call.
const POINT_ON: Duration = Duration::from_secs(2);

/// A write that was not answered by then is read back.
const READ_BACK_AFTER: Duration = Duration::from_millis(250);

/// Reads of a takeover that are made at once.
const READS_AT_ONCE: u32 = 16;

/// What an entry wants of a shard.
#[derive(Debug)]
pub enum Command {
    /// Claim a call.
    Begin(Charge, oneshot::Sender<Verdict>),
    /// Note how a claim ended.
    End(EndedClaim, oneshot::Sender<bool>),
}

/// How a claim ended.
#[derive(Debug, Clone)]
pub struct EndedClaim {
    /// Digest of service and idempotency key.
    pub key: String,
    /// Name of the claim.
    pub claim: String,
    /// How it ended.
    pub progress: Progress,
}

/// Shards of this VM whose last call of the object API failed.
///
/// While there is one, the API is known to be down and new claims are refused
/// at once; the shards that failed go on trying.
#[derive(Debug, Clone, Default)]
pub struct Outage(Arc<AtomicU32>);

impl Outage {
    fn is_known(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

/// One shard.
#[derive(Debug)]
pub struct Shard {
    number: u32,
    parts: Parts,
    api: ObjectApi,
    outage: Outage,
    commands: mpsc::Receiver<Command>,
    /// None until the shard is wanted, and after it was lost.
    log: Option<ChargeLog>,
    waiting: Vec<Waiting>,
    /// Ends that the object API does not hold yet, with the change that stores them.
    ends: Vec<(Option<u64>, EndedClaim)>,
    ends_since: Option<Instant>,
    moved: Option<(SocketAddr, Instant)>,
    failing: bool,
    not_before: Instant,
    write_started: Instant,
    /// The API is slow: silence does not tell of a lost reply.
    patient: bool,
}

/// A claim that is not stored yet.
#[derive(Debug)]
struct Waiting {
    charge: Charge,
    /// Change that stores it; none before the log is loaded.
    stored_by: Option<u64>,
    refuse_at: Instant,
    verdict: oneshot::Sender<Verdict>,
}

/// A call of the object API that ended.
enum Done {
    Loaded(Option<ChargeLog>),
    Written(Result<Etag, ObjectError>),
    /// Who holds the shard that this entry lost.
    Holder(Option<SocketAddr>),
}

type Storing = Option<BoxFuture<'static, Done>>;

impl Shard {
    /// A shard that is not held yet; shards of one VM share `outage`.
    #[must_use]
    pub fn new(
        number: u32,
        parts: Parts,
        api: ObjectApi,
        outage: Outage,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        Self {
            number,
            api,
            outage,
            commands,
            log: None,
            waiting: Vec::new(),
            ends: Vec::new(),
            ends_since: None,
            moved: None,
            failing: false,
            not_before: parts.clock.now(),
            write_started: parts.clock.now(),
            patient: false,
            parts,
        }
    }

    /// Serves the shard for as long as the process lives.
    pub async fn run(mut self) {
        let mut storing: Storing = None;
        loop {
            let wake_at = self.wake_at(storing.is_some());
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(Command::Begin(charge, verdict)) => self.begin(charge, verdict),
                    Some(Command::End(ended, kept)) => self.end(ended, kept),
                    None => return,
                },
                done = finished(&mut storing) => self.take(done, &mut storing),
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            self.refuse_overdue(storing.is_some());
            if storing.is_none() {
                storing = self.next_call();
            }
        }
    }

    fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    fn begin(&mut self, charge: Charge, verdict: oneshot::Sender<Verdict>) {
        let now = self.now();
        if let Some((holder, until)) = self.moved
            && now < until
        {
            _ = verdict.send(Verdict::Moved(holder));
            return;
        }
        if let Some(found) = self.log.as_ref().and_then(|log| log.look_up(&charge)) {
            _ = verdict.send(found);
            return;
        }
        if self.outage.is_known() {
            _ = verdict.send(Verdict::Refused(OUTAGE_RETRY_AFTER));
            return;
        }
        let stored_by = self.log.as_mut().map(|log| log.claim(&charge));
        if stored_by == Some(None) {
            _ = verdict.send(Verdict::Refused(FULL_RETRY_AFTER));
            return;
        }
        self.waiting.push(Waiting {
            charge,
            stored_by: stored_by.flatten(),
            refuse_at: now + CLAIM_WAIT,
            verdict,
        });
    }

    fn end(&mut self, ended: EndedClaim, kept: oneshot::Sender<bool>) {
        let log = self.log.as_mut();
        let noted =
            log.is_some_and(|log| log.end(&ended.key, &ended.claim, ended.progress.clone()));
        if noted {
            let change = self.log.as_ref().map(ChargeLog::changes);
            self.keep_end(change, ended);
        }
        _ = kept.send(noted);
    }

    fn keep_end(&mut self, change: Option<u64>, ended: EndedClaim) {
        let now = self.now();
        self.ends_since.get_or_insert(now);
        self.ends.push((change, ended));
    }

    /// Refuses claims that wait too long, and takes them back, so that a resend
    /// is not told that they may have run.
    fn refuse_overdue(&mut self, storing: bool) {
        let now = self.now();
        if !self.waiting.iter().any(|waiting| waiting.refuse_at <= now) {
            return;
        }
        if storing {
            self.set_failing(true);
        }
        let (overdue, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.refuse_at <= now);
        self.waiting = waiting;
        let overdue: Vec<Waiting> = overdue;
        for waiting in overdue {
            self.withdraw(waiting.charge);
            _ = waiting.verdict.send(Verdict::Refused(OUTAGE_RETRY_AFTER));
        }
    }

    fn withdraw(&mut self, charge: Charge) {
        let ended = EndedClaim {
            key: charge.key,
            claim: charge.claim,
            progress: Progress::NotRun,
        };
        let noted = self
            .log
            .as_mut()
            .is_some_and(|log| log.end(&ended.key, &ended.claim, Progress::NotRun));
        let stored_by = self.log.as_ref().filter(|_| noted).map(ChargeLog::changes);
        self.keep_end(stored_by, ended);
    }

    fn wake_at(&self, storing: bool) -> Instant {
        let overdue = self.waiting.iter().map(|waiting| waiting.refuse_at).min();
        let call_at = if storing { None } else { self.call_at() };
        let wake_at = [overdue, call_at].into_iter().flatten().min();
        wake_at.unwrap_or_else(|| self.now() + Duration::from_secs(3_600))
    }

    /// When the object API is called next.
    fn call_at(&self) -> Option<Instant> {
        let wanted = match &self.log {
            None if self.waiting.is_empty() && !self.failing => return None,
            Some(log) if !log.is_dirty() => return None,
            Some(_) if self.waiting.is_empty() && !self.failing => self
                .ends_since
                .map_or(self.not_before, |since| since + ENDS_WAIT),
            None | Some(_) => self.not_before,
        };
        Some(wanted.max(self.not_before))
    }

    fn next_call(&mut self) -> Storing {
        let now = self.now();
        if self.call_at().is_none_or(|at| now < at) {
            return None;
        }
        self.not_before = now + WRITE_EVERY;
        self.write_started = now;
        let (api, number) = (self.api_for_write(), self.number);
        let Some(log) = &mut self.log else {
            return Some(Box::pin(
                async move { Done::Loaded(load(&api, number).await) },
            ));
        };
        let write = log.write(Writer {
            write_id: api.write_id(),
            holder: self.parts.settings.draft_listen,
            now_ms: self.parts.clock.since_epoch().as_millis() as u64,
        });
        self.ends_since = None;
        Some(Box::pin(async move {
            let key = object_key(number, write.slot);
            Done::Written(api.write(&key, &write.segment, &write.condition).await)
        }))
    }

    fn api_for_write(&self) -> ObjectApi {
        if self.patient {
            self.api.clone()
        } else {
            self.api.clone().reading_back_after(READ_BACK_AFTER)
        }
    }

    /// A slow API answers the read that settles a write slowly too. Reading back
    /// early would then send each write twice and answer no claim in time.
    fn note_pace(&mut self) {
        let took = self.now().duration_since(self.write_started);
        if took > READ_BACK_AFTER * 2 {
            self.patient = true;
        } else if took < READ_BACK_AFTER {
            self.patient = false;
        }
    }

    fn take(&mut self, done: Done, storing: &mut Storing) {
        match done {
            Done::Loaded(Some(log)) => self.loaded(log),
            Done::Written(Ok(etag)) => self.written(etag),
            Done::Written(Err(ObjectError::Conflict)) => *storing = self.lost(),
            Done::Holder(holder) => self.point_to(holder),
            // Whether a failed write took effect is read from the chain.
            Done::Loaded(None) | Done::Written(Err(_)) => {
                self.log = None;
                self.set_failing(true);
                self.not_before = self.now() + FAILURE_PAUSE;
            }
        }
    }

    /// Brings what waited for the chain into it.
    fn loaded(&mut self, mut log: ChargeLog) {
        self.set_failing(false);
        for (change, ended) in &mut self.ends {
            let noted = log.end(&ended.key, &ended.claim, ended.progress.clone());
            *change = noted.then(|| log.changes());
        }
        for mut waiting in std::mem::take(&mut self.waiting) {
            if let Some(found) = log.look_up(&waiting.charge) {
                _ = waiting.verdict.send(found);
                continue;
            }
            waiting.stored_by = log.claim(&waiting.charge);
            if waiting.stored_by.is_some() {
                self.waiting.push(waiting);
            } else {
                _ = waiting.verdict.send(Verdict::Refused(FULL_RETRY_AFTER));
            }
        }
        self.log = Some(log);
    }

    fn written(&mut self, etag: Etag) {
        self.note_pace();
        let Some(log) = &mut self.log else {
            return;
        };
        let stored = log.written(etag);
        self.set_failing(false);
        let is_stored = |change: Option<u64>| change.is_none_or(|change| change <= stored);
        self.ends.retain(|(change, _)| !is_stored(*change));
        for waiting in std::mem::take(&mut self.waiting) {
            if is_stored(waiting.stored_by) {
                _ = waiting.verdict.send(Verdict::Run);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Another entry wrote to the chain: it is the holder now.
    fn lost(&mut self) -> Storing {
        let slot = self.log.take()?.open_slot();
        let (api, key) = (self.api.clone(), object_key(self.number, slot));
        Some(Box::pin(async move {
            let read = api.read::<Segment>(&key).await;
            Done::Holder(read.ok().flatten().map(|found| found.value.holder))
        }))
    }

    fn point_to(&mut self, holder: Option<SocketAddr>) {
        // Our own late write looks like a loss; the chain is read again.
        let Some(holder) = holder.filter(|at| *at != self.parts.settings.draft_listen) else {
            return;
        };
        self.parts.journal.event(
            "shard_lost",
            &[("shard", &self.number), ("holder", &holder)],
        );
        self.moved = Some((holder, self.now() + POINT_ON));
        self.ends.clear();
        for waiting in self.waiting.drain(..) {
            _ = waiting.verdict.send(Verdict::Moved(holder));
        }
    }

    fn set_failing(&mut self, failing: bool) {
        if self.failing == failing {
            return;
        }
        self.failing = failing;
        if failing {
            self.outage.0.fetch_add(1, Ordering::Relaxed);
        } else {
            self.outage.0.fetch_sub(1, Ordering::Relaxed);
        }
        self.parts.journal.event(
            "charges_outage",
            &[("shard", &self.number), ("failing", &failing)],
        );
    }
}

/// The end of the call under way; pending if there is none.
async fn finished(storing: &mut Storing) -> Done {
    let Some(call) = storing else {
        return std::future::pending().await;
    };
    let done = Pin::new(call).await;
    *storing = None;
    done
}

fn object_key(shard: u32, slot: u32) -> String {
    format!("charges/{shard}/{slot}")
}

/// Reads all segments of a shard.
async fn load(api: &ObjectApi, shard: u32) -> Option<ChargeLog> {
    let mut found = Vec::new();
    for first in (0..).step_by(READS_AT_ONCE as usize) {
        // A shard that has not grown yet is one read.
        let count = if first == 0 { 1 } else { READS_AT_ONCE };
        let start = if first == 0 {
            0
        } else {
            first - READS_AT_ONCE + 1
        };
        let slots: Vec<u32> = (start..start + count).collect();
        let keys: Vec<String> = slots.iter().map(|slot| object_key(shard, *slot)).collect();
        let reads = join_all(keys.iter().map(|key| api.read::<Segment>(key))).await;
        for (slot, read) in slots.into_iter().zip(reads) {
            let Some(versioned) = read.ok()? else {
                return ChargeLog::load(found).ok();
            };
            found.push(Stored {
                slot,
                etag: versioned.etag,
                segment: versioned.value,
            });
        }
    }
    None
}
