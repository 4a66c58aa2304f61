//! What is passed on of an answer whose engine breaks off, and where the next one goes on.

use firweir::request::continued::Broken;
use firweir::request::continued::Passed;
use firweir::request::continued::going_on;
use serde_json::Value;
use serde_json::json;

fn event(seq: u64, text: &str, last: bool) -> String {
    let finish = if last { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"seq\":{seq},\"choices\":[{{\"text\":\"{text}\",\"finish_reason\":{finish}}}],\
         \"weight_version\":3,\"tokens\":2}}\n\n"
    )
}

/// Guards against words doubled or left out where an answer goes on at another engine.
#[test]
fn an_answer_goes_on_behind_the_events_that_were_passed() {
    struct Case {
        name: &'static str,
        sent: String,
        passed: String,
        broken: Broken,
    }
    let first = event(0, "one ", false);
    let second = event(1, "two ", false);
    let cases = [
        Case {
            name: "before the first event",
            sent: String::new(),
            passed: String::new(),
            broken: Broken::Unfinished(String::new()),
        },
        Case {
            name: "in the middle of an event",
            sent: format!("{first}{}", &second[..20]),
            passed: first.clone(),
            broken: Broken::Unfinished("one ".to_owned()),
        },
        Case {
            name: "between two events",
            sent: format!("{first}{second}"),
            passed: format!("{first}{second}"),
            broken: Broken::Unfinished("one two ".to_owned()),
        },
        Case {
            name: "an event came twice",
            sent: format!("{first}{first}"),
            passed: format!("{first}{first}"),
            broken: Broken::Unfinished("one ".to_owned()),
        },
        Case {
            name: "an event is missing in between",
            sent: format!("{first}{}", event(2, "three ", false)),
            passed: format!("{first}{}", event(2, "three ", false)),
            broken: Broken::Lost,
        },
        Case {
            name: "after the last text, before the end",
            sent: format!("{first}{}", event(1, "end", true)),
            passed: format!("{first}{}", event(1, "end", true)),
            broken: Broken::Finished,
        },
    ];
    for case in cases {
        let mut passed = Passed::default();
        let mut bytes = Vec::new();
        // Bytes arrive in pieces that end anywhere.
        for piece in case.sent.as_bytes().chunks(7) {
            bytes.extend_from_slice(&passed.take(piece));
        }
        assert_eq!(bytes, case.passed.as_bytes(), "{}", case.name);
        assert!(!passed.is_whole(), "{}", case.name);
        assert_eq!(passed.break_off(), case.broken, "{}", case.name);
    }
}

/// The engine that goes on counts its events from 0 again. A caller who puts the answer
/// together by these numbers would take the rest for events that it has.
#[test]
fn events_of_the_next_engine_are_counted_on() {
    let mut passed = Passed::default();
    passed.take(event(0, "one ", false).as_bytes());
    passed.take(event(1, "two ", false).as_bytes());
    assert_eq!(
        passed.break_off(),
        Broken::Unfinished("one two ".to_owned())
    );
    let rest = format!("{}data: [DONE]\n\n", event(0, "three", true));
    let rest = passed.take(rest.as_bytes());
    let rest = String::from_utf8_lossy(&rest);
    assert!(rest.contains("\"seq\":2"), "{rest}");
    assert!(rest.contains("three"), "{rest}");
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
    assert!(passed.is_whole());
}

/// The next engine got the caller's request without the settings that firweir does not know,
/// and went on in another style.
#[test]
fn the_next_engine_gets_the_callers_request_and_the_text() {
    let sent = json!({"model": "m", "prompt": "p", "max_tokens": 9, "temperature": 0.2});
    let body = going_on(sent.to_string().as_bytes(), "one ").expect("an object");
    let asked: Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(asked["temperature"], 0.2);
    assert_eq!(asked["resume_text"], "one ");
    let again = going_on(&body, "two ").expect("an object");
    let asked: Value = serde_json::from_slice(&again).expect("JSON");
    assert_eq!(asked["resume_text"], "one two ");
    assert_eq!(going_on(b"[1]", "one"), None);
}
