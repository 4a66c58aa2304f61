//! Mitigation of stragglers: which sample of a step starts first, and when a draft (the
//! generation of one sample) is moved to another entry or engine.
//!
//! A step is complete only with its last sample. A few samples are many times as long as the
//! others, engines crash in the middle of them, and the entry (the process that forwards a draft
//! to engines) may freeze or die. Without mitigation, a long sample that is lost near its end
//! starts again from nothing and adds its full length to the step; one that starts last runs
//! alone while all other engines idle; and one whose entry is frozen is waited for until its
//! timeout.
//!
//! A moved draft continues from its text so far. A draft is never sampled again because it is
//! long: resampling until an answer is short would bias the trainer's samples towards short ones.

use std::time::Duration;
use std::time::Instant;

/// Interval at which an entry reports the new text of a draft. If an entry dies, a sample loses
/// at most the text of one interval.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a report after which an entry is considered dead: three reports in a row are
/// missing, which a slow network or a busy entry does not explain.
pub const ENTRY_REPORT_TIMEOUT: Duration = Duration::from_secs(7);

/// Time without output after which an engine is considered stuck. Prefill of a long prompt plus
/// a change of weights take less; with a full batch, a chunk takes about a second.
pub const ENGINE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of engines that an entry tries for one draft, one after the other: one may
/// crash and the next may still lack the weights. If more fail, the prompt probably crashes
/// engines, and the feed waits before it sends that draft again.
const MAX_ENGINES_PER_DRAFT: u32 = 3;

/// Maximum share of a step's samples that may be moved away from silent entries, in percent.
/// It is twice the share of one VM in nine, so that the loss of one VM is always covered, while
/// silence of all entries does not double the load.
const MAX_MOVES_PERCENT: usize = 25;

/// Number of moves that any step may make, however small.
const MIN_MOVES: usize = 4;

/// Number of prompts whose answer length is remembered, the newest ones.
const MAX_PROMPTS: usize = 16_384;

/// Weight of the newest length, for a mean over about four answers: the model changes with each
/// step, and so do its answers.
const NEWEST_WEIGHT: f64 = 0.25;

/// Which measures against stragglers are enabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StragglerPolicy {
    /// Whether an interrupted draft continues from its text so far.
    pub resumes: bool,
    /// Whether samples that are expected to be long start first.
    pub longest_first: bool,
    /// Whether drafts are moved away from entries that stop reporting.
    pub abandons_silent_entries: bool,
    /// Maximum number of engines that an entry tries for one draft.
    pub engines_per_draft: u32,
}

impl Default for StragglerPolicy {
    fn default() -> Self {
        Self {
            resumes: true,
            longest_first: true,
            abandons_silent_entries: true,
            engines_per_draft: MAX_ENGINES_PER_DRAFT,
        }
    }
}

impl StragglerPolicy {
    /// All measures off: samples start in their given order, and an interrupted draft starts
    /// again from nothing.
    pub const DISABLED: Self = Self {
        resumes: false,
        longest_first: false,
        abandons_silent_entries: false,
        engines_per_draft: 1,
    };

    /// Maximum number of moves away from silent entries in a step of this many samples.
    #[must_use]
    pub const fn max_moves(&self, samples: usize) -> usize {
        if !self.abandons_silent_entries {
            return 0;
        }
        let share = samples * MAX_MOVES_PERCENT / 100;
        if share > MIN_MOVES { share } else { MIN_MOVES }
    }
}

/// Whether an entry that last reported at `last_heard` is considered dead, so that its draft is
/// moved if the step has a move left.
#[must_use]
pub fn is_silent(last_heard: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last_heard) >= ENTRY_REPORT_TIMEOUT
}

#[derive(Debug, Clone, Copy)]
struct PromptLength {
    /// Hash of the prompt.
    prompt: u64,
    /// Mean length of its answers.
    tokens: f64,
    /// Value of [`PromptLengths::recorded`] at its newest answer.
    recorded: u64,
}

/// Estimates the length of answers by prompt.
#[derive(Debug, Default)]
pub struct PromptLengths {
    /// Sorted by prompt.
    by_prompt: Vec<PromptLength>,
    /// Number of answers recorded so far.
    recorded: u64,
    mean_tokens: f64,
}

impl PromptLengths {
    /// Records that an answer to the prompt with this hash had this many tokens.
    pub fn record_answer(&mut self, prompt: u64, tokens: u32) {
        let tokens = f64::from(tokens);
        self.recorded += 1;
        let recorded = self.recorded;
        self.mean_tokens = if recorded == 1 {
            tokens
        } else {
            moving_average(self.mean_tokens, tokens)
        };
        match self.position(prompt) {
            Ok(position) => {
                let known = &mut self.by_prompt[position];
                known.tokens = moving_average(known.tokens, tokens);
                known.recorded = recorded;
            }
            Err(position) => {
                let known = PromptLength {
                    prompt,
                    tokens,
                    recorded,
                };
                self.by_prompt.insert(position, known);
                self.forget_oldest();
            }
        }
    }

    /// Expected number of tokens of an answer to this prompt; the mean of all answers if the
    /// prompt is not known.
    #[must_use]
    pub fn expected_tokens(&self, prompt: u64) -> f64 {
        let known = self.position(prompt).ok();
        known.map_or(self.mean_tokens, |position| self.by_prompt[position].tokens)
    }

    /// Indices into `prompts`, the longest expected answer first; prompts with equal expectations
    /// keep their order.
    #[must_use]
    pub fn order_longest_first(&self, prompts: &[u64]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..prompts.len()).collect();
        order.sort_by(|left, right| {
            let expected = |index: usize| self.expected_tokens(prompts[index]);
            expected(*right).total_cmp(&expected(*left))
        });
        order
    }

    fn position(&self, prompt: u64) -> Result<usize, usize> {
        self.by_prompt
            .binary_search_by_key(&prompt, |known| known.prompt)
    }

    fn forget_oldest(&mut self) {
        if self.by_prompt.len() > MAX_PROMPTS {
            let floor = self.recorded - (MAX_PROMPTS / 2) as u64;
            self.by_prompt.retain(|known| known.recorded > floor);
        }
    }
}

fn moving_average(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_WEIGHT * (newest - mean)
}
