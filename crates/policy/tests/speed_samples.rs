//! Simulates samples on engines of uneven speed that noisy neighbours (other workloads on the same
//! VM or host) slow down at times.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::placement::EngineState;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::Placement;
use firweir_policy::placement::RunOutcome;
use firweir_policy::placement::SampleKey;
use firweir_policy::placement::SampleRequest;
use firweir_policy::route::splitmix64;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;

const MODEL: ModelKey = ModelKey(0);
const ENGINES: u32 = 45;
const GROUP: u64 = 4;
const SEEDS: u64 = 2;
const TICK_MS: u64 = 4;
const EVENT_MS: f64 = 49.7;
const MOVE_MS: f64 = 15.0;

/// Steps that arrive at a fixed interval.
#[derive(Clone, Copy)]
struct Load {
    samples_per_step: u64,
    steps: u64,
    interval_ms: u64,
    /// Number of groups that the trainer waits for: nine of ten.
    target_groups: usize,
}

/// Four trainers that each submit a step every 4 s, by turns.
const BY_TURNS: Load = Load {
    samples_per_step: 132,
    steps: 20,
    interval_ms: 1_000,
    target_groups: 30,
};

/// The same trainers, two at a time.
const IN_PAIRS: Load = Load {
    samples_per_step: 264,
    steps: 10,
    interval_ms: 2_000,
    target_groups: 60,
};

/// What engines report about their speed.
#[derive(Clone, Copy, PartialEq)]
enum Reports {
    Nothing,
    Truth,
    Fixed(u32),
}

struct Run {
    key: u64,
    engine: u32,
    /// Time until the next event.
    next_event_ms: f64,
}

struct Simulation {
    placement: Placement,
    reports: Reports,
    load: Load,
    /// Permanent slowness that is not reported: engine, start in milliseconds, and factor.
    slowdown: Option<(u32, u64, f64)>,
    start: Instant,
    now_ms: u64,
    runs: Vec<Run>,
    /// By sample: number of all its events.
    events: Vec<u64>,
    /// By sample: number of events still to be generated.
    remaining: Vec<u64>,
    /// By sample: number of runs.
    tries: Vec<u32>,
    /// By sample: time at which it ended.
    ended_ms: Vec<u64>,
    /// Engines from which samples were moved.
    moved_from: Vec<u32>,
}

fn speed(engine: u32) -> f64 {
    if engine.is_multiple_of(2) { 0.7 } else { 1.7 }
}

/// Whether noisy neighbours slow the engine down: every sixth one, for 0.6 s in each 1.8 s.
fn is_disturbed(engine: u32, at_ms: u64) -> bool {
    let start_ms = splitmix64(u64::from(engine) << 32 | (at_ms / 1_800)) % 1_200;
    engine % 6 == 1 && (start_ms..start_ms + 600).contains(&(at_ms % 1_800))
}

/// Random number of events of a sample: 21 on average, at most 152.
fn random_events(seed: u64, sample: u64) -> u64 {
    let random = splitmix64(seed << 32 | sample);
    if random.is_multiple_of(12) {
        40 + splitmix64(random) % 113
    } else {
        4 + splitmix64(random) % 21
    }
}

/// Time at which the first `target_groups` groups are complete, from the times at which their
/// samples end.
fn target_ms(ended_ms: &[u64], target_groups: usize) -> u64 {
    let groups = ended_ms.chunks(GROUP as usize);
    let mut complete_ms: Vec<u64> = groups
        .filter_map(|group| group.iter().max().copied())
        .collect();
    complete_ms.sort_unstable();
    complete_ms[target_groups - 1]
}

/// Mean result of [`Simulation::run`] over several random seeds.
fn mean_result(load: Load, reports: Reports) -> (f64, f64) {
    let results = (0..SEEDS).map(|seed| Simulation::new(seed, load, reports).run());
    let sum = results.fold((0.0, 0.0), |sum, result| {
        (sum.0 + result.0, sum.1 + result.1)
    });
    (sum.0 / SEEDS as f64, sum.1 / SEEDS as f64)
}

