//! The entries of upstreams to which a node subscribes.

use std::time::Duration;
use std::time::Instant;

use firweir_node::interest::DraftedModel;
use firweir_node::interest::Interest;
use firweir_node::interest::ModelSlice;
use firweir_node::interest::Subscription;
use firweir_node::interest::UpstreamFilter;
use firweir_node::model::Config;
use firweir_node::model::Route;
use firweir_node::model::RouteKind;
use firweir_node::model::Target;
use firweir_node::relay_message::hash_of_name;
use firweir_policy::pool::FleetSlice;

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
        objective_ms: 0,
        due_ms: 0,
        queue_ttl_ms: 0,
        single_version: false,
        public: false,
        priority: 0,
    }
}

fn config() -> Config {
    Config {
        routes: vec![
            route(RouteKind::Rollout, "drafts"),
            route(RouteKind::Idempotent, "cards"),
        ],
        ..Config::default()
    }
}

/// The subscription that calls need, plus the slices of these models.
fn filtered(slices: &[(u64, u32)]) -> Subscription {
    let slice = |(model, zeros): &(u64, u32)| ModelSlice {
        model: *model,
        slice: FleetSlice {
            leading_zeros: *zeros,
        },
    };
    Subscription::Filtered(UpstreamFilter {
        services: vec![hash_of_name("cards")],
        slices: slices.iter().map(slice).collect(),
    })
}

const MODEL: DraftedModel = DraftedModel {
    model: 7,
    engines: 40,
};

/// Guards against nodes that receive every load of every engine forever after a step: since homes
/// move, this would in the end be most nodes of a fleet.
#[test]
fn a_node_that_drafts_wants_everything_for_a_while() {
    let interest = Interest::default();
    let start = Instant::now();
    interest.set_config(&config());
    assert_eq!(
        interest.subscription(),
        filtered(&[]),
        "what its calls need"
    );
    interest.set_drafted_models(start, &[MODEL]);
    assert_eq!(interest.subscription(), Subscription::All, "at once");
    interest.set_drafted_models(start + Duration::from_secs(4), &[]);
    assert_eq!(
        interest.subscription(),
        Subscription::All,
        "until the next step"
    );
    interest.set_drafted_models(start + Duration::from_secs(30), &[]);
    assert_eq!(
        interest.subscription(),
        filtered(&[]),
        "no step comes any more"
    );
    interest.set_may_order_weights(true);
    assert_eq!(
        interest.subscription(),
        Subscription::All,
        "it orders weights"
    );
}

/// Guards against a fleet in which every node receives every version of every model.
#[tokio::test(start_paused = true)]
async fn versions_are_for_nodes_that_follow_engines() {
    let interest = Interest::default();
    interest.set_config(&config());
    interest.set_total_upstreams(10_000);
    let wait = Duration::from_secs(1);
    let followed = tokio::time::timeout(wait, interest.wait_until_engines_followed());
    assert!(followed.await.is_err(), "it only serves live calls");
    let drafts = async {
        tokio::time::sleep(wait / 2).await;
        interest.set_drafted_models(Instant::now(), &[MODEL]);
    };
    let followed = tokio::time::timeout(wait, interest.wait_until_engines_followed());
    let (followed, ()) = tokio::join!(followed, drafts);
    assert!(followed.is_ok(), "it drafts a model now");
}

struct Case {
    name: &'static str,
    /// Successive numbers of entries in the full list.
    total_upstreams: &'static [usize],
    subscription: Subscription,
}

/// Guards against a home that follows all engines of a large fleet for one model, and against one
/// that requests its engines again each time an engine is added or removed.
#[test]
fn a_home_wants_a_part_of_a_large_fleet() {
    let cases = [
        Case {
            name: "a small fleet, whole",
            total_upstreams: &[600],
            subscription: Subscription::All,
        },
        Case {
            name: "a fleet",
            total_upstreams: &[10_000],
            subscription: filtered(&[(7, 4)]),
        },
        Case {
            name: "twice the fleet",
            total_upstreams: &[20_000],
            subscription: filtered(&[(7, 5)]),
        },
        Case {
            name: "a few engines less than the narrower slice needs",
            total_upstreams: &[10_300, 10_200],
            subscription: filtered(&[(7, 5)]),
        },
        Case {
            name: "a quarter of the fleet is left",
            total_upstreams: &[10_300, 2_600],
            subscription: filtered(&[(7, 3)]),
        },
        Case {
            name: "hardly any is left",
            total_upstreams: &[10_000, 300],
            subscription: Subscription::All,
        },
    ];
    for case in cases {
        let interest = Interest::default();
        interest.set_config(&config());
        interest.set_total_upstreams(case.total_upstreams[0]);
        interest.set_drafted_models(Instant::now(), &[MODEL]);
        for total_upstreams in case.total_upstreams {
            interest.set_total_upstreams(*total_upstreams);
        }
        assert_eq!(interest.subscription(), case.subscription, "{}", case.name);
        let models = interest.models();
        let sees_all = case.subscription == Subscription::All;
        assert_eq!(models.is_none(), sees_all, "{}: its models", case.name);
    }
}
