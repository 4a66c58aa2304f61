//! The nodes that a seed knows, and the homes that it offers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use firweir_node::roster::HomeAssignment;
use firweir_node::roster::HomeQuestion;
use firweir_node::roster::LocalMember;
use firweir_node::roster::Member;
use firweir_node::roster::Roster;
use firweir_node::submission::records::NodeRef;

fn address(node: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], node))
}

fn member(node: u16, capacity: f64) -> Member {
    Member {
        runner: NodeRef {
            node: format!("vm-{node}"),
            address: address(node),
        },
        capacity,
        takes_steps: true,
    }
}

fn question(model: &str, excluded: Option<u16>) -> HomeQuestion {
    HomeQuestion {
        model: model.to_owned(),
        excluded: excluded.map(address),
    }
}

struct Case {
    name: &'static str,
    members: Vec<Member>,
    /// Node that is already the home of another model.
    assigned: Option<u16>,
    /// Node that must not be offered.
    excluded: Option<u16>,
    /// Time since the members last announced themselves.
    silent_ms: u64,
    home: Option<u16>,
}

/// Guards against homes on nodes that drain, are starting, are down or already carry other models.
#[test]
fn which_home_is_offered() {
    let case = |name, members, home| Case {
        name,
        members,
        assigned: None,
        excluded: None,
        silent_ms: 0,
        home,
    };
    let both = || vec![member(1, 1.0), member(2, 0.5)];
    let draining = Member {
        takes_steps: false,
        ..member(1, 1.0)
    };
    let cases = [
        case("the largest", both(), Some(1)),
        case("nobody is known", Vec::new(), None),
        case(
            "one that drains, or has no configuration yet",
            vec![draining, member(2, 0.5)],
            Some(2),
        ),
        Case {
            excluded: Some(1),
            ..case("the one that does not answer", both(), Some(2))
        },
        Case {
            assigned: Some(1),
            ..case(
                "half of the large VM is less than the whole small one",
                both(),
                Some(2),
            )
            .with_capacity_of_second(0.6)
        },
        Case {
            silent_ms: 4_000,
            ..case("they have not polled for a long time", both(), None)
        },
    ];
    for case in cases {
        let roster = Roster::default();
        let start = Instant::now();
        for member in case.members {
            roster.record_member(start, member);
        }
        let assigned: Vec<HomeAssignment> = case
            .assigned
            .map(|node| HomeAssignment {
                model: "other".to_owned(),
                address: address(node),
            })
            .into_iter()
            .collect();
        let now = start + Duration::from_millis(case.silent_ms);
        let home = roster.home_for(now, &question("m", case.excluded), &assigned);
        let home = home.map(|offer| offer.home.address);
        assert_eq!(home, case.home.map(address), "{}", case.name);
    }
}

impl Case {
    fn with_capacity_of_second(mut self, capacity: f64) -> Self {
        self.members[1].capacity = capacity;
        self
    }
}

/// Guards against two homes of one model, when its first step is submitted again through another
/// node before the home appears in the list of duties.
#[test]
fn a_model_gets_the_same_home_again() {
    let roster = Roster::default();
    let now = Instant::now();
    for node in 1..=20 {
        roster.record_member(now, member(node, 1.0));
    }
    let first = roster.home_for(now, &question("m", None), &[]);
    for model in ["a", "b", "c"] {
        let other = roster.home_for(now, &question(model, None), &[]);
        assert_ne!(other, first, "models that start together are spread");
    }
    let again = roster.home_for(now, &question("m", None), &[]);
    assert_eq!(again, first);
}

/// Guards against homes that alternate between VMs that fail together.
#[test]
fn a_node_that_did_not_answer_is_offered_again_once_it_polls() {
    let roster = Roster::default();
    let now = Instant::now();
    let both = [member(1, 1.0), member(2, 0.9), member(3, 0.1)];
    for member in both {
        roster.record_member(now, member);
    }
    let offered_port = |excluded| {
        let home = roster.home_for(now, &question("m", excluded), &[]);
        home.map(|offer| offer.home.address.port())
    };
    assert_eq!(offered_port(Some(1)), Some(2));
    assert_eq!(offered_port(Some(2)), Some(3), "not the first one again");
    roster.record_member(now, member(1, 1.0));
    assert_eq!(offered_port(Some(3)), Some(1), "it is back");
}

/// Guards against announcements that grow with the size of the fleet.
#[test]
fn announcements_are_small() {
    let runner = member(1, 1.0).runner;
    let local_member = LocalMember::new(Some(runner), 0.06);
    let header = local_member
        .header()
        .expect("it accepts requests of other nodes");
    assert!(header.len() < 200, "{} bytes", header.len());
    let announced: Member = serde_json::from_slice(header.as_bytes()).expect("JSON");
    assert!(!announced.takes_steps, "it knows no configuration yet");
    local_member.set_takes_steps(true);
    let header = local_member.header().expect("as before");
    let announced: Member = serde_json::from_slice(header.as_bytes()).expect("JSON");
    assert!(announced.takes_steps);
}
