//! Counters and latency histograms of one process, kept in memory and written as
//! text for whoever asks over HTTP.

use std::io;
use std::panic::RefUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Largest time that is told apart: a minute is longer than any deadline.
const LONGEST_MS: u64 = 60_000;

/// Quantiles that are written.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

#[derive(Debug)]
struct Counter {
    name: String,
    count: u64,
}

#[derive(Debug)]
struct Times {
    name: String,
    histogram: Histogram<u64>,
    sum_ms: u64,
}

#[derive(Debug, Default)]
struct Held {
    /// Sorted by name.
    counters: Vec<Counter>,
    /// Sorted by name.
    times: Vec<Times>,
}

/// Metrics in memory; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Exposition {
    held: Arc<Mutex<Held>>,
}

// The state behind the lock is plain numbers, usable after a panic.
impl RefUnwindSafe for Exposition {}

impl Exposition {
    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let held = self.lock();
        let mut lines = Vec::new();
        for Counter { name, count } in &held.counters {
            lines.push(format!("# TYPE {name}_total counter"));
            lines.push(format!("{name}_total {count}"));
        }
        lines.extend(held.times.iter().flat_map(Times::lines));
        lines.push(String::new());
        lines.join("\n")
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn count(&mut self, name: &str, add: u64) {
        let found = self
            .counters
            .binary_search_by(|held| held.name.as_str().cmp(name));
        match found {
            Ok(at) => self.counters[at].count += add,
            Err(at) => {
                let name = name.to_owned();
                self.counters.insert(at, Counter { name, count: add });
            }
        }
    }

    fn time(&mut self, name: &str, time_ms: u64) {
        let found = self
            .times
            .binary_search_by(|held| held.name.as_str().cmp(name));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let Ok(histogram) = Histogram::new_with_max(LONGEST_MS, 3) else {
                    return;
                };
                let times = Times {
                    name: name.to_owned(),
                    histogram,
                    sum_ms: 0,
                };
                self.times.insert(at, times);
                at
            }
        };
        self.times[at].histogram.saturating_record(time_ms);
        self.times[at].sum_ms += time_ms;
    }
}

impl Times {
    fn lines(&self) -> Vec<String> {
        let name = &self.name;
        let mut lines = vec![format!("# TYPE {name}_ms summary")];
        lines.extend(QUANTILES.map(|quantile| {
            let value = self.histogram.value_at_quantile(quantile);
            format!("{name}_ms{{quantile=\"{quantile}\"}} {value}")
        }));
        lines.push(format!("{name}_ms_sum {}", self.sum_ms));
        lines.push(format!("{name}_ms_count {}", self.histogram.len()));
        lines
    }
}

impl MetricSink for Exposition {
    /// Takes in one metric as `cadence` writes it: `name:value|c` or `name:value|ms`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let malformed = || io::Error::from(io::ErrorKind::InvalidInput);
        let (name, rest) = metric.split_once(':').ok_or_else(malformed)?;
        let (value, kind) = rest.split_once('|').ok_or_else(malformed)?;
        let value: u64 = value.parse().map_err(|_not_a_number| malformed())?;
        let name = name.replace('.', "_");
        match kind.split('|').next() {
            Some("c") => self.lock().count(&name, value),
            Some("ms") => self.lock().time(&name, value),
            _ => return Err(malformed()),
        }
        Ok(metric.len())
    }
}
