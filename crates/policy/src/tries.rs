//! Limits how often one call is sent to upstreams.
//!
//! With upstreams that refuse calls, fail them or cannot be reached, a call would otherwise be
//! sent without bound, or given up although no upstream has run it. A route limits the tries of
//! a call and the number of upstreams that get it. If upstreams are shared, the first refusals
//! do not count as tries, since the call waits for a free slot before the next try.

use crate::work::UpstreamKey;

/// Refusals by shared upstreams that do not count as tries.
const UNCOUNTED_REFUSALS: u32 = 4;

/// The tries of one call.
#[derive(Debug, Clone)]
pub struct Tries {
    /// Maximum number of counted tries, and of different upstreams that get the call.
    limit: u32,
    counted: u32,
    refusals: u32,
    is_shared: bool,
    sent_to: Vec<UpstreamKey>,
    avoid: Vec<UpstreamKey>,
}

impl Tries {
    /// A call with at most `limit` tries and upstreams. `is_shared`: whether other nodes call
    /// the upstreams as well.
    #[must_use]
    pub fn new(limit: u32, is_shared: bool) -> Self {
        Self {
            limit: limit.max(1),
            counted: 0,
            refusals: 0,
            is_shared,
            sent_to: Vec::new(),
            avoid: Vec::new(),
        }
    }

    /// Whether the call may be tried again.
    #[must_use]
    pub const fn has_tries_left(&self) -> bool {
        self.counted < self.limit
    }

    /// Whether the next try that counts is the last one.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        self.counted + 1 >= self.limit
    }

    /// Whether the call may be sent to this upstream.
    #[must_use]
    pub fn may_send_to(&self, upstream: UpstreamKey) -> bool {
        self.sent_to.contains(&upstream) || self.sent_to.len() < self.limit as usize
    }

    /// Upstreams to use only if no other has a free slot.
    #[must_use]
    pub fn avoid(&self) -> &[UpstreamKey] {
        &self.avoid
    }

    /// Records that the call could not be sent to this upstream, which does not count as a try.
    pub fn record_not_sent(&mut self, upstream: UpstreamKey) {
        self.avoid.push(upstream);
    }

    /// Records that the call was sent to this upstream, and whether it was refused there.
    pub fn record_sent(&mut self, upstream: UpstreamKey, is_refused: bool) {
        if !self.sent_to.contains(&upstream) {
            self.sent_to.push(upstream);
        }
        self.avoid.push(upstream);
        self.counted += u32::from(!(is_refused && self.record_refusal()));
    }

    /// Records a refusal; true if it does not count as a try.
    const fn record_refusal(&mut self) -> bool {
        self.refusals += 1;
        self.is_shared && self.refusals <= UNCOUNTED_REFUSALS
    }
}
