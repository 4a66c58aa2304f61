//! Generates the samples of the submissions that this node runs, in short: drafts them.
//! [`Placement`] decides which sample starts on which engine; this module sends the requests
//! and reads the streams.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use firweir_policy::periodic_work::pause_after;
use firweir_policy::placement::EngineState;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::Move;
use firweir_policy::placement::MoveReason;
use firweir_policy::placement::RunOutcome;
use firweir_policy::placement::SampleKey;
use firweir_policy::placement::SampleRequest;
use firweir_policy::pool::engines_needed;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_pacing::CrashPacing;
use crate::dialect::StreamEvent;
use crate::draft_jobs::Assignment;
use crate::draft_jobs::FleetSnapshot;
use crate::draft_jobs::Job;
use crate::draft_jobs::State;
use crate::draft_jobs::completed_result;
use crate::draft_jobs::group_indices;
use crate::draft_jobs::initial_ranks;
use crate::draft_jobs::is_done;
use crate::draft_jobs::item_id;
use crate::draft_run::Attempt;
use crate::draft_run::Run;
use crate::draft_run::RunProgress;
use crate::engines::engines_for_route;
use crate::engines::rollout_engines;
use crate::fingerprint::Fingerprint;
use crate::interest::DraftedModel;
use crate::mechanisms::Mechanism;
use crate::model::Instance;
use crate::model::ItemResult;
use crate::model::ItemState;
use crate::relay_message::hash_of_name;
use crate::sample_order::record_length;
use crate::sample_order::record_step;
use crate::scaling::drain::leaving_engines;
use crate::scoring::ScoreOutcome;
use crate::scoring::Scoring;
use crate::shared::Shared;
use crate::submission::local::LocalSubmission;
use crate::submission::records::Head;
use crate::submission::records::TextPiece;
use crate::submission::texts::SavedText;

/// Least number of events of a text that is saved: a shorter one is quickly generated again.
const MIN_SAVED_EVENTS: usize = 25;

/// Longest time between two checks for work that no notification announces, and least time
/// between two passes over all waiting samples.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Generates the samples of this node's submissions; cheap to clone.
#[derive(Debug, Clone)]
pub struct Drafting {
    pub(crate) shared: Shared,
    scoring: Scoring,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    wake: Notify,
}

impl Drafting {
    /// Creates it without samples.
    #[must_use]
    pub fn new(shared: Shared, scoring: Scoring) -> Self {
        Self {
            shared,
            scoring,
            inner: Arc::default(),
        }
    }

    /// Adds all items of a submission that have no result yet.
    pub fn add(&self, submission: &Arc<LocalSubmission>) {
        let long_first = self.shared.mechanisms.is_enabled(Mechanism::LongFirst);
        let groups = group_indices(submission);
        let ranks = initial_ranks(submission, &groups, long_first);
        let mut state = self.lock();
        record_step(&mut state, submission);
        for (item_index, rank) in ranks.into_iter().enumerate() {
            if submission.is_item_open(item_index) {
                self.add_item(&mut state, submission, item_index, rank, &groups);
            }
        }
        self.update_drafted_models(&mut state);
        drop(state);
        self.inner.wake.notify_one();
    }

    /// Recomputes how many engines the models of all samples need.
    fn update_drafted_models(&self, state: &mut State) {
        let config = self.shared.fleet.config();
        let mut models: Vec<DraftedModel> = Vec::new();
        let mut previous = None;
        for job in &state.jobs {
            let head = &job.submission.head;
            // Samples of one step are adjacent.
            if previous.replace(&job.submission.id) == Some(&job.submission.id) {
                continue;
            }
            let samples = self.shared.fleet.demands().samples_of(&head.model);
            let samples = samples.unwrap_or(0).max(head.items);
            let route = config.route(&head.host, &head.path);
            let engines = match route {
                Some(route) => engines_for_route(&config, route, samples),
                None => engines_needed(samples, 1),
            };
            let model = DraftedModel {
                model: hash_of_name(&head.model),
                engines,
            };
            match models.binary_search_by_key(&model.model, |held| held.model) {
                Ok(at) => models[at].engines = models[at].engines.max(model.engines),
                Err(at) => models.insert(at, model),
            }
        }
        state.drafted_models = models;
    }

