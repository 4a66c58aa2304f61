//! Room that lower work leaves free for higher work.
//!
//! **Load:** training, whose demand has no end and whose drafts run for many
//! seconds, beside live calls that come in bursts; long live answers beside
//! short ones. **Without it:** lower work takes every slot that falls free, and a
//! live call waits for a draft to end. A fixed part kept free instead is too
//! much at night and too little in a burst. **How:** the concurrency of the
//! higher work is followed, and room for it is kept; room for its variation as well,
//! the more the longer lower work holds its slots.

/// Share of a change that one look takes over: three seconds. Quicker, it follows
/// the peaks of ordinary variation, which the deviation below already covers.
const STEP: f64 = 0.03;

/// Standard deviations kept free where no slot falls free soon: concurrency of
/// independent calls varies with the root of its mean, and one and a half covers
/// nine looks of ten.
const DEVIATIONS: f64 = 1.5;

/// Waiting for a slot this long, in service times of the work that is waited
/// for, asks for all deviations; a shorter wait for fewer.
const LONG_WAIT: f64 = 0.5;

/// Follows the concurrency of one kind of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reserve {
    mean: f64,
}

impl Reserve {
    /// Takes in how much of the work runs and waits.
    pub fn look(&mut self, running_and_waiting: u32) {
        let seen = f64::from(running_and_waiting);
        self.mean += (seen - self.mean) * STEP;
    }

    /// Slots that this work uses on average.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Slots to keep for this work, those that it holds included, if the next
    /// slot of lower work falls free after `wait` service times of this work.
    #[must_use]
    pub fn slots(&self, wait: f64) -> u32 {
        let deviations = DEVIATIONS * (wait / LONG_WAIT).min(1.0);
        (self.mean + deviations * self.mean.sqrt()).round() as u32
    }
}
