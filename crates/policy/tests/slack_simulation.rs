//! Simulates steps of several trainers on too few engines, with samples ordered by arrival, by
//! length hint and by slack.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::longest_first::Sample;
use firweir_policy::longest_first::rank_by_length;
use firweir_policy::placement::EngineState;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::Placement;
use firweir_policy::placement::RunOutcome;
use firweir_policy::placement::SampleKey;
use firweir_policy::placement::SampleRequest;
use firweir_policy::slack::LengthEstimator;
use firweir_policy::slack::OpenSample;
use firweir_policy::slack::OpenStep;
use firweir_policy::slack::rank_by_slack;
use firweir_policy::work::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64;

const MODEL: ModelKey = ModelKey(0);
const ENGINES: u32 = 16;
const SLOTS: u32 = 8;
const GROUP_SAMPLES: usize = 8;
const GROUPS: usize = 25;
const TARGET_GROUPS: usize = 23;
const TOKENS_PER_EVENT: u32 = 16;
const DUE: Duration = Duration::from_millis(7_500);
const EVENT: Duration = Duration::from_micros(49_700);
const TICK_MS: u64 = 10;
const REORDER_INTERVAL_MS: u64 = 250;
const END_MS: u64 = 30_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Arrival,
    LongFirst,
    Slack,
}

/// A step of a trainer.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// Time of acceptance.
    at_ms: u64,
    /// Time at which the trainer ends it, complete or not; `None` if it waits for its groups.
    ends_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct SimulatedSample {
    step: usize,
    group: usize,
    hint_tokens: u32,
    length_events: u32,
    events_done: u32,
    next_event: Option<Instant>,
    is_done: bool,
    /// Time from the acceptance of its step to its first start; `None` until it has started.
    waited_ms: Option<u64>,
}

fn random(seed: u64, number: usize, salt: u64) -> u64 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..16].copy_from_slice(&(number as u64).to_le_bytes());
    bytes[16..].copy_from_slice(&salt.to_le_bytes());
    xxh3_64(&bytes)
}

/// Random number of events of a sample: 21 on average, one in twelve samples is long.
fn random_events(seed: u64, number: usize, salt: u64) -> u32 {
    let bits = random(seed, number, salt);
    let high_bits = (bits >> 32) as u32;
    if bits.is_multiple_of(12) {
        40 + high_bits % 113
    } else {
        5 + high_bits % 21
    }
}

fn samples_of(seed: u64, step: usize) -> Vec<SimulatedSample> {
    let sample = |index: usize| {
        let number = step * GROUPS * GROUP_SAMPLES + index;
        let length_events = random_events(seed, number, 1);
        let hinted_events = if random(seed, number, 2).is_multiple_of(2) {
            length_events
        } else {
            random_events(seed, number, 3)
        };
        SimulatedSample {
            step,
            group: index / GROUP_SAMPLES,
            hint_tokens: hinted_events * TOKENS_PER_EVENT,
            length_events,
            events_done: 0,
            next_event: None,
            is_done: false,
            waited_ms: None,
        }
    };
    (0..GROUPS * GROUP_SAMPLES).map(sample).collect()
}

/// Steps of several trainers on the same engines.
struct Simulation {
    order: Order,
    start: Instant,
    steps: Vec<Step>,
    samples: Vec<SimulatedSample>,
    placement: Placement,
    lengths: LengthEstimator,
    /// Time from the acceptance to the end of each step; `None` while it is open.
    took_ms: Vec<Option<u64>>,
}

impl Simulation {
    fn new(order: Order, seed: u64, steps: &[Step]) -> Self {
        let mut placement = Placement::default();
        let engine = |key| EngineState {
            key: UpstreamKey(key),
            slots: SLOTS,
            memory_tokens: 1_000_000,
            model: Some(MODEL),
            versions: vec![(MODEL, 1)],
        };
        placement.set_engines((0..ENGINES).map(engine).collect());
        let samples = (0..steps.len()).flat_map(|step| samples_of(seed, step));
        Self {
            order,
            start: Instant::now(),
            steps: steps.to_vec(),
            samples: samples.collect(),
            placement,
            lengths: LengthEstimator::default(),
            took_ms: vec![None; steps.len()],
        }
    }

