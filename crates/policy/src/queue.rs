//! First-come queue that drops work whose deadline has passed.

use std::collections::VecDeque;
use std::time::Instant;

use crate::work::Work;
use crate::work::WorkKey;

/// Work that waits for room at an upstream.
#[derive(Debug, Default)]
pub struct WorkQueue {
    waiting: VecDeque<Work>,
    expired: VecDeque<WorkKey>,
}

impl WorkQueue {
    /// Adds work behind all that waits.
    pub fn push(&mut self, work: Work) {
        self.waiting.push_back(work);
    }

    /// Puts back work that was taken and found no room.
    pub fn push_front(&mut self, work: Work) {
        self.waiting.push_front(work);
    }

    /// Takes the oldest work that can still be answered in time.
    pub fn pop(&mut self, now: Instant) -> Option<Work> {
        let expired = &mut self.expired;
        self.waiting.retain(|work| {
            let in_time = work.deadline > now;
            if !in_time {
                expired.push_back(work.key);
            }
            in_time
        });
        self.waiting.pop_front()
    }

    /// Takes the name of work whose deadline passed while it waited.
    pub fn pop_expired(&mut self) -> Option<WorkKey> {
        self.expired.pop_front()
    }

    /// Forgets work that no one waits for.
    pub fn remove(&mut self, key: WorkKey) {
        self.waiting.retain(|work| work.key != key);
    }

    /// Work that waits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
