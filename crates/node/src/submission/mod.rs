//! Submissions, the steps of trainers. Each is accepted once and stored in the platform store.
//! Its results are listed in a log, each item once at a fixed position, and any node answers
//! reads of them.
//!
//! - [`records`]: the records in the store.
//! - [`local`]: a submission that this node runs, and its result log.
//! - [`homes`]: home nodes, which accept and run the submissions of a model.
//! - [`home_finder`]: finds a home node.
//! - [`texts`]: generated texts, and a cache of them for later steps.
//! - [`text_saver`]: saves texts of unfinished samples for the next runner.
//! - [`head_view`]: when a runner last confirmed that it still runs a submission.
//! - [`heads`]: cache of submission heads, and changes of them.
//! - [`runners`]: calls to other nodes that run submissions.
//! - [`manager`]: runs submissions and answers questions about them.
//! - [`forwarding`]: forwards questions to other nodes, and takes over submissions.
//! - [`accept`]: accepts submissions.
//! - [`removal`]: removes ended submissions.

pub mod accept;
mod forwarding;
pub mod head_view;
pub mod heads;
pub mod home_finder;
pub mod homes;
pub mod local;
pub mod manager;
pub mod records;
pub mod removal;
pub mod runners;
pub mod text_saver;
pub mod texts;
