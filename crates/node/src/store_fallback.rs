//! Sends calls of the platform's store through another node when this node cannot reach it.
//!
//! The store may refuse single nodes, or the path to it may be cut for them, while it serves
//! all others. Without a fallback such a node stores no results of the steps that it runs,
//! gets no configuration and cannot order weights until that is over, and its trainers wait.
//!
//! A call that fails is repeated through a seed, and for a while all calls take that way. After it
//! one call tries the store directly: if that fails, the detour goes on for as long again, else it
//! ends. Only a failed direct call begins or extends it, never the success of a call that took it: a
//! detour that outlives its cause depends on one more node for nothing. Seeds may be cut off too:
//! one that does not answer is not tried for a while, while calls through other seeds go on. If the
//! store refuses a seed as well, it is assumed to be down. Every write is conditional and its
//! outcome is confirmed by its writer, so a repeated write does nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir::connection::target::BadTarget;
use http::Request;
use http::Uri;

/// Prefix of the paths at which a node makes calls of the store for other nodes.
pub const PEER_STORE_PATH: &str = "/peer/store";

/// Calls go through another node for this long, then one call tries the store directly. If the
/// path is still cut, that call waits for its whole timeout first.
const FALLBACK_TIME: Duration = Duration::from_secs(3);

/// While one call tries the store directly, the others go through the node for this much
/// longer: the timeout of a direct call, one second, and a call through the node after it.
const DIRECT_TRY_TIME: Duration = Duration::from_millis(1_300);

/// A node that failed is not tried for this long. It stays cut off or refused for seconds, and
/// each try costs a call or a second.
const FAILED_NODE_PAUSE: Duration = Duration::from_millis(1_500);

/// Way that a call of the store takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPath {
    /// Directly to the store.
    Direct,
    /// Through this node.
    Through(SocketAddr),
    /// Directly, to find out whether the store serves this node again.
    Probe,
}

/// How a call through a node failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FallbackFailure {
    /// The node did not answer.
    NoAnswer,
    /// The store refused the node as well.
    StoreRefused,
}

#[derive(Debug, Default)]
struct State {
    nodes: Vec<SocketAddr>,
    /// Node that calls go through, and until when.
    active: Option<(SocketAddr, Instant)>,
    /// Failed nodes, and the time before which they are not tried.
    paused: Vec<(SocketAddr, Instant)>,
    /// Index in `nodes` of the last node that was picked.
    last_picked: usize,
}

/// Decides whether calls of the store go directly or through another node; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct StoreFallback {
    state: Arc<Mutex<State>>,
}

impl StoreFallback {
    /// Creates a fallback through these nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let fallback = Self::default();
        fallback.set_nodes(nodes);
        fallback
    }

    /// Replaces the nodes that calls may go through.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        self.lock().nodes = nodes;
    }

    /// The way that this call takes.
    #[must_use]
    pub fn path(&self, now: Instant) -> CallPath {
        let mut state = self.lock();
        match state.active {
            None => CallPath::Direct,
            Some((node, until)) if until > now => CallPath::Through(node),
            Some((node, _)) => {
                state.active = Some((node, now + DIRECT_TRY_TIME));
                CallPath::Probe
            }
        }
    }

    /// Whether calls go through another node.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.lock().active.is_some()
    }

    /// A node to try after a direct call has failed: the one that answered last, or else the
    /// next one that is not paused.
    #[must_use]
    pub fn next_node(&self, now: Instant) -> Option<SocketAddr> {
        let mut state = self.lock();
        state.paused.retain(|(_, until)| *until > now);
        let is_paused = |node: &SocketAddr| state.paused.iter().any(|(paused, _)| paused == node);
        let last_successful = state.active.map(|(node, _)| node);
        if let Some(node) = last_successful.filter(|node| !is_paused(node)) {
            return Some(node);
        }
        let count = state.nodes.len();
        let mut indices = (1..=count).map(|offset| (state.last_picked + offset) % count);
        let index = indices.find(|index| !is_paused(&state.nodes[*index]))?;
        state.last_picked = index;
        Some(state.nodes[index])
    }

    /// Records that a call was answered through this node after it had failed directly.
    pub fn record_detour(&self, now: Instant, node: SocketAddr) {
        self.lock().active = Some((node, now + FALLBACK_TIME));
    }

    /// Records that a call through this node failed.
    pub fn record_failure(&self, now: Instant, node: SocketAddr, failure: FallbackFailure) {
        let mut state = self.lock();
        let until = now + FAILED_NODE_PAUSE;
        match failure {
            FallbackFailure::NoAnswer => state.paused.push((node, until)),
            FallbackFailure::StoreRefused => {
                let all: Vec<_> = state.nodes.iter().map(|node| (*node, until)).collect();
                state.paused.extend(all);
            }
        }
        state.active = state.active.filter(|(active, _)| *active != node);
    }

    /// Records that the store answered a direct call; the next calls go directly.
    pub fn record_direct_success(&self) {
        self.lock().active = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Changes the URI of a call of the store into that of a node which forwards it.
///
/// # Errors
///
/// The URI would be too long.
pub fn to_peer_uri<B>(request: &mut Request<B>) -> Result<(), BadTarget> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    *request.uri_mut() = format!("{PEER_STORE_PATH}{path}").parse()?;
    Ok(())
}

/// The store's URI in a call that another node wants forwarded; `None` for other calls.
#[must_use]
pub fn store_uri_from_peer(uri: &Uri) -> Option<Uri> {
    let path = uri
        .path_and_query()?
        .as_str()
        .strip_prefix(PEER_STORE_PATH)?;
    path.parse().ok()
}
