//! Replays traces against their stated outcomes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use firweir::process::log::start_logging;
use firweir::process::log::start_logging_to;
use firweir_bench::baseline::POLICIES;
use firweir_bench::baseline::policy;
use firweir_bench::replay::Plan;
use firweir_bench::replay::ReplayError;
use firweir_bench::replay::replay;
use firweir_bench::report::Report;
use firweir_bench::report::Run;
use firweir_bench::report::table;
use firweir_bench::trace::Trace;
use firweir_bench::trace::TraceError;
use quick_error::quick_error;

/// Replays traces against their stated outcomes. Exits with 0 if every outcome
/// held, 1 if one fell short, 2 for bad input.
#[derive(FromArgs)]
struct Flags {
    /// seed that decides everything random (default 7)
    #[argh(option, default = "7")]
    seed: u64,
    /// seeds A..B, both included, instead of one
    #[argh(option)]
    seeds: Option<String>,
    /// policy to run with: firweir, fifo or static (default firweir)
    #[argh(option, default = "\"firweir\".to_owned()")]
    policy: String,
    /// policy to run beside it
    #[argh(option)]
    compare: Option<String>,
    /// file for a JSON report; - for standard output, without the table
    #[argh(option)]
    report: Option<PathBuf>,
    /// file for the programs' event log, as firweir-burn reads it
    #[argh(option)]
    events: Option<PathBuf>,
    /// least severe events to log: off, error, warn, info or debug (default off)
    #[argh(option, default = "\"off\".to_owned()")]
    log_level: String,
    /// traces
    #[argh(positional)]
    traces: Vec<PathBuf>,
}

quick_error! {
    /// Why nothing was replayed.
    #[derive(Debug)]
    enum ReplayCommandError {
        /// A trace cannot be used.
        Trace(err: TraceError) {
            display("{err}")
            source(err)
            from()
        }
        /// A trace could not run.
        Replay(trace: PathBuf, err: ReplayError) {
            display("{}: {err}", trace.display())
            source(err)
        }
        /// The report cannot be written.
        Report(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// No policy has this name.
        Policy(name: String) {
            display("policy {name}: allowed are {}", policies())
        }
        /// Not two numbers with the first at most the second.
        Seeds(text: String) {
            display("seeds {text}: allowed is A..B with A at most B")
        }
        /// No trace was named.
        Nothing {
            display("no trace named; see --help")
        }
    }
}

fn policies() -> String {
    POLICIES
        .iter()
        .map(|(name, _)| *name)
        .collect::<Vec<_>>()
        .join(", ")
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(flags: &Flags) -> Result<bool, ReplayCommandError> {
    if flags.traces.is_empty() {
        return Err(ReplayCommandError::Nothing);
    }
    if let Some(path) = &flags.events {
        let file =
            fs::File::create(path).map_err(|err| ReplayCommandError::Report(path.clone(), err))?;
        start_logging_to("info", std::io::BufWriter::new(file));
    } else {
        start_logging(&flags.log_level);
    }
    let seeds = seeds(flags)?;
    let mut traces = Vec::new();
    for path in &flags.traces {
        traces.push((path, Trace::load(path)?));
    }
    let to_stdout = flags.report.as_deref() == Some(Path::new("-"));
    let mut reports = Vec::new();
    for (path, trace) in &traces {
        for seed in seeds.clone() {
            let run = run_one(path, trace, seed, &flags.policy)?;
            let compared = flags.compare.as_ref();
            let baseline = compared
                .map(|name| run_one(path, trace, seed, name))
                .transpose()?;
            let report = Report { run, baseline };
            if !to_stdout {
                println!("{}", table(&report));
            }
            reports.push(report);
        }
    }
    log::logger().flush();
    write_reports(flags.report.as_deref(), &reports)?;
    Ok(reports.iter().all(|report| report.run.held()))
}

fn seeds(flags: &Flags) -> Result<std::ops::RangeInclusive<u64>, ReplayCommandError> {
    let Some(text) = &flags.seeds else {
        return Ok(flags.seed..=flags.seed);
    };
    let ends = text
        .split_once("..")
        .and_then(|(first, last)| Some((first.parse::<u64>().ok()?, last.parse::<u64>().ok()?)));
    match ends {
        Some((first, last)) if first <= last => Ok(first..=last),
        _ => Err(ReplayCommandError::Seeds(text.clone())),
    }
}

fn run_one(
    path: &Path,
    trace: &Trace,
    seed: u64,
    policy_name: &str,
) -> Result<Run, ReplayCommandError> {
    let make_dispatcher =
        policy(policy_name).ok_or_else(|| ReplayCommandError::Policy(policy_name.to_owned()))?;
    let plan = Plan {
        name: path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned(),
        trace: trace.clone(),
        seed,
        policy: policy_name.to_owned(),
        make_dispatcher,
    };
    let progress = |share: f64| {
        eprintln!(
            "{} seed {seed} {policy_name}: {:.0} %",
            plan.name,
            share * 100.0
        );
    };
    replay(&plan, progress).map_err(|err| ReplayCommandError::Replay(path.to_owned(), err))
}

fn write_reports(to: Option<&Path>, reports: &[Report]) -> Result<(), ReplayCommandError> {
    let Some(path) = to else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(reports).unwrap_or_default();
    if path == Path::new("-") {
        println!("{text}");
        return Ok(());
    }
    fs::write(path, text).map_err(|err| ReplayCommandError::Report(path.to_owned(), err))
}
