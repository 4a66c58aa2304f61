//! Usage of client accounts: the number of their requests that upstreams started, for each window
//! of true time, reported once to the platform.
//!
//! - [`tally`]: counts by window and account, and how counts of many nodes are merged.
//! - [`clock_offset`]: true time from clocks some of which are wrong.
//! - [`counter`]: counts of this node, which it sends to the holder of the duty.
//! - [`fleet_counts`]: counts received from all processes.
//! - [`report`]: reports of the holder to the platform.

pub mod clock_offset;
pub mod counter;
pub mod fleet_counts;
pub mod report;
pub mod tally;
