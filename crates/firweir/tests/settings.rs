//! Settings and configuration folders: what is wrong is named with file and key.

use std::path::Path;

use firweir::process::settings::Settings;
use firweir::version::folder::File;
use firweir::version::folder::Head;
use serde_json::Value;
use serde_json::json;

fn good_settings() -> Value {
    json!({
        "deployment": "kalahari", "node": "north-1", "zone": "hall-north",
        "object_api": "127.0.0.1:6000", "steward_listen": "127.0.0.1:7003",
        "entry_listen": "127.0.0.1:7000", "draft_listen": "127.0.0.1:7001",
        "feed_listen": "127.0.0.1:7002"
    })
}

struct SettingsCase {
    name: &'static str,
    key: &'static str,
    value: Value,
    error: &'static str,
}

#[test]
fn wrong_settings_name_file_and_key() {
    let cases = [
        SettingsCase {
            name: "unknown key",
            key: "nod",
            value: json!("x"),
            error: "vm.json: nod: allowed is one of deployment",
        },
        SettingsCase {
            name: "a host name where an IP address belongs",
            key: "object_api",
            value: json!("platform:6000"),
            error: "vm.json: object_api: allowed is an IP address with a port",
        },
        SettingsCase {
            name: "out of range",
            key: "drain_linger_ms",
            value: json!(600_001),
            error: "vm.json: drain_linger_ms: allowed is a whole number from 0 to 600000",
        },
        SettingsCase {
            name: "empty name",
            key: "node",
            value: json!(""),
            error: "vm.json: node: allowed is a text that is not empty",
        },
    ];
    for case in cases {
        let mut settings = good_settings();
        settings[case.key] = case.value;
        let error = Settings::parse(Path::new("vm.json"), &settings.to_string())
            .expect_err(case.name)
            .to_string();
        assert!(error.starts_with(case.error), "{}: {error}", case.name);
    }
}

#[test]
fn good_settings_are_read() {
    let settings = Settings::parse(Path::new("vm.json"), &good_settings().to_string());
    assert_eq!(settings.expect("good settings").node, "north-1");
}

fn head(files: &[(&str, Value)]) -> Head {
    let file = |(name, content): &(&str, Value)| File {
        name: (*name).to_owned(),
        content: content.clone(),
    };
    Head {
        files: files.iter().map(file).collect(),
        ..Head::default()
    }
}

fn service(limit: u64) -> Value {
    json!({"services": {"cards": {
        "kind": "plain", "limit_per_upstream": limit, "default_deadline_ms": 500
    }}})
}

#[test]
fn a_later_file_overrides_an_earlier_one() {
    let later = json!({"services": {"cards": {"limit_per_upstream": 9}}});
    let merged = head(&[("10-a.json", service(5)), ("20-b.json", later)]).document();
    assert_eq!(merged["services"]["cards"]["limit_per_upstream"], 9);
    assert_eq!(merged["services"]["cards"]["kind"], "plain");
}

struct FolderCase {
    name: &'static str,
    later: Value,
    error: &'static str,
}

#[test]
fn a_wrong_folder_names_the_file_that_sets_the_key() {
    let cases = [
        FolderCase {
            name: "out of range, set by the later file",
            later: json!({"services": {"cards": {"limit_per_upstream": 0}}}),
            error: "20-b.json: services.cards.limit_per_upstream: allowed is a whole number",
        },
        FolderCase {
            name: "a required key removed by null",
            later: json!({"services": {"cards": {"kind": null}}}),
            error: "20-b.json: services.cards.kind: allowed is one of engine, plain",
        },
        FolderCase {
            name: "unknown section",
            later: json!({"service": {}}),
            error: "20-b.json: service: allowed is one of services, feeds",
        },
        FolderCase {
            name: "section of the wrong type",
            later: json!({"services": []}),
            error: "20-b.json: services: allowed is an object of objects",
        },
    ];
    for case in cases {
        let head = head(&[("10-a.json", service(5)), ("20-b.json", case.later)]);
        let error = head.check().expect_err(case.name).to_string();
        assert!(error.starts_with(case.error), "{}: {error}", case.name);
    }
}
