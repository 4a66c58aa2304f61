//! Tests of authentication by the key of a call and the age of the configuration.

use std::time::Duration;

use firweir_node::account::Accounts;
use firweir_node::account::ApiKey;
use firweir_node::account::DeclaredAccount;
use firweir_node::authentication::AccessRequest;
use firweir_node::authentication::ConfigAgeLimits;
use firweir_node::authentication::ConfigWaitLimits;
use firweir_node::authentication::Denied;
use firweir_node::authentication::Purpose;
use firweir_node::authentication::authenticate;
use firweir_node::model::Config;
use firweir_policy::staleness::FleetReads;
use firweir_policy::staleness::StalenessLimits;

const APPLY: Duration = Duration::from_secs(3);
const REVOCATION: Duration = Duration::from_secs(5);

fn declared(name: &str, keys: &[&str]) -> DeclaredAccount {
    let keys = keys.iter().map(|key| ApiKey::new(key.as_bytes()));
    DeclaredAccount {
        name: name.to_owned(),
        keys: keys.collect(),
        priority: None,
    }
}

fn config(accounts: Vec<DeclaredAccount>) -> Config {
    Config {
        version: 1,
        accounts: Accounts::new(accounts),
        ..Config::default()
    }
}

fn two_accounts() -> Config {
    config(vec![
        declared("kudu", &["k1", "k2", "both"]),
        declared("oryx", &["o1", "both"]),
        declared("none left", &[]),
    ])
}

struct Case {
    name: &'static str,
    key: Option<&'static str>,
    is_public: bool,
    purpose: Purpose,
    age_ms: Option<u64>,
    expected: Result<Option<&'static str>, Denied>,
}

const PLAIN: Case = Case {
    name: "",
    key: Some("k2"),
    is_public: false,
    purpose: Purpose::Run,
    age_ms: Some(0),
    expected: Ok(Some("kudu")),
};

const CASES: [Case; 14] = [
    Case {
        name: "a known key",
        ..PLAIN
    },
    Case {
        name: "a known key, at the largest age",
        age_ms: Some(3_750),
        ..PLAIN
    },
    Case {
        name: "a known key may have been revoked meanwhile",
        age_ms: Some(3_751),
        expected: Err(Denied::StaleConfig),
        ..PLAIN
    },
    Case {
        name: "the age of the configuration is unknown",
        age_ms: None,
        expected: Err(Denied::StaleConfig),
        ..PLAIN
    },
    Case {
        name: "a trainer reads on while the store is unavailable",
        purpose: Purpose::Manage,
        age_ms: Some(60_000),
        ..PLAIN
    },
    Case {
        name: "an unknown key",
        key: Some("k3"),
        expected: Err(Denied::UnknownKey),
        ..PLAIN
    },
    Case {
        name: "an unknown key may be new",
        key: Some("k3"),
        age_ms: Some(3_001),
        expected: Err(Denied::StaleConfig),
        ..PLAIN
    },
    Case {
        name: "an unknown key, to read",
        key: Some("k3"),
        purpose: Purpose::Manage,
        expected: Err(Denied::UnknownKey),
        ..PLAIN
    },
    Case {
        name: "no key",
        key: None,
        expected: Err(Denied::NoKey),
        ..PLAIN
    },
    Case {
        name: "no key, and the route may have become public",
        key: None,
        age_ms: None,
        expected: Err(Denied::StaleConfig),
        ..PLAIN
    },
    Case {
        name: "no key where none is needed",
        key: None,
        is_public: true,
        age_ms: None,
        expected: Ok(None),
        ..PLAIN
    },
    Case {
        name: "an unknown key where none is needed",
        key: Some("k3"),
        is_public: true,
        expected: Ok(None),
        ..PLAIN
    },
    Case {
        name: "a known key where none is needed",
        is_public: true,
        ..PLAIN
    },
    Case {
        name: "a key of two accounts is unknown",
        key: Some("both"),
        expected: Err(Denied::UnknownKey),
        ..PLAIN
    },
];

#[test]
fn a_call_is_authenticated_by_key_and_age() {
    let config = two_accounts();
    let limits = ConfigAgeLimits::new(APPLY, Some(REVOCATION));
    for case in CASES {
        let key = case.key.map(|key| ApiKey::new(key.as_bytes()));
        let access = AccessRequest {
            key: key.as_ref(),
            is_public: case.is_public,
            purpose: case.purpose,
        };
        let age = case.age_ms.map(Duration::from_millis);
        let account = authenticate(&config, access, age, &limits);
        assert_eq!(account, case.expected, "{}", case.name);
    }
}

#[test]
fn without_accounts_or_a_revocation_time_the_age_does_not_count() {
    let key = ApiKey::new(b"k1");
    let access = AccessRequest {
        key: Some(&key),
        is_public: false,
        purpose: Purpose::Run,
    };
    let limits = ConfigAgeLimits::new(APPLY, Some(REVOCATION));
    let undeclared = Config::default();
    assert_eq!(authenticate(&undeclared, access, None, &limits), Ok(None));
    let limits = ConfigAgeLimits::new(APPLY, None);
    let config = two_accounts();
    assert_eq!(
        authenticate(&config, access, None, &limits),
        Ok(Some("kudu"))
    );
}

/// Guards against an empty list of accounts that lets every key in.
#[test]
fn an_empty_list_of_accounts_denies_every_key() {
    let nobody = config(Vec::new());
    let limits = ConfigAgeLimits::new(APPLY, Some(REVOCATION));
    let key = ApiKey::new(b"k1");
    for (key, denied) in [(Some(&key), Denied::UnknownKey), (None, Denied::NoKey)] {
        let access = AccessRequest {
            key,
            is_public: false,
            purpose: Purpose::Run,
        };
        let account = authenticate(&nobody, access, Some(Duration::ZERO), &limits);
        assert_eq!(account, Err(denied));
    }
}

/// A node whose polls are all answered must never refuse calls, which it would if a configuration
/// could get older between two answers than the age limits allow.
#[test]
fn a_node_whose_polls_are_answered_always_serves() {
    for apply in [APPLY / 5, APPLY, APPLY * 5] {
        for revocation in [
            None,
            Some(REVOCATION / 5),
            Some(REVOCATION),
            Some(REVOCATION * 5),
        ] {
            let limits = ConfigAgeLimits::new(apply, revocation);
            let config_waits = ConfigWaitLimits::new(apply, revocation);
            let oldest = config_waits.max_watch * 2 + config_waits.max_hold;
            assert!(limits.may_serve(Some(oldest)), "{apply:?} {revocation:?}");
            assert!(oldest < limits.max_age_to_deny, "{apply:?} {revocation:?}");
            let fleet = FleetReads {
                nodes: 0,
                reads_per_s: 1.0,
            };
            let read_at = StalenessLimits::new(config_waits.max_delay, fleet).max_age(0.0);
            let oldest = read_at + config_waits.max_watch;
            assert!(limits.may_serve(Some(oldest)), "{apply:?} {revocation:?}");
        }
    }
}

#[test]
fn a_key_is_never_shown() {
    let shown = format!("{:?}", ApiKey::new(b"secret"));
    assert!(!shown.contains("secret"), "{shown}");
    let config = config(vec![declared("kudu", &["secret"])]);
    assert!(!format!("{config:?}").contains("secret"));
}
