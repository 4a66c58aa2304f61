//! Service-level burn: how fast services and feeds use up what their objectives
//! allow to go wrong.
//!
//! Read from the programs' own event logs. A burn rate of 1 uses the allowance
//! up exactly over the objective's period; an alert needs a long and a short
//! window above a factor at once, so that it neither rings for a blip nor goes
//! on after the trouble has ended.

use std::path::PathBuf;

use quick_error::quick_error;
use serde::Serialize;

use crate::version::config::Config;
use crate::version::folder::FolderError;

quick_error! {
    /// Why no report could be made.
    #[derive(Debug)]
    pub enum BurnError {
        /// A file cannot be read or written.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// A line of a log is not an event.
        Line(path: PathBuf, line: usize, key: &'static str) {
            display("{}: line {line}: no {key}", path.display())
        }
        /// A log holds no event at all.
        Empty(path: PathBuf) {
            display("{}: no event", path.display())
        }
        /// The configuration folder cannot be used.
        Folder(err: FolderError) {
            display("{err}")
            source(err)
            from()
        }
        /// The merged configuration cannot be read.
        Config(err: crate::version::config::ConfigError) {
            display("{err}")
            source(err)
            from()
        }
        /// No service or feed has an objective.
        NoObjective {
            display("no service or feed of the configuration has an objective")
        }
        /// Windows are not LONG_S:SHORT_S:FACTOR with SHORT_S below LONG_S.
        Windows(text: String) {
            display("windows {text}: allowed is LONG_S:SHORT_S:FACTOR, separated by commas")
        }
        /// The plot could not be drawn.
        Plot(reason: String) {
            display("plot: {reason}")
        }
    }
}

/// What an objective is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Calls that get their answer.
    Answered,
    /// Calls that are answered fast.
    Fast,
    /// Time that a trainer does not wait for a lot.
    Busy,
    /// Lots that are fresh.
    Fresh,
}

/// One promise to hold.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Objective {
    /// Service or feed.
    pub name: String,
    /// What it is about.
    pub indicator: Indicator,
    /// Share that has to be good.
    pub target_share: f64,
    /// Latency, or age in versions, up to which something is good.
    pub limit: u64,
}

/// A pair of windows and the burn rate above which both ring.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Window {
    /// Long window.
    pub long_s: u64,
    /// Short window.
    pub short_s: u64,
    /// Burn rate.
    pub factor: f64,
}

/// The usual pairs for a period of 30 days: 2% of the allowance in an hour, 5% in
/// six hours, 10% in three days.
pub const WINDOWS: [Window; 3] = [
    Window {
        long_s: 3_600,
        short_s: 300,
        factor: 14.4,
    },
    Window {
        long_s: 21_600,
        short_s: 1_800,
        factor: 6.0,
    },
    Window {
        long_s: 259_200,
        short_s: 21_600,
        factor: 1.0,
    },
];

/// Something that went well or badly, with its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Time of day, since the Unix epoch.
    pub at_ms: u64,
    /// Weight of what went well.
    pub good: f64,
    /// Weight of what went badly.
    pub bad: f64,
}

/// What happened to one objective, in order of time.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// The objective.
    pub objective: Objective,
    /// What happened.
    pub points: Vec<Point>,
}

/// Burn of one pair of windows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The windows.
    #[serde(flatten)]
    pub window: Window,
    /// Burn rate over the long window at the end of the log.
    pub long_burn: f64,
    /// Burn rate over the short window at the end of the log.
    pub short_burn: f64,
    /// Highest burn rate over the long window at any time.
    pub worst_long_burn: f64,
    /// Seconds in which both windows were above the factor.
    pub alerting_s: u64,
}

/// Burn of one objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Burn {
    /// The objective.
    #[serde(flatten)]
    pub objective: Objective,
    /// Share that was good over the whole log.
    pub good_share: f64,
    /// Share of the allowance that the whole log used up.
    pub allowance_used: f64,
    /// Burn of each pair of windows.
    pub windows: Vec<WindowBurn>,
    /// Burn rate over the first pair's long window, through time.
    #[serde(skip)]
    pub curve: Vec<(f64, f64)>,
}

/// One event of a log, as far as it matters here.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// A call ended.
    Call {
        /// Time of day.
        at_ms: u64,
        /// Service.
        service: String,
        /// It got its answer.
        answered: bool,
        /// How long it took.
        latency_ms: u64,
    },
    /// A trainer waited for a lot.
    Taken {
        /// Time of day.
        at_ms: u64,
        /// Feed.
        feed: String,
        /// How long.
        wait_ms: u64,
    },
    /// A trainer accepted a lot.
    Accepted {
        /// Time of day.
        at_ms: u64,
        /// Feed.
        feed: String,
        /// How old the lot was.
        age_versions: u64,
    },
}

