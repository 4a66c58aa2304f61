//! What a settings file may say.

use firweir_node::mechanisms::Mechanism;
use firweir_node::mechanisms::Off;
use firweir_node::settings::NodeSettings;
use firweir_node::settings::SettingsError;

fn load(name: &str, mechanisms_off: &str) -> Result<NodeSettings, SettingsError> {
    let text = format!(
        r#"{{"node": "vm-1", "zone": "z1", "store": "127.0.0.1:1", "leaving_ms": 2000,
        "grace_s": 8, "keep_results_s": 120, "lease_ms": 3000, "mechanisms_off": {mechanisms_off}}}"#
    );
    let file = format!("firweir-settings-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("a settings file can be written");
    let settings = NodeSettings::load(&path);
    // A file that is left behind harms nothing.
    drop(std::fs::remove_file(&path));
    settings
}

#[test]
fn mechanisms_are_switched_off_by_name() {
    let settings = load("known", r#"["moves", "two-sets"]"#).expect("both are known");
    let off = Off::of(&settings.mechanisms_off);
    assert!(!off.leaves(Mechanism::Moves));
    assert!(!off.leaves(Mechanism::TwoSets));
    assert!(off.leaves(Mechanism::Homes));
}

#[test]
fn an_unknown_mechanism_is_an_error_that_names_it() {
    let error = load("unknown", r#"["movse"]"#).expect_err("it is misspelt");
    let said = error.to_string();
    assert!(said.contains("movse") && said.contains("moves"), "{said}");
}
