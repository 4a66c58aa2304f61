//! The accepted connections of a process, whose requests share its memory.
//!
//! A request that needs memory while there is none takes it from the client that has made no progress
//! for the longest time. A new connection beyond the limit of its listener closes the one whose client
//! has been idle for the longest time.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection::connection_state::ConnectionState;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::memory_budget::Reservation;

/// Stalled clients that lose their memory for one block.
const MAX_EVICTIONS_PER_BLOCK: usize = 4;

/// Time in which a client that was evicted gives its memory back.
const EVICTION_TIME: Duration = Duration::from_millis(100);

/// What connections and requests were refused or closed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum RoomCause {
    /// An idle connection was closed to make room for a new one.
    IdleClosed,
    /// A connection was closed at once, or its request was refused, since none could make room.
    NotAccepted,
    /// A request was refused since its body stalled and others needed the memory.
    StalledBody,
    /// A connection was closed since its client read no more of its answer and others needed the
    /// memory.
    UnreadAnswer,
    /// A body or an answer found no memory.
    NoMemory,
}

impl RoomCause {
    /// All causes, in the order of their values.
    pub const ALL: [Self; 5] = [
        Self::IdleClosed,
        Self::NotAccepted,
        Self::StalledBody,
        Self::UnreadAnswer,
        Self::NoMemory,
    ];
}

/// Number of refusals and closings since the process started, by cause.
pub type RoomCounts = [u64; RoomCause::ALL.len()];

/// The open connections of a process; cheap to clone.
#[derive(Debug, Clone)]
pub struct OpenConnections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    epoch: Instant,
    budget: MemoryBudget,
    /// In the order of their keys.
    entries: Mutex<Vec<Entry>>,
    listeners: AtomicUsize,
    counts: [AtomicU64; RoomCause::ALL.len()],
    changed: Notify,
}

/// Key of an open connection, in the order in which they were accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionKey(u64);

/// Key of a listener, in the order in which they were added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListenerKey(usize);

#[derive(Debug)]
struct Entry {
    key: ConnectionKey,
    listener: ListenerKey,
    state: Arc<ConnectionState>,
}

impl Default for OpenConnections {
    fn default() -> Self {
        Self::new(MemoryBudget::unlimited())
    }
}

