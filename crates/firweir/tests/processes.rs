//! The real binaries as separate processes: a request and a step go through, and
//! callers and trainer get what they should while processes die and freeze.

mod support;

use support::Fleet;
use support::Process;
use support::feeds;
use support::post;
use support::wait_for;

const SERVICES: &str = r#"{"services": {
    "models": {"kind": "engine", "limit_per_upstream": 32, "default_deadline_ms": 20000},
    "cards": {"kind": "plain", "limit_per_upstream": 32, "default_deadline_ms": 5000}
}}"#;

fn start_vm(fleet: &Fleet, vm: usize) -> Vec<Process> {
    ["steward", "entry", "feed"]
        .iter()
        .map(|program| fleet.program(program, vm))
        .collect()
}

fn delivered(fleet: &Fleet) -> u64 {
    count(fleet, "samples_delivered")
}

fn count(fleet: &Fleet, name: &str) -> u64 {
    let log = fleet.read_log("standin");
    let last = log.lines().rev().find(|line| line.starts_with("counts "));
    let words = last.unwrap_or_default().split(' ');
    let mut values = words.filter_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    values
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn card(fleet: &Fleet, vm: usize, request: u64) -> Option<(u16, String)> {
    let body = format!(r#"{{"request": {request}}}"#);
    post(fleet.vms[vm].entry, "/cards/card", "", &body)
}

fn is_answered(got: Option<(u16, String)>, request: u64) -> Option<()> {
    let (status, text) = got?;
    let own = text.ends_with(&format!(r#"{{"request":{request}}}"#));
    (status == 200 && own && text.contains("x-firweir-outcome: answered")).then_some(())
}

/// Guards against requests and samples lost or doubled as a holder is killed and an entry frozen.
#[test]
fn a_request_and_a_step_survive_a_kill_and_a_freeze() {
    let fleet = Fleet::plan("kill-and-freeze", 2);
    fleet.write_config("10-services.json", SERVICES);
    fleet.write_config("20-feeds.json", &feeds(&fleet));
    let _standin = fleet.standin(&["--feed", "lots", "--samples", "8", "--train-s", "0.2"]);
    let mut vms: Vec<Vec<Process>> = (0..2).map(|vm| start_vm(&fleet, vm)).collect();
    wait_for("the fleet to confirm", || {
        (fleet.ctl("apply").0 == Some(0)).then_some(())
    });
    wait_for("a card from each VM", || is_answered(card(&fleet, 0, 1), 1));
    wait_for("a card from each VM", || is_answered(card(&fleet, 1, 2), 2));
    wait_for("a first step", || (delivered(&fleet) >= 8).then_some(()));

    let holder = (0..2)
        .find(|vm| fleet.log_has(&format!("feed-{vm}"), "event=feed_taken"))
        .expect("a feed has a holder once a step was delivered");
    let other = 1 - holder;
    for process in std::mem::take(&mut vms[holder]) {
        process.kill();
    }
    let before = delivered(&fleet);
    wait_for("a card after the kill", || {
        is_answered(card(&fleet, other, 3), 3)
    });
    wait_for("a step after the kill", || {
        (delivered(&fleet) >= before + 16).then_some(())
    });

    let entry = &vms[other][1];
    entry.signal("-STOP");
    wait_for("the entry to stop", || entry.is_stopped().then_some(()));
    let asking = {
        let address = fleet.vms[other].entry;
        std::thread::spawn(move || post(address, "/cards/card", "", r#"{"request": 4}"#))
    };
    entry.signal("-CONT");
    let got = asking.join().expect("caller thread");
    assert!(
        is_answered(got, 4).is_some(),
        "the frozen entry's caller gets its whole answer"
    );
    let before = delivered(&fleet);
    wait_for("a step after the thaw", || {
        (delivered(&fleet) >= before + 16).then_some(())
    });

    for wrong in ["duplicated", "lost", "stale", "mislabelled", "reexecuted"] {
        assert_eq!(count(&fleet, wrong), 0, "{wrong}");
    }
}

/// Guards against a drain that cuts off a call.
#[test]
fn a_drain_cuts_off_no_request_in_flight() {
    let fleet = Fleet::plan("drain", 1);
    fleet.write_config("10-services.json", SERVICES);
    let _standin = fleet.standin(&[]);
    let mut programs = start_vm(&fleet, 0);
    wait_for("the fleet to confirm", || {
        (fleet.ctl("apply").0 == Some(0)).then_some(())
    });
    wait_for("a card", || is_answered(card(&fleet, 0, 1), 1));
    let address = fleet.vms[0].entry;
    let asking = std::thread::spawn(move || {
        let body = r#"{"model": "m", "prompt": "p", "max_tokens": 20000, "stream": true}"#;
        post(address, "/models/v1/completions", "", body)
    });
    wait_for("the call to start", || {
        fleet.log_has("entry-0", "service=models").then_some(())
    });
    let entry = programs.remove(1);
    entry.signal("-TERM");
    let (status, text) = asking
        .join()
        .expect("caller thread")
        .expect("a whole answer");
    assert_eq!(status, 200);
    assert!(text.contains("[DONE]"), "the stream has its end: {text}");
    assert_eq!(entry.wait(), Some(0), "the drained entry ends with success");
}
