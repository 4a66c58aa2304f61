//! One VM of firweir on a platform that keeps what must last: live calls,
//! submissions of trainers and orders of weights in one process, with no state of
//! its own that outlives it.
//!
//! What the platform says is translated by an adapter ([`dialect::Dialect`]); all
//! decisions, state and recovery are here and in `firweir-policy`.

pub mod account;
pub mod authentication;
pub mod change;
pub mod connection_pool;
pub mod demand;
pub mod dialect;
pub mod disk;
mod draft_jobs;
mod draft_run;
pub mod drafting;
pub mod duty;
pub mod engines;
pub mod fleet;
pub mod follow;
mod follow_seeds;
pub mod gates;
pub mod holder;
pub mod interest;
pub mod live;
pub mod load_logger;
pub mod mechanisms;
pub mod model;
pub mod node;
pub mod outage;
mod progress;
pub mod relay;
pub mod reload;
mod request_handler;
pub mod respond;
pub mod roster;
pub mod sample_order;
pub mod scaling;
pub mod scoring;
pub mod settings;
pub mod shared;
pub mod store;
pub mod store_fallback;
pub mod submission;
pub mod usage;
pub mod weights;