impl LogEvent {
    /// Time of day of the event.
    #[must_use]
    pub const fn at_ms(&self) -> u64 {
        match self {
            Self::Call { at_ms, .. } | Self::Taken { at_ms, .. } | Self::Accepted { at_ms, .. } => {
                *at_ms
            }
        }
    }
}

/// Reads an event log; events of other kinds are passed over.
///
/// # Errors
///
/// Names the line that is not an event, or the key that it lacks.
pub fn read_log(path: &std::path::Path, text: &str) -> Result<Vec<LogEvent>, BurnError> {
    let mut events = Vec::new();
    let mut lines = 0;
    for (index, line) in text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty())
    {
        lines += 1;
        let missing = |key| BurnError::Line(path.to_owned(), index + 1, key);
        if let Some(event) = read_line(line).map_err(missing)? {
            events.push(event);
        }
    }
    if lines == 0 {
        return Err(BurnError::Empty(path.to_owned()));
    }
    Ok(events)
}

fn read_line(line: &str) -> Result<Option<LogEvent>, &'static str> {
    let pairs: Vec<(&str, &str)> = line
        .split(' ')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let text = |key: &'static str| {
        let found = pairs.iter().find(|(name, _)| *name == key);
        found.map(|(_, value)| (*value).to_owned()).ok_or(key)
    };
    let number = |key: &'static str| text(key)?.parse::<u64>().map_err(|_malformed| key);
    let at_ms = number("time_ms")?;
    Ok(match text("event")?.as_str() {
        "call" => Some(LogEvent::Call {
            at_ms,
            service: text("service")?,
            answered: text("outcome")? == "answered",
            latency_ms: number("latency_ms")?,
        }),
        "lot_taken" => Some(LogEvent::Taken {
            at_ms,
            feed: text("feed")?,
            wait_ms: number("wait_ms")?,
        }),
        "lot_accepted" => Some(LogEvent::Accepted {
            at_ms,
            feed: text("feed")?,
            age_versions: number("age_versions")?,
        }),
        _ => None,
    })
}

/// The objectives of a configuration.
#[must_use]
pub fn objectives(config: &Config) -> Vec<Objective> {
    let mut found = Vec::new();
    let objective = |name: &str, indicator, target_share, limit| Objective {
        name: name.to_owned(),
        indicator,
        target_share,
        limit,
    };
    for service in &config.services {
        if let Some(promise) = service.value.objective {
            let name = &service.name;
            found.push(objective(
                name,
                Indicator::Answered,
                promise.answered_share,
                0,
            ));
            let fast = (promise.latency_share, promise.latency_ms);
            found.push(objective(name, Indicator::Fast, fast.0, fast.1));
        }
    }
    for feed in &config.feeds {
        if let Some(promise) = feed.value.objective {
            let name = &feed.name;
            found.push(objective(name, Indicator::Busy, promise.busy_share, 0));
            let fresh = (promise.fresh_share, promise.staleness_versions);
            found.push(objective(name, Indicator::Fresh, fresh.0, fresh.1));
        }
    }
    found
}

/// What happened to an objective.
#[must_use]
pub fn series(objective: &Objective, events: &[LogEvent]) -> Series {
    let mut points = Vec::new();
    let mut last_taken_ms = None;
    for event in events {
        let point = match (objective.indicator, event) {
            (
                Indicator::Answered,
                LogEvent::Call {
                    at_ms,
                    service,
                    answered,
                    ..
                },
            ) if *service == objective.name => Some(point(*at_ms, *answered)),
            (
                Indicator::Fast,
                LogEvent::Call {
                    at_ms,
                    service,
                    answered,
                    latency_ms,
                },
            ) if *service == objective.name => {
                Some(point(*at_ms, *answered && *latency_ms <= objective.limit))
            }
            (
                Indicator::Fresh,
                LogEvent::Accepted {
                    at_ms,
                    feed,
                    age_versions,
                },
            ) if *feed == objective.name => Some(point(*at_ms, *age_versions <= objective.limit)),
            (
                Indicator::Busy,
                LogEvent::Taken {
                    at_ms,
                    feed,
                    wait_ms,
                },
            ) if *feed == objective.name => {
                // Time since the last take, of which the trainer waited this much.
                let since_ms = at_ms - last_taken_ms.replace(*at_ms).unwrap_or(at_ms - wait_ms);
                let bad = (*wait_ms).min(since_ms) as f64;
                Some(Point {
                    at_ms: *at_ms,
                    good: since_ms as f64 - bad,
                    bad,
                })
            }
            _ => None,
        };
        points.extend(point);
    }
    Series {
        objective: objective.clone(),
        points,
    }
}

