//! At most one execution per idempotency key, across resends to other VMs and
//! the death of the entry that ran the call.
//!
//! A record in the object API is made before the first byte is sent. Whoever
//! finds a record that another made does not run the call: it gives the stored
//! answer, or `unknown` if there is none yet.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::connection::object::Condition;
use crate::connection::object::Etag;
use crate::connection::object::ObjectApi;
use crate::connection::object::ObjectError;
use crate::connection::object::Stamped;
use crate::request::answer::OUTCOME_HEADER;
use crate::request::answer::Outcome;
use crate::request::answer::Refused;

/// When a caller may come back while the object API is away.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// An answer above this is not stored: the object API holds values up to a
/// megabyte, and JSON may double the bytes.
pub const STORED_ANSWER_LIMIT_BYTES: usize = 256 << 10;

/// How far a charged call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum Progress {
    /// It may have run.
    Started,
    /// It was turned away before it ran; it may be started again.
    NotRun,
    /// It ran, and this was the answer.
    Answered {
        status: u16,
        content_type: String,
        body: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    write_id: String,
    fingerprint: String,
    #[serde(flatten)]
    progress: Progress,
}

impl Stamped for Record {
    fn write_id(&self) -> &str {
        &self.write_id
    }
}

/// Keeps the records of charged calls.
#[derive(Debug, Clone)]
pub struct Ledger {
    api: ObjectApi,
}

/// The sole right to run one charged call.
#[derive(Debug)]
pub struct Claim {
    api: ObjectApi,
    key: String,
    etag: Etag,
    fingerprint: String,
}

/// What to do with a charged call.
#[derive(Debug)]
pub enum Begin {
    /// Run it.
    Run(Box<Claim>),
    /// Give this answer; the call is not run.
    Answer(Response<Bytes>),
    /// Refuse it; the call is not run now.
    Refuse(Refused),
}

impl Ledger {
    /// A ledger that keeps its records in the object API.
    #[must_use]
    pub const fn new(api: ObjectApi) -> Self {
        Self { api }
    }

    /// Claims a charged call, or finds what became of it.
    pub async fn begin(&self, service: &str, key: &str, request: &[u8]) -> Begin {
        let object_key = format!("idempotency/{service}/{}", hex_digest(key.as_bytes()));
        let fingerprint = hex_digest(request);
        let started = Record {
            write_id: self.api.write_id(),
            fingerprint: fingerprint.clone(),
            progress: Progress::Started,
        };
        match self
            .api
            .write(&object_key, &started, &Condition::Absent)
            .await
        {
            Ok(etag) => self.run(object_key, etag, fingerprint),
            Err(ObjectError::Conflict) => self.look_up(object_key, started).await,
            Err(_) => Begin::Refuse(Refused::not_run("object-api", RETRY_AFTER)),
        }
    }

    fn run(&self, key: String, etag: Etag, fingerprint: String) -> Begin {
        Begin::Run(Box::new(Claim {
            api: self.api.clone(),
            key,
            etag,
            fingerprint,
        }))
    }

    async fn look_up(&self, object_key: String, started: Record) -> Begin {
        let found = self.api.read::<Record>(&object_key).await;
        let Ok(Some(found)) = found else {
            return Begin::Refuse(Refused::unknown("object-api", RETRY_AFTER));
        };
        if found.value.fingerprint != started.fingerprint {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return Begin::Refuse(Refused::bad_request("idempotency-key-reused", status));
        }
        match found.value.progress {
            Progress::Answered {
                status,
                content_type,
                body,
            } => Begin::Answer(stored_response(status, &content_type, body)),
            Progress::Started => Begin::Refuse(Refused::unknown("may-have-run", RETRY_AFTER)),
            Progress::NotRun => {
                let condition = Condition::At(found.etag);
                match self.api.write(&object_key, &started, &condition).await {
                    Ok(etag) => self.run(object_key, etag, started.fingerprint),
                    Err(_) => Begin::Refuse(Refused::unknown("may-have-run", RETRY_AFTER)),
                }
            }
        }
    }
}

impl Claim {
    /// Stores the answer for resends. If that fails, resends get `unknown`.
    pub async fn answered(self, response: &Response<Bytes>) {
        let body = std::str::from_utf8(response.body()).ok();
        let Some(body) = body.filter(|body| body.len() <= STORED_ANSWER_LIMIT_BYTES) else {
            return;
        };
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let progress = Progress::Answered {
            status: response.status().as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: body.to_owned(),
        };
        self.store(progress).await;
    }

    /// Notes that no byte of the call was sent, so that a resend may run it.
    pub async fn not_run(self) {
        self.store(Progress::NotRun).await;
    }

    async fn store(self, progress: Progress) {
        let write_id = self.api.write_id();
        let record = Record {
            write_id,
            fingerprint: self.fingerprint,
            progress,
        };
        drop(
            self.api
                .write(&self.key, &record, &Condition::At(self.etag))
                .await,
        );
    }
}

fn stored_response(status: u16, content_type: &str, body: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    response
}

/// SHA-256 as hexadecimal text.
#[must_use]
pub fn hex_digest(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let written = write!(text, "{byte:02x}");
        debug_assert!(written.is_ok(), "writing to a string does not fail");
    }
    text
}
