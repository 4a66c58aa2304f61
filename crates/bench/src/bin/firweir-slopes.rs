//! Measures what one more VM costs: stewards of 9 to 420 VMs in one process, by
//! their own code over the replay's network. Times are virtual; processor time is
//! the machine's, of this thread, the stand-in of the platform included. Then
//! operators race to apply folders, and what each condition costs is shown.

use std::fs;
use std::io;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use firweir::process::ctl::Certification;
use firweir::process::ctl::CtlError;
use firweir::process::run::exit_code;
use firweir::version::folder::File;
use firweir::version::folder::Head;
use firweir::version::view::MemberState;
use firweir_bench::fleet::Fleet;
use firweir_bench::fleet::Node;
use firweir_bench::fleet::STEWARD_PORT;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Zones of the deployments.
const ZONES: u16 = 3;

/// Services in the configuration: a folder of about 20 KB.
const SERVICES: usize = 100;

/// The fleet settles for this long after each trouble.
const SETTLE: Duration = Duration::from_secs(10);

/// A fleet whose VMs all start at once settles for this long.
const START: Duration = Duration::from_secs(30);

/// Steady state is measured for this long.
const STEADY: Duration = Duration::from_secs(20);

/// Loss and a pause are watched for this long.
const WATCHED: Duration = Duration::from_secs(8);

/// Share of packets lost.
const LOSS: f64 = 0.05;

/// How long one VM is paused.
const PAUSE: Duration = Duration::from_secs(2);

/// Pause between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What has not happened by then counts as this late.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Measures slopes; prints tables of VMs, racing operators and catching up.
#[derive(FromArgs)]
struct Flags {
    /// numbers of VMs, with commas (default 9,30,100,420); empty for no table
    #[argh(option, default = "\"9,30,100,420\".to_owned()")]
    nodes: String,
    /// seed that decides everything random (default 7)
    #[argh(option, default = "7")]
    seed: u64,
}

/// What was measured with one number of VMs.
#[derive(Debug, Default)]
struct Slope {
    nodes: u32,
    bytes_per_node_s: f64,
    cpu_share_per_node: f64,
    api_calls_per_s: f64,
    in_force_s: f64,
    detected_s: f64,
    loss_suspects: usize,
    loss_dead: usize,
    pause_suspects: usize,
    pause_dead: usize,
}

/// Operators that apply at once.
const RACING: [u32; 6] = [1, 2, 4, 8, 16, 32];

/// Each operator whose number is a multiple of this changes the same file.
const SHARING: u32 = 4;

/// Changes of one file each, before a VM catches up.
const CHANGES: usize = 100;

/// Changes that it missed.
const MISSED: [u64; 5] = [1, 4, 16, 64, 80];

/// Rounds of a race: each is one seed.
const ROUNDS: u64 = 8;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    exit_code(print_tables(&flags))
}

fn print_tables(flags: &Flags) -> Result<(), CtlError> {
    if !flags.nodes.is_empty() {
        print_table(flags)?;
    }
    print_races(flags.seed)?;
    print_catch_up();
    Ok(())
}

/// Shows what a VM that missed some changes is sent: those changes, or the head.
fn print_catch_up() {
    println!(
        "{:>6} {:>13} {:>11}",
        "missed", "changes_bytes", "whole_bytes"
    );
    let mut heads = vec![Head::default()];
    for number in 0..CHANGES {
        let mut files = folder(0);
        let index = number % SERVICES;
        let service = format!("service-{index}");
        files[index].content["services"][&service]["limit_per_upstream"] = json!(100 + number);
        let next = heads[number].with_folder(&files, &format!("ctl-operator-{number}"));
        heads.extend(next);
    }
    let newest = &heads[heads.len() - 1];
    let bytes = |json: serde_json::Result<Vec<u8>>| json.map_or(0, |text| text.len());
    for missed in MISSED {
        let changes = newest.changes_since(newest.revision - missed);
        let changes_bytes = changes.map_or("none".to_owned(), |changes| {
            bytes(serde_json::to_vec(&changes)).to_string()
        });
        let whole_bytes = bytes(serde_json::to_vec(newest));
        println!("{missed:>6} {changes_bytes:>13} {whole_bytes:>11}");
    }
}

