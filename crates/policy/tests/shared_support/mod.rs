//! Simulates nodes that share a few upstreams, without a network: each node has its own
//! dispatcher, upstreams queue and refuse calls, and time advances in steps.

mod call_stats;
mod upstream;

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::route::splitmix64;
use firweir_policy::tries::Tries;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

pub use call_stats::CallStats;
use upstream::SLOTS;
use upstream::Upstream;

pub const NODES: usize = 60;
const UPSTREAMS: u32 = 3;
const STEP: Duration = Duration::from_millis(1);
const TICK_STEPS: u32 = 100;
const ONE_WAY: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_millis(800);
const OBJECTIVE: Duration = Duration::from_millis(150);
/// Maximum tries and upstreams of one attempt of a client.
const MAX_TRIES: u32 = 2;
/// Attempts of a client, which retries after the delay that a refusal gives.
const CLIENT_ATTEMPTS: u32 = 3;
/// Time after which a client may retry a call that has used up its tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Calls per second that all upstreams together can complete.
pub const CAPACITY_PER_S: f64 = 720.0;

/// Calls of one account.
#[derive(Clone, Copy)]
pub struct Offer {
    pub account: u64,
    pub priority: u32,
    /// Calls per second of all nodes together, by the time since the start.
    pub per_s: fn(Duration) -> f64,
}

#[derive(Clone, Copy)]
struct Call {
    offer: usize,
    node: usize,
    offered: Instant,
    /// Start of the client's current attempt.
    attempt_started: Instant,
    attempts: u32,
    ended: bool,
}

struct Message {
    at: Instant,
    work: WorkKey,
    upstream: usize,
    /// `None` if the message is on its way to the upstream.
    answer: Option<(Ending, ReportedLoad)>,
}

pub struct Simulation {
    start: Instant,
    now: Instant,
    /// Time of the previous step.
    previous: Instant,
    nodes: Vec<LaneDispatcher>,
    states: Vec<UpstreamState>,
    upstreams: Vec<Upstream>,
    offers: Vec<Offer>,
    due: Vec<f64>,
    calls: Vec<Call>,
    /// Tries of the current attempt of each call.
    tries: Vec<Tries>,
    sent_at: Vec<Instant>,
    messages: VecDeque<Message>,
    retries: Vec<(Instant, WorkKey)>,
    random: u64,
    /// Whether nodes estimate the free capacity of shared upstreams.
    shared: bool,
    pub stats: Vec<CallStats>,
    pub arrivals: u32,
    pub refused_arrivals: u32,
    /// Slot-milliseconds that were idle while calls waited at nodes.
    pub idle_ms: u64,
    pub busy_ms: u64,
}

impl Simulation {
    pub fn new(shared: bool, offers: &[Offer]) -> Self {
        let start = Instant::now();
        let states: Vec<UpstreamState> = (0..UPSTREAMS).map(state).collect();
        let nodes = (0..NODES).map(|node| dispatcher(start, shared, node, &states));
        Self {
            start,
            now: start,
            previous: start,
            nodes: nodes.collect(),
            upstreams: states.iter().map(|_| Upstream::new()).collect(),
            states,
            offers: offers.to_vec(),
            due: vec![0.0; offers.len()],
            calls: Vec::new(),
            tries: Vec::new(),
            sent_at: Vec::new(),
            messages: VecDeque::new(),
            retries: Vec::new(),
            random: 1,
            shared,
            stats: vec![CallStats::default(); offers.len()],
            arrivals: 0,
            refused_arrivals: 0,
            idle_ms: 0,
            busy_ms: 0,
        }
    }

    /// Makes calls that start at this upstream from now on take `factor` times as long.
    pub fn set_slow_factor(&mut self, upstream: usize, factor: u32) {
        self.upstreams[upstream].slow_factor = factor;
    }

    /// Number of calls that have reached this upstream.
    pub fn arrivals_at(&self, upstream: usize) -> u32 {
        self.upstreams[upstream].arrivals
    }

    /// Number of calls that wait at nodes.
    pub fn waiting(&self) -> usize {
        self.nodes.iter().map(Dispatcher::waiting).sum()
    }

