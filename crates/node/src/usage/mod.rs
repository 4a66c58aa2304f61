//! Usage of client accounts: the number of their requests that upstreams started, for each window
//! of true time, reported once to the platform.
//!
//! - [`tally`]: counts by window and account, and how counts of many nodes are merged.
//! - [`time`]: true time from clocks some of which are wrong.
//! - [`counting`]: counts of this node, which it sends to the holder of the duty.
//! - [`collect`]: counts received from all processes.
//! - [`report`]: reports of the holder to the platform.

pub mod collect;
pub mod counting;
pub mod report;
pub mod tally;
pub mod time;