    fn add_item(
        &self,
        state: &mut State,
        submission: &Arc<LocalSubmission>,
        item_index: usize,
        rank: u64,
        groups: &[usize],
    ) {
        let item = &submission.items[item_index];
        let cached = state.texts.take(&item.id, submission.head.min_version);
        let cached = cached.map(|cached| cached.progress);
        if let Some(progress) = cached.as_ref().filter(|cached| is_done(item, cached)) {
            submission.add_result(self.shared.clock.now(), completed_result(item, progress));
            // The same item may be submitted again.
            state.texts.insert(&item.id, progress.clone());
            return;
        }
        // A complete text is preferred, then the saved one: pieces that are saved later have
        // to continue it.
        let complete = cached.as_ref().filter(|cached| cached.complete).cloned();
        let progress = complete
            .or_else(|| submission.saved_text(&item.id))
            .or(cached);
        let key = SampleKey(state.next_key);
        state.next_key += 1;
        state.jobs.push(Job {
            key,
            submission: Arc::clone(submission),
            item_index,
            rank,
            group: groups[item_index],
            groups: groups.iter().max().map_or(0, |last| last + 1),
            slack_rank: None,
            first_slack_ms: None,
            progress: progress.unwrap_or_default(),
            running: false,
            added_at: self.shared.clock.now(),
            first_started_at: None,
            text_completed_at: None,
            runs: 0,
            timeouts_in_row: 0,
            pacing: CrashPacing::default(),
            paced_until: None,
            leave: Arc::default(),
            move_reason: None,
        });
        self.continue_sample(state, key);
    }

    /// Queues a sample whose text is incomplete, or has the complete text scored.
    fn continue_sample(&self, state: &mut State, key: SampleKey) {
        let Some(at) = state.job_index(key) else {
            return;
        };
        if !state.jobs[at].progress.complete {
            return self.enqueue(state, key);
        }
        let job = &mut state.jobs[at];
        let item = Arc::clone(&job.submission.items[job.item_index]);
        let Some(call) = item.reward_call.clone() else {
            return self.record_result(state, at);
        };
        job.running = true;
        // A run that ended on its own may have left an unread notification.
        job.leave = Arc::default();
        let (submission, leave) = (Arc::clone(&job.submission), Arc::clone(&job.leave));
        let drafting = self.clone();
        drop(tokio::spawn(async move {
            let scored = tokio::select! {
                scored = drafting.scoring.score(&submission, &item, &call) => scored,
                // The submission was removed.
                () = leave.notified() => return,
            };
            drafting.record_score(key, scored);
        }));
    }

    fn record_score(&self, key: SampleKey, scored: ScoreOutcome) {
        let mut state = self.lock();
        let Some(at) = state.job_index(key) else {
            return;
        };
        match scored {
            ScoreOutcome::Score(score) => {
                state.jobs[at].progress.score = Some(score);
                self.record_result(&mut state, at);
            }
            ScoreOutcome::Abandoned(reason) => self.abandon(&mut state, key, reason),
        }
    }

    /// Age at which a submission is due; zero while its route is not known.
    #[must_use]
    pub fn due_age(&self, head: &Head) -> Duration {
        let config = self.shared.fleet.config();
        let route = config.route(&head.host, &head.path);
        route.map_or(Duration::ZERO, |route| Duration::from_millis(route.due_ms))
    }

