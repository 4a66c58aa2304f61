//! Service quality under several load patterns, simulated against the dispatcher without a
//! network: upstreams serve at a fixed speed, and time is passed in.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::dispatch::Balanced;
use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::Finish;
use firweir_policy::work::Fleet;
use firweir_policy::work::Refusal;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

const STEP: Duration = Duration::from_millis(10);
const LIMIT: u32 = 8;

fn upstream(key: u32) -> UpstreamState {
    UpstreamState {
        key: UpstreamKey(key),
        hash: u64::from(key) * 7919,
        local_zone: key.is_multiple_of(3),
        leaving: false,
        limit: LIMIT,
    }
}

/// Work that one caller offers at a steady rate.
#[derive(Clone, Copy)]
struct Offer {
    class: Class,
    caller: u64,
    every: Duration,
    cost_tokens: u32,
    patience: Duration,
    from: Duration,
    until: Duration,
}

const MINUTE: Duration = Duration::from_secs(60);

/// Time before work is offered. A new entry uses its whole share of the slots only after three
/// seconds.
const WARM: Duration = Duration::from_secs(5);

/// Duration in which work is offered, in seconds.
const OFFERED_S: f64 = 55.0;

const LIVE: Offer = Offer {
    class: Class::Live,
    caller: 1,
    every: Duration::from_millis(100),
    cost_tokens: 100,
    patience: Duration::from_secs(3),
    from: WARM,
    until: MINUTE,
};

const TRAINING: Offer = Offer {
    class: Class::Training,
    caller: 900,
    every: Duration::from_millis(20),
    cost_tokens: 1_000,
    patience: Duration::from_secs(120),
    ..LIVE
};

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Got {
    offered: u32,
    in_time: u32,
    refused: u32,
    late: u32,
}

struct Flight {
    offer: usize,
    work: WorkKey,
    upstream: UpstreamKey,
    started: Instant,
    ends: Instant,
    deadline: Instant,
}

struct Play {
    dispatcher: Balanced,
    start: Instant,
    now: Instant,
    upstreams: Vec<UpstreamState>,
    /// Upstream that takes ten times as long as the others.
    slow: Option<UpstreamKey>,
    offers: Vec<Offer>,
    got: Vec<Got>,
    works: Vec<(usize, Work)>,
    flights: Vec<Flight>,
    most_waiting: usize,
    starts_at: Vec<(Instant, UpstreamKey)>,
}

impl Play {
    fn new(offers: &[Offer]) -> Self {
        let start = Instant::now();
        let upstreams: Vec<UpstreamState> = (0..6).map(upstream).collect();
        let mut dispatcher = Balanced::new();
        dispatcher.set_upstreams(start, &upstreams, &Fleet::ALONE);
        Self {
            dispatcher,
            start,
            now: start,
            upstreams,
            slow: None,
            offers: offers.to_vec(),
            got: vec![Got::default(); offers.len()],
            works: Vec::new(),
            flights: Vec::new(),
            most_waiting: 0,
            starts_at: Vec::new(),
        }
    }

