//! Decides which sample of a trainer's step starts next and on which engine.
//!
//! Steps of hundreds of samples arrive at once. Engines differ in speed, have limited memory, load
//! new weights in turn, crash and stall. Without placement, samples of one prompt spread over all
//! engines and each processes the prompt again; a slow engine holds the last samples of every
//! group; an engine whose memory is full evicts running samples; and a sample that no engine can
//! take blocks those behind it.
//!
//! Steps run in order of arrival, samples by rank. A sample goes to the fastest engine with a free
//! slot; the longest samples start first and so get the fastest engines. An engine that refused,
//! failed or went silent is paused. A sample on a slow or silent engine moves to another one with a
//! free slot. It keeps the text generated so far, which the new engine processes within
//! milliseconds.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::speed::EventHistogram;
use crate::speed::RemainingTime;
use crate::speed::Speed;
use crate::work::ReportedLoad;
use crate::work::UpstreamKey;

/// Identifies a sample within this process; ascends in order of creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SampleKey(pub u64);

/// Identifies a model within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(pub u32);

/// A sample that needs an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampleRequest {
    /// Identifies the sample.
    pub key: SampleKey,
    /// Hash of its group, whose samples share their prompt.
    pub group: u64,
    /// Model that generates it.
    pub model: ModelKey,
    /// Oldest version of the weights that may generate it.
    pub min_version: u64,
    /// KV-cache tokens that it is expected to hold at its end.
    pub peak_tokens: u32,
    /// Position among waiting samples; the lowest goes first.
    pub rank: u64,
    /// Number of events that its earlier runs have generated.
    pub events_done: u32,
}

/// State of one engine, as input to the placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Identifies the engine.
    pub key: UpstreamKey,
    /// Samples that it runs concurrently.
    pub slots: u32,
    /// Size of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// Model assigned to it. Samples of other models get a score penalty on it.
    pub model: Option<ModelKey>,
    /// Versions of the models that it has loaded, sorted by model.
    pub versions: Vec<(ModelKey, u64)>,
}

/// How the run of a sample on an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The sample is complete.
    Done,
    /// The engine did not run it: it is full or loads weights.
    Refused,
    /// The engine failed, closed the stream early or could not be reached.
    Failed,
    /// The sample is no longer wanted on this engine.
    Cancelled,
}

/// Why a sample moves to another engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MoveReason {
    /// The engine has sent no events for too long.
    Silent,
    /// Another engine is faster. Holds the expected remaining times; `None` if the engine does not
    /// report its speed.
    Slow(Option<RemainingTime>),
}

/// A sample that is to be moved to another engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    /// Identifies the sample.
    pub key: SampleKey,
    /// Why it moves.
    pub reason: MoveReason,
}

/// Pause of an engine that refused a sample: loading weights takes most of a second, and a refusal
/// costs one sample a few milliseconds.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Pause of an engine that failed: a restart takes seconds, and a failed attempt costs one sample a
/// round trip.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Fraction by which events take longer on a full engine, because of the number of its samples and
/// the prompts that they hold in memory.
const FULL_LOAD_SLOWDOWN: f64 = 0.25;

/// Score bonus of an engine that has the prompt of the sample's group. It is small because
/// processing the prompt again is short compared with a sample.
const CACHED_PROMPT_BONUS: f64 = 0.03;

/// Score penalty of an engine that is assigned to another model: other nodes send that model's
/// samples there without knowing of this node's.
const OTHER_MODEL_PENALTY: f64 = 0.4;

/// Weight of one event in an engine's mean time per event. With eight concurrent samples a change
/// of speed shows after about two events of each.
const EVENT_TIME_WEIGHT: f64 = 0.1;

/// A gap of more than this many median event times indicates a weight load or a crash, not a slow
/// engine.
const SILENCE_FACTOR: f64 = 6.0;

