//! How long a node waits for its seeds before it reads the store.

use std::time::Duration;

use firweir_policy::staleness::FleetReads;
use firweir_policy::staleness::PollLimits;
use firweir_policy::staleness::StalenessLimits;

/// Reads per second that the store accepts.
const READS_PER_S: f64 = 2_000.0;

/// Limits of a poll that is not urgent.
const MAX_POLL: PollLimits = PollLimits {
    hold: Duration::from_millis(900),
    timeout: Duration::from_millis(1_300),
};

/// Age of a sound seed's data when it begins to hold a request: its watch of the store takes a second.
const SOUND_AGE: Duration = Duration::from_secs(1);

/// Time that a read of the store takes, with what it changes.
const READ_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Deployment {
    bound_ms: u64,
    nodes: usize,
}

const DEPLOYMENTS: [Deployment; 6] = [
    Deployment {
        bound_ms: 2_800,
        nodes: 9,
    },
    Deployment {
        bound_ms: 3_000,
        nodes: 12,
    },
    Deployment {
        bound_ms: 3_000,
        nodes: 84,
    },
    Deployment {
        bound_ms: 4_000,
        nodes: 300,
    },
    Deployment {
        bound_ms: 5_000,
        nodes: 834,
    },
    Deployment {
        bound_ms: 5_000,
        nodes: 1_700,
    },
];

impl Deployment {
    fn bound(self) -> Duration {
        Duration::from_millis(self.bound_ms)
    }

    fn limits(self) -> StalenessLimits {
        let fleet = FleetReads {
            nodes: self.nodes,
            reads_per_s: READS_PER_S,
        };
        StalenessLimits::new(self.bound(), fleet)
    }
}

/// How a seed answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// Never.
    Silent,
    /// With old data, once it may no longer hold the request.
    Outdated,
    /// With old data, as late as it can before it counts as silent.
    LateAndOutdated,
}

const ANSWERS: [Answer; 3] = [Answer::Silent, Answer::Outdated, Answer::LateAndOutdated];

/// Age of the node's state when it reads the store, after it has asked seeds that answer like this.
fn age_at_read(limits: &StalenessLimits, first_age: Duration, seeds: &[Answer]) -> Duration {
    let mut age = first_age;
    for (index, answer) in seeds.iter().enumerate() {
        let time_left = limits.max_age(0.0).saturating_sub(age);
        let Some(poll) = limits.poll(time_left, seeds.len() - index + 1, MAX_POLL) else {
            break;
        };
        age += match answer {
            Answer::Outdated => poll.hold,
            Answer::Silent | Answer::LateAndOutdated => poll.timeout,
        };
    }
    age
}

/// Guards against waits for failing seeds that add up beyond the bound, in any order of the failures.
#[test]
fn the_store_is_read_in_time_whatever_the_seeds_do() {
    for deployment in DEPLOYMENTS {
        let limits = deployment.limits();
        for first in ANSWERS {
            for second in ANSWERS {
                for third in ANSWERS {
                    let all = [first, second, third];
                    for seeds in 1..=all.len() {
                        for first_age_ms in (0..6_000).step_by(100) {
                            let first_age = Duration::from_millis(first_age_ms);
                            let age = age_at_read(&limits, first_age, &all[..seeds]);
                            let latest =
                                deployment.bound().saturating_sub(READ_TIME).max(first_age);
                            assert!(age <= latest, "{deployment:?}, {all:?}: {age:?}");
                        }
                    }
                }
            }
        }
    }
}

/// Guards against a fleet that turns to the store, or asks more often, while its seeds are sound.
#[test]
fn sound_seeds_are_asked_as_rarely_as_before() {
    for deployment in DEPLOYMENTS {
        let limits = deployment.limits();
        for fraction in [0.0, 1.0] {
            let time_left = limits.max_age(fraction).saturating_sub(SOUND_AGE);
            let poll = limits.poll(time_left, 4, MAX_POLL).expect("it is asked");
            assert!(poll.hold.as_millis() >= 600, "{deployment:?}: {poll:?}");
            assert!(poll.timeout > poll.hold, "{deployment:?}: {poll:?}");
            assert!(limits.allows_hold(time_left), "{deployment:?}");
        }
    }
}

/// Guards against seeds that are not asked because the one before was silent.
#[test]
fn a_second_and_a_third_seed_are_asked_before_the_store() {
    for deployment in DEPLOYMENTS {
        let limits = deployment.limits();
        let mut age = SOUND_AGE;
        for ways_left in [4, 3, 2] {
            let time_left = limits.max_age(1.0).saturating_sub(age);
            let poll = limits.poll(time_left, ways_left, MAX_POLL);
            age += poll.expect("it is asked").timeout;
        }
    }
}

/// Guards against a node that asks a seed without anything new again and again.
#[test]
fn no_request_is_held_for_next_to_nothing() {
    for deployment in DEPLOYMENTS {
        let limits = deployment.limits();
        for left_ms in 0..3_000 {
            let time_left = Duration::from_millis(left_ms);
            let poll = limits.poll(time_left, 4, MAX_POLL);
            let hold = poll.map_or(Duration::ZERO, |poll| poll.hold);
            assert!(hold.is_zero() || hold.as_millis() >= 100, "{poll:?}");
            assert_eq!(limits.allows_hold(time_left), !hold.is_zero());
        }
    }
}

struct SpreadCase {
    nodes: usize,
    /// Time over which the reads of all nodes are spread.
    spread_ms: std::ops::RangeInclusive<u128>,
}

/// Guards against a store that refuses the reads of nodes which all lost their seeds at once.
#[test]
fn reads_of_the_store_are_spread_by_the_size_of_the_fleet() {
    for case in [
        SpreadCase {
            nodes: 12,
            spread_ms: 0..=20,
        },
        SpreadCase {
            nodes: 300,
            spread_ms: 350..=400,
        },
        SpreadCase {
            nodes: 834,
            spread_ms: 1_000..=1_000,
        },
    ] {
        let deployment = Deployment {
            bound_ms: 5_000,
            nodes: case.nodes,
        };
        let limits = deployment.limits();
        let spread = limits
            .max_age(0.0)
            .saturating_sub(limits.max_age(1.0))
            .as_millis();
        assert!(case.spread_ms.contains(&spread), "{}: {spread}", case.nodes);
    }
}
