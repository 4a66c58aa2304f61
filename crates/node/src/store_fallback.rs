//! A way to the platform's store through another node.
//!
//! **Load:** the store turns single nodes away, or the path to it is cut for them,
//! while it serves all others. **Without it:** such a node lists no results of the steps
//! that it runs, hears of no configuration and cannot order weights, for as long as that
//! lasts; its trainers wait. **How:** a call that fails is made through a seed, and for a
//! while all calls are. Seeds may be cut off too: one that does not answer is left alone
//! for a while, whatever other calls do through other seeds. If a seed is turned away as
//! well, the store is taken for down. Every write has a condition and is settled by its
//! writer, so one that is made twice does nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Uri;

/// Begin of the paths at which a node makes calls of the store for others.
pub const PEER_STORE_PATH: &str = "/peer/store";

/// Calls take the detour for this long, then one call tries the store again: if it finds
/// the path still cut that costs its time limit.
const DETOUR_FOR: Duration = Duration::from_secs(3);

/// While one call tries the store again, the others still take the detour: its time limit
/// of a second, and a try through a node behind it.
const TRIAL: Duration = Duration::from_millis(1_300);

/// A node that failed is not tried for this long. What cuts it off or turns it away takes
/// seconds, and each try costs a call or a second.
const LEFT_ALONE_FOR: Duration = Duration::from_millis(1_500);

/// How a call through a node failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FallbackFailure {
    /// The node did not answer.
    NoAnswer,
    /// The store turns the node away too.
    StoreRefused,
}

#[derive(Debug, Default)]
struct State {
    nodes: Vec<SocketAddr>,
    /// Calls go through this node until then.
    through: Option<(SocketAddr, Instant)>,
    /// Nodes that are not tried before then.
    left_alone: Vec<(SocketAddr, Instant)>,
    /// Node to try next.
    next: usize,
}

/// Which way calls of the store take; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct StoreFallback {
    state: Arc<Mutex<State>>,
}

impl StoreFallback {
    /// Detours through these nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let fallback = Self::default();
        fallback.set_nodes(nodes);
        fallback
    }

    /// Other nodes from now on.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        self.lock().nodes = nodes;
    }

    /// The node that this call goes through, if any.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<SocketAddr> {
        let mut state = self.lock();
        let (node, until) = state.through?;
        if until > now {
            return Some(node);
        }
        state.through = Some((node, now + TRIAL));
        None
    }

    /// A node to try after the store itself has failed: the one that worked last, if any.
    #[must_use]
    pub fn next_node(&self, now: Instant) -> Option<SocketAddr> {
        let mut state = self.lock();
        state.left_alone.retain(|(_, until)| *until > now);
        let is_left_alone =
            |node: &SocketAddr| state.left_alone.iter().any(|(held, _)| held == node);
        let last_successful = state.through.map(|(node, _)| node);
        if let Some(node) = last_successful.filter(|node| !is_left_alone(node)) {
            return Some(node);
        }
        let count = state.nodes.len();
        let mut places = (1..=count).map(|step| (state.next + step) % count);
        let place = places.find(|place| !is_left_alone(&state.nodes[*place]))?;
        state.next = place;
        Some(state.nodes[place])
    }

    /// A call through this node was answered.
    pub fn record_success(&self, now: Instant, node: SocketAddr) {
        let mut state = self.lock();
        if state
            .through
            .is_none_or(|(held, until)| held != node || until <= now + TRIAL)
        {
            state.through = Some((node, now + DETOUR_FOR));
        }
    }

    /// A call through this node failed.
    pub fn record_failure(&self, now: Instant, node: SocketAddr, failure: FallbackFailure) {
        let mut state = self.lock();
        let until = now + LEFT_ALONE_FOR;
        match failure {
            FallbackFailure::NoAnswer => state.left_alone.push((node, until)),
            FallbackFailure::StoreRefused => {
                let all: Vec<_> = state.nodes.iter().map(|node| (*node, until)).collect();
                state.left_alone.extend(all);
            }
        }
        state.through = state.through.filter(|(held, _)| *held != node);
    }

    /// The store itself answered.
    pub fn record_direct_success(&self) {
        self.lock().through = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Turns a call of the store into one for a node that makes it.
pub fn to_peer_uri<B>(request: &mut Request<B>) {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    if let Ok(uri) = format!("{PEER_STORE_PATH}{path}").parse() {
        *request.uri_mut() = uri;
    }
}

/// The path of the call that a node is asked to make.
#[must_use]
pub fn store_uri_from_peer(uri: &Uri) -> Option<Uri> {
    let path = uri
        .path_and_query()?
        .as_str()
        .strip_prefix(PEER_STORE_PATH)?;
    path.parse().ok()
}
