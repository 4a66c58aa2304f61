//! Handles the requests of other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::body::BodyError;
use firweir::connection::body::PendingBody;
use firweir::connection::client::within;
use firweir::connection::server::Body;
use firweir::connection::server::json;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use hyper::body::Incoming;

use crate::dialect::ClientCall;
use crate::failure_exchange;
use crate::failure_exchange::FAILURE_NEWS_PATH;
use crate::failure_exchange::FAILURES_PATH;
use crate::failure_exchange::MAX_FAILURES_BYTES;
use crate::holder::DUTY_HOLDER_PATH;
use crate::relay::kind_from_path_name;
use crate::relay_message::RELAY_PATH;
use crate::relay_message::RelayRequest;
use crate::request_handler::IncomingSubmission;
use crate::request_handler::RequestHandler;
use crate::respond::empty;
use crate::respond::with_json;
use crate::roster::HOME_PATH;
use crate::roster::HomeQuestion;
use crate::roster::MEMBER_HEADER;
use crate::roster::Member;
use crate::store_fallback::store_uri_from_peer;
use crate::submission::manager::RequestOrigin;
use crate::submission::runners::PING_PATH;
use crate::submission::runners::account_from_header;
use crate::usage::counter::USAGE_PATH;

/// Time for the body of another node's request, which that sends at once.
const PEER_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body of a store call that is made for another node; the store limits values to a
/// megabyte.
const MAX_STORE_CALL_BYTES: usize = 2 << 20;

/// Largest body of usage counts: a few windows of all accounts.
const MAX_USAGE_BYTES: usize = 1 << 20;

/// Largest body of a node's request for a home.
const MAX_HOME_QUESTION_BYTES: usize = 4 << 10;

/// Timeout of a store call that is made for another node, including the wait of a watch.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(9);

impl RequestHandler {
    /// Answers a request of another node.
    pub(crate) async fn handle_peer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = PendingBody::split(request);
        if head.uri.path() == PING_PATH {
            return empty(StatusCode::OK);
        }
        if head.uri.path() == DUTY_HOLDER_PATH {
            return json(StatusCode::OK, &self.holder.confirm_or_resign().await);
        }
        if head.uri.path() == USAGE_PATH {
            return self.exchange_usage(&head, body).await;
        }
        if let Some(uri) = store_uri_from_peer(&head.uri) {
            return self.call_store(uri, &head, body).await;
        }
        if let Some(name) = head.uri.path().strip_prefix(RELAY_PATH) {
            self.record_member(&head.headers);
            return self.relay_to_follower(name, &head).await;
        }
        if head.uri.path() == HOME_PATH {
            return self.offer_home(body).await;
        }
        if head.uri.path() == FAILURES_PATH {
            return self.take_failures(body).await;
        }
        if head.uri.path() == FAILURE_NEWS_PATH {
            return self.tell_failures(body).await;
        }
        let account = account_from_header(&head.headers);
        match self.dialect.client_call(&head) {
            ClientCall::Asked(question) => {
                let account = account.as_deref();
                self.submissions
                    .answer_question(RequestOrigin::Peer, account, &question, &head)
                    .await
            }
            ClientCall::Routed(routed) if !self.tasks.is_draining() => {
                let incoming = IncomingSubmission {
                    origin: RequestOrigin::Peer,
                    routed: &routed,
                    account: account.as_deref(),
                    head: &head,
                    limit_bytes: self.fleet.config().max_body_bytes,
                };
                self.submit(incoming, body).await
            }
            ClientCall::Routed(_) => empty(StatusCode::SERVICE_UNAVAILABLE),
            ClientCall::Ready => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Merges usage counts from another node, or returns all counts that this node knows.
    async fn exchange_usage(
        &self,
        head: &http::request::Parts,
        body: PendingBody,
    ) -> Response<Body> {
        if head.method == Method::GET {
            return with_json(StatusCode::OK, self.usage_counter.snapshot());
        }
        let body = match read_peer_body(body, MAX_USAGE_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status),
        };
        match self.usage_counter.handle_counts(&body) {
            Some(answer) => with_json(StatusCode::OK, answer),
            None => empty(StatusCode::BAD_REQUEST),
        }
    }

