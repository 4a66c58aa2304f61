//! Service quality under several load patterns, simulated against the dispatcher without a
//! network: upstreams serve at a fixed speed, and time is passed in.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::Refusal;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

const STEP: Duration = Duration::from_millis(10);
const SLOTS_PER_UPSTREAM: u32 = 8;

fn upstream(key: u32) -> UpstreamState {
    UpstreamState {
        key: UpstreamKey(key),
        address_hash: u64::from(key) * 7919,
        local_zone: key.is_multiple_of(3),
        leaving: false,
        limit: SLOTS_PER_UPSTREAM,
    }
}

/// Work that one caller offers at a steady rate.
#[derive(Clone, Copy)]
struct Offer {
    class: Class,
    caller: u64,
    every: Duration,
    cost_tokens: u32,
    time_to_deadline: Duration,
    from: Duration,
    until: Duration,
}

const MINUTE: Duration = Duration::from_secs(60);

/// Time before work is offered. A new entry uses its whole share of the slots only after three
/// seconds.
const WARM_UP: Duration = Duration::from_secs(5);

/// Duration in which work is offered, in seconds.
const OFFERED_SECONDS: f64 = 55.0;

const LIVE: Offer = Offer {
    class: Class::Live,
    caller: 1,
    every: Duration::from_millis(100),
    cost_tokens: 100,
    time_to_deadline: Duration::from_secs(3),
    from: WARM_UP,
    until: MINUTE,
};

const TRAINING: Offer = Offer {
    class: Class::Training,
    caller: 900,
    every: Duration::from_millis(20),
    cost_tokens: 1_000,
    time_to_deadline: Duration::from_secs(120),
    ..LIVE
};

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Counts {
    offered: u32,
    in_time: u32,
    refused: u32,
    late: u32,
}

struct RunningWork {
    offer: usize,
    work: WorkKey,
    upstream: UpstreamKey,
    started: Instant,
    ends: Instant,
    deadline: Instant,
}

struct Simulation {
    dispatcher: LaneDispatcher,
    start: Instant,
    now: Instant,
    upstreams: Vec<UpstreamState>,
    /// Upstream that takes ten times as long as the others.
    slow: Option<UpstreamKey>,
    offers: Vec<Offer>,
    counts: Vec<Counts>,
    works: Vec<(usize, Work)>,
    running: Vec<RunningWork>,
    max_waiting: usize,
    starts: Vec<(Instant, UpstreamKey)>,
}

impl Simulation {
    fn new(offers: &[Offer]) -> Self {
        let start = Instant::now();
        let upstreams: Vec<UpstreamState> = (0..6).map(upstream).collect();
        let mut dispatcher = LaneDispatcher::new();
        dispatcher.set_upstreams(start, &upstreams, &EntryDemands::SINGLE_ENTRY);
        Self {
            dispatcher,
            start,
            now: start,
            upstreams,
            slow: None,
            offers: offers.to_vec(),
            counts: vec![Counts::default(); offers.len()],
            works: Vec::new(),
            running: Vec::new(),
            max_waiting: 0,
            starts: Vec::new(),
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.offer_due();
            self.apply_decisions();
            self.end_due();
            self.dispatcher.tick(self.now);
            self.apply_decisions();
            self.max_waiting = self.max_waiting.max(self.dispatcher.waiting());
            self.now += STEP;
        }
    }

    fn offer_due(&mut self) {
        let passed = self.now.duration_since(self.start);
        for index in 0..self.offers.len() {
            let offer = self.offers[index];
            let due = passed >= offer.from && passed < offer.until;
            let ticks = |at: Duration| at.as_millis() / offer.every.as_millis();
            let count = if due {
                ticks(passed + STEP) - ticks(passed)
            } else {
                0
            };
            for _ in 0..count {
                let key = WorkKey(self.works.len() as u64);
                let work = Work {
                    key,
                    class: offer.class,
                    caller: offer.caller,
                    prefix: key.0,
                    cost_tokens: offer.cost_tokens,
                    priority: 0,
                    deadline: self.now + offer.time_to_deadline,
                    objective: None,
                    avoid: Vec::new(),
                };
                self.counts[index].offered += 1;
                self.works.push((index, work.clone()));
                self.dispatcher.offer(self.now, work);
                self.apply_decisions();
            }
        }
    }

