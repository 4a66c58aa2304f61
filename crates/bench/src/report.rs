//! Reports of replays: JSON for programs, a table for people.

use serde::Serialize;

use crate::judge::Counts;
use crate::measure::Measure;
use crate::object_api::Calls;
use crate::trace::Stated;

/// One outcome, stated and measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Name of the measure.
    pub name: String,
    /// What was measured.
    pub measured: f64,
    /// What was stated.
    pub bound: f64,
    /// Unit of both.
    pub unit: &'static str,
    /// It held.
    pub held: bool,
}

/// One run of one trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Run {
    /// The trace.
    pub trace: String,
    /// The seed.
    pub seed: u64,
    /// The policy.
    pub policy: String,
    /// Outcomes in the trace's order.
    pub outcomes: Vec<Outcome>,
    /// Counts at the ends of the path.
    pub counts: Counts,
    /// Calls of the object API.
    pub object_api: Calls,
    /// All figures that were measured.
    pub measures: Vec<Figure>,
}

/// A measure as it stands in reports.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

/// A run beside its baseline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The run.
    #[serde(flatten)]
    pub run: Run,
    /// The same trace and seed under another policy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<Run>,
}

impl Run {
    /// Every stated outcome held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.outcomes.iter().all(|outcome| outcome.held)
    }
}

/// Judges a stated outcome. A name that is not measured does not hold.
#[must_use]
pub fn judge(stated: &Stated, measures: &[Measure]) -> Outcome {
    let measure = measures.iter().find(|measure| measure.name == stated.name);
    let bound = stated.at_most.or(stated.at_least).unwrap_or(f64::NAN);
    let held = measure.is_some_and(|measure| {
        stated.at_most.is_none_or(|most| measure.value <= most)
            && stated.at_least.is_none_or(|least| measure.value >= least)
    });
    Outcome {
        name: stated.name.clone(),
        measured: measure.map_or(f64::NAN, |measure| measure.value),
        bound,
        unit: measure.map_or("not measured", |measure| measure.unit),
        held,
    }
}

/// All measures as they stand in reports.
#[must_use]
pub fn figures(measures: &[Measure]) -> Vec<Figure> {
    let figure = |measure: &Measure| Figure {
        name: measure.name,
        value: measure.value,
        unit: measure.unit,
    };
    measures.iter().map(figure).collect()
}

/// The table of one report.
#[must_use]
pub fn table(report: &Report) -> String {
    let run = &report.run;
    let mut lines = vec![format!(
        "{}  seed {}  policy {}",
        run.trace, run.seed, run.policy
    )];
    let other = report.baseline.as_ref();
    let baseline_name = other.map_or("", |baseline| baseline.policy.as_str());
    lines.push(format!(
        "  {:<26} {:>14} {:>14}  {:<18} {:<6} {baseline_name}",
        "outcome", "measured", "bound", "unit", "held"
    ));
    for (index, outcome) in run.outcomes.iter().enumerate() {
        let beside = other.and_then(|baseline| baseline.outcomes.get(index));
        let beside = beside.map_or(String::new(), |outcome| format!("{:.3}", outcome.measured));
        lines.push(format!(
            "  {:<26} {:>14.3} {:>14.3}  {:<18} {:<6} {beside}",
            outcome.name,
            outcome.measured,
            outcome.bound,
            outcome.unit,
            if outcome.held { "yes" } else { "NO" },
        ));
    }
    let counts = run.counts;
    lines.push(format!(
        "  calls: offered {} answered {} not-run {} unknown {}; samples delivered {}; object API: \
         {} reads, {} watches, {} writes",
        counts.offered,
        counts.answered,
        counts.not_run,
        counts.unknown,
        counts.samples_delivered,
        run.object_api.reads,
        run.object_api.watches,
        run.object_api.writes,
    ));
    lines.join("\n")
}
