//! Which sample of a trainer's step is drafted next, and on which engine.
//!
//! **Load:** steps of hundreds of samples arrive at once; engines differ in speed,
//! hold prompts in limited memory, change their weights in turn, crash and stall.
//! **Without it:** samples of one prompt are spread over all engines and each
//! reads it anew; a slow engine holds the last samples of every group; an engine
//! whose memory is full throws out running samples; a sample that an engine cannot
//! take blocks those behind it. **How:** steps go in order of arrival, samples in
//! their trainer's order. A sample goes to the engine with the least load for its
//! speed, with a bonus for the one that has its group's prompt. An engine that
//! refused, failed or stalled is left alone for a while. **Thresholds:** beside
//! each constant.

use std::time::Duration;
use std::time::Instant;

use crate::work::UpstreamKey;

/// Names one sample for as long as the process lives; grows with each offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DraftKey(pub u64);

/// Names a model for as long as the process lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(pub u32);

/// A sample that asks for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draft {
    /// Its name.
    pub key: DraftKey,
    /// Hash of its group, whose samples share their prompt.
    pub group: u64,
    /// Model that is to make it.
    pub model: ModelKey,
    /// Oldest version of the weights that may make it.
    pub min_version: u64,
    /// Memory that it is expected to take at its end.
    pub tokens: u32,
    /// Order among the samples that wait; the lowest goes first.
    pub rank: u64,
}

/// What the placement is told of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Its name.
    pub key: UpstreamKey,
    /// Samples that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// In the availability zone of this VM.
    pub local_zone: bool,
    /// Versions of the models that it has, sorted by model.
    pub versions: Vec<(ModelKey, u64)>,
}

/// How a draft on an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DraftEnding {
    /// It went to its end, with so many events in this time.
    Done {
        /// Events that the engine made.
        events: u32,
        /// From the first to the last of them.
        elapsed: Duration,
    },
    /// The engine did not run it: it is full or changes its weights.
    Refused,
    /// The engine failed, broke off or could not be reached.
    Failed,
    /// No one wants it any more.
    Cancelled,
}

/// An engine that refused is asked again after this: a change of weights takes most
/// of a second, and a refusal costs a few milliseconds of one sample.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// An engine that failed is asked again after this: a restart takes seconds, and
/// one sample that tries in vain loses a round trip.
const FAILED_PAUSE: Duration = Duration::from_millis(1_000);

/// The group's prompt on an engine is worth this much of its load: reading a prompt
/// again takes milliseconds where a sample takes most of a second.
const PROMPT_BONUS: f64 = 0.15;

/// Another zone costs this much of an engine's load.
const OTHER_ZONE: f64 = 0.02;

/// Part that one sample moves an engine's mean time per event.
const SPEED_STEP: f64 = 0.2;

/// Most samples that wait at an engine beyond its slots. They start when a slot is
/// freed, without a round trip; more of them would wait where they cannot leave.
const QUEUED_AT_ENGINE: u32 = 0;

/// Groups whose engine is remembered: those of a few open steps.
const GROUPS_KEPT: usize = 512;

#[derive(Debug)]
struct Engine {
    state: EngineState,
    in_flight: u32,
    tokens: u64,
    paused_until: Option<Instant>,
    /// Mean time per event; `None` until a sample has ended there.
    event_s: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    draft: Draft,
    engine: UpstreamKey,
}

/// Samples that wait and samples that run, of all steps on this VM.
#[derive(Debug, Default)]
pub struct Placement {
    /// Sorted by key.
    engines: Vec<Engine>,
    /// Sorted by rank, then key.
    waiting: Vec<Draft>,
    /// Sorted by draft.
    running: Vec<Running>,
    /// Engines of groups, oldest first.
    groups: Vec<(u64, UpstreamKey)>,
}

impl Placement {
    /// Takes in the engines as they are now.
    pub fn set_engines(&mut self, states: Vec<EngineState>) {
        let known = std::mem::take(&mut self.engines);
        let mut engines: Vec<Engine> = states
            .into_iter()
            .map(|state| {
                let at = known.binary_search_by_key(&state.key, |engine| engine.state.key);
                match at {
                    Ok(at) => Engine { state, ..known[at] },
                    Err(_) => Engine::new(state),
                }
            })
            .collect();
        engines.sort_by_key(|engine| engine.state.key);
        self.engines = engines;
    }

    /// A sample asks for an engine.
    pub fn offer(&mut self, draft: Draft) {
        let order = (draft.rank, draft.key);
        let at = self
            .waiting
            .partition_point(|held| (held.rank, held.key) < order);
        self.waiting.insert(at, draft);
    }

    /// No one wants these samples any more; those that run are finished by
    /// [`Placement::finish`].
    pub fn cancel(&mut self, unwanted: impl Fn(DraftKey) -> bool) {
        self.waiting.retain(|draft| !unwanted(draft.key));
    }

