//! The judge's figures of what it was told.

use std::time::Duration;

use firweir_bench::judge::Judge;
use firweir_bench::measure::CallEnd;
use firweir_bench::measure::CallOutcome;

struct PercentileCase {
    name: &'static str,
    millis: u64,
}

/// Guards against waits of minutes that a report shows as milliseconds.
#[test]
fn long_waits_show_in_the_percentiles() {
    let cases = [
        PercentileCase {
            name: "milliseconds",
            millis: 3,
        },
        PercentileCase {
            name: "seconds",
            millis: 5_000,
        },
        PercentileCase {
            name: "minutes",
            millis: 600_000,
        },
        PercentileCase {
            name: "hours",
            millis: 14_400_000,
        },
    ];
    for case in cases {
        let judge = Judge::new();
        let wait = Duration::from_millis(case.millis);
        judge.call_ended(&CallEnd {
            request: 1,
            load: 0,
            hot: false,
            outcome: CallOutcome::Answered,
            latency: wait,
            deadline: wait,
        });
        judge.idle("lots", wait);
        for figure in ["live_p50_ms", "live_p99_ms", "idle_p50_ms", "idle_p99_ms"] {
            let measures = judge.measures();
            let found = measures.iter().find(|measure| measure.name == figure);
            let value = found.expect(figure).value;
            let exact = case.millis as f64;
            assert!(
                (value - exact).abs() <= exact * 0.001,
                "{} {figure}: {value}",
                case.name
            );
        }
    }
}
