//! What lives as long as a connection: transports, HTTP and peer links.

pub mod blocks;
pub mod body;
pub mod client;
mod fair_stream;
pub mod net;
pub mod object;
pub mod peer;
pub mod server;
