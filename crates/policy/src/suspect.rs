//! Quarantine of requests that are suspected of crashing the upstreams that run them.
//!
//! A request may crash each upstream that runs it, while it is retried here and sent again by
//! its caller to other VMs. Without a quarantine each try costs one more upstream, until the
//! service is down.
//!
//! A request counts one loss for each upstream whose connection broke while the request was in
//! flight there. Requests that merely shared the upstream are counted as well; an answer clears
//! them. After two losses a request runs only without other suspects, so that the next loss is
//! its own; after three it is quarantined.

use std::time::Duration;
use std::time::Instant;

/// Losses from which a request runs only without other suspects. Every request in flight at a
/// crash has one loss; two by chance are rare.
pub const LOSSES_TO_ISOLATE: u32 = 2;

/// Losses from which a request is quarantined: users accept the loss of three upstreams in the
/// whole fleet.
pub const LOSSES_TO_QUARANTINE: u32 = 3;

/// Time from its last loss after which a request is no longer suspected: the upstreams may have
/// been repaired, and a caller that still resends the request costs at most three more.
pub const SUSPICION_EXPIRY: Duration = Duration::from_secs(600);

/// Maximum number of suspects; beyond it, the one with the oldest loss is dropped. A crash makes
/// suspects of all requests in flight at the upstream, some hundreds.
pub const MAX_SUSPECTS: usize = 4_096;

/// Time for which a notice counts; the regular report of the same losses has arrived by then.
const NOTICE_VALID_FOR: Duration = Duration::from_secs(30);

/// Retry delay of a request with [`LOSSES_TO_ISOLATE`] losses: meanwhile the counts reach all VMs.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Restriction under which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// Without restriction.
    Free,
    /// With no other suspect at the same time, and without a retry.
    Alone,
    /// Not at all, for this time.
    Quarantined(Duration),
}

/// Requests that were in flight when upstreams were lost, on this VM and others.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Losses seen on this VM, sorted by fingerprint.
    own: Vec<Suspect>,
    /// Losses that other VMs report regularly, sorted by fingerprint and VM.
    others: Vec<LossReport>,
    /// Losses that other VMs sent at once, ahead of their regular reports, by time of arrival.
    notices: Vec<(Instant, LossReport)>,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    fingerprint: u64,
    losses: u32,
    last_loss: Instant,
}

/// Losses of one request, as counted by one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossReport {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Hash of the VM that counts them.
    pub node: u64,
    /// Upstreams lost while it was in flight there.
    pub losses: u32,
}

impl Suspects {
    /// Records that an upstream was lost while the request was in flight there. Returns the
    /// losses of the request seen on this VM.
    pub fn record_loss(&mut self, now: Instant, fingerprint: u64) -> u32 {
        self.drop_expired(now);
        match self.find(fingerprint) {
            Ok(index) => {
                let suspect = &mut self.own[index];
                suspect.losses += 1;
                suspect.last_loss = now;
                suspect.losses
            }
            Err(index) => {
                let suspect = Suspect {
                    fingerprint,
                    losses: 1,
                    last_loss: now,
                };
                self.own.insert(index, suspect);
                self.drop_oldest();
                1
            }
        }
    }

    /// Clears the request after a full answer: it did not cause the losses.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Ok(index) = self.find(fingerprint) {
            self.own.remove(index);
        }
    }

    /// Replaces the reports of other VMs; `reports` may be in any order.
    pub fn set_reports(&mut self, mut reports: Vec<LossReport>) {
        reports.sort_unstable();
        self.others = reports;
    }

    /// Adds a notice that another VM sent ahead of its report.
    pub fn add_notice(&mut self, now: Instant, notice: LossReport) {
        self.notices
            .retain(|(received_at, _)| now < *received_at + NOTICE_VALID_FOR);
        if self.notices.len() < MAX_SUSPECTS {
            self.notices.push((now, notice));
        }
    }

    /// Restriction under which the request may run now.
    #[must_use]
    pub fn isolation(&self, now: Instant, fingerprint: u64) -> Isolation {
        let own = self.own_suspect(now, fingerprint);
        let losses = self.losses(now, fingerprint);
        if losses >= LOSSES_TO_QUARANTINE {
            let until = own.map_or(now, |suspect| suspect.last_loss) + SUSPICION_EXPIRY;
            Isolation::Quarantined(until.saturating_duration_since(now))
        } else if losses >= LOSSES_TO_ISOLATE {
            Isolation::Alone
        } else {
            Isolation::Free
        }
    }

    /// Losses of the request on all VMs.
    #[must_use]
    pub fn losses(&self, now: Instant, fingerprint: u64) -> u32 {
        let own = self.own_suspect(now, fingerprint);
        own.map_or(0, |suspect| suspect.losses) + self.losses_elsewhere(now, fingerprint)
    }

    /// Reports for other VMs; `node` is the hash of this VM.
    #[must_use]
    pub fn reports(&self, now: Instant, node: u64) -> Vec<LossReport> {
        let current = self
            .own
            .iter()
            .filter(|suspect| now < suspect.last_loss + SUSPICION_EXPIRY);
        let reported = current.map(|suspect| LossReport {
            fingerprint: suspect.fingerprint,
            node,
            losses: suspect.losses,
        });
        reported.collect()
    }

    /// Losses on other VMs: the sum over VMs of the larger of report and notice.
    fn losses_elsewhere(&self, now: Instant, fingerprint: u64) -> u32 {
        let start = self
            .others
            .partition_point(|reported| reported.fingerprint < fingerprint);
        let reported = self.others[start..].iter().copied();
        let current =
            |(received_at, _): &&(Instant, LossReport)| now < *received_at + NOTICE_VALID_FOR;
        let noticed = self
            .notices
            .iter()
            .filter(current)
            .map(|(_, notice)| *notice);
        let mut counts: Vec<LossReport> = reported
            .take_while(|reported| reported.fingerprint == fingerprint)
            .chain(noticed.filter(|notice| notice.fingerprint == fingerprint))
            .collect();
        counts.sort_unstable_by_key(|count| (count.node, std::cmp::Reverse(count.losses)));
        counts.dedup_by_key(|count| count.node);
        counts.iter().map(|count| count.losses).sum()
    }

    fn own_suspect(&self, now: Instant, fingerprint: u64) -> Option<Suspect> {
        let own = self.find(fingerprint).ok().map(|index| self.own[index]);
        own.filter(|suspect| now < suspect.last_loss + SUSPICION_EXPIRY)
    }

    fn find(&self, fingerprint: u64) -> Result<usize, usize> {
        self.own
            .binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }

    fn drop_expired(&mut self, now: Instant) {
        self.own
            .retain(|suspect| now < suspect.last_loss + SUSPICION_EXPIRY);
    }

    fn drop_oldest(&mut self) {
        if self.own.len() <= MAX_SUSPECTS {
            return;
        }
        let suspects = self.own.iter().enumerate();
        let oldest = suspects.min_by_key(|(_, suspect)| suspect.last_loss);
        if let Some((index, _)) = oldest {
            self.own.remove(index);
        }
    }
}
