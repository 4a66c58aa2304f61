//! What stands in the platform's store about a submission.
//!
//! One head says who runs it and whether it has ended; parts hold its items; chunks
//! hold its results. Parts and chunks are created once and never changed. The head is
//! created last: a submission without a head was never accepted.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::model::Item;
use crate::model::ItemResult;

/// The node that runs a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its name.
    pub node: String,
    /// Where it takes other nodes.
    pub address: SocketAddr,
}

/// The head of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Names the write that made this value.
    pub write: String,
    /// Host of its route.
    pub host: String,
    /// Path that it was submitted at, which leads to its route.
    pub path: String,
    /// Model that makes the samples.
    pub model: String,
    /// Oldest version of the weights that may make a token of it.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub target_groups: u32,
    /// Items of the submission.
    pub items: u32,
    /// Objects that hold them.
    pub parts: u32,
    /// When it was accepted, as the accepting node's time of day.
    pub accepted_ms: u64,
    /// Who runs it.
    pub runner: Runner,
    /// No more of it is wanted.
    pub ended: bool,
    /// Account that submitted it, where calls need a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

impl Head {
    /// Whether whoever asks for this account may know of the submission. One that was
    /// submitted for none may be asked about by all.
    #[must_use]
    pub fn is_for(&self, account: Option<&str>) -> bool {
        self.account.is_none() || self.account.as_deref() == account
    }
}

/// Some items of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Names the write that made this value.
    pub write: String,
    /// The items, in the trainer's order.
    pub items: Vec<Item>,
}

/// Some results of a submission, in the order in which they are listed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Names the write that made this value.
    pub write: String,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// What one unfinished sample got since the last record that has some of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPiece {
    /// Id of the item.
    pub item: String,
    /// Events of it that earlier records hold.
    pub after: usize,
    /// Data of the events behind those.
    pub events: Vec<String>,
    /// Versions of the weights that made an event up to here, ascending.
    pub versions: Vec<u64>,
    /// The text is whole with them, and waits for its score.
    #[serde(default)]
    pub whole: bool,
}

/// Texts of samples that are being made, so that another runner goes on with them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedTexts {
    /// Names the write that made this value.
    pub write: String,
    /// The pieces.
    pub pieces: Vec<TextPiece>,
}

/// Largest part or chunk: the store's values end at a megabyte, and JSON escapes.
pub const RECORD_LIMIT_BYTES: usize = 600_000;

/// Name of a part or chunk, in the order of their numbers.
#[must_use]
pub fn numbered(submission: &str, number: usize) -> String {
    format!("{submission}-{number:05}")
}

/// Cuts items or results into records below the limit, in order.
pub fn cut<T>(all: Vec<T>, size_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut records: Vec<Vec<T>> = Vec::new();
    let mut filled = usize::MAX;
    for one in all {
        let size = size_bytes(&one);
        if filled.saturating_add(size) > RECORD_LIMIT_BYTES {
            records.push(Vec::new());
            filled = 0;
        }
        filled += size;
        if let Some(last) = records.last_mut() {
            last.push(one);
        }
    }
    records
}

/// About the bytes that an item takes in a part.
#[must_use]
pub fn item_bytes(item: &Item) -> usize {
    let headers: usize = item
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len() + 30)
        .sum();
    let reward_call = item.reward_call.as_ref();
    let reward_bytes = reward_call.map_or(0, |call| {
        call.body_base64.len() + call.host.len() + call.path.len() + 100
    });
    item.body_base64.len() + item.path.len() + headers + reward_bytes + 200
}

/// About the bytes that a piece of a text takes in a record.
#[must_use]
pub fn piece_bytes(piece: &TextPiece) -> usize {
    let text: usize = piece.events.iter().map(|event| event.len() + 4).sum();
    text + piece.item.len() + 100
}

/// About the bytes that a result takes in a chunk.
#[must_use]
pub fn result_bytes(result: &ItemResult) -> usize {
    result.text.len() + result.item.len() + 100
}
