//! Cost of one decision on samples and on weight loads, at three pool sizes.
//!
//!     cargo bench -p firweir-policy --bench placement

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use firweir_policy::placement::EngineState;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::Placement;
use firweir_policy::placement::RunOutcome;
use firweir_policy::placement::SampleKey;
use firweir_policy::placement::SampleRequest;
use firweir_policy::weight_loads::EngineWeights;
use firweir_policy::weight_loads::ModelShares;
use firweir_policy::weight_loads::max_concurrent_loads;
use firweir_policy::weight_loads::next_loads;
use firweir_policy::work::UpstreamKey;

/// Engines of the present fleet, ten times as many, and the number that the design targets.
const POOLS: [u32; 3] = [62, 620, 4_800];

const MODEL: ModelKey = ModelKey(0);

fn engine(key: u32) -> EngineState {
    EngineState {
        key: UpstreamKey(key),
        slots: 6,
        memory_tokens: 48_000,
        model: Some(MODEL),
        versions: vec![(MODEL, 1)],
    }
}

fn new_sample(key: u64) -> SampleRequest {
    SampleRequest {
        key: SampleKey(key),
        group: key / 16,
        model: MODEL,
        min_version: 1,
        peak_tokens: 2_000,
        rank: key,
        events_done: 0,
    }
}

/// A pool that runs a step, with the speed of its engines known.
fn busy_pool(engines: u32, now: Instant) -> Placement {
    let mut placement = Placement::default();
    placement.set_engines((0..engines).map(engine).collect());
    for key in 0..160 {
        placement.enqueue(new_sample(key));
    }
    while placement.next(now).is_some() {}
    for event in 1..4 {
        for key in 0..160 {
            placement.record_event(now + Duration::from_millis(40 * event), SampleKey(key));
        }
    }
    placement
}

fn events(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("an event");
    for engines in POOLS {
        let now = Instant::now();
        let mut placement = busy_pool(engines, now);
        let mut at = now + Duration::from_millis(160);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                at += Duration::from_micros(250);
                placement.record_event(black_box(at), SampleKey(7));
            });
        });
    }
    group.finish();
}

fn starts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a start and its end");
    for engines in POOLS {
        let now = Instant::now();
        let mut placement = busy_pool(engines, now);
        let mut key = 1_000;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                key += 1;
                placement.enqueue(new_sample(key));
                black_box(placement.next(now));
                placement.finish(now, SampleKey(key), RunOutcome::Done);
            });
        });
    }
    group.finish();
}

/// All samples of a step start at the same time, and end.
fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a step of 224 samples starts and ends");
    for engines in POOLS {
        let mut now = Instant::now();
        let mut placement = busy_pool(engines, now);
        let mut key = 1_000;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                now += Duration::from_micros(10);
                let step = key..key + 224;
                key += 224;
                step.clone()
                    .for_each(|key| placement.enqueue(new_sample(key)));
                while placement.next(now).is_some() {}
                step.for_each(|key| placement.finish(now, SampleKey(key), RunOutcome::Done));
                placement.cancel(|_| true);
            });
        });
    }
    group.finish();
}

fn plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a plan of loads, two models an engine");
    for engines in POOLS {
        let weights: Vec<EngineWeights> = (0..engines * 2)
            .map(|pair| EngineWeights {
                engine: UpstreamKey(pair / 2),
                model: ModelKey((pair / 2 + pair % 2) % 3),
                version: u64::from(pair % 5),
                latest_version: 5,
                loading: false,
                unavailable: false,
            })
            .collect();
        let max_concurrent = max_concurrent_loads(engines as usize).min(16);
        let model_shares = ModelShares {
            engines: engines as usize,
            models: 3,
            needs: Vec::new(),
        };
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| black_box(next_loads(&weights, max_concurrent, &model_shares)));
        });
    }
    group.finish();
}

criterion_group!(benches, events, starts, steps, plans);
criterion_main!(benches);
