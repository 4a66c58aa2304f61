//! Interface of a dispatcher: the events that it receives and its decisions.

use std::time::Duration;
use std::time::Instant;

use crate::work::EntryDemands;
use crate::work::Finish;
use crate::work::Refusal;
use crate::work::UpstreamKey;
use crate::work::UpstreamState;
use crate::work::Work;
use crate::work::WorkKey;

/// An action for the entry (the process that receives requests) to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send this work to this upstream now.
    Start {
        /// The work.
        work: WorkKey,
        /// Where it goes.
        upstream: UpstreamKey,
    },
    /// Give the final answer `not-run` now.
    Refuse {
        /// The work.
        work: WorkKey,
        /// Why it is refused.
        reason: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Decides for one entry when and where work of one service starts, and which work is refused.
///
/// The entry reports events and then carries out decisions until there are none.
pub trait Dispatcher: Send {
    /// Replaces the upstreams and the demand of the entries that share them.
    fn set_upstreams(
        &mut self,
        now: Instant,
        upstreams: &[UpstreamState],
        entries: &EntryDemands<'_>,
    );
    /// Offers new work, or work that is retried.
    fn offer(&mut self, now: Instant, work: Work);
    /// Discards work that was not started and whose caller no longer waits.
    fn cancel(&mut self, now: Instant, work: WorkKey);
    /// Reports that started work ended.
    fn finish(&mut self, now: Instant, work: WorkKey, finish: &Finish);
    /// Updates estimates and refuses late work; called at regular intervals.
    fn tick(&mut self, now: Instant);
    /// Sets whether the upstreams also serve nodes that this one has no information about.
    /// `Some` holds a random seed that differs by node; `None` means that they do not.
    fn set_shared(&mut self, _now: Instant, _shared_seed: Option<u64>) {}
    /// Time at which waiting work may start even if no running work ends before; `None` if only
    /// another event can start it.
    fn next_wakeup(&self, _now: Instant) -> Option<Instant> {
        None
    }
    /// Starts work that may start now; call it at the time that [`Dispatcher::next_wakeup`]
    /// returned.
    fn wake(&mut self, _now: Instant) {}
    /// The next decision, if any.
    fn next_decision(&mut self) -> Option<Decision>;
    /// Amount of work that was started and has not ended.
    fn in_flight(&self) -> usize;
    /// Amount of work that waits.
    fn waiting(&self) -> usize;
}
