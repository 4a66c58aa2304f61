//! Which requests are suspected of crashing the upstreams that run them.
//!
//! **Load:** one request that crashes each upstream that runs it, retried here
//! and sent again by its caller to other VMs. **Without it:** each try costs one
//! more upstream until the service is gone.
//!
//! A request is counted once for each upstream whose connection broke while it
//! was in flight there. Those that merely shared the upstream are counted as
//! well; an answer clears them. After two losses a request is tried alone, so
//! that the next loss is its own, and after three it is quarantined.

use std::time::Duration;
use std::time::Instant;

/// Losses from which a request runs only by itself. One is what every bystander
/// of a crash has; two by chance is rare.
pub const ALONE_FROM: u32 = 2;

/// Losses from which a request is not run any more: the users allow three
/// upstreams in the whole fleet.
pub const QUARANTINE_FROM: u32 = 3;

/// A suspicion ends this long after its last loss: the upstreams may have been
/// mended meanwhile, and a caller that still resends costs three more at most.
pub const CLEAR_AFTER: Duration = Duration::from_secs(600);

/// Suspects that are kept; the one with the oldest loss goes first. A crash
/// leaves as many as its upstream had in flight, some hundreds.
pub const SUSPECTS: usize = 4_096;

/// A notice counts for so long; the report that follows it has arrived by then.
const NOTICE_LIFE: Duration = Duration::from_secs(30);

/// A request after two losses comes back after this: the counts reach all VMs
/// meanwhile.
pub const SPREAD_TIME: Duration = Duration::from_secs(5);

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// As any other.
    Free,
    /// With no other suspect beside it, and without a retry.
    Alone,
    /// Not at all, for this long.
    Quarantined(Duration),
}

/// Requests in flight as upstreams were lost, here and at other VMs.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Losses seen here, sorted by fingerprint.
    own: Vec<Case>,
    /// Losses that other VMs report, sorted by fingerprint and VM.
    others: Vec<Reported>,
    /// Losses that other VMs told this one of directly, ahead of their reports.
    notices: Vec<(Instant, Reported)>,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    fingerprint: u64,
    lost: u32,
    last_loss: Instant,
}

/// Losses of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reported {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Hash of the VM that counts them.
    pub node: u64,
    /// Upstreams lost while it was in flight there.
    pub lost: u32,
}

impl Suspects {
    /// An upstream was lost while the request was in flight there. Gives the
    /// losses seen here.
    pub fn lost(&mut self, now: Instant, fingerprint: u64) -> u32 {
        self.clear(now);
        match self.position(fingerprint) {
            Ok(found) => {
                let case = &mut self.own[found];
                case.lost += 1;
                case.last_loss = now;
                case.lost
            }
            Err(place) => {
                let case = Case {
                    fingerprint,
                    lost: 1,
                    last_loss: now,
                };
                self.own.insert(place, case);
                self.drop_oldest();
                1
            }
        }
    }

    /// The request was answered in full: it was a bystander.
    pub fn answered(&mut self, fingerprint: u64) {
        if let Ok(found) = self.position(fingerprint) {
            self.own.remove(found);
        }
    }

    /// Takes in what other VMs report, in any order.
    pub fn take_reports(&mut self, mut reports: Vec<Reported>) {
        reports.sort_unstable();
        self.others = reports;
    }

    /// Takes in what another VM tells directly.
    pub fn take_notice(&mut self, now: Instant, notice: Reported) {
        self.notices.retain(|(told, _)| now < *told + NOTICE_LIFE);
        if self.notices.len() < SUSPECTS {
            self.notices.push((now, notice));
        }
    }

    /// How the request may run now.
    #[must_use]
    pub fn standing(&self, now: Instant, fingerprint: u64) -> Standing {
        let own = self.position(fingerprint).ok().map(|found| self.own[found]);
        let own = own.filter(|case| now < case.last_loss + CLEAR_AFTER);
        let lost = own.map_or(0, |case| case.lost) + self.lost_elsewhere(now, fingerprint);
        if lost >= QUARANTINE_FROM {
            let until = own.map_or(now, |case| case.last_loss) + CLEAR_AFTER;
            Standing::Quarantined(until.saturating_duration_since(now))
        } else if lost >= ALONE_FROM {
            Standing::Alone
        } else {
            Standing::Free
        }
    }

    /// What this VM reports to others.
    #[must_use]
    pub fn reports(&self, now: Instant, node: u64) -> Vec<Reported> {
        let current = self
            .own
            .iter()
            .filter(|case| now < case.last_loss + CLEAR_AFTER);
        let reported = current.map(|case| Reported {
            fingerprint: case.fingerprint,
            node,
            lost: case.lost,
        });
        reported.collect()
    }

    /// The larger of report and notice for each VM, summed.
    fn lost_elsewhere(&self, now: Instant, fingerprint: u64) -> u32 {
        let start = self
            .others
            .partition_point(|reported| reported.fingerprint < fingerprint);
        let reported = self.others[start..].iter().copied();
        let current = |(told, _): &&(Instant, Reported)| now < *told + NOTICE_LIFE;
        let noticed = self
            .notices
            .iter()
            .filter(current)
            .map(|(_, notice)| *notice);
        let mut counts: Vec<Reported> = reported
            .take_while(|reported| reported.fingerprint == fingerprint)
            .chain(noticed.filter(|notice| notice.fingerprint == fingerprint))
            .collect();
        counts.sort_unstable_by_key(|count| (count.node, std::cmp::Reverse(count.lost)));
        counts.dedup_by_key(|count| count.node);
        counts.iter().map(|count| count.lost).sum()
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.own
            .binary_search_by_key(&fingerprint, |case| case.fingerprint)
    }

    fn clear(&mut self, now: Instant) {
        self.own.retain(|case| now < case.last_loss + CLEAR_AFTER);
    }

    fn drop_oldest(&mut self) {
        if self.own.len() <= SUSPECTS {
            return;
        }
        let cases = self.own.iter().enumerate();
        let oldest = cases.min_by_key(|(_, case)| case.last_loss);
        if let Some((index, _)) = oldest {
            self.own.remove(index);
        }
    }
}
