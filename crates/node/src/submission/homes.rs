//! The home of a model: the node that accepts and runs its submissions, step after step.
//!
//! **Load:** a trainer's steps arrive at nodes by chance. **Without homes:** each step
//! opens its own connections to all engines, no node knows which engine holds a group's
//! prompt, and several nodes fill the same engines without knowing of each other.
//!
//! A home is an agreement of convenience: any node may run any submission, and does
//! when the home cannot be reached. So homes may be read seconds late.

use std::sync::Arc;

use arc_swap::ArcSwap;
use firweir::process::log::Journal;
use serde::Deserialize;
use serde::Serialize;

use crate::change::Change;
use crate::demand::Demands;
use crate::dialect::Kind;
use crate::dialect::Object;
use crate::roster::Settled;
use crate::store::Store;
use crate::submission::records::Runner;

/// Begin of the names of homes among the duties.
const PREFIX: &str = "home-";

/// A home as it stands in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    /// Names the write that made this value.
    write: String,
    /// The node.
    runner: Runner,
    /// Samples of its steps; not known of homes that were settled by earlier releases.
    #[serde(default)]
    samples: Option<u32>,
}

#[derive(Debug, Clone)]
struct Home {
    model: String,
    revision: u64,
    runner: Runner,
}

/// Homes of all models; cheap to clone.
#[derive(Debug, Clone)]
pub struct Homes {
    store: Store,
    journal: Journal,
    demands: Arc<Demands>,
    /// Sorted by model.
    by_model: Arc<ArcSwap<Vec<Home>>>,
}

impl Homes {
    /// No home is known yet.
    #[must_use]
    pub fn new(store: Store, journal: Journal, demands: Arc<Demands>) -> Self {
        Self {
            store,
            journal,
            demands,
            by_model: Arc::default(),
        }
    }

    /// The home of a model, if one is known.
    #[must_use]
    pub fn of(&self, model: &str) -> Option<Runner> {
        let homes = self.by_model.load();
        let at = homes.binary_search_by(|home| home.model.as_str().cmp(model));
        at.ok().map(|at| homes[at].runner.clone())
    }

    /// The homes of all models, each node once.
    #[must_use]
    pub fn all(&self) -> Vec<Runner> {
        let homes = self.by_model.load();
        let mut nodes: Vec<Runner> = homes.iter().map(|home| home.runner.clone()).collect();
        nodes.sort_by_key(|runner| runner.address);
        nodes.dedup();
        nodes
    }

    /// The homes of all models.
    #[must_use]
    pub fn settled(&self) -> Vec<Settled> {
        let homes = self.by_model.load();
        let settled = homes.iter().map(|home| Settled {
            model: home.model.clone(),
            address: home.runner.address,
        });
        settled.collect()
    }

    /// Takes in duties as the store shows them.
    pub fn take(&self, change: Change) {
        match change {
            Change::All(objects) => objects.iter().for_each(|object| self.put(object)),
            Change::Put(object) => self.put(&object),
            Change::Gone(_) => {}
        }
    }

    /// Whether the record of a home tells of fewer samples than a step of its model has.
    #[must_use]
    pub fn has_grown(&self, model: &str, samples: u32) -> bool {
        self.demands.has_grown(model, samples)
    }

    /// Makes `runner` the home of a model whose steps have so many samples, unless another
    /// node came first.
    pub async fn settle(&self, model: &str, runner: Runner, samples: u32) {
        let name = format!("{PREFIX}{model}");
        let record = Record {
            write: self.store.write_id(),
            runner: runner.clone(),
            samples: self.demands.of(model).max(Some(samples)),
        };
        let homes = self.by_model.load();
        let known = homes.iter().find(|home| home.model == model).cloned();
        drop(homes);
        let (kind, write) = (Kind::Duties, &record.write);
        let settled = match known {
            Some(known) => {
                let replacing = self
                    .store
                    .replace(kind, &name, known.revision, &record, write);
                replacing.await.map(|object| object.revision)
            }
            None => self.store.create_once(kind, &name, &record).await,
        };
        match settled {
            Ok(revision) => {
                self.demands.note(model, samples);
                self.journal
                    .event("home_settled", &[("model", &model), ("home", &runner.node)]);
                self.note(&Home {
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
        match serde_json::from_str::<Record>(object.value.get()) {
            Ok(record) => {
                if let Some(samples) = record.samples {
                    self.demands.note(model, samples);
                }
                self.note(&Home {
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

    /// Keeps the newest home of each model.
    fn note(&self, home: &Home) {
        self.by_model.rcu(|homes| {
            let mut homes = Vec::clone(homes);
            match homes.binary_search_by(|held| held.model.cmp(&home.model)) {
                Ok(at) if homes[at].revision < home.revision => homes[at] = home.clone(),
                Ok(_) => {}
                Err(at) => homes.insert(at, home.clone()),
            }
            homes
        });
    }
}
