//! Moves of single samples between engines of known speed.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::placement::EngineState;
use firweir_policy::placement::ModelKey;
use firweir_policy::placement::Placement;
use firweir_policy::placement::RunOutcome;
use firweir_policy::placement::SampleKey;
use firweir_policy::placement::SampleRequest;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;

const MODEL: ModelKey = ModelKey(0);
const SLOW: u32 = 0;
const FAST: u32 = 1;
/// Slow, and does not report its speed.
const SLOW_UNREPORTED: u32 = 2;
const SLOW_EVENT: Duration = Duration::from_millis(200);
const FAST_EVENT: Duration = Duration::from_millis(50);

struct Pool {
    placement: Placement,
    now: Instant,
    last_key: u64,
}

impl Pool {
    /// Engines that have each completed one sample of `events` events.
    fn warmed_up(events: u32) -> Self {
        let mut pool = Self {
            placement: Placement::default(),
            now: Instant::now(),
            last_key: 0,
        };
        pool.open(&[SLOW, FAST, SLOW_UNREPORTED]);
        pool.report(SLOW, 100);
        pool.report(FAST, 100);
        for (engine, event) in [
            (SLOW, SLOW_EVENT),
            (FAST, FAST_EVENT),
            (SLOW_UNREPORTED, SLOW_EVENT),
        ] {
            let key = pool.next_key();
            pool.start(key, engine, 0);
            pool.run(key, events, event);
            pool.placement.finish(pool.now, key, RunOutcome::Done);
        }
        pool
    }

    fn next_key(&mut self) -> SampleKey {
        self.last_key += 1;
        SampleKey(self.last_key)
    }

    /// Gives slots to these engines only.
    fn open(&mut self, open: &[u32]) {
        let engine = |key| EngineState {
            key: UpstreamKey(key),
            slots: if open.contains(&key) { 8 } else { 0 },
            memory_tokens: 40_000,
            model: Some(MODEL),
            versions: vec![(MODEL, 1)],
        };
        self.placement.set_engines((0..3).map(engine).collect());
    }

    fn report(&mut self, engine: u32, percent: u32) {
        let load = ReportedLoad {
            running: 1,
            waiting: 0,
            slots: 8,
            time_percent: Some(percent),
        };
        self.placement
            .record_load(self.now, UpstreamKey(engine), load);
    }

    fn offer(&mut self, key: SampleKey, events_done: u32) {
        self.placement.enqueue(SampleRequest {
            key,
            group: key.0,
            model: MODEL,
            min_version: 1,
            peak_tokens: 200,
            rank: 0,
            events_done,
        });
    }

    fn start(&mut self, key: SampleKey, engine: u32, events_done: u32) {
        self.open(&[engine]);
        self.offer(key, events_done);
        let started = self.placement.next(self.now);
        assert_eq!(started, Some((key, UpstreamKey(engine))));
        self.open(&[SLOW, FAST, SLOW_UNREPORTED]);
    }

    fn run(&mut self, key: SampleKey, events: u32, event: Duration) {
        for _ in 0..events {
            self.now += event;
            self.placement.record_event(self.now, key);
        }
    }

    /// Starts a sample on the slow engine, moves it to `engine` and runs it there.
    fn move_to(&mut self, engine: u32) -> SampleKey {
        let key = self.next_key();
        self.start(key, SLOW, 0);
        self.run(key, 2, SLOW_EVENT);
        assert_eq!(self.placement.moves(self.now), [key]);
        self.placement.finish(self.now, key, RunOutcome::Cancelled);
        self.start(key, engine, 2);
        self.run(key, 20, SLOW_EVENT);
        key
    }
}

/// Guards against a sample that is moved for speed repeatedly.
#[test]
fn a_sample_is_moved_for_speed_once() {
    let mut pool = Pool::warmed_up(60);
    pool.move_to(SLOW);
    assert_eq!(pool.placement.moves(pool.now), []);
}

/// Guards against a second move from an engine that does not report its speed.
#[test]
fn a_moved_sample_stays_on_an_engine_without_reports() {
    let mut pool = Pool::warmed_up(60);
    pool.move_to(SLOW_UNREPORTED);
    assert_eq!(pool.placement.moves(pool.now), []);
}

/// Guards against forgetting the length of a sample when it moves to another engine.
#[test]
fn events_of_earlier_runs_count() {
    for (events_done, is_moved) in [(0, false), (40, true)] {
        let mut pool = Pool::warmed_up(4);
        let key = pool.next_key();
        pool.start(key, SLOW, events_done);
        pool.run(key, 2, SLOW_EVENT);
        assert_eq!(!pool.placement.moves(pool.now).is_empty(), is_moved);
    }
}

/// Guards against avoiding an engine for an outdated expected delay.
#[test]
fn a_delay_ends_when_the_median_event_time_becomes_unknown() {
    let engine = |key| EngineState {
        key: UpstreamKey(key),
        slots: 8,
        memory_tokens: 40_000,
        model: Some(MODEL),
        versions: vec![(MODEL, 1)],
    };
    let mut pool = Pool {
        placement: Placement::default(),
        now: Instant::now(),
        last_key: 0,
    };
    pool.placement.set_engines(vec![engine(0), engine(1)]);
    let key = pool.next_key();
    pool.offer(key, 0);
    let started = pool.placement.next(pool.now);
    assert_eq!(started, Some((key, UpstreamKey(0))));
    pool.run(key, 4, FAST_EVENT);
    pool.report(1, 250);
    pool.placement.finish(pool.now, key, RunOutcome::Done);
    pool.placement.set_engines(vec![engine(1), engine(2)]);
    pool.now += Duration::from_secs(5);
    let key = pool.next_key();
    pool.offer(key, 0);
    let started = pool.placement.next(pool.now);
    assert_eq!(started, Some((key, UpstreamKey(1))));
}