/// Shortest gap that counts as silence: longer than the time between two events on a slow engine.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Least time that a sample waits for its first event: prompts are processed in milliseconds, and
/// samples queue at an engine only where a node does not know of other nodes' samples.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(700);

/// The same as a multiple of the median event time, for engines with long event times.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 14.0;

/// A run is given up after this many median event times without an event, but not before
/// [`MIN_EVENT_TIMEOUT`]: a weight load stalls an engine for about twenty.
const EVENT_TIMEOUT_FACTOR: f64 = 40.0;

/// Least time without an event after which a run is given up.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout doubles with each engine that sent a sample nothing, up to this many times. Until
/// some engine has sent two events the event time is unknown, and a timeout shorter than it would
/// never let an event arrive.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;

/// A sample moves to an engine that is faster by this factor. The move costs little: a sample that
/// has run for [`MIN_STAY`] is a long one, which runs for seconds.
const MIN_SPEEDUP: f64 = 1.4;

/// Least time before a sample is moved for speed, so that two fluctuating estimates do not send it
/// back and forth and short samples finish where they are: each move opens a connection. Applies to
/// an engine that is slower by [`MIN_SPEEDUP`] and is shorter on slower ones.
const MIN_STAY: Duration = Duration::from_millis(1_400);

/// Number of groups whose last engine is remembered: enough for a few open steps.
const MAX_REMEMBERED_GROUPS: usize = 512;

/// Number of samples moved for speed that are remembered: enough for a few open steps.
const MAX_REMEMBERED_MOVES: usize = 2_048;

/// Largest age of the median event time. It changes over seconds, while samples generate thousands
/// of events per second.
const MEDIAN_MAX_AGE: Duration = Duration::from_millis(100);

/// With at least this many waiting samples, engines are ranked once for all of them instead of
/// being compared again for each sample.
const MIN_WAITING_TO_RANK: usize = 16;

/// Engines with free slots, best first, for samples of one model that start at the same time.
#[derive(Debug)]
struct Ranking {
    model: ModelKey,
    /// Scores and indexes of engines, ascending.
    engines: Vec<(f64, usize)>,
}

#[derive(Debug)]
struct Engine {
    state: EngineState,
    in_flight: u32,
    reserved_tokens: u64,
    paused_until: Option<Instant>,
    /// Mean time per event; `None` until two events of a sample have arrived from it.
    mean_event_s: Option<f64>,
    /// Last reported load, with the time of the report.
    reported: Option<(ReportedLoad, Instant)>,
    /// `None` until it has reported how long work takes on its VM.
    speed: Option<Speed>,
    /// Expected delay of a sample that starts now, caused by the disturbance of its VM (see
    /// [`crate::speed`]), relative to the time of a typical one.
    relative_delay: f64,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    sample: SampleRequest,
    engine: UpstreamKey,
    started_at: Instant,
    last_event: Option<Instant>,
    /// Events of the sample, including those of earlier runs.
    events: u32,
    /// It has been told to move.
    is_leaving: bool,
}

/// Waiting and running samples of all steps on this VM.
#[derive(Debug, Default)]
pub struct Placement {
    /// Sorted by key.
    engines: Vec<Engine>,
    /// Sorted by rank, then key.
    waiting: Vec<SampleRequest>,
    /// Sorted by sample key.
    running: Vec<Running>,
    /// Sorted by group.
    group_engines: Vec<GroupEngine>,
    /// Number of samples started so far.
    start_count: u64,
    event_times: EventTimes,
    /// Event counts of samples that are complete.
    event_counts: EventHistogram,
    /// Samples that were moved for speed; sorted.
    moved_for_speed: Vec<SampleKey>,
    /// Time for which `rankings` are valid; `None` after a run has ended or the engines, their
    /// reported speeds or pauses have changed. Starts update the rankings. Event times that change
    /// within that time are ignored.
    ranked_at: Option<Instant>,
    rankings: Vec<Ranking>,
}

