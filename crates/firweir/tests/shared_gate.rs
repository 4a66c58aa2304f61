//! A waiting call starts as soon as a shared upstream is expected to have capacity again,
//! without an event that triggers it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::SystemClock;
use firweir::request::gate::Ask;
use firweir::request::gate::Gate;
use firweir::request::gate::GateUpstream;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::work::Class;
use firweir_policy::work::Ending;
use firweir_policy::work::EntryDemands;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn ask() -> Ask {
    Ask {
        class: Class::Live,
        caller: 1,
        prefix: 1,
        cost_tokens: 1,
        priority: 0,
        deadline: Instant::now() + CALL_TIMEOUT,
        objective: None,
        avoid: Vec::new(),
    }
}

fn shared_gate() -> Arc<Gate> {
    let gate = Gate::new(Arc::new(SystemClock), Box::new(LaneDispatcher::new()));
    let upstream = GateUpstream {
        address: ([127, 0, 0, 1], 1).into(),
        start: 0,
        local_zone: true,
        leaving: false,
    };
    gate.set_upstreams(&[upstream], 6, &EntryDemands::SINGLE_ENTRY);
    gate.set_shared(Some(7));
    gate
}

/// Guards against a waiting call that starts only at the next tick or when another call ends.
#[tokio::test]
async fn a_waiting_call_starts_when_the_pause_after_a_refusal_ends() {
    let gate = shared_gate();
    let permit = gate
        .admit(ask())
        .await
        .expect("nothing is known against it");
    permit.finish(Ending::Refused, 0);
    let asked = Instant::now();
    gate.admit(ask()).await.expect("the pause is short");
    let waited = asked.elapsed();
    assert!(!waited.is_zero());
    assert!(waited < CALL_TIMEOUT / 2, "{waited:?}");
}

/// Guards against a stale timer: a call that waits must recompute it when another call ends
/// with a refusal.
#[tokio::test]
async fn a_call_that_waits_for_another_learns_of_its_end() {
    let gate = shared_gate();
    let permit = gate
        .admit(ask())
        .await
        .expect("nothing is known against it");
    permit.finish(Ending::Refused, 0);
    let permit = gate.admit(ask()).await.expect("the pause is short");
    let waiting = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.admit(ask()).await.map(|_| ()) }
    });
    tokio::time::sleep(Duration::from_millis(5)).await;
    permit.finish(Ending::Refused, 0);
    let waited = tokio::time::timeout(CALL_TIMEOUT / 2, waiting).await;
    let admitted = waited.expect("it does not wait for its deadline");
    admitted.expect("no panic").expect("it is let in");
}
