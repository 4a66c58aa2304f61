//! Only one follower probes an unavailable store.

use std::time::Duration;

use firweir_node::dialect::ObjectKind;
use firweir_node::dialect::StoreError;
use firweir_node::outage::Outage;
use http::StatusCode;
use tokio::time::Instant;

const KINDS: [ObjectKind; 4] = [
    ObjectKind::Configuration,
    ObjectKind::Upstreams,
    ObjectKind::WeightVersions,
    ObjectKind::Duties,
];

/// The store refuses a node's calls for 5 s. Without the guard, each of the node's four followers
/// retried every 600 ms, and 73 nodes made 1,300 calls that were all refused and all charged.
#[tokio::test(start_paused = true)]
async fn one_follower_probes_an_unavailable_store() {
    let outage = Outage::default();
    let started = Instant::now();
    let followers = KINDS.map(|kind| {
        let outage = outage.clone();
        tokio::spawn(async move {
            let mut calls = 0;
            loop {
                outage.wait_while_probed(kind).await;
                if started.elapsed() >= Duration::from_secs(5) {
                    outage.record_answer();
                    return (calls, started.elapsed());
                }
                calls += 1;
                outage.record_failure(kind, &StoreError::Refused(StatusCode::SERVICE_UNAVAILABLE));
                tokio::time::sleep(Duration::from_millis(600)).await;
            }
        })
    });
    let mut calls = 0;
    for follower in followers {
        let (own, back) = follower.await.expect("ends");
        calls += own;
        assert!(back < Duration::from_secs(7), "back after {back:?}");
    }
    assert!(
        calls <= 20,
        "{calls} calls, 36 if each follower retries on its own"
    );
}

struct Case {
    name: &'static str,
    error: StoreError,
    is_on: bool,
}

#[test]
fn errors_that_indicate_an_outage() {
    let cases = [
        Case {
            name: "refused",
            error: StoreError::Refused(StatusCode::TOO_MANY_REQUESTS),
            is_on: true,
        },
        Case {
            name: "no connection",
            error: StoreError::Unreachable,
            is_on: true,
        },
        Case {
            name: "this watch's history is gone",
            error: StoreError::HistoryGone,
            is_on: false,
        },
        Case {
            name: "one answer was lost",
            error: StoreError::Unknown,
            is_on: false,
        },
    ];
    for case in cases {
        let outage = Outage::default();
        outage.record_failure(ObjectKind::Upstreams, &case.error);
        assert_eq!(outage.is_ongoing(), case.is_on, "{}", case.name);
        outage.record_answer();
        assert!(!outage.is_ongoing(), "{}", case.name);
    }
}
