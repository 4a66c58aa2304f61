//! Decisions under load: which work is admitted, how long it waits, which is refused, and which
//! upstream gets it.
//!
//! This crate reads no clock, opens no connection and starts no task. The entry (the process
//! that receives requests) passes in the time and events and carries out the returned
//! decisions, so that every decision can be tested without a network.

pub mod aimd_limit;
pub mod background;
pub mod crash_evidence;
pub mod dispatch;
pub mod dispatcher;
pub mod fair_queue;
pub mod health;
pub mod home_selection;
pub mod lane;
pub mod load_limit;
pub mod long_poll;
pub mod longest_first;
pub mod occupancy;
pub mod periodic_work;
pub mod placement;
pub mod pool;
pub mod priority_queue;
pub mod relist;
pub mod reserve;
pub mod retry;
pub mod route;
pub mod scaling;
pub mod scaling_repeats;
pub mod scaling_targets;
pub mod service_time;
pub mod share;
pub mod slack;
pub mod slots;
pub mod speed;
pub mod staleness;
pub mod step_pacing;
pub mod straggler;
pub mod suspect;
pub mod tries;
pub mod weight_loads;
pub mod work;
pub mod write_batching;
