//! The nodes that a seed knows, with the capacities of their VMs, and the choice of homes for
//! models among them.
//!
//! A node that follows a seed polls it about once a second. In one of these requests it announces
//! the capacity of its VM and whether it accepts steps, so that a seed learns of the nodes without
//! extra calls. Each seed knows different nodes; a node that needs a home asks all seeds.

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

/// Path at which a seed offers a home.
pub const HOME_PATH: &str = "/peer/home";

/// Header in which a node announces itself as a [`Member`].
pub const MEMBER_HEADER: HeaderName = HeaderName::from_static("x-firweir-member");

/// A node that has not polled for this long may be gone: it has missed two polls.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(2 * POLL_TIMEOUT.as_millis() as u64);

/// An offered home counts as assigned until it appears in the list of duties, but at most for this
/// long.
const OFFER_VALID_FOR: Duration = Duration::from_secs(5);

/// What a node announces of itself to seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub runner: NodeRef,
    /// Capacity of its VM, relative to [`crate::settings::REFERENCE_VM`].
    pub capacity: f64,
    /// It knows its configuration and does not drain.
    pub takes_steps: bool,
}

/// Request for a home of a model, sent to a seed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeQuestion {
    /// The model.
    pub model: String,
    /// A node that must not be offered because it did not answer.
    #[serde(rename = "but")]
    pub excluded: Option<SocketAddr>,
}

/// The home that a seed offers, with its score for comparison with the offers of other seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeOffer {
    /// The node.
    pub home: NodeRef,
    /// Capacity that the model would get, relative to [`crate::settings::REFERENCE_VM`].
    #[serde(rename = "share")]
    pub capacity_share: f64,
    /// Orders offers with equal shares.
    #[serde(rename = "order")]
    pub tie_breaker: u64,
}

impl HomeOffer {
    /// Score of the home for the model.
    #[must_use]
    pub const fn score(&self) -> HomeScore {
        HomeScore {
            capacity_share: self.capacity_share,
            tie_breaker: self.tie_breaker,
        }
    }
}

/// The home of a model according to the list of duties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeAssignment {
    /// The model.
    pub model: String,
    /// Its home.
    pub address: SocketAddr,
}

/// What this node announces of itself; cheap to clone.
#[derive(Debug, Clone)]
pub struct LocalMember {
    node: Option<NodeRef>,
    capacity: f64,
    takes_steps: Arc<AtomicBool>,
}

impl LocalMember {
    /// A node that accepts no steps yet. `node` is `None` if it accepts no requests from other
    /// nodes; then it never announces itself.
    #[must_use]
    pub fn new(node: Option<NodeRef>, capacity: f64) -> Self {
        Self {
            node,
            capacity,
            takes_steps: Arc::default(),
        }
    }

    /// Sets whether this node accepts steps.
    pub fn set_takes_steps(&self, takes_steps: bool) {
        self.takes_steps.store(takes_steps, Ordering::Relaxed);
    }

    /// Value of [`MEMBER_HEADER`]; `None` if this node accepts no requests from other nodes.
    #[must_use]
    pub fn header(&self) -> Option<HeaderValue> {
        let member = Member {
            runner: self.node.clone()?,
            capacity: self.capacity,
            takes_steps: self.takes_steps.load(Ordering::Relaxed),
        };
        let text = serde_json::to_string(&member).ok()?;
        HeaderValue::from_str(&text).ok()
    }
}

#[derive(Debug)]
struct KnownMember {
    member: Member,
    at: Instant,
}

/// A home that was offered and may not be in the list of duties yet.
#[derive(Debug)]
struct PendingHome {
    model: String,
    address: SocketAddr,
    /// The previous home, which it replaces.
    replaces: Option<SocketAddr>,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by address.
    members: Vec<KnownMember>,
    pending: Vec<PendingHome>,
}

/// The nodes that poll this one.
#[derive(Debug, Default)]
pub struct Roster {
    state: Mutex<State>,
}