    /// Marks this upstream as leaving.
    pub fn set_leaving(&mut self, upstream: usize) {
        self.states[upstream].leaving = true;
        let now = self.now;
        for node in 0..NODES {
            self.nodes[node].set_upstreams(now, &self.states, &EntryDemands::SINGLE_ENTRY);
            self.carry_out(node);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        let mut steps = 0;
        while self.now < end {
            self.offer_due();
            self.retry_due();
            self.run_upstreams();
            self.deliver();
            self.advance_nodes(steps % TICK_STEPS);
            self.record_idle();
            self.previous = self.now;
            self.now += STEP;
            steps += 1;
        }
    }

    fn random(&mut self) -> u64 {
        self.random = splitmix64(self.random);
        self.random
    }

    fn offer_due(&mut self) {
        let passed = self.now.duration_since(self.start);
        for offer in 0..self.offers.len() {
            let expected = (self.offers[offer].per_s)(passed) * STEP.as_secs_f64();
            // Arrivals vary: between none and twice the expected number.
            let part = self.random() as f64 / u64::MAX as f64;
            self.due[offer] += expected * 2.0 * part;
            while self.due[offer] >= 1.0 {
                self.due[offer] -= 1.0;
                self.new_call(offer);
            }
        }
    }

    fn new_call(&mut self, offer: usize) {
        let node = (self.random() % NODES as u64) as usize;
        let work = WorkKey(self.calls.len() as u64);
        self.stats[offer].offered += 1;
        self.sent_at.push(self.now);
        self.calls.push(Call {
            offer,
            node,
            offered: self.now,
            attempt_started: self.now,
            attempts: 0,
            ended: false,
        });
        self.tries.push(Tries::new(MAX_TRIES, self.shared));
        self.offer_call(work);
    }

    fn offer_call(&mut self, key: WorkKey) {
        let call = self.calls[key.0 as usize];
        let passed = self.now.duration_since(call.attempt_started);
        let work = Work {
            key,
            class: Class::Live,
            caller: self.offers[call.offer].account,
            prefix: splitmix64(call.node as u64),
            cost_tokens: 1,
            priority: self.offers[call.offer].priority,
            deadline: call.offered + PATIENCE,
            objective: Some(OBJECTIVE.saturating_sub(passed)),
            avoid: self.tries[key.0 as usize].avoid().to_vec(),
        };
        self.nodes[call.node].offer(self.now, work);
        self.carry_out(call.node);
    }

    fn carry_out(&mut self, node: usize) {
        while let Some(decision) = self.nodes[node].next_decision() {
            match decision {
                Decision::Refuse {
                    work, retry_after, ..
                } => self.refuse(work, retry_after),
                Decision::Start { work, upstream } => self.start_call(node, work, upstream),
            }
        }
    }

    fn start_call(&mut self, node: usize, work: WorkKey, upstream: UpstreamKey) {
        if self.tries[work.0 as usize].may_send_to(upstream) {
            self.sent_at[work.0 as usize] = self.now;
            return self.send(work, upstream.0 as usize, None);
        }
        let finish = Finish {
            ending: Ending::Abandoned,
            elapsed: Duration::ZERO,
            tokens: 0,
            reported_load: None,
        };
        self.nodes[node].finish(self.now, work, &finish);
        self.refuse(work, RETRY_DELAY);
    }

    fn send(&mut self, work: WorkKey, upstream: usize, answer: Option<(Ending, ReportedLoad)>) {
        self.messages.push_back(Message {
            at: self.now + ONE_WAY,
            work,
            upstream,
            answer,
        });
    }

    fn end(&mut self, work: WorkKey, answered: bool) {
        let call = &mut self.calls[work.0 as usize];
        assert!(!call.ended, "a call ends once");
        call.ended = true;
        let took = self.now.duration_since(call.offered);
        let stats = &mut self.stats[call.offer];
        if !answered {
            stats.refused += 1;
            return;
        }
        stats.latencies_ms.push(took.as_millis() as u64);
        if took <= OBJECTIVE {
            stats.in_time += 1;
        } else {
            stats.late += 1;
        }
    }

    /// Lets the client retry if it has attempts and time left, or ends the call as refused.
    fn refuse(&mut self, work: WorkKey, retry_after: Duration) {
        let call = &mut self.calls[work.0 as usize];
        let left = (call.offered + PATIENCE).saturating_duration_since(self.now);
        let pause = retry_after.min(left / 3);
        call.attempts += 1;
        if call.attempts >= CLIENT_ATTEMPTS || left < OBJECTIVE {
            return self.end(work, false);
        }
        self.tries[work.0 as usize] = Tries::new(MAX_TRIES, self.shared);
        self.retries.push((self.now + pause, work));
    }

    fn retry_due(&mut self) {
        let now = self.now;
        let is_due = |held: &(Instant, WorkKey)| held.0 <= now;
        let due: Vec<(Instant, WorkKey)> =
            self.retries.extract_if(.., |held| is_due(held)).collect();
        for (_, work) in due {
            self.calls[work.0 as usize].attempt_started = now;
            self.offer_call(work);
        }
    }

    fn run_upstreams(&mut self) {
        for at in 0..self.upstreams.len() {
            while let Some(work) = self.upstreams[at].end_due(self.now) {
                let reported_load = self.upstreams[at].reported_load();
                self.send(work, at, Some((Ending::Answered, reported_load)));
            }
            self.upstreams[at].start_waiting(self.now);
        }
    }

    fn deliver(&mut self) {
        let is_due = |message: &Message| message.at <= self.now;
        let due = self.messages.iter().take_while(|held| is_due(held)).count();
        let due: Vec<Message> = self.messages.drain(..due).collect();
        for message in due {
            match message.answer {
                Some((ending, reported_load)) => self.answered(&message, ending, reported_load),
                None => self.arrive(message.work, message.upstream),
            }
        }
    }

    fn arrive(&mut self, work: WorkKey, at: usize) {
        self.arrivals += 1;
        if !self.upstreams[at].arrive(self.now, work) {
            self.refused_arrivals += 1;
            let reported_load = self.upstreams[at].reported_load();
            self.send(work, at, Some((Ending::Refused, reported_load)));
        }
    }

    fn answered(&mut self, message: &Message, ending: Ending, reported_load: ReportedLoad) {
        let work = message.work;
        let call = self.calls[work.0 as usize];
        let elapsed = self.now.duration_since(self.sent_at[work.0 as usize]);
        let finish = Finish {
            ending,
            elapsed,
            tokens: 0,
            reported_load: Some(reported_load),
        };
        self.nodes[call.node].finish(self.now, work, &finish);
        self.carry_out(call.node);
        if ending == Ending::Answered {
            return self.end(work, true);
        }
        let tries = &mut self.tries[work.0 as usize];
        tries.record_sent(UpstreamKey(message.upstream as u32), true);
        if !tries.has_tries_left() {
            return self.refuse(work, RETRY_DELAY);
        }
        self.offer_call(work);
    }

    fn advance_nodes(&mut self, tick: u32) {
        for node in 0..NODES {
            if tick == 0 {
                self.nodes[node].tick(self.now);
            }
            let next = self.nodes[node].next_wakeup(self.previous);
            if next.is_some_and(|at| at <= self.now) {
                self.nodes[node].wake(self.now);
            }
            self.carry_out(node);
        }
    }

    fn record_idle(&mut self) {
        let busy: usize = self.upstreams.iter().map(|held| held.running.len()).sum();
        let slots = SLOTS * self.upstreams.len();
        self.busy_ms += busy as u64;
        self.idle_ms += (slots - busy).min(self.waiting()) as u64;
    }
}

fn state(key: u32) -> UpstreamState {
    UpstreamState {
        key: UpstreamKey(key),
        address_hash: u64::from(key) * 7919,
        local_zone: false,
        leaving: false,
        limit: SLOTS as u32,
    }
}

fn dispatcher(
    start: Instant,
    shared: bool,
    node: usize,
    states: &[UpstreamState],
) -> LaneDispatcher {
    let mut dispatcher = LaneDispatcher::new();
    dispatcher.set_upstreams(start, states, &EntryDemands::SINGLE_ENTRY);
    dispatcher.set_shared(start, shared.then(|| splitmix64(node as u64)));
    dispatcher
}
