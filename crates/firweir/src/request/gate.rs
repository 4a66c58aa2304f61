//! Where a request waits for its upstream: the dispatcher of one service, made
//! usable by many tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::retry::RetryBudget;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::Refusal;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::process::clock::Clock;

/// What a request asks its gate for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Who it is for.
    pub class: Class,
    /// Hash of the caller or feed.
    pub caller: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Estimated cost, prompt and answer together.
    pub cost_tokens: u32,
    /// Priority; requests with a lower number are admitted first, so 0 is the highest.
    pub priority: u32,
    /// The answer is worthless after this.
    pub deadline: Instant,
    /// Latency objective: time from now within which the answer is wanted; `None` if the route
    /// has none.
    pub objective: Option<Duration>,
    /// Upstreams that already failed this request.
    pub avoid: Vec<UpstreamKey>,
}

/// An upstream as a gate is told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateUpstream {
    /// Where it answers.
    pub address: SocketAddr,
    /// Tells processes that are said to be at one address apart, and the starts of one: what was
    /// learnt of an earlier one says nothing of the next. The same on every VM.
    pub start: u64,
    /// In the same availability zone as this VM.
    pub local_zone: bool,
    /// It gets no new work.
    pub leaving: bool,
}

/// The work was turned away; no byte of it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnedAway {
    /// Why.
    pub reason: Refusal,
    /// When to come back.
    pub retry_after: Duration,
}

/// The gate of one service.
#[derive(Debug)]
pub struct Gate {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    /// Notified when the time of the next check for free capacity may have changed.
    next_look_changed: Notify,
}

struct Inner {
    dispatcher: Box<dyn Dispatcher>,
    budget: RetryBudget,
    next_work: u64,
    /// Sorted by key: keys only grow.
    waiting: Vec<(WorkKey, oneshot::Sender<Decision>)>,
    /// Addresses and starts by upstream key. Rows are never removed, so that a key names
    /// the same upstream for as long as the process lives.
    names: Vec<(SocketAddr, u64)>,
    /// Keys sorted by address and start.
    keys: Vec<((SocketAddr, u64), UpstreamKey)>,
}

