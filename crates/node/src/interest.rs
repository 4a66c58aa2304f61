//! What a node has to know of the platform's upstreams.
//!
//! **Load:** each load of weights changes an engine's entry: at ten engines beside each of
//! 300 VMs, hundreds of entries a second. **Without it:** every node gets every change;
//! most of a small VM's processor time goes into entries that it never uses. **How:** a
//! node that drafts samples or orders weights follows all of every entry. Any other node
//! only sends live calls: it follows, of the services to which its configuration's routes
//! lead, which upstreams there are, where they answer and whether they leave. As soon as
//! it gets a step it asks for the whole list.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::model::Config;
use crate::model::RouteKind;
use crate::relay::hash_of_service;

/// A node that has drafted follows everything for this long after: a trainer asks for a
/// step every few seconds, and the whole list takes some 100 ms to come.
const KEEPS_ALL: Duration = Duration::from_secs(10);

/// What a node wants to know of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// Every change of every entry.
    All,
    /// Where the upstreams of these services are, by the hashes of their names; sorted.
    Services(Vec<u64>),
}

/// What one node wants to know; its parts tell what they do.
#[derive(Debug, Default)]
pub struct Interest {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// When it last drafted.
    drafted: Option<Instant>,
    /// It follows the store itself.
    follows_store: bool,
    /// It may order weights.
    orders: bool,
    /// Sorted.
    services: Vec<u64>,
    /// One of these asks for everything.
    wants_all: bool,
}

impl Interest {
    /// What is wanted now.
    #[must_use]
    pub fn wanted(&self) -> Wanted {
        let state = self.lock();
        if state.wants_all {
            Wanted::All
        } else {
            Wanted::Services(state.services.clone())
        }
    }

    /// Whether every change of every entry is wanted.
    #[must_use]
    pub fn wants_all(&self) -> bool {
        self.lock().wants_all
    }

    /// Live calls may go to the services of this configuration.
    pub fn take_config(&self, config: &Config) {
        let live = config.routes.iter();
        let live = live.filter(|route| route.kind != RouteKind::Rollout);
        let targets = live.flat_map(|route| &route.targets);
        let mut services: Vec<u64> = targets
            .map(|target| hash_of_service(&target.service))
            .collect();
        services.sort_unstable();
        services.dedup();
        let mut state = self.lock();
        if state.services != services {
            state.services = services;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Whether the node follows the store itself, which shows everything.
    pub fn take_follows_store(&self, now: Instant, follows_store: bool) {
        let mut state = self.lock();
        state.follows_store = follows_store;
        self.settle(now, state);
    }

    /// Whether the node drafts now.
    pub fn take_drafting(&self, now: Instant, drafts: bool) {
        let mut state = self.lock();
        if drafts {
            state.drafted = Some(now);
        }
        self.settle(now, state);
    }

    /// Whether the node may order weights now.
    pub fn take_orders(&self, now: Instant, orders: bool) {
        let mut state = self.lock();
        state.orders = orders;
        self.settle(now, state);
    }

    /// Waits until something else is wanted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn settle(&self, now: Instant, mut state: MutexGuard<'_, State>) {
        let drafted = state.drafted.is_some_and(|at| now < at + KEEPS_ALL);
        let wants_all = state.follows_store || drafted || state.orders;
        if state.wants_all != wants_all {
            state.wants_all = wants_all;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