    fn apply_decisions(&mut self) {
        while let Some(decision) = self.dispatcher.next_decision() {
            match decision {
                Decision::Refuse { work, .. } => {
                    let (offer, _) = &self.works[work.0 as usize];
                    self.counts[*offer].refused += 1;
                }
                Decision::Start { work, upstream } => {
                    let (offer, started) = &self.works[work.0 as usize];
                    let factor = if self.slow == Some(upstream) { 10 } else { 1 };
                    let service_time = Duration::from_millis(5) * started.cost_tokens * factor;
                    self.starts.push((self.now, upstream));
                    self.running.push(RunningWork {
                        offer: *offer,
                        work,
                        upstream,
                        started: self.now,
                        ends: self.now + service_time,
                        deadline: started.deadline,
                    });
                }
            }
        }
    }

    fn end_due(&mut self) {
        let now = self.now;
        let mut ended: Vec<RunningWork> = Vec::new();
        let mut at = 0;
        while at < self.running.len() {
            let running_work = &self.running[at];
            if running_work.ends <= now || running_work.deadline <= now {
                ended.push(self.running.remove(at));
            } else {
                at += 1;
            }
        }
        for running_work in ended {
            let in_time = running_work.ends <= now;
            let counts = &mut self.counts[running_work.offer];
            counts.in_time += u32::from(in_time);
            counts.late += u32::from(!in_time);
            let finish = Finish {
                ending: if in_time {
                    Ending::Answered
                } else {
                    Ending::Abandoned
                },
                elapsed: now.duration_since(running_work.started),
                reported_load: None,
                tokens: 0,
            };
            self.dispatcher.finish(now, running_work.work, &finish);
            self.apply_decisions();
        }
    }

    fn in_flight_at(&self, upstream: UpstreamKey) -> usize {
        let at_upstream = |running_work: &&RunningWork| running_work.upstream == upstream;
        self.running.iter().filter(at_upstream).count()
    }
}

/// Fraction of the offered work that was answered in time.
fn in_time_fraction(counts: Counts) -> f64 {
    f64::from(counts.in_time) / f64::from(counts.offered.max(1))
}

struct LoadCase {
    name: &'static str,
    offers: Vec<Offer>,
    /// Smallest allowed fraction of each offer that is answered in time.
    min_fractions: Vec<f64>,
}

