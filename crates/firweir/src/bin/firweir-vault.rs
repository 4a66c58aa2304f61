//! Keeps the bodies of sealed lots under one data folder.

use std::process::ExitCode;
use std::rc::Rc;

use firweir::process::flags::VmFlags;
use firweir::process::log::start_logging;
use firweir::process::run::Parts;
use firweir::process::run::drain_on_signal;
use firweir::process::run::exit_code;
use firweir::process::run::run_local;
use firweir::process::settings::Settings;
use firweir::process::storage::DiskStorage;
use firweir::process::vault;
use firweir::process::vault::VaultError;

fn main() -> ExitCode {
    match VmFlags::from_command_line() {
        Ok(settings) => run_local(run(settings)),
        Err(error) => exit_code(Err(error)),
    }
}

async fn run(settings: Settings) -> Result<(), VaultError> {
    start_logging(&settings.log_level);
    let folder = settings.data_folder.clone();
    let folder = folder.ok_or(VaultError::NotConfigured)?;
    let storage = Rc::new(DiskStorage::open(folder)?);
    let parts = Parts::for_machine(settings)?;
    drop(tokio::task::spawn_local(drain_on_signal(parts.clone())));
    let serving = vault::start(parts.clone(), storage).await?;
    parts.tasks.spawn_local(serving);
    parts.tasks.draining().await;
    // Holders that still write are served until their VM has left the members.
    tokio::time::sleep(parts.settings.drain_linger()).await;
    parts.journal.event("vault_ended", &[]);
    Ok(())
}
