//! One node of firweir: live calls, submissions of trainers and weight orders in one process.
//! All durable state is in the store of the platform that the node runs on.
//!
//! An adapter ([`dialect::Dialect`]) translates the platform's messages; all decisions, state
//! and recovery are here and in `firweir-policy`.

pub mod account;
mod answer_stream;
pub mod authentication;
pub mod change;
pub mod config_news;
pub mod connection_pool;
mod crash_pacing;
pub mod demand;
pub mod dialect;
pub mod disk;
mod draft_jobs;
mod draft_run;
pub mod drafting;
pub mod duty;
pub mod engines;
pub mod failed_requests;
mod failure_exchange;
mod failure_log;
mod failure_records;
mod failure_writer;
pub mod fingerprint;
pub mod fleet;
pub mod follow;
mod follow_seeds;
mod follow_store;
pub mod gates;
pub mod holder;
pub mod interest;
mod listing;
pub mod live;
pub mod load_logger;
pub mod mechanisms;
mod metered_stream;
pub mod model;
pub mod newest_config;
pub mod node;
mod node_listener;
pub mod outage;
mod progress;
pub mod relay;
pub mod relay_message;
mod relay_mirror;
pub mod reload;
mod report_timer;
mod request_handler;
pub mod respond;
pub mod room_logger;
pub mod roster;
pub mod sample_order;
pub mod scaling;
pub mod scoring;
pub mod seeds;
pub mod settings;
pub mod shared;
pub mod shutdown;
pub mod split;
pub mod store;
pub mod store_fallback;
pub mod submission;
mod upstream_answer;
pub mod usage;
pub mod watch_limits;
pub mod weights;
