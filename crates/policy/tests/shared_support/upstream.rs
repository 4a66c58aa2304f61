//! Simulated upstream that runs a few calls at a time, queues some and refuses the rest.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::work::ReportedLoad;
use firweir_policy::work::WorkKey;

pub const SLOTS: usize = 6;
const MAX_QUEUED: usize = 24;
const SERVICE_TIME: Duration = Duration::from_millis(25);

pub struct Running {
    work: WorkKey,
    ends: Instant,
}

#[derive(Default)]
pub struct Upstream {
    pub running: Vec<Running>,
    waiting: VecDeque<WorkKey>,
    /// Factor by which calls that start from now on take longer.
    pub slow_factor: u32,
    pub arrivals: u32,
}

impl Upstream {
    pub fn new() -> Self {
        Self {
            slow_factor: 1,
            ..Self::default()
        }
    }

    /// Runs or queues the call; false if the queue is full.
    pub fn arrive(&mut self, now: Instant, work: WorkKey) -> bool {
        self.arrivals += 1;
        if self.running.len() >= SLOTS && self.waiting.len() >= MAX_QUEUED {
            return false;
        }
        self.waiting.push_back(work);
        self.start_waiting(now);
        true
    }

    pub fn reported_load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            time_percent: None,
        }
    }

    pub fn end_due(&mut self, now: Instant) -> Option<WorkKey> {
        let at = self.running.iter().position(|held| held.ends <= now)?;
        Some(self.running.swap_remove(at).work)
    }

    pub fn start_waiting(&mut self, now: Instant) {
        while self.running.len() < SLOTS {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            let ends = now + SERVICE_TIME * self.slow_factor;
            self.running.push(Running { work, ends });
        }
    }
}
