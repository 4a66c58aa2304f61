//! Charged calls between entries: which entry holds the record of a key, and the
//! messages to it.
//!
//! Any entry may take any shard over: the chain in the object API refuses the
//! writes of all but the last one. The order in which entries are asked only
//! keeps them from taking shards from each other.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::client::within;
use crate::connection::peer::Peers;
use crate::process::clock::Clock;
use crate::process::run::Parts;
use crate::process::shard::Command;
use crate::process::shard::EndedClaim;
use crate::process::shard::Outage;
use crate::process::shard::Shard;
use crate::request::charge::Charge;
use crate::request::charge::Progress;
use crate::request::charge::Verdict;
use crate::request::charge::read_verdict;
use crate::request::charge::write_charge;
use crate::request::charge::write_progress;
use crate::version::view::Suspect;
use crate::version::view::View;
use crate::version::view::WireError;
use crate::wire::firweir_capnp::entry;

/// Shards of all charged calls. Each is written ten times a second at most, so
/// this bounds the fleet at 160 writes a second, half of what the object API
/// takes. A deployment never changes it: records would not be found.
pub const SHARDS: u32 = 16;

/// Entries that are asked for one charge: the preferred holder, and two more
/// where it is dead or paused.
const HOLDERS_ASKED: usize = 3;

/// An entry that does not answer by then is passed over: a second is the longest
/// that a holder lets a claim wait, and the rest is for the way.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Times that an entry is told of a suspect. The connection to one that was started
/// again still leads to the process before, and shows so only when it is used.
const TELL_TRIES: usize = 2;

/// An entry that did not answer is asked last for so long; the stewards know by
/// then whether it lives.
const PASS_OVER: Duration = Duration::from_secs(5);

/// When a caller may come back if no holder is to be had.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Commands that wait for one shard; more are refused.
const QUEUE: usize = 1_024;

/// The shards of one entry; cheap to clone.
#[derive(Debug, Clone)]
pub struct Shards {
    queues: Arc<[mpsc::Sender<Command>]>,
}

impl Shards {
    /// Starts the shards of an entry; none is held before it is wanted.
    #[must_use]
    pub fn start(parts: &Parts) -> Self {
        let api = parts.object_api("charges");
        let outage = Outage::default();
        let start = |number| {
            let (queue, commands) = mpsc::channel(QUEUE);
            let shard = Shard::new(number, parts.clone(), api.clone(), outage.clone(), commands);
            parts.tasks.spawn(shard.run());
            queue
        };
        Self {
            queues: (0..SHARDS).map(start).collect(),
        }
    }

    /// Claims a call, as the holder of its shard.
    pub async fn begin(&self, charge: Charge) -> Verdict {
        let (verdict, decided) = oneshot::channel();
        let queue = &self.queues[shard_of(&charge.key) as usize];
        let queued = queue.try_send(Command::Begin(charge, verdict));
        let refused = Verdict::Refused(NO_HOLDER_RETRY_AFTER);
        if queued.is_err() {
            return refused;
        }
        decided.await.unwrap_or(refused)
    }

    /// Notes how a claim ended; gives whether this entry holds its record.
    pub async fn end(&self, ended: EndedClaim) -> bool {
        let (kept, decided) = oneshot::channel();
        let queue = &self.queues[shard_of(&ended.key) as usize];
        let queued = queue.try_send(Command::End(ended, kept));
        queued.is_ok() && decided.await.unwrap_or(false)
    }
}

/// The shard of a key, by the first byte of its digest.
#[must_use]
pub fn shard_of(key: &str) -> u32 {
    let byte = key
        .get(..2)
        .and_then(|hex| u32::from_str_radix(hex, 16).ok());
    byte.unwrap_or(0) % SHARDS
}

/// Entries in the order in which they should hold the shard (rendezvous hash).
#[must_use]
pub fn holders(view: &View, shard: u32) -> Vec<SocketAddr> {
    let weight = |node: &str| xxh3_64(format!("{shard}/{node}").as_bytes());
    let mut members: Vec<(u64, SocketAddr)> = view
        .live_members()
        .map(|member| (weight(&member.node), member.draft_address))
        .collect();
    members.sort_unstable();
    members.truncate(HOLDERS_ASKED);
    members.into_iter().map(|(_, address)| address).collect()
}

/// A message to the holder of a shard.
#[derive(Debug)]
pub enum Message {
    /// Claim a call.
    Begin(Charge, oneshot::Sender<Verdict>),
    /// Note how a claim ended.
    End(EndedClaim, oneshot::Sender<bool>),
    /// Tell all of a suspect.
    Suspect(Suspect),
}

/// A message and the entries that may hold its shard.
#[derive(Debug)]
pub struct Outgoing {
    /// In the order in which they are asked.
    pub holders: Vec<SocketAddr>,
    /// What is asked.
    pub message: Message,
}

/// Sends messages to other entries, on the thread that `capnp-rpc` stays on.
#[derive(Debug)]
pub struct PeerSender {
    peers: Peers<entry::Client>,
    /// Entries that did not answer, until when they are asked last.
    passed_over: RefCell<Vec<(SocketAddr, Instant)>>,
    shards: Shards,
    clock: Arc<dyn Clock>,
    own: SocketAddr,
    node: String,
}

