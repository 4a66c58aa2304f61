//! What lost upstreams say about a request.

use firweir_policy::crash_evidence::Loss;
use firweir_policy::crash_evidence::crash_count;
use firweir_policy::crash_evidence::ended_together;

struct Case {
    name: &'static str,
    /// Upstreams, and the times in milliseconds at which they were lost, sorted.
    losses: &'static [(u64, u64)],
    crashes: u32,
    together: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing lost",
        losses: &[],
        crashes: 0,
        together: false,
    },
    Case {
        name: "one crash, seen by three nodes",
        losses: &[(1, 1_000), (1, 1_040), (1, 2_900)],
        crashes: 1,
        together: true,
    },
    Case {
        name: "one upstream, crashed again once it was up",
        losses: &[(1, 1_000), (1, 5_000), (1, 9_000)],
        crashes: 3,
        together: false,
    },
    Case {
        name: "one upstream after the other",
        losses: &[(1, 1_000), (2, 1_060), (3, 1_120)],
        crashes: 3,
        together: false,
    },
    Case {
        name: "all at once",
        losses: &[(1, 1_000), (2, 1_007), (2, 1_300), (3, 1_004)],
        crashes: 3,
        together: true,
    },
    Case {
        name: "all at once, and one again",
        losses: &[(1, 1_000), (1, 6_000), (2, 1_000), (3, 1_000)],
        crashes: 4,
        together: false,
    },
];

/// Guards against crashes that count as one, and against a popular request taken for their cause.
#[test]
fn crashes_are_told_apart() {
    for case in CASES {
        let losses = case.losses.iter();
        let losses: Vec<Loss> = losses
            .map(|&(upstream, at_ms)| Loss { upstream, at_ms })
            .collect();
        let by_upstream = losses.chunk_by(|a, b| a.upstream == b.upstream);
        let crashes: u32 = by_upstream.map(crash_count).sum();
        assert_eq!(crashes, case.crashes, "{}", case.name);
        assert_eq!(ended_together(&losses), case.together, "{}", case.name);
    }
}