/// How racing operators fared.
#[derive(Debug, Default)]
struct Race {
    applies: u32,
    accepted: u32,
    refused: u32,
    failed: u32,
    tries: u32,
    seconds: f64,
}

fn print_races(seed: u64) -> Result<(), CtlError> {
    println!(
        "{:>9} {:>12} {:>14} {:>13} {:>12} {:>15} {:>9}",
        "operators",
        "condition",
        "accepted_share",
        "refused_share",
        "failed_share",
        "tries_per_apply",
        "longest_s"
    );
    for operators in RACING {
        for certification in [Certification::PerFile, Certification::WholeFolder] {
            let mut race = Race::default();
            for round in 0..ROUNDS {
                run_alone(race_operators(
                    &mut race,
                    operators,
                    certification,
                    seed + round,
                ))?;
            }
            let share = |count| f64::from(count) / f64::from(race.applies);
            let condition = match certification {
                Certification::PerFile => "per-file",
                Certification::WholeFolder => "whole-folder",
            };
            println!(
                "{operators:>9} {condition:>12} {:>14.3} {:>13.3} {:>12.3} {:>15.2} {:>9.2}",
                share(race.accepted),
                share(race.refused),
                share(race.failed),
                share(race.tries),
                race.seconds
            );
        }
    }
    Ok(())
}

async fn race_operators(
    race: &mut Race,
    operators: u32,
    certification: Certification,
    seed: u64,
) -> Result<(), CtlError> {
    let fleet = Fleet::plan(0, ZONES, seed).await?;
    fleet.operator(200)?.apply_files(&folder(0)).await?;
    let writes = fleet.platform.calls().writes;
    let mut applying = Vec::new();
    for number in 0..operators {
        let operator = fleet.operator(number)?;
        let mut files = folder(0);
        let shared = number % SHARING == SHARING - 1;
        let index = if shared { 0 } else { number as usize };
        let service = format!("service-{index}");
        files[index].content["services"][&service]["limit_per_upstream"] = json!(100 + number);
        applying.push(async move { operator.apply_certified(&files, certification).await });
    }
    let start = Instant::now();
    for applied in futures_util::future::join_all(applying).await {
        race.applies += 1;
        match applied {
            Ok(_) => race.accepted += 1,
            Err(CtlError::Raced(..) | CtlError::FolderRaced(_)) => race.refused += 1,
            Err(_) => race.failed += 1,
        }
    }
    race.tries += (fleet.platform.calls().writes - writes) as u32;
    race.seconds = race.seconds.max(start.elapsed().as_secs_f64());
    Ok(())
}

fn print_table(flags: &Flags) -> Result<(), CtlError> {
    println!(
        "{:>5} {:>13} {:>11} {:>11} {:>10} {:>10} {:>12} {:>9} {:>13} {:>10}",
        "vms",
        "bytes/s/node",
        "cpu%/node",
        "api_calls/s",
        "in_force_s",
        "detected_s",
        "loss_suspect",
        "loss_dead",
        "pause_suspect",
        "pause_dead"
    );
    for nodes in flags.nodes.split(',').filter_map(|text| text.parse().ok()) {
        let slope = run_alone(measure(nodes, flags.seed))?;
        println!(
            "{:>5} {:>13.0} {:>11.3} {:>11.2} {:>10.2} {:>10.2} {:>12} {:>9} {:>13} {:>10}",
            slope.nodes,
            slope.bytes_per_node_s,
            slope.cpu_share_per_node * 100.0,
            slope.api_calls_per_s,
            slope.in_force_s,
            slope.detected_s,
            slope.loss_suspects,
            slope.loss_dead,
            slope.pause_suspects,
            slope.pause_dead
        );
    }
    Ok(())
}

fn run_alone<T>(measuring: impl Future<Output = Result<T, CtlError>>) -> Result<T, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let tasks = LocalSet::new();
    runtime.block_on(tasks.run_until(measuring))
}

