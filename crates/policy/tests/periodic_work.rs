//! Pauses of periodic work whose cost grows with the fleet.

use std::time::Duration;

use firweir_policy::periodic_work::pause_after;

struct Case {
    name: &'static str,
    took: Duration,
    pause: Duration,
}

/// Guards against periodic work that uses up the processor: with 3,000 engines, a scan takes
/// 33 ms on an eighth of a core. Repeated every 200 ms on every node, it left no time for
/// callers, who were refused.
#[test]
fn work_takes_a_small_part_of_the_time() {
    let cases = [
        Case {
            name: "next to nothing",
            took: Duration::from_micros(50),
            pause: Duration::from_millis(200),
        },
        Case {
            name: "a large fleet on a small VM",
            took: Duration::from_millis(33),
            pause: Duration::from_millis(660),
        },
        Case {
            name: "a VM that was frozen meanwhile",
            took: Duration::from_secs(4),
            pause: Duration::from_secs(1),
        },
    ];
    for case in cases {
        let pause = pause_after(case.took, Duration::from_millis(200));
        assert_eq!(pause, case.pause, "{}", case.name);
    }
}
