//! Holds rollout feeds: drafts steps, seals lots, hands them to trainers.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use firweir::process::feed;
use firweir::process::log::start_logging;
use firweir::process::run::Parts;
use firweir::process::run::drain_on_signal;
use firweir::process::run::exit_code;
use firweir::process::run::run_local;
use firweir::process::settings::Overrides;
use firweir::process::settings::Settings;

/// Holds rollout feeds: drafts steps, seals lots, hands them to trainers.
#[derive(FromArgs)]
struct Flags {
    /// settings file of the VM (JSON)
    #[argh(option)]
    settings: PathBuf,
    /// name of the VM, over the settings file
    #[argh(option)]
    node: Option<String>,
    /// least severe events to log: off, error, warn, info or debug
    #[argh(option)]
    log_level: Option<String>,
}

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let overrides = Overrides {
        node: flags.node,
        log_level: flags.log_level,
    };
    match Settings::load(&flags.settings, &overrides) {
        Ok(settings) => run_local(run(settings)),
        Err(error) => exit_code(Err(error)),
    }
}

async fn run(settings: Settings) -> std::io::Result<()> {
    start_logging(&settings.log_level);
    let parts = Parts::for_machine(settings)?;
    drop(tokio::task::spawn_local(drain_on_signal(parts.clone())));
    feed::start(parts.clone()).await?.await;
    parts.journal.event("feed_ended", &[]);
    Ok(())
}
