//! What the programs of all VMs report, as one steward knows it.
//!
//! Observed state: for each VM the newest (incarnation, counter) wins.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::process::spread::Row;
use crate::process::spread::Table;
use crate::version::view::Observed;

impl Row for Observed {
    fn compare(&self, other: &Self) -> Ordering {
        self.node.cmp(&other.node)
    }

    fn supersedes(&self, held: &Self) -> bool {
        (self.incarnation, self.counter) > (held.incarnation, held.counter)
    }
}

/// Reports by VM, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    table: Table<Observed>,
}

impl Observations {
    /// Takes in a report unless a newer one of that VM is held; it is handed on
    /// `sends` times. Gives whether it was newer.
    pub fn take(&mut self, report: Observed, sends: u32) -> bool {
        self.table.take(report, sends)
    }

    /// Drops the reports of VMs that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.table.retain(|report| keep(&report.node));
    }

    /// Reports to hand on in one exchange, at most this many.
    pub fn news(&mut self, limit: usize) -> Vec<Observed> {
        self.table.news(limit)
    }

    /// All reports, sorted by VM.
    #[must_use]
    pub fn reports(&self) -> Vec<Observed> {
        self.table.rows().cloned().collect()
    }

    /// Hash of the suspects in all reports, the same on each VM that knows the same.
    ///
    /// A report is handed on a few times and may miss a VM while others are down; that
    /// one would run a suspect once more. Comparing digests finds what it missed.
    /// Demand is left out: it changes all the time, and a missed one is soon replaced.
    #[must_use]
    pub fn suspects_digest(&self) -> u64 {
        let suspected = self.table.rows().flat_map(|report| {
            let node = xxh3_64(report.node.as_bytes());
            let suspects = report.suspects.iter();
            suspects.map(move |suspect| {
                let lost = node.wrapping_add(u64::from(suspect.upstreams_lost));
                xxh3_64_with_seed(&suspect.fingerprint.to_le_bytes(), lost)
            })
        });
        suspected.fold(0, |digest, hash| digest ^ hash)
    }

    /// The counter of this VM's last report.
    #[must_use]
    pub fn counter_of(&self, node: &str) -> u64 {
        let held = self.table.find(|report| report.node.as_str().cmp(node));
        held.map_or(0, |report| report.counter)
    }
}
