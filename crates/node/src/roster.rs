//! Which nodes a seed knows, what their VMs can bear, and the home that it names for a model.
//!
//! A node that follows a seed asks it about once a second. With one of these questions it tells
//! what its VM can bear and whether it takes steps, so that a seed knows the nodes that ask it
//! without a call of its own. Each seed knows other nodes, and whoever needs a home asks all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::home_selection::HomeCandidate;
use firweir_policy::home_selection::HomeScore;
use firweir_policy::home_selection::NodeKey;
use firweir_policy::home_selection::best_home;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::POLL_TIMEOUT;
use crate::submission::records::NodeRef;

/// Path at which a seed names a home.
pub const HOME_PATH: &str = "/peer/home";

/// Header in which a node tells what it is.
pub const MEMBER_HEADER: HeaderName = HeaderName::from_static("x-firweir-member");

/// A node that has not asked for this long may be gone: two questions of its own are late.
const SILENT_AFTER: Duration = Duration::from_millis(2 * POLL_TIMEOUT.as_millis() as u64);

/// A home that was named counts as one for this long: until the list of duties shows it.
const NAMED_FOR: Duration = Duration::from_secs(5);

/// What a node tells seeds of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub runner: NodeRef,
    /// What its VM can bear: parts of [`crate::settings::REFERENCE_VM`].
    pub capacity: f64,
    /// It knows its configuration and does not drain.
    pub takes_steps: bool,
}

/// What a node asks a seed that needs a home for a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeQuestion {
    /// The model.
    pub model: String,
    /// A node that did not answer.
    #[serde(rename = "but")]
    pub excluded: Option<SocketAddr>,
}

/// The home that a seed names, and what it is worth beside those that other seeds name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeOffer {
    /// The node.
    pub home: NodeRef,
    /// Part of its VM that the model would get.
    #[serde(rename = "share")]
    pub capacity_share: f64,
    /// Tells equal offers apart.
    #[serde(rename = "order")]
    pub tie_breaker: u64,
}

impl HomeOffer {
    /// What the home is worth to the model.
    #[must_use]
    pub const fn score(&self) -> HomeScore {
        HomeScore {
            capacity_share: self.capacity_share,
            tie_breaker: self.tie_breaker,
        }
    }
}

/// The home of a model, as the list of duties shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeAssignment {
    /// The model.
    pub model: String,
    /// Its home.
    pub address: SocketAddr,
}

/// What this node tells of itself; cheap to clone.
#[derive(Debug, Clone)]
pub struct LocalMember {
    runner: Option<NodeRef>,
    capacity: f64,
    takes_steps: Arc<AtomicBool>,
}

impl LocalMember {
    /// A node that takes no steps yet, or never if it takes no other nodes.
    #[must_use]
    pub fn new(runner: Option<NodeRef>, capacity: f64) -> Self {
        Self {
            runner,
            capacity,
            takes_steps: Arc::default(),
        }
    }

    /// Whether it takes steps from now on.
    pub fn set_takes_steps(&self, takes_steps: bool) {
        self.takes_steps.store(takes_steps, Ordering::Relaxed);
    }

    /// What a seed is told; `None` of a node that takes no other nodes.
    #[must_use]
    pub fn header(&self) -> Option<HeaderValue> {
        let member = Member {
            runner: self.runner.clone()?,
            capacity: self.capacity,
            takes_steps: self.takes_steps.load(Ordering::Relaxed),
        };
        let text = serde_json::to_string(&member).ok()?;
        HeaderValue::from_str(&text).ok()
    }
}

#[derive(Debug)]
struct Heard {
    member: Member,
    at: Instant,
}

/// A home that was named and may not be in the list of duties yet.
#[derive(Debug)]
struct Named {
    model: String,
    address: SocketAddr,
    /// The home that it is to replace.
    before: Option<SocketAddr>,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by address.
    members: Vec<Heard>,
    named: Vec<Named>,
}

