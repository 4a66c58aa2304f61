//! Short replays of load on a small deployment: what callers get.

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
        "deployment": "test", "duration_s": 40, "zones": ["a", "b", "c"], "entries": 3,
        "latency": {"local_us": 100, "zones_us": 500, "clients_us": 1000},
        "config": [{"name": "10.json", "content": {"services": {"models": {
            "kind": "engine", "limit_per_upstream": 16, "default_deadline_ms": 5000
        }}}}],
        "upstreams": [{"service": "models", "count": 3, "engine": {
            "token_us": 5000, "batch_knee": 32, "prefill_us": 100, "cached_prompts": 8,
            "chunk_tokens": 16, "long_share": 0.05, "swap_ms": 200, "checks_fencing": true
        }}],
        "loads": [{"service": "models", "rate_per_s": 20, "callers": 10, "deadline_ms": 5000,
                   "model": "m", "max_tokens": 200}],
        "outcomes": []
    });
    json_patch::merge(&mut trace, extra);
    Trace::parse(Path::new("load.json"), &trace.to_string()).expect("a good trace")
}

fn run(extra: &Value, policy_name: &str) -> Run {
    let plan = Plan {
        name: "load".to_owned(),
        trace: trace(extra),
        seed: 7,
        policy: policy_name.to_owned(),
        make_dispatcher: policy(policy_name).expect("known policy"),
    };
    replay(&plan, |_share| {}).expect("the replay runs")
}

fn measure(run: &Run, name: &str) -> f64 {
    let found = run.measures.iter().find(|figure| figure.name == name);
    found.expect("a known measure").value
}

fn unlimited_training() -> Value {
    json!({
        "config": [
            {"name": "10.json", "content": {"services": {"models": {
                "kind": "engine", "limit_per_upstream": 16, "default_deadline_ms": 5000
            }}}},
            {"name": "20.json", "content": {"feeds": {
                "a": feed(48), "b": feed(64), "c": feed(80), "d": feed(96)
            }}}
        ],
        "trainers": [{"feed": "a", "train_s": 1}, {"feed": "b", "train_s": 1},
                     {"feed": "c", "train_s": 1}, {"feed": "d", "train_s": 1}]
    })
}

fn feed(groups: u32) -> Value {
    json!({
        "service": "models", "model": "m", "groups_per_step": groups, "samples_per_group": 8,
        "max_tokens": 400, "staleness_bound_versions": 5, "draft_timeout_ms": 120_000
    })
}

/// Guards against an answer that ends in the middle and looks whole as engines die.
#[test]
fn half_an_answer_never_looks_whole() {
    let crashes: Vec<Value> = (1..8)
        .map(|number| {
            json!({"at_s": number * 5, "kind": "upstream-crash", "target": number % 3, "for_s": 2})
        })
        .collect();
    // Enough calls that each crash hits streams at every stage.
    let loads = json!([{"service": "models", "rate_per_s": 80, "callers": 10,
        "deadline_ms": 5000, "model": "m", "max_tokens": 200}]);
    let run = run(&json!({"faults": crashes, "loads": loads}), "firweir");
    assert_eq!(run.counts.lost, 0, "{:?}", run.counts);
    let resumed = measure(&run, "answers_resumed");
    assert!(resumed > 0.0, "the crashes hit no answer: {:?}", run.counts);
    assert!(
        (run.counts.unknown as f64) < resumed,
        "{resumed} answers went on: {:?}",
        run.counts
    );
}

/// Guards against callers that wait behind more training than the engines can do.
#[test]
fn live_calls_are_not_starved_by_training() {
    let extra = unlimited_training();
    let ours = run(&extra, "firweir");
    let fixed = run(&extra, "static");
    let in_deadline = |run| measure(run, "live_in_deadline_share");
    assert!(in_deadline(&ours) >= 0.995, "{}", in_deadline(&ours));
    assert!(
        in_deadline(&fixed) < 0.5,
        "the load is too small: {}",
        in_deadline(&fixed)
    );
    let goodput = |run| measure(run, "goodput");
    assert!(
        goodput(&ours) > 0.8 * goodput(&fixed),
        "{} {}",
        goodput(&ours),
        goodput(&fixed)
    );
}

/// One of three engines becomes ten times slower. Callers sent there wait ten
/// times as long, and p99 becomes theirs.
#[test]
fn a_slow_engine_does_not_set_the_p99() {
    let slow = json!({"faults": [
        {"at_s": 8, "kind": "upstream-slow", "target": 1, "amount": 10, "for_s": 32}
    ]});
    let with = measure(&run(&slow, "firweir"), "live_p99_ms");
    let without = measure(&run(&json!({}), "firweir"), "live_p99_ms");
    let fixed = measure(&run(&slow, "static"), "live_p99_ms");
    assert!(with <= 1.2 * without, "{with} {without}");
    assert!(
        fixed > 1.2 * without,
        "the fault is too small: {fixed} {without}"
    );
}
