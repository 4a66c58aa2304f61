//! Mechanisms that a setting switches off, to measure what each is worth.

use serde::Deserialize;

/// One mechanism, by the name that it has in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Samples move from slow engines to faster ones.
    Moves,
    /// The longest samples of a step start first.
    LongFirst,
    /// One node accepts and runs all steps of a model.
    Homes,
    /// A home is pinged while it accepts a step, and passed over if it is silent.
    HomePing,
    /// Calls of the store go through another node where the store turns this one away.
    Detour,
    /// Nodes follow the store through a few seeds.
    Seeds,
    /// Each model has two sets of engines, which get its versions by turns.
    TwoSets,
    /// Loads of weights at once follow how long loads take.
    LoadLimit,
    /// Texts that are not listed yet are saved for the next runner.
    SavedTexts,
    /// Results wait for company before they are listed.
    PacedListing,
    /// A node's calls of a service keep to one upstream.
    CallAffinity,
    /// Slow and failing upstreams get no calls for a while.
    Outliers,
    /// Reward calls are paced by the slack of their step, and leave room for callers.
    PacedRewards,
    /// A trainer's question waits for the last group that it waits for.
    HeldAnswers,
    /// Requests wait for a node's first configuration.
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
