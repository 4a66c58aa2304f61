//! Mechanisms that a setting can switch off, to measure the effect of each.

use serde::Deserialize;

/// A mechanism; the settings name it in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Samples move from slow engines to faster ones.
    Moves,
    /// The longest samples of a step start first.
    LongFirst,
    /// One node, the home, accepts and runs all steps of a model.
    Homes,
    /// A home is pinged while it accepts a step; another node is used if it does not answer.
    HomePing,
    /// Calls of the store go through another node if the store refuses this one or is
    /// unreachable.
    Detour,
    /// Nodes follow the store through a few seed nodes.
    Seeds,
    /// Each model has two sets of engines, which get its versions alternately.
    TwoSets,
    /// The number of concurrent weight loads depends on how long loads take.
    LoadLimit,
    /// Texts that are not stored as results yet are saved for the next runner.
    SavedTexts,
    /// Results are written in batches, after a delay.
    PacedListing,
    /// A node's calls of a service prefer one upstream.
    CallAffinity,
    /// Slow and failing upstreams get no calls for a while.
    Outliers,
    /// Reward calls are paced by the slack of their step and leave capacity for live calls.
    PacedRewards,
    /// A trainer's request for results is held until the last group that it needs is complete.
    HeldAnswers,
    /// Requests wait until a node that has just started has a configuration.
    FirstConfig,
    /// Calls of a service that several accounts share start only where an upstream is estimated to
    /// have a free slot.
    SharedService,
    /// Waiting calls are admitted by the priority of their account or route.
    Priorities,
    /// Waiting samples are ordered by the slack of their step.
    StepSlack,
    /// Samples and calls are placed by the speed that upstreams report for their VM.
    ToldSpeed,
    /// The number of upstreams is scaled with the demand of steps.
    Scaling,
}

/// The mechanisms that are switched on; all by default. Stored as one bit for each
/// that is switched off. Cheap to copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EnabledMechanisms(u32);

impl EnabledMechanisms {
    /// All mechanisms but these.
    #[must_use]
    pub fn all_except(mechanisms: &[Mechanism]) -> Self {
        Self(
            mechanisms
                .iter()
                .fold(0, |off, mechanism| off | bit(*mechanism)),
        )
    }

    /// Whether a mechanism is switched on.
    #[must_use]
    pub const fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) == 0
    }
}

const fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