impl OpenConnections {
    /// No connections, whose requests share this budget.
    #[must_use]
    pub fn new(budget: MemoryBudget) -> Self {
        let shared = Shared {
            epoch: Instant::now(),
            budget,
            entries: Mutex::default(),
            listeners: AtomicUsize::new(0),
            counts: Default::default(),
            changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Refusals and closings so far.
    #[must_use]
    pub fn counts(&self) -> RoomCounts {
        let counts = &self.shared.counts;
        std::array::from_fn(|cause| counts[cause].load(Ordering::Relaxed))
    }

    /// Resolves when one of the counts has changed since it was last resolved.
    pub async fn counts_changed(&self) {
        self.shared.changed.notified().await;
    }

    /// Whether a connection was told to close and has not done so.
    pub(crate) fn has_closing(&self) -> bool {
        self.lock().iter().any(|entry| entry.state.is_closing())
    }

    /// Number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there are no open connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that requests hold now, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.shared.budget.held_bytes()
    }

    /// Adds a listener.
    pub(crate) fn add_listener(&self) -> ListenerKey {
        ListenerKey(self.shared.listeners.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers a connection that a listener has accepted. One beyond `max_connections` closes
    /// another; `None` if none can be closed.
    pub(crate) fn register(
        &self,
        listener: ListenerKey,
        max_connections: usize,
        max_active: usize,
    ) -> Option<RegisteredConnection> {
        let mut entries = self.lock();
        let own = || entries.iter().filter(|entry| entry.listener == listener);
        let open = own().filter(|entry| !entry.state.is_closing()).count();
        if open >= max_connections && !self.close_idle(own()) && !self.evict_stalled(own()) {
            self.count(RoomCause::NotAccepted);
            return None;
        }
        let key = ConnectionKey(entries.last().map_or(0, |last| last.key.0 + 1));
        let state = Arc::new(ConnectionState::new(self.shared.epoch));
        entries.push(Entry {
            key,
            listener,
            state: Arc::clone(&state),
        });
        Some(RegisteredConnection {
            client: ClientConnection {
                connections: self.clone(),
                state,
                listener,
                max_active,
            },
            key,
        })
    }

    /// Whether a connection may be active beside the others of its listener. Beyond its limit another
    /// one that has been in the middle of a head for the longest time is closed, or else one that
    /// makes no progress.
    fn make_room_for_request(&self, client: &ClientConnection) -> bool {
        let entries = self.lock();
        if entries.len() <= client.max_active {
            return true;
        }
        let others = || {
            let own = entries
                .iter()
                .filter(|entry| entry.listener == client.listener);
            own.filter(|entry| entry.state.is_active() && !entry.state.is_closing())
                .filter(|entry| !Arc::ptr_eq(&entry.state, &client.state))
        };
        others().count() < client.max_active
            || self.close_idle(others())
            || self.evict_stalled(others())
    }

    /// Closes the connection whose client has been idle for the longest time, if there is one.
    fn close_idle<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> bool {
        let idle = entries.filter_map(|entry| Some((entry.state.idle_since_ms()?, &entry.state)));
        let Some((_, state)) = idle.min_by_key(|(since_ms, _)| *since_ms) else {
            return false;
        };
        state.evict();
        self.count(RoomCause::IdleClosed);
        true
    }

    /// Takes memory for a request that holds `held_bytes`, from clients that make no progress if
    /// need be.
    pub async fn reserve(&self, bytes: usize, held_bytes: usize) -> Option<Reservation> {
        let budget = &self.shared.budget;
        for _ in 0..MAX_EVICTIONS_PER_BLOCK {
            if let Some(reservation) = budget.try_take(bytes, held_bytes) {
                return Some(reservation);
            }
            let freed = budget.freed();
            if !self.evict_stalled(self.lock().iter()) {
                break;
            }
            // The next attempt shows whether it has given enough back.
            _ = tokio::time::timeout(EVICTION_TIME, freed).await;
        }
        let reservation = budget.try_take(bytes, held_bytes);
        if reservation.is_none() {
            self.count(RoomCause::NoMemory);
        }
        reservation
    }

    /// Evicts the client that has made no progress for the longest time, if there is one.
    fn evict_stalled<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> bool {
        let stalled =
            entries.filter_map(|entry| Some((entry.state.stalled_since_ms()?, &entry.state)));
        let Some((_, state)) = stalled.min_by_key(|(since_ms, _)| *since_ms) else {
            return false;
        };
        state.evict();
        self.count(if state.is_closing() {
            RoomCause::UnreadAnswer
        } else {
            RoomCause::StalledBody
        });
        true
    }

    fn count(&self, cause: RoomCause) {
        self.shared.counts[cause as usize].fetch_add(1, Ordering::Relaxed);
        self.shared.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        let entries = self.shared.entries.lock();
        entries.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in the list of open ones; it leaves the list when dropped.
#[derive(Debug)]
pub(crate) struct RegisteredConnection {
    client: ClientConnection,
    key: ConnectionKey,
}

impl RegisteredConnection {
    /// What its requests know of it.
    pub(crate) const fn client(&self) -> &ClientConnection {
        &self.client
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        let mut entries = self.client.connections.lock();
        if let Ok(at) = entries.binary_search_by_key(&self.key, |entry| entry.key) {
            entries.remove(at);
        }
    }
}

/// The connection that a request came on, among the request's extensions; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct ClientConnection {
    connections: OpenConnections,
    state: Arc<ConnectionState>,
    listener: ListenerKey,
    /// Active connections that the listener may have.
    max_active: usize,
}

impl Default for ClientConnection {
    /// A connection that is not registered.
    fn default() -> Self {
        let connections = OpenConnections::default();
        let state = Arc::new(ConnectionState::new(connections.shared.epoch));
        Self {
            connections,
            state,
            listener: ListenerKey(0),
            max_active: usize::MAX,
        }
    }
}

impl ClientConnection {
    /// All connections of its process.
    pub(crate) const fn connections(&self) -> &OpenConnections {
        &self.connections
    }

    /// Its state.
    pub(crate) const fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }

    /// Records bytes that the client has sent.
    pub(crate) fn record_received(&self, bytes: usize) {
        if self.state.record_received(bytes) {
            // A request that finds no room is refused once its head is whole.
            self.make_room();
        }
    }

    /// Whether its request may be answered beside the other ones of its listener.
    pub(crate) fn may_be_active(&self) -> bool {
        let may_be = self.make_room();
        if !may_be {
            self.connections.count(RoomCause::NotAccepted);
        }
        may_be
    }

    fn make_room(&self) -> bool {
        self.connections.make_room_for_request(self)
    }
}