/// Guards against callers whose own load fits, but whose work waits behind the excess of others.
#[test]
fn load_that_fits_is_answered_whatever_the_rest_offers() {
    let hot = Offer {
        caller: 2,
        every: Duration::from_millis(10),
        ..LIVE
    };
    let burst = Offer {
        caller: 3,
        every: Duration::from_millis(10),
        from: Duration::from_secs(20),
        until: Duration::from_secs(22),
        ..LIVE
    };
    let long = Offer {
        caller: 4,
        cost_tokens: 2_000,
        every: Duration::from_millis(200),
        time_to_deadline: Duration::from_secs(40),
        ..LIVE
    };
    let cases = [
        LoadCase {
            name: "training without end",
            offers: vec![LIVE, TRAINING],
            min_fractions: vec![0.995, 0.0],
        },
        LoadCase {
            name: "one caller with ten times its share",
            offers: vec![LIVE, hot, TRAINING],
            min_fractions: vec![0.99, 0.3, 0.0],
        },
        LoadCase {
            name: "a burst of two seconds, three times what fits",
            offers: vec![LIVE, burst],
            min_fractions: vec![0.995, 0.6],
        },
        LoadCase {
            name: "long among short",
            offers: vec![LIVE, long],
            min_fractions: vec![0.995, 0.5],
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(&case.offers);
        simulation.run(MINUTE + LIVE.time_to_deadline);
        for (counts, min_fraction) in simulation.counts.iter().zip(&case.min_fractions) {
            assert!(
                in_time_fraction(*counts) >= *min_fraction,
                "{}: {:?}",
                case.name,
                simulation.counts
            );
        }
    }
}

/// Guards against late answers and idle slots while live work alone exceeds the capacity:
/// admitted work has to be answered in time, and refusals come at once rather than at the
/// deadline.
#[test]
fn saturation_refuses_at_once_and_keeps_the_slots_full() {
    let callers: Vec<Offer> = (0..10)
        .map(|caller| Offer {
            caller,
            every: Duration::from_millis(50),
            ..LIVE
        })
        .collect();
    let mut simulation = Simulation::new(&callers);
    simulation.run(WARM_UP * 3);
    // Work that queued before the queue counts as standing may drain first.
    simulation.max_waiting = 0;
    simulation.run(MINUTE);
    let sum = |of: fn(&Counts) -> u32| simulation.counts.iter().map(of).sum::<u32>();
    let capacity = OFFERED_SECONDS * f64::from(6 * SLOTS_PER_UPSTREAM) / 0.5;
    let offered = 10.0 * OFFERED_SECONDS / 0.05;
    assert!(offered > capacity * 2.0, "the case saturates");
    assert!(
        f64::from(sum(|counts| counts.in_time)) > 0.95 * capacity,
        "{:?}",
        simulation.counts
    );
    assert!(
        sum(|counts| counts.late) < sum(|counts| counts.in_time) / 100,
        "{:?}",
        simulation.counts
    );
    let least = simulation
        .counts
        .iter()
        .map(|counts| counts.in_time)
        .min()
        .unwrap_or(0);
    let most = simulation
        .counts
        .iter()
        .map(|counts| counts.in_time)
        .max()
        .unwrap_or(0);
    assert!(least * 5 > most * 4, "{:?}", simulation.counts);
    assert!(simulation.max_waiting < 40, "{}", simulation.max_waiting);
}

/// Guards against training that gets no slot, so that its model becomes stale, while live load
/// could use all slots.
#[test]
fn training_keeps_its_floor_under_live_saturation() {
    let live = Offer {
        every: Duration::from_millis(2),
        ..LIVE
    };
    let mut simulation = Simulation::new(&[live, TRAINING]);
    simulation.run(MINUTE + LIVE.time_to_deadline);
    let slots = f64::from(6 * SLOTS_PER_UPSTREAM);
    let capacity = OFFERED_SECONDS * slots / 5.0;
    assert!(
        f64::from(simulation.counts[1].in_time) > 0.06 * capacity,
        "{:?}",
        simulation.counts
    );
}

/// Guards against an upstream of six that becomes ten times slower but is not ejected: a sixth
/// of the callers would wait ten times as long.
#[test]
fn a_slow_upstream_gets_little_work() {
    let live = Offer {
        every: Duration::from_millis(20),
        ..LIVE
    };
    let mut simulation = Simulation::new(&[live]);
    simulation.run(Duration::from_secs(15));
    simulation.slow = Some(UpstreamKey(2));
    let before = simulation.starts.len();
    simulation.run(Duration::from_secs(50));
    let after = &simulation.starts[before..];
    let at_upstream = after
        .iter()
        .filter(|(_, upstream)| *upstream == UpstreamKey(2));
    let part = at_upstream.count() as f64 / after.len() as f64;
    assert!(part < 0.01, "{part}");
    assert!(
        in_time_fraction(simulation.counts[0]) > 0.99,
        "{:?}",
        simulation.counts
    );
}

/// Guards against ejecting upstreams one after the other when all become slow together, which
/// is a sign of load rather than a fault. All work would go to the last one.
#[test]
fn no_one_is_ejected_when_all_are_slow() {
    let live = Offer {
        time_to_deadline: Duration::from_secs(30),
        ..LIVE
    };
    let mut simulation = Simulation::new(&[live]);
    simulation.run(Duration::from_secs(10));
    for offer in &mut simulation.offers {
        offer.cost_tokens = 1_000;
    }
    simulation.run(Duration::from_secs(40));
    let used = (0..6).filter(|key| simulation.in_flight_at(UpstreamKey(*key)) > 0);
    assert_eq!(used.count(), 6);
}

/// Guards against ejecting all upstreams when each fails all work, as after a bad release.
/// Callers would wait until their deadline.
#[test]
fn failing_everywhere_leaves_upstreams_in_use() {
    let mut simulation = Simulation::new(&[LIVE]);
    simulation.run(Duration::from_secs(10));
    for _ in 0..60 {
        for running_work in std::mem::take(&mut simulation.running) {
            let finish = Finish {
                ending: Ending::Failed,
                elapsed: STEP,
                tokens: 0,
                reported_load: None,
            };
            simulation
                .dispatcher
                .finish(simulation.now, running_work.work, &finish);
            simulation.apply_decisions();
        }
        simulation.run(Duration::from_millis(100));
    }
    let before = simulation.starts.len();
    simulation.run(Duration::from_secs(5));
    assert!(simulation.starts.len() >= before + 45);
}

/// Guards against an upstream that is never tried again after a crash, while others have free
/// slots.
#[test]
fn a_crashed_upstream_is_tried_again_while_others_have_room() {
    let infrequent = |offer: Offer| Offer {
        every: Duration::from_millis(500),
        ..offer
    };
    for offer in [infrequent(TRAINING), infrequent(LIVE)] {
        let mut simulation = Simulation::new(&[offer]);
        simulation.run(Duration::from_secs(10));
        let crashed = UpstreamKey(2);
        for _ in 0..50 {
            for running_work in std::mem::take(&mut simulation.running) {
                if running_work.upstream == crashed {
                    let finish = Finish {
                        ending: Ending::Unreachable,
                        elapsed: STEP,
                        tokens: 0,
                        reported_load: None,
                    };
                    simulation
                        .dispatcher
                        .finish(simulation.now, running_work.work, &finish);
                    simulation.apply_decisions();
                } else {
                    simulation.running.push(running_work);
                }
            }
            simulation.run(Duration::from_millis(100));
        }
        simulation.run(Duration::from_secs(20));
        let before = simulation.starts.len();
        simulation.run(Duration::from_secs(15));
        let after = &simulation.starts[before..];
        let back = after.iter().filter(|(_, upstream)| *upstream == crashed);
        assert!(
            back.count() > 0,
            "{:?}: {} starts",
            offer.class,
            after.len()
        );
    }
}

/// Guards against starting work on an upstream that has been marked as leaving. The work would
/// be cut off when the upstream stops.
#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let mut simulation = Simulation::new(&[LIVE, TRAINING]);
    simulation.run(Duration::from_secs(10));
    simulation.upstreams[1].leaving = true;
    let upstreams = simulation.upstreams.clone();
    simulation
        .dispatcher
        .set_upstreams(simulation.now, &upstreams, &EntryDemands::SINGLE_ENTRY);
    simulation.apply_decisions();
    let before = simulation.starts.len();
    simulation.run(Duration::from_secs(30));
    let after = &simulation.starts[before..];
    assert!(after.len() > 100);
    assert!(
        after
            .iter()
            .all(|(_, upstream)| *upstream != UpstreamKey(1))
    );
}

/// Guards against work that waits although no upstream can serve it: it is refused at once,
/// with a time for the retry.
#[test]
fn work_without_an_upstream_is_refused_at_once() {
    let mut dispatcher = LaneDispatcher::new();
    let now = Instant::now();
    dispatcher.offer(
        now,
        Work {
            key: WorkKey(0),
            class: Class::Live,
            caller: 1,
            prefix: 1,
            cost_tokens: 1,
            priority: 0,
            deadline: now + MINUTE,
            objective: None,
            avoid: Vec::new(),
        },
    );
    let decision = dispatcher.next_decision();
    let Some(Decision::Refuse {
        reason,
        retry_after,
        ..
    }) = decision
    else {
        panic!("{decision:?}");
    };
    assert_eq!(reason, Refusal::NoUpstream);
    assert!(retry_after > Duration::ZERO);
}
