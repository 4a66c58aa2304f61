//! Traces: the committed ones are read, broken ones are refused with their key.

use std::path::Path;

use firweir_bench::trace::Trace;
use serde_json::Value;
use serde_json::json;

fn small_trace() -> Value {
    json!({
        "deployment": "test", "duration_s": 30, "zones": ["a", "b"], "entries": 2,
        "latency": {"local_us": 100, "zones_us": 500, "clients_us": 1000},
        "config": [{"name": "10.json", "content": {"services": {"cards": {
            "kind": "plain", "limit_per_upstream": 8, "default_deadline_ms": 500
        }}}}],
        "upstreams": [{"service": "cards", "count": 2, "work_ms": 5}],
        "loads": [{"service": "cards", "path": "/card", "rate_per_s": 20, "callers": 4,
                   "deadline_ms": 500}],
        "outcomes": [{"name": "lost", "at_most": 0}]
    })
}

fn error_of(trace: &Value) -> String {
    let parsed = Trace::parse(Path::new("t.json"), &trace.to_string());
    parsed
        .err()
        .map(|error| error.to_string())
        .unwrap_or_default()
}

struct BrokenCase {
    name: &'static str,
    pointer: &'static str,
    value: Value,
    error: &'static str,
}

#[test]
fn a_broken_trace_names_its_key() {
    let cases = [
        BrokenCase {
            name: "unknown fault",
            pointer: "/faults",
            value: json!([{"at_s": 1, "kind": "vm-explodes"}]),
            error: "t.json: faults[0].kind: unknown variant",
        },
        BrokenCase {
            name: "unknown key",
            pointer: "/durations",
            value: json!(3),
            error: "t.json: durations: unknown field",
        },
        BrokenCase {
            name: "no time at all",
            pointer: "/duration_s",
            value: json!(0),
            error: "t.json: duration_s: allowed is seconds above 0",
        },
        BrokenCase {
            name: "a limit out of range in the configuration",
            pointer: "/config/0/content/services/cards/limit_per_upstream",
            value: json!(0),
            error: "t.json: config.services.cards.limit_per_upstream: allowed is a whole number",
        },
        BrokenCase {
            name: "an outcome with two bounds",
            pointer: "/outcomes",
            value: json!([{"name": "lost", "at_most": 0, "at_least": 0}]),
            error: "t.json: outcomes[0]: allowed is either at_most or at_least",
        },
    ];
    for case in cases {
        let mut trace = small_trace();
        if let Some(place) = trace.pointer_mut(case.pointer) {
            *place = case.value;
        } else {
            trace[case.pointer.trim_start_matches('/')] = case.value;
        }
        let error = error_of(&trace);
        assert!(error.starts_with(case.error), "{}: {error}", case.name);
    }
}

#[test]
fn committed_traces_are_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut read = 0;
    for item in std::fs::read_dir(folder).expect("traces folder") {
        let path = item.expect("trace").path();
        if let Err(error) = Trace::load(&path) {
            panic!("{error}");
        }
        read += 1;
    }
    assert!(read >= 2, "both deployments have a trace");
}