    /// Forwards a store call of a node that cannot reach the store.
    async fn call_store(
        &self,
        uri: Uri,
        head: &http::request::Parts,
        body: PendingBody,
    ) -> Response<Body> {
        let body = match read_peer_body(body, MAX_STORE_CALL_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status),
        };
        let mut request = Request::new(Blocks::from(body));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = uri;
        match self
            .connections
            .call(self.store, request, STORE_CALL_TIMEOUT)
            .await
        {
            Ok(answer) => {
                let (head, body) = answer.into_parts();
                with_json(head.status, body)
            }
            Err(error) if error.is_not_sent() => empty(StatusCode::SERVICE_UNAVAILABLE),
            // It may have been carried out.
            Err(_) => empty(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Records what a node that polls this seed announces about itself.
    fn record_member(&self, headers: &HeaderMap) {
        let Some(value) = headers.get(MEMBER_HEADER) else {
            return;
        };
        match serde_json::from_slice::<Member>(value.as_bytes()) {
            Ok(member) => self
                .home_finder
                .roster
                .record_member(self.clock.now(), member),
            Err(error) => self.journal.event("member_malformed", &[("cause", &error)]),
        }
    }

    /// Offers a home for a model.
    async fn offer_home(&self, body: PendingBody) -> Response<Body> {
        let body = match read_peer_body(body, MAX_HOME_QUESTION_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status),
        };
        match serde_json::from_slice::<HomeQuestion>(&body) {
            Ok(question) => json(StatusCode::OK, &self.home_finder.local_offer(&question)),
            Err(_malformed) => empty(StatusCode::BAD_REQUEST),
        }
    }

    /// Takes failures that another node saw.
    async fn take_failures(&self, body: PendingBody) -> Response<Body> {
        let body = match read_peer_body(body, MAX_FAILURES_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status),
        };
        let Some(seen) = failure_exchange::decode(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        self.failed_requests.add_news(&seen);
        empty(StatusCode::OK)
    }

    /// Tells another node of failures as this one learns of them.
    async fn tell_failures(&self, body: PendingBody) -> Response<Body> {
        let body = match read_peer_body(body, MAX_FAILURES_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status),
        };
        let Some(request) = failure_exchange::decode(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        json(
            StatusCode::OK,
            &self.failure_exchange.news_after(request).await,
        )
    }

    /// Answers a node that follows the store through this seed.
    async fn relay_to_follower(&self, name: &str, head: &http::request::Parts) -> Response<Body> {
        let request = head.uri.query().and_then(RelayRequest::from_query);
        let request = request.map(|request| request.with_hold(&head.headers));
        let (Some(kind), Some(request)) = (kind_from_path_name(name), request) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let now = || self.boot_clock.since_boot();
        let arrived = now();
        let mut answer = self.relay.answer(kind, &request, now).await;
        answer.nodes = self.home_finder.roster.len();
        json(StatusCode::OK, &answer.relative_to(arrived, now()))
    }
}

/// Reads the body of another node's request; the error is the answer if it is broken, late or above the
/// limit, or if there is no memory for it.
async fn read_peer_body(body: PendingBody, limit_bytes: usize) -> Result<Bytes, StatusCode> {
    let reading = within(PEER_BODY_TIMEOUT, body.receive(limit_bytes));
    match reading.await {
        Some(Ok(body)) => Ok(body.into_bytes()),
        Some(Err(BodyError::NoMemory | BodyError::Stalled)) => Err(StatusCode::SERVICE_UNAVAILABLE),
        Some(Err(BodyError::TooLarge | BodyError::Broken)) | None => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
    }
}
