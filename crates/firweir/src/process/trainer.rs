//! The trainers' side of a feed: take a lot, accept it, publish weights.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::client::within;
use crate::connection::server::Body;
use crate::connection::server::bytes_response;
use crate::connection::server::json;
use crate::process::feed::FeedProgram;
use crate::process::holder::AcceptedLot;
use crate::process::holder::Holder;
use crate::request::answer::Refused;
use crate::request::lot::Lot;
use crate::request::record::AcceptError;
use crate::request::record::Acceptance;

/// A trainer that asks for a lot waits this long at most, then asks again.
const TAKE_WAIT: Duration = Duration::from_secs(20);

/// When a trainer may come back while the platform or the holder is away.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Body of a call that publishes weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Published {
    /// The version that is now in the weight store.
    pub version: u64,
}

/// Answer to an acceptance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The lot counts as delivered, now or before.
    pub accepted: bool,
    /// Why not.
    #[serde(default)]
    pub reason: Option<String>,
}

/// Answers one call of a trainer.
///
/// | call | answer |
/// | --- | --- |
/// | `GET /feeds/F/lots/next` | the lot to train on next; 204 if there is none yet |
/// | `GET /feeds/F/lots/accepted` | the lot accepted last, the same bytes |
/// | `POST /feeds/F/accept` | an [`Accepted`] |
/// | `POST /feeds/F/weights` | 200 once the version is noted |
pub async fn answer(
    program: &Rc<FeedProgram>,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Response<Body> {
    let parts: Vec<&str> = path.split('?').next().unwrap_or(path).split('/').collect();
    let ["", "feeds", feed, rest @ ..] = parts.as_slice() else {
        return Refused::bad_request("unknown-path", StatusCode::NOT_FOUND).response();
    };
    if program.view.load().config.feed(feed).is_none() {
        return Refused::bad_request("unknown-feed", StatusCode::NOT_FOUND).response();
    }
    let Some(holder) = program.holder(feed) else {
        return redirect(program, feed, path).await;
    };
    match (method, rest) {
        (&Method::GET, ["lots", "next"]) => next_lot(&holder).await,
        (&Method::GET, ["lots", "accepted"]) => accepted_lot(&holder).await,
        (&Method::POST, ["accept"]) => accept(&holder, body).await,
        (&Method::POST, ["weights"]) => publish(&holder, body).await,
        _ => Refused::bad_request("unknown-path", StatusCode::NOT_FOUND).response(),
    }
}

async fn redirect(program: &FeedProgram, feed: &str, path: &str) -> Response<Body> {
    let holder = match program.read_record(feed).await {
        Ok(Some(record)) => record.value.holder_address,
        Ok(None) | Err(_) => None,
    };
    let own = program.parts.settings.feed_listen;
    let location = holder.filter(|holder: &SocketAddr| *holder != own);
    let location =
        location.and_then(|holder| HeaderValue::from_str(&format!("http://{holder}{path}")).ok());
    let Some(location) = location else {
        return Refused::not_run("no-holder", RETRY_AFTER).response();
    };
    let mut response = bytes_response(StatusCode::TEMPORARY_REDIRECT, bytes::Bytes::new());
    response.headers_mut().insert(header::LOCATION, location);
    response
}

async fn next_lot(holder: &Rc<Holder>) -> Response<Body> {
    let mut changes = holder.changes();
    let found = async {
        loop {
            let record = holder.record();
            let first = record.sealed.first();
            if let Some(lot) = first.and_then(|lot| holder.lot(lot.step, lot.generation)) {
                return Some(lot);
            }
            changes.changed().await;
        }
    };
    let started = holder.now();
    // A trainer that waits at a holder which lost the feed would wait in vain,
    // while the next holder has its lot: it is sent on at once.
    let taken = tokio::select! {
        biased;
        () = holder.lost() => return Refused::not_run("holder-changed", RETRY_AFTER).response(),
        taken = within(TAKE_WAIT, found) => taken,
    };
    let lot = taken.flatten();
    holder.note_take(started, lot.as_deref());
    lot_response(lot.as_deref())
}

async fn accepted_lot(holder: &Rc<Holder>) -> Response<Body> {
    match holder.accepted_lot().await {
        AcceptedLot::NoneYet => lot_response(None),
        AcceptedLot::Lot(lot) => lot_response(Some(&lot)),
        AcceptedLot::Lost => Refused::bad_request("lot-lost", StatusCode::GONE).response(),
        AcceptedLot::Unreachable => Refused::unknown("vaults", RETRY_AFTER).response(),
    }
}

fn lot_response(lot: Option<&Lot>) -> Response<Body> {
    match lot {
        Some(lot) => json(StatusCode::OK, lot),
        None => bytes_response(StatusCode::NO_CONTENT, bytes::Bytes::new()),
    }
}

async fn accept(holder: &Rc<Holder>, body: &[u8]) -> Response<Body> {
    let Ok(acceptance) = serde_json::from_slice::<Acceptance>(body) else {
        return Refused::bad_request("bad-acceptance", StatusCode::BAD_REQUEST).response();
    };
    match holder.accept(&acceptance).await {
        Ok(Ok(())) => {
            holder.note_acceptance(&acceptance);
            let accepted = true;
            json(
                StatusCode::OK,
                &Accepted {
                    accepted,
                    reason: None,
                },
            )
        }
        Ok(Err(error)) => refuse_lot(error),
        Err(_) => Refused::unknown("object-api", RETRY_AFTER).response(),
    }
}

fn refuse_lot(error: AcceptError) -> Response<Body> {
    let refused = Accepted {
        accepted: false,
        reason: Some(error.to_string()),
    };
    json(StatusCode::CONFLICT, &refused)
}

async fn publish(holder: &Rc<Holder>, body: &[u8]) -> Response<Body> {
    let Ok(published) = serde_json::from_slice::<Published>(body) else {
        return Refused::bad_request("bad-version", StatusCode::BAD_REQUEST).response();
    };
    match holder.publish_weights(published.version).await {
        Ok(()) => json(StatusCode::OK, &published),
        Err(_) => Refused::unknown("object-api", RETRY_AFTER).response(),
    }
}
