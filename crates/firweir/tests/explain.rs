//! What an operator gets from the logs of all VMs for one id.

use std::path::PathBuf;

use firweir::process::explain::ExplainError;
use firweir::process::explain::explain;

fn log(folder: &std::path::Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the folder can be written");
    path
}

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("firweir-explain-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// A trainer's step came late after the VM that ran it had died. Its story is spread over
/// the logs of two VMs, and the dead one's log ends in half a line.
#[test]
fn a_story_over_two_vms_in_order_of_time() {
    let folder = folder("story");
    let first = "time_ms=100 node=vm-1 event=submission_accepted submission=s1\n\
                 time_ms=105 node=vm-1 event=submission_accepted submission=s10\n\
                 time_ms=300 node=vm-1 event=results_li";
    let second = "12.5 vm-2 time_ms=900 node=vm-2 event=submission_taken_over submission=s1\n\
                  time_ms=250 node=vm-2 event=question_refused question=\"Item(\\\"s1\\\")\"\n";
    let logs = [
        log(&folder, "vm-1.log", first),
        log(&folder, "vm-2.log", second),
    ];
    let explanation = explain("s1", &logs).expect("it is known");
    let times: Vec<u64> = explanation.events.iter().map(|seen| seen.time_ms).collect();
    assert_eq!(times, [100, 250, 900]);
    assert!(
        explanation.events[2]
            .text
            .starts_with("node=vm-2 event=submission_taken_over")
    );
    // The half line still has its time, so it counts as an event of no id.
    assert_eq!(explanation.unreadable, 0);
    drop(std::fs::remove_dir_all(folder));
}

#[test]
fn bad_input_is_named() {
    let folder = folder("bad");
    let good = log(
        &folder,
        "good.log",
        "time_ms=1 node=vm-1 event=node_started\nhalf a li\n",
    );
    let damaged = log(&folder, "damaged.log", "\u{1}\u{2} no event\n");
    let missing = folder.join("missing.log");
    let unknown = explain("s1", std::slice::from_ref(&good)).expect_err("unknown");
    assert!(matches!(unknown, ExplainError::Unknown(_, 1)), "{unknown}");
    let error = explain("s1", &[good.clone(), damaged]).expect_err("damaged");
    assert!(error.to_string().contains("damaged.log"), "{error}");
    let error = explain("s1", &[missing]).expect_err("missing");
    assert!(error.to_string().contains("missing.log"), "{error}");
    let known = explain("vm-1", &[good]).expect("known");
    assert_eq!(known.unreadable, 1);
    drop(std::fs::remove_dir_all(folder));
}
