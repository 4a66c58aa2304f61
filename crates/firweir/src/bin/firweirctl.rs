//! The operator's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use firweir::process::ctl;
use firweir::process::ctl::CtlError;
use firweir::process::ctl::Operator;
use firweir::process::ctl::VmStatus;
use firweir::process::explain::Explanation;
use firweir::process::explain::explain;
use firweir::process::run::BAD_INPUT;
use firweir::process::run::Parts;
use tokio::task::LocalSet;

/// Checks, compares and applies a folder of configuration files.
#[derive(FromArgs)]
struct Flags {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Status(Status),
    Explain(Explain),
}

/// check a folder without the fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// folder of JSON files
    #[argh(positional)]
    folder: PathBuf,
}

/// show which files differ from what is in force
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// folder of JSON files
    #[argh(positional)]
    folder: PathBuf,
    /// address of the object API
    #[argh(option)]
    object_api: SocketAddr,
}

/// make a folder the configuration and wait until it is in force everywhere
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// folder of JSON files
    #[argh(positional)]
    folder: PathBuf,
    /// address of the object API
    #[argh(option)]
    object_api: SocketAddr,
    /// seconds to wait for every live VM to confirm (default 30)
    #[argh(option, default = "30")]
    wait_s: u64,
}

/// show the VMs and the revision in force on each
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// address of the object API
    #[argh(option)]
    object_api: SocketAddr,
}

/// show what all VMs logged about a request, item or submission, in order of time
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// its id
    #[argh(positional)]
    id: String,
    /// logs of VMs
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Exit code for a change that was accepted and is not confirmed everywhere.
const UNCONFIRMED: u8 = 1;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(LocalSet::new().run_until(run(flags.command))),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            let unconfirmed = matches!(error, CtlError::Unconfirmed(..));
            ExitCode::from(if unconfirmed { UNCONFIRMED } else { BAD_INPUT })
        }
    }
}

async fn run(command: Command) -> Result<(), CtlError> {
    match command {
        Command::Check(Check { folder }) => {
            let files = ctl::check(&folder)?;
            println!("{} files, no error", files.len());
        }
        Command::Diff(Diff { folder, object_api }) => {
            let difference = operator(object_api)?.diff(&folder).await?;
            println!("revision {} in force", difference.revision);
            for file in difference.files {
                println!("differs: {file}");
            }
        }
        Command::Apply(apply) => run_apply(apply).await?,
        Command::Status(Status { object_api }) => {
            let status = operator(object_api)?.status().await?;
            println!("revision {}", status.revision);
            for vm in status.vms {
                println!("{}", line_of(&vm));
            }
        }
        Command::Explain(Explain { id, logs }) => print_explanation(&explain(&id, &logs)?),
    }
    Ok(())
}

fn print_explanation(explanation: &Explanation) {
    let first_ms = explanation.events.first().map_or(0, |seen| seen.time_ms);
    for seen in &explanation.events {
        println!("+{} ms {}", seen.time_ms - first_ms, seen.text);
    }
    if explanation.unreadable > 0 {
        eprintln!("{} lines were no events", explanation.unreadable);
    }
}

fn line_of(vm: &VmStatus) -> String {
    let state = vm.state.map_or("unknown".to_owned(), |state| {
        format!("{state:?}").to_lowercase()
    });
    let listed = if vm.listed { "listed" } else { "not-listed" };
    let in_force = vm.in_force.map_or("not confirmed".to_owned(), |revision| {
        format!("revision {revision}")
    });
    format!("{} {} {state} {listed} {in_force}", vm.node, vm.zone)
}

async fn run_apply(apply: Apply) -> Result<(), CtlError> {
    let operator = operator(apply.object_api)?;
    let Some(revision) = operator.apply(&apply.folder).await? else {
        println!("no change");
        return Ok(());
    };
    println!("revision {revision} accepted");
    let patience = Duration::from_secs(apply.wait_s);
    operator
        .confirm(revision, patience, |done, all| {
            eprintln!("in force on {done} of {all} VMs");
        })
        .await?;
    println!("revision {revision} in force on every live VM");
    Ok(())
}

fn operator(object_api: SocketAddr) -> Result<Operator, CtlError> {
    Ok(Operator::new(&Parts::for_operator(object_api)?))
}
