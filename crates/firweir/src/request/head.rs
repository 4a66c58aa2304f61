//! The head of a caller's request: which service, whose, by when, charged or not.

use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use http::uri::PathAndQuery;
use xxhash_rust::xxh3::xxh3_64;

use crate::request::answer::Refused;
use crate::request::charge_log::RETENTION;
use crate::version::config::Service;
use crate::version::config::ServiceKind;
use crate::version::view::View;

/// Header with the milliseconds that the caller will still wait.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header that names the caller.
pub const CALLER_HEADER: &str = "x-caller";

/// Header that marks a call as charged and names it across resends.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// No caller waits longer than this.
const LONGEST_DEADLINE_MS: u64 = 3_600_000;

/// No charged call runs longer: its record must outlast it by far.
const LONGEST_CHARGED: Duration = Duration::from_secs(RETENTION.as_secs() / 3);

/// Longest idempotency key that is taken.
const KEY_LIMIT_BYTES: usize = 255;

/// What the entry needs to know of a request before it reads the body.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Service that is called.
    pub service: String,
    /// Settings of the service.
    pub settings: Service,
    /// Path and query at the upstream.
    pub target: PathAndQuery,
    /// Method.
    pub method: Method,
    /// Hash of the caller's name.
    pub caller: u64,
    /// How long the caller waits.
    pub patience: Duration,
    /// Set for a charged call.
    pub idempotency_key: Option<String>,
    /// It may run more than once.
    pub idempotent: bool,
}

impl CallHead {
    /// Reads the head of a request. The first part of the path names the service.
    ///
    /// # Errors
    ///
    /// The answer to give: the service is not known, or a header is malformed.
    pub fn read(parts: &Parts, view: &View) -> Result<Self, Refused> {
        let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        let (service, rest) = split_service(path);
        let settings = view
            .config
            .service(service)
            .ok_or_else(|| Refused::bad_request("unknown-service", StatusCode::NOT_FOUND))?;
        let target = rest
            .parse()
            .map_err(|_invalid| Refused::bad_request("bad-target", StatusCode::BAD_REQUEST))?;
        let idempotency_key = read_key(&parts.headers)?;
        let charged = idempotency_key.is_some() || is_charged(settings, rest);
        let patience = read_patience(&parts.headers, settings)?;
        Ok(Self {
            service: service.to_owned(),
            settings: settings.clone(),
            target,
            method: parts.method.clone(),
            caller: read_caller(&parts.headers),
            patience: if charged {
                patience.min(LONGEST_CHARGED)
            } else {
                patience
            },
            idempotency_key,
            idempotent: settings.kind == ServiceKind::Engine || !charged,
        })
    }
}

fn split_service(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(end) => (&path[..end], &path[end..]),
        None => (path, "/"),
    }
}

fn is_charged(settings: &Service, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    settings.charged_paths.iter().any(|charged| charged == path)
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Refused> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
        return Err(Refused::bad_request(
            "bad-idempotency-key",
            StatusCode::BAD_REQUEST,
        ));
    }
    Ok(Some(key.to_owned()))
}

fn read_caller(headers: &HeaderMap) -> u64 {
    headers
        .get(CALLER_HEADER)
        .map_or(0, |value| xxh3_64(value.as_bytes()))
}

fn read_patience(headers: &HeaderMap, settings: &Service) -> Result<Duration, Refused> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(settings.default_deadline_ms));
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if (1..=LONGEST_DEADLINE_MS).contains(&millis) => {
            Ok(Duration::from_millis(millis))
        }
        _ => Err(Refused::bad_request(
            "bad-deadline",
            StatusCode::BAD_REQUEST,
        )),
    }
}