    /// Simulates all steps to their end.
    fn run(mut self) -> Self {
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            let now = self.start + Duration::from_millis(now_ms);
            for step in 0..self.steps.len() {
                if self.steps[step].at_ms == now_ms {
                    self.accept(step);
                }
            }
            self.advance(now);
            for step in 0..self.steps.len() {
                self.end_if_complete(step, now, now_ms);
            }
            if self.order == Order::Slack && now_ms % REORDER_INTERVAL_MS == 0 {
                self.reorder(now_ms);
            }
            while let Some((key, _)) = self.placement.next(now) {
                let sample = &mut self.samples[key.0 as usize];
                sample.next_event = Some(now + EVENT);
                let waited_ms = now_ms - self.steps[sample.step].at_ms;
                sample.waited_ms.get_or_insert(waited_ms);
            }
        }
        self
    }

    /// Times from acceptance to end, in milliseconds, of the steps that no trainer ended early.
    fn step_times_ms(&self) -> Vec<u64> {
        let all = self.steps.iter().zip(&self.took_ms);
        let complete = all.filter(|(step, _)| step.ends_ms.is_none());
        complete
            .map(|(_, took_ms)| took_ms.expect("every step ends"))
            .collect()
    }

    /// For each long sample with a correct hint: whether it started within 0.3 s.
    fn long_started(&self) -> Vec<bool> {
        let is_long = |sample: &&SimulatedSample| {
            sample.length_events >= 40
                && sample.hint_tokens == sample.length_events * TOKENS_PER_EVENT
        };
        let long = self.samples.iter().filter(is_long);
        long.map(|sample| sample.waited_ms.is_some_and(|waited_ms| waited_ms <= 300))
            .collect()
    }

    fn keys_of(step: usize) -> std::ops::Range<usize> {
        let samples = GROUPS * GROUP_SAMPLES;
        step * samples..(step + 1) * samples
    }

    fn accept(&mut self, step: usize) {
        let accepted_ms = self.steps[step].at_ms;
        let samples: Vec<Sample> = Self::keys_of(step)
            .map(|key| Sample {
                group: self.samples[key].group,
                expected_tokens: self.samples[key].hint_tokens,
            })
            .collect();
        let ranks = match self.order {
            Order::LongFirst => rank_by_length(&samples, TARGET_GROUPS, accepted_ms),
            Order::Arrival | Order::Slack => vec![accepted_ms; samples.len()],
        };
        self.lengths
            .record_step(samples.iter().map(|sample| sample.expected_tokens));
        for (key, rank) in Self::keys_of(step).zip(ranks) {
            self.placement.enqueue(SampleRequest {
                key: SampleKey(key as u64),
                group: (step * GROUPS + self.samples[key].group) as u64,
                model: MODEL,
                min_version: 1,
                peak_tokens: 100,
                rank,
                events_done: 0,
            });
        }
        if self.order == Order::Slack {
            self.reorder(accepted_ms);
        }
    }

    fn reorder(&mut self, now_ms: u64) {
        let mut new_ranks = vec![None; self.samples.len()];
        for (index, step) in self.steps.iter().enumerate() {
            if step.at_ms > now_ms {
                continue;
            }
            let open = Self::keys_of(index).filter(|key| !self.samples[*key].is_done);
            let open: Vec<usize> = open.collect();
            let sample = |key: &usize| OpenSample {
                group: self.samples[*key].group,
                expected_tokens: self.samples[*key].hint_tokens,
                events_done: self.samples[*key].events_done,
                is_text_complete: false,
            };
            let samples: Vec<OpenSample> = open.iter().map(sample).collect();
            let open_step = OpenStep {
                accepted_ms: step.at_ms,
                age: Duration::from_millis(now_ms - step.at_ms),
                due: DUE,
                target_groups: TARGET_GROUPS,
                groups: GROUPS,
                samples: &samples,
            };
            let ranks = rank_by_slack(
                &open_step,
                &self.lengths,
                self.placement.median_event_time(),
            );
            for (key, sample_rank) in open.into_iter().zip(ranks) {
                new_ranks[key] = Some(sample_rank.rank);
            }
        }
        self.placement.rank_waiting(|key| new_ranks[key.0 as usize]);
    }

    fn advance(&mut self, now: Instant) {
        for key in 0..self.samples.len() {
            let sample = &mut self.samples[key];
            let Some(next) = sample.next_event.filter(|next| *next <= now) else {
                continue;
            };
            sample.events_done += 1;
            sample.next_event = Some(next + EVENT);
            self.placement.record_event(next, SampleKey(key as u64));
            if sample.events_done == sample.length_events {
                sample.is_done = true;
                self.lengths
                    .record_ended(sample.hint_tokens, sample.length_events);
                self.stop(now, key, RunOutcome::Done);
            }
        }
    }

    fn stop(&mut self, now: Instant, key: usize, ending: RunOutcome) {
        if self.samples[key].next_event.take().is_some() {
            self.placement.finish(now, SampleKey(key as u64), ending);
        }
    }

    fn end_if_complete(&mut self, step: usize, now: Instant, now_ms: u64) {
        let accepted = self.steps[step];
        if accepted.at_ms > now_ms || self.took_ms[step].is_some() {
            return;
        }
        let is_open = |key: &usize| !self.samples[*key].is_done;
        let mut open: Vec<usize> = Self::keys_of(step)
            .filter(is_open)
            .map(|key| self.samples[key].group)
            .collect();
        open.dedup();
        let is_ended = accepted.ends_ms.is_some_and(|ends_ms| ends_ms <= now_ms);
        if GROUPS - open.len() < TARGET_GROUPS && !is_ended {
            return;
        }
        self.took_ms[step] = Some(now_ms - accepted.at_ms);
        for key in Self::keys_of(step) {
            self.samples[key].is_done = true;
            self.stop(now, key, RunOutcome::Cancelled);
        }
        let samples = &self.samples;
        self.placement
            .cancel(|key| samples[key.0 as usize].step == step);
    }
}

