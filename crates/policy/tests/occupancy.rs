//! Tests the estimate of whether an upstream that many nodes share has room for one more call.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::dispatch::Decision;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::occupancy::Occupancy;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;
use firweir_policy::work::Finish;
use firweir_policy::work::Refusal;
use firweir_policy::work::ReportedLoad;
use firweir_policy::work::UpstreamKey;
use firweir_policy::work::UpstreamState;
use firweir_policy::work::Work;
use firweir_policy::work::WorkKey;

const UPSTREAM: UpstreamKey = UpstreamKey(0);
const SLOTS: u32 = 6;
const SEED: u64 = 7;
const CALL_TIME: Duration = Duration::from_millis(25);

fn state(key: UpstreamKey) -> UpstreamState {
    UpstreamState {
        key,
        address_hash: u64::from(key.0) * 7919,
        local_zone: false,
        leaving: false,
        limit: SLOTS,
    }
}

fn ended(ending: Ending, waiting: Option<u32>) -> Finish {
    Finish {
        ending,
        elapsed: CALL_TIME,
        tokens: 0,
        reported_load: waiting.map(|waiting| ReportedLoad {
            running: SLOTS,
            waiting,
            slots: SLOTS,
            time_percent: None,
        }),
    }
}

/// An occupancy whose only upstream has just refused a call.
fn refused(now: Instant, waiting: Option<u32>) -> Occupancy {
    let mut occupancy = Occupancy::new(SEED);
    occupancy.set_upstreams(&[state(UPSTREAM)]);
    occupancy.record_start(now, UPSTREAM);
    occupancy.record_end(now, UPSTREAM, &ended(Ending::Refused, waiting));
    occupancy
}

/// Guards against sending calls to an upstream that has just refused one: it refuses them too.
#[test]
fn an_upstream_that_refused_gets_no_call_until_its_queue_can_have_drained() {
    let now = Instant::now();
    let occupancy = refused(now, Some(24));
    assert!(!occupancy.has_room(now, UPSTREAM));
    assert!(!occupancy.has_room(now + CALL_TIME, UPSTREAM));
    let opens = occupancy.next_open_at(now).expect("it opens by time alone");
    assert!(occupancy.has_room(opens, UPSTREAM));
}

/// Guards against equal pauses, after which all nodes retry and are refused at the same time.
#[test]
fn pauses_differ_by_node() {
    let now = Instant::now();
    let pause = |seed| {
        let mut occupancy = Occupancy::new(seed);
        occupancy.set_upstreams(&[state(UPSTREAM)]);
        occupancy.record_start(now, UPSTREAM);
        occupancy.record_end(now, UPSTREAM, &ended(Ending::Refused, None));
        occupancy.next_open_at(now)
    };
    assert_ne!(pause(1), pause(2));
}

/// Guards against a reported load that never expires and so permanently closes an upstream
/// that has stopped reporting.
#[test]
fn a_reported_load_expires() {
    let now = Instant::now();
    let mut occupancy = Occupancy::new(SEED);
    occupancy.set_upstreams(&[state(UPSTREAM)]);
    occupancy.record_start(now, UPSTREAM);
    occupancy.record_end(now, UPSTREAM, &ended(Ending::Answered, Some(10_000)));
    assert!(!occupancy.has_room(now, UPSTREAM));
    assert!(occupancy.has_room(now + Duration::from_secs(1), UPSTREAM));
}

/// Guards against state of an earlier process being applied to its successor.
#[test]
fn nothing_is_carried_over_to_another_start() {
    let now = Instant::now();
    let mut occupancy = refused(now, Some(24));
    let restarted = UpstreamKey(1);
    occupancy.set_upstreams(&[state(restarted)]);
    assert!(occupancy.has_room(now, restarted));
    assert!(!occupancy.has_room(now, UPSTREAM));
    occupancy.set_upstreams(&[state(UPSTREAM)]);
    assert!(occupancy.has_room(now, UPSTREAM));
}

/// Guards against a limit that cannot fall below one call: sixty nodes then overload six slots.
#[test]
fn a_limit_below_one_spaces_calls_out() {
    let start = Instant::now();
    let mut now = start;
    let mut occupancy = Occupancy::new(SEED);
    occupancy.set_upstreams(&[state(UPSTREAM)]);
    for _ in 0..4 {
        occupancy.record_start(now, UPSTREAM);
        now += CALL_TIME * 4;
        occupancy.record_end(now, UPSTREAM, &ended(Ending::Refused, None));
    }
    assert!(occupancy.is_congested());
    assert!(occupancy.milli_slots() < 1_000);
    now += Duration::from_secs(10);
    occupancy.record_start(now, UPSTREAM);
    occupancy.record_end(now, UPSTREAM, &ended(Ending::Abandoned, None));
    assert!(!occupancy.has_room(now, UPSTREAM));
    let opens = occupancy.next_open_at(now).expect("it opens by time alone");
    assert!(opens > now + CALL_TIME);
}

