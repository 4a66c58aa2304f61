//! Client of the platform's object API: versions, conditional updates, watches,
//! and the settling of writes whose reply was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::blocks::Blocks;
use crate::connection::client::ClientError;
use crate::connection::client::HttpClient;
use crate::connection::client::json_request;
use crate::connection::target::Target;
use crate::version::view::Upstream;

/// The platform answers in milliseconds; past this it counts as not answering.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A write whose reply was lost is read back this often before it stays unknown.
const SETTLE_TRIES: u32 = 3;

quick_error! {
    /// Why a call of the object API brought nothing.
    #[derive(Debug)]
    pub enum ObjectError {
        /// The condition did not hold; nothing was written.
        Conflict {
            display("conflict")
        }
        /// The call certainly had no effect.
        Unavailable(err: ClientError) {
            display("object API unavailable: {err}")
            source(err)
        }
        /// The write may or may not have taken effect.
        Unknown(err: ClientError) {
            display("write not settled: {err}")
            source(err)
        }
        /// The answer was not what the protocol says.
        Malformed {
            display("malformed answer of the object API")
        }
    }
}

/// The version of an object, compared and never looked into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Etag(HeaderValue);

/// An object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Its version.
    pub etag: Etag,
    /// Its value.
    pub value: T,
}

/// Under which condition a write takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    At(Etag),
}

/// A value that names the write which made it.
pub trait Stamped: Serialize + DeserializeOwned + Send + Sync {
    /// Names the write; unique among all writes of all processes.
    fn write_id(&self) -> &str;
}

/// What the platform's VM list holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The system's own VMs.
    pub entries: Vec<EntryVm>,
    /// VMs of the services.
    pub upstreams: Vec<Upstream>,
}

/// One of the system's own VMs in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Its name.
    pub node: String,
    /// Where its steward takes peers.
    pub steward: SocketAddr,
}

/// Client of the object API; cheap to clone.
#[derive(Debug, Clone)]
pub struct ObjectApi {
    client: HttpClient,
    address: SocketAddr,
    writer: Arc<Writer>,
    first_put_timeout: Duration,
}

#[derive(Debug)]
struct Writer {
    name: String,
    writes: AtomicU64,
}

impl ObjectApi {
    /// A client that signs its writes with `writer`, a name no other process has.
    #[must_use]
    pub fn new(client: HttpClient, address: SocketAddr, writer: String) -> Self {
        let writer = Arc::new(Writer {
            name: writer,
            writes: AtomicU64::new(0),
        });
        Self {
            client,
            address,
            writer,
            first_put_timeout: CALL_TIMEOUT,
        }
    }

    /// A client that reads back sooner: callers wait behind each of its writes,
    /// and a reply that was lost is known by this much silence.
    #[must_use]
    pub const fn reading_back_after(mut self, silence: Duration) -> Self {
        self.first_put_timeout = silence;
        self
    }

