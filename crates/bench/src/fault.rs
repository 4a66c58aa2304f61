//! Faults of a trace, brought about when their time comes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use firweir::process::ctl::Operator;
use firweir::version::folder::File;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::StreamTrouble;
use crate::memory_storage::DiskTrouble;
use crate::object_api::Trouble;
use crate::pipe::Zone;
use crate::trace::Fault;
use crate::trace::FaultKind;
use crate::trace::Phase;
use crate::world::HEALTH_CHECK_LAG;
use crate::world::World;

/// A VM that drains is gone after this; clients have had their answers by then.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// An upstream that leaves goes after this.
const LEAVE_TIME: Duration = Duration::from_secs(60);

/// A phase that has not come by then is not waited for.
const PHASE_LIMIT: Duration = Duration::from_secs(60);

/// Time between looks at a feed's phase: short beside the writes that end it.
const PHASE_LOOK: Duration = Duration::from_millis(1);
/// Upstreams that a poison request crashed are started again at this pace.
const POISONED_RESTART: Duration = Duration::from_secs(5);

/// The deployment as concurrent faults share it. No borrow is held across an
/// `await` but in [`restart_vm`] and [`restart_upstream`], whose listening on
/// the in-memory network never waits.
pub type SharedWorld = Rc<RefCell<World>>;

/// Brings about one fault and what follows from it.
pub async fn strike(world: SharedWorld, fault: Fault) {
    tokio::time::sleep(Duration::from_secs_f64(fault.at_s)).await;
    let lasting = Duration::from_secs_f64(fault.for_s);
    let target = fault.target as usize;
    match fault.kind {
        FaultKind::UpstreamCrash => crash_upstream(&world, target, lasting).await,
        FaultKind::UpstreamLeave => leave_upstream(&world, target, lasting).await,
        FaultKind::UpstreamSlow => slow_upstream(&world, target, fault.amount, lasting).await,
        FaultKind::SwapFails => fail_swaps(&world, target, fault.amount),
        FaultKind::StreamsTruncated => {
            trouble_streams(&world, target, StreamTrouble::Truncated, lasting).await;
        }
        FaultKind::StreamsReordered => {
            trouble_streams(&world, target, StreamTrouble::Reordered, lasting).await;
        }
        FaultKind::StreamsRepeated => {
            trouble_streams(&world, target, StreamTrouble::Repeated, lasting).await;
        }
        FaultKind::StreamsUnlabelled => {
            trouble_streams(&world, target, StreamTrouble::Unlabelled, lasting).await;
        }
        FaultKind::VmKill => kill_vm(&world, target, lasting).await,
        FaultKind::VmFreeze => freeze_vm(&world, target, lasting).await,
        FaultKind::VmReplace => replace_vm(&world, target, lasting).await,
        FaultKind::HolderKill => {
            if let Some(holder) = holder_in_phase(&world, target, fault.phase).await {
                kill_vm(&world, holder, lasting).await;
            }
        }
        FaultKind::HolderFreeze => {
            if let Some(holder) = holder_in_phase(&world, target, fault.phase).await {
                freeze_vm(&world, holder, lasting).await;
            }
        }
        FaultKind::HolderReplace => {
            if let Some(holder) = holder_in_phase(&world, target, fault.phase).await {
                replace_vm(&world, holder, lasting).await;
            }
        }
        FaultKind::VaultLoss => {
            let index = target % world.borrow().vms.len();
            if let Some(disk) = &world.borrow().vms[index].disk {
                disk.lose_all();
            }
            kill_vm(&world, index, lasting).await;
        }
        FaultKind::VaultFull => fill_disk(&world, target, lasting).await,
        FaultKind::TrainerRestart => restart_trainer(&world, target, lasting).await,
        FaultKind::ApiOutage => world.borrow().platform.trouble(Trouble::Outage, lasting),
        FaultKind::ApiSlow => {
            let slow = Trouble::Slow(Duration::from_millis(fault.amount));
            world.borrow().platform.trouble(slow, lasting);
        }
        FaultKind::ApiRepliesLost => {
            world
                .borrow()
                .platform
                .trouble(Trouble::RepliesLost, lasting);
        }
        FaultKind::ZoneCut => cut_zone(&world.borrow(), Zone(fault.target as u16), lasting),
        FaultKind::OperatorsRace => race_operators(&world, fault.amount as u32).await,
    }
}

