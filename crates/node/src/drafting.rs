//! Drafts the items of the submissions that this node runs: takes decisions from
//! [`Placement`], sends items to engines and reads their streams.

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

use crate::dialect::StreamEvent;
use crate::draft_jobs::Assigned;
use crate::draft_jobs::FleetSeen;
use crate::draft_jobs::Job;
use crate::draft_jobs::State;
use crate::draft_jobs::completed;
use crate::draft_jobs::groups_of;
use crate::draft_jobs::is_done;
use crate::draft_jobs::ranks_of;
use crate::draft_run::Attempt;
use crate::draft_run::Reached;
use crate::draft_run::Run;
use crate::engines::rollout_engines;
use crate::interest::DraftedModel;
use crate::mechanisms::Mechanism;
use crate::model::Instance;
use crate::model::ItemResult;
use crate::model::ItemState;
use crate::relay::hash_of_name;
use crate::sample_order::note_length;
use crate::sample_order::note_step;
use crate::scaling::drain::leaving_engines;
use crate::scoring::Scored;
use crate::scoring::Scoring;
use crate::shared::Shared;
use crate::submission::local::LocalSubmission;
use crate::submission::records::Head;
use crate::submission::records::TextPiece;
use crate::submission::texts::SavedText;

/// Events from which a text is worth saving: shorter ones are soon made anew.
const WORTH_SAVING: usize = 25;

