//! Takes callers' requests and feeds' drafts.

use std::process::ExitCode;
use std::sync::Arc;

use firweir::process::entry::Entry;
use firweir::process::entry::balanced;
use firweir::process::flags::VmFlags;
use firweir::process::log::start_logging;
use firweir::process::run::Parts;
use firweir::process::run::drain_on_signal;
use firweir::process::run::exit_code;
use firweir::process::settings::Settings;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match VmFlags::from_command_line() {
        Ok(settings) => exit_code(run(settings)),
        Err(error) => exit_code(Err(error)),
    }
}

/// Callers are served on several threads; peers on one of their own, since
/// `capnp-rpc` stays on the thread it was made on.
fn run(settings: Settings) -> std::io::Result<()> {
    start_logging(&settings.log_level);
    let parts = Parts::for_machine(settings)?;
    let entry = Entry::new(parts.clone(), balanced);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let peers = start_peers(Arc::clone(&entry))?;
    let result = runtime.block_on(async {
        drop(tokio::spawn(drain_on_signal(parts.clone())));
        entry.serve_callers().await?.await;
        parts.journal.event("entry_ended", &[]);
        Ok(())
    });
    drop(peers);
    result
}

fn start_peers(entry: Arc<Entry>) -> std::io::Result<std::thread::JoinHandle<()>> {
    let (started, waiting) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let Ok(runtime) = runtime else {
                return;
            };
            runtime.block_on(LocalSet::new().run_until(async move {
                let serving = entry.serve_peers().await;
                let failed = serving.is_err();
                drop(started.send(serving));
                if !failed {
                    std::future::pending::<()>().await;
                }
            }));
        })?;
    waiting.recv().map_err(std::io::Error::other)??;
    Ok(thread)
}