async fn crash_upstream(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().upstreams.len();
    world.borrow().crash_upstream(index);
    tokio::time::sleep(lasting).await;
    restart_upstream(world, index).await;
}

/// Restarts plain upstreams that a poison request crashed, for as long as the
/// replay runs.
pub async fn restart_poisoned(world: SharedWorld) {
    loop {
        tokio::time::sleep(POISONED_RESTART).await;
        let crashed = world.borrow().poisoned_upstreams();
        for index in crashed {
            restart_upstream(&world, index).await;
        }
    }
}

async fn leave_upstream(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().upstreams.len();
    set_leaving(world, index, true);
    tokio::time::sleep(LEAVE_TIME).await;
    world.borrow().crash_upstream(index);
    tokio::time::sleep(lasting).await;
    restart_upstream(world, index).await;
    set_leaving(world, index, false);
}

fn set_leaving(world: &SharedWorld, index: usize, leaving: bool) {
    world.borrow_mut().upstreams[index].listed.leaving = leaving;
    world.borrow().publish_vms();
}

async fn slow_upstream(world: &SharedWorld, target: usize, factor: u64, lasting: Duration) {
    let engine = {
        let world = world.borrow();
        let index = target % world.upstreams.len();
        world.upstreams[index].engine.clone()
    };
    if let Some(engine) = engine {
        engine.slow_down(factor as u32);
        tokio::time::sleep(lasting).await;
        engine.slow_down(1);
    }
}

fn fail_swaps(world: &SharedWorld, target: usize, count: u64) {
    if let Some(engine) = engine_at(&world.borrow(), target) {
        engine.fail_swaps(count as u32);
    }
}

async fn trouble_streams(
    world: &SharedWorld,
    target: usize,
    trouble: StreamTrouble,
    lasting: Duration,
) {
    let engine = engine_at(&world.borrow(), target);
    if let Some(engine) = engine {
        engine.trouble_streams(Some(trouble));
        tokio::time::sleep(lasting).await;
        engine.trouble_streams(None);
    }
}

/// An engine, counted among engines alone.
fn engine_at(world: &World, target: usize) -> Option<Engine> {
    let upstreams = world.upstreams.iter();
    let engines: Vec<_> = upstreams.filter_map(|it| it.engine.as_ref()).collect();
    let engine = engines.get(target % engines.len().max(1))?;
    Some((*engine).clone())
}

async fn kill_vm(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().vms.len();
    stop_vm(world, index).await;
    tokio::time::sleep(lasting.saturating_sub(HEALTH_CHECK_LAG)).await;
    restart_vm(world, index).await;
}

/// Waits until a trainer's feed is in a phase, and gives the VM that holds it; a
/// phase that does not come is not struck.
async fn holder_in_phase(world: &SharedWorld, trainer: usize, phase: Phase) -> Option<usize> {
    let start = tokio::time::Instant::now();
    let mut first = None;
    while start.elapsed() < PHASE_LIMIT {
        if let Some(record) = world.borrow().feed_record(trainer) {
            let before = first.get_or_insert_with(|| record.accepted.clone());
            let reached = match phase {
                Phase::Any => true,
                Phase::Drafting => record.sealed.is_empty(),
                Phase::Kept => world.borrow().vault_has(&record),
                Phase::Sealed => !record.sealed.is_empty(),
                Phase::Accepted => record.accepted != *before,
            };
            if reached && !record.holder.is_empty() {
                return world.borrow().vm_named(&record.holder);
            }
        }
        tokio::time::sleep(PHASE_LOOK).await;
    }
    None
}

async fn fill_disk(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().vms.len();
    let disk = world.borrow().vms[index].disk.clone();
    if let Some(disk) = disk {
        disk.set_trouble(DiskTrouble::Full);
        tokio::time::sleep(lasting).await;
        disk.set_trouble(DiskTrouble::None);
    }
}

