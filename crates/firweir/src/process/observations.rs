//! What the programs of all VMs report, as one steward knows it.
//!
//! Observed state: for each VM the newest (incarnation, counter) wins.

use crate::version::view::Observed;

/// Reports by VM, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    reports: Vec<Observed>,
}

impl Observations {
    /// Takes in a report unless a newer one of that VM is held. Gives whether it
    /// was newer.
    pub fn take(&mut self, report: Observed) -> bool {
        match self
            .reports
            .binary_search_by(|held| held.node.cmp(&report.node))
        {
            Err(position) => {
                self.reports.insert(position, report);
                true
            }
            Ok(position) => {
                let held = &mut self.reports[position];
                let newer = (report.incarnation, report.counter) > (held.incarnation, held.counter);
                if newer {
                    *held = report;
                }
                newer
            }
        }
    }

    /// Drops the reports of VMs that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.reports.retain(|report| keep(&report.node));
    }

    /// All reports, sorted by VM.
    #[must_use]
    pub fn reports(&self) -> &[Observed] {
        &self.reports
    }

    /// The counter of this VM's last report.
    #[must_use]
    pub fn counter_of(&self, node: &str) -> u64 {
        let held = self.reports.iter().find(|report| report.node == node);
        held.map_or(0, |report| report.counter)
    }
}