impl Roster {
    /// Records the announcement of a node.
    pub fn record_member(&self, now: Instant, member: Member) {
        let mut state = self.lock();
        let address = member.runner.address;
        let known = KnownMember { member, at: now };
        let members = &mut state.members;
        match members.binary_search_by_key(&address, |other| other.member.runner.address) {
            Ok(at) => members[at] = known,
            Err(at) => members.insert(at, known),
        }
    }

    /// The best known home for a model; the same as before if one was offered recently.
    #[must_use]
    pub fn home_for(
        &self,
        now: Instant,
        question: &HomeQuestion,
        assignments: &[HomeAssignment],
    ) -> Option<HomeOffer> {
        let mut state = self.lock();
        state.forget_expired(now, assignments);
        state.forget_member(question.excluded);
        let pending = state.take_pending(&question.model);
        let candidates = state.candidates(assignments, pending);
        let (best, score) = best_home(xxh3_64(question.model.as_bytes()), &candidates)?;
        let home = state.members[best.0 as usize].member.runner.clone();
        state.pending.push(PendingHome {
            model: question.model.clone(),
            address: home.address,
            replaces: question.excluded,
            at: now,
        });
        Some(HomeOffer {
            home,
            capacity_share: score.capacity_share,
            tie_breaker: score.tie_breaker,
        })
    }

    /// Number of nodes that have polled this one, including some that may have stopped since.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().members.len()
    }

    /// Whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn forget_expired(&mut self, now: Instant, assignments: &[HomeAssignment]) {
        self.members
            .retain(|known| now.duration_since(known.at) < MEMBER_TIMEOUT);
        // The model may have been assigned to a home that another seed offered.
        let is_assigned = |pending: &PendingHome| {
            let mut assignments = assignments.iter();
            assignments.any(|assignment| {
                assignment.model == pending.model && Some(assignment.address) != pending.replaces
            })
        };
        self.pending.retain(|pending| {
            now.duration_since(pending.at) < OFFER_VALID_FOR && !is_assigned(pending)
        });
    }

    /// Forgets a node; if it is still alive, its next poll adds it again.
    fn forget_member(&mut self, address: Option<SocketAddr>) {
        self.members
            .retain(|known| Some(known.member.runner.address) != address);
    }

    /// Removes the home that was recently offered for a model, and returns it if it still accepts
    /// steps.
    fn take_pending(&mut self, model: &str) -> Option<SocketAddr> {
        let at = self
            .pending
            .iter()
            .position(|pending| pending.model == model)?;
        let address = self.pending.swap_remove(at).address;
        self.member_at(address)
            .is_some_and(|member| member.takes_steps)
            .then_some(address)
    }

    fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        let members = &self.members;
        let found = members.binary_search_by_key(&address, |known| known.member.runner.address);
        found.ok().map(|at| &members[at].member)
    }

    /// Nodes that accept steps, or just `only` if it is given.
    fn candidates(
        &self,
        assignments: &[HomeAssignment],
        only: Option<SocketAddr>,
    ) -> Vec<HomeCandidate> {
        let assignments = assignments.iter().map(|assignment| assignment.address);
        let pending = self.pending.iter().map(|pending| pending.address);
        let mut homes: Vec<SocketAddr> = assignments.chain(pending).collect();
        homes.sort_unstable();
        let homes_at = |address: SocketAddr| {
            let first = homes.partition_point(|home| *home < address);
            homes[first..].partition_point(|home| *home == address)
        };
        let members = self.members.iter().enumerate();
        let usable = members.filter(|(_, known)| {
            let member = &known.member;
            member.takes_steps && only.is_none_or(|only| only == member.runner.address)
        });
        let candidate = |(at, known): (usize, &KnownMember)| {
            let address = known.member.runner.address;
            HomeCandidate {
                node: NodeKey(at as u32),
                hash: xxh3_64(address.to_string().as_bytes()),
                capacity: known.member.capacity,
                models: homes_at(address) as u32,
            }
        };
        usable.map(candidate).collect()
    }
}
