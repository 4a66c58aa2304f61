//! A way to the platform's store through another node.
//!
//! **Load:** the store turns single nodes away, or the path to it is cut for them,
//! while it serves all others. **Without it:** such a node lists no results of the steps
//! that it runs, hears of no configuration and cannot order weights, for as long as that
//! lasts; its trainers wait. **How:** a call that fails is made through a seed, and for a
//! while all calls are. If a seed fails too, the store is taken for down. Every write has
//! a condition and is settled by its writer, so one that is made twice does nothing.

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
pub const DETOUR_PATH: &str = "/peer/store";

/// Calls take the detour for this long, then the store is tried again: a call that
/// finds the path still cut costs its time limit.
const DETOUR_FOR: Duration = Duration::from_secs(3);

/// After a detour that failed, none is tried for this long.
const NO_DETOUR_FOR: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
struct State {
    /// Calls go through this node until then.
    through: Option<(SocketAddr, Instant)>,
    /// No detour is tried before.
    blocked_until: Option<Instant>,
    /// Node to try next.
    next: usize,
}

/// Which way calls of the store take; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Detour {
    nodes: Arc<[SocketAddr]>,
    state: Arc<Mutex<State>>,
}

impl Detour {
    /// Detours through these nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            nodes: nodes.into(),
            state: Arc::default(),
        }
    }

    /// The node that calls go through now, if any.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<SocketAddr> {
        let through = self.lock().through;
        through
            .filter(|(_, until)| *until > now)
            .map(|(node, _)| node)
    }

    /// A node to try after the store itself has failed.
    #[must_use]
    pub fn another(&self, now: Instant) -> Option<SocketAddr> {
        let mut state = self.lock();
        if self.nodes.is_empty() || state.blocked_until.is_some_and(|until| until > now) {
            return None;
        }
        state.next += 1;
        Some(self.nodes[state.next % self.nodes.len()])
    }

    /// A call through this node was answered.
    pub fn worked(&self, now: Instant, node: SocketAddr) {
        let mut state = self.lock();
        if state.through.is_none_or(|(_, until)| until <= now) {
            state.through = Some((node, now + DETOUR_FOR));
        }
    }

    /// A call through a node failed.
    pub fn failed(&self, now: Instant) {
        let mut state = self.lock();
        state.through = None;
        state.blocked_until = Some(now + NO_DETOUR_FOR);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Turns a call of the store into one for a node that makes it.
pub fn to_node<B>(request: &mut Request<B>) {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    if let Ok(uri) = format!("{DETOUR_PATH}{path}").parse() {
        *request.uri_mut() = uri;
    }
}

/// The path of the call that a node is asked to make.
#[must_use]
pub fn path_for_store(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str().strip_prefix(DETOUR_PATH)?;
    path.parse().ok()
}
