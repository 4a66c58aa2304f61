//! In which order the samples of a trainer's step are drafted.
//!
//! **Load:** a step of hundreds of samples, more than the engines run at once; one in
//! twelve takes five times as long as the usual one; the trainer waits for nine groups
//! of ten. **Without it:** a long sample that starts among the last makes the step as
//! late as it is long, and slots go to groups that the trainer need not wait for.
//! **How:** the longest samples by their trainer's estimate start first. The groups
//! with the longest samples beyond those the trainer waits for go after all others.

/// A group that the trainer need not wait for counts as if it had come this much
/// later: by then the samples of the next step have begun.
const SURPLUS_LATER_MS: u64 = 5_000;

/// Bits of a rank for the length of a sample.
const LENGTH_BITS: u32 = 20;

/// What is known of one sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Number of its group, in the trainer's order.
    pub group: usize,
    /// Tokens of its answer as the trainer estimates them.
    pub expected_tokens: u32,
}

/// Ranks of the samples of a step that came at `accepted_ms`; the lowest goes first.
///
/// Groups that come again from an earlier step stand first, take at most half of
/// `target_groups`, and are waited for in any case: they are never surplus.
#[must_use]
pub fn ranks(samples: &[Sample], target_groups: usize, accepted_ms: u64) -> Vec<u64> {
    let groups = samples
        .iter()
        .map(|sample| sample.group + 1)
        .max()
        .unwrap_or(0);
    let mut longest = vec![0; groups];
    for sample in samples {
        longest[sample.group] = longest[sample.group].max(sample.expected_tokens);
    }
    let mut by_length: Vec<usize> = (target_groups.div_ceil(2).min(groups)..groups).collect();
    by_length.sort_by_key(|group| std::cmp::Reverse(longest[*group]));
    by_length.truncate(groups.saturating_sub(target_groups));
    let rank = |sample: &Sample| {
        let surplus = by_length.contains(&sample.group);
        let came_ms = accepted_ms + if surplus { SURPLUS_LATER_MS } else { 0 };
        let longest = (1 << LENGTH_BITS) - 1;
        let length = u64::from(sample.expected_tokens).min(longest);
        (came_ms << LENGTH_BITS) | (longest - length)
    };
    samples.iter().map(rank).collect()
}
