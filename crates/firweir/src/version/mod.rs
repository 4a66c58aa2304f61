//! What lives as long as a configuration revision or an upstream view.

pub mod check;
pub mod config;
pub mod folder;
pub mod view;
