//! Tests of loading a settings file.

use firweir_node::mechanisms::EnabledMechanisms;
use firweir_node::mechanisms::Mechanism;
use firweir_node::settings::NodeSettings;
use firweir_node::settings::SettingsError;

fn load(name: &str, mechanisms_off: &str) -> Result<NodeSettings, SettingsError> {
    load_with(name, &format!(r#""mechanisms_off": {mechanisms_off}"#))
}

fn load_with(name: &str, more: &str) -> Result<NodeSettings, SettingsError> {
    let text = format!(
        r#"{{"node": "vm-1", "zone": "z1", "store": "127.0.0.1:1", "leaving_ms": 2000,
        "grace_s": 8, "keep_results_s": 120, "lease_ms": 3000, {more}}}"#
    );
    let file = format!("firweir-settings-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("a settings file can be written");
    let settings = NodeSettings::load(&path);
    // A file that is not removed does no harm.
    drop(std::fs::remove_file(&path));
    settings
}

#[test]
fn mechanisms_are_switched_off_by_name() {
    let settings = load("known", r#"["moves", "two-sets"]"#).expect("both are known");
    let mechanisms = EnabledMechanisms::all_except(&settings.mechanisms_off);
    assert!(!mechanisms.is_enabled(Mechanism::Moves));
    assert!(!mechanisms.is_enabled(Mechanism::TwoSets));
    assert!(mechanisms.is_enabled(Mechanism::Homes));
}

#[test]
fn an_unknown_mechanism_is_an_error_that_names_it() {
    let error = load("unknown", r#"["movse"]"#).expect_err("it is misspelt");
    let message = error.to_string();
    assert!(
        message.contains("movse") && message.contains("moves"),
        "{message}"
    );
}

/// Nodes must not order upstreams if the platform does not leave that duty to them.
#[test]
fn upstreams_are_ordered_only_where_the_duty_is_left_to_nodes() {
    let scaling = |name, duties| {
        let orders = r#""scaling": {"order_at": "127.0.0.1:2", "calls_per_s": 50"#;
        let settings = load_with(name, &format!("{orders}{duties}}}"));
        settings.expect("no key is missing").scaling().is_some()
    };
    assert!(scaling(
        "left",
        r#", "duties": ["usage_report", "autoscale"]"#
    ));
    assert!(scaling("unsaid", ""));
    assert!(!scaling("kept", r#", "duties": ["usage_report"]"#));
}

/// A rate of 0 would stop all orders without an error.
#[test]
fn a_rate_of_orders_that_is_not_above_zero_is_an_error() {
    let scaling = r#""scaling": {"order_at": "127.0.0.1:2", "calls_per_s": 0}"#;
    let error = load_with("rate", scaling).expect_err("nothing could be ordered");
    assert!(error.to_string().contains("calls_per_s"), "{error}");
}

/// With a rate near 0 the delay between two orders overflows, and the node panics.
#[test]
fn a_rate_of_orders_that_is_too_small_is_an_error() {
    let load = |name, rate: &str| {
        let scaling = format!(r#""scaling": {{"order_at": "127.0.0.1:2", "calls_per_s": {rate}}}"#);
        load_with(name, &scaling)
    };
    for (name, rate) in [("tiny", "1e-20"), ("below", "0.09")] {
        let error = load(name, rate).expect_err("orders would wait too long");
        assert!(matches!(error, SettingsError::Malformed(..)), "{error}");
    }
    load("least", "0.1").expect("it is large enough");
}

/// What clients may hold on a VM by default.
struct DefaultLimits {
    memory_mb: f64,
    max_fds: usize,
    request_memory_bytes: usize,
    client_connections: usize,
    active_clients: usize,
    peer_connections: usize,
}

const DEFAULT_LIMITS: [DefaultLimits; 4] = [
    DefaultLimits {
        memory_mb: 88.0,
        max_fds: 4_100,
        request_memory_bytes: 44_000_000,
        client_connections: 1_170,
        active_clients: 223,
        peer_connections: 1_950,
    },
    DefaultLimits {
        memory_mb: 110.0,
        max_fds: 4_100,
        request_memory_bytes: 55_000_000,
        client_connections: 1_170,
        active_clients: 279,
        peer_connections: 1_950,
    },
    DefaultLimits {
        memory_mb: 1_024.0,
        max_fds: 4_100,
        request_memory_bytes: 512_000_000,
        client_connections: 1_170,
        active_clients: 2_604,
        peer_connections: 1_950,
    },
    DefaultLimits {
        memory_mb: 1_024.0,
        max_fds: 400,
        request_memory_bytes: 512_000_000,
        client_connections: 60,
        active_clients: 2_604,
        peer_connections: 100,
    },
];

#[test]
fn what_clients_may_hold_follows_from_the_vm() {
    for limits in DEFAULT_LIMITS {
        let (memory_mb, max_fds) = (limits.memory_mb, limits.max_fds);
        let vm = format!(
            r#""vm": {{"cores": 1, "core_share": 1, "memory_mb": {memory_mb}, "link_mbps": 1000,
            "max_fds": {max_fds}}}"#
        );
        let settings = load_with("limits", &vm).expect("no key is missing");
        let name = format!("{memory_mb} MB, {max_fds} descriptors");
        assert_eq!(
            settings.request_memory_bytes(),
            limits.request_memory_bytes,
            "{name}"
        );
        assert_eq!(
            settings.max_client_connections(),
            limits.client_connections,
            "{name}"
        );
        assert_eq!(
            settings.max_active_clients(),
            limits.active_clients,
            "{name}"
        );
        assert_eq!(
            settings.max_peer_connections(),
            limits.peer_connections,
            "{name}"
        );
    }
    let set = r#""request_memory_mb": 1, "max_client_connections": 5"#;
    let settings = load_with("limits-set", set).expect("no key is missing");
    assert_eq!(settings.request_memory_bytes(), 1_000_000);
    assert_eq!(settings.max_client_connections(), 5);
}