    fn run(&mut self, lasting: Duration) {
        let end = self.now + lasting;
        while self.now < end {
            self.offer_due();
            self.carry_out();
            self.end_due();
            self.dispatcher.tick(self.now);
            self.carry_out();
            self.most_waiting = self.most_waiting.max(self.dispatcher.waiting());
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
                    deadline: self.now + offer.patience,
                    objective: None,
                    avoid: Vec::new(),
                };
                self.got[index].offered += 1;
                self.works.push((index, work.clone()));
                self.dispatcher.offer(self.now, work);
                self.carry_out();
            }
        }
    }

    fn carry_out(&mut self) {
        while let Some(decision) = self.dispatcher.next_decision() {
            match decision {
                Decision::Refuse { work, .. } => {
                    let (offer, _) = &self.works[work.0 as usize];
                    self.got[*offer].refused += 1;
                }
                Decision::Start { work, upstream } => {
                    let (offer, started) = &self.works[work.0 as usize];
                    let factor = if self.slow == Some(upstream) { 10 } else { 1 };
                    let takes = Duration::from_millis(5) * started.cost_tokens * factor;
                    self.starts_at.push((self.now, upstream));
                    self.flights.push(Flight {
                        offer: *offer,
                        work,
                        upstream,
                        started: self.now,
                        ends: self.now + takes,
                        deadline: started.deadline,
                    });
                }
            }
        }
    }

    fn end_due(&mut self) {
        let now = self.now;
        let mut ended: Vec<Flight> = Vec::new();
        let mut at = 0;
        while at < self.flights.len() {
            let flight = &self.flights[at];
            if flight.ends <= now || flight.deadline <= now {
                ended.push(self.flights.remove(at));
            } else {
                at += 1;
            }
        }
        for flight in ended {
            let in_time = flight.ends <= now;
            let got = &mut self.got[flight.offer];
            got.in_time += u32::from(in_time);
            got.late += u32::from(!in_time);
            let finish = Finish {
                ending: if in_time {
                    Ending::Answered
                } else {
                    Ending::Abandoned
                },
                elapsed: now.duration_since(flight.started),
                told: None,
                tokens: 0,
            };
            self.dispatcher.finish(now, flight.work, &finish);
            self.carry_out();
        }
    }

    fn in_flight_at(&self, upstream: UpstreamKey) -> usize {
        let there = |flight: &&Flight| flight.upstream == upstream;
        self.flights.iter().filter(there).count()
    }
}

/// Fraction of the offered work that was answered in time.
fn share(got: Got) -> f64 {
    f64::from(got.in_time) / f64::from(got.offered.max(1))
}

