//! firweir: a rollout service for reinforcement learning that runs next to live
//! request services on the same model engines.
//!
//! Modules are laid out by life span: what lives for a [`request`], for a
//! [`connection`], for a configuration [`version`], for a [`process`].
//! [`wire`] holds the generated messages between firweir's own processes.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
pub mod wire;

// Generated code names its own module from the root of the crate.
use crate::wire::firweir_capnp;