fn point(at_ms: u64, good: bool) -> Point {
    let weight = |counts| if counts { 1.0 } else { 0.0 };
    Point {
        at_ms,
        good: weight(good),
        bad: weight(!good),
    }
}

/// Burn of one series over these windows.
#[must_use]
pub fn burn(series: &Series, windows: &[Window]) -> Burn {
    let allowed = 1.0 - series.objective.target_share;
    let total = Sums::new(&series.points);
    let end_ms = series.points.last().map_or(0, |point| point.at_ms);
    let start_ms = series.points.first().map_or(0, |point| point.at_ms);
    let bad_share = total.bad_share(start_ms, end_ms);
    let burn_at = |at_ms: u64, window_s: u64| {
        total.bad_share(at_ms.saturating_sub(window_s * 1_000), at_ms) / allowed
    };
    let window_burn = |window: &Window| {
        let step_ms = (window.short_s * 1_000 / STEPS_PER_SHORT_WINDOW).max(1);
        let mut worst_long_burn: f64 = 0.0;
        let mut alerting_ms = 0;
        for at_ms in (start_ms..=end_ms).step_by(step_ms as usize) {
            let long = burn_at(at_ms, window.long_s);
            worst_long_burn = worst_long_burn.max(long);
            if long > window.factor && burn_at(at_ms, window.short_s) > window.factor {
                alerting_ms += step_ms;
            }
        }
        WindowBurn {
            window: *window,
            long_burn: burn_at(end_ms, window.long_s),
            short_burn: burn_at(end_ms, window.short_s),
            worst_long_burn,
            alerting_s: alerting_ms / 1_000,
        }
    };
    let curve = windows.first().map_or_else(Vec::new, |window| {
        let step_ms = ((end_ms - start_ms) / CURVE_POINTS).max(1);
        (start_ms..=end_ms)
            .step_by(step_ms as usize)
            .map(|at_ms| {
                (
                    (at_ms - start_ms) as f64 / 1_000.0,
                    burn_at(at_ms, window.long_s),
                )
            })
            .collect()
    });
    Burn {
        objective: series.objective.clone(),
        good_share: 1.0 - bad_share,
        allowance_used: bad_share / allowed,
        windows: windows.iter().map(window_burn).collect(),
        curve,
    }
}

/// Looks at the burn this often within a short window.
const STEPS_PER_SHORT_WINDOW: u64 = 5;

/// Points of a plotted curve: one for a few pixels.
const CURVE_POINTS: u64 = 200;

/// Sums over all points up to each, so that any window is two look-ups.
struct Sums {
    rows: Vec<Point>,
}

impl Sums {
    fn new(points: &[Point]) -> Self {
        let mut sum = Point {
            at_ms: 0,
            good: 0.0,
            bad: 0.0,
        };
        let rows = points.iter().map(|point| {
            sum = Point {
                at_ms: point.at_ms,
                good: sum.good + point.good,
                bad: sum.bad + point.bad,
            };
            sum
        });
        Self {
            rows: rows.collect(),
        }
    }

    /// Share of the weight after `from_ms` and up to `to_ms` that went badly.
    fn bad_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let upto = |at_ms: u64| {
            let position = self.rows.partition_point(|row| row.at_ms <= at_ms);
            position.checked_sub(1).map_or((0.0, 0.0), |last| {
                (self.rows[last].good, self.rows[last].bad)
            })
        };
        let (good_before, bad_before) = upto(from_ms.saturating_sub(1));
        let (good, bad) = upto(to_ms);
        let weight = (good - good_before) + (bad - bad_before);
        if weight > 0.0 {
            (bad - bad_before) / weight
        } else {
            0.0
        }
    }
}

/// Reads window pairs from `LONG_S:SHORT_S:FACTOR,...`.
///
/// # Errors
///
/// The text is not of that form.
pub fn read_windows(text: &str) -> Result<Vec<Window>, BurnError> {
    let wrong = || BurnError::Windows(text.to_owned());
    let read = |pair: &str| -> Option<Window> {
        let mut parts = pair.split(':');
        let long_s = parts.next()?.parse().ok()?;
        let short_s = parts.next()?.parse().ok()?;
        let factor = parts.next()?.parse().ok()?;
        let valid = parts.next().is_none() && 0 < short_s && short_s < long_s && factor > 0.0;
        valid.then_some(Window {
            long_s,
            short_s,
            factor,
        })
    };
    text.split(',')
        .map(|pair| read(pair).ok_or_else(wrong))
        .collect()
}
