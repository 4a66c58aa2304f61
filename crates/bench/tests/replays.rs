//! Small replays whose verdict is known: what is well passes, and a system
//! without its guard is caught.

use std::path::Path;

use firweir_bench::baseline::policy;
use firweir_bench::replay::Plan;
use firweir_bench::replay::replay;
use firweir_bench::report::Run;
use firweir_bench::trace::Trace;
use serde_json::Value;
use serde_json::json;

fn trace(extra: &Value) -> Trace {
    let mut trace = json!({
        "deployment": "test", "duration_s": 60, "zones": ["a", "b", "c"], "entries": 3,
        "latency": {"local_us": 100, "zones_us": 500, "clients_us": 1000},
        "config": [
            {"name": "10.json", "content": {"services": {
                "cards": {"kind": "plain", "limit_per_upstream": 16,
                          "default_deadline_ms": 500, "charged_paths": ["/quote"]},
                "models": {"kind": "engine", "limit_per_upstream": 32,
                           "default_deadline_ms": 20000}
            }}},
            {"name": "20.json", "content": {"feeds": {"lots": {
                "service": "models", "model": "m", "groups_per_step": 4,
                "samples_per_group": 4, "max_tokens": 400, "staleness_bound_versions": 3,
                "draft_timeout_ms": 20000
            }}}}
        ],
        "upstreams": [
            {"service": "cards", "count": 2, "work_ms": 5},
            {"service": "models", "count": 3, "engine": {
                "token_us": 2000, "batch_knee": 16, "prefill_us": 100, "cached_prompts": 8,
                "chunk_tokens": 16, "long_share": 0.1, "swap_ms": 200, "checks_fencing": true
            }}
        ],
        "trainers": [{"feed": "lots", "train_s": 4}],
        "loads": [{"service": "cards", "path": "/quote", "rate_per_s": 10, "callers": 4,
                   "deadline_ms": 500, "charged": true}],
        "outcomes": [
            {"name": "duplicated", "at_most": 0}, {"name": "lost", "at_most": 0},
            {"name": "stale", "at_most": 0}, {"name": "mislabelled", "at_most": 0},
            {"name": "reexecuted", "at_most": 0}, {"name": "not_run_ran", "at_most": 0},
            {"name": "steps_accepted", "at_least": 4}
        ]
    });
    json_patch::merge(&mut trace, extra);
    Trace::parse(Path::new("test.json"), &trace.to_string()).expect("a good trace")
}

fn run(trace: Trace, seed: u64) -> Run {
    let plan = Plan {
        name: "test".to_owned(),
        trace,
        seed,
        policy: "firweir".to_owned(),
        make_dispatcher: policy("firweir").expect("known policy"),
    };
    replay(&plan, |_share| {}).expect("the replay runs")
}

fn assert_held(name: &str, run: &Run) {
    let short: Vec<_> = run
        .outcomes
        .iter()
        .filter(|outcome| !outcome.held)
        .collect();
    assert!(short.is_empty(), "{name}: {short:?}\n{:?}", run.counts);
}

struct FaultCase {
    name: &'static str,
    faults: Value,
}

/// Guards against samples and charged calls that any one fault loses or doubles.
#[test]
fn promises_hold_under_each_fault() {
    let cases = [
        FaultCase {
            name: "nothing",
            faults: json!([]),
        },
        FaultCase {
            name: "an engine crashes in the middle of a step",
            faults: json!([{"at_s": 8, "kind": "upstream-crash", "target": 3, "for_s": 5}]),
        },
        FaultCase {
            name: "a service instance crashes with charged calls in flight",
            faults: json!([{"at_s": 8, "kind": "upstream-crash", "target": 0, "for_s": 5}]),
        },
        FaultCase {
            name: "a weight swap fails partway",
            faults: json!([{"at_s": 5, "kind": "swap-fails", "target": 1, "amount": 3}]),
        },
        FaultCase {
            name: "each VM dies in turn",
            faults: json!([
                {"at_s": 8, "kind": "vm-kill", "target": 0, "for_s": 5},
                {"at_s": 22, "kind": "vm-kill", "target": 1, "for_s": 5},
                {"at_s": 36, "kind": "vm-kill", "target": 2, "for_s": 5}
            ]),
        },
        FaultCase {
            name: "each VM is paused past its leases",
            faults: json!([
                {"at_s": 6, "kind": "vm-freeze", "target": 0, "for_s": 16},
                {"at_s": 24, "kind": "vm-freeze", "target": 1, "for_s": 16},
                {"at_s": 42, "kind": "vm-freeze", "target": 2, "for_s": 16}
            ]),
        },
        FaultCase {
            name: "the platform's store is down, then loses replies",
            faults: json!([
                {"at_s": 8, "kind": "api-outage", "for_s": 10},
                {"at_s": 25, "kind": "api-replies-lost", "for_s": 10}
            ]),
        },
        FaultCase {
            name: "a zone is cut off while operators race",
            faults: json!([
                {"at_s": 8, "kind": "zone-cut", "target": 1, "for_s": 15},
                {"at_s": 12, "kind": "operators-race", "amount": 3}
            ]),
        },
    ];
    for case in cases {
        let run = run(trace(&json!({"faults": case.faults})), 7);
        assert_held(case.name, &run);
    }
}

/// Guards against a charged call that runs twice as the instances that run it crash.
#[test]
fn crashes_with_charged_calls_in_flight_run_none_twice() {
    let crash = |at_s: u32, target: u32| json!({"at_s": at_s, "kind": "upstream-crash", "target": target, "for_s": 1});
    let faults: Vec<Value> = (0..12)
        .map(|number| crash(4 + 4 * number, number % 2))
        .collect();
    let slow = json!({
        "faults": faults, "trainers": [],
        "upstreams": [{"service": "cards", "count": 2, "work_ms": 300}],
        "loads": [{"service": "cards", "path": "/quote", "rate_per_s": 40, "callers": 4,
                   "deadline_ms": 2000, "charged": true}],
        "outcomes": [
            {"name": "reexecuted", "at_most": 0}, {"name": "not_run_ran", "at_most": 0},
            {"name": "lost", "at_most": 0}, {"name": "unknown", "at_least": 1}
        ]
    });
    assert_held("crashes", &run(trace(&slow), 7));
}

/// The same trace and seed give the same report, byte for byte.
#[test]
fn a_replay_repeats_byte_for_byte() {
    let faults = json!({"faults": [{"at_s": 8, "kind": "vm-kill", "target": 0, "for_s": 5}]});
    let report = || serde_json::to_string(&run(trace(&faults), 11)).expect("a report");
    assert_eq!(report(), report());
}

/// An outcome about something that is not measured must not pass unnoticed.
#[test]
fn an_unknown_outcome_does_not_hold() {
    let run = run(
        trace(&json!({"outcomes": [{"name": "happiness", "at_least": 1}]})),
        7,
    );
    assert!(!run.held());
}
