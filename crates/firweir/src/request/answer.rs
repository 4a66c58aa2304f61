//! Typed outcomes of a call, as callers see them.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;

use crate::connection::server::Body;
use crate::connection::server::json;

/// Header that carries the outcome of every answer.
pub const OUTCOME_HEADER: &str = "x-firweir-outcome";

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream answered, and this is its whole answer.
    Answered,
    /// No byte of the call reached any upstream.
    NotRun,
    /// The call may have run; its answer is lost.
    Unknown,
}

impl Outcome {
    /// The outcome as it stands in headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// A call that brings no answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refused {
    /// [`Outcome::NotRun`] or [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// A short, stable name of the cause.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry_after_ms: u64,
    #[serde(skip)]
    status: StatusCode,
}

impl Refused {
    /// The call did not run, and the caller may send it again after `retry_after`.
    #[must_use]
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self::new(
            Outcome::NotRun,
            reason,
            retry_after,
            StatusCode::SERVICE_UNAVAILABLE,
        )
    }

    /// The call did not run, and will not in this form.
    #[must_use]
    pub fn bad_request(reason: &'static str, status: StatusCode) -> Self {
        Self::new(Outcome::NotRun, reason, Duration::ZERO, status)
    }

    /// The call may have run.
    #[must_use]
    pub fn unknown(reason: &'static str, retry_after: Duration) -> Self {
        Self::new(
            Outcome::Unknown,
            reason,
            retry_after,
            StatusCode::BAD_GATEWAY,
        )
    }

    /// The answer to the caller.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let mut response = json(self.status, self);
        let headers = response.headers_mut();
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        let seconds = self.retry_after_ms.div_ceil(1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        response
    }

    fn new(
        outcome: Outcome,
        reason: &'static str,
        retry_after: Duration,
        status: StatusCode,
    ) -> Self {
        Self {
            outcome,
            reason,
            retry_after_ms: retry_after.as_millis() as u64,
            status,
        }
    }
}
