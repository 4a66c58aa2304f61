//! Holds rollout feeds: drafts steps, seals lots, hands them to trainers.

use std::process::ExitCode;

use firweir::process::feed;
use firweir::process::flags::VmFlags;
use firweir::process::log::start_logging;
use firweir::process::run::Parts;
use firweir::process::run::drain_on_signal;
use firweir::process::run::exit_code;
use firweir::process::run::run_local;
use firweir::process::settings::Settings;
use firweir_policy::straggler::StragglerPolicy;

fn main() -> ExitCode {
    match VmFlags::from_command_line() {
        Ok(settings) => run_local(run(settings)),
        Err(error) => exit_code(Err(error)),
    }
}

async fn run(settings: Settings) -> std::io::Result<()> {
    start_logging(&settings.log_level);
    let parts = Parts::for_machine(settings)?;
    drop(tokio::task::spawn_local(drain_on_signal(parts.clone())));
    feed::start(parts.clone(), StragglerPolicy::default())
        .await?
        .await;
    parts.journal.event("feed_ended", &[]);
    Ok(())
}
