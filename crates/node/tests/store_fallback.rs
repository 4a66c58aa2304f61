//! Tests of the way that calls of the store take on a node which the store refuses.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use firweir_node::store_fallback::CallPath;
use firweir_node::store_fallback::FallbackFailure;
use firweir_node::store_fallback::StoreFallback;

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A failure through one seed must not make calls give up another seed that works.
#[test]
fn a_failure_through_one_node_leaves_the_way_through_another() {
    let start = Instant::now();
    let fallback = StoreFallback::new(vec![node(1), node(2), node(3)]);
    let first = fallback.next_node(start).expect("a node");
    let second = fallback.next_node(after(start, 5)).expect("a node");
    assert_ne!(first, second, "two calls at once try two nodes");
    fallback.record_detour(after(start, 20), second);
    fallback.record_failure(after(start, 1_000), first, FallbackFailure::NoAnswer);
    assert_eq!(
        fallback.path(after(start, 1_100)),
        CallPath::Through(second)
    );
}

#[test]
fn one_call_tries_the_store_again() {
    let start = Instant::now();
    let fallback = StoreFallback::new(vec![node(1), node(2)]);
    let through = fallback.next_node(start).expect("a node");
    fallback.record_detour(start, through);
    assert_eq!(
        fallback.path(after(start, 2_900)),
        CallPath::Through(through)
    );
    assert_eq!(
        fallback.path(after(start, 3_100)),
        CallPath::Probe,
        "this one tries"
    );
    assert_eq!(
        fallback.path(after(start, 3_200)),
        CallPath::Through(through)
    );
    // The path is still cut: the call goes through the node that answered.
    assert_eq!(fallback.next_node(after(start, 4_100)), Some(through));
    fallback.record_detour(after(start, 4_110), through);
    assert_eq!(
        fallback.path(after(start, 6_000)),
        CallPath::Through(through)
    );
    // The path is back.
    assert_eq!(fallback.path(after(start, 7_200)), CallPath::Probe);
    fallback.record_direct_success();
    assert_eq!(fallback.path(after(start, 7_300)), CallPath::Direct);
}

struct Case {
    name: &'static str,
    failures: &'static [(u8, FallbackFailure)],
    after_ms: u64,
    tries: Option<u8>,
}

#[test]
fn which_nodes_are_tried() {
    let cases = [
        Case {
            name: "a node that does not answer is not tried for a while",
            failures: &[(2, FallbackFailure::NoAnswer)],
            after_ms: 100,
            tries: Some(3),
        },
        Case {
            name: "the store is down: after it refused one node, no other one is tried",
            failures: &[(2, FallbackFailure::StoreRefused)],
            after_ms: 100,
            tries: None,
        },
        Case {
            name: "no node answers",
            failures: &[
                (1, FallbackFailure::NoAnswer),
                (2, FallbackFailure::NoAnswer),
                (3, FallbackFailure::NoAnswer),
            ],
            after_ms: 100,
            tries: None,
        },
        Case {
            name: "all nodes are tried again later",
            failures: &[(2, FallbackFailure::StoreRefused)],
            after_ms: 1_600,
            tries: Some(2),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let fallback = StoreFallback::new(vec![node(1), node(2), node(3)]);
        for (number, failure) in case.failures {
            fallback.record_failure(start, node(*number), *failure);
        }
        let tried = fallback.next_node(after(start, case.after_ms));
        assert_eq!(tried, case.tries.map(node), "{}", case.name);
    }
}
