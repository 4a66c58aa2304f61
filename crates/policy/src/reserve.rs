//! Room that lower work leaves free for higher work.
//!
//! **Load:** training, whose demand has no end and whose drafts run for many
//! seconds, beside live calls that come in bursts; long live answers beside
//! short ones. **Without it:** lower work takes every slot that falls free, and a
//! live call waits for a draft to end. A fixed part kept free instead is too
//! much at night and too little in a burst. **How:** the concurrency of the
//! higher work is followed, quickly up and slowly down, and room for it and its
//! usual variation is kept.

/// Share of a rise that one look takes over: two seconds. Quicker, it follows
/// the peaks of ordinary variation, which the deviation below already covers.
const RISE: f64 = 0.05;

/// Share of a fall that one look takes over: five seconds, longer than the gaps
/// between calls of a quiet service.
const FALL: f64 = 0.02;

/// Standard deviations kept free: concurrency of independent calls varies with
/// the root of its mean, and one covers five looks of six; the rest is caught by
/// slots that fall free within a fraction of a draft.
const DEVIATIONS: f64 = 1.0;

/// Follows the concurrency of one kind of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reserve {
    mean: f64,
}

impl Reserve {
    /// Takes in how much of the work runs and waits.
    pub fn look(&mut self, running_and_waiting: u32) {
        let seen = f64::from(running_and_waiting);
        let part = if seen > self.mean { RISE } else { FALL };
        self.mean += (seen - self.mean) * part;
    }

    /// Slots to keep for this work, those that it holds included.
    #[must_use]
    pub fn slots(&self) -> u32 {
        if self.mean < 0.01 {
            return 0;
        }
        (self.mean + DEVIATIONS * self.mean.sqrt()).ceil() as u32
    }
}
