//! What an entry asks of services: what it reports to the other VMs, and what it
//! reads from their reports.

use std::cell::RefCell;

use firweir_policy::work::EntryDemands;

use crate::version::view::Demand;
use crate::version::view::MemberState;
use crate::version::view::Observed;
use crate::version::view::View;

/// A demand is reported anew when it has changed by more than this factor:
/// each report makes all VMs exchange and publish it, and shares that follow
/// every call would cost more than they bring.
const REPORT_FACTOR: f64 = 1.5;

/// Changes among this few requests are not worth a report.
const REPORT_LEAST: f64 = 4.0;

/// Part of a demand that is left after each look (half a second): a quiet
/// moment between two steps of a feed does not give its slots away.
const KEPT: f64 = 0.85;

/// The demands last reported, and the recent highest ones.
#[derive(Debug, Default)]
pub struct Demands {
    reported: RefCell<Vec<Demand>>,
    recent: RefCell<Vec<Demand>>,
}

impl Demands {
    /// The report for the present demands; the last one while they differ little.
    pub fn observe(&self, present: Vec<Demand>) -> Observed {
        let present = self.recent_highest(present);
        let mut reported = self.reported.borrow_mut();
        let same = reported.len() == present.len()
            && reported
                .iter()
                .zip(&present)
                .all(|(old, new)| is_near(old, new));
        if !same {
            *reported = present;
        }
        Observed {
            demands: reported.clone(),
            ..Observed::default()
        }
    }
}

impl Demands {
    fn recent_highest(&self, mut present: Vec<Demand>) -> Vec<Demand> {
        let mut recent = self.recent.borrow_mut();
        for demand in &mut present {
            let held = recent.iter().find(|held| held.service == demand.service);
            let faded = |count: u32| (f64::from(count) * KEPT) as u32;
            if let Some(held) = held {
                demand.in_flight = demand.in_flight.max(faded(held.in_flight));
                demand.waiting = demand.waiting.max(faded(held.waiting));
            }
        }
        recent.clone_from(&present);
        present
    }
}

fn is_near(old: &Demand, new: &Demand) -> bool {
    let sum = |demand: &Demand| f64::from(demand.in_flight + demand.waiting) + REPORT_LEAST;
    let factor = sum(new) / sum(old);
    old.service == new.service && (1.0 / REPORT_FACTOR..=REPORT_FACTOR).contains(&factor)
}

/// How the entries share the upstreams of one service.
#[derive(Debug)]
pub struct Sharing {
    demands: Vec<u32>,
    rank: usize,
    known: usize,
}

impl Sharing {
    /// What the view says, for this VM and service.
    #[must_use]
    pub fn of(view: &View, node: &str, service: &str) -> Self {
        let mut demands = Vec::new();
        let mut rank = 0;
        for member in view.live_members() {
            if member.node == node {
                rank = demands.len();
            }
            demands.push(demand_of(view, &member.node, service));
        }
        // A VM that left on purpose is no sign of a cut.
        let stayed = |state| state != MemberState::Leaving;
        let known = view.members.iter().filter(|member| stayed(member.state));
        Self {
            known: known.count().max(1),
            demands,
            rank,
        }
    }

    /// As the dispatcher takes it.
    #[must_use]
    pub fn fleet(&self) -> EntryDemands<'_> {
        EntryDemands {
            demands: &self.demands,
            rank: self.rank,
            known_entries: self.known,
        }
    }
}

fn demand_of(view: &View, node: &str, service: &str) -> u32 {
    let report = view
        .observed
        .binary_search_by(|report| report.node.as_str().cmp(node));
    let Ok(at) = report else {
        return 0;
    };
    let demands = view.observed[at].demands.iter();
    demands
        .filter(|demand| demand.service == service)
        .map(|demand| demand.in_flight + demand.waiting)
        .sum()
}
