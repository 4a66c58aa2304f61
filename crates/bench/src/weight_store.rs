//! Stand-in for the rate-limited weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::server;
use firweir::connection::server::bytes_response;
use http::StatusCode;
use tokio::sync::Semaphore;

use crate::stand::Ground;

/// Starts a store that serves this many loads at once, each taking `load`.
///
/// # Errors
///
/// The address cannot be listened at.
pub async fn start(
    ground: &Ground,
    at: SocketAddr,
    loads_at_once: usize,
    load: Duration,
) -> io::Result<SocketAddr> {
    let slots = Arc::new(Semaphore::new(loads_at_once));
    let handler = server::handler(move |_request| {
        let slots = Arc::clone(&slots);
        Box::pin(async move {
            let slot = slots.acquire_owned().await;
            tokio::time::sleep(load).await;
            drop(slot);
            bytes_response(StatusCode::OK, Bytes::new())
        })
    });
    ground.serve(at, handler).await
}
