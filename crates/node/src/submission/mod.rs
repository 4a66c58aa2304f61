//! Submissions: accepted once, kept whole in the platform's store, every item listed
//! once at a fixed position, readable at every node.
//!
//! - [`records`]: what stands in the store.
//! - [`board`]: one submission that this node runs, and its log of results.
//! - [`homes`]: which node accepts and runs the submissions of a model.
//! - [`finder`]: finding such a node.
//! - [`texts`]: texts kept for the next step that asks for them.
//! - [`saver`]: texts of unfinished samples in the store, for the next runner.
//! - [`head_view`]: how old a runner's view of a head is.
//! - [`heads`]: who runs what, as the store has it.
//! - [`runners`]: other nodes that run submissions.
//! - [`desk`]: running, reading, ending.
//! - [`elsewhere`]: questions whose answers lie at other nodes; taking over.
//! - [`accept`], [`removal`]: how a submission comes and goes.

pub mod accept;
pub mod board;
pub mod desk;
mod elsewhere;
pub mod finder;
pub mod head_view;
pub mod heads;
pub mod homes;
pub mod records;
pub mod removal;
pub mod runners;
pub mod saver;
pub mod texts;
