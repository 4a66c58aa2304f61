//! Which service of a split route gets a request or a group of items.

use firweir_node::model::Route;
use firweir_node::model::RouteKind;
use firweir_node::model::Target;
use firweir_node::split::SplitPoint;

/// Requests, and items of all steps, in each case.
const REQUESTS: usize = 2_000;
const STEPS: usize = 25;
const GROUPS: usize = 10;

/// Deviations from the stated share, in standard deviations of independent requests.
const MAX_DEVIATIONS: f64 = 4.0;

struct Case {
    name: &'static str,
    weights: &'static [u32],
}

const CASES: [Case; 9] = [
    Case {
        name: "one service",
        weights: &[1],
    },
    Case {
        name: "a quarter",
        weights: &[25, 75],
    },
    Case {
        name: "the other order",
        weights: &[75, 25],
    },
    Case {
        name: "a tenth",
        weights: &[90, 10],
    },
    Case {
        name: "all of it moved",
        weights: &[0, 100],
    },
    Case {
        name: "a weight of any size moves all",
        weights: &[0, 7],
    },
    Case {
        name: "three services, one of them without a share",
        weights: &[1, 0, 2],
    },
    Case {
        name: "the largest weights",
        weights: &[u32::MAX, u32::MAX],
    },
    Case {
        name: "one in a thousand",
        weights: &[999, 1],
    },
];

fn route(weights: &[u32]) -> Route {
    let target = |(number, weight): (usize, &u32)| Target {
        service: format!("s{number}"),
        weight: *weight,
    };
    Route {
        name: "split".to_owned(),
        host: "fleet.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        targets: weights.iter().enumerate().map(target).collect(),
        max_attempts: 1,
        objective_ms: 0,
        due_ms: 0,
        queue_ttl_ms: 0,
        single_version: false,
        public: false,
        priority: 0,
    }
}

fn group_points() -> Vec<SplitPoint> {
    let steps = (0..STEPS).map(|step| format!("step-{step}"));
    let points =
        steps.flat_map(|step| (0..GROUPS).map(move |group| SplitPoint::of_group(&step, group)));
    points.collect()
}

fn count_at(route: &Route, points: &[SplitPoint], service: &str) -> usize {
    let services = points
        .iter()
        .map(|point| route.service_at(*point, |_| true));
    services.filter(|chosen| *chosen == Some(service)).count()
}

/// Guards against a route whose services get other shares than its weights state, and against any request
/// at a service without a share.
#[test]
fn services_get_the_stated_shares() {
    let ids = (0..REQUESTS).map(|number| format!("request-{number}"));
    let requests: Vec<SplitPoint> = ids.map(|id| SplitPoint::of_request(&id)).collect();
    for case in CASES {
        let route = route(case.weights);
        for points in [&requests, &group_points()] {
            for target in &route.targets {
                let share = route.share_of(&target.service);
                let expected = points.len() as f64 * share;
                let deviation = (expected * (1.0 - share)).sqrt();
                let count = count_at(&route, points, &target.service) as f64;
                assert!(
                    (count - expected).abs() <= MAX_DEVIATIONS * deviation,
                    "{}: {} gets {count} for {expected}",
                    case.name,
                    target.service
                );
            }
        }
    }
}

/// Guards against a step all of whose groups go to one service of an even split: a trainer waits for most of
/// them.
#[test]
fn the_groups_of_each_step_are_divided_by_the_weights() {
    for weights in [[50, 50], [25, 75], [75, 25], [90, 10]] {
        let route = route(&weights);
        for points in group_points().chunks(GROUPS) {
            let count = count_at(&route, points, "s0") as f64;
            let expected = GROUPS as f64 * route.share_of("s0");
            assert!((count - expected).abs() < 2.0, "{weights:?}: {count}");
        }
    }
}

/// Guards against work that goes back to the service which it has left while a route is moved to another one
/// in several versions.
#[test]
fn a_route_that_is_moved_by_degrees_moves_each_request_once() {
    let points = group_points();
    let mut moved = vec![false; points.len()];
    for new in (0..=100).step_by(5) {
        let route = route(&[100 - new, new]);
        for (point, moved) in points.iter().zip(&mut moved) {
            let is_at_new = route.service_at(*point, |_| true) == Some("s1");
            assert!(is_at_new || !*moved, "back at {new}");
            *moved = is_at_new;
        }
    }
    assert!(moved.into_iter().all(|moved| moved));
}

/// Guards against a share that waits for a service which can't serve it while another one of the route can,
/// and against a service without a share that gets it.
#[test]
fn a_service_that_serves_nothing_leaves_its_share_to_the_others() {
    let route = route(&[25, 75, 0]);
    for point in group_points() {
        let serves = |served: &[&str]| route.service_at(point, |name| served.contains(&name));
        let own = serves(&["s0", "s1"]);
        assert_eq!(serves(&["s0"]), Some("s0"));
        assert_eq!(serves(&["s1", "s2"]), Some("s1"));
        assert_eq!(serves(&["s2"]), own, "none of the route serves");
        assert_eq!(serves(&[]), own);
    }
}

/// Guards against requests at a service to which no weight leads.
#[test]
fn a_route_without_weights_leads_nowhere() {
    for weights in [&[][..], &[0], &[0, 0]] {
        let route = route(weights);
        for point in group_points() {
            assert_eq!(route.service_at(point, |_| true), None, "{weights:?}");
        }
    }
}
