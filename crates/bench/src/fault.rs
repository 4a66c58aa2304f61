//! Faults of a trace, brought about when their time comes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use firweir::process::ctl::Operator;
use firweir::version::folder::File;
use serde_json::json;

use crate::object_api::Trouble;
use crate::pipe::Zone;
use crate::trace::Fault;
use crate::trace::FaultKind;
use crate::world::HEALTH_CHECK_LAG;
use crate::world::World;

/// A VM that drains is gone after this; clients have had their answers by then.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// An upstream that leaves goes after this.
const LEAVE_TIME: Duration = Duration::from_secs(60);

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
        FaultKind::SwapFails => fail_swaps(&world, target, fault.amount),
        FaultKind::VmKill => kill_vm(&world, target, lasting).await,
        FaultKind::VmFreeze => freeze_vm(&world, target, lasting).await,
        FaultKind::VmReplace => replace_vm(&world, target, lasting).await,
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

fn fail_swaps(world: &SharedWorld, target: usize, count: u64) {
    let world = world.borrow();
    let engines: Vec<_> = world
        .upstreams
        .iter()
        .filter_map(|it| it.engine.as_ref())
        .collect();
    if !engines.is_empty() {
        engines[target % engines.len()].fail_swaps(count as u32);
    }
}

async fn kill_vm(world: &SharedWorld, target: usize, lasting: Duration) {
    let index = target % world.borrow().vms.len();
    stop_vm(world, index).await;
    tokio::time::sleep(lasting.saturating_sub(HEALTH_CHECK_LAG)).await;
    restart_vm(world, index).await;
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
