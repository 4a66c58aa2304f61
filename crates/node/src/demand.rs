//! How many samples the largest step of each model has, as reported by the homes of models.

use arc_swap::ArcSwap;

/// Factor by which the number of samples has to grow to be reported again: each report costs a
/// write, and the number of engines for a model includes a reserve.
const MIN_REPORTED_GROWTH: f64 = 1.25;

#[derive(Debug, Clone)]
struct ModelDemand {
    model: String,
    samples: u32,
}

/// Number of samples of the largest step, by model.
#[derive(Debug, Default)]
pub struct ModelDemands {
    /// Sorted by model.
    by_model: ArcSwap<Vec<ModelDemand>>,
}

impl ModelDemands {
    /// Samples of the largest recorded step of a model; `None` if none was recorded.
    #[must_use]
    pub fn samples_of(&self, model: &str) -> Option<u32> {
        let held = self.by_model.load();
        let at = held.binary_search_by(|held| held.model.as_str().cmp(model));
        at.ok().map(|at| held[at].samples)
    }

    /// Records the number of samples of a step; keeps the larger number.
    pub fn record(&self, model: &str, samples: u32) {
        if self.samples_of(model).is_some_and(|held| held >= samples) {
            return;
        }
        self.by_model.rcu(|held| {
            let mut held = Vec::clone(held);
            match held.binary_search_by(|held| held.model.as_str().cmp(model)) {
                Ok(at) => held[at].samples = held[at].samples.max(samples),
                Err(at) => held.insert(
                    at,
                    ModelDemand {
                        model: model.to_owned(),
                        samples,
                    },
                ),
            }
            held
        });
    }

    /// Whether a step has enough samples more than recorded to be reported to other nodes.
    #[must_use]
    pub fn exceeds_recorded(&self, model: &str, samples: u32) -> bool {
        self.samples_of(model)
            .is_none_or(|held| f64::from(samples) >= f64::from(held) * MIN_REPORTED_GROWTH)
    }
}