/// The last engine that processed a group's prompt.
#[derive(Debug, Clone, Copy)]
struct GroupEngine {
    group: u64,
    engine: UpstreamKey,
    /// Number of that start.
    start: u64,
}

/// Times per event across engines, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct EventTimes {
    /// Median over the engines.
    median_s: Option<f64>,
    /// Time of the fastest engine.
    fastest_s: Option<f64>,
    /// When the times were computed.
    computed_at: Option<Instant>,
}

impl Placement {
    /// Replaces the list of engines; what is known of those that remain is kept.
    pub fn set_engines(&mut self, states: Vec<EngineState>) {
        self.ranked_at = None;
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

    /// Adds a sample to the waiting ones.
    pub fn enqueue(&mut self, sample: SampleRequest) {
        let order = (sample.rank, sample.key);
        let at = self
            .waiting
            .partition_point(|queued| (queued.rank, queued.key) < order);
        self.waiting.insert(at, sample);
    }

    /// Drops waiting samples that are no longer wanted. Running ones are ended with
    /// [`Placement::finish`].
    pub fn cancel(&mut self, unwanted: impl Fn(SampleKey) -> bool) {
        self.waiting.retain(|sample| !unwanted(sample.key));
    }

    /// Assigns new ranks to the waiting samples and sorts them. A sample for which `rank` returns
    /// `None` keeps its rank.
    pub fn rank_waiting(&mut self, rank: impl Fn(SampleKey) -> Option<u64>) {
        for sample in &mut self.waiting {
            sample.rank = rank(sample.key).unwrap_or(sample.rank);
        }
        self.waiting.sort_by_key(|sample| (sample.rank, sample.key));
    }

    /// Median time per event across engines; `None` until one is known.
    #[must_use]
    pub fn median_event_time(&self) -> Option<Duration> {
        self.event_times.median_s.map(Duration::from_secs_f64)
    }

    /// Records that the run of a sample on its engine has ended.
    pub fn finish(&mut self, now: Instant, key: SampleKey, outcome: RunOutcome) {
        let Ok(at) = self
            .running
            .binary_search_by_key(&key, |running| running.sample.key)
        else {
            return;
        };
        self.ranked_at = None;
        let ended = self.running.remove(at);
        let Some(at) = self.engine_index(ended.engine) else {
            return;
        };
        let engine = &mut self.engines[at];
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.reserved_tokens = engine
            .reserved_tokens
            .saturating_sub(u64::from(ended.sample.peak_tokens));
        if outcome == RunOutcome::Done {
            self.event_counts.record_sample(ended.events);
        }
        match outcome {
            RunOutcome::Done | RunOutcome::Cancelled => {}
            RunOutcome::Refused => engine.pause_until(now + REFUSED_PAUSE),
            RunOutcome::Failed => engine.pause_until(now + FAILED_PAUSE),
        }
    }

    /// Starts the next sample and returns it with its engine; `None` if no waiting sample can
    /// start.
    pub fn next(&mut self, now: Instant) -> Option<(SampleKey, UpstreamKey)> {
        if self.waiting.is_empty() {
            return None;
        }
        let median_s = self.median_event_s(now);
        let is_ranked = self.waiting.len() >= MIN_WAITING_TO_RANK;
        if is_ranked && self.ranked_at != Some(now) {
            self.rankings.clear();
            self.ranked_at = Some(now);
        }
        let candidates = if is_ranked {
            Vec::new()
        } else {
            self.with_free_slots(now)
        };
        let mut unplaced: Vec<SampleRequest> = Vec::new();
        let mut placed = None;
        for at in 0..self.waiting.len() {
            let sample = self.waiting[at];
            // Without this check, each of hundreds of samples of a step that waits for its weights
            // is compared with every engine.
            if unplaced.iter().any(|other| sample.requires_at_least(other)) {
                continue;
            }
            let engine = if is_ranked {
                self.best_ranked_engine(now, &sample, median_s)
            } else {
                self.best_engine(&candidates, &sample, median_s)
            };
            if let Some(engine) = engine {
                placed = Some((at, engine));
                break;
            }
            unplaced.push(sample);
        }
        let (at, engine) = placed?;
        let sample = self.waiting.remove(at);
        self.start(now, sample, engine);
        self.update_rankings(now, engine, median_s);
        Some((sample.key, self.engines[engine].state.key))
    }

    /// Records the load that an engine reports.
    pub fn record_load(&mut self, now: Instant, engine: UpstreamKey, reported: ReportedLoad) {
        let Some(at) = self.engine_index(engine) else {
            return;
        };
        self.engines[at].reported = Some((reported, now));
        if let Some(percent) = reported.time_percent {
            self.engines[at].record_speed(now, percent);
            self.engines[at].update_delay(now, self.event_counts.mean(), self.event_times.median_s);
            self.ranked_at = None;
        }
    }

    /// Records that a running sample has generated an event.
    pub fn record_event(&mut self, now: Instant, key: SampleKey) {
        let median_s = self.median_event_s(now);
        let Ok(at) = self
            .running
            .binary_search_by_key(&key, |running| running.sample.key)
        else {
            return;
        };
        let running = &mut self.running[at];
        let before = running.last_event.replace(now);
        running.events += 1;
        let engine = running.engine;
        if let (Some(before), Some(at)) = (before, self.engine_index(engine)) {
            self.engines[at].record_event_time(now, now.duration_since(before), median_s);
        }
    }

    /// Samples to move from a slow or silent engine while another one has a free slot. Each is
    /// returned once; its run ends as [`RunOutcome::Cancelled`].
    pub fn moves(&mut self, now: Instant) -> Vec<SampleKey> {
        let moves = self.moves_with_reasons(now);
        moves.into_iter().map(|each| each.key).collect()
    }

    /// Like [`Placement::moves`], with the reason for each move.
    pub fn moves_with_reasons(&mut self, now: Instant) -> Vec<Move> {
        // Waiting samples get free slots first.
        if !self.waiting.is_empty() {
            return Vec::new();
        }
        let median_s = self.median_event_s(now);
        let should_move = |at: &usize| self.should_move(now, &self.running[*at], median_s);
        let to_move: Vec<usize> = (0..self.running.len()).filter(should_move).collect();
        if to_move.is_empty() {
            return Vec::new();
        }
        let mut free_slots: Vec<u32> = self
            .engines
            .iter()
            .map(|engine| engine.free_slots(now))
            .collect();
        let mut by_speed: Vec<usize> = (0..self.engines.len()).collect();
        by_speed.sort_by(|a, b| {
            let slowness = |at: &usize| self.engines[*at].slowness(median_s);
            slowness(a).total_cmp(&slowness(b))
        });
        let mut moves = Vec::new();
        for at in to_move {
            let running = self.running[at];
            let Some(from) = self.engine_index(running.engine) else {
                continue;
            };
            let is_silent = running.is_silent(now, median_s);
            let max_slowness = self.engines[from].slowness(median_s) / MIN_SPEEDUP;
            let to = by_speed.iter().copied().find(|to| {
                let engine = &self.engines[*to];
                let is_faster = is_silent
                    || self
                        .remaining_times(now, &running, *to, median_s)
                        .map_or_else(
                            || engine.slowness(median_s) <= max_slowness,
                            |rest| rest.is_worth_moving(),
                        );
                *to != from
                    && is_faster
                    && free_slots[*to] > 0
                    && engine.has_version_for(&running.sample)
            });
            let Some(to) = to else {
                continue;
            };
            free_slots[to] -= 1;
            self.running[at].is_leaving = true;
            let reason = if is_silent {
                self.engines[from].pause_until(now + FAILED_PAUSE);
                self.ranked_at = None;
                MoveReason::Silent
            } else {
                let rest = self.remaining_times(now, &running, to, median_s);
                if rest.is_some() {
                    self.record_moved(running.sample.key);
                }
                MoveReason::Slow(rest)
            };
            let key = running.sample.key;
            moves.push(Move { key, reason });
        }
        moves
    }

    /// Expected remaining times of a sample on its engine and on engine `to`; `None` if its engine
    /// does not report its speed or a time is not known.
    fn remaining_times(
        &self,
        now: Instant,
        running: &Running,
        to: usize,
        median_s: Option<f64>,
    ) -> Option<RemainingTime> {
        let here = &self.engines[self.engine_index(running.engine)?];
        let undisturbed_s = here.speed?.undisturbed_s()?;
        let events = self.event_counts.remaining(running.events);
        let there_s = self.engines[to].remaining_s(now, events, median_s)?;
        Some(RemainingTime::with_move_cost(
            undisturbed_s * events,
            there_s,
        ))
    }

    fn record_moved(&mut self, key: SampleKey) {
        if let Err(at) = self.moved_for_speed.binary_search(&key) {
            self.moved_for_speed.insert(at, key);
        }
        if self.moved_for_speed.len() > MAX_REMEMBERED_MOVES {
            self.moved_for_speed.remove(0);
        }
    }

    /// Samples to move away from the engines in `leaving` (sorted by key), at most as many as all
    /// engines have free slots for. Each is returned once; its run ends as
    /// [`RunOutcome::Cancelled`].
    pub fn moves_from(&mut self, now: Instant, leaving: &[UpstreamKey]) -> Vec<SampleKey> {
        let free_slots: u32 = self
            .engines
            .iter()
            .map(|engine| engine.free_slots(now))
            .sum();
        let is_affected = |running: &&mut Running| {
            !running.is_leaving && leaving.binary_search(&running.engine).is_ok()
        };
        let affected = self.running.iter_mut().filter(is_affected);
        let moved = affected.take(free_slots as usize).map(|running| {
            running.is_leaving = true;
            running.sample.key
        });
        moved.collect()
    }

    /// Whether the sample's engine is silent, or the sample may move to a faster one.
    fn should_move(&self, now: Instant, running: &Running, median_s: Option<f64>) -> bool {
        if running.is_leaving {
            return false;
        }
        let Some(from) = self.engine_index(running.engine) else {
            return false;
        };
        if running.is_silent(now, median_s) {
            return true;
        }
        let was_moved = self
            .moved_for_speed
            .binary_search(&running.sample.key)
            .is_ok();
        if was_moved {
            return false;
        }
        match self.engines[from]
            .speed
            .and_then(|speed| speed.undisturbed_s())
        {
            Some(undisturbed_s) => {
                let events = self.event_counts.remaining(running.events);
                let fastest_s = self.event_times.fastest_s.unwrap_or(undisturbed_s);
                RemainingTime::with_move_cost(undisturbed_s * events, fastest_s * events)
                    .is_worth_moving()
            }
            None => running.has_stayed_long_enough(now, self.engines[from].slowness(median_s)),
        }
    }

    /// How long a sample waits for its next event, given the number of engines that sent it
    /// nothing.
    #[must_use]
    pub fn event_timeout(&self, silent_engines: u32) -> Duration {
        let median = Duration::from_secs_f64(self.event_times.median_s.unwrap_or_default());
        let timeout = median.mul_f64(EVENT_TIMEOUT_FACTOR).max(MIN_EVENT_TIMEOUT);
        timeout * 2_u32.pow(silent_engines.min(MAX_TIMEOUT_DOUBLINGS))
    }

    /// Number of waiting samples.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Earliest time at which a paused engine may be tried again.
    #[must_use]
    pub fn next_retry_at(&self, now: Instant) -> Option<Instant> {
        let paused = self.engines.iter().filter_map(|engine| engine.paused_until);
        paused.filter(|until| *until > now).min()
    }

    fn engine_index(&self, key: UpstreamKey) -> Option<usize> {
        self.engines
            .binary_search_by_key(&key, |engine| engine.state.key)
            .ok()
    }

    fn start(&mut self, now: Instant, sample: SampleRequest, at: usize) {
        let engine = &mut self.engines[at];
        engine.in_flight += 1;
        engine.reserved_tokens += u64::from(sample.peak_tokens);
        let key = engine.state.key;
        let position = self
            .running
            .partition_point(|running| running.sample.key < sample.key);
        let running = Running {
            sample,
            engine: key,
            started_at: now,
            last_event: None,
            events: sample.events_done,
            is_leaving: false,
        };
        self.running.insert(position, running);
        self.record_group_engine(sample.group, key);
    }

    fn record_group_engine(&mut self, group: u64, engine: UpstreamKey) {
        self.start_count += 1;
        let new = GroupEngine {
            group,
            engine,
            start: self.start_count,
        };
        match self
            .group_engines
            .binary_search_by_key(&group, |known| known.group)
        {
            Ok(at) => self.group_engines[at] = new,
            Err(at) => self.group_engines.insert(at, new),
        }
        if self.group_engines.len() > MAX_REMEMBERED_GROUPS {
            let oldest = self.group_engines.iter().map(|known| known.start).min();
            self.group_engines
                .retain(|known| Some(known.start) != oldest);
        }
    }

    /// Indexes of engines with free slots.
    fn with_free_slots(&self, now: Instant) -> Vec<usize> {
        let has_room = |at: &usize| self.engines[*at].free_slots(now) > 0;
        (0..self.engines.len()).filter(has_room).collect()
    }

    /// Index of the model's ranking, which is created if it is missing.
    fn ranking(&mut self, now: Instant, model: ModelKey, median_s: Option<f64>) -> usize {
        let found = self
            .rankings
            .iter()
            .position(|ranking| ranking.model == model);
        if let Some(at) = found {
            return at;
        }
        let score = |at: usize| (self.engines[at].score(model, None, median_s), at);
        let mut engines: Vec<_> = self.with_free_slots(now).into_iter().map(score).collect();
        engines.sort_unstable_by(compare_scores);
        self.rankings.push(Ranking { model, engines });
        self.rankings.len() - 1
    }

    /// The best engine with a free slot, the same as [`Placement::best_engine`] finds.
    fn best_ranked_engine(
        &mut self,
        now: Instant,
        sample: &SampleRequest,
        median_s: Option<f64>,
    ) -> Option<usize> {
        let ranking = self.ranking(now, sample.model, median_s);
        let ranked = self.rankings[ranking].engines.iter().copied();
        let best = ranked
            .clone()
            .find(|(_, at)| self.engines[*at].fits(sample))?;
        let engine_with_prompt = self
            .engine_with_prompt(sample)
            .and_then(|key| self.engine_index(key));
        let with_prompt = engine_with_prompt.filter(|at| {
            let engine = &self.engines[*at];
            engine.free_slots(now) > 0 && engine.fits(sample)
        });
        let Some(at) = with_prompt else {
            return Some(best.1);
        };
        let key = self.engines[at].state.key;
        let score = self.engines[at].score(sample.model, Some(key), median_s);
        let better = compare_scores(&(score, at), &best).is_lt();
        Some(if better { at } else { best.1 })
    }

    /// Updates the rankings after engine `at` has got one more sample.
    fn update_rankings(&mut self, now: Instant, at: usize, median_s: Option<f64>) {
        if self.ranked_at != Some(now) {
            return;
        }
        let engine = &self.engines[at];
        for ranking in &mut self.rankings {
            ranking.engines.retain(|(_, other)| *other != at);
            if engine.free_slots(now) > 0 {
                let new = (engine.score(ranking.model, None, median_s), at);
                let place = ranking
                    .engines
                    .partition_point(|entry| compare_scores(entry, &new).is_lt());
                ranking.engines.insert(place, new);
            }
        }
    }

    /// The last engine that processed the prompt of the sample's group.
    fn engine_with_prompt(&self, sample: &SampleRequest) -> Option<UpstreamKey> {
        let group = self
            .group_engines
            .binary_search_by_key(&sample.group, |known| known.group);
        group.ok().map(|at| self.group_engines[at].engine)
    }

    /// The best of the engines in `candidates` that fits the sample.
    fn best_engine(
        &self,
        candidates: &[usize],
        sample: &SampleRequest,
        median_s: Option<f64>,
    ) -> Option<usize> {
        let engine_with_prompt = self.engine_with_prompt(sample);
        let score =
            |at: &usize| self.engines[*at].score(sample.model, engine_with_prompt, median_s);
        let fitting = candidates.iter().copied();
        fitting
            .filter(|at| self.engines[*at].fits(sample))
            .min_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// Median of the engines' times per event, at most [`MEDIAN_MAX_AGE`] old.
    fn median_event_s(&mut self, now: Instant) -> Option<f64> {
        let is_recent = |at: Instant| now.duration_since(at) < MEDIAN_MAX_AGE;
        if self.event_times.median_s.is_none()
            || !self.event_times.computed_at.is_some_and(is_recent)
        {
            let mut times: Vec<f64> = self.engines.iter().filter_map(|e| e.mean_event_s).collect();
            times.sort_by(f64::total_cmp);
            self.event_times = EventTimes {
                median_s: times.get(times.len() / 2).copied(),
                fastest_s: times.first().copied(),
                computed_at: Some(now),
            };
            for engine in &mut self.engines {
                engine.update_delay(now, self.event_counts.mean(), self.event_times.median_s);
            }
        }
        self.event_times.median_s
    }
}

/// The lowest score first; among equals the engine with the lower index.
fn compare_scores(a: &(f64, usize), b: &(f64, usize)) -> Ordering {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
}

impl SampleRequest {
    /// Whether an engine with a free slot that cannot take `other` cannot take this sample either.
    const fn requires_at_least(&self, other: &Self) -> bool {
        self.model.0 == other.model.0
            && self.min_version >= other.min_version
            && self.peak_tokens >= other.peak_tokens
    }
}

impl Running {
    /// Whether it has sent nothing for longer than a healthy engine takes.
    fn is_silent(&self, now: Instant, median_event_s: Option<f64>) -> bool {
        // The event time is not known yet. If samples counted as silent now, those on slow engines
        // would be moved again and again.
        let Some(median_s) = median_event_s else {
            return false;
        };
        let median = Duration::from_secs_f64(median_s);
        let Some(last_event) = self.last_event else {
            let timeout = median
                .mul_f64(FIRST_EVENT_TIMEOUT_FACTOR)
                .max(MIN_FIRST_EVENT_TIMEOUT);
            return now.duration_since(self.started_at) > timeout;
        };
        now.duration_since(last_event) > median.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE)
    }

    /// Whether the sample has run here long enough to be moved for speed. On a slower engine the
    /// time is shorter.
    fn has_stayed_long_enough(&self, now: Instant, slowness: f64) -> bool {
        let min_stay = MIN_STAY.div_f64((slowness / MIN_SPEEDUP).max(1.0));
        now.duration_since(self.started_at) >= min_stay
    }
}

impl Engine {
    const fn new(state: EngineState) -> Self {
        Self {
            state,
            in_flight: 0,
            reserved_tokens: 0,
            paused_until: None,
            mean_event_s: None,
            reported: None,
            speed: None,
            relative_delay: 0.0,
        }
    }

