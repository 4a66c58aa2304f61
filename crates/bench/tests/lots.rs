//! Rollout feeds under the faults of their traces, and what they cost the
//! platform.

use std::path::Path;

use firweir_bench::baseline::policy;
use firweir_bench::replay::Plan;
use firweir_bench::replay::replay;
use firweir_bench::report::Run;
use firweir_bench::trace::FaultKind;
use firweir_bench::trace::Trace;

const SEED: u64 = 7;

fn load(name: &str) -> Trace {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    Trace::load(&folder.join(format!("{name}.json"))).expect("a committed trace")
}

fn run(name: &str, trace: Trace) -> Run {
    let plan = Plan {
        name: name.to_owned(),
        trace,
        seed: SEED,
        policy: "firweir".to_owned(),
        make_dispatcher: policy("firweir").expect("known policy"),
    };
    replay(&plan, |_share| {}).expect("the replay runs")
}

fn measure(run: &Run, name: &str) -> f64 {
    let found = run.measures.iter().find(|figure| figure.name == name);
    found.expect("a figure of this name").value
}

fn assert_held(run: &Run) {
    let short: Vec<_> = run
        .outcomes
        .iter()
        .filter(|outcome| !outcome.held)
        .collect();
    assert!(short.is_empty(), "{}: {short:?}", run.trace);
}

const FEED_TRACES: [&str; 6] = [
    "feed-api-outage",
    "feed-holder-dies-each-phase",
    "feed-holder-drains",
    "feed-holder-paused",
    "feed-unfenced-engines",
    "feed-vault-loss",
];

/// Guards against steps that are lost, doubled or stale as holders, platform, vaults and trainers
/// fail.
#[test]
fn committed_feed_traces_hold() {
    for name in FEED_TRACES {
        assert_held(&run(name, load(name)));
    }
}

/// No VM has a disk. Steps are drafted anew where a holder dies, and nothing is
/// doubled or lost as long as no trainer restarts as well.
#[test]
fn without_vaults_a_dead_holder_costs_time_alone() {
    let mut trace = load("feed-holder-dies-each-phase");
    trace.vaults = 0;
    trace
        .faults
        .retain(|fault| fault.kind != FaultKind::TrainerRestart);
    assert_held(&run("memory-only", trace));
}

struct CostCase {
    name: &'static str,
    groups_per_step: u32,
}

/// The platform counts each call. What a step writes there must not depend on
/// how many samples it has, or 4,096 of them would be above its rate.
#[test]
fn writes_of_a_step_do_not_grow_with_its_samples() {
    let cases = [
        CostCase {
            name: "16 samples",
            groups_per_step: 4,
        },
        CostCase {
            name: "64 samples",
            groups_per_step: 16,
        },
        CostCase {
            name: "256 samples",
            groups_per_step: 64,
        },
    ];
    let mut least = f64::MAX;
    let mut most = 0.0_f64;
    for case in cases {
        let mut trace = load("feed-holder-paused");
        trace.faults.clear();
        trace.upstreams[0].count = 24;
        let feed = &mut trace.config[1].content["feeds"]["windhoek-a"];
        feed["groups_per_step"] = case.groups_per_step.into();
        let run = run(case.name, trace);
        assert_held(&run);
        let steps = measure(&run, "steps_accepted");
        let all = run.object_api.writes;
        let writes = all as f64 / steps;
        let delivered = run.counts.samples_delivered;
        println!(
            "{}: {steps} steps, {delivered} samples, {all} writes, {writes:.2} a step",
            case.name
        );
        least = least.min(writes);
        most = most.max(writes);
    }
    // Renewals go by time: a step that takes a little longer has a part of one more.
    assert!(most <= least * 1.2, "{least} to {most} writes a step");
}
