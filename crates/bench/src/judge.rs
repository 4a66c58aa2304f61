//! Judges a run from the ends of the path: what engines produced, what services
//! ran, what callers got, what trainers accepted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use firweir::request::chunk::tokens_of;
use firweir::request::lot::Lot;
use firweir::request::lot::Sample;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load_measures::LoadMeasures;
use crate::measure::CallEnd;
use crate::measure::CallOutcome;
use crate::measure::Measure;
use crate::measure::histogram;
use crate::prefix::prefix_hash;
use crate::stand::lock;

/// Names one chunk that an engine produced; it stands in the chunk's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// Engine, counted anew after a restart.
    pub engine: u32,
    /// Request on that engine.
    pub request: u64,
    /// Chunk of that request.
    pub seq: u64,
}

impl Display for Mark {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}/{}", self.engine, self.request, self.seq)
    }
}

impl Mark {
    fn parse(word: &str) -> Option<Self> {
        let mut parts = word.trim_end_matches('.').split('/');
        let engine = parts.next()?.parse().ok()?;
        let request = parts.next()?.parse().ok()?;
        let seq = parts.next()?.parse().ok()?;
        Some(Self {
            engine,
            request,
            seq,
        })
    }
}

/// Counts of the report, taken at the ends of the path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls that callers made.
    pub offered: u64,
    /// Calls that got their whole answer.
    pub answered: u64,
    /// Calls that were said not to have run.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Samples that trainers accepted.
    pub samples_delivered: u64,
    /// Samples, or engine answers, that were accepted twice.
    pub duplicated: u64,
    /// Samples missing from accepted steps, and calls without a right answer.
    pub lost: u64,
    /// Samples beyond their trainer's bound.
    pub stale: u64,
    /// Samples whose label is not what the engine ran.
    pub mislabelled: u64,
    /// Charged calls that ran more than once.
    pub reexecuted: u64,
    /// Calls that were said not to have run, and ran.
    pub not_run_ran: u64,
}

#[derive(Debug, Clone, Default)]
struct Produced {
    /// First chunk of each version, in order.
    versions: Vec<(u64, u64)>,
    chunks: u64,
    whole: bool,
    /// Hash of the text that the engine was given to go on from.
    resumed: Option<u64>,
}

/// What the engines of a feed can do at best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// One request that runs alone.
    pub alone_tokens_per_s: f64,
    /// All engines together, each at its limit of requests.
    pub all_tokens_per_s: f64,
}

impl Speed {
    /// No schedule finishes answers of these lengths sooner, whatever it knows:
    /// the longest needs its time alone, and all together need the engines'.
    fn bound_s(&self, lengths: &[u32]) -> f64 {
        let longest = lengths.iter().copied().max().unwrap_or(0);
        let all: u32 = lengths.iter().sum();
        let alone_s = f64::from(longest) / self.alone_tokens_per_s;
        alone_s.max(f64::from(all) / self.all_tokens_per_s)
    }
}

/// A step as its trainer sees it: from the first call for its prompts to the
/// last call for scores.
#[derive(Debug, Clone, Copy)]
struct StepSpan {
    step: u64,
    prompted: Instant,
    scored: Instant,
}

#[derive(Debug, Default)]
struct FeedState {
    steps: u64,
    idle: Duration,
    busy: Duration,
    speed: Option<Speed>,
    spans: Vec<StepSpan>,
}

#[derive(Debug)]
struct State {
    engines: Vec<Vec<Produced>>,
    executions: BTreeMap<String, u64>,
    executed: BTreeSet<u64>,
    not_run: BTreeSet<u64>,
    delivered: BTreeSet<(u32, u64)>,
    feeds: BTreeMap<String, FeedState>,
    /// Newest revision that each VM's entry served, by VM.
    served: BTreeMap<u32, u64>,
    config_reverts: u64,
    counts: Counts,
    /// Upstreams that each poison request crashed.
    poisoned: BTreeMap<u64, u64>,
    in_deadline: u64,
    /// Delivered samples with text of more than one weight version.
    mixed: u64,
    loads: LoadMeasures,
    tokens: u64,
    window: Option<Duration>,
    latency_us: Histogram<u64>,
    staleness: Histogram<u64>,
    step_ms: Histogram<u64>,
    /// Time of accepted steps, and the clairvoyant bounds of the same steps.
    steps_s: f64,
    bounds_s: f64,
    /// Time of each step in percent of its bound.
    step_percent: Histogram<u64>,
}

/// Collects what happens at the ends of the path; cheap to clone.
#[derive(Debug, Clone)]
pub struct Judge {
    state: Arc<Mutex<State>>,
}