const fn at(at_ms: u64) -> Step {
    Step {
        at_ms,
        ends_ms: None,
    }
}

const TOGETHER: [Step; 3] = [at(0), at(0), at(0)];
const STAGGERED: [Step; 3] = [at(0), at(700), at(1_400)];
const PERIODIC: [Step; 6] = [at(0), at(1_400), at(2_800), at(4_200), at(5_600), at(7_000)];
const LAGGING: [Step; 4] = [at(0), at(0), at(2_000), at(4_500)];
const ENDS_EARLY: [Step; 3] = [
    Step {
        at_ms: 0,
        ends_ms: Some(1_500),
    },
    at(0),
    at(700),
];

#[derive(Debug)]
struct Figures {
    mean_ms: u64,
    max_ms: u64,
    late: usize,
    /// Share of the long samples with a correct hint that started within 0.3 s of acceptance.
    long_started_percent: usize,
}

/// Results of all steps over several random seeds of the same load.
fn figures(order: Order, steps: &[Step]) -> Figures {
    let simulations: Vec<Simulation> = (100..120)
        .map(|seed| Simulation::new(order, seed, steps).run())
        .collect();
    let times_ms: Vec<u64> = simulations
        .iter()
        .flat_map(Simulation::step_times_ms)
        .collect();
    let long: Vec<bool> = simulations
        .iter()
        .flat_map(Simulation::long_started)
        .collect();
    let started = long.iter().filter(|started| **started).count();
    Figures {
        mean_ms: times_ms.iter().sum::<u64>() / times_ms.len() as u64,
        max_ms: times_ms.iter().copied().max().unwrap_or_default(),
        late: times_ms
            .iter()
            .filter(|time_ms| u128::from(**time_ms) > DUE.as_millis())
            .count(),
        long_started_percent: started * 100 / long.len(),
    }
}

/// Guards against an order by slack that ends steps later than other orders do, or that leaves long
/// samples with a correct hint waiting behind short ones.
#[test]
fn steps_end_sooner_than_by_arrival() {
    let cases: [(&str, &[Step]); 5] = [
        ("together", &TOGETHER),
        ("staggered", &STAGGERED),
        ("periodic", &PERIODIC),
        ("lagging trainer", &LAGGING),
        ("a step ends early", &ENDS_EARLY),
    ];
    for (name, steps) in cases {
        let arrival = figures(Order::Arrival, steps);
        let long_first = figures(Order::LongFirst, steps);
        let slack = figures(Order::Slack, steps);
        println!("{name}: arrival {arrival:?}, long first {long_first:?}, slack {slack:?}");
        assert!(slack.mean_ms < arrival.mean_ms, "{name}");
        assert!(slack.mean_ms < long_first.mean_ms, "{name}");
        assert!(slack.late < arrival.late, "{name}");
        assert!(slack.max_ms < arrival.max_ms, "{name}");
        assert!(slack.long_started_percent >= 90, "{name}");
    }
}
