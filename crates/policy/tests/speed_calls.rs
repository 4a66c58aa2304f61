//! Simulates calls of many nodes to a few upstreams that noisy neighbours (other workloads on the
//! same VM or host) slow down at times.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::aimd_limit::AimdLimit;
use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::route::splitmix64;
use firweir_policy::slots::Slots;
use firweir_policy::speed::CallSpeed;
use firweir_policy::speed::PeerStats;
use firweir_policy::speed::Speed;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

const NODES: usize = 60;
const UPSTREAMS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const CALL_MS: f64 = 21.0;
const DURATION_MS: u64 = 20_000;
const WARM_UP: Duration = Duration::from_secs(60);

/// How the upstream of a call is chosen.
#[derive(Clone, Copy, PartialEq)]
enum Choice {
    /// By the dispatcher; no upstream reports its speed.
    WithoutSpeed,
    /// By the dispatcher, with reported speeds: the least expected completion time.
    LeastCompletionTime,
    /// The less loaded of two random upstreams.
    PowerOfTwo,
}

/// A call that an upstream runs or queues.
struct InFlightCall {
    node: usize,
    work: WorkKey,
    offered_ms: u64,
    sent_ms: u64,
    remaining_ms: f64,
}

struct Simulation {
    choice: Choice,
    start: Instant,
    now_ms: u64,
    nodes: Vec<LaneDispatcher>,
    /// Last reports by node and upstream, for [`Choice::PowerOfTwo`].
    reports: Vec<[Option<CallSpeed>; UPSTREAMS]>,
    upstreams: Vec<Vec<InFlightCall>>,
    /// Offer time of each call.
    offers_ms: Vec<u64>,
    /// Time of each answered call.
    took_ms: Vec<u64>,
    refused: usize,
}

/// Whether noisy neighbours slow the upstream down: the first one, for 0.6 s in each 1.8 s.
fn is_disturbed(upstream: usize, at_ms: u64) -> bool {
    let start_ms = splitmix64(at_ms / 1_800) % 1_200;
    upstream == 0 && (start_ms..start_ms + 600).contains(&(at_ms % 1_800))
}

fn upstream_state(key: u32) -> UpstreamState {
    UpstreamState {
        key: UpstreamKey(key),
        address_hash: splitmix64(u64::from(key)),
        local_zone: true,
        leaving: false,
        limit: SLOTS as u32,
    }
}

