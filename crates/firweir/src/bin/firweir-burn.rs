//! Reports service-level burn from event logs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use firweir::process::burn;
use firweir::process::burn::Burn;
use firweir::process::burn::BurnError;
use firweir::process::burn::WINDOWS;
use firweir::process::burn_page;
use firweir::process::run::exit_code;
use firweir::version::config::Config;
use firweir::version::folder::Head;
use firweir::version::folder::read_folder;

/// Reports how fast services and feeds use up what their objectives allow to go
/// wrong. Exits with 2 for input that cannot be used.
#[derive(FromArgs)]
struct Flags {
    /// configuration folder, for the objectives
    #[argh(option)]
    config: PathBuf,
    /// pairs of windows, long and short in seconds with a factor (default
    /// 3600:300:14.4,21600:1800:6,259200:21600:1)
    #[argh(option)]
    windows: Option<String>,
    /// file for a page with plots
    #[argh(option)]
    page: Option<PathBuf>,
    /// file for a JSON report; - for standard output, without the table
    #[argh(option)]
    report: Option<PathBuf>,
    /// title of the page (default "Service-level burn")
    #[argh(option, default = "\"Service-level burn\".to_owned()")]
    title: String,
    /// event logs of entries and feeds
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

fn main() -> ExitCode {
    exit_code(run(&argh::from_env()))
}

fn run(flags: &Flags) -> Result<(), BurnError> {
    let burns = burns(flags)?;
    let to_stdout = flags.report.as_deref() == Some(Path::new("-"));
    let json = serde_json::to_string_pretty(&burns).unwrap_or_default();
    if to_stdout {
        println!("{json}");
    } else {
        println!("{}", burn_page::table(&burns));
        if let Some(path) = &flags.report {
            write(path, &json)?;
        }
    }
    if let Some(path) = &flags.page {
        write(path, &burn_page::page(&flags.title, &burns)?)?;
    }
    Ok(())
}

fn burns(flags: &Flags) -> Result<Vec<Burn>, BurnError> {
    let windows = match &flags.windows {
        Some(text) => burn::read_windows(text)?,
        None => WINDOWS.to_vec(),
    };
    let head = Head {
        files: read_folder(&flags.config)?,
        ..Head::default()
    };
    head.check()?;
    let objectives = burn::objectives(&Config::from_document(&head.document())?);
    if objectives.is_empty() {
        return Err(BurnError::NoObjective);
    }
    let mut events = Vec::new();
    for path in &flags.logs {
        let text = fs::read_to_string(path).map_err(|err| BurnError::File(path.clone(), err))?;
        events.extend(burn::read_log(path, &text)?);
    }
    events.sort_by_key(burn::LogEvent::at_ms);
    let series = objectives
        .iter()
        .map(|objective| burn::series(objective, &events));
    Ok(series.map(|series| burn::burn(&series, &windows)).collect())
}

fn write(path: &Path, text: &str) -> Result<(), BurnError> {
    fs::write(path, text).map_err(|err| BurnError::File(path.to_owned(), err))
}
