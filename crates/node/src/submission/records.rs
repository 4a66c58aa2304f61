//! Records of a submission in the platform store.
//!
//! The head names the runner and tells whether the submission has ended. Parts hold the items,
//! chunks the results; both are created once and never changed. The head is created after the
//! parts: a submission without a head was never accepted.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::dialect::Freshness;
use crate::dialect::ObjectKind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::listing::Paging;
use crate::model::Item;
use crate::model::ItemResult;
use crate::store::Store;

/// Name and address of a node, such as the runner of a submission or the home of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRef {
    /// Its name.
    pub node: String,
    /// Address at which it accepts calls of other nodes.
    pub address: SocketAddr,
}

/// The head of a submission: its parameters, its runner, and whether it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Id of the write that created this value.
    pub write: String,
    /// Host of its route.
    pub host: String,
    /// Path that it was submitted to, which determines its route.
    pub path: String,
    /// Model that generates the samples.
    pub model: String,
    /// Oldest version of the weights that may generate its tokens.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub target_groups: u32,
    /// Number of items.
    pub items: u32,
    /// Number of parts that hold the items.
    pub parts: u32,
    /// When it was accepted, in milliseconds since the Unix epoch by the accepting node's clock.
    pub accepted_ms: u64,
    /// The node that runs it.
    pub runner: NodeRef,
    /// Whether it has ended: no more results are wanted.
    pub ended: bool,
    /// Account that submitted it, if calls need a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

impl Head {
    /// Whether a caller of this account may access the submission. One without an account is
    /// accessible to all.
    #[must_use]
    pub fn is_visible_to(&self, account: Option<&str>) -> bool {
        self.account.is_none() || self.account.as_deref() == account
    }
}

/// Some items of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionPart {
    /// Id of the write that created this value.
    pub write: String,
    /// The items, in the trainer's order.
    pub items: Vec<Item>,
}

/// Some results of a submission, in the order of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultChunk {
    /// Id of the write that created this value.
    pub write: String,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// The part of an unfinished sample's text that follows its previous pieces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPiece {
    /// Id of the item.
    pub item: String,
    /// Number of events in earlier pieces.
    pub after: usize,
    /// Data of the events that follow.
    pub events: Vec<String>,
    /// Versions of the weights that generated the events up to here, ascending.
    pub versions: Vec<u64>,
    /// Whether these events complete the text, which then waits for its score.
    #[serde(default, rename = "whole")]
    pub complete: bool,
}

/// Texts of unfinished samples, from which another runner can continue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedTexts {
    /// Id of the write that created this value.
    pub write: String,
    /// The pieces.
    pub pieces: Vec<TextPiece>,
}

/// Size limit of a record before JSON escaping; values in the store are limited to a megabyte.
pub const MAX_RECORD_BYTES: usize = 600_000;

/// Name of a record, which sorts by its number.
#[must_use]
pub fn record_name(submission: &str, number: usize) -> String {
    format!("{submission}-{number:05}")
}

/// Reads the records of a submission from a number on, up to the first gap.
///
/// A record that another writer has made unreadable counts as empty: it is so for every
/// reader, so positions stay the same, and later records are not lost.
pub(crate) async fn read_records<T: DeserializeOwned + Default>(
    store: &Store,
    kind: ObjectKind,
    submission: &str,
    from: usize,
) -> Result<Vec<T>, StoreError> {
    let mut records = Vec::new();
    // Names sort by submission, then number: the next record, if there is one, comes after the last
    // known name.
    let mut paging = Paging::starting_after(from.checked_sub(1).map_or_else(
        || format!("{submission}-"),
        |last| record_name(submission, last),
    ));
    loop {
        let call = StoreCall::List {
            kind,
            after: paging.after.clone(),
            freshness: Freshness::Newest,
        };
        let StoreAnswer::Page {
            objects,
            names,
            more,
            ..
        } = store.call(&call).await?
        else {
            return Err(StoreError::Unknown);
        };
        for object in objects {
            match object
                .name
                .cmp(&record_name(submission, from + records.len()))
            {
                // Of another writer.
                Ordering::Less => continue,
                Ordering::Equal => {}
                Ordering::Greater => return Ok(records),
            }
            let record = serde_json::from_str(object.value.get());
            records.push(record.unwrap_or_else(|error| {
                store.log_unreadable(kind, &object.name, &error);
                T::default()
            }));
        }
        if !more {
            return Ok(records);
        }
        paging.advance(names)?;
    }
}

/// Splits entries, in order, into records of at most [`MAX_RECORD_BYTES`]; a larger entry gets
/// a record of its own.
pub fn split_into_records<T>(entries: Vec<T>, size_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let ranges = record_ranges(&entries, size_bytes);
    let mut entries = entries.into_iter();
    let records = ranges.into_iter().map(|range| {
        let record = entries.by_ref().take(range.len());
        record.collect()
    });
    records.collect()
}

/// Ranges of the entries that [`split_into_records`] puts into one record each.
pub fn record_ranges<T>(entries: &[T], size_bytes: impl Fn(&T) -> usize) -> Vec<Range<usize>> {
    let mut ranges: Vec<Range<usize>> = Vec::new();
    let mut filled_bytes = usize::MAX;
    for (index, entry) in entries.iter().enumerate() {
        let size = size_bytes(entry);
        if filled_bytes.saturating_add(size) > MAX_RECORD_BYTES {
            ranges.push(index..index);
            filled_bytes = 0;
        }
        filled_bytes += size;
        if let Some(last) = ranges.last_mut() {
            last.end = index + 1;
        }
    }
    ranges
}

/// Estimates the bytes that an item takes in a part.
#[must_use]
pub fn estimated_item_bytes(item: &Item) -> usize {
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

/// Estimates the bytes that a piece of a text takes in a record.
#[must_use]
pub fn estimated_piece_bytes(piece: &TextPiece) -> usize {
    let text: usize = piece.events.iter().map(|event| event.len() + 4).sum();
    text + piece.item.len() + 100
}

/// Estimates the bytes that a result takes in a chunk.
#[must_use]
pub fn estimated_result_bytes(result: &ItemResult) -> usize {
    result.text.len() + result.item.len() + 100
}
