//! Which entries of the platform's list of upstreams a node subscribes to.
//!
//! Each load of weights changes an engine's entry, which makes hundreds of changes per second. If
//! every node received every change, a small VM would spend most of its CPU time on entries that
//! it never uses. A node that sends live calls therefore follows only the upstreams of the
//! services to which its routes lead, and of those only changes that matter for routing: new and
//! removed upstreams, their addresses and whether they are leaving. A node that drafts also
//! follows the engines that its models choose among ([`firweir_policy::pool`]); in a small fleet
//! these are all engines. A node that orders weights follows every change of every entry, and so
//! do seeds.

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
use crate::relay_message::hash_of_name;

/// A node still follows a model's engines for this long after drafting it: a trainer submits a
/// step every few seconds, and fetching the engines anew takes a while.
const MODEL_RETENTION: Duration = Duration::from_secs(10);

/// The entries of the list of upstreams that a node receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subscription {
    /// Every change of every entry.
    All,
    /// Some entries.
    Filtered(UpstreamFilter),
}

/// Selects entries of the list of upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamFilter {
    /// Hashes of the names of services whose upstreams are selected for routing changes; sorted.
    pub services: Vec<u64>,
    /// Engines that are selected for all changes; sorted by model.
    pub slices: Vec<ModelSlice>,
}

/// The engines that a model chooses among.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSlice {
    /// Hash of the model's name.
    pub model: u64,
    /// Its subset of all engines.
    pub slice: FleetSlice,
}

/// A model that a node drafts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DraftedModel {
    /// Hash of the model's name.
    pub model: u64,
    /// Number of engines that its steps need.
    pub engines: usize,
}

/// The subscription of one node, derived from what its components report.
#[derive(Debug, Default)]
pub struct Interest {
    state: Mutex<State>,
    changed: Notify,
}

/// A model that is drafted, or was recently.
#[derive(Debug, Clone, Copy)]
struct TrackedModel {
    model: DraftedModel,
    at: Instant,
    slice: FleetSlice,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by model.
    tracked_models: Vec<TrackedModel>,
    /// Number of entries in the full list, as reported by the store or a seed.
    total_upstreams: usize,
    /// The node follows the store directly.
    follows_store: bool,
    /// The node may order weights.
    may_order_weights: bool,
    /// Sorted.
    services: Vec<u64>,
    /// Result of all the above.
    subscription: Subscription,
}

impl Default for Subscription {
    fn default() -> Self {
        Self::Filtered(UpstreamFilter::default())
    }
}

impl Interest {
    /// The current subscription.
    #[must_use]
    pub fn subscription(&self) -> Subscription {
        self.lock().subscription.clone()
    }

    /// Whether the subscription covers every change of every entry.
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
                Some(filter.slices.iter().map(|slice| slice.model).collect())
            }
        }
    }

    /// Subscribes to the services that live calls may use with this configuration.
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
        self.publish(state);
    }

    /// Sets whether the node follows the store directly, which reports everything.
    pub fn set_follows_store(&self, follows_store: bool) {
        let mut state = self.lock();
        state.follows_store = follows_store;
        self.publish(state);
    }

    /// Sets the number of entries in the full list of upstreams.
    pub fn set_total_upstreams(&self, total_upstreams: usize) {
        let mut state = self.lock();
        state.total_upstreams = total_upstreams;
        state.choose_slices();
        self.publish(state);
    }

    /// Adds the models that the node drafts now, and drops those that it no longer drafts after
    /// [`MODEL_RETENTION`].
    pub fn set_drafted_models(&self, now: Instant, models: &[DraftedModel]) {
        let mut state = self.lock();
        state
            .tracked_models
            .retain(|tracked| now.duration_since(tracked.at) < MODEL_RETENTION);
        for model in models {
            state.track(now, *model);
        }
        self.publish(state);
    }

    /// Sets whether the node may order weights.
    pub fn set_may_order_weights(&self, may_order_weights: bool) {
        let mut state = self.lock();
        state.may_order_weights = may_order_weights;
        self.publish(state);
    }

    /// Waits until the subscription differs from `known`.
    pub async fn changed_from(&self, known: &Subscription) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the check, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.lock().subscription != *known {
                return;
            }
            changed.await;
        }
    }

    /// Whether the node follows engines.
    #[must_use]
    pub fn follows_engines(&self) -> bool {
        self.models().is_none_or(|models| !models.is_empty())
    }

    /// Waits until the node follows engines. Only nodes that draft, order weights or are seeds do.
    pub async fn wait_until_engines_followed(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the check, so that a change in between is not missed.
            changed.as_mut().enable();
            if self.follows_engines() {
                return;
            }
            changed.await;
        }
    }

    fn publish(&self, mut state: MutexGuard<'_, State>) {
        let subscription = state.derive_subscription();
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
    fn track(&mut self, now: Instant, model: DraftedModel) {
        let tracked_models = &mut self.tracked_models;
        match tracked_models.binary_search_by_key(&model.model, |tracked| tracked.model.model) {
            Ok(at) => {
                tracked_models[at].at = now;
                if tracked_models[at].model != model {
                    tracked_models[at].model = model;
                    self.choose_slices();
                }
            }
            Err(at) => {
                let slice = pool_slice(self.total_upstreams, model.engines);
                tracked_models.insert(
                    at,
                    TrackedModel {
                        model,
                        at: now,
                        slice,
                    },
                );
            }
        }
    }

    /// Adjusts the slices to the size of the fleet. A slice is replaced only if it is more than one
    /// leading zero (a factor of two) narrower than needed, or if all engines are needed, because
    /// each change of a slice transfers all of its entries again.
    fn choose_slices(&mut self) {
        for tracked in &mut self.tracked_models {
            let chosen = pool_slice(self.total_upstreams, tracked.model.engines);
            if tracked.slice.leading_zeros > chosen.leading_zeros + 1
                || chosen == FleetSlice::default()
            {
                tracked.slice = chosen;
            }
        }
    }

    fn derive_subscription(&self) -> Subscription {
        let covers_fleet = |tracked: &TrackedModel| tracked.slice == FleetSlice::default();
        if self.follows_store
            || self.may_order_weights
            || self.tracked_models.iter().any(covers_fleet)
        {
            return Subscription::All;
        }
        let slices = self.tracked_models.iter().map(|tracked| ModelSlice {
            model: tracked.model.model,
            slice: tracked.slice,
        });
        Subscription::Filtered(UpstreamFilter {
            services: self.services.clone(),
            slices: slices.collect(),
        })
    }
}
