//! How many samples the steps of each model ask for at once, as their homes tell.

use arc_swap::ArcSwap;

/// A step that has this many times as many samples as were told is worth telling of: each
/// time costs a write, and engines are counted with a reserve.
const REPORTED_GROWTH: f64 = 1.25;

#[derive(Debug, Clone)]
struct ModelDemand {
    model: String,
    samples: u32,
}

/// Samples of a step, by model.
#[derive(Debug, Default)]
pub struct ModelDemands {
    /// Sorted by model.
    by_model: ArcSwap<Vec<ModelDemand>>,
}

impl ModelDemands {
    /// Samples of the largest step of a model that was told of.
    #[must_use]
    pub fn samples_of(&self, model: &str) -> Option<u32> {
        let held = self.by_model.load();
        let at = held.binary_search_by(|held| held.model.as_str().cmp(model));
        at.ok().map(|at| held[at].samples)
    }

    /// Steps of a model have so many samples, or more.
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

    /// Whether others should hear that a step has so many samples.
    #[must_use]
    pub fn exceeds_recorded(&self, model: &str, samples: u32) -> bool {
        self.samples_of(model)
            .is_none_or(|held| f64::from(samples) >= f64::from(held) * REPORTED_GROWTH)
    }
}
