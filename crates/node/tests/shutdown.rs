//! Which requests a node takes after SIGTERM.

use std::time::Duration;
use std::time::Instant;

use firweir_node::shutdown::ShutdownTimes;

/// A request that arrives during a shutdown.
struct Case {
    name: &'static str,
    grace_s: f64,
    /// Time since SIGTERM.
    at_s: f64,
    /// Time that the request has.
    timeout_s: f64,
    is_taken: bool,
}

const CASES: [Case; 11] = [
    Case {
        name: "short call at once",
        grace_s: 8.0,
        at_s: 0.0,
        timeout_s: 1.5,
        is_taken: true,
    },
    Case {
        name: "long stream while the load balancer has not noticed",
        grace_s: 8.0,
        at_s: 2.0,
        timeout_s: 12.0,
        is_taken: true,
    },
    Case {
        name: "stream that may outlast the process",
        grace_s: 8.0,
        at_s: 2.6,
        timeout_s: 6.0,
        is_taken: false,
    },
    Case {
        name: "short call late",
        grace_s: 8.0,
        at_s: 5.0,
        timeout_s: 1.5,
        is_taken: true,
    },
    Case {
        name: "short call that has too little time",
        grace_s: 8.0,
        at_s: 5.5,
        timeout_s: 1.5,
        is_taken: false,
    },
    Case {
        name: "anything after the final answers",
        grace_s: 8.0,
        at_s: 6.9,
        timeout_s: 0.01,
        is_taken: false,
    },
    Case {
        name: "long stream with a short grace",
        grace_s: 2.0,
        at_s: 0.7,
        timeout_s: 6.0,
        is_taken: false,
    },
    Case {
        name: "short call with a short grace",
        grace_s: 2.0,
        at_s: 0.7,
        timeout_s: 0.5,
        is_taken: true,
    },
    Case {
        name: "long stream with a long grace",
        grace_s: 60.0,
        at_s: 4.0,
        timeout_s: 30.0,
        is_taken: true,
    },
    Case {
        name: "longer stream with a long grace",
        grace_s: 60.0,
        at_s: 4.0,
        timeout_s: 58.0,
        is_taken: false,
    },
    Case {
        name: "no grace",
        grace_s: 0.0,
        at_s: 0.1,
        timeout_s: 0.1,
        is_taken: false,
    },
];

/// Guards against a request that is taken although it can no longer end before the process.
#[test]
fn a_request_is_taken_if_it_ends_before_the_process() {
    let term = Instant::now();
    for case in &CASES {
        let times = ShutdownTimes::new(term, Duration::from_secs_f64(case.grace_s));
        let now = term + Duration::from_secs_f64(case.at_s);
        let deadline = now + Duration::from_secs_f64(case.timeout_s);
        assert_eq!(
            times.may_take(now, deadline),
            case.is_taken,
            "{}",
            case.name
        );
        assert!(times.answer_at <= times.exit_at, "{}", case.name);
    }
}

/// Guards against an exit so early that an answer is broken off which may last to the last sixth of
/// the time before SIGKILL.
#[test]
fn the_process_ends_in_the_last_sixth_before_it_is_killed() {
    let term = Instant::now();
    for grace_s in [0.5, 2.0, 4.0, 8.0, 30.0] {
        let grace = Duration::from_secs_f64(grace_s);
        let exit = ShutdownTimes::new(term, grace).exit_at.duration_since(term);
        assert!(exit < grace, "{grace_s}");
        assert!(exit > grace.mul_f64(5.0 / 6.0), "{grace_s}");
    }
}
