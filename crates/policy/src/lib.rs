//! Decisions under load: which work is admitted, how long it waits, which is refused, and which
//! upstream gets it.
//!
//! This crate reads no clock, opens no connection and starts no task. The entry (the process
//! that receives requests) passes in the time and events and carries out the returned
//! decisions, so that every decision can be tested without a network.

pub mod answering;
pub mod background;
pub mod bands;
pub mod dispatch;
pub mod dispatcher;
pub mod estimate;
pub mod fair;
pub mod health;
pub mod lane;
pub mod limit;
pub mod listing;
pub mod load_limit;
pub mod occupancy;
pub mod pace;
pub mod placement;
pub mod pool;
pub mod recurring;
pub mod relist;
pub mod reserve;
pub mod retry;
pub mod route;
pub mod scaling;
pub mod scaling_repeats;
pub mod scaling_targets;
pub mod share;
pub mod siting;
pub mod slack;
pub mod slots;
pub mod speed;
pub mod step_order;
pub mod straggler;
pub mod suspect;
pub mod tries;
pub mod weight_loads;
pub mod work;
