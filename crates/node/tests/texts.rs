//! Texts of unfinished samples, joined from the pieces that their runners saved.

use firweir_node::submission::records::TextPiece;
use firweir_node::submission::texts::join_pieces;

fn piece(item: &str, after: usize, events: &[&str], versions: &[u64]) -> TextPiece {
    TextPiece {
        item: item.to_owned(),
        after,
        events: events.iter().map(|event| (*event).to_owned()).collect(),
        versions: versions.to_vec(),
        complete: false,
    }
}

struct Case {
    name: &'static str,
    pieces: Vec<TextPiece>,
    events: &'static [&'static str],
    versions: &'static [u64],
}

/// A runner crashes during a long sample, and another one continues from the saved pieces. If
/// the joined text had a gap or an event twice, the trainer would get a wrong text.
#[test]
fn a_text_goes_on_where_what_was_saved_ends() {
    let cases = [
        Case {
            name: "two records of one runner",
            pieces: vec![
                piece("a", 0, &["1", "2"], &[4]),
                piece("a", 2, &["3"], &[4, 5]),
            ],
            events: &["1", "2", "3"],
            versions: &[4, 5],
        },
        Case {
            name: "a record before it is missing",
            pieces: vec![piece("a", 0, &["1"], &[4]), piece("a", 2, &["3"], &[4, 5])],
            events: &["1"],
            versions: &[4],
        },
        Case {
            name: "a runner that began anew and did not know of the first record",
            pieces: vec![
                piece("a", 0, &["1", "2"], &[4]),
                piece("a", 0, &["x"], &[5]),
            ],
            events: &["1", "2"],
            versions: &[4],
        },
    ];
    for case in cases {
        let texts = join_pieces(case.pieces);
        let (item, text) = &texts[0];
        assert_eq!(item, "a", "{}", case.name);
        assert_eq!(text.events, case.events, "{}", case.name);
        assert_eq!(text.last_event, case.events.len() as u64, "{}", case.name);
        assert_eq!(text.versions, case.versions, "{}", case.name);
    }
}

#[test]
fn texts_of_several_items_are_sorted() {
    let texts = join_pieces(vec![
        piece("b", 0, &["1"], &[4]),
        piece("a", 0, &["1"], &[4]),
        piece("b", 1, &["2"], &[4]),
    ]);
    let seen: Vec<(&str, usize)> = texts
        .iter()
        .map(|(item, text)| (item.as_str(), text.events.len()))
        .collect();
    assert_eq!(seen, [("a", 1), ("b", 2)]);
}
