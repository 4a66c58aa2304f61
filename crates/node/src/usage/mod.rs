//! Usage of client accounts: how many of their requests upstreams began, for each window
//! of true time, reported once to the platform.
//!
//! - [`tally`]: counts of windows, and how those of many nodes come together.
//! - [`time`]: true time from clocks of which some are wrong.
//! - [`counting`]: what this node counts, and tells the holder of the duty.
//! - [`collect`]: what the holder was told.
//! - [`report`]: what the holder reports.

pub mod collect;
pub mod counting;
pub mod report;
pub mod tally;
pub mod time;