    /// A sample that ran has ended, here for this engine.
    pub fn finish(&mut self, now: Instant, key: DraftKey, ending: DraftEnding) {
        let Ok(at) = self
            .running
            .binary_search_by_key(&key, |held| held.draft.key)
        else {
            return;
        };
        let ended = self.running.remove(at);
        let Some(at) = self.engine_at(ended.engine) else {
            return;
        };
        let engine = &mut self.engines[at];
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.tokens = engine.tokens.saturating_sub(u64::from(ended.draft.tokens));
        match ending {
            DraftEnding::Done { events, elapsed } => engine.learn(events, elapsed),
            DraftEnding::Refused => engine.pause(now + REFUSED_PAUSE),
            DraftEnding::Failed => engine.pause(now + FAILED_PAUSE),
            DraftEnding::Cancelled => {}
        }
    }

    /// The next sample to start and its engine, if any.
    pub fn next(&mut self, now: Instant) -> Option<(DraftKey, UpstreamKey)> {
        let usual = self.usual_event_s();
        let placed = self.waiting.iter().enumerate().find_map(|(at, draft)| {
            let engine = self.best_engine(now, draft, usual)?;
            Some((at, engine))
        });
        let (at, engine) = placed?;
        let draft = self.waiting.remove(at);
        self.start(draft, engine);
        Some((draft.key, self.engines[engine].state.key))
    }

    /// Samples that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// When an engine that is left alone may be asked again.
    #[must_use]
    pub fn next_look(&self, now: Instant) -> Option<Instant> {
        let paused = self.engines.iter().filter_map(|engine| engine.paused_until);
        paused.filter(|until| *until > now).min()
    }

    fn engine_at(&self, key: UpstreamKey) -> Option<usize> {
        self.engines
            .binary_search_by_key(&key, |engine| engine.state.key)
            .ok()
    }

    fn start(&mut self, draft: Draft, at: usize) {
        let engine = &mut self.engines[at];
        engine.in_flight += 1;
        engine.tokens += u64::from(draft.tokens);
        let key = engine.state.key;
        let position = self
            .running
            .partition_point(|held| held.draft.key < draft.key);
        let running = Running { draft, engine: key };
        self.running.insert(position, running);
        self.groups.retain(|(group, _)| *group != draft.group);
        self.groups.push((draft.group, key));
        if self.groups.len() > GROUPS_KEPT {
            self.groups.remove(0);
        }
    }

    fn best_engine(&self, now: Instant, draft: &Draft, usual: Option<f64>) -> Option<usize> {
        let group = self.groups.iter().find(|(group, _)| *group == draft.group);
        let prompt_at = group.map(|(_, engine)| *engine);
        let fitting = self.engines.iter().enumerate();
        fitting
            .filter(|(_, engine)| engine.takes(now, draft))
            .min_by(|(_, a), (_, b)| {
                let score = |engine: &Engine| engine.score(prompt_at, usual);
                score(a).total_cmp(&score(b))
            })
            .map(|(at, _)| at)
    }

    /// Median of the engines' times per event.
    fn usual_event_s(&self) -> Option<f64> {
        let mut times: Vec<f64> = self.engines.iter().filter_map(|e| e.event_s).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}

impl Engine {
    const fn new(state: EngineState) -> Self {
        Self {
            state,
            in_flight: 0,
            tokens: 0,
            paused_until: None,
            event_s: None,
        }
    }

    fn takes(&self, now: Instant, draft: &Draft) -> bool {
        let paused = self.paused_until.is_some_and(|until| until > now);
        let room = self.in_flight < self.state.slots + QUEUED_AT_ENGINE;
        let tokens = self.tokens + u64::from(draft.tokens);
        // A sample that is larger than the memory is let in alone: the engine says
        // whether it takes it.
        let fits = tokens <= self.state.memory_tokens || self.in_flight == 0;
        let version = self
            .state
            .versions
            .binary_search_by_key(&draft.model, |(model, _)| *model)
            .map(|at| self.state.versions[at].1);
        let fresh = version.is_ok_and(|version| version >= draft.min_version);
        !paused && room && fits && fresh
    }

    /// The lower the better.
    fn score(&self, prompt_at: Option<UpstreamKey>, usual_event_s: Option<f64>) -> f64 {
        let load = f64::from(self.in_flight + 1) / f64::from(self.state.slots.max(1));
        let slowness = match (self.event_s, usual_event_s) {
            (Some(own), Some(usual)) if usual > 0.0 => own / usual,
            _ => 1.0,
        };
        let bonus = if prompt_at == Some(self.state.key) {
            PROMPT_BONUS
        } else {
            0.0
        };
        let zone = if self.state.local_zone {
            0.0
        } else {
            OTHER_ZONE
        };
        load * slowness.max(0.5) + zone - bonus
    }

    fn learn(&mut self, events: u32, elapsed: Duration) {
        if events < 2 {
            return;
        }
        let event_s = elapsed.as_secs_f64() / f64::from(events - 1);
        let held = self.event_s.unwrap_or(event_s);
        self.event_s = Some(held + (event_s - held) * SPEED_STEP);
    }

    fn pause(&mut self, until: Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |held| held.max(until)));
    }
}