impl PeerSender {
    /// A sender for the entry that has these shards.
    #[must_use]
    pub fn new(parts: &Parts, shards: Shards) -> Rc<Self> {
        Rc::new(Self {
            peers: Peers::new(parts),
            passed_over: RefCell::default(),
            shards,
            clock: Arc::clone(&parts.clock),
            own: parts.settings.draft_listen,
            node: parts.settings.node.clone(),
        })
    }

    /// Sends messages for as long as the process lives.
    pub async fn run(self: Rc<Self>, parts: Parts, mut outbox: mpsc::Receiver<Outgoing>) {
        while let Some(outgoing) = outbox.recv().await {
            let sender = Rc::clone(&self);
            parts
                .tasks
                .spawn_local(async move { sender.send(outgoing).await });
        }
    }

    async fn send(&self, outgoing: Outgoing) {
        let holders = self.answering_first(outgoing.holders);
        match outgoing.message {
            Message::Begin(charge, verdict) => {
                let ended = EndedClaim {
                    key: charge.key.clone(),
                    claim: charge.claim.clone(),
                    progress: Progress::NotRun,
                };
                let decided = self.begin(holders.clone(), charge).await;
                // The entry gave up meanwhile and will not run it.
                if verdict.send(decided) == Err(Verdict::Run) {
                    self.end(holders, &ended).await;
                }
            }
            Message::End(ended, kept) => {
                _ = kept.send(self.end(holders, &ended).await);
            }
            Message::Suspect(suspect) => {
                let telling = holders.into_iter().map(|to| self.tell(to, suspect));
                drop(join_all(telling).await);
            }
        }
    }

    fn answering_first(&self, mut holders: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|(_, until)| now < *until);
        holders.sort_by_key(|holder| passed_over.iter().any(|(at, _)| at == holder));
        holders
    }

    fn pass_over(&self, holder: SocketAddr) {
        self.peers.forget(holder);
        let until = self.clock.now() + PASS_OVER;
        self.passed_over.borrow_mut().push((holder, until));
    }

    async fn begin(&self, holders: Vec<SocketAddr>, charge: Charge) -> Verdict {
        for holder in holders {
            match self.ask(holder, &charge).await {
                Some(Verdict::Moved(to)) => match self.ask(to, &charge).await {
                    Some(Verdict::Moved(_)) | None => break,
                    Some(verdict) => return verdict,
                },
                Some(verdict) => return verdict,
                None => {}
            }
        }
        Verdict::Refused(NO_HOLDER_RETRY_AFTER)
    }

    /// None if the entry does not answer. The claim may be stored all the same;
    /// the next holder finds it in the chain and knows it by its name.
    async fn ask(&self, holder: SocketAddr, charge: &Charge) -> Option<Verdict> {
        if holder == self.own {
            return Some(self.shards.begin(charge.clone()).await);
        }
        let asked = within(HOLDER_TIMEOUT, self.begin_at(holder, charge)).await;
        let verdict = asked.and_then(Result::ok);
        if verdict.is_none() {
            self.pass_over(holder);
        }
        verdict
    }

    async fn end(&self, holders: Vec<SocketAddr>, ended: &EndedClaim) -> bool {
        for holder in holders {
            if holder == self.own {
                if self.shards.end(ended.clone()).await {
                    return true;
                }
                continue;
            }
            match within(HOLDER_TIMEOUT, self.end_at(holder, ended)).await {
                Some(Ok(true)) => return true,
                Some(Ok(false)) => {}
                Some(Err(_)) | None => self.pass_over(holder),
            }
        }
        false
    }

    async fn tell(&self, to: SocketAddr, suspect: Suspect) {
        for _ in 0..TELL_TRIES {
            let told = within(HOLDER_TIMEOUT, self.suspect_at(to, suspect)).await;
            if matches!(told, Some(Ok(()))) {
                return;
            }
            self.peers.forget(to);
        }
    }

    async fn suspect_at(&self, to: SocketAddr, suspect: Suspect) -> Result<(), WireError> {
        let mut request = self.peers.get(to).await?.suspect_request();
        request.get().set_node(&*self.node);
        let mut builder = request.get().init_suspect();
        builder.set_fingerprint(suspect.fingerprint);
        builder.set_upstreams_lost(suspect.upstreams_lost);
        request.send().promise.await?;
        Ok(())
    }

    async fn begin_at(&self, to: SocketAddr, charge: &Charge) -> Result<Verdict, WireError> {
        let mut request = self.peers.get(to).await?.begin_request();
        write_charge(charge, request.get().init_charge());
        let response = request.send().promise.await?;
        read_verdict(response.get()?.get_verdict()?)
    }

    async fn end_at(&self, to: SocketAddr, ended: &EndedClaim) -> Result<bool, WireError> {
        let mut request = self.peers.get(to).await?.end_request();
        request.get().set_key(&ended.key);
        request.get().set_claim(&ended.claim);
        write_progress(&ended.progress, request.get().init_progress());
        let response = request.send().promise.await?;
        Ok(response.get()?.get_kept())
    }
}