    /// Whether its memory and its weights suffice for the sample.
    fn fits(&self, sample: &SampleRequest) -> bool {
        let tokens = self.reserved_tokens + u64::from(sample.peak_tokens);
        // A sample larger than the whole memory is admitted alone: the engine decides whether to
        // run it.
        let fits_in_memory = tokens <= self.state.memory_tokens || self.in_flight == 0;
        fits_in_memory && self.has_version_for(sample)
    }

    /// Number of samples that may start here now.
    fn free_slots(&self, now: Instant) -> u32 {
        if self.paused_until.is_some_and(|until| until > now) {
            return 0;
        }
        self.state.slots.saturating_sub(self.in_flight)
    }

    fn has_version_for(&self, sample: &SampleRequest) -> bool {
        let versions = &self.state.versions;
        let at = versions.binary_search_by_key(&sample.model, |(model, _)| *model);
        at.is_ok_and(|at| versions[at].1 >= sample.min_version)
    }

    /// Time per event relative to the median; above 1 is slower.
    fn slowness(&self, median_event_s: Option<f64>) -> f64 {
        match (self.mean_event_s, median_event_s) {
            (Some(own), Some(median)) if median > 0.0 => own / median,
            _ => 1.0,
        }
    }

    /// Placement score of this engine; the lowest is best.
    fn score(
        &self,
        model: ModelKey,
        engine_with_prompt: Option<UpstreamKey>,
        median_event_s: Option<f64>,
    ) -> f64 {
        let load = f64::from(self.in_flight) / f64::from(self.state.slots.max(1));
        let mut score =
            self.slowness(median_event_s) * (1.0 + FULL_LOAD_SLOWDOWN * load) + self.relative_delay;
        if engine_with_prompt == Some(self.state.key) {
            score -= CACHED_PROMPT_BONUS;
        }
        if self.state.model.is_some_and(|own| own != model) {
            score += OTHER_MODEL_PENALTY;
        }
        score
    }

