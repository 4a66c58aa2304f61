//! Responses that the node itself gives to clients, with a typed outcome.

use std::time::Duration;

use bytes::Bytes;
use firweir::connection::body::BodyError;
use firweir::connection::server::Body;
use firweir::connection::server::bytes_response;
use firweir::connection::server::json;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;

/// Reason of an answer: this process ends before the request could.
pub const SHUTTING_DOWN: &str = "shutting-down";

/// Time after which a client may retry a request that a process which shuts down has refused; its
/// new connection goes to another node.
pub const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Outcome of a request without an answer of an upstream, as reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and will not; the client may retry after this time.
    NotRun(Duration),
    /// The request may have run.
    Unknown,
    /// The request may have run, and its timeout has passed.
    OutOfTime,
    /// The request is invalid; the value is the status.
    BadRequest(StatusCode),
}

/// Reason for an answer without an upstream's bytes; written as its body, and stored in the
/// response's extensions for the log.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Reason {
    reason: &'static str,
}

/// The reason of an answer for the log; `none` for an answer of an upstream.
#[must_use]
pub fn reason_of(response: &Response<Body>) -> &'static str {
    let reason = response.extensions().get::<Reason>();
    reason.map_or("none", |reason| reason.reason)
}

/// An answer without an upstream's bytes.
#[must_use]
pub fn refusal(outcome: Outcome, reason: &'static str) -> Response<Body> {
    let status = match outcome {
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::BAD_GATEWAY,
        Outcome::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        Outcome::BadRequest(status) => status,
    };
    let reason = Reason { reason };
    let mut response = json(status, &reason);
    response.extensions_mut().insert(reason);
    if let Outcome::NotRun(retry_after) = outcome {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// The answer to a request whose body was not read to its end. It may be repeated after
/// `retry_after` unless the body itself is the reason.
#[must_use]
pub fn body_refusal(error: BodyError, retry_after: Duration) -> Response<Body> {
    match error {
        BodyError::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            refusal(Outcome::BadRequest(status), "body-too-large")
        }
        BodyError::Broken => {
            let status = StatusCode::BAD_REQUEST;
            refusal(Outcome::BadRequest(status), "body-broken")
        }
        BodyError::NoMemory => refusal(Outcome::NotRun(retry_after), "no-memory"),
        BodyError::Stalled => refusal(Outcome::NotRun(retry_after), "body-stalled"),
    }
}

/// An answer with this status and JSON body.
#[must_use]
pub fn with_json(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = bytes_response(status, body);
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// An answer with this status and no body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<Body> {
    bytes_response(status, Bytes::new())
}
