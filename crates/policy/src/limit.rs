//! How much of the configured limit of an upstream is used.
//!
//! **Load:** engines whose time per token grows with their batch, and a limit
//! that operators set for another model or other prompts. **Without it:** a batch
//! as large as the limit allows makes each live answer late, with the queue
//! empty and nothing to refuse. **How:** the part of live answers that use up
//! most of their time is watched; too many cut the limit at once by a part,
//! none of them raise it step by step (additive increase, multiplicative decrease).

use std::time::Duration;
use std::time::Instant;

/// An answer that took more of its time than this was nearly late.
const NEARLY_LATE: f64 = 0.8;

/// More answers than this part nearly late: four times the part that may be late.
const TOO_MANY: f64 = 0.02;

/// Time between two judgements; a cut shows after about one service time.
const EVERY: Duration = Duration::from_secs(2);

/// Answers that a judgement needs; fewer are carried over to the next.
const ANSWERS: u32 = 20;

/// What a cut leaves.
const CUT: f64 = 0.8;

/// What a judgement without lateness adds.
const RAISE: f64 = 0.03;

/// The limit is never cut below this part: live work alone has to fit.
const LEAST: f64 = 0.2;

/// Part of the limit that is in use.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    part: f64,
    answers: u32,
    nearly_late: u32,
    judged: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            part: 1.0,
            answers: 0,
            nearly_late: 0,
            judged: None,
        }
    }
}

impl Limit {
    /// A live call ended after this part of the time that it had.
    pub fn ended(&mut self, elapsed: Duration, patience: Duration) {
        self.answers += 1;
        let late = elapsed.as_secs_f64() > patience.as_secs_f64() * NEARLY_LATE;
        self.nearly_late += u32::from(late);
    }

    /// Judges what ended since the last time.
    pub fn tick(&mut self, now: Instant) {
        let judged = *self.judged.get_or_insert(now);
        if now.duration_since(judged) < EVERY {
            return;
        }
        self.judged = Some(now);
        let late = f64::from(self.nearly_late) > f64::from(self.answers) * TOO_MANY;
        if late && self.answers >= ANSWERS {
            self.part = (self.part * CUT).max(LEAST);
        } else if !late {
            self.part = (self.part + RAISE).min(1.0);
        }
        if !late || self.answers >= ANSWERS {
            self.answers = 0;
            self.nearly_late = 0;
        }
    }

    /// The limit in use, of the configured one.
    #[must_use]
    pub fn of(&self, configured: f64) -> f64 {
        configured * self.part
    }
}
