//! Which node becomes the home of a model.

use firweir_policy::home_selection::HomeCandidate;
use firweir_policy::home_selection::NodeKey;
use firweir_policy::home_selection::best_home;

const LARGE: f64 = 1.0;
const SMALL: f64 = 0.06;

/// Candidates on so many large and small VMs; the large ones come first.
fn fleet(large: u32, small: u32) -> Vec<HomeCandidate> {
    let candidate = |node: u32| HomeCandidate {
        node: NodeKey(node),
        hash: u64::from(node).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        capacity: if node < large { LARGE } else { SMALL },
        models: 0,
    };
    (0..large + small).map(candidate).collect()
}

/// Chooses homes for so many models, one after the other.
fn choose_homes(fleet: &mut [HomeCandidate], models: u64) -> Vec<NodeKey> {
    let mut homes = Vec::new();
    for model in 0..models {
        let (home, _) = best_home(model, fleet).expect("there are nodes");
        fleet[home.0 as usize].models += 1;
        homes.push(home);
    }
    homes
}

struct Case {
    name: &'static str,
    large: u32,
    small: u32,
    models: u64,
    /// Highest number of models on a large VM and on a small one.
    most_large: u32,
    most_small: u32,
}

/// Guards against a home on a small VM, which cannot keep up, while large VMs are idle.
#[test]
fn large_vms_are_filled_first() {
    let cases = [
        Case {
            name: "a large VM for each model",
            large: 17,
            small: 261,
            models: 8,
            most_large: 1,
            most_small: 0,
        },
        Case {
            name: "as many models on each large VM as are needed",
            large: 3,
            small: 300,
            models: 12,
            most_large: 4,
            most_small: 0,
        },
        Case {
            name: "one large VM does not get all there is",
            large: 1,
            small: 300,
            models: 30,
            most_large: 16,
            most_small: 1,
        },
        Case {
            name: "VMs of one size get one each",
            large: 0,
            small: 9,
            models: 9,
            most_large: 0,
            most_small: 1,
        },
    ];
    for case in cases {
        let mut fleet = fleet(case.large, case.small);
        choose_homes(&mut fleet, case.models);
        let (large, small) = fleet.split_at(case.large as usize);
        let most =
            |nodes: &[HomeCandidate]| nodes.iter().map(|node| node.models).max().unwrap_or(0);
        assert!(most(large) <= case.most_large, "{}: large", case.name);
        assert!(most(small) <= case.most_small, "{}: small", case.name);
    }
}

/// Guards against the same home for all models whose first steps arrive at the same time.
#[test]
fn homes_of_models_that_start_together_are_spread() {
    let fleet = fleet(50, 784);
    let mut homes: Vec<NodeKey> = (0..8)
        .filter_map(|model| best_home(model, &fleet))
        .map(|(home, _)| home)
        .collect();
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() >= 5, "8 models on {} nodes", homes.len());
    assert_eq!(best_home(1, &[]), None);
}

/// Guards against a home on a small VM because the node that was asked knows no large one:
/// several nodes are asked, and the best answer is used.
#[test]
fn the_best_home_found_by_several_nodes_is_the_best_of_all() {
    let fleet = fleet(3, 60);
    for model in 0..20 {
        let all = best_home(model, &fleet);
        // Each of three knows a third of the nodes; the large ones are known to the first.
        let (known, others) = fleet.split_at(21);
        let (second, third) = others.split_at(21);
        let found = [known, second, third].map(|part| best_home(model, part));
        let best = found.into_iter().flatten();
        let best = best.max_by(|(_, a), (_, b)| a.compare(b));
        assert_eq!(best, all, "model {model}");
    }
}
