//! What the process uses, beside what it does for others: a line for operators, so that the
//! load of a role can be told from that of a node that only takes callers.

use std::sync::Arc;
use std::time::Duration;

use firweir::process::log::Journal;

use crate::fleet::Fleet;
use crate::follow::Seeds;
use crate::holder::DutyHolder;
use crate::submission::homes::Homes;
use crate::submission::records::NodeRef;

/// Time between two lines.
const EVERY: Duration = Duration::from_secs(10);

/// Where the system tells of the process's memory and processor time.
const STATUS: &str = "/proc/self/status";
const STAT: &str = "/proc/self/stat";

/// Clock ticks a second in [`STAT`], on all systems of our kind.
const TICKS_PER_S: u64 = 100;

/// Places of user and system time in [`STAT`], counted from behind the program's name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// What tells which roles a node has.
#[derive(Debug, Clone)]
pub struct LoadLogger {
    /// This node.
    pub this_node: NodeRef,
    /// Whether it is a seed.
    pub seeds: Seeds,
    /// Whose home it is.
    pub homes: Homes,
    /// Whether it gives orders.
    pub holder: DutyHolder,
    /// What it knows.
    pub fleet: Arc<Fleet>,
    /// Events.
    pub journal: Journal,
}

impl LoadLogger {
    /// Writes a line now and then, for as long as the process lives.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(EVERY).await;
            self.write();
        }
    }

    fn write(&self) {
        let settled = self.homes.assignments();
        let own = settled
            .iter()
            .filter(|held| held.address == self.this_node.address);
        let memory_mb = std::fs::read_to_string(STATUS)
            .ok()
            .and_then(|status| peak_memory_mb(&status));
        let cpu_ms = std::fs::read_to_string(STAT)
            .ok()
            .and_then(|stat| cpu_time_ms(&stat));
        self.journal.event(
            "node_load",
            &[
                ("homes", &own.count()),
                ("seed", &self.seeds.current().is_seed),
                ("orders", &self.holder.holds_duty()),
                ("upstreams", &self.fleet.upstreams().len()),
                // Zero where the system does not tell.
                ("peak_memory_mb", &memory_mb.unwrap_or_default()),
                ("cpu_ms", &cpu_ms.unwrap_or_default()),
            ],
        );
    }
}

/// Peak of the resident memory, out of [`STATUS`].
#[must_use]
pub fn peak_memory_mb(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes / 1_024)
}

/// User and system time, out of [`STAT`].
#[must_use]
pub fn cpu_time_ms(stat: &str) -> Option<u64> {
    // The name may hold anything, blanks and brackets included.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = |place| -> Option<u64> { fields.split_whitespace().nth(place)?.parse().ok() };
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) * 1_000 / TICKS_PER_S)
}
