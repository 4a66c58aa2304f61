//! Home nodes. The home of a model is the node that accepts and runs all its submissions.
//!
//! The load balancer sends a trainer's steps to arbitrary nodes. If each of these ran its step,
//! it would open its own connections to all engines, no node would know which engine has the
//! prompt of a group cached, and several nodes would fill the same engines unaware of each other.
//!
//! A home is an optimization only: any node may run any submission, and does if the home can't
//! be reached. So a list of homes that is seconds old is good enough.

use std::sync::Arc;

use arc_swap::ArcSwap;
use firweir::process::log::Journal;
use serde::Deserialize;
use serde::Serialize;

use crate::change::Change;
use crate::demand::ModelDemands;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::roster::HomeAssignment;
use crate::store::Store;
use crate::submission::records::NodeRef;

/// Prefix of the names of homes among the duties in the store.
const PREFIX: &str = "home-";

/// A home as stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct HomeRecord {
    /// Id of the write that created this value.
    write: String,
    /// The home node.
    runner: NodeRef,
    /// Largest known number of samples in a step of the model; missing in records of earlier
    /// releases.
    #[serde(default)]
    samples: Option<u32>,
}

#[derive(Debug, Clone)]
struct Home {
    model: String,
    revision: u64,
    runner: NodeRef,
}

/// Home nodes of all models; cheap to clone.
#[derive(Debug, Clone)]
pub struct Homes {
    store: Store,
    journal: Journal,
    demands: Arc<ModelDemands>,
    /// Sorted by model.
    by_model: Arc<ArcSwap<Vec<Home>>>,
}

impl Homes {
    /// Creates it without known homes.
    #[must_use]
    pub fn new(store: Store, journal: Journal, demands: Arc<ModelDemands>) -> Self {
        Self {
            store,
            journal,
            demands,
            by_model: Arc::default(),
        }
    }

    /// Returns the home of a model, if one is known.
    #[must_use]
    pub fn get(&self, model: &str) -> Option<NodeRef> {
        let homes = self.by_model.load();
        let at = homes.binary_search_by(|home| home.model.as_str().cmp(model));
        at.ok().map(|at| homes[at].runner.clone())
    }

    /// Returns all home nodes, each once.
    #[must_use]
    pub fn nodes(&self) -> Vec<NodeRef> {
        let homes = self.by_model.load();
        let mut nodes: Vec<NodeRef> = homes.iter().map(|home| home.runner.clone()).collect();
        nodes.sort_by_key(|runner| runner.address);
        nodes.dedup();
        nodes
    }

    /// Returns the address of each model's home.
    #[must_use]
    pub fn assignments(&self) -> Vec<HomeAssignment> {
        let homes = self.by_model.load();
        let assignments = homes.iter().map(|home| HomeAssignment {
            model: home.model.clone(),
            address: home.runner.address,
        });
        assignments.collect()
    }

    /// Applies a change of the duties in the store. Removals are ignored.
    pub fn apply(&self, change: Change) {
        match change {
            Change::All(objects) => objects.iter().for_each(|object| self.put(object)),
            Change::Put(object) => self.put(&object),
            Change::Removed(_) => {}
        }
    }

    /// Whether a step has enough more samples than recorded for its model to be worth a write.
    #[must_use]
    pub fn exceeds_recorded_samples(&self, model: &str, samples: u32) -> bool {
        self.demands.exceeds_recorded(model, samples)
    }

    /// Makes `runner` the home of a model with `samples` in a step, unless the stored home has
    /// changed since it was read. If a larger number of samples is known, that is recorded.
    pub async fn assign(&self, model: &str, runner: NodeRef, samples: u32) {
        let name = format!("{PREFIX}{model}");
        let record = HomeRecord {
            write: self.store.write_id(),
            runner: runner.clone(),
            samples: self.demands.samples_of(model).max(Some(samples)),
        };
        let homes = self.by_model.load();
        let known = homes.iter().find(|home| home.model == model).cloned();
        drop(homes);
        let (kind, write) = (ObjectKind::Duties, &record.write);
        let written = match known {
            Some(known) => {
                let replacing = self
                    .store
                    .replace(kind, &name, known.revision, &record, write);
                replacing.await.map(|object| object.revision)
            }
            None => self.store.create_once(kind, &name, &record).await,
        };
        match written {
            Ok(revision) => {
                self.demands.record(model, samples);
                self.journal
                    .event("home_settled", &[("model", &model), ("home", &runner.node)]);
                self.insert_if_newer(&Home {
                    model: model.to_owned(),
                    revision,
                    runner,
                });
            }
            Err(error) => self
                .journal
                .event("home_not_settled", &[("model", &model), ("cause", &error)]),
        }
    }

    fn put(&self, object: &Object) {
        let Some(model) = object.name.strip_prefix(PREFIX) else {
            return;
        };
        match serde_json::from_str::<HomeRecord>(object.value.get()) {
            Ok(record) => {
                if let Some(samples) = record.samples {
                    self.demands.record(model, samples);
                }
                self.insert_if_newer(&Home {
                    model: model.to_owned(),
                    revision: object.revision,
                    runner: record.runner,
                });
            }
            Err(error) => self
                .journal
                .event("home_unreadable", &[("model", &model), ("cause", &error)]),
        }
    }

    /// Adds a home to the list in memory, unless a newer one of its model is known.
    fn insert_if_newer(&self, home: &Home) {
        self.by_model.rcu(|homes| {
            let mut homes = Vec::clone(homes);
            match homes.binary_search_by(|other| other.model.cmp(&home.model)) {
                Ok(at) if homes[at].revision < home.revision => homes[at] = home.clone(),
                Ok(_) => {}
                Err(at) => homes.insert(at, home.clone()),
            }
            homes
        });
    }
}
