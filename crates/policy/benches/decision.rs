//! Cost of one decision with 12 to 4,800 upstreams: a call is offered, started and ended, with
//! other work in flight.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

/// Numbers of upstreams and of the entries that share them, in proportion.
const UPSTREAMS: [(u32, usize); 4] = [(12, 1), (120, 10), (1_200, 105), (4_800, 420)];

/// Amount of work in flight at an entry while it decides.
const IN_FLIGHT: u64 = 64;

fn work(key: u64, now: Instant) -> Work {
    Work {
        key: WorkKey(key),
        class: Class::Live,
        caller: key % 50,
        prefix: key.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        cost_tokens: 100,
        priority: 0,
        deadline: now + Duration::from_secs(30),
        objective: None,
        avoid: Vec::new(),
    }
}

fn loaded(upstreams: u32, entries: usize, now: Instant) -> LaneDispatcher {
    let states: Vec<UpstreamState> = (0..upstreams)
        .map(|key| UpstreamState {
            key: UpstreamKey(key),
            address_hash: u64::from(key),
            local_zone: key.is_multiple_of(3),
            leaving: false,
            limit: 32,
        })
        .collect();
    let demands = vec![IN_FLIGHT as u32; entries];
    let entry_demands = EntryDemands {
        demands: &demands,
        rank: entries / 2,
        known_entries: entries,
    };
    let mut dispatcher = LaneDispatcher::new();
    dispatcher.set_upstreams(now, &states, &entry_demands);
    let warm = now + Duration::from_secs(10);
    dispatcher.tick(warm);
    for key in 0..IN_FLIGHT {
        dispatcher.offer(warm, work(key, warm));
    }
    while dispatcher.next_decision().is_some() {}
    dispatcher
}

fn decide(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("offer, start and end");
    for (upstreams, entries) in UPSTREAMS {
        let mut dispatcher = loaded(upstreams, entries, now);
        let at = now + Duration::from_secs(10);
        let mut key = IN_FLIGHT;
        let finish = Finish {
            ending: Ending::Answered,
            elapsed: Duration::from_millis(500),
            tokens: 100,
            reported_load: None,
        };
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| {
                key += 1;
                dispatcher.offer(at, work(key, at));
                let decision = black_box(dispatcher.next_decision());
                assert!(matches!(decision, Some(Decision::Start { .. })));
                dispatcher.finish(at, WorkKey(key), &finish);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