impl Simulation {
    fn new(choice: Choice) -> Self {
        let start = Instant::now();
        let upstreams: Vec<_> = (0..UPSTREAMS as u32).map(upstream_state).collect();
        let mut nodes: Vec<LaneDispatcher> = (0..NODES).map(|_| LaneDispatcher::new()).collect();
        for node in &mut nodes {
            node.set_upstreams(start, &upstreams, &EntryDemands::SINGLE_ENTRY);
        }
        Self {
            choice,
            start,
            now_ms: 0,
            nodes,
            reports: vec![[None; UPSTREAMS]; NODES],
            upstreams: (0..UPSTREAMS).map(|_| Vec::new()).collect(),
            offers_ms: Vec::new(),
            took_ms: Vec::new(),
            refused: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn offer(&mut self, per_s: u64) {
        for part in 0..4 {
            let random = splitmix64(self.now_ms << 8 | part);
            if random % 4_000 >= per_s {
                continue;
            }
            let node = (splitmix64(random) % NODES as u64) as usize;
            let work = WorkKey(self.offers_ms.len() as u64);
            self.offers_ms.push(self.now_ms);
            if self.choice == Choice::PowerOfTwo {
                let upstream = self.less_loaded_of_two(node, random);
                self.send(node, work, upstream);
                continue;
            }
            let now = self.now();
            let work = Work {
                key: work,
                class: Class::Live,
                caller: 0,
                prefix: node as u64,
                cost_tokens: 1,
                priority: 0,
                deadline: now + Duration::from_millis(1_500),
                objective: None,
                avoid: Vec::new(),
            };
            self.nodes[node].offer(now, work);
            self.execute_decisions(node);
        }
    }

    fn less_loaded_of_two(&self, node: usize, random: u64) -> usize {
        let first = (splitmix64(random ^ 1) % UPSTREAMS as u64) as usize;
        let second = (first + 1 + (splitmix64(random ^ 2) % 2) as usize) % UPSTREAMS;
        let reports = &self.reports[node];
        let peers = PeerStats::of(self.now(), reports.iter().flatten());
        let load = |at: usize| {
            reports[at].map_or(0.0, |report| {
                report.load_with_next_call(self.now(), 0, &peers)
            })
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }

    fn execute_decisions(&mut self, node: usize) {
        while let Some(decision) = self.nodes[node].next_decision() {
            match decision {
                Decision::Start { work, upstream } => self.send(node, work, upstream.0 as usize),
                Decision::Refuse { .. } => self.refused += 1,
            }
        }
    }

    fn send(&mut self, node: usize, work: WorkKey, upstream: usize) {
        if let Some(report) = &mut self.reports[node][upstream] {
            report.record_sent();
        }
        if self.upstreams[upstream].len() >= SLOTS + QUEUE {
            self.refused += 1;
            return self.end_call(node, work, upstream, Ending::Abandoned, 1);
        }
        self.upstreams[upstream].push(InFlightCall {
            node,
            work,
            offered_ms: self.offers_ms[work.0 as usize],
            sent_ms: self.now_ms,
            remaining_ms: CALL_MS,
        });
    }

    fn end_call(&mut self, node: usize, work: WorkKey, upstream: usize, ending: Ending, ms: u64) {
        let now = self.now();
        let calls = self.upstreams[upstream].len();
        let percent = if is_disturbed(upstream, self.now_ms) {
            250
        } else {
            100
        };
        let load = ReportedLoad {
            running: calls.min(SLOTS) as u32,
            waiting: calls.saturating_sub(SLOTS) as u32,
            slots: SLOTS as u32,
            time_percent: (self.choice != Choice::WithoutSpeed).then_some(percent),
        };
        if self.choice == Choice::PowerOfTwo {
            self.reports[node][upstream] = Some(CallSpeed::new(now, load));
            return;
        }
        let finish = Finish {
            ending,
            elapsed: Duration::from_millis(ms),
            tokens: 0,
            reported_load: Some(load),
        };
        self.nodes[node].finish(now, work, &finish);
        self.execute_decisions(node);
    }

    /// Advances the running calls by a millisecond.
    fn advance(&mut self) {
        for upstream in 0..UPSTREAMS {
            let factor = if is_disturbed(upstream, self.now_ms) {
                2.5
            } else {
                1.0
            };
            let running = self.upstreams[upstream].iter_mut().take(SLOTS);
            running.for_each(|call| call.remaining_ms -= 1.0 / factor);
            while let Some(at) = self.upstreams[upstream]
                .iter()
                .position(|call| call.remaining_ms <= 0.0)
            {
                let call = self.upstreams[upstream].remove(at);
                self.took_ms.push(self.now_ms - call.offered_ms);
                let took_ms = self.now_ms - call.sent_ms;
                self.end_call(call.node, call.work, upstream, Ending::Answered, took_ms);
            }
        }
    }

    /// Median and p99 call times in milliseconds, and the number of refused calls.
    fn run(mut self, per_s: u64) -> (u64, u64, usize) {
        while self.now_ms < DURATION_MS {
            self.offer(per_s);
            self.advance();
            if self.now_ms.is_multiple_of(50) {
                let now = self.now();
                self.nodes.iter_mut().for_each(|node| node.tick(now));
                (0..NODES).for_each(|node| self.execute_decisions(node));
            }
            self.now_ms += 1;
        }
        self.took_ms.sort_unstable();
        let count = self.took_ms.len();
        (
            self.took_ms[count / 2],
            self.took_ms[count * 99 / 100],
            self.refused,
        )
    }
}

/// Guards against calls that queue at a disturbed upstream while others have free slots.
#[test]
fn reported_speeds_halve_the_p99_of_calls() {
    for per_s in [300, 450, 550] {
        let without = Simulation::new(Choice::WithoutSpeed).run(per_s);
        let with = Simulation::new(Choice::LeastCompletionTime).run(per_s);
        let of_two = Simulation::new(Choice::PowerOfTwo).run(per_s);
        println!("{per_s}/s: without speeds {without:?}, with {with:?}, best of two {of_two:?}");
        assert!(with.1 * 2 <= without.1, "{per_s}: {with:?} {without:?}");
        assert!(with.1 <= of_two.1, "{per_s}: {with:?} {of_two:?}");
        assert_eq!(with.2, 0, "{per_s}: refused");
    }
}

/// Slots of three upstreams after some answers. The first upstream takes four times as long and
/// reports `time_percent`, the others report 100; `None` if none of them reports.
fn slots_after_answers(start: Instant, time_percent: Option<u32>) -> Slots {
    let mut slots = Slots::default();
    // A node that has just started uses only a part of the slots.
    let now = start + WARM_UP;
    slots.set_upstreams(
        start,
        &[0, 1, 2].map(upstream_state),
        &EntryDemands::SINGLE_ENTRY,
    );
    slots.refresh(now, &AimdLimit::default());
    for answer in 0..60 {
        let at = now + Duration::from_millis(answer * 40);
        let key = UpstreamKey(answer as u32 % 3);
        let is_slow = key.0 == 0;
        let load = ReportedLoad {
            running: 1,
            waiting: 0,
            slots: SLOTS as u32,
            time_percent: time_percent.map(|percent| if is_slow { percent } else { 100 }),
        };
        slots.acquire(key);
        slots.record_load(at, key, load);
        let elapsed = Duration::from_millis(if is_slow { 80 } else { 20 });
        slots.release(at, key, Ending::Answered, 1, elapsed);
    }
    slots.compare(now + Duration::from_millis(2_400));
    slots.refresh(now + Duration::from_millis(2_400), &AimdLimit::default());
    slots
}

/// Guards against ejecting an upstream for slowness that its reports explain, and against keeping
/// one that is permanently slow or does not report.
#[test]
fn only_unexplained_slowness_ejects() {
    let now = Instant::now();
    let open = |percent| slots_after_answers(now, percent).usable();
    assert_eq!(open(Some(400)), 18, "explained by its reports");
    assert_eq!(open(Some(100)), 12, "permanently slow");
    assert_eq!(open(None), 12, "no report");
}

/// Guards against applying reports of an earlier process to a restarted upstream.
#[test]
fn a_restarted_upstream_has_no_estimate() {
    let now = Instant::now();
    let later = now + WARM_UP + Duration::from_millis(2_400);
    let mut slots = slots_after_answers(now, Some(400));
    let is_picked = |slots: &Slots, key: u32| {
        let picks = |prefix| slots.pick(later, prefix, &[]) == Some(UpstreamKey(key));
        (0..100).any(picks)
    };
    assert!(!is_picked(&slots, 0), "it is disturbed");
    let restarted = UpstreamState {
        key: UpstreamKey(9),
        ..upstream_state(0)
    };
    let upstreams = [restarted, upstream_state(1), upstream_state(2)];
    slots.set_upstreams(later, &upstreams, &EntryDemands::SINGLE_ENTRY);
    slots.refresh(later, &AimdLimit::default());
    assert!(is_picked(&slots, 9));
}

/// Guards against the use of reported figures that are implausible, never change or are outdated.
#[test]
fn a_figure_counts_within_bounds() {
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let is_factor = |percent, ms, factor: f64| {
        let mut speed = Speed::default();
        speed.record_report(now, percent);
        (speed.disturbance(after(ms)) - factor).abs() < 1e-9
    };
    assert!(is_factor(0, 0, 1.0));
    assert!(is_factor(250, 0, 2.5));
    assert!(is_factor(90_000, 0, 4.0));
    assert!(
        is_factor(250, 500, 1.75),
        "its weight decreases with its age"
    );
    assert!(is_factor(250, 1_000, 1.0), "it has expired");
    let mut stuck = Speed::default();
    (0..40).for_each(|at| stuck.record_report(after(at * 100), 250));
    assert!(stuck.disturbance(after(3_900)) < 1.01, "it never changes");
}