    /// Whether any sample is running, waits for an engine or waits for its score.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.lock().jobs.is_empty()
    }

    /// Stops all runs of a submission; engines stop as their connections close.
    pub fn remove(&self, submission: &str) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (removed, remaining) = std::mem::take(&mut state.jobs)
            .into_iter()
            .partition(|job| job.submission.id == submission);
        state.jobs = remaining;
        let removed: Vec<Job> = removed;
        let is_removed = |key: SampleKey| removed.binary_search_by_key(&key, |job| job.key).is_ok();
        state.placement.cancel(is_removed);
        for job in removed {
            if job.running {
                job.leave.notify_one();
            }
            self.count_discarded(state, &job);
            let item = &job.submission.items[job.item_index];
            state.texts.insert(&item.id, job.progress);
        }
        self.update_drafted_models(&mut guard);
        drop(guard);
        self.inner.wake.notify_one();
    }

    /// Starts and moves samples; never returns.
    pub async fn run(self) {
        let mut until = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = self.inner.wake.notified() => {}
                () = self.shared.fleet.changed() => {}
                () = tokio::time::sleep_until(until) => {}
            }
            until = self.place_samples();
        }
    }

    /// Starts and moves samples where possible; returns when to check again.
    fn place_samples(&self) -> tokio::time::Instant {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let has_samples = !state.jobs.is_empty();
        let models = if has_samples {
            state.drafted_models.as_slice()
        } else {
            &[]
        };
        self.shared.interest.set_drafted_models(now, models);
        if has_samples {
            self.update_engines(&mut state);
        }
        self.abandon_expired(&mut state);
        self.queue_paced(&mut state, now);
        self.order_waiting(&mut state, now);
        while let Some((key, engine)) = state.placement.next(now) {
            self.start_run(&mut state, key, engine);
        }
        let state = &mut *state;
        let leave = state.placement.moves_from(now, &state.leaving);
        let moves = if self.shared.mechanisms.is_enabled(Mechanism::Moves) {
            state.placement.moves_with_reasons(now)
        } else {
            Vec::new()
        };
        for key in leave {
            if let Some(at) = state.job_index(key) {
                state.jobs[at].leave.notify_one();
            }
        }
        for planned in moves {
            self.request_move(state, planned);
        }
        let latest = now + CHECK_INTERVAL;
        let engines = state.next_engine_update.filter(|after| *after > now);
        let times = [state.placement.next_retry_at(now), engines];
        let next = times.into_iter().flatten().min();
        tokio::time::Instant::from_std(next.unwrap_or(latest).min(latest))
    }

    /// Tells a run to leave its engine and counts the reason.
    fn request_move(&self, state: &mut State, planned: Move) {
        let Some(at) = state.job_index(planned.key) else {
            return;
        };
        let job = &mut state.jobs[at];
        job.move_reason = Some(planned.reason);
        job.leave.notify_one();
        self.shared.journal.count(match planned.reason {
            MoveReason::Silent => "draft.moved_silent",
            MoveReason::Slow(_) => "draft.moved_slow",
        });
    }

    /// Passes the engines to the placement if the fleet has changed. The next update waits for
    /// a time that grows with the duration of this one.
    fn update_engines(&self, state: &mut State) {
        let began = self.shared.clock.now();
        if state.next_engine_update.is_some_and(|after| began < after) {
            return;
        }
        let snapshot = FleetSnapshot::of(&self.shared.fleet);
        if state
            .applied_fleet
            .as_ref()
            .is_some_and(|held| held.is_same(&snapshot))
        {
            return;
        }
        self.apply_fleet(state, snapshot);
        let took = self.shared.clock.now().duration_since(began);
        state.next_engine_update = Some(began + pause_after(took, Duration::ZERO));
    }

    fn apply_fleet(&self, state: &mut State, snapshot: FleetSnapshot) {
        let config = Arc::clone(&snapshot.config);
        self.update_slack_order(state, &snapshot);
        state.applied_fleet = Some(snapshot);
        let mut engines = Vec::new();
        let mut states = Vec::new();
        for engine in rollout_engines(&self.shared.fleet).serving {
            let upstream = &engine.upstream;
            let key = state.engine_key(&upstream.instance);
            let mut versions: Vec<(ModelKey, u64)> = upstream
                .models
                .iter()
                .map(|held| {
                    (
                        state.model_key(&upstream.service, &held.model),
                        held.version,
                    )
                })
                .collect();
            versions.sort_unstable();
            let model = engine.models.first();
            let service = config.service(&upstream.service);
            states.push(EngineState {
                key,
                slots: upstream.slots,
                memory_tokens: service.map_or(0, |service| service.memory_tokens),
                model: model.map(|model| state.model_key(&upstream.service, model)),
                versions,
            });
            engines.push((key, engine.upstream));
        }
        engines.sort_by_key(|(key, _)| *key);
        state.engines = engines;
        state.leaving = leaving_engines(&self.shared)
            .iter()
            .map(|engine| state.engine_key(&engine.instance))
            .collect();
        state.leaving.sort_unstable();
        let held = states.iter().flat_map(|engine| &engine.versions);
        let mut served: Vec<ModelKey> = held.map(|(model, _)| *model).collect();
        served.sort_unstable();
        served.dedup();
        state.placement.set_engines(states);
        if state.config_version != config.version || state.served_models != served {
            state.config_version = config.version;
            state.served_models = served;
            self.requeue_waiting(state);
        }
    }

    /// Queues all waiting samples anew, as their routes may lead to other services now, or other
    /// services have engines for them.
    fn requeue_waiting(&self, state: &mut State) {
        state.placement.cancel(|_| true);
        let waiting: Vec<SampleKey> = state
            .jobs
            .iter()
            .filter(|job| !job.running)
            .map(|job| job.key)
            .collect();
        for key in waiting {
            self.enqueue(state, key);
        }
    }

    /// Queues the samples whose pause is over.
    fn queue_paced(&self, state: &mut State, now: Instant) {
        for key in state.take_paced(now) {
            self.enqueue(state, key);
        }
    }

    /// Queues a sample for an engine, or abandons it if its route no longer exists.
    fn enqueue(&self, state: &mut State, key: SampleKey) {
        let Some(at) = state.job_index(key) else {
            return;
        };
        let submission = Arc::clone(&state.jobs[at].submission);
        let item_index = state.jobs[at].item_index;
        let config = self.shared.fleet.config();
        let Some(route) = config.route(&submission.head.host, &submission.head.path) else {
            // Without a configuration no routes are known.
            if config.version > 0 {
                self.abandon(state, key, "route-gone");
            }
            return;
        };
        let item = &submission.items[item_index];
        let failed_requests = &self.shared.failed_requests;
        let failures = state.jobs[at].progress.failures;
        if failed_requests.is_exhausted(Fingerprint::of_impossible_item(&item.id), 0, 1) {
            return self.abandon(state, key, "impossible");
        }
        let failing = Fingerprint::of_failing_item(&item.id);
        if failed_requests.is_exhausted(failing, failures, route.max_attempts) {
            return self.abandon(state, key, "failed");
        }
        if state.jobs[at].paced_until.is_some() {
            return;
        }
        // Without a share for any service it waits for another configuration.
        let Some(service) = state.service_of(&state.jobs[at], route) else {
            return;
        };
        let model = state.model_key(service, &submission.head.model);
        state.placement.enqueue(SampleRequest {
            key,
            group: xxh3_64(item.group.as_bytes()),
            model,
            min_version: submission.head.min_version,
            peak_tokens: item.prompt_tokens + item.expected_tokens,
            rank: state.jobs[at].current_rank(),
            events_done: state.jobs[at].progress.events.len() as u32,
        });
    }

    fn abandon(&self, state: &mut State, key: SampleKey, reason: &'static str) {
        let Some(at) = state.job_index(key) else {
            return;
        };
        let job = state.jobs.remove(at);
        self.count_discarded(state, &job);
        let item = &job.submission.items[job.item_index];
        self.shared.journal.event(
            "item_abandoned",
            &[
                ("submission", &job.submission.id),
                ("item", &item.id),
                ("reason", &reason),
                ("failures", &job.progress.failures),
            ],
        );
        let result = ItemResult {
            item: item.id.clone(),
            state: ItemState::Abandoned,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        };
        job.submission.add_result(self.shared.clock.now(), result);
    }

    fn abandon_expired(&self, state: &mut State) {
        let now = self.shared.clock.now();
        // This runs at each end of a sample, about a hundred times a second; samples expire
        // after seconds.
        if state.next_expiry_check.is_some_and(|after| now < after) {
            return;
        }
        state.next_expiry_check = Some(now + CHECK_INTERVAL);
        let config = self.shared.fleet.config();
        let expired = |job: &Job| {
            let head = &job.submission.head;
            let route = config.route(&head.host, &head.path);
            route.is_some_and(|route| job.submission.expires_at(route) < now)
        };
        let expired: Vec<SampleKey> = state
            .jobs
            .iter()
            .filter(|job| !job.running && expired(job))
            .map(|job| job.key)
            .collect();
        for key in expired {
            state.placement.cancel(|held| held == key);
            self.abandon(state, key, "expired");
        }
    }

    fn start_run(&self, state: &mut State, key: SampleKey, engine: UpstreamKey) {
        let now = self.shared.clock.now();
        let engine = state.engine(engine);
        let (Some(at), Some(upstream)) = (state.job_index(key), engine) else {
            state.placement.finish(now, key, RunOutcome::Cancelled);
            return;
        };
        let job = &mut state.jobs[at];
        let (submission, item_index) = (Arc::clone(&job.submission), job.item_index);
        let event_timeout = state.placement.event_timeout(job.timeouts_in_row);
        let progress = RunProgress {
            last_event: job.progress.last_event,
            versions: job.progress.versions.clone(),
            events_of_run: 0,
        };
        job.leave = Arc::default();
        job.move_reason = None;
        let assignment = Assignment {
            upstream,
            event_timeout,
            leave: Arc::clone(&job.leave),
        };
        let drafting = self.clone();
        job.running = true;
        job.runs += 1;
        job.first_started_at.get_or_insert(now);
        self.record_first_slack(job, now);
        drop(tokio::spawn(async move {
            let run = drafting.run_on_engine(key, submission, item_index, assignment, progress);
            run.await;
        }));
    }

    async fn run_on_engine(
        self,
        key: SampleKey,
        submission: Arc<LocalSubmission>,
        item_index: usize,
        assignment: Assignment,
        mut progress: RunProgress,
    ) {
        let Assignment {
            upstream,
            event_timeout,
            leave,
        } = assignment;
        let started = self.shared.clock.now();
        let on_event = |event, version| self.record_event(key, event, version);
        let on_load = |load| self.record_load(&upstream.instance, load);
        let run = Run {
            shared: &self.shared,
            on_event: &on_event,
            on_load: &on_load,
            submission: &submission,
            item: &submission.items[item_index],
            upstream: &upstream,
            event_timeout,
        };
        let attempt = tokio::select! {
            attempt = run.attempt(&mut progress) => attempt,
            () = leave.notified() => Attempt::Moved,
        };
        let ended = self.shared.clock.now();
        let has_lost_upstream = progress.events_of_run == 0
            && attempt.is_connection_loss()
            && self.shared.has_crashed(&upstream).await;
        if attempt != Attempt::Whole {
            let outcome = format_args!("{attempt:?}");
            let took_ms = ended.duration_since(started).as_millis();
            let mut fields: Vec<(&str, &dyn Display)> = vec![
                ("submission", &submission.id),
                ("item", &submission.items[item_index].id),
                ("upstream", &upstream.instance),
                ("outcome", &outcome),
                ("events", &progress.events_of_run),
                ("took_ms", &took_ms),
            ];
            let is_moved = attempt == Attempt::Moved;
            let remaining_ms = is_moved.then(|| self.remaining_ms(key)).flatten();
            if let Some((current_ms, other_ms)) = &remaining_ms {
                fields.push(("rest_here_ms", current_ms));
                fields.push(("rest_there_ms", other_ms));
            }
            self.shared.journal.event("draft_ended", &fields);
        }
        let run_outcome = match attempt {
            Attempt::Whole => RunOutcome::Done,
            Attempt::NotRun | Attempt::TooOld => RunOutcome::Refused,
            Attempt::Impossible | Attempt::Failed | Attempt::VersionChanged | Attempt::Moved => {
                RunOutcome::Cancelled
            }
            Attempt::Broken(_) => RunOutcome::Failed,
        };
        let mut state = self.lock();
        state.placement.finish(ended, key, run_outcome);
        if let Some(at) = state.job_index(key) {
            let timed_out = matches!(attempt, Attempt::Broken("silent" | "head-late"));
            let job = &mut state.jobs[at];
            job.running = false;
            if progress.events_of_run > 0 {
                job.pacing.record_answer();
            } else if has_lost_upstream {
                job.pacing.record_loss();
            }
            job.timeouts_in_row = match (timed_out, progress.events_of_run) {
                (true, 0) => job.timeouts_in_row + 1,
                (true, _) => job.timeouts_in_row.max(1),
                (false, _) => 0,
            };
            if has_lost_upstream {
                state.pace(at, ended);
            }
            self.handle_attempt(&mut state, key, at, attempt);
        }
        drop(state);
        self.inner.wake.notify_one();
    }

    /// Expected remaining time of a sample that was told to leave a slow engine, in milliseconds:
    /// on that engine, and on another one. `None` if it was not moved for speed, or if no
    /// estimate is known.
    fn remaining_ms(&self, key: SampleKey) -> Option<(u64, u64)> {
        let state = self.lock();
        let job = &state.jobs[state.job_index(key)?];
        let MoveReason::Slow(remaining) = job.move_reason? else {
            return None;
        };
        let remaining = remaining?;
        let ms = |seconds: f64| (seconds * 1e3) as u64;
        Some((ms(remaining.current_engine_s), ms(remaining.other_engine_s)))
    }

    /// Continues or abandons a sample according to how its run ended.
    fn handle_attempt(&self, state: &mut State, key: SampleKey, at: usize, attempt: Attempt) {
        match attempt {
            Attempt::Whole => {
                let job = &mut state.jobs[at];
                job.progress.complete = true;
                let fingerprint = Fingerprint::of_failing_item(item_id(job));
                self.shared.failed_requests.clear(fingerprint);
                job.text_completed_at = Some(self.shared.clock.now());
                record_length(&mut state.lengths, job);
                self.continue_sample(state, key);
            }
            Attempt::Impossible => {
                let fingerprint = Fingerprint::of_impossible_item(item_id(&state.jobs[at]));
                self.shared.failed_requests.record_failed_run(fingerprint);
                self.abandon(state, key, "impossible");
            }
            Attempt::Failed => {
                let job = &mut state.jobs[at];
                job.progress.failures += 1;
                let fingerprint = Fingerprint::of_failing_item(item_id(job));
                self.shared.failed_requests.record_failed_run(fingerprint);
                self.enqueue(state, key);
            }
            Attempt::VersionChanged => {
                self.count_discarded(state, &state.jobs[at]);
                state.jobs[at].progress.restart();
                self.enqueue(state, key);
            }
            Attempt::NotRun | Attempt::TooOld | Attempt::Broken(_) | Attempt::Moved => {
                self.enqueue(state, key);
            }
        }
    }

    /// Adds the result of an item whose text is complete and has its score if it asks for one.
    fn record_result(&self, state: &mut State, at: usize) {
        let job = state.jobs.remove(at);
        let item = &job.submission.items[job.item_index];
        let result = completed_result(item, &job.progress);
        let now = self.shared.clock.now();
        let since_added = |at: Instant| at.duration_since(job.added_at).as_millis();
        let waited_ms = job.first_started_at.map(since_added);
        let drafted_ms = job.text_completed_at.map(since_added);
        let took = now.duration_since(job.added_at);
        self.shared.journal.time("item.completed", took);
        let (events, took_ms) = (job.progress.events.len(), took.as_millis());
        let (waited_ms, drafted_ms) = (
            waited_ms.unwrap_or_default(),
            drafted_ms.unwrap_or_default(),
        );
        let mut fields: Vec<(&str, &dyn Display)> = vec![
            ("submission", &job.submission.id),
            ("item", &item.id),
            ("events", &events),
            ("tries", &job.runs),
            ("waited_ms", &waited_ms),
            ("drafted_ms", &drafted_ms),
            ("took_ms", &took_ms),
        ];
        if let Some(slack_ms) = &job.first_slack_ms {
            fields.push(("slack_ms", slack_ms));
        }
        self.shared.journal.event("item_completed", &fields);
        job.submission.add_result(now, result);
        state.texts.insert(&item.id, job.progress);
    }

    /// Records the next event of a run.
    fn record_event(&self, key: SampleKey, event: StreamEvent, version: u64) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.placement.record_event(now, key);
        // There is no job if the submission has ended meanwhile.
        if let Some(at) = state.job_index(key) {
            state.jobs[at].progress.add_event(event, version);
        }
    }

    /// Passes the load that an engine reported to the placement.
    fn record_load(&self, engine: &Instance, load: ReportedLoad) {
        let Some(load) = self.shared.usable_load(Some(load)) else {
            return;
        };
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let key = state.engine_key(engine);
        state.placement.record_load(now, key, load);
    }

    /// Unsaved text of a submission's unfinished samples: the events after those saved before.
    /// `saved` is sorted by item.
    #[must_use]
    pub fn unsaved_texts(&self, submission: &str, saved: &[SavedText]) -> Vec<TextPiece> {
        let state = self.lock();
        let jobs = state.jobs.iter();
        let of_submission = jobs.filter(|job| job.submission.id == submission);
        let pieces = of_submission.filter_map(|job| {
            let item = &job.submission.items[job.item_index].id;
            let saved_before = saved.binary_search_by(|held| held.item.cmp(item));
            let saved_before = saved_before.ok().map(|at| &saved[at]);
            let after = saved_before.map_or(0, |saved| saved.events);
            let complete = job.progress.complete;
            let (events, versions) = (&job.progress.events, &job.progress.versions);
            let is_longer = events.len() >= MIN_SAVED_EVENTS.max(after + 1);
            let is_new =
                is_longer || (complete && saved_before.is_none_or(|saved| !saved.complete));
            // A restarted text does not continue the saved one.
            (is_new && !job.progress.restarted).then(|| TextPiece {
                item: item.clone(),
                after,
                events: events[after..].to_vec(),
                versions: versions.clone(),
                complete,
            })
        });
        pieces.collect()
    }

    /// Ignores poisoning: a panic in one decision must not stop all others.
    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}
