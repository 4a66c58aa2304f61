//! What a node wants to know of upstreams.

use std::time::Duration;
use std::time::Instant;

use firweir_node::interest::Interest;
use firweir_node::interest::Wanted;
use firweir_node::model::Config;
use firweir_node::model::Route;
use firweir_node::model::RouteKind;
use firweir_node::model::Target;
use firweir_node::relay::hash_of_service;

fn route(kind: RouteKind, service: &str) -> Route {
    Route {
        name: service.to_owned(),
        host: "fleet.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        timeout_ms: 1_000,
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        due_ms: 0,
        queue_ttl_ms: 0,
        single_version: false,
        public: false,
    }
}

/// A node that had drafted a step a minute before still took in every load of every engine;
/// with homes that move, most nodes of a fleet did in the end.
#[test]
fn a_node_that_drafts_wants_everything_for_a_while() {
    let interest = Interest::default();
    let start = Instant::now();
    let config = Config {
        routes: vec![
            route(RouteKind::Rollout, "drafts"),
            route(RouteKind::Idempotent, "cards"),
        ],
        ..Config::default()
    };
    interest.take_config(&config);
    let calls = Wanted::Services(vec![hash_of_service("cards")]);
    assert_eq!(interest.wanted(), calls, "what its calls need");
    interest.take_drafting(start, true);
    assert_eq!(interest.wanted(), Wanted::All, "at once");
    interest.take_drafting(start + Duration::from_secs(4), false);
    assert_eq!(interest.wanted(), Wanted::All, "until the next step");
    interest.take_drafting(start + Duration::from_secs(30), false);
    assert_eq!(interest.wanted(), calls, "no step comes any more");
    interest.take_orders(start + Duration::from_secs(31), true);
    assert_eq!(interest.wanted(), Wanted::All, "it orders weights");
}
