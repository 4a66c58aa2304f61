//! What a call will cost, as far as its body tells.

use serde::Deserialize;

/// Bytes of text per token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The part of an engine call that bounds its answer. Other calls lack it.
#[derive(Debug, Default, Deserialize)]
struct Longest {
    #[serde(default)]
    max_tokens: u32,
}

/// Estimated cost of a call in tokens: the body taken in, and the longest answer
/// where the body names one.
#[must_use]
pub fn estimate_tokens(body: &[u8]) -> u32 {
    let longest: Longest = serde_json::from_slice(body).unwrap_or_default();
    let taken_in = (body.len() / BYTES_PER_TOKEN) as u32;
    longest.max_tokens.saturating_add(taken_in)
}