/// Time between looks at what nothing else wakes up for.
pub(crate) const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Drafts items; cheap to clone.
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
    /// Nothing to draft yet.
    #[must_use]
    pub fn new(shared: Shared, scoring: Scoring) -> Self {
        Self {
            shared,
            scoring,
            inner: Arc::default(),
        }
    }

    /// Drafts all items of a submission that have no result yet.
    pub fn add(&self, submission: &Arc<LocalSubmission>) {
        let long_first = self.shared.off.leaves(Mechanism::LongFirst);
        let groups = groups_of(submission);
        let ranks = ranks_of(submission, &groups, long_first);
        let mut state = self.lock();
        note_step(&mut state, submission);
        for (place, rank) in ranks.into_iter().enumerate() {
            if submission.is_item_open(place) {
                self.add_item(&mut state, submission, place, rank, &groups);
            }
        }
        self.count_models(&mut state);
        drop(state);
        self.inner.wake.notify_one();
    }

    /// Counts the engines that the models of all samples need.
    fn count_models(&self, state: &mut State) {
        let config = self.shared.fleet.config();
        let mut drafted: Vec<DraftedModel> = Vec::new();
        let mut before = None;
        for job in &state.jobs {
            let head = &job.submission.head;
            // Samples of one step stand together.
            if before.replace(&job.submission.id) == Some(&job.submission.id) {
                continue;
            }
            let route = config.route(&head.host, &head.path);
            let target = route.and_then(|route| route.targets.first());
            let service = target.and_then(|target| config.service(&target.service));
            let slots = service.map_or(1, |service| service.slots.max(1));
            let samples = self.shared.fleet.demands().of(&head.model);
            let samples = samples.unwrap_or(0).max(head.items);
            let model = DraftedModel {
                model: hash_of_name(&head.model),
                engines: engines_needed(samples, slots),
            };
            match drafted.binary_search_by_key(&model.model, |held| held.model) {
                Ok(at) => drafted[at].engines = drafted[at].engines.max(model.engines),
                Err(at) => drafted.insert(at, model),
            }
        }
        state.models_drafted = drafted;
    }

    fn add_item(
        &self,
        state: &mut State,
        submission: &Arc<LocalSubmission>,
        place: usize,
        rank: u64,
        groups: &[usize],
    ) {
        let item = &submission.items[place];
        let kept = state.kept.take(&item.id, submission.head.min_version);
        let kept = kept.map(|kept| kept.progress);
        if let Some(progress) = kept.as_ref().filter(|kept| is_done(item, kept)) {
            submission.add_result(self.shared.clock.now(), completed(item, progress));
            // It may come yet again.
            state.kept.insert(&item.id, progress.clone());
            return;
        }
        // A whole text goes first, then what is saved: what is saved later has to follow
        // from it.
        let complete = kept.as_ref().filter(|kept| kept.complete).cloned();
        let progress = complete
            .or_else(|| submission.saved_text(&item.id))
            .or(kept);
        let key = SampleKey(state.next_draft);
        state.next_draft += 1;
        state.jobs.push(Job {
            key,
            submission: Arc::clone(submission),
            place,
            rank,
            group: groups[place],
            groups: groups.iter().max().map_or(0, |last| last + 1),
            by_slack: None,
            first_slack_ms: None,
            progress: progress.unwrap_or_default(),
            running: false,
            offered: self.shared.clock.now(),
            first_start: None,
            drafted: None,
            tries: 0,
            silences: 0,
            leave: Arc::default(),
            moved: None,
        });
        self.go_on(state, key);
    }

    /// Drafts what is missing of an item's text, or has the whole text scored.
    fn go_on(&self, state: &mut State, key: SampleKey) {
        let Some(at) = state.job_at(key) else {
            return;
        };
        if !state.jobs[at].progress.complete {
            return self.offer(state, key);
        }
        let job = &mut state.jobs[at];
        let item = Arc::clone(&job.submission.items[job.place]);
        let Some(call) = item.reward_call.clone() else {
            return self.complete(state, at);
        };
        job.running = true;
        // A run that ended as it was told to leave has left that word unread.
        job.leave = Arc::default();
        let (submission, leave) = (Arc::clone(&job.submission), Arc::clone(&job.leave));
        let drafting = self.clone();
        drop(tokio::spawn(async move {
            let scored = tokio::select! {
                scored = drafting.scoring.score(&submission, &item, &call) => scored,
                // No one wants it any more.
                () = leave.notified() => return,
            };
            drafting.take_score(key, scored);
        }));
    }

    fn take_score(&self, key: SampleKey, scored: Scored) {
        let mut state = self.lock();
        let Some(at) = state.job_at(key) else {
            return;
        };
        match scored {
            Scored::Score(score) => {
                state.jobs[at].progress.score = Some(score);
                self.complete(&mut state, at);
            }
            Scored::GivenUp(reason) => self.abandon(&mut state, key, reason),
        }
    }

    /// Age at which a submission is due; zero while its route is not known.
    #[must_use]
    pub fn due_of(&self, head: &Head) -> Duration {
        let config = self.shared.fleet.config();
        let route = config.route(&head.host, &head.path);
        route.map_or(Duration::ZERO, |route| Duration::from_millis(route.due_ms))
    }

    /// Whether anything is being drafted or waits for it.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.lock().jobs.is_empty()
    }

    /// Stops drafting a submission; engines stop as their connections close.
    pub fn remove(&self, submission: &str) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (gone, kept) = std::mem::take(&mut state.jobs)
            .into_iter()
            .partition(|job| job.submission.id == submission);
        state.jobs = kept;
        let gone: Vec<Job> = gone;
        let is_gone = |key: SampleKey| gone.binary_search_by_key(&key, |job| job.key).is_ok();
        state.placement.cancel(is_gone);
        for job in gone {
            if job.running {
                job.leave.notify_one();
            }
            self.count_discarded(state, &job);
            let item = &job.submission.items[job.place];
            state.kept.insert(&item.id, job.progress);
        }
        self.count_models(&mut guard);
        drop(guard);
        self.inner.wake.notify_one();
    }

    /// Places drafts for as long as the process lives.
    pub async fn run(self) {
        let mut until = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = self.inner.wake.notified() => {}
                () = self.shared.fleet.changed() => {}
                () = tokio::time::sleep_until(until) => {}
            }
            until = self.place();
        }
    }

    /// Starts what can start; tells when to look again.
    fn place(&self) -> tokio::time::Instant {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let drafts = !state.jobs.is_empty();
        let models = if drafts {
            state.models_drafted.as_slice()
        } else {
            &[]
        };
        self.shared.interest.take_drafting(now, models);
        if drafts {
            self.take_engines(&mut state);
        }
        self.give_up_expired(&mut state);
        self.order_waiting(&mut state, now);
        while let Some((draft, engine)) = state.placement.next(now) {
            self.start(&mut state, draft, engine);
        }
        let state = &mut *state;
        let leave = state.placement.moves_from(now, &state.leaving);
        let moves = if self.shared.off.leaves(Mechanism::Moves) {
            state.placement.moves_with_reasons(now)
        } else {
            Vec::new()
        };
        for key in leave {
            if let Some(at) = state.job_at(key) {
                state.jobs[at].leave.notify_one();
            }
        }
        for moved in moves {
            self.leave(state, moved);
        }
        let latest = now + LOOK_EVERY;
        let engines = state.engines_after.filter(|after| *after > now);
        let looks = [state.placement.next_retry_at(now), engines];
        let look = looks.into_iter().flatten().min();
        tokio::time::Instant::from_std(look.unwrap_or(latest).min(latest))
    }

    /// Tells a run to leave its engine and counts the reason.
    fn leave(&self, state: &mut State, moved: Move) {
        let Some(at) = state.job_at(moved.key) else {
            return;
        };
        let job = &mut state.jobs[at];
        job.moved = Some(moved.reason);
        job.leave.notify_one();
        self.shared.journal.count(match moved.reason {
            MoveReason::Silent => "draft.moved_silent",
            MoveReason::Slow(_) => "draft.moved_slow",
        });
    }

    /// Takes in the engines if anything of them has changed, but not too often.
    fn take_engines(&self, state: &mut State) {
        let began = self.shared.clock.now();
        if state.engines_after.is_some_and(|after| began < after) {
            return;
        }
        let seen = FleetSeen::of(&self.shared.fleet);
        if state.seen.as_ref().is_some_and(|held| held.is_same(&seen)) {
            return;
        }
        self.take_seen(state, seen);
        let took = self.shared.clock.now().duration_since(began);
        state.engines_after = Some(began + pause_after(took, Duration::ZERO));
    }

    fn take_seen(&self, state: &mut State, seen: FleetSeen) {
        let config = Arc::clone(&seen.config);
        self.update_slack_order(state, &seen);
        state.seen = Some(seen);
        let mut engines = Vec::new();
        let mut states = Vec::new();
        for engine in rollout_engines(&self.shared.fleet).serving {
            let upstream = &engine.upstream;
            let key = state.key_of(&upstream.instance);
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
            .map(|engine| state.key_of(&engine.instance))
            .collect();
        state.leaving.sort_unstable();
        state.placement.set_engines(states);
        if state.config_version != config.version {
            state.config_version = config.version;
            self.offer_again(state);
        }
    }

    /// Routes may lead elsewhere now.
    fn offer_again(&self, state: &mut State) {
        state.placement.cancel(|_| true);
        let waiting: Vec<SampleKey> = state
            .jobs
            .iter()
            .filter(|job| !job.running)
            .map(|job| job.key)
            .collect();
        for key in waiting {
            self.offer(state, key);
        }
    }

    /// Lets an item wait for an engine, or gives it up if its route is gone.
    fn offer(&self, state: &mut State, key: SampleKey) {
        let Some(at) = state.job_at(key) else {
            return;
        };
        let submission = Arc::clone(&state.jobs[at].submission);
        let place = state.jobs[at].place;
        let config = self.shared.fleet.config();
        let route = config.route(&submission.head.host, &submission.head.path);
        let Some(target) = route.and_then(|route| route.targets.first()) else {
            // Without a configuration nothing is known of routes.
            if config.version > 0 {
                self.abandon(state, key, "route-gone");
            }
            return;
        };
        let item = &submission.items[place];
        let model = state.model_key(&target.service, &submission.head.model);
        state.placement.enqueue(SampleRequest {
            key,
            group: xxh3_64(item.group.as_bytes()),
            model,
            min_version: submission.head.min_version,
            peak_tokens: item.prompt_tokens + item.expected_tokens,
            rank: state.jobs[at].order(),
            events_done: state.jobs[at].progress.events.len() as u32,
        });
    }

    fn abandon(&self, state: &mut State, key: SampleKey, reason: &'static str) {
        let Some(at) = state.job_at(key) else {
            return;
        };
        let job = state.jobs.remove(at);
        self.count_discarded(state, &job);
        let item = &job.submission.items[job.place];
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

    fn give_up_expired(&self, state: &mut State) {
        let now = self.shared.clock.now();
        // Samples end a hundred times a second, and each wait is for seconds.
        if state.expired_after.is_some_and(|after| now < after) {
            return;
        }
        state.expired_after = Some(now + LOOK_EVERY);
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

    fn start(&self, state: &mut State, key: SampleKey, engine: UpstreamKey) {
        let now = self.shared.clock.now();
        let engine = state.engine(engine);
        let (Some(at), Some(upstream)) = (state.job_at(key), engine) else {
            state.placement.finish(now, key, RunOutcome::Cancelled);
            return;
        };
        let job = &mut state.jobs[at];
        let (submission, place) = (Arc::clone(&job.submission), job.place);
        let patience = state.placement.event_timeout(job.silences);
        let reached = Reached {
            event: job.progress.last_event,
            versions: job.progress.versions.clone(),
            made: 0,
        };
        job.leave = Arc::default();
        job.moved = None;
        let assigned = Assigned {
            upstream,
            patience,
            leave: Arc::clone(&job.leave),
        };
        let drafting = self.clone();
        job.running = true;
        job.tries += 1;
        job.first_start.get_or_insert(now);
        self.note_first_slack(job, now);
        drop(tokio::spawn(async move {
            let drafted = drafting.draft(key, submission, place, assigned, reached);
            drafted.await;
        }));
    }

    async fn draft(
        self,
        key: SampleKey,
        submission: Arc<LocalSubmission>,
        place: usize,
        assigned: Assigned,
        mut reached: Reached,
    ) {
        let Assigned {
            upstream,
            patience,
            leave,
        } = assigned;
        let started = self.shared.clock.now();
        let take_event = |event, version| self.take_event(key, event, version);
        let take_load = |load| self.take_load(&upstream.instance, load);
        let mut run = Run {
            shared: &self.shared,
            take_event: &take_event,
            take_load: &take_load,
            submission: &submission,
            item: &submission.items[place],
            upstream: &upstream,
            started: false,
            patience,
        };
        let attempt = tokio::select! {
            attempt = run.attempt(&mut reached) => attempt,
            () = leave.notified() => Attempt::Moved,
        };
        let ended = self.shared.clock.now();
        if attempt != Attempt::Whole {
            let outcome = format_args!("{attempt:?}");
            let took_ms = ended.duration_since(started).as_millis();
            let mut fields: Vec<(&str, &dyn Display)> = vec![
                ("submission", &submission.id),
                ("item", &submission.items[place].id),
                ("upstream", &upstream.instance),
                ("outcome", &outcome),
                ("events", &reached.made),
                ("took_ms", &took_ms),
            ];
            let is_moved = attempt == Attempt::Moved;
            let rest_ms = is_moved.then(|| self.rest_ms(key)).flatten();
            if let Some((here_ms, there_ms)) = &rest_ms {
                fields.push(("rest_here_ms", here_ms));
                fields.push(("rest_there_ms", there_ms));
            }
            self.shared.journal.event("draft_ended", &fields);
        }
        let ending = match attempt {
            Attempt::Whole => RunOutcome::Done,
            Attempt::NotRun | Attempt::TooOld => RunOutcome::Refused,
            Attempt::Impossible | Attempt::Failed | Attempt::VersionChanged | Attempt::Moved => {
                RunOutcome::Cancelled
            }
            Attempt::Broken(_) => RunOutcome::Failed,
        };
        let mut state = self.lock();
        state.placement.finish(ended, key, ending);
        if let Some(at) = state.job_at(key) {
            let silent = matches!(attempt, Attempt::Broken("silent" | "head-late"));
            let job = &mut state.jobs[at];
            job.running = false;
            job.silences = match (silent, reached.made) {
                (true, 0) => job.silences + 1,
                (true, _) => job.silences.max(1),
                (false, _) => 0,
            };
            self.settle(&mut state, key, at, attempt);
        }
        drop(state);
        self.inner.wake.notify_one();
    }

    /// Expected remaining time of a sample that was told to leave a slow engine, in milliseconds:
    /// on that engine, and on another one. `None` if it was not moved for speed, or if no
    /// estimate is known.
    fn rest_ms(&self, key: SampleKey) -> Option<(u64, u64)> {
        let state = self.lock();
        let job = &state.jobs[state.job_at(key)?];
        let MoveReason::Slow(rest) = job.moved? else {
            return None;
        };
        let rest = rest?;
        let ms = |seconds: f64| (seconds * 1e3) as u64;
        Some((ms(rest.current_engine_s), ms(rest.other_engine_s)))
    }

    /// Lists the item, or lets it wait for another engine.
    fn settle(&self, state: &mut State, key: SampleKey, at: usize, attempt: Attempt) {
        match attempt {
            Attempt::Whole => {
                let job = &mut state.jobs[at];
                job.progress.complete = true;
                job.drafted = Some(self.shared.clock.now());
                note_length(&mut state.lengths, job);
                self.go_on(state, key);
            }
            Attempt::Impossible => self.abandon(state, key, "impossible"),
            Attempt::Failed => {
                let job = &mut state.jobs[at];
                job.progress.failures += 1;
                let head = &job.submission.head;
                let config = self.shared.fleet.config();
                let route = config.route(&head.host, &head.path);
                let most = route.map_or(u32::MAX, |route| route.max_attempts.max(1));
                if job.progress.failures >= most {
                    self.abandon(state, key, "failed");
                } else {
                    self.offer(state, key);
                }
            }
            Attempt::VersionChanged => {
                self.count_discarded(state, &state.jobs[at]);
                state.jobs[at].progress.restart();
                self.offer(state, key);
            }
            Attempt::NotRun | Attempt::TooOld | Attempt::Broken(_) | Attempt::Moved => {
                self.offer(state, key);
            }
        }
    }

    /// Lists an item whose text is whole, and scored if that is wanted.
    fn complete(&self, state: &mut State, at: usize) {
        let job = state.jobs.remove(at);
        let item = &job.submission.items[job.place];
        let result = completed(item, &job.progress);
        let now = self.shared.clock.now();
        let since_offer = |at: Instant| at.duration_since(job.offered).as_millis();
        let waited_ms = job.first_start.map(since_offer);
        let drafted_ms = job.drafted.map(since_offer);
        let took = now.duration_since(job.offered);
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
            ("tries", &job.tries),
            ("waited_ms", &waited_ms),
            ("drafted_ms", &drafted_ms),
            ("took_ms", &took_ms),
        ];
        if let Some(slack_ms) = &job.first_slack_ms {
            fields.push(("slack_ms", slack_ms));
        }
        self.shared.journal.event("item_completed", &fields);
        job.submission.add_result(now, result);
        state.kept.insert(&item.id, job.progress);
    }

    /// Takes in the next event of a run.
    fn take_event(&self, key: SampleKey, event: StreamEvent, version: u64) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.placement.record_event(now, key);
        // No job: the submission has ended meanwhile.
        if let Some(at) = state.job_at(key) {
            state.jobs[at].progress.add_event(event, version);
        }
    }

    /// Passes the load that an engine reported to the placement.
    fn take_load(&self, engine: &Instance, load: ReportedLoad) {
        let Some(load) = self.shared.usable_load(Some(load)) else {
            return;
        };
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let key = state.key_of(engine);
        state.placement.record_load(now, key, load);
    }

    /// Texts of a submission's unfinished samples behind what was saved of them before;
    /// `saved` is sorted by item.
    #[must_use]
    pub fn unsaved_texts(&self, submission: &str, saved: &[SavedText]) -> Vec<TextPiece> {
        let state = self.lock();
        let jobs = state.jobs.iter();
        let of_submission = jobs.filter(|job| job.submission.id == submission);
        let pieces = of_submission.filter_map(|job| {
            let item = &job.submission.items[job.place].id;
            let known = saved.binary_search_by(|held| held.item.cmp(item));
            let known = known.ok().map(|at| &saved[at]);
            let after = known.map_or(0, |saved| saved.events);
            let complete = job.progress.complete;
            let (events, versions) = (&job.progress.events, &job.progress.versions);
            let longer = events.len() >= WORTH_SAVING.max(after + 1);
            let is_new = longer || (complete && known.is_none_or(|saved| !saved.complete));
            // A text that began anew does not follow from what was saved of it.
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

    /// A panic in a decision leaves the others usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}
