//! Which sample of a step starts first, and when a draft goes on elsewhere.
//!
//! **Load:** a step is whole only with its last sample. A few samples are many
//! times as long as the rest, engines crash in the middle of them, and the entry
//! that hands them on may freeze or die. **Without it:** a long sample that is
//! lost near its end starts again from nothing and adds its whole length to the
//! step; one that starts last runs alone while every other engine idles; one
//! whose entry is frozen is waited for until its timeout.
//!
//! A draft goes on from its text so far, and is never drawn again because it is
//! long: drawing again until an answer is short would hand the trainer shorter
//! samples than its model makes.

use std::time::Duration;
use std::time::Instant;

/// Time between two reports of an entry on one draft. Two seconds of text are
/// what the death of an entry costs a sample; a report carries only new text.
pub const REPORT_EVERY: Duration = Duration::from_secs(2);

/// An entry that has not reported for this long is taken for dead: three reports
/// in a row were lost, which a slow network or a busy entry does not explain.
pub const ENTRY_SILENT: Duration = Duration::from_secs(7);

/// An engine that has sent nothing for this long is taken for stuck. Taking in a
/// long prompt and swapping weights together stay below it; a full batch makes a
/// chunk take about a second.
pub const ENGINE_SILENT: Duration = Duration::from_secs(10);

/// Engines that an entry asks for one draft, one after the other: one may crash
/// and the next may still lack the weights. More is the sign of a prompt that
/// fells engines, and the feed waits before it hands that one on again.
const ENGINES: u32 = 3;

/// Samples of a step that may be moved away from a silent entry, in percent:
/// twice the share of one VM in nine, so that the loss of one VM is always made
/// good, while silence everywhere does not double the load.
const MOVES_PERCENT: usize = 25;

/// Moves that even a small step has.
const MOVES_LEAST: usize = 4;

/// Prompts whose length is remembered, the newest ones.
const PROMPTS_KNOWN: usize = 16_384;

/// Weight of the newest length: the model changes with each step, and so do its
/// answers; about four answers make the estimate.
const NEWEST_WEIGHT: f64 = 0.25;

/// What is done about stragglers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// A draft that broke off goes on from its text so far.
    pub resumes: bool,
    /// Samples that are expected to be long start first.
    pub longest_first: bool,
    /// Drafts are taken away from entries that fall silent.
    pub leaves_silent: bool,
    /// Engines that an entry may ask for one draft.
    pub engines: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            resumes: true,
            longest_first: true,
            leaves_silent: true,
            engines: ENGINES,
        }
    }
}

impl Rules {
    /// Every sample in its order, and from the start again if it broke off.
    pub const PLAIN: Self = Self {
        resumes: false,
        longest_first: false,
        leaves_silent: false,
        engines: 1,
    };

    /// Moves that a step of this many samples may make.
    #[must_use]
    pub const fn moves(&self, samples: usize) -> usize {
        if !self.leaves_silent {
            return 0;
        }
        let share = samples * MOVES_PERCENT / 100;
        if share > MOVES_LEAST {
            share
        } else {
            MOVES_LEAST
        }
    }
}

/// A draft that was last heard of then is taken away, if a move is left.
#[must_use]
pub fn is_silent(last_heard: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last_heard) >= ENTRY_SILENT
}

#[derive(Debug, Clone, Copy)]
struct Known {
    prompt: u64,
    tokens: f64,
    learnt: u64,
}

/// Lengths of answers, learnt by prompt.
#[derive(Debug, Default)]
pub struct Lengths {
    /// Sorted by prompt.
    known: Vec<Known>,
    learnt: u64,
    mean_tokens: f64,
}

impl Lengths {
    /// An answer to this prompt had this many tokens.
    pub fn learn(&mut self, prompt: u64, tokens: u32) {
        let tokens = f64::from(tokens);
        self.learnt += 1;
        let learnt = self.learnt;
        self.mean_tokens = if learnt == 1 {
            tokens
        } else {
            blend(self.mean_tokens, tokens)
        };
        match self.position(prompt) {
            Ok(position) => {
                let known = &mut self.known[position];
                known.tokens = blend(known.tokens, tokens);
                known.learnt = learnt;
            }
            Err(position) => {
                let known = Known {
                    prompt,
                    tokens,
                    learnt,
                };
                self.known.insert(position, known);
                self.forget_oldest();
            }
        }
    }

    /// Tokens that an answer to this prompt is expected to have; the mean of all
    /// where the prompt is not known.
    #[must_use]
    pub fn expected_tokens(&self, prompt: u64) -> f64 {
        let known = self.position(prompt).ok();
        known.map_or(self.mean_tokens, |position| self.known[position].tokens)
    }

    /// Positions of these prompts, the longest expected answer first; equals keep
    /// their order.
    #[must_use]
    pub fn longest_first(&self, prompts: &[u64]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..prompts.len()).collect();
        order.sort_by(|left, right| {
            let expected = |index: usize| self.expected_tokens(prompts[index]);
            expected(*right).total_cmp(&expected(*left))
        });
        order
    }

    fn position(&self, prompt: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&prompt, |known| known.prompt)
    }

    fn forget_oldest(&mut self) {
        if self.known.len() > PROMPTS_KNOWN {
            let floor = self.learnt - (PROMPTS_KNOWN / 2) as u64;
            self.known.retain(|known| known.learnt > floor);
        }
    }
}

fn blend(old: f64, newest: f64) -> f64 {
    old + NEWEST_WEIGHT * (newest - old)
}
