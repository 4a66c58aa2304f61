//! Limits on the tries of one call.

use firweir_policy::tries::Tries;
use firweir_policy::work::UpstreamKey;

const FIRST: UpstreamKey = UpstreamKey(0);
const SECOND: UpstreamKey = UpstreamKey(1);
const THIRD: UpstreamKey = UpstreamKey(2);

/// Guards against one upstream that refuses a call twice using up both upstreams of its route.
#[test]
fn an_upstream_that_refuses_twice_counts_once() {
    let mut tries = Tries::new(2, true);
    tries.record_sent(FIRST, true);
    tries.record_sent(FIRST, true);
    assert!(tries.has_tries_left());
    assert!(tries.may_send_to(SECOND));
    tries.record_sent(SECOND, true);
    assert!(!tries.may_send_to(THIRD));
    assert!(tries.may_send_to(FIRST));
}

/// Guards against a call that is refused repeatedly being held until its deadline.
#[test]
fn refusals_are_bounded() {
    let mut tries = Tries::new(2, true);
    let sent = (0..100).take_while(|_| {
        let is_left = tries.has_tries_left();
        tries.record_sent(FIRST, true);
        is_left
    });
    assert_eq!(sent.count(), 6);
}

/// Guards against uncounted refusals if upstreams are not shared: each one counts as a try.
#[test]
fn without_sharing_each_refusal_counts() {
    let mut tries = Tries::new(2, false);
    tries.record_sent(FIRST, true);
    assert!(tries.is_last());
    tries.record_sent(SECOND, true);
    assert!(!tries.has_tries_left());
}