struct LoadCase {
    name: &'static str,
    offers: Vec<Offer>,
    /// Smallest allowed fraction of each offer that is answered in time.
    least: Vec<f64>,
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
        patience: Duration::from_secs(40),
        ..LIVE
    };
    let cases = [
        LoadCase {
            name: "training without end",
            offers: vec![LIVE, TRAINING],
            least: vec![0.995, 0.0],
        },
        LoadCase {
            name: "one caller with ten times its share",
            offers: vec![LIVE, hot, TRAINING],
            least: vec![0.99, 0.3, 0.0],
        },
        LoadCase {
            name: "a burst of two seconds, three times what fits",
            offers: vec![LIVE, burst],
            least: vec![0.995, 0.6],
        },
        LoadCase {
            name: "long among short",
            offers: vec![LIVE, long],
            least: vec![0.995, 0.5],
        },
    ];
    for case in cases {
        let mut play = Play::new(&case.offers);
        play.run(MINUTE + LIVE.patience);
        for (got, least) in play.got.iter().zip(&case.least) {
            assert!(share(*got) >= *least, "{}: {:?}", case.name, play.got);
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
    let mut play = Play::new(&callers);
    play.run(WARM * 3);
    // Work that queued before the queue counts as standing may drain first.
    play.most_waiting = 0;
    play.run(MINUTE);
    let sum = |of: fn(&Got) -> u32| play.got.iter().map(of).sum::<u32>();
    let fits = OFFERED_S * f64::from(6 * LIMIT) / 0.5;
    let offered = 10.0 * OFFERED_S / 0.05;
    assert!(offered > fits * 2.0, "the case saturates");
    assert!(
        f64::from(sum(|got| got.in_time)) > 0.95 * fits,
        "{:?}",
        play.got
    );
    assert!(
        sum(|got| got.late) < sum(|got| got.in_time) / 100,
        "{:?}",
        play.got
    );
    let least = play.got.iter().map(|got| got.in_time).min().unwrap_or(0);
    let most = play.got.iter().map(|got| got.in_time).max().unwrap_or(0);
    assert!(least * 5 > most * 4, "{:?}", play.got);
    assert!(play.most_waiting < 40, "{}", play.most_waiting);
}

/// Guards against training that gets no slot, so that its model becomes stale, while live load
/// could use all slots.
#[test]
fn training_keeps_its_floor_under_live_saturation() {
    let live = Offer {
        every: Duration::from_millis(2),
        ..LIVE
    };
    let mut play = Play::new(&[live, TRAINING]);
    play.run(MINUTE + LIVE.patience);
    let slots = f64::from(6 * LIMIT);
    let fits = OFFERED_S * slots / 5.0;
    assert!(
        f64::from(play.got[1].in_time) > 0.06 * fits,
        "{:?}",
        play.got
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
    let mut play = Play::new(&[live]);
    play.run(Duration::from_secs(15));
    play.slow = Some(UpstreamKey(2));
    let before = play.starts_at.len();
    play.run(Duration::from_secs(50));
    let after = &play.starts_at[before..];
    let there = after
        .iter()
        .filter(|(_, upstream)| *upstream == UpstreamKey(2));
    let part = there.count() as f64 / after.len() as f64;
    assert!(part < 0.01, "{part}");
    assert!(share(play.got[0]) > 0.99, "{:?}", play.got);
}

/// Guards against ejecting upstreams one after the other when all become slow together, which
/// is a sign of load rather than a fault. All work would go to the last one.
#[test]
fn no_one_is_ejected_when_all_are_slow() {
    let live = Offer {
        patience: Duration::from_secs(30),
        ..LIVE
    };
    let mut play = Play::new(&[live]);
    play.run(Duration::from_secs(10));
    for offer in &mut play.offers {
        offer.cost_tokens = 1_000;
    }
    play.run(Duration::from_secs(40));
    let used = (0..6).filter(|key| play.in_flight_at(UpstreamKey(*key)) > 0);
    assert_eq!(used.count(), 6);
}

/// Guards against ejecting all upstreams when each fails all work, as after a bad release.
/// Callers would wait until their deadline.
#[test]
fn failing_everywhere_leaves_upstreams_in_use() {
    let mut play = Play::new(&[LIVE]);
    play.run(Duration::from_secs(10));
    for _ in 0..60 {
        for flight in std::mem::take(&mut play.flights) {
            let finish = Finish {
                ending: Ending::Failed,
                elapsed: STEP,
                tokens: 0,
                told: None,
            };
            play.dispatcher.finish(play.now, flight.work, &finish);
            play.carry_out();
        }
        play.run(Duration::from_millis(100));
    }
    let before = play.starts_at.len();
    play.run(Duration::from_secs(5));
    assert!(play.starts_at.len() >= before + 45);
}

/// Guards against an upstream that is never tried again after a crash, while others have free
/// slots.
#[test]
fn a_crashed_upstream_is_tried_again_while_others_have_room() {
    let sparse = |offer: Offer| Offer {
        every: Duration::from_millis(500),
        ..offer
    };
    for offer in [sparse(TRAINING), sparse(LIVE)] {
        let mut play = Play::new(&[offer]);
        play.run(Duration::from_secs(10));
        let crashed = UpstreamKey(2);
        for _ in 0..50 {
            for flight in std::mem::take(&mut play.flights) {
                if flight.upstream == crashed {
                    let finish = Finish {
                        ending: Ending::Unreachable,
                        elapsed: STEP,
                        tokens: 0,
                        told: None,
                    };
                    play.dispatcher.finish(play.now, flight.work, &finish);
                    play.carry_out();
                } else {
                    play.flights.push(flight);
                }
            }
            play.run(Duration::from_millis(100));
        }
        play.run(Duration::from_secs(20));
        let before = play.starts_at.len();
        play.run(Duration::from_secs(15));
        let after = &play.starts_at[before..];
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
    let mut play = Play::new(&[LIVE, TRAINING]);
    play.run(Duration::from_secs(10));
    play.upstreams[1].leaving = true;
    let upstreams = play.upstreams.clone();
    play.dispatcher
        .set_upstreams(play.now, &upstreams, &Fleet::ALONE);
    play.carry_out();
    let before = play.starts_at.len();
    play.run(Duration::from_secs(30));
    let after = &play.starts_at[before..];
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
    let mut dispatcher = Balanced::new();
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
