//! Orders the samples of a trainer's step by their expected length, longest first.
//!
//! A step has hundreds of samples, more than the engines run at once. One in twelve takes five
//! times as long as a typical one, and the trainer waits for nine groups of ten. A long sample
//! that starts among the last would delay the step by its full length, and slots would go to
//! surplus groups, which the trainer need not wait for.
//!
//! The samples with the largest length estimates of the trainer therefore start first. The
//! surplus groups are those with the longest samples; they start after all others.

/// Delay of surplus groups in the order: by then the samples of the next step have started.
const SURPLUS_DELAY_MS: u64 = 5_000;

/// Number of low bits of a rank that hold the length of the sample.
const LENGTH_BITS: u32 = 20;

/// A sample of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Index of its group within the step, in the trainer's order.
    pub group: usize,
    /// The trainer's estimate of the answer length in tokens; 0 if there is none.
    pub expected_tokens: u32,
}

/// Ranks of the samples of a step that was accepted at `accepted_ms`, in milliseconds since the
/// Unix epoch; the lowest goes first.
///
/// Groups carried over from an earlier step have the lowest indices, are at most half of
/// `target_groups`, and are never surplus.
#[must_use]
pub fn rank_by_length(samples: &[Sample], target_groups: usize, accepted_ms: u64) -> Vec<u64> {
    let groups = samples
        .iter()
        .map(|sample| sample.group + 1)
        .max()
        .unwrap_or(0);
    let mut longest = vec![0; groups];
    for sample in samples {
        longest[sample.group] = longest[sample.group].max(sample.expected_tokens);
    }
    let mut surplus: Vec<usize> = (target_groups.div_ceil(2).min(groups)..groups).collect();
    surplus.sort_by_key(|group| std::cmp::Reverse(longest[*group]));
    surplus.truncate(groups.saturating_sub(target_groups));
    let rank = |sample: &Sample| {
        let is_surplus = surplus.contains(&sample.group);
        let start_ms = accepted_ms + if is_surplus { SURPLUS_DELAY_MS } else { 0 };
        let max_length = (1 << LENGTH_BITS) - 1;
        let length = u64::from(sample.expected_tokens).min(max_length);
        (start_ms << LENGTH_BITS) | (max_length - length)
    };
    samples.iter().map(rank).collect()
}
