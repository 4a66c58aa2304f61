//! What lives as long as a process: its settings, clock, tasks and parts.

pub mod burn;
pub mod burn_page;
pub mod charges;
pub mod clock;
pub mod copies;
pub mod ctl;
pub mod demand;
pub mod drafting;
pub mod entry;
pub mod feed;
pub mod flags;
pub mod follow;
pub mod holder;
pub mod log;
pub mod lot_store;
pub mod membership;
pub mod observations;
pub mod run;
pub mod settings;
pub mod shard;
pub mod steward;
pub mod storage;
pub mod tasks;
pub mod trainer;
pub mod vault;
pub mod weights;
