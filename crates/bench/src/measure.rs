//! What the judge and its parts measure with: calls as their callers saw them, named
//! values of the report, histograms.

use std::time::Duration;

use hdrhistogram::Histogram;

/// How one call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer to this very request.
    Answered,
    /// Refused, and said not to have run.
    NotRun,
    /// It may have run.
    Unknown,
    /// An answer that was cut off or belonged to another request.
    Wrong,
}

/// One call as its caller saw it.
#[derive(Debug, Clone, Copy)]
pub struct CallEnd {
    /// Unique among all requests of a run.
    pub request: u64,
    /// Place of its load in the trace.
    pub load: usize,
    /// It came from the caller that offers most.
    pub hot: bool,
    /// How it ended.
    pub outcome: CallOutcome,
    /// From first sending to the end.
    pub latency: Duration,
    /// What the caller was ready to wait.
    pub deadline: Duration,
}

/// One figure that outcomes may be stated about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measure {
    /// Its name in traces.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

const PRECISION_DIGITS: u8 = 3;

/// Largest value that is told apart from larger ones: a day, in microseconds.
const LARGEST: u64 = 86_400_000_000;

/// A histogram with its range set from the start: one that grows with
/// `record` clips what `saturating_record` is given to its first range, and so
/// showed 0.002 ms for every latency.
pub(crate) fn histogram() -> Histogram<u64> {
    // Both are constants within the allowed range.
    Histogram::new_with_max(LARGEST, PRECISION_DIGITS).expect("a valid range and precision")
}
