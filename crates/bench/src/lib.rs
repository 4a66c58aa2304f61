//! Stand-ins for the systems that firweir serves, and the replay of traces
//! against stated outcomes.
//!
//! The replay runs the programs' own code on one thread, over in-memory pipes
//! and a paused clock: no node is modelled, only the transport and the outside
//! systems are stand-ins.

pub mod baseline;
pub mod caller;
pub mod engine;
pub mod fault;
pub mod fit;
pub mod fleet;
pub mod judge;
pub mod load_measures;
pub mod measure;
pub mod memory_storage;
pub mod object_api;
pub mod pipe;
mod prefix;
pub mod replay;
pub mod report;
pub mod service;
pub mod stand;
pub mod trace;
pub mod trainer;
pub mod weight_store;
pub mod world;
