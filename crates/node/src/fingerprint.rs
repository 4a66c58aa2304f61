//! Fingerprints of requests, which stay the same when a request comes again under another id.

use std::fmt;

use firweir::connection::blocks::Blocks;
use http::request;
use xxhash_rust::xxh3::Xxh3;

use crate::model::RewardCall;

/// Bits of a hash that are dropped, so that it is exact as a JSON number, whose readers may keep 53
/// bits.
const DROPPED_BITS: u32 = 12;

/// Hash of what makes two requests the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:013x}", self.0)
    }
}

impl Fingerprint {
    /// The fingerprint of a client's call: its method, path, query, account and body.
    #[must_use]
    pub fn of_call(head: &request::Parts, account: Option<&str>, body: &Blocks) -> Self {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut hasher = Xxh3::new();
        let parts = [
            b"call",
            head.method.as_str().as_bytes(),
            path.as_bytes(),
            account.unwrap_or_default().as_bytes(),
        ];
        for part in parts {
            add_part(&mut hasher, part);
        }
        hasher.update(&body.len().to_le_bytes());
        body.iter().for_each(|block| hasher.update(block));
        Self::of_hash(&hasher)
    }

    /// The fingerprint of an item, for answers that its run failed.
    #[must_use]
    pub fn of_failing_item(item: &str) -> Self {
        Self::of_parts(&[b"failing item", item.as_bytes()])
    }

    /// The fingerprint of an item, for answers that it can never be run.
    #[must_use]
    pub fn of_impossible_item(item: &str) -> Self {
        Self::of_parts(&[b"impossible item", item.as_bytes()])
    }

    /// The fingerprint of a reward call, for answers that it failed.
    #[must_use]
    pub fn of_failing_reward_call(call: &RewardCall) -> Self {
        Self::of_reward_call(b"failing reward call", call)
    }

    fn of_reward_call(kind: &[u8], call: &RewardCall) -> Self {
        let (id, path, body) = (&call.id, &call.path, &call.body_base64);
        Self::of_parts(&[kind, id.as_bytes(), path.as_bytes(), body.as_bytes()])
    }

    /// Hash of the cause of a failure.
    #[must_use]
    pub fn of_cause(name: &str) -> Self {
        Self::of_parts(&[b"cause", name.as_bytes()])
    }

    /// Hashes parts with their lengths, so that no two lists of parts run together.
    fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            add_part(&mut hasher, part);
        }
        Self::of_hash(&hasher)
    }

    fn of_hash(hasher: &Xxh3) -> Self {
        Self(hasher.digest() >> DROPPED_BITS)
    }
}

/// Adds a part with its length.
fn add_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&part.len().to_le_bytes());
    hasher.update(part);
}