impl std::fmt::Debug for Inner {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Inner")
            .field("waiting", &self.waiting.len())
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// A gate that judges with this dispatcher.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, dispatcher: Box<dyn Dispatcher>) -> Arc<Self> {
        let inner = Inner {
            dispatcher,
            budget: RetryBudget::default(),
            next_work: 0,
            waiting: Vec::new(),
            names: Vec::new(),
            keys: Vec::new(),
        };
        Arc::new(Self {
            clock,
            inner: Mutex::new(inner),
            next_look_changed: Notify::new(),
        })
    }

    /// Takes in the upstreams of the service, each of which runs `limit` requests at once.
    pub fn set_upstreams(&self, upstreams: &[GateUpstream], limit: u32, fleet: &EntryDemands<'_>) {
        let mut inner = self.lock();
        let states: Vec<UpstreamState> = upstreams
            .iter()
            .map(|upstream| UpstreamState {
                key: inner.key_of(upstream.address, upstream.start),
                address_hash: hash_of(upstream.address),
                local_zone: upstream.local_zone,
                leaving: upstream.leaving,
                limit,
            })
            .collect();
        inner
            .dispatcher
            .set_upstreams(self.clock.now(), &states, fleet);
        inner.carry_out();
    }

    /// Waits until the work may start, or is turned away.
    ///
    /// Dropping the future takes the work out of the queue.
    ///
    /// # Errors
    ///
    /// The work was turned away and no byte of it was sent.
    pub async fn admit(self: &Arc<Self>, ask: Ask) -> Result<Permit, TurnedAway> {
        let deadline = tokio::time::Instant::from_std(ask.deadline);
        let (waiting, mut decided) = self.offer(ask);
        let decision = loop {
            let changed = self.next_look_changed.notified();
            let look_at = self
                .next_wakeup()
                .map_or(deadline, tokio::time::Instant::from_std);
            tokio::select! {
                biased;
                decision = &mut decided => break decision.ok(),
                () = tokio::time::sleep_until(deadline) => break None,
                () = tokio::time::sleep_until(look_at), if look_at < deadline => {
                    self.decide(|dispatcher, now| dispatcher.wake(now));
                }
                () = changed => {}
            }
        };
        let (reason, retry_after) = match decision {
            Some(Decision::Start { work, upstream }) => return Ok(waiting.started(work, upstream)),
            Some(Decision::Refuse {
                reason,
                retry_after,
                ..
            }) => (reason, retry_after),
            None => (Refusal::Late, Duration::from_secs(1)),
        };
        Err(TurnedAway {
            reason,
            retry_after,
        })
    }

    /// Sets whether other nodes call the same upstreams. `Some` holds a seed for random jitter,
    /// which differs by node; `None` if the upstreams are not shared.
    pub fn set_shared(&self, shared: Option<u64>) {
        self.decide(|dispatcher, now| dispatcher.set_shared(now, shared));
    }

    fn next_wakeup(&self) -> Option<Instant> {
        self.lock().dispatcher.next_wakeup(self.clock.now())
    }

    /// Applies an update to the dispatcher and carries out its decisions.
    fn decide(&self, update: impl FnOnce(&mut dyn Dispatcher, Instant)) {
        let mut inner = self.lock();
        update(&mut *inner.dispatcher, self.clock.now());
        inner.carry_out();
    }

    /// Counts a first try against which retries are budgeted.
    pub fn count_offered(&self) {
        self.lock().budget.deposit();
    }

    /// Takes a retry from the budget, if the ending and the request allow one.
    pub fn allow_retry(&self, ending: Ending, idempotent: bool, tries: u32) -> bool {
        self.lock().budget.try_withdraw(ending, idempotent, tries)
    }

    /// Work in flight and work that waits.
    #[must_use]
    pub fn demand(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.dispatcher.in_flight(), inner.dispatcher.waiting())
    }

    /// Lets time-bound decisions happen.
    pub fn tick(&self) {
        self.decide(|dispatcher, now| dispatcher.tick(now));
    }

    fn offer(self: &Arc<Self>, ask: Ask) -> (Waiting, oneshot::Receiver<Decision>) {
        let (sender, decided) = oneshot::channel();
        let mut inner = self.lock();
        let key = WorkKey(inner.next_work);
        inner.next_work += 1;
        inner.waiting.push((key, sender));
        let work = Work {
            key,
            class: ask.class,
            caller: ask.caller,
            prefix: ask.prefix,
            cost_tokens: ask.cost_tokens,
            priority: ask.priority,
            deadline: ask.deadline,
            objective: ask.objective,
            avoid: ask.avoid,
        };
        inner.dispatcher.offer(self.clock.now(), work);
        inner.carry_out();
        drop(inner);
        (
            Waiting {
                gate: Some(Arc::clone(self)),
                key,
            },
            decided,
        )
    }

    fn finish(&self, key: WorkKey, finish: &Finish) {
        self.decide(|dispatcher, now| dispatcher.finish(now, key, finish));
        if self.next_wakeup().is_some() {
            self.next_look_changed.notify_waiters();
        }
    }

    fn abandon(&self, key: WorkKey) {
        let mut inner = self.lock();
        if let Ok(position) = inner.waiting.binary_search_by_key(&key, |(key, _)| *key) {
            inner.waiting.remove(position);
        }
        drop(inner);
        // The decision to start may have been taken and not yet received.
        let finish = Finish {
            ending: Ending::Abandoned,
            elapsed: Duration::ZERO,
            tokens: 0,
            reported_load: None,
        };
        self.decide(|dispatcher, now| {
            dispatcher.cancel(now, key);
            dispatcher.finish(now, key, &finish);
        });
    }

    /// A panic in a decision leaves the queue usable for other requests.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn key_of(&mut self, address: SocketAddr, start: u64) -> UpstreamKey {
        let name = (address, start);
        match self.keys.binary_search_by_key(&name, |(held, _)| *held) {
            Ok(at) => self.keys[at].1,
            Err(at) => {
                let key = UpstreamKey(self.names.len() as u32);
                self.names.push(name);
                self.keys.insert(at, (name, key));
                key
            }
        }
    }

    fn carry_out(&mut self) {
        while let Some(decision) = self.dispatcher.next_decision() {
            let (Decision::Start { work, .. } | Decision::Refuse { work, .. }) = decision;
            if let Ok(position) = self.waiting.binary_search_by_key(&work, |(key, _)| *key) {
                let (_, sender) = self.waiting.remove(position);
                // A waiter that is gone has given its place up already.
                _ = sender.send(decision);
            }
        }
    }
}

/// The same on every VM, whatever the order in which upstreams became known.
fn hash_of(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// Work in the queue; dropping it takes the work out.
struct Waiting {
    gate: Option<Arc<Gate>>,
    key: WorkKey,
}

impl Waiting {
    fn started(mut self, work: WorkKey, upstream: UpstreamKey) -> Permit {
        let gate = self
            .gate
            .take()
            .expect("a waiting work has its gate until it starts");
        let (address, start) = gate.lock().names[upstream.0 as usize];
        let started = gate.clock.now();
        Permit {
            gate,
            work,
            upstream,
            address,
            start,
            started,
            ended: false,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(gate) = &self.gate {
            gate.abandon(self.key);
        }
    }
}

/// Leave to send one request to one upstream; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    work: WorkKey,
    upstream: UpstreamKey,
    address: SocketAddr,
    start: u64,
    started: Instant,
    ended: bool,
}

impl Permit {
    /// Where the request goes.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Which of the processes at that address.
    #[must_use]
    pub const fn start(&self) -> u64 {
        self.start
    }

    /// Which upstream that is.
    #[must_use]
    pub const fn upstream(&self) -> UpstreamKey {
        self.upstream
    }

    /// Reports how the request ended.
    pub fn finish(mut self, ending: Ending, tokens: u32) {
        self.end(ending, tokens, None);
    }

    /// Reports how the request ended, and the load that the upstream reported.
    pub fn finish_with_load(mut self, ending: Ending, reported_load: Option<ReportedLoad>) {
        self.end(ending, 0, reported_load);
    }

    fn end(&mut self, ending: Ending, tokens: u32, reported_load: Option<ReportedLoad>) {
        if !self.ended {
            self.ended = true;
            let elapsed = self.gate.clock.now().duration_since(self.started);
            self.gate.finish(
                self.work,
                &Finish {
                    ending,
                    elapsed,
                    tokens,
                    reported_load,
                },
            );
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(Ending::Abandoned, 0, None);
    }
}
