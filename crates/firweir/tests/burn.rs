//! Service-level burn: rates and alerts over known events, and broken logs.

use std::path::Path;

use firweir::process::burn::Burn;
use firweir::process::burn::Indicator;
use firweir::process::burn::Objective;
use firweir::process::burn::Window;
use firweir::process::burn::burn;
use firweir::process::burn::read_log;
use firweir::process::burn::read_windows;
use firweir::process::burn::series;
use firweir::process::burn_page::page;
use firweir::process::burn_page::table;

const WINDOW: Window = Window {
    long_s: 600,
    short_s: 60,
    factor: 5.0,
};

/// One call a second for an hour; those in `bad_s` fail.
fn hour_of_calls(bad_s: std::ops::Range<u64>) -> String {
    let line = |second: u64| {
        let outcome = if bad_s.contains(&second) {
            "unknown"
        } else {
            "answered"
        };
        format!(
            "time_ms={} node=vm-0 event=call service=cards outcome={outcome} latency_ms=20 deadline_ms=500",
            1_000_000 + second * 1_000
        )
    };
    (0..3_600).map(line).collect::<Vec<String>>().join("\n")
}

fn burn_of(log: &str, indicator: Indicator, target_share: f64, limit: u64) -> Burn {
    let objective = Objective {
        name: "cards".to_owned(),
        indicator,
        target_share,
        limit,
    };
    let events = read_log(Path::new("entry.log"), log).expect("a good log");
    burn(&series(&objective, &events), &[WINDOW])
}

struct BurnCase {
    name: &'static str,
    bad_s: std::ops::Range<u64>,
    allowance_used: f64,
    long_burn: f64,
    alerts: bool,
}

#[test]
fn burn_rates_follow_what_went_badly() {
    let cases = [
        BurnCase {
            name: "all well",
            bad_s: 0..0,
            allowance_used: 0.0,
            long_burn: 0.0,
            alerts: false,
        },
        BurnCase {
            name: "six minutes bad, long over: rang then, and is silent now",
            bad_s: 600..960,
            allowance_used: 10.0,
            long_burn: 0.0,
            alerts: true,
        },
        BurnCase {
            name: "three seconds bad: a blip does not ring",
            bad_s: 600..603,
            allowance_used: 3.0 / 36.0,
            long_burn: 0.0,
            alerts: false,
        },
        BurnCase {
            name: "bad in the last five of ten minutes: rings at the end",
            bad_s: 3_300..3_600,
            allowance_used: 300.0 / 36.0,
            long_burn: 50.0,
            alerts: true,
        },
    ];
    for case in cases {
        let burn = burn_of(&hour_of_calls(case.bad_s), Indicator::Answered, 0.99, 0);
        let pair = &burn.windows[0];
        let close = |left: f64, right: f64| (left - right).abs() < 0.15;
        assert!(
            close(burn.allowance_used, case.allowance_used),
            "{}: {burn:?}",
            case.name
        );
        assert!(
            close(pair.long_burn, case.long_burn),
            "{}: {pair:?}",
            case.name
        );
        assert_eq!(pair.alerting_s > 0, case.alerts, "{}: {pair:?}", case.name);
    }
}

#[test]
fn a_waiting_trainer_burns_its_idle_allowance() {
    let log = "time_ms=10000 node=n event=lot_taken feed=cards step=0 wait_ms=2000\n\
               time_ms=20000 node=n event=lot_taken feed=cards step=1 wait_ms=1000\n\
               time_ms=30000 node=n event=lot_taken feed=cards step=2 wait_ms=0";
    let burn = burn_of(log, Indicator::Busy, 0.5, 0);
    assert!((burn.good_share - 19.0 / 22.0).abs() < 1e-9, "{burn:?}");
}

struct LogCase {
    name: &'static str,
    log: &'static str,
    error: &'static str,
}

#[test]
fn a_broken_log_names_line_and_key() {
    let cases = [
        LogCase {
            name: "empty",
            log: "",
            error: "entry.log: no event",
        },
        LogCase {
            name: "no time",
            log: "hello",
            error: "entry.log: line 1: no time_ms",
        },
        LogCase {
            name: "a call without its latency",
            log: "time_ms=1 event=view_taken\ntime_ms=2 event=call service=a outcome=answered",
            error: "entry.log: line 2: no latency_ms",
        },
    ];
    for case in cases {
        let error = read_log(Path::new("entry.log"), case.log).expect_err(case.name);
        assert_eq!(error.to_string(), case.error, "{}", case.name);
    }
}

#[test]
fn windows_are_checked() {
    assert_eq!(read_windows("600:60:5").expect("good windows"), [WINDOW]);
    for wrong in ["", "600", "60:600:5", "600:60:0", "600:60:5:1", "a:b:c"] {
        assert!(read_windows(wrong).is_err(), "{wrong}");
    }
}

#[test]
fn the_page_holds_table_and_plots() {
    let burns = [burn_of(
        &hour_of_calls(600..960),
        Indicator::Answered,
        0.99,
        0,
    )];
    let html = page("burn & more", &burns).expect("a page");
    assert!(
        html.contains("<svg") && html.contains("burn &amp; more"),
        "{html}"
    );
    insta::assert_snapshot!(table(&burns));
}
