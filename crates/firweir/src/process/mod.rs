//! What lives as long as a process: its settings, clock, tasks and parts.

pub mod clock;
pub mod ctl;
pub mod drafting;
pub mod entry;
pub mod exchange;
pub mod feed;
pub mod flags;
pub mod follow;
pub mod holder;
pub mod log;
pub mod membership;
pub mod observations;
pub mod rounds;
pub mod run;
pub mod settings;
pub mod spread;
pub mod steward;
pub mod tasks;
pub mod trainer;
pub mod upstreams;
pub mod watcher;
pub mod weights;