#[expect(
    clippy::await_holding_refcell_ref,
    reason = "listening in memory never waits"
)]
async fn restart_trainer(world: &SharedWorld, target: usize, lasting: Duration) {
    let trainers = world.borrow().trace.trainers.len();
    if trainers == 0 {
        return;
    }
    let index = target % trainers;
    world.borrow().trainers[index].tasks.kill();
    tokio::time::sleep(lasting.max(HEALTH_CHECK_LAG)).await;
    if let Err(error) = world.borrow_mut().start_trainer(index).await {
        eprintln!("trainer {index} did not start: {error}");
    }
}

/// Ends a VM's programs; the balancer and the VM list notice later.
async fn stop_vm(world: &SharedWorld, index: usize) {
    if let Some(tasks) = world.borrow_mut().vms[index].tasks.take() {
        tasks.kill();
    }
    world.borrow().publish_vms();
    tokio::time::sleep(HEALTH_CHECK_LAG).await;
    world.borrow().check_health();
}

async fn freeze_vm(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().vms.len();
    let tasks = world.borrow().vms[index].tasks.clone();
    if let Some(tasks) = tasks {
        tasks.freeze();
        tokio::time::sleep(lasting).await;
        tasks.thaw();
    }
}

async fn replace_vm(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().vms.len();
    let tasks = world.borrow().vms[index].tasks.clone();
    if let Some(tasks) = tasks {
        tasks.drain();
    }
    tokio::time::sleep(HEALTH_CHECK_LAG).await;
    world.borrow().check_health();
    tokio::time::sleep(DRAIN_TIME).await;
    stop_vm(world, index).await;
    tokio::time::sleep(lasting).await;
    restart_vm(world, index).await;
}

#[expect(
    clippy::await_holding_refcell_ref,
    reason = "listening in memory never waits"
)]
async fn restart_vm(world: &SharedWorld, index: usize) {
    // Dead listeners are dropped at their next step.
    tokio::task::yield_now().await;
    let started = world.borrow_mut().start_vm(index).await;
    if let Err(error) = started {
        eprintln!("vm {index} did not start: {error}");
    }
    world.borrow().publish_vms();
    tokio::time::sleep(HEALTH_CHECK_LAG).await;
    world.borrow().check_health();
}

#[expect(
    clippy::await_holding_refcell_ref,
    reason = "listening in memory never waits"
)]
async fn restart_upstream(world: &SharedWorld, index: usize) {
    tokio::task::yield_now().await;
    let started = world.borrow_mut().start_upstream(index).await;
    if let Err(error) = started {
        eprintln!("upstream {index} did not start: {error}");
    }
}

fn cut_zone(world: &World, zone: Zone, lasting: Duration) {
    for other in 0..world.trace.zones.len() as u16 {
        if Zone(other) != zone {
            world.fabric.cut(zone, Zone(other), lasting);
            world.fabric.cut(Zone(other), zone, lasting);
        }
    }
}

/// Operators apply folders at once, each adding a file of its own that sets one
/// limit; the last by name is in force in the end.
async fn race_operators(world: &SharedWorld, operators: u32) {
    let mut applying = Vec::new();
    for number in 0..operators {
        let Ok(parts) = world.borrow().operator_parts(number) else {
            continue;
        };
        let files = folder_of(&world.borrow(), Some(number));
        applying.push(async move { Operator::new(&parts).apply_files(&files).await });
    }
    drop(futures_util::future::join_all(applying).await);
}

/// The trace's configuration folder, with the file that a racing operator adds.
#[must_use]
pub fn folder_of(world: &World, operator: Option<u32>) -> Vec<File> {
    let files = world.trace.config_with(|feed| world.trainer_of(feed));
    let mut folder: Vec<File> = files
        .into_iter()
        .map(|file| File {
            name: file.name,
            content: file.content,
        })
        .collect();
    if let Some(number) = operator
        && let Some(upstream) = world.trace.upstreams.first()
    {
        let limit = 400 + number;
        let content = json!({ "services": { &upstream.service: { "limit_per_upstream": limit } } });
        folder.push(File {
            name: format!("90-operator-{number:02}.json"),
            content,
        });
    }
    folder.sort_by(|left, right| left.name.cmp(&right.name));
    folder
}
