//! Tells whose answer an upstream sent.
//!
//! A faulty upstream sends an answer twice or late, so that it arrives where the answer to the next
//! request on the connection is due. Its status, its load and its promise that the request did not
//! run are then about another request. They can only be read through [`OwnAnswer`]; any other
//! answer closes its connection, on which the answer to the request may still be due.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::body::BodyError;
use firweir::connection::body::collect;
use firweir::connection::client::within;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionChoice;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::PooledConnection;
use crate::connection_pool::StreamingResponse;
use crate::dialect::AnswerHead;
use crate::dialect::AnsweredId;
use crate::dialect::Dialect;
use crate::shared::Shared;

/// Largest body of an answer to a request that did not run; larger ones are not read to their end.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Largest body of a report, or of the answer to an order.
const MAX_CONTROL_ANSWER_BYTES: usize = 1 << 20;

/// Longest time for reading such a body: the request waits meanwhile to be sent elsewhere.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// A request to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamRequest<'a> {
    /// Address of the upstream.
    pub(crate) to: SocketAddr,
    /// Id that its answer has to name; empty if it has none.
    pub(crate) request_id: &'a str,
    /// The request, with that id among its headers.
    pub(crate) request: Request<Blocks>,
}

/// An answer that belongs to the request which was sent.
#[derive(Debug)]
pub(crate) struct OwnAnswer {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// What its headers say.
    pub(crate) reported: AnswerHead,
    body: Incoming,
    connection: PooledConnection,
}

impl Shared {
    /// Sends a request to an upstream and returns its answer, whose body is still being received;
    /// `set_headers` is called once a connection is open. A request is never sent twice on one
    /// connection.
    ///
    /// # Errors
    ///
    /// If connecting failed, the connection broke, or the answer belongs to another request.
    pub(crate) async fn send_upstream(
        &self,
        request: UpstreamRequest<'_>,
        set_headers: impl Fn(&mut HeaderMap),
    ) -> Result<OwnAnswer, CallError> {
        send_upstream(&self.connections, &*self.dialect, request, set_headers).await
    }
}

async fn send_upstream(
    connections: &ConnectionPool,
    dialect: &dyn Dialect,
    request: UpstreamRequest<'_>,
    set_headers: impl Fn(&mut HeaderMap),
) -> Result<OwnAnswer, CallError> {
    let UpstreamRequest {
        to,
        request_id,
        request,
    } = request;
    let choice = if request_id.is_empty() {
        ConnectionChoice::NotUsedUnnamed
    } else {
        ConnectionChoice::NotUsedFor(xxh3_64(request_id.as_bytes()))
    };
    let exchange = connections
        .send_with(to, request, choice, set_headers)
        .await?;
    OwnAnswer::identify(dialect, request_id, exchange).ok_or(CallError::Foreign)
}

/// Sends an order or a request for a report to an upstream and returns its complete answer, which
/// does not name the request.
///
/// # Errors
///
/// As [`Shared::send_upstream`], or if the answer is not complete within `timeout`.
pub(crate) async fn call_upstream(
    connections: &ConnectionPool,
    dialect: &dyn Dialect,
    to: SocketAddr,
    request: Request<Blocks>,
    timeout: Duration,
) -> Result<Response<Bytes>, CallError> {
    let request = UpstreamRequest {
        to,
        request_id: "",
        request,
    };
    let complete = async {
        let own = send_upstream(connections, dialect, request, |_headers| {}).await?;
        let mut answer = Response::new(Bytes::new());
        *answer.status_mut() = own.status;
        let body = own.read_body(MAX_CONTROL_ANSWER_BYTES).await;
        *answer.body_mut() = body.map_err(|_broken| CallError::Broken)?.into_bytes();
        Ok(answer)
    };
    within(timeout, complete)
        .await
        .unwrap_or(Err(CallError::Late))
}

impl OwnAnswer {
    /// The answer to the request with this id, or without one if it is empty; `None` if it belongs
    /// to another request or does not tell to which.
    pub(crate) fn identify(
        dialect: &dyn Dialect,
        request_id: &str,
        exchange: StreamingResponse,
    ) -> Option<Self> {
        let StreamingResponse { answer, connection } = exchange;
        let (head, body) = answer.into_parts();
        let reported = dialect.answer_head(&head);
        let is_own = match &reported.answered_id {
            AnsweredId::One(id) => !request_id.is_empty() && id == request_id,
            AnsweredId::Missing => request_id.is_empty(),
            AnsweredId::Several => false,
        };
        is_own.then_some(Self {
            status: head.status,
            headers: head.headers,
            reported,
            body,
            connection,
        })
    }

    /// Reads the body to its end and returns the connection to the pool.
    pub(crate) async fn read_body(self, limit_bytes: usize) -> Result<Blocks, BodyError> {
        self.connection.allow_body(limit_bytes);
        let body = collect(self.body, limit_bytes).await?;
        self.connection.return_to_pool();
        Ok(body)
    }

    /// Reads the body of an answer to a request that did not run, so that its connection can be
    /// used again.
    pub(crate) async fn discard_refusal(self) {
        // The refusal counts even if its body does not end; the connection is closed then.
        _ = within(REFUSAL_BODY_TIMEOUT, self.read_body(MAX_REFUSAL_BYTES)).await;
    }

    /// The body, to be read as it arrives and of at most about this size, and its connection.
    pub(crate) fn into_stream(self, limit_bytes: usize) -> (Incoming, PooledConnection) {
        self.connection.allow_body(limit_bytes);
        (self.body, self.connection)
    }
}