impl Default for Judge {
    fn default() -> Self {
        Self::new()
    }
}

impl Judge {
    /// A judge that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        let state = State {
            engines: Vec::new(),
            executions: BTreeMap::new(),
            executed: BTreeSet::new(),
            not_run: BTreeSet::new(),
            delivered: BTreeSet::new(),
            feeds: BTreeMap::new(),
            served: BTreeMap::new(),
            config_reverts: 0,
            counts: Counts::default(),
            poisoned: BTreeMap::new(),
            in_deadline: 0,
            mixed: 0,
            loads: LoadMeasures::default(),
            tokens: 0,
            window: None,
            latency_us: histogram(),
            staleness: histogram(),
            step_ms: histogram(),
            steps_s: 0.0,
            bounds_s: 0.0,
            step_percent: histogram(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// A number for an engine that starts.
    #[must_use]
    pub fn new_engine(&self) -> u32 {
        let mut state = lock(&self.state);
        state.engines.push(Vec::new());
        state.engines.len() as u32 - 1
    }

    /// An engine produced a chunk with a weight version.
    pub fn produced(&self, mark: Mark, version: u64, last: bool) {
        let mut state = lock(&self.state);
        let requests = &mut state.engines[mark.engine as usize];
        let index = mark.request as usize;
        if requests.len() <= index {
            requests.resize(index + 1, Produced::default());
        }
        let produced = &mut requests[index];
        if produced
            .versions
            .last()
            .is_none_or(|(_, known)| *known != version)
        {
            produced.versions.push((mark.seq, version));
        }
        produced.chunks = mark.seq + 1;
        produced.whole |= last;
    }

    /// An engine generated a whole answer.
    pub fn generated(&self, tokens: u32) {
        let mut state = lock(&self.state);
        if state.window.is_none() {
            state.tokens += u64::from(tokens);
        }
    }

    /// The time in which load is offered has ended; it was this long.
    pub fn end_window(&self, window: Duration) {
        lock(&self.state).window = Some(window);
    }

    /// An engine was given the start of an answer to go on from.
    pub fn resumed(&self, engine: u32, request: u64, text: &str) {
        let mut state = lock(&self.state);
        let requests = &mut state.engines[engine as usize];
        let index = request as usize;
        if requests.len() <= index {
            requests.resize(index + 1, Produced::default());
        }
        requests[index].resumed = Some(prefix_hash(text));
    }

    /// What the engines of a feed can do at best.
    pub fn set_speed(&self, feed: &str, speed: Speed) {
        let mut state = lock(&self.state);
        state.feeds.entry(feed.to_owned()).or_default().speed = Some(speed);
    }

    /// A trainer was asked for the prompts of a step.
    pub fn prompted(&self, feed: &str, step: u64, now: Instant) {
        let mut state = lock(&self.state);
        let feed = state.feeds.entry(feed.to_owned()).or_default();
        if !feed.spans.iter().any(|span| span.step == step) {
            feed.spans.push(StepSpan {
                step,
                prompted: now,
                scored: now,
            });
        }
    }

    /// A trainer was asked to score samples of a step.
    pub fn scored(&self, feed: &str, step: u64, now: Instant) {
        let mut state = lock(&self.state);
        let feed = state.feeds.entry(feed.to_owned()).or_default();
        if let Some(span) = feed.spans.iter_mut().find(|span| span.step == step) {
            span.scored = now;
        }
    }

    /// A service ran a request.
    pub fn executed(&self, request: u64, key: Option<&str>) {
        let mut state = lock(&self.state);
        state.executed.insert(request);
        if let Some(key) = key {
            *state.executions.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// An upstream crashed because of the request that it ran.
    pub fn poisoned(&self, request: u64) {
        *lock(&self.state).poisoned.entry(request).or_default() += 1;
    }

    /// Distinct requests that services ran.
    #[must_use]
    pub fn executed_count(&self) -> usize {
        lock(&self.state).executed.len()
    }

    /// A caller's call ended.
    pub fn call_ended(&self, end: &CallEnd) {
        let mut state = lock(&self.state);
        state.counts.offered += 1;
        state.loads.call_ended(end);
        match end.outcome {
            CallOutcome::Answered => {
                state.counts.answered += 1;
                state.in_deadline += u64::from(end.latency <= end.deadline);
                state
                    .latency_us
                    .saturating_record(end.latency.as_micros() as u64);
            }
            CallOutcome::NotRun => {
                state.counts.not_run += 1;
                state.not_run.insert(end.request);
            }
            CallOutcome::Unknown => state.counts.unknown += 1,
            CallOutcome::Wrong => state.counts.lost += 1,
        }
    }

    /// A trainer accepted a lot that should hold `expected` samples.
    pub fn accepted(&self, lot: &Lot, expected: u32, trainer_version: u64, bound: u64) {
        let mut state = lock(&self.state);
        let slots: BTreeSet<(u32, u32)> = lot
            .samples
            .iter()
            .map(|sample| (sample.group, sample.index))
            .collect();
        state.counts.samples_delivered += lot.samples.len() as u64;
        state.counts.duplicated += (lot.samples.len() - slots.len()) as u64;
        state.counts.lost += u64::from(expected).saturating_sub(slots.len() as u64);
        for sample in &lot.samples {
            state.judge_sample(sample);
            state.mixed += u64::from(sample.segments.len() > 1);
            let oldest = sample.versions().min().unwrap_or(0);
            let age = trainer_version.saturating_sub(oldest);
            state.staleness.saturating_record(age);
            state.counts.stale += u64::from(age > bound);
        }
        state.judge_time(lot);
        let feed = state.feeds.entry(lot.feed.clone()).or_default();
        let due = feed.steps;
        feed.steps += 1;
        if lot.step < due {
            state.counts.duplicated += lot.samples.len() as u64;
        } else if lot.step > due {
            state.counts.lost += u64::from(expected) * (lot.step - due);
        }
    }

    /// A VM's entry, restarted or not, serves with this configuration.
    pub fn serves(&self, vm: u32, revision: u64) {
        let mut state = lock(&self.state);
        let before = state.served.insert(vm, revision).unwrap_or(0);
        state.config_reverts += u64::from(revision < before);
    }

    /// A trainer waited for a lot.
    pub fn idle(&self, feed: &str, idle: Duration) {
        let mut state = lock(&self.state);
        state.step_ms.saturating_record(idle.as_millis() as u64);
        state.feeds.entry(feed.to_owned()).or_default().idle += idle;
    }

    /// A trainer trained on a lot.
    pub fn busy(&self, feed: &str, busy: Duration) {
        lock(&self.state)
            .feeds
            .entry(feed.to_owned())
            .or_default()
            .busy += busy;
    }

    /// Counts of the run so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let state = lock(&self.state);
        let reexecuted = state
            .executions
            .values()
            .map(|runs| runs.saturating_sub(1))
            .sum();
        let not_run_ran = state.not_run.intersection(&state.executed).count() as u64;
        Counts {
            reexecuted,
            not_run_ran,
            ..state.counts
        }
    }

    /// Figures of the run so far.
    #[must_use]
    pub fn measures(&self) -> Vec<Measure> {
        let counts = self.counts();
        let state = lock(&self.state);
        let idle: f64 = state
            .feeds
            .values()
            .map(|feed| feed.idle.as_secs_f64())
            .sum();
        let busy: f64 = state
            .feeds
            .values()
            .map(|feed| feed.busy.as_secs_f64())
            .sum();
        let steps: u64 = state.feeds.values().map(|feed| feed.steps).sum();
        let least = state
            .feeds
            .values()
            .map(|feed| feed.steps)
            .min()
            .unwrap_or(0);
        let count = |name, value: u64, unit| Measure {
            name,
            value: value as f64,
            unit,
        };
        let share = |name, part: f64, whole: f64| Measure {
            name,
            value: if whole > 0.0 { part / whole } else { 0.0 },
            unit: "share",
        };
        let millis = |quantile| state.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        let window_s = state.window.unwrap_or_default().as_secs_f64();
        let produced = state.engines.iter().flatten();
        let resumed = produced.filter(|answer| answer.resumed.is_some()).count();
        let mut measures = vec![
            count("offered", counts.offered, "calls"),
            count("answered", counts.answered, "calls"),
            count("not_run", counts.not_run, "calls"),
            count("unknown", counts.unknown, "calls"),
            count("duplicated", counts.duplicated, "samples"),
            count("lost", counts.lost, "samples and calls"),
            count("stale", counts.stale, "samples"),
            count("mislabelled", counts.mislabelled, "samples"),
            count("reexecuted", counts.reexecuted, "calls"),
            count("not_run_ran", counts.not_run_ran, "calls"),
            count(
                "upstreams_lost_to_one",
                state.poisoned.values().copied().max().unwrap_or(0),
                "upstreams",
            ),
            count("poison_requests", state.poisoned.len() as u64, "requests"),
            count("answers_resumed", resumed as u64, "answers"),
            count("samples_delivered", counts.samples_delivered, "samples"),
            count("samples_mixed", state.mixed, "samples"),
            count("config_reverts", state.config_reverts, "reverts"),
            count("steps_accepted", steps, "steps"),
            count("steps_accepted_least", least, "steps"),
            share(
                "live_in_deadline_share",
                state.in_deadline as f64,
                counts.offered as f64,
            ),
            Measure {
                name: "live_p50_ms",
                value: millis(0.5),
                unit: "ms",
            },
            Measure {
                name: "live_p99_ms",
                value: millis(0.99),
                unit: "ms",
            },
            share("trainer_idle_share", idle, idle + busy),
            share("step_over_bound", state.steps_s, state.bounds_s),
            share(
                "step_over_bound_p99",
                state.step_percent.value_at_quantile(0.99) as f64,
                100.0,
            ),
            count("idle_p50_ms", state.step_ms.value_at_quantile(0.5), "ms"),
            count("idle_p99_ms", state.step_ms.value_at_quantile(0.99), "ms"),
            Measure {
                name: "staleness_mean",
                value: state.staleness.mean(),
                unit: "versions",
            },
            count(
                "staleness_p50",
                state.staleness.value_at_quantile(0.5),
                "versions",
            ),
            count(
                "staleness_p99",
                state.staleness.value_at_quantile(0.99),
                "versions",
            ),
            Measure {
                name: "goodput",
                value: if window_s > 0.0 {
                    state.tokens as f64 / window_s
                } else {
                    0.0
                },
                unit: "tokens/s",
            },
        ];
        measures.extend(state.loads.measures());
        measures
    }
}

impl State {
    /// Sets the time of an accepted step beside its clairvoyant bound.
    fn judge_time(&mut self, lot: &Lot) {
        let feed = self.feeds.entry(lot.feed.clone()).or_default();
        let span = feed.spans.iter().find(|span| span.step == lot.step);
        let (Some(span), Some(speed)) = (span, feed.speed) else {
            return;
        };
        let lengths: Vec<u32> = lot
            .samples
            .iter()
            .map(|sample| tokens_of(&sample.segments))
            .collect();
        let bound_s = speed.bound_s(&lengths);
        let step_s = span.scored.duration_since(span.prompted).as_secs_f64();
        self.steps_s += step_s;
        self.bounds_s += bound_s;
        let percent = (100.0 * step_s / bound_s).round() as u64;
        self.step_percent.saturating_record(percent);
    }

    /// Checks a sample against what the engines truly produced.
    ///
    /// Each chunk must follow the one before it in the same answer, or open an
    /// answer that its engine went on with from exactly the text before it.
    fn judge_sample(&mut self, sample: &Sample) {
        let mut text = String::new();
        let mut next: Option<Mark> = None;
        let mut right = true;
        let mut answers = BTreeSet::new();
        for segment in &sample.segments {
            for word in segment.text.split_inclusive(' ') {
                let Some(mark) = Mark::parse(word.trim_end()) else {
                    right = false;
                    continue;
                };
                right &= next == Some(mark) || self.opens(mark, &text);
                right &= self.version_of(mark) == Some(segment.weight_version);
                answers.insert((mark.engine, mark.request));
                text.push_str(word);
                next = Some(Mark {
                    seq: mark.seq + 1,
                    ..mark
                });
            }
        }
        let whole = next.is_some_and(|end| self.is_whole(end));
        self.counts.lost += u64::from(!whole);
        self.counts.mislabelled += u64::from(!right);
        let new = answers
            .iter()
            .all(|answer| !self.delivered.contains(answer));
        self.counts.duplicated += u64::from(!new);
        self.delivered.append(&mut answers);
    }

    /// The chunk opens an answer that was to go on from this text.
    fn opens(&self, mark: Mark, text: &str) -> bool {
        let given = (!text.is_empty()).then(|| prefix_hash(text));
        mark.seq == 0
            && self
                .produced(mark)
                .is_some_and(|produced| produced.resumed == given)
    }

    fn produced(&self, mark: Mark) -> Option<&Produced> {
        self.engines
            .get(mark.engine as usize)?
            .get(mark.request as usize)
    }

    fn version_of(&self, mark: Mark) -> Option<u64> {
        let produced = self.produced(mark)?;
        let position = produced
            .versions
            .partition_point(|(first, _)| *first <= mark.seq);
        Some(produced.versions.get(position.checked_sub(1)?)?.1)
    }

    fn is_whole(&self, end: Mark) -> bool {
        self.produced(end)
            .is_some_and(|produced| produced.whole && produced.chunks == end.seq)
    }
}
