//! The upstreams of the VM list, as they spread from the stewards that read it.
//!
//! A reader stamps what differs from the rows it holds with a stamp above them
//! all; elsewhere the larger stamp wins. Two readers that stamp alike are told
//! apart by the row itself, and the one that lost looks again a second later.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64;

use crate::process::spread::Row;
use crate::process::spread::Table;
use crate::version::view::Upstream;

/// One upstream and how new the news of it are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRow {
    /// The upstream.
    pub upstream: Upstream,
    /// Larger for later news.
    pub stamp: u64,
    /// It is in the list still.
    pub listed: bool,
}

impl Row for UpstreamRow {
    fn compare(&self, other: &Self) -> Ordering {
        key(&self.upstream).cmp(&key(&other.upstream))
    }

    fn supersedes(&self, held: &Self) -> bool {
        // On equal stamps the news that withholds work wins.
        let order = |row: &Self| {
            let zone = row.upstream.zone.clone();
            (row.stamp, !row.listed, row.upstream.leaving, zone)
        };
        order(self) > order(held)
    }
}

fn key(upstream: &Upstream) -> (&str, std::net::SocketAddr) {
    (&upstream.service, upstream.address)
}

/// All upstreams, sorted by service and address.
#[derive(Debug, Clone, Default)]
pub struct Upstreams {
    table: Table<UpstreamRow>,
    digest: Option<u64>,
}

impl Upstreams {
    /// Takes in what the VM list shows. Gives whether anything changed.
    pub fn read(&mut self, list: &[Upstream], sends: u32) -> bool {
        let mut sorted = list.to_vec();
        sorted.sort();
        let stamp = self.table.rows().map(|row| row.stamp).max().unwrap_or(0) + 1;
        let gone = |row: &&UpstreamRow| {
            let found = sorted.binary_search_by(|it| key(it).cmp(&key(&row.upstream)));
            row.listed && found.is_err()
        };
        let unlisted: Vec<Upstream> = self
            .table
            .rows()
            .filter(gone)
            .map(|row| row.upstream.clone())
            .collect();
        let mut rows = Vec::new();
        for upstream in sorted {
            let held = self
                .table
                .find(|row| key(&row.upstream).cmp(&key(&upstream)));
            if held.is_none_or(|row| !row.listed || row.upstream != upstream) {
                let listed = true;
                rows.push(UpstreamRow {
                    upstream,
                    stamp,
                    listed,
                });
            }
        }
        rows.extend(unlisted.into_iter().map(|upstream| UpstreamRow {
            upstream,
            stamp,
            listed: false,
        }));
        self.merge(rows, sends)
    }

    /// Takes in rows of a peer. Gives whether any was newer.
    pub fn merge(&mut self, rows: Vec<UpstreamRow>, sends: u32) -> bool {
        let mut learnt = false;
        for row in rows {
            learnt |= self.table.take(row, sends);
        }
        if learnt {
            self.digest = None;
        }
        learnt
    }

    /// Rows to hand on in one exchange, at most this many.
    pub fn news(&mut self, limit: usize) -> Vec<UpstreamRow> {
        self.table.news(limit)
    }

    /// All rows.
    #[must_use]
    pub fn rows(&self) -> Vec<UpstreamRow> {
        self.table.rows().cloned().collect()
    }

    /// Upstreams that are in the list, sorted by service and address.
    #[must_use]
    pub fn listed(&self) -> Vec<Upstream> {
        let listed = self.table.rows().filter(|row| row.listed);
        listed.map(|row| row.upstream.clone()).collect()
    }

    /// Hash of all rows; equal where the same is known.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let mut text = Vec::new();
        for row in self.table.rows() {
            text.extend_from_slice(row.upstream.service.as_bytes());
            text.extend_from_slice(row.upstream.address.to_string().as_bytes());
            text.extend_from_slice(&row.stamp.to_le_bytes());
            text.push(u8::from(row.listed));
            text.push(u8::from(row.upstream.leaving));
        }
        let digest = xxh3_64(&text);
        self.digest = Some(digest);
        digest
    }
}
