//! What a node has to know of the platform's upstreams.
//!
//! **Load:** each load of weights changes an engine's entry: hundreds of entries a second.
//! **Without it:** every node gets every change; most of a
//! small VM's processor time goes into entries that it never uses. **How:** a node that sends
//! live calls follows, of the services to which its configuration's routes lead, which
//! upstreams there are, where they answer and whether they leave. One that drafts follows the
//! engines besides that its models choose among ([`firweir_policy::pool`]), which are all of a
//! small fleet. One that orders weights follows all of every entry, and so do seeds.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::pool::FleetSlice;
use firweir_policy::pool::pool_slice;
use tokio::sync::Notify;

use crate::model::Config;
use crate::model::RouteKind;
use crate::relay::hash_of_name;

/// A model that was drafted is followed for this long after: a trainer asks for a step every
/// few seconds, and engines take a while to come.
const KEEPS_MODEL: Duration = Duration::from_secs(10);

/// What a node wants to know of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subscription {
    /// Every change of every entry.
    All,
    /// Some of the entries.
    Filtered(UpstreamFilter),
}

/// Some entries of the list of upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamFilter {
    /// Services of which it has to be known where their upstreams are, by the hashes of their
    /// names; sorted.
    pub services: Vec<u64>,
    /// Engines whose every change is wanted; sorted by model.
    pub slices: Vec<ModelSlice>,
}

/// The engines that a model chooses among.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSlice {
    /// Hash of the model's name.
    pub model: u64,
    /// Its part of all engines.
    pub slice: FleetSlice,
}

/// A model that a node drafts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DraftedModel {
    /// Hash of the model's name.
    pub model: u64,
    /// Engines that its steps need.
    pub engines: usize,
}

/// What one node wants to know; its parts tell what they do.
#[derive(Debug, Default)]
pub struct Interest {
    state: Mutex<State>,
    changed: Notify,
}

/// A model that is drafted, or was a while ago.
#[derive(Debug, Clone, Copy)]
struct Drafted {
    model: DraftedModel,
    at: Instant,
    slice: FleetSlice,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by model.
    drafted: Vec<Drafted>,
    /// Entries of the whole list, as far as a seed told.
    listed: usize,
    /// It follows the store itself.
    follows_store: bool,
    /// It may order weights.
    orders: bool,
    /// Sorted.
    services: Vec<u64>,
    /// What came of it.
    subscription: Subscription,
}

impl Default for Subscription {
    fn default() -> Self {
        Self::Filtered(UpstreamFilter::default())
    }
}

impl Interest {
    /// What is wanted now.
    #[must_use]
    pub fn subscription(&self) -> Subscription {
        self.lock().subscription.clone()
    }

    /// Whether every change of every entry is wanted.
    #[must_use]
    pub fn wants_all(&self) -> bool {
        self.lock().subscription == Subscription::All
    }

    /// Hashes of the models whose engines are followed; `None` for all.
    #[must_use]
    pub fn models(&self) -> Option<Vec<u64>> {
        match &self.lock().subscription {
            Subscription::All => None,
            Subscription::Filtered(filter) => {
                Some(filter.slices.iter().map(|held| held.model).collect())
            }
        }
    }

    /// Live calls may go to the services of this configuration.
    pub fn set_config(&self, config: &Config) {
        let live = config.routes.iter();
        let live = live.filter(|route| route.kind != RouteKind::Rollout);
        let targets = live.flat_map(|route| &route.targets);
        let mut services: Vec<u64> = targets
            .map(|target| hash_of_name(&target.service))
            .collect();
        services.sort_unstable();
        services.dedup();
        let mut state = self.lock();
        state.services = services;
        self.settle(state);
    }

    /// Whether the node follows the store itself, which shows everything.
    pub fn set_follows_store(&self, follows_store: bool) {
        let mut state = self.lock();
        state.follows_store = follows_store;
        self.settle(state);
    }

    /// The whole list of upstreams has so many entries.
    pub fn set_total_upstreams(&self, listed: usize) {
        let mut state = self.lock();
        state.listed = listed;
        state.choose_slices();
        self.settle(state);
    }

    /// The models that the node drafts now.
    pub fn set_drafted_models(&self, now: Instant, models: &[DraftedModel]) {
        let mut state = self.lock();
        state
            .drafted
            .retain(|held| now.duration_since(held.at) < KEEPS_MODEL);
        for model in models {
            state.draft(now, *model);
        }
        self.settle(state);
    }

    /// Whether the node may order weights now.
    pub fn set_may_order_weights(&self, orders: bool) {
        let mut state = self.lock();
        state.orders = orders;
        self.settle(state);
    }

    /// Waits until something else is wanted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until engines are followed, which only nodes do that draft, order or are seeds.
    pub async fn wait_until_engines_followed(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Before the look, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.models().is_none_or(|models| !models.is_empty()) {
                return;
            }
            changed.await;
        }
    }

    fn settle(&self, mut state: MutexGuard<'_, State>) {
        let subscription = state.weigh();
        if state.subscription != subscription {
            state.subscription = subscription;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn draft(&mut self, now: Instant, model: DraftedModel) {
        let drafted = &mut self.drafted;
        match drafted.binary_search_by_key(&model.model, |held| held.model.model) {
            Ok(at) => {
                drafted[at].at = now;
                if drafted[at].model != model {
                    drafted[at].model = model;
                    self.choose_slices();
                }
            }
            Err(at) => {
                let slice = pool_slice(self.listed, model.engines);
                drafted.insert(
                    at,
                    Drafted {
                        model,
                        at: now,
                        slice,
                    },
                );
            }
        }
    }

    /// A slice that is one step narrower than it would be chosen now is kept: each change
    /// brings all of its entries again.
    fn choose_slices(&mut self) {
        for held in &mut self.drafted {
            let chosen = pool_slice(self.listed, held.model.engines);
            if held.slice.leading_zeros > chosen.leading_zeros + 1
                || chosen == FleetSlice::default()
            {
                held.slice = chosen;
            }
        }
    }

    fn weigh(&self) -> Subscription {
        let whole = |held: &Drafted| held.slice == FleetSlice::default();
        if self.follows_store || self.orders || self.drafted.iter().any(whole) {
            return Subscription::All;
        }
        let slices = self.drafted.iter().map(|held| ModelSlice {
            model: held.model.model,
            slice: held.slice,
        });
        Subscription::Filtered(UpstreamFilter {
            services: self.services.clone(),
            slices: slices.collect(),
        })
    }
}