    /// A name for the next write.
    #[must_use]
    pub fn write_id(&self) -> String {
        let number = self.writer.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.writer.name)
    }

    /// Reads an object, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// The platform does not answer, or not as it should.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Versioned<T>>, ObjectError> {
        let request = json_request(Method::GET, to_uri(&target_of(key))?, Vec::new());
        let response = self.call(request, CALL_TIMEOUT).await?;
        read_versioned(&response)
    }

    /// Waits until an object is no longer at `known`, at most `wait`.
    ///
    /// Gives `None` if it did not change.
    ///
    /// # Errors
    ///
    /// The platform does not answer, or not as it should.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        known: Option<&Etag>,
        wait: Duration,
    ) -> Result<Option<Versioned<T>>, ObjectError> {
        let target = target_of(key).parameter("wait_ms", &wait.as_millis());
        let mut request = json_request(Method::GET, to_uri(&target)?, Vec::new());
        if let Some(etag) = known {
            request
                .headers_mut()
                .insert(header::IF_NONE_MATCH, etag.0.clone());
        }
        let response = self.call(request, wait + CALL_TIMEOUT).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        read_versioned(&response)
    }

    /// Writes an object under a condition and gives its new version.
    ///
    /// A write whose reply was lost is read back: if the object carries this
    /// write's id it took effect; if it is still at the old version it is sent
    /// again, which is safe because the condition lets only one of both through.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Conflict`] and [`ObjectError::Unavailable`] say that
    /// nothing was written; [`ObjectError::Unknown`] leaves it open.
    pub async fn write<T: Stamped>(
        &self,
        key: &str,
        value: &T,
        condition: &Condition,
    ) -> Result<Etag, ObjectError> {
        let body = serde_json::to_vec(value).map_err(|_unserializable| ObjectError::Malformed)?;
        let mut lost = None;
        for _ in 0..SETTLE_TRIES {
            let timeout = if lost.is_none() {
                self.first_put_timeout
            } else {
                CALL_TIMEOUT
            };
            match self.put(key, body.clone(), condition, timeout).await {
                Ok(etag) => return Ok(etag),
                Err(ObjectError::Unavailable(err)) if lost.is_none() => {
                    return Err(ObjectError::Unavailable(err));
                }
                Err(ObjectError::Conflict) if lost.is_none() => return Err(ObjectError::Conflict),
                Err(ObjectError::Conflict) => {}
                Err(ObjectError::Unknown(err) | ObjectError::Unavailable(err)) => lost = Some(err),
                Err(error) => return Err(error),
            }
            if let Ok(current) = self.read::<T>(key).await {
                match current {
                    Some(current) if current.value.write_id() == value.write_id() => {
                        return Ok(current.etag);
                    }
                    Some(current) if *condition != Condition::At(current.etag.clone()) => {
                        return Err(ObjectError::Conflict);
                    }
                    Some(_) | None => {}
                }
            }
        }
        Err(lost.map_or(ObjectError::Conflict, ObjectError::Unknown))
    }

    /// Reads the platform's VM list.
    ///
    /// # Errors
    ///
    /// The platform does not answer, or not as it should.
    pub async fn vm_list(&self) -> Result<VmList, ObjectError> {
        let response = self
            .call(
                json_request(Method::GET, Uri::from_static("/vms"), Vec::new()),
                CALL_TIMEOUT,
            )
            .await?;
        serde_json::from_slice(response.body()).map_err(|_malformed| ObjectError::Malformed)
    }

    async fn call(
        &self,
        request: Request<Blocks>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ObjectError> {
        let response = self
            .client
            .call(self.address, request, timeout)
            .await
            .map_err(ObjectError::Unavailable)?;
        if response.status().is_server_error() || response.status() == StatusCode::TOO_MANY_REQUESTS
        {
            return Err(ObjectError::Unavailable(ClientError::Status(
                response.status(),
            )));
        }
        Ok(response)
    }

    async fn put(
        &self,
        key: &str,
        body: Vec<u8>,
        condition: &Condition,
        timeout: Duration,
    ) -> Result<Etag, ObjectError> {
        let mut request = json_request(Method::PUT, to_uri(&target_of(key))?, body);
        match condition {
            Condition::Absent => {
                request
                    .headers_mut()
                    .insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"));
            }
            Condition::At(etag) => {
                request
                    .headers_mut()
                    .insert(header::IF_MATCH, etag.0.clone());
            }
        }
        let sent = self.client.call(self.address, request, timeout).await;
        let response = sent.map_err(|error| {
            if error.is_not_sent() {
                ObjectError::Unavailable(error)
            } else {
                ObjectError::Unknown(error)
            }
        })?;
        match response.status() {
            status if status.is_success() => etag_of(&response),
            StatusCode::PRECONDITION_FAILED => Err(ObjectError::Conflict),
            // Refused before it was carried out: a rate limit or an outage that says so.
            status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                Err(ObjectError::Unavailable(ClientError::Status(status)))
            }
            status => Err(ObjectError::Unknown(ClientError::Status(status))),
        }
    }
}

/// Target of an object, whose key is a path.
fn target_of(key: &str) -> Target {
    Target::new("/objects").segments(key)
}

fn to_uri(target: &Target) -> Result<Uri, ObjectError> {
    let uri = target.to_uri();
    uri.map_err(|error| ObjectError::Unavailable(error.into()))
}

fn etag_of(response: &Response<Bytes>) -> Result<Etag, ObjectError> {
    response
        .headers()
        .get(header::ETAG)
        .cloned()
        .map(Etag)
        .ok_or(ObjectError::Malformed)
}

fn read_versioned<T: DeserializeOwned>(
    response: &Response<Bytes>,
) -> Result<Option<Versioned<T>>, ObjectError> {
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let etag = etag_of(response)?;
    let value =
        serde_json::from_slice(response.body()).map_err(|_malformed| ObjectError::Malformed)?;
    Ok(Some(Versioned { etag, value }))
}