    /// Records a report of how long work takes on its VM, in percent of the undisturbed time.
    fn record_speed(&mut self, now: Instant, percent: u32) {
        let speed = self
            .speed
            .get_or_insert(Speed::from_mean(self.mean_event_s));
        speed.record_report(now, percent);
    }

    /// Updates `relative_delay` for a sample of `events` events that starts now.
    fn update_delay(&mut self, now: Instant, events: f64, median_event_s: Option<f64>) {
        let (Some(speed), Some(median_s)) = (self.speed, median_event_s) else {
            self.relative_delay = 0.0;
            return;
        };
        let undisturbed_s = speed.undisturbed_s().unwrap_or(median_s);
        let median_sample_s = median_s * events.max(1.0);
        let delay_s = speed.expected_delay_s(now, undisturbed_s * events.max(1.0));
        self.relative_delay = delay_s / median_sample_s.max(f64::MIN_POSITIVE);
    }

    /// Expected seconds for `events` more events of a sample that continues here now; `None` until
    /// a time per event is known.
    fn remaining_s(&self, now: Instant, events: f64, median_event_s: Option<f64>) -> Option<f64> {
        let work_s = self.mean_event_s.or(median_event_s)? * events;
        let delay_s = self.speed.map(|speed| speed.expected_delay_s(now, work_s));
        Some(work_s + delay_s.unwrap_or(0.0))
    }

    fn record_event_time(&mut self, now: Instant, pause: Duration, median_event_s: Option<f64>) {
        let pause_s = pause.as_secs_f64();
        if median_event_s.is_some_and(|median| pause_s > median * SILENCE_FACTOR) {
            return;
        }
        if let Some(speed) = &mut self.speed {
            speed.record_time(now, pause);
            self.mean_event_s = speed.undisturbed_s();
            return;
        }
        let mean_s = self.mean_event_s.unwrap_or(pause_s);
        self.mean_event_s = Some(mean_s + (pause_s - mean_s) * EVENT_TIME_WEIGHT);
    }

    fn pause_until(&mut self, until: Instant) {
        self.paused_until = Some(
            self.paused_until
                .map_or(until, |paused_until| paused_until.max(until)),
        );
    }
}
