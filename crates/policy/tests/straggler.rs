//! Which samples start first, and which drafts are taken away.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::straggler::ENTRY_SILENT;
use firweir_policy::straggler::Lengths;
use firweir_policy::straggler::Rules;
use firweir_policy::straggler::is_silent;

struct OrderCase {
    name: &'static str,
    learnt: &'static [(u64, u32)],
    prompts: &'static [u64],
    order: &'static [usize],
}

/// A step waits for one long sample that started last, though its prompt has
/// given long answers before.
#[test]
fn long_work_starts_first() {
    let cases = [
        OrderCase {
            name: "nothing learnt keeps the order",
            learnt: &[],
            prompts: &[3, 1, 2],
            order: &[0, 1, 2],
        },
        OrderCase {
            name: "the longest known goes first",
            learnt: &[(1, 100), (2, 1_000), (3, 10)],
            prompts: &[1, 2, 3],
            order: &[1, 0, 2],
        },
        OrderCase {
            name: "an unknown prompt stands at the mean",
            learnt: &[(1, 1_000), (2, 10)],
            prompts: &[2, 9, 1],
            order: &[2, 1, 0],
        },
        OrderCase {
            name: "a prompt that turned short falls back",
            learnt: &[(1, 1_000), (2, 400), (1, 10), (1, 10), (1, 10), (1, 10)],
            prompts: &[1, 2],
            order: &[1, 0],
        },
    ];
    for case in cases {
        let mut lengths = Lengths::default();
        for (prompt, tokens) in case.learnt {
            lengths.learn(*prompt, *tokens);
        }
        let order = lengths.longest_first(case.prompts);
        assert_eq!(order, case.order, "{}", case.name);
    }
}

/// A feed that sees ever new prompts must not grow without end.
#[test]
fn old_prompts_are_forgotten() {
    let mut lengths = Lengths::default();
    lengths.learn(u64::MAX, 9_999);
    for prompt in 0..40_000 {
        lengths.learn(prompt, 10);
    }
    assert!(lengths.expected_tokens(u64::MAX) < 100.0);
}

struct MovesCase {
    name: &'static str,
    rules: Rules,
    samples: usize,
    moves: usize,
}

/// When every entry falls silent at once, moving every draft would only double
/// the load of what is left.
#[test]
fn moves_are_bounded() {
    let cases = [
        MovesCase {
            name: "a small step",
            rules: Rules::default(),
            samples: 4,
            moves: 4,
        },
        MovesCase {
            name: "a large step",
            rules: Rules::default(),
            samples: 4_096,
            moves: 1_024,
        },
        MovesCase {
            name: "the plain rules never move",
            rules: Rules::PLAIN,
            samples: 4_096,
            moves: 0,
        },
    ];
    for case in cases {
        assert_eq!(case.rules.moves(case.samples), case.moves, "{}", case.name);
    }
}

#[test]
fn an_entry_is_silent_after_three_lost_reports() {
    let now = Instant::now() + ENTRY_SILENT;
    let heard = now.checked_sub(ENTRY_SILENT).expect("after the start");
    assert!(is_silent(heard, now));
    assert!(!is_silent(heard + Duration::from_millis(1), now));
}