/// Guards against a report of an implausibly long queue that closes an upstream for longer
/// than a report is valid (with the random factor on pauses).
#[test]
fn an_absurd_report_closes_an_upstream_for_a_bounded_time() {
    let now = Instant::now();
    let occupancy = refused(now, Some(4_000_000_000));
    assert!(occupancy.has_room(now + Duration::from_millis(1_500), UPSTREAM));
}

/// Guards against a panic when the figures of a report overflow their sum.
#[test]
fn the_sum_of_a_report_does_not_overflow() {
    let now = Instant::now();
    let mut occupancy = refused(now, Some(u32::MAX));
    occupancy.record_start(now, UPSTREAM);
    occupancy.record_end(now, UPSTREAM, &ended(Ending::Answered, Some(u32::MAX)));
    assert!(!occupancy.has_room(now, UPSTREAM));
}

fn work(key: u64, priority: u32, deadline: Instant) -> Work {
    Work {
        key: WorkKey(key),
        class: Class::Live,
        caller: u64::from(priority),
        prefix: key,
        cost_tokens: 1,
        priority,
        deadline,
        objective: None,
        avoid: Vec::new(),
    }
}

/// Guards against refusing a high-priority call because the queue is full of low-priority ones.
#[test]
fn a_full_queue_never_blocks_a_higher_priority() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let mut dispatcher = LaneDispatcher::new();
    dispatcher.set_upstreams(now, &[state(UPSTREAM)], &EntryDemands::SINGLE_ENTRY);
    dispatcher.set_shared(now, Some(SEED));
    for key in 0..200 {
        dispatcher.offer(now, work(key, 5, deadline));
    }
    while dispatcher.next_decision().is_some() {}
    let waiting = dispatcher.waiting();
    dispatcher.offer(now, work(200, 0, deadline));
    let shed = dispatcher.next_decision();
    let Some(Decision::Refuse { work, reason, .. }) = shed else {
        panic!("expected one call to be shed, got {shed:?}");
    };
    assert_ne!(work, WorkKey(200));
    assert_eq!(reason, Refusal::LowPriority);
    assert_eq!(dispatcher.waiting(), waiting);
}

/// Guards against holding a call that cannot end in time: its client could retry sooner.
#[test]
fn a_call_that_cannot_end_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = LaneDispatcher::new();
    dispatcher.set_upstreams(now, &[state(UPSTREAM)], &EntryDemands::SINGLE_ENTRY);
    dispatcher.set_shared(now, Some(SEED));
    dispatcher.offer(now, work(0, 0, now + Duration::from_secs(10)));
    dispatcher.finish(now, WorkKey(0), &ended(Ending::Refused, Some(24)));
    while dispatcher.next_decision().is_some() {}
    let time_to_deadline = Duration::from_millis(20);
    dispatcher.offer(now, work(1, 0, now + time_to_deadline));
    let refused = dispatcher.next_decision();
    let late = matches!(
        refused,
        Some(Decision::Refuse {
            work: WorkKey(1),
            reason: Refusal::Late,
            ..
        })
    );
    assert!(late, "not {refused:?}");
}

/// Guards against a retry delay that ends before there is room: the client is refused again.
#[test]
fn the_retry_delay_covers_the_time_until_room_opens() {
    let now = Instant::now();
    let mut dispatcher = LaneDispatcher::new();
    dispatcher.set_upstreams(now, &[state(UPSTREAM)], &EntryDemands::SINGLE_ENTRY);
    dispatcher.set_shared(now, Some(SEED));
    dispatcher.offer(now, work(0, 0, now + Duration::from_secs(10)));
    dispatcher.finish(now, WorkKey(0), &ended(Ending::Refused, Some(600)));
    while dispatcher.next_decision().is_some() {}
    let opens = dispatcher.next_wakeup(now);
    assert_eq!(opens, None, "nothing waits");
    dispatcher.offer(now, work(1, 0, now + Duration::from_millis(20)));
    let Some(Decision::Refuse { retry_after, .. }) = dispatcher.next_decision() else {
        panic!("it cannot end in time");
    };
    assert!(retry_after > Duration::from_millis(400), "{retry_after:?}");
}

/// Guards against holding a waiting call until its deadline when it can no longer end in time.
#[test]
fn a_waiting_call_is_refused_when_room_opens_too_late() {
    let now = Instant::now();
    let mut dispatcher = LaneDispatcher::new();
    dispatcher.set_upstreams(now, &[state(UPSTREAM)], &EntryDemands::SINGLE_ENTRY);
    dispatcher.set_shared(now, Some(SEED));
    for key in 0..8 {
        dispatcher.offer(now, work(key, 0, now + Duration::from_millis(300)));
    }
    while dispatcher.next_decision().is_some() {}
    assert!(dispatcher.waiting() > 0);
    dispatcher.finish(now, WorkKey(0), &ended(Ending::Refused, Some(600)));
    assert_eq!(dispatcher.waiting(), 0);
}
