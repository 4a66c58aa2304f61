//! Submissions, the steps of trainers. Each is accepted once and stored in the platform store.
//! Its results are listed in a log, each item once at a fixed position, and any node answers
//! reads of them.
//!
//! - [`records`]: the records in the store.
//! - [`board`]: a submission that this node runs, and its result log.
//! - [`homes`]: home nodes, which accept and run the submissions of a model.
//! - [`finder`]: finds a home node.
//! - [`texts`]: generated texts, and a cache of them for later steps.
//! - [`saver`]: saves texts of unfinished samples for the next runner.
//! - [`head_view`]: when a runner last confirmed that it still runs a submission.
//! - [`heads`]: cache of submission heads, and changes of them.
//! - [`runners`]: calls to other nodes that run submissions.
//! - [`desk`]: runs submissions and answers questions about them.
//! - [`elsewhere`]: forwards questions to other nodes, and takes over submissions.
//! - [`accept`]: accepts submissions.
//! - [`removal`]: removes ended submissions.

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
