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
