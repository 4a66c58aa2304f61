//! Input types of the decisions: work, upstreams and how work ended.

use std::time::Duration;
use std::time::Instant;

/// Identifies an upstream within this process; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

/// Identifies one offered piece of work; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkKey(pub u64);

/// Traffic class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A request whose caller waits for the answer.
    Live,
    /// A sample generated for a trainer.
    Training,
}

/// One live request or training sample that needs an upstream.
#[derive(Debug, Clone)]
pub struct Work {
    /// Identifies this work.
    pub key: WorkKey,
    /// Traffic class.
    pub class: Class,
    /// Hash of the caller of a live request, or of the feed of a training sample.
    pub caller: u64,
    /// Hash of the prompt prefix. Equal prefixes benefit from the cache of the same upstream.
    pub prefix: u64,
    /// Estimated cost in tokens, prompt and answer together.
    pub cost_tokens: u32,
    /// Lower numbers are served first; 0 is the highest priority.
    pub priority: u32,
    /// Time after which the caller has no use for the answer.
    pub deadline: Instant,
    /// Latency objective: time from the offer within which the answer is wanted; `None` if
    /// there is none.
    pub objective: Option<Duration>,
    /// Upstreams that already failed this work; at most a few.
    pub avoid: Vec<UpstreamKey>,
}

/// State of one upstream, as input of the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamState {
    /// Identifies this upstream.
    pub key: UpstreamKey,
    /// Hash of its address. It is the same on every VM, unlike the key.
    pub address_hash: u64,
    /// Whether it is in the same availability zone as this VM.
    pub local_zone: bool,
    /// Whether it is about to stop, and gets no new work.
    pub leaving: bool,
    /// Maximum number of requests that all entries together may have in flight there.
    pub limit: u32,
}

/// Demand of the entries that share the upstreams, as input of the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryDemands<'a> {
    /// Number of requests in flight and waiting at each live entry, sorted by VM name.
    pub demands: &'a [u32],
    /// Index of this entry in `demands`.
    pub rank: usize,
    /// Number of entries that this VM knows of, including those that do not respond.
    pub known_entries: usize,
}

impl EntryDemands<'_> {
    /// A single entry that shares the upstreams with no other.
    pub const SINGLE_ENTRY: EntryDemands<'static> = EntryDemands {
        demands: &[1],
        rank: 0,
        known_entries: 1,
    };
}

/// Why work was refused before any byte of it reached an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It could not be answered before its deadline.
    Late,
    /// More work waits than can be served.
    Saturated,
    /// No upstream of the service accepts work.
    NoUpstream,
    /// The upstreams only have capacity for work of a higher priority.
    LowPriority,
}

impl Refusal {
    /// The reason as written in answers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Late => "deadline",
            Self::Saturated => "saturated",
            Self::NoUpstream => "no-upstream",
            Self::LowPriority => "low-priority",
        }
    }
}

/// How started work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Answered,
    /// The connection could not be opened; nothing was sent.
    Unreachable,
    /// The upstream failed or gave no usable answer after something was sent; it may have run the
    /// work.
    Failed,
    /// The caller disconnected or the deadline passed.
    Abandoned,
    /// The upstream refused it without running it.
    Refused,
}

/// Load of an upstream by all its callers, as reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Time that work currently takes on its VM, in percent of the undisturbed time; `None` if
    /// the upstream does not report it.
    pub time_percent: Option<u32>,
}

impl ReportedLoad {
    /// Number of running and waiting requests. Saturates, since an upstream may report any
    /// number.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Result of work that ended, as input of the dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct Finish {
    /// How it ended.
    pub ending: Ending,
    /// Time from start to end.
    pub elapsed: Duration,
    /// Number of tokens of the answer; 0 if the answer does not give it.
    pub tokens: u32,
    /// Load of the upstream, if reported with the answer.
    pub reported_load: Option<ReportedLoad>,
}
