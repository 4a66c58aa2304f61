//! What lives as long as a connection: transports, HTTP and peer links.

mod answer_body;
pub mod blocks;
pub mod body;
pub mod client;
mod client_stream;
mod connection_state;
mod fair_stream;
pub mod memory_budget;
pub mod net;
pub mod object;
pub mod open_connections;
pub mod peer;
pub mod server;
pub mod target;
