//! Logs the memory, CPU time and store calls of the process together with its roles, so that
//! operators see what a role costs compared with a node that only serves clients.

use std::sync::Arc;
use std::time::Duration;

use firweir::connection::open_connections::OpenConnections;
use firweir::process::log::Journal;

use crate::fleet::Fleet;
use crate::holder::DutyHolder;
use crate::seeds::Seeds;
use crate::store::Store;
use crate::submission::homes::Homes;
use crate::submission::records::NodeRef;

/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Files in which Linux shows the memory and the CPU time of the process.
const STATUS_PATH: &str = "/proc/self/status";
const STAT_PATH: &str = "/proc/self/stat";

/// Clock ticks per second in [`STAT_PATH`] (`USER_HZ`), the same on all supported systems.
const TICKS_PER_S: u64 = 100;

/// Indices of user and system time among the fields of [`STAT_PATH`] after the program's name.
const USER_TIME_INDEX: usize = 11;
const SYSTEM_TIME_INDEX: usize = 12;

/// Logs the load and the roles of a node.
#[derive(Debug, Clone)]
pub struct LoadLogger {
    /// This node.
    pub this_node: NodeRef,
    /// Tells whether it is a seed.
    pub seeds: Seeds,
    /// Tells for how many models it is the home.
    pub homes: Homes,
    /// Tells whether it holds the duty of giving orders.
    pub holder: DutyHolder,
    /// Tells how many upstreams it knows.
    pub fleet: Arc<Fleet>,
    /// Tells how many calls it has sent to the store.
    pub store: Store,
    /// Tells how many connections are open, and how much memory their requests hold.
    pub connections: OpenConnections,
    /// Log that the lines are written to.
    pub journal: Journal,
}

impl LoadLogger {
    /// Writes a log line at each interval until the process ends.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            self.write();
        }
    }

    fn write(&self) {
        let assignments = self.homes.assignments();
        let own = assignments
            .iter()
            .filter(|home| home.address == self.this_node.address);
        let memory_mb = std::fs::read_to_string(STATUS_PATH)
            .ok()
            .and_then(|status| peak_memory_mb(&status));
        let cpu_ms = std::fs::read_to_string(STAT_PATH)
            .ok()
            .and_then(|stat| cpu_time_ms(&stat));
        self.journal.event(
            "node_load",
            &[
                ("homes", &own.count()),
                ("seed", &self.seeds.current().is_seed),
                ("orders", &self.holder.holds_duty()),
                ("upstreams", &self.fleet.upstreams().len()),
                // Zero if the system does not show it.
                ("peak_memory_mb", &memory_mb.unwrap_or_default()),
                ("cpu_ms", &cpu_ms.unwrap_or_default()),
                ("store_calls", &self.store.calls_sent()),
                ("connections", &self.connections.len()),
                ("held_bytes", &self.connections.held_bytes()),
            ],
        );
    }
}

/// Peak resident memory in MiB, from the text of `/proc/self/status`.
#[must_use]
pub fn peak_memory_mb(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes / 1_024)
}

/// Sum of user and system time in ms, from the text of `/proc/self/stat`.
#[must_use]
pub fn cpu_time_ms(stat: &str) -> Option<u64> {
    // The program's name may contain any character, blanks and brackets included.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = |index| -> Option<u64> { fields.split_whitespace().nth(index)?.parse().ok() };
    Some((ticks(USER_TIME_INDEX)? + ticks(SYSTEM_TIME_INDEX)?) * 1_000 / TICKS_PER_S)
}
