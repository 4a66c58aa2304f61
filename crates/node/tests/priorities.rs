//! Tests of which services order calls by priority, and of the priority of a call.

use firweir_node::account::Accounts;
use firweir_node::account::DeclaredAccount;
use firweir_node::model::Config;
use firweir_node::model::NO_PRIORITY;
use firweir_node::model::Route;
use firweir_node::model::RouteKind;
use firweir_node::model::Target;

fn account(name: &str, priority: Option<u32>) -> DeclaredAccount {
    DeclaredAccount {
        name: name.to_owned(),
        keys: Vec::new(),
        priority,
    }
}

fn route(kind: RouteKind, service: &str, priority: u32) -> Route {
    Route {
        name: service.to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        timeout_ms: 1_000,
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        objective_ms: 0,
        due_ms: 0,
        queue_ttl_ms: 0,
        single_version: false,
        public: false,
        priority,
    }
}

fn config(accounts: Vec<DeclaredAccount>, routes: Vec<Route>) -> Config {
    Config {
        version: 1,
        routes,
        accounts: Accounts::new(accounts),
        ..Config::default()
    }
}

/// Priorities of routes must not take effect in a deployment without accounts.
#[test]
fn without_accounts_nothing_goes_by_priority() {
    let config = config(Vec::new(), vec![route(RouteKind::Idempotent, "s", 1)]);
    assert!(!config.shares_services());
    assert!(!config.has_priorities("s"));
}

/// Priorities of the routes of one service must not affect another service.
#[test]
fn priorities_count_for_the_service_of_their_route() {
    let accounts = || vec![account("kudu", None)];
    let routes = vec![
        route(RouteKind::Idempotent, "ranked", 1),
        route(RouteKind::Idempotent, "plain", NO_PRIORITY),
        route(RouteKind::Rollout, "drafts", 1),
    ];
    let config = config(accounts(), routes);
    assert!(config.shares_services());
    assert!(config.has_priorities("ranked"));
    assert!(!config.has_priorities("plain"));
    assert!(!config.has_priorities("drafts"), "no call goes there");
}

/// A route's priority must not raise or lower an account that has its own.
#[test]
fn an_accounts_priority_goes_before_its_routes() {
    let accounts = vec![
        account("oryx", Some(3)),
        account("kudu", Some(0)),
        account("none", None),
    ];
    let route = route(RouteKind::Idempotent, "s", 2);
    let config = config(accounts, vec![route.clone()]);
    assert!(config.has_priorities("s"));
    assert_eq!(config.priority_of(Some("kudu"), &route), 0);
    assert_eq!(config.priority_of(Some("oryx"), &route), 3);
    assert_eq!(config.priority_of(Some("none"), &route), 2);
    assert_eq!(config.priority_of(None, &route), 2);
}