async fn measure(nodes: u32, seed: u64) -> Result<Slope, CtlError> {
    let mut fleet = Fleet::plan(nodes, ZONES, seed).await?;
    fleet.start().await?;
    let operator = fleet.operator(1)?;
    operator.apply_files(&folder(0)).await?;
    tokio::time::sleep(START).await;
    let mut slope = Slope {
        nodes,
        ..Slope::default()
    };
    measure_steady(&fleet, &mut slope).await?;

    let revision = operator.apply_files(&folder(1)).await?.unwrap_or(0);
    slope.in_force_s = wait_until(|| fleet.revision_everywhere() >= revision).await;

    fleet.fabric.lose(LOSS, seed);
    (slope.loss_suspects, slope.loss_dead) = watch_beliefs(&fleet).await;
    fleet.fabric.lose(0.0, seed);
    tokio::time::sleep(SETTLE).await;

    let paused = fleet.nodes[1].tasks.clone();
    paused.freeze();
    let thaw = async {
        tokio::time::sleep(PAUSE).await;
        paused.thaw();
    };
    ((slope.pause_suspects, slope.pause_dead), ()) = tokio::join!(watch_beliefs(&fleet), thaw);
    tokio::time::sleep(SETTLE).await;

    let dead = fleet.nodes[2].name.clone();
    fleet.kill(2).await;
    let known = |node: &Node| {
        let steward = node.steward.as_ref();
        steward.and_then(|it| it.state_of(&dead)) == Some(MemberState::Dead)
    };
    slope.detected_s = wait_until(|| fleet.running().all(known)).await;
    Ok(slope)
}

async fn measure_steady(fleet: &Fleet, slope: &mut Slope) -> io::Result<()> {
    let calls = |fleet: &Fleet| {
        let calls = fleet.platform.calls();
        calls.reads + calls.watches + calls.writes
    };
    let nodes = fleet.nodes.len() as f64;
    let (bytes, api, cpu) = (
        fleet.fabric.carried_bytes(STEWARD_PORT),
        calls(fleet),
        cpu_time()?,
    );
    tokio::time::sleep(STEADY).await;
    let seconds = STEADY.as_secs_f64();
    let cpu_s = cpu_time()?.saturating_sub(cpu).as_secs_f64();
    let carried = fleet.fabric.carried_bytes(STEWARD_PORT) - bytes;
    slope.cpu_share_per_node = cpu_s / seconds / nodes;
    slope.bytes_per_node_s = carried as f64 / seconds / nodes;
    slope.api_calls_per_s = (calls(fleet) - api) as f64 / seconds;
    Ok(())
}

/// The most pairs of VMs, of which one wrongly held the other for suspect or
/// dead, at any look.
async fn watch_beliefs(fleet: &Fleet) -> (usize, usize) {
    let start = Instant::now();
    let mut most = (0, 0);
    while start.elapsed() < WATCHED {
        tokio::time::sleep(LOOK_EVERY).await;
        let count = |state| -> usize {
            let stewards = fleet.running().filter_map(|node| node.steward.as_ref());
            stewards.map(|steward| steward.count(state)).sum()
        };
        most.0 = most.0.max(count(MemberState::Suspect));
        most.1 = most.1.max(count(MemberState::Dead));
    }
    most
}

async fn wait_until(holds: impl Fn() -> bool) -> f64 {
    let start = Instant::now();
    while !holds() && start.elapsed() < LONGEST_WAIT {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    start.elapsed().as_secs_f64()
}

/// Processor time that this thread has used.
fn cpu_time() -> io::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanoseconds = text.split(' ').next().and_then(|word| word.parse().ok());
    nanoseconds
        .map(Duration::from_nanos)
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn folder(edition: usize) -> Vec<File> {
    let services = (0..SERVICES).map(|index| File {
        name: format!("{index:03}-service.json"),
        content: json!({ "services": { format!("service-{index}"): {
            "kind": "plain",
            "limit_per_upstream": if index == 0 { 10 + edition } else { 10 },
            "default_deadline_ms": 1_000,
            "charged_paths": ["/quote", "/label"],
        }}}),
    });
    services.collect()
}
