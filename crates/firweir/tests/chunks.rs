//! Streams of engines, right and wrong, and the sample that they make.

use firweir::request::chunk::Assembly;
use firweir::request::chunk::DONE;
use firweir::request::chunk::Segment;
use firweir::request::chunk::StreamFault;
use serde_json::json;

/// One chunk of a stream as `(position, text, version, is the last)`.
type Sent = (u64, &'static str, Option<u64>, bool);

struct StreamCase {
    name: &'static str,
    sent: &'static [Sent],
    ends: bool,
    made: Result<&'static [(&'static str, u64)], StreamFault>,
}

const CASES: [StreamCase; 13] = [
    StreamCase {
        name: "in order",
        sent: &[(0, "a", Some(1), false), (1, "b", Some(1), true)],
        ends: true,
        made: Ok(&[("ab", 1)]),
    },
    StreamCase {
        name: "weights swapped in the middle give two labels",
        sent: &[(0, "a", Some(1), false), (1, "b", Some(2), true)],
        ends: true,
        made: Ok(&[("a", 1), ("b", 2)]),
    },
    StreamCase {
        name: "swapped back and forth: three segments, never merged by version",
        sent: &[
            (0, "a", Some(2), false),
            (1, "b", Some(1), false),
            (2, "c", Some(2), true),
        ],
        ends: true,
        made: Ok(&[("a", 2), ("b", 1), ("c", 2)]),
    },
    StreamCase {
        name: "out of order across a swap keeps each label with its text",
        sent: &[
            (1, "b", Some(2), false),
            (0, "a", Some(1), false),
            (2, "c", Some(2), true),
        ],
        ends: true,
        made: Ok(&[("a", 1), ("bc", 2)]),
    },
    StreamCase {
        name: "the last chunk comes first",
        sent: &[(1, "b", Some(1), true), (0, "a", Some(1), false)],
        ends: true,
        made: Ok(&[("ab", 1)]),
    },
    StreamCase {
        name: "sent twice, at once and late",
        sent: &[
            (0, "a", Some(1), false),
            (0, "a", Some(1), false),
            (1, "b", Some(1), true),
            (0, "a", Some(1), false),
        ],
        ends: true,
        made: Ok(&[("ab", 1)]),
    },
    StreamCase {
        name: "an early chunk sent twice",
        sent: &[
            (1, "b", Some(1), true),
            (1, "b", Some(1), true),
            (0, "a", Some(1), false),
        ],
        ends: true,
        made: Ok(&[("ab", 1)]),
    },
    StreamCase {
        name: "a chunk in the middle is missing",
        sent: &[(0, "a", Some(1), false), (2, "c", Some(1), true)],
        ends: true,
        made: Err(StreamFault::Gap),
    },
    StreamCase {
        name: "ended as if whole, without its last chunk",
        sent: &[(0, "a", Some(1), false)],
        ends: true,
        made: Err(StreamFault::Truncated),
    },
    StreamCase {
        name: "broken off behind the last chunk",
        sent: &[(0, "a", Some(1), true)],
        ends: false,
        made: Err(StreamFault::Truncated),
    },
    StreamCase {
        name: "nothing at all",
        sent: &[],
        ends: true,
        made: Err(StreamFault::Truncated),
    },
    StreamCase {
        name: "one chunk without a version",
        sent: &[(0, "a", Some(1), false), (1, "b", None, true)],
        ends: true,
        made: Err(StreamFault::Unlabelled),
    },
    StreamCase {
        name: "text behind the last chunk",
        sent: &[(0, "a", Some(1), true), (1, "b", Some(1), true)],
        ends: true,
        made: Err(StreamFault::Malformed),
    },
];

fn assemble(case: &StreamCase) -> Result<Vec<Segment>, StreamFault> {
    let mut assembly = Assembly::default();
    for (seq, text, version, last) in case.sent {
        let reason = last.then_some("stop");
        let chunk = json!({
            "seq": seq, "tokens": 1, "weight_version": version,
            "choices": [{"text": text, "finish_reason": reason}]
        });
        assembly.push(&chunk.to_string())?;
    }
    if case.ends {
        assembly.push(DONE)?;
    }
    assembly.whole()
}

/// Guards against samples with a piece missing, doubled, misplaced or mislabelled by an engine.
#[test]
fn no_wrong_stream_makes_a_sample() {
    for case in CASES {
        let made = assemble(&case).map(|segments| {
            let label = |segment: &Segment| (segment.text.clone(), segment.weight_version);
            segments.iter().map(label).collect::<Vec<_>>()
        });
        let owned = |(text, version): &(&str, u64)| ((*text).to_owned(), *version);
        let expected = case.made.map(|parts| parts.iter().map(owned).collect());
        assert_eq!(made, expected, "{}", case.name);
    }
}

/// What came in its place is handed on as it comes, so that another engine can
/// go on from there; what waits for an earlier chunk is not.
#[test]
fn text_is_handed_on_in_order() {
    let mut assembly = Assembly::default();
    let chunk = |seq: u64, text: &str| {
        json!({"seq": seq, "tokens": 1, "weight_version": 1, "choices": [{"text": text}]})
            .to_string()
    };
    let mut handed_on = String::new();
    for (seq, text) in [(1, "b"), (0, "a"), (3, "d"), (2, "c"), (2, "c")] {
        let taken = assembly.push(&chunk(seq, text)).expect("a good stream");
        handed_on.extend(taken.iter().map(|segment| segment.text.as_str()));
        handed_on.push('|');
    }
    assert_eq!(handed_on, "|ab||cd||");
}

/// A lost chunk must not make the entry hold the rest of a long answer for ever.
#[test]
fn chunks_do_not_wait_without_end() {
    let mut assembly = Assembly::default();
    let mut pushed = 0;
    let fault = (1..1_000).find_map(|seq| {
        pushed += 1;
        let chunk = json!({
            "seq": seq, "tokens": 1, "weight_version": 1, "choices": [{"text": "x"}]
        });
        assembly.push(&chunk.to_string()).err()
    });
    assert_eq!(fault, Some(StreamFault::Gap));
    assert!(pushed < 100, "given up after {pushed}");
}
