//! Keeps one VM's view of the fleet: members, configuration, upstreams.

use std::process::ExitCode;

use firweir::process::flags::VmFlags;
use firweir::process::log::start_logging;
use firweir::process::run::Parts;
use firweir::process::run::drain_on_signal;
use firweir::process::run::exit_code;
use firweir::process::run::run_local;
use firweir::process::settings::Settings;
use firweir::process::steward;

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
    steward::start(parts.clone()).await?;
    parts.tasks.draining().await;
    // Peers hear in the next exchanges that this VM leaves.
    tokio::time::sleep(parts.settings.drain_linger()).await;
    parts.journal.event("steward_ended", &[]);
    Ok(())
}
