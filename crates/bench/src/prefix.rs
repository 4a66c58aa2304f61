//! The name of a prompt's prefix, by which engines and the judge know what was cached.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// The same for equal prompts in one process.
pub(crate) fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
