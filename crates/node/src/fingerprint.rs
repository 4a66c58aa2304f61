//! Fingerprints of requests, which stay the same when a request comes again under another id.

use std::fmt;

use http::request;
use xxhash_rust::xxh3::Xxh3;

/// Hash of what makes two requests the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// The fingerprint of a client's call: its method, path, query, account and body.
    #[must_use]
    pub fn of_call(head: &request::Parts, account: Option<&str>, body: &[u8]) -> Self {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Self::of_parts(&[
            b"call",
            head.method.as_str().as_bytes(),
            path.as_bytes(),
            account.unwrap_or_default().as_bytes(),
            body,
        ])
    }

    /// Hashes parts with their lengths, so that no two lists of parts run together.
    fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}
