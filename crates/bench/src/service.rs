//! Stand-in for a plain request service.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::server;
use firweir::connection::server::Body;
use firweir::connection::server::bytes_response;
use firweir::connection::server::json;
use firweir::connection::server::read_body;
use firweir::process::tasks::Tasks;
use firweir::request::head::IDEMPOTENCY_HEADER;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::judge::Judge;
use crate::stand::Ground;

/// Largest request body.
const REQUEST_LIMIT_BYTES: usize = 1 << 20;

/// A request that names itself, so that callers can tell their own answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Numbered {
    /// Unique among all requests of a run.
    pub request: u64,
    /// It crashes the upstream that runs it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub poison: bool,
}

/// Starts a service instance that takes `work` for each request.
///
/// # Errors
///
/// The address cannot be listened at.
pub async fn start(
    ground: &Ground,
    at: SocketAddr,
    work: Duration,
    judge: Judge,
) -> io::Result<SocketAddr> {
    let tasks = ground.tasks.clone();
    let handler = server::handler(move |request| {
        let (judge, tasks) = (judge.clone(), tasks.clone());
        Box::pin(async move { answer(&judge, &tasks, work, request).await })
    });
    ground.serve(at, handler).await
}

async fn answer(
    judge: &Judge,
    tasks: &Tasks,
    work: Duration,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = read_body(body, REQUEST_LIMIT_BYTES)
        .await
        .unwrap_or_default();
    let Ok(numbered) = serde_json::from_slice::<Numbered>(&body) else {
        return bytes_response(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let key = parts
        .headers
        .get(IDEMPOTENCY_HEADER)
        .and_then(|value| value.to_str().ok());
    judge.executed(numbered.request, key);
    tokio::time::sleep(work).await;
    if numbered.poison {
        judge.poisoned(numbered.request);
        tasks.kill();
        return std::future::pending().await;
    }
    json(StatusCode::OK, &numbered)
}
