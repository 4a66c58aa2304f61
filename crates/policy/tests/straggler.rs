//! Order in which samples start, and drafts that are moved away from silent entries.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::straggler::ENTRY_REPORT_TIMEOUT;
use firweir_policy::straggler::PromptLengths;
use firweir_policy::straggler::StragglerPolicy;
use firweir_policy::straggler::is_silent;

struct OrderCase {
    name: &'static str,
    answers: &'static [(u64, u32)],
    prompts: &'static [u64],
    order: &'static [usize],
}

/// Guards against a step that waits for one long sample that started last, although earlier answers
/// to its prompt were long.
#[test]
fn long_work_starts_first() {
    let cases = [
        OrderCase {
            name: "without answers the order is kept",
            answers: &[],
            prompts: &[3, 1, 2],
            order: &[0, 1, 2],
        },
        OrderCase {
            name: "the prompt with the longest answer goes first",
            answers: &[(1, 100), (2, 1_000), (3, 10)],
            prompts: &[1, 2, 3],
            order: &[1, 0, 2],
        },
        OrderCase {
            name: "an unknown prompt is assumed to have the mean length",
            answers: &[(1, 1_000), (2, 10)],
            prompts: &[2, 9, 1],
            order: &[2, 1, 0],
        },
        OrderCase {
            name: "a prompt whose answers became short goes behind",
            answers: &[(1, 1_000), (2, 400), (1, 10), (1, 10), (1, 10), (1, 10)],
            prompts: &[1, 2],
            order: &[1, 0],
        },
    ];
    for case in cases {
        let mut lengths = PromptLengths::default();
        for (prompt, tokens) in case.answers {
            lengths.record_answer(*prompt, *tokens);
        }
        let order = lengths.order_longest_first(case.prompts);
        assert_eq!(order, case.order, "{}", case.name);
    }
}

/// Guards against unbounded memory use of a feed with ever new prompts.
#[test]
fn old_prompts_are_forgotten() {
    let mut lengths = PromptLengths::default();
    lengths.record_answer(u64::MAX, 9_999);
    for prompt in 0..40_000 {
        lengths.record_answer(prompt, 10);
    }
    assert!(lengths.expected_tokens(u64::MAX) < 100.0);
}

struct MovesCase {
    name: &'static str,
    policy: StragglerPolicy,
    samples: usize,
    moves: usize,
}

/// Guards against moving every draft when all entries are silent at the same time, which would only
/// double the load on the remaining engines.
#[test]
fn moves_are_bounded() {
    let cases = [
        MovesCase {
            name: "a small step",
            policy: StragglerPolicy::default(),
            samples: 4,
            moves: 4,
        },
        MovesCase {
            name: "a large step",
            policy: StragglerPolicy::default(),
            samples: 4_096,
            moves: 1_024,
        },
        MovesCase {
            name: "a disabled policy never moves a draft",
            policy: StragglerPolicy::DISABLED,
            samples: 4_096,
            moves: 0,
        },
    ];
    for case in cases {
        assert_eq!(
            case.policy.max_moves(case.samples),
            case.moves,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_entry_is_silent_after_three_lost_reports() {
    let now = Instant::now() + ENTRY_REPORT_TIMEOUT;
    let last_heard = now
        .checked_sub(ENTRY_REPORT_TIMEOUT)
        .expect("after the start");
    assert!(is_silent(last_heard, now));
    assert!(!is_silent(last_heard + Duration::from_millis(1), now));
}
