//! Submissions: accepted once, kept whole in the platform's store, every item listed
//! once at a fixed position, readable at every node.
//!
//! - [`records`]: what stands in the store.
//! - [`board`]: one submission that this node runs, and its log of results.
//! - [`homes`]: which node accepts and runs the submissions of a model.
//! - [`texts`]: texts kept for the next step that asks for them.
//! - [`saver`]: texts of unfinished samples in the store, for the next runner.
//! - [`desk`]: who runs what; accepting, reading, ending, taking over.

pub mod board;
pub mod desk;
pub mod homes;
pub mod records;
pub mod saver;
pub mod texts;
