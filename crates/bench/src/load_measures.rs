//! What callers got, by load of the trace and by group of callers.

use hdrhistogram::Histogram;

use crate::measure::CallEnd;
use crate::measure::CallOutcome;
use crate::measure::Measure;
use crate::measure::histogram;

/// Names of the measures of each load, in the trace's order; further loads are
/// in the sums only.
const LOADS: [(&str, &str); 4] = [
    ("load0_in_deadline_share", "load0_p99_ms"),
    ("load1_in_deadline_share", "load1_p99_ms"),
    ("load2_in_deadline_share", "load2_p99_ms"),
    ("load3_in_deadline_share", "load3_p99_ms"),
];

#[derive(Debug)]
struct Group {
    offered: u64,
    in_deadline: u64,
    latency_us: Histogram<u64>,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            offered: 0,
            in_deadline: 0,
            latency_us: histogram(),
        }
    }
}

impl Group {
    fn call_ended(&mut self, end: &CallEnd) {
        self.offered += 1;
        if end.outcome == CallOutcome::Answered {
            self.in_deadline += u64::from(end.latency <= end.deadline);
            self.latency_us
                .saturating_record(end.latency.as_micros() as u64);
        }
    }

    fn share(&self, name: &'static str) -> Measure {
        Measure {
            name,
            value: self.in_deadline as f64 / self.offered.max(1) as f64,
            unit: "share",
        }
    }

    fn p99(&self, name: &'static str) -> Measure {
        Measure {
            name,
            value: self.latency_us.value_at_quantile(0.99) as f64 / 1_000.0,
            unit: "ms",
        }
    }
}

/// Collects the ends of calls by load.
#[derive(Debug, Default)]
pub struct LoadMeasures {
    loads: [Group; LOADS.len()],
    hot: Group,
    others: Group,
}

impl LoadMeasures {
    /// A caller's call ended.
    pub fn call_ended(&mut self, end: &CallEnd) {
        if let Some(load) = self.loads.get_mut(end.load) {
            load.call_ended(end);
        }
        if end.hot {
            self.hot.call_ended(end);
        } else {
            self.others.call_ended(end);
        }
    }

    /// Figures of the loads and groups that made calls.
    #[must_use]
    pub fn measures(&self) -> Vec<Measure> {
        let mut measures = Vec::new();
        for (load, (share, p99)) in self.loads.iter().zip(LOADS) {
            if load.offered > 0 {
                measures.extend([load.share(share), load.p99(p99)]);
            }
        }
        if self.hot.offered > 0 {
            measures.push(self.hot.share("hot_caller_in_deadline_share"));
            measures.push(self.others.share("other_callers_in_deadline_share"));
            measures.push(self.others.p99("other_callers_p99_ms"));
        }
        measures
    }
}
