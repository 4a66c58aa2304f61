//! State of one accepted connection: what it waits for, and whether its client makes progress.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest time for which a client that was fast before may send or take nothing and still counts as
/// making progress.
const MAX_CREDIT: Duration = Duration::from_millis(500);

/// Lowest rate at which a client makes progress, in bytes per ms.
const MIN_BYTES_PER_MS: u64 = 16;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// The head of the next request.
    Idle,
    /// The body of a request.
    Receiving,
    /// The answer to a request, or the rest of it.
    Answering,
}

/// The state; shared by the connection, its request and the list of open connections.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    epoch: Instant,
    phase: AtomicU8,
    /// Until when the client counts as making progress, in ms since the epoch; while the connection
    /// is idle, when its client was last heard of.
    credit_ms: AtomicU64,
    /// The client takes no more bytes of an answer.
    is_write_blocked: AtomicBool,
    /// Bytes of a request may be unread.
    has_unread: AtomicBool,
    is_closing: AtomicBool,
    refused: Notify,
    closed: Notify,
}

impl ConnectionState {
    /// The state of a connection that was accepted now; times are relative to `epoch`.
    pub(crate) fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            phase: AtomicU8::new(Phase::Idle as u8),
            credit_ms: AtomicU64::new(epoch.elapsed().as_millis() as u64),
            is_write_blocked: AtomicBool::new(false),
            has_unread: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            refused: Notify::new(),
            closed: Notify::new(),
        }
    }

    /// The head of a request was read, and its body is still to be read if it has one.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.set_phase(Phase::Answering);
        self.has_unread.store(has_body, Ordering::Relaxed);
    }

    /// The body of the request was read to its end.
    pub(crate) fn record_whole_body(&self) {
        self.has_unread.store(false, Ordering::Relaxed);
    }

    /// Whether bytes of a request may be unread.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread.load(Ordering::Relaxed)
    }

    /// The answer to the request was handed over to be sent.
    pub(crate) fn end_request(&self) {
        self.set_phase(Phase::Idle);
        if !self.is_write_blocked() {
            self.credit_ms.store(self.now_ms(), Ordering::Relaxed);
        }
    }

    /// The body of a request is read until the value is dropped.
    pub(crate) fn receiving(&self) -> Receiving<'_> {
        self.grant_credit();
        self.set_phase(Phase::Receiving);
        Receiving(self)
    }

    /// The client has sent bytes; true if they are the first of a head.
    pub(crate) fn record_received(&self, bytes: usize) -> bool {
        if !self.is_in(Phase::Idle) {
            self.extend_credit(bytes);
            return false;
        }
        self.credit_ms.store(self.now_ms(), Ordering::Relaxed);
        !self.has_unread.swap(true, Ordering::Relaxed)
    }

    /// The client has taken bytes of an answer.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.is_write_blocked.store(false, Ordering::Relaxed);
        self.extend_credit(bytes);
    }

    /// The client takes no more bytes of an answer for now.
    pub(crate) fn record_write_blocked(&self) {
        if !self.is_write_blocked.swap(true, Ordering::Relaxed) {
            self.extend_credit(0);
        }
    }

    /// Whether it waits for the next request; the value is when its client was last heard of, in ms.
    pub(crate) fn idle_since_ms(&self) -> Option<u64> {
        let is_idle = self.is_in(Phase::Idle) && !self.is_write_blocked() && !self.is_closing();
        is_idle.then(|| self.credit_ms.load(Ordering::Relaxed))
    }

    /// Whether a request is being read or answered, from the first byte of its head.
    pub(crate) fn is_active(&self) -> bool {
        !self.is_in(Phase::Idle) || self.has_unread()
    }

    /// Whether it waits for a client that makes no progress; the value is since when, in ms.
    pub(crate) fn stalled_since_ms(&self) -> Option<u64> {
        let credit_ms = self.credit_ms.load(Ordering::Relaxed);
        let waits_for_client = self.is_in(Phase::Receiving) || self.is_write_blocked();
        let is_stalled = waits_for_client && !self.is_closing() && credit_ms < self.now_ms();
        is_stalled.then_some(credit_ms)
    }

    /// Refuses the request whose body is being read, or else closes the connection.
    pub(crate) fn evict(&self) {
        if self.is_in(Phase::Receiving) {
            self.refused.notify_one();
            // It is not chosen again before it has ended.
            self.grant_credit();
        } else {
            self.is_closing.store(true, Ordering::Relaxed);
            self.closed.notify_one();
        }
    }

    /// Whether it is to be closed to make room.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Resolves when the connection is to be closed to make room.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Resolves when the request whose body is being read is to be refused.
    pub(crate) async fn refused(&self) {
        self.refused.notified().await;
    }

    fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.load(Ordering::Relaxed)
    }

    fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn grant_credit(&self) {
        let until_ms = self.now_ms() + MAX_CREDIT.as_millis() as u64;
        self.credit_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Bytes count for the time in which the slowest client may send or take them.
    fn extend_credit(&self, bytes: usize) {
        let now_ms = self.now_ms();
        let credit_ms = self.credit_ms.load(Ordering::Relaxed).max(now_ms);
        let extended_ms = credit_ms + bytes as u64 / MIN_BYTES_PER_MS;
        let max_ms = now_ms + MAX_CREDIT.as_millis() as u64;
        self.credit_ms
            .store(extended_ms.min(max_ms), Ordering::Relaxed);
    }
}

/// The reading of a body.
#[derive(Debug)]
pub(crate) struct Receiving<'a>(&'a ConnectionState);

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.set_phase(Phase::Answering);
    }
}