impl Simulation {
    fn new(seed: u64, load: Load, reports: Reports) -> Self {
        let mut placement = Placement::default();
        let engine = |key| EngineState {
            key: UpstreamKey(key),
            slots: 8,
            memory_tokens: 74_766,
            model: Some(MODEL),
            versions: vec![(MODEL, 1)],
        };
        placement.set_engines((0..ENGINES).map(engine).collect());
        let samples = 0..load.samples_per_step * load.steps;
        let events: Vec<u64> = samples.map(|key| random_events(seed, key)).collect();
        Self {
            placement,
            reports,
            load,
            slowdown: None,
            start: Instant::now(),
            now_ms: 0,
            runs: Vec::new(),
            remaining: events.clone(),
            tries: vec![0; events.len()],
            ended_ms: vec![0; events.len()],
            events,
            moved_from: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn offer(&mut self, key: u64) {
        // The length hint is wrong for every second sample.
        let hinted_events = if key.is_multiple_of(2) {
            self.events[key as usize]
        } else {
            21
        };
        let step_ms = key / self.load.samples_per_step * self.load.interval_ms;
        self.placement.enqueue(SampleRequest {
            key: SampleKey(key),
            group: key / GROUP,
            model: MODEL,
            min_version: 1,
            peak_tokens: 200,
            rank: step_ms << 20 | (1_000 - hinted_events),
            events_done: (self.events[key as usize] - self.remaining[key as usize]) as u32,
        });
    }

    /// Factor by which events of the engine take longer now.
    fn factor(&self, engine: u32) -> f64 {
        let disturbance = if is_disturbed(engine, self.now_ms) {
            2.5
        } else {
            1.0
        };
        let slowdown = self
            .slowdown
            .filter(|slow| slow.0 == engine && self.now_ms >= slow.1);
        disturbance * slowdown.map_or(1.0, |slow| slow.2)
    }

    fn report(&mut self, engine: u32) {
        let time_percent = match self.reports {
            Reports::Nothing => None,
            Reports::Truth if is_disturbed(engine, self.now_ms) => Some(250),
            Reports::Truth => Some(100),
            Reports::Fixed(percent) => Some(percent),
        };
        let load = ReportedLoad {
            running: 1,
            waiting: 0,
            slots: 8,
            time_percent,
        };
        let now = self.now();
        self.placement.record_load(now, UpstreamKey(engine), load);
    }

    fn place(&mut self) {
        let now = self.now();
        while let Some((sample, engine)) = self.placement.next(now) {
            self.tries[sample.0 as usize] += 1;
            self.runs.push(Run {
                key: sample.0,
                engine: engine.0,
                next_event_ms: MOVE_MS + EVENT_MS / speed(engine.0),
            });
            self.report(engine.0);
        }
        for key in self.placement.moves(now) {
            let run = self.runs.iter().position(|run| run.key == key.0);
            let run = self.runs.remove(run.expect("a moved sample runs"));
            self.moved_from.push(run.engine);
            self.placement.finish(now, key, RunOutcome::Cancelled);
            self.offer(key.0);
        }
    }

    /// Advances the running samples by [`TICK_MS`].
    fn advance(&mut self) {
        let now = self.now();
        for at in (0..self.runs.len()).rev() {
            let factor = self.factor(self.runs[at].engine);
            let run = &mut self.runs[at];
            run.next_event_ms -= TICK_MS as f64 / factor;
            if run.next_event_ms > 0.0 {
                continue;
            }
            run.next_event_ms += EVENT_MS / speed(run.engine);
            let key = run.key;
            self.placement.record_event(now, SampleKey(key));
            self.remaining[key as usize] -= 1;
            if self.remaining[key as usize] == 0 {
                self.ended_ms[key as usize] = self.now_ms;
                self.runs.remove(at);
                self.placement.finish(now, SampleKey(key), RunOutcome::Done);
            }
        }
    }

    /// Share of the runs that were cut off by a move, and mean ratio of a step's time to its
    /// minimum (on fast engines alone).
    fn run(&mut self) -> (f64, f64) {
        while self.remaining.iter().any(|events| *events > 0) {
            let step = self.now_ms / self.load.interval_ms;
            if self.now_ms.is_multiple_of(self.load.interval_ms) && step < self.load.steps {
                let first = step * self.load.samples_per_step;
                (first..first + self.load.samples_per_step).for_each(|key| self.offer(key));
            }
            self.place();
            self.advance();
            self.now_ms += TICK_MS;
            assert!(self.now_ms < 120_000, "some samples have not ended");
        }
        let tries: u32 = self.tries.iter().sum();
        let cut_off = f64::from(tries) - self.tries.len() as f64;
        let events_ms = |events: &u64| (*events as f64 * EVENT_MS / 1.7) as u64;
        let min_ms: Vec<u64> = self.events.iter().map(events_ms).collect();
        let samples = self.load.samples_per_step as usize;
        let steps = self.ended_ms.chunks(samples).enumerate();
        let ratios = steps.map(|(step, ended_ms)| {
            let step_min_ms = &min_ms[step * samples..(step + 1) * samples];
            let took_ms =
                target_ms(ended_ms, self.load.target_groups) - step as u64 * self.load.interval_ms;
            took_ms as f64 / target_ms(step_min_ms, self.load.target_groups) as f64
        });
        let mean_ratio = ratios.sum::<f64>() / self.load.steps as f64;
        (cut_off / f64::from(tries), mean_ratio)
    }
}

/// Guards against moving samples back and forth between engines that are disturbed for short
/// times.
#[test]
fn reported_speeds_cut_fewer_runs_and_steps_end_no_later() {
    let (cut_before, step_before) = mean_result(BY_TURNS, Reports::Nothing);
    let (cut, step) = mean_result(BY_TURNS, Reports::Truth);
    println!("by turns: cut off {cut_before:.3} -> {cut:.3}, step {step_before:.3} -> {step:.3}");
    assert!(cut < 0.04, "{cut}");
    assert!(step <= step_before, "{step} {step_before}");
}

/// Guards against moving samples back and forth while steps fill most slots, so that long samples
/// start on slow engines. Fewer moves may make a step 2 % longer.
#[test]
fn reported_speeds_cut_fewer_runs_of_steps_that_come_together() {
    let (cut_before, step_before) = mean_result(IN_PAIRS, Reports::Nothing);
    let (cut, step) = mean_result(IN_PAIRS, Reports::Truth);
    println!("in pairs: cut off {cut_before:.3} -> {cut:.3}, step {step_before:.3} -> {step:.3}");
    assert!(cut < 0.04, "{cut}");
    assert!(step <= step_before * 1.02, "{step} {step_before}");
}

/// Guards against reported figures that never change or are implausible: they must not move more
/// samples than correct figures may, and no sample twice.
#[test]
fn absurd_figures_move_few_samples() {
    for percent in [0, 250, 90_000] {
        let mut simulation = Simulation::new(0, BY_TURNS, Reports::Fixed(percent));
        let (cut, step) = simulation.run();
        println!("always {percent}: cut off {cut:.3}, step {step:.3}");
        assert!(cut < 0.04, "{percent}: {cut}");
        assert!(step < 1.1, "{percent}: {step}");
        assert!(
            simulation.tries.iter().all(|tries| *tries <= 2),
            "{percent}"
        );
    }
}

/// Guards against samples that stay on an engine that is permanently slow and does not report it,
/// and against samples that are moved more than once.
#[test]
fn long_samples_leave_a_lastingly_slow_engine_once() {
    let mut simulation = Simulation::new(0, BY_TURNS, Reports::Truth);
    simulation.slowdown = Some((3, 1_000, 3.5));
    let (cut, step) = simulation.run();
    println!("permanently slow: cut off {cut:.3}, step {step:.3}");
    assert!(simulation.moved_from.contains(&3));
    assert!(simulation.tries.iter().all(|tries| *tries <= 2));
    assert!(step < 1.15, "{step}");
}

/// Guards against moving long samples because of a short disturbance alone, reported or not.
#[test]
fn a_disturbance_alone_moves_no_sample() {
    for is_reported in [true, false] {
        let mut simulation = Simulation::new(0, BY_TURNS, Reports::Truth);
        (0..2).for_each(|key| simulation.offer(key));
        let mut engines = [0; 2];
        while let Some((sample, engine)) = simulation.placement.next(simulation.start) {
            engines[sample.0 as usize] = engine.0;
        }
        assert_ne!(engines[0], engines[1]);
        let mut next_ms = [50, 50];
        for at_ms in 0..6_000 {
            let now = simulation.start + Duration::from_millis(at_ms);
            let is_disturbance = (4_000..4_600).contains(&at_ms);
            for sample in 0..2 {
                let is_slow = is_disturbance && sample == 0;
                if at_ms == 0 || (is_reported && at_ms % 100 == 0) {
                    let load = ReportedLoad {
                        running: 1,
                        waiting: 0,
                        slots: 8,
                        time_percent: Some(if is_slow { 250 } else { 100 }),
                    };
                    let engine = UpstreamKey(engines[sample]);
                    simulation.placement.record_load(now, engine, load);
                }
                if at_ms == next_ms[sample] {
                    simulation
                        .placement
                        .record_event(now, SampleKey(sample as u64));
                    next_ms[sample] += if is_slow { 125 } else { 50 };
                }
            }
            assert_eq!(
                simulation.placement.moves(now),
                [],
                "{is_reported}: {at_ms} ms"
            );
        }
    }
}
