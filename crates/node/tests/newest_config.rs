//! Which revision of the configuration a node has missed.

use firweir_node::newest_config::NewestConfig;

enum Step {
    Seen(u64),
    Told(u64),
    Listed,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    is_missing: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "nothing is known",
        steps: &[],
        is_missing: false,
    },
    Case {
        name: "another node has the same",
        steps: &[Step::Seen(7), Step::Told(7)],
        is_missing: false,
    },
    Case {
        name: "another node has a newer one",
        steps: &[Step::Seen(7), Step::Told(9)],
        is_missing: true,
    },
    Case {
        name: "it was seen meanwhile",
        steps: &[Step::Seen(7), Step::Told(9), Step::Seen(9)],
        is_missing: false,
    },
    Case {
        name: "a list does not show what another node states",
        steps: &[Step::Seen(7), Step::Told(9), Step::Listed],
        is_missing: false,
    },
    Case {
        name: "it states still newer ones after the list",
        steps: &[Step::Seen(7), Step::Told(9), Step::Listed, Step::Told(10)],
        is_missing: true,
    },
    Case {
        name: "an older node speaks last",
        steps: &[Step::Seen(7), Step::Told(9), Step::Told(5)],
        is_missing: true,
    },
];

#[test]
fn a_newer_revision_of_another_node_is_missed_until_it_is_seen_or_listed() {
    for case in CASES {
        let newest = NewestConfig::default();
        for step in case.steps {
            match step {
                Step::Seen(revision) => newest.record_seen(*revision),
                Step::Told(revision) => newest.record_told(*revision),
                Step::Listed => newest.record_listed(newest.known()),
            }
        }
        assert_eq!(newest.is_missing(), case.is_missing, "{}", case.name);
    }
}
