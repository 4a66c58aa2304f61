//! Replays one trace on a paused clock.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use firweir::process::ctl::CtlError;
use firweir::process::ctl::Operator;
use firweir::process::entry::MakeDispatcher;
use quick_error::quick_error;
use tokio::task::LocalSet;

use crate::baseline::straggler_rules;
use crate::fault::SharedWorld;
use crate::fault::folder_of;
use crate::fault::restart_poisoned;
use crate::fault::strike;
use crate::report::Run;
use crate::report::figures;
use crate::report::judge;
use crate::trace::Trace;
use crate::world::World;

/// The fleet is up and its configuration in force within this, or the run fails.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Calls that are open when the load ends get this long to end.
const CLOSING_LIMIT: Duration = Duration::from_secs(120);

/// Time between looks at calls that are still open.
const CLOSING_LOOK: Duration = Duration::from_millis(100);

/// Time between looks at the configuration that entries serve.
const REVISION_LOOK: Duration = Duration::from_millis(250);

/// Share of the trace between two lines of progress.
const PROGRESS_STEPS: u32 = 10;

quick_error! {
    /// Why a replay could not run.
    #[derive(Debug)]
    pub enum ReplayError {
        /// The runtime or an in-memory address failed.
        Io(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The configuration was not accepted or not confirmed.
        Start(err: CtlError) {
            display("start: {err}")
            source(err)
            from()
        }
    }
}

/// What to replay and how.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Name in the report.
    pub name: String,
    /// The trace.
    pub trace: Trace,
    /// Decides everything that is random.
    pub seed: u64,
    /// Name of the policy in the report.
    pub policy: String,
    /// The policy.
    pub make_dispatcher: MakeDispatcher,
}

/// Replays a trace; `progress` hears the share of it that is done.
///
/// # Errors
///
/// The deployment could not be started.
pub fn replay(plan: &Plan, progress: impl Fn(f64)) -> Result<Run, ReplayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let tasks = LocalSet::new();
    let run = runtime.block_on(tasks.run_until(run(plan, progress)));
    drop(tasks);
    run
}

async fn run(plan: &Plan, progress: impl Fn(f64)) -> Result<Run, ReplayError> {
    let rules = straggler_rules(&plan.policy);
    let world = World::build(plan.trace.clone(), plan.seed, plan.make_dispatcher, rules).await?;
    let world: SharedWorld = Rc::new(RefCell::new(world));
    start_fleet(&world).await?;
    let parts = world.borrow().operator_parts(0)?;
    let operator = Operator::new(&parts);
    let folder = folder_of(&world.borrow(), None);
    if let Some(revision) = operator.apply_files(&folder).await? {
        operator
            .confirm(revision, START_LIMIT, |_done, _all| {})
            .await?;
    }
    world.borrow().check_health();
    start_trainers(&world).await?;
    offer_load(&world, plan.seed);
    drop(tokio::task::spawn_local(restart_poisoned(Rc::clone(
        &world,
    ))));
    for fault in plan.trace.faults.clone() {
        drop(tokio::task::spawn_local(strike(Rc::clone(&world), fault)));
    }
    drop(tokio::task::spawn_local(look_at_revisions(Rc::clone(
        &world,
    ))));
    let part = Duration::from_secs_f64(plan.trace.duration_s) / PROGRESS_STEPS;
    for step in 1..=PROGRESS_STEPS {
        tokio::time::sleep(part).await;
        progress(f64::from(step) / f64::from(PROGRESS_STEPS));
    }
    world
        .borrow()
        .judge
        .end_window(Duration::from_secs_f64(plan.trace.duration_s));
    close_calls(&world).await;
    let world = world.borrow();
    let measures = world.judge.measures();
    Ok(Run {
        trace: plan.name.clone(),
        seed: plan.seed,
        policy: plan.policy.clone(),
        outcomes: plan
            .trace
            .outcomes
            .iter()
            .map(|stated| judge(stated, &measures))
            .collect(),
        counts: world.judge.counts(),
        object_api: world.platform.calls(),
        measures: figures(&measures),
    })
}

#[expect(
    clippy::await_holding_refcell_ref,
    reason = "nothing else runs before the start"
)]
async fn start_fleet(world: &SharedWorld) -> io::Result<()> {
    let vms = world.borrow().vms.len();
    for index in 0..vms {
        world.borrow_mut().start_vm(index).await?;
    }
    world.borrow().publish_vms();
    Ok(())
}

#[expect(
    clippy::await_holding_refcell_ref,
    reason = "listening in memory never waits"
)]
async fn start_trainers(world: &SharedWorld) -> io::Result<()> {
    world.borrow_mut().start_trainers().await
}

fn offer_load(world: &SharedWorld, seed: u64) {
    let world = world.borrow();
    for (index, load) in world.trace.loads.iter().enumerate() {
        let callers = world.callers.clone();
        let seed = seed.wrapping_mul(131).wrapping_add(index as u64);
        drop(tokio::spawn(callers.run(index, load.clone(), seed)));
    }
}

async fn look_at_revisions(world: SharedWorld) {
    loop {
        world.borrow().check_revisions();
        tokio::time::sleep(REVISION_LOOK).await;
    }
}

async fn close_calls(world: &SharedWorld) {
    let start = tokio::time::Instant::now();
    while world.borrow().callers.open() > 0 && start.elapsed() < CLOSING_LIMIT {
        tokio::time::sleep(CLOSING_LOOK).await;
    }
}