/// The nodes that ask this one.
#[derive(Debug, Default)]
pub struct Roster {
    state: Mutex<State>,
}

impl Roster {
    /// A node has told what it is.
    pub fn record_member(&self, now: Instant, member: Member) {
        let mut state = self.lock();
        let address = member.runner.address;
        let heard = Heard { member, at: now };
        let members = &mut state.members;
        match members.binary_search_by_key(&address, |held| held.member.runner.address) {
            Ok(at) => members[at] = heard,
            Err(at) => members.insert(at, heard),
        }
    }

    /// The best home for a model that is known here; the same one if it was named a moment ago.
    #[must_use]
    pub fn home_for(
        &self,
        now: Instant,
        question: &HomeQuestion,
        settled: &[HomeAssignment],
    ) -> Option<HomeOffer> {
        let mut state = self.lock();
        state.forget(now, settled);
        state.forget_member(question.excluded);
        let named = state.take_named(&question.model);
        let candidates = state.candidates(settled, named);
        let (best, worth) = best_home(xxh3_64(question.model.as_bytes()), &candidates)?;
        let home = state.members[best.0 as usize].member.runner.clone();
        state.named.push(Named {
            model: question.model.clone(),
            address: home.address,
            before: question.excluded,
            at: now,
        });
        Some(HomeOffer {
            home,
            capacity_share: worth.capacity_share,
            tie_breaker: worth.tie_breaker,
        })
    }

    /// Number of nodes that have asked, including some that may have stopped since.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().members.len()
    }

    /// Whether no node has asked yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn forget(&mut self, now: Instant, settled: &[HomeAssignment]) {
        self.members
            .retain(|held| now.duration_since(held.at) < SILENT_AFTER);
        // The model may have gone to a home that another seed has named.
        let is_settled = |named: &Named| {
            let mut settled = settled.iter();
            settled.any(|held| held.model == named.model && Some(held.address) != named.before)
        };
        self.named
            .retain(|held| now.duration_since(held.at) < NAMED_FOR && !is_settled(held));
    }

    /// One that is there after all is known again by its next question.
    fn forget_member(&mut self, address: Option<SocketAddr>) {
        self.members
            .retain(|held| Some(held.member.runner.address) != address);
    }

    /// The home that was named for a model a moment ago, which is named anew.
    fn take_named(&mut self, model: &str) -> Option<SocketAddr> {
        let at = self.named.iter().position(|held| held.model == model)?;
        let address = self.named.swap_remove(at).address;
        self.member_at(address)
            .is_some_and(|member| member.takes_steps)
            .then_some(address)
    }

    fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        let members = &self.members;
        let found = members.binary_search_by_key(&address, |held| held.member.runner.address);
        found.ok().map(|at| &members[at].member)
    }

    /// Nodes that take steps; `only` one of them if it is given.
    fn candidates(
        &self,
        settled: &[HomeAssignment],
        only: Option<SocketAddr>,
    ) -> Vec<HomeCandidate> {
        let settled = settled.iter().map(|held| held.address);
        let named = self.named.iter().map(|held| held.address);
        let mut homes: Vec<SocketAddr> = settled.chain(named).collect();
        homes.sort_unstable();
        let homes_at = |address: SocketAddr| {
            let first = homes.partition_point(|held| *held < address);
            homes[first..].partition_point(|held| *held == address)
        };
        let members = self.members.iter().enumerate();
        let usable = members.filter(|(_, heard)| {
            let member = &heard.member;
            member.takes_steps && only.is_none_or(|only| only == member.runner.address)
        });
        let candidate = |(at, heard): (usize, &Heard)| {
            let address = heard.member.runner.address;
            HomeCandidate {
                node: NodeKey(at as u32),
                hash: xxh3_64(address.to_string().as_bytes()),
                capacity: heard.member.capacity,
                models: homes_at(address) as u32,
            }
        };
        usable.map(candidate).collect()
    }
}
