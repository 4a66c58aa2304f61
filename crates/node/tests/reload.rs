//! Reloading the settings file while a node runs.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use firweir::process::clock::RuntimeClock;
use firweir::process::log::Journal;
use firweir_node::reload::CurrentSettings;
use firweir_node::reload::SettingsReloader;
use firweir_node::settings::NodeSettings;

/// A settings file that is deleted when dropped.
struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        // A leftover file is harmless.
        drop(std::fs::remove_file(&self.0));
    }
}

impl File {
    fn new(name: &str) -> Self {
        let file = format!("firweir-reload-{}-{name}.json", std::process::id());
        Self(std::env::temp_dir().join(file))
    }

    fn write(&self, text: &str) -> &Path {
        std::fs::write(&self.0, text).expect("a settings file can be written");
        &self.0
    }
}

fn text(seed: &str, lease_ms: u64, grace_s: u64) -> String {
    format!(
        r#"{{"node": "vm-1", "zone": "z1", "store": "127.0.0.1:1", "leaving_ms": 2000,
        "grace_s": {grace_s}, "keep_results_s": 120, "lease_ms": {lease_ms},
        "seeds": ["{seed}"]}}"#
    )
}

fn started(file: &File) -> (CurrentSettings, SettingsReloader) {
    let settings = NodeSettings::load(file.write(&text("127.0.0.1:2", 3_000, 8)));
    let current_settings = CurrentSettings::new(settings.expect("the file is whole"));
    let clock = Arc::new(RuntimeClock::starting_at(Duration::from_secs(1)));
    let journal = Journal::new(clock, "vm-1", None).expect("no metrics, no port");
    (
        current_settings.clone(),
        SettingsReloader::new(current_settings, journal),
    )
}

struct Case {
    name: &'static str,
    text: String,
    /// The settings in force change.
    is_changed: bool,
    seed: &'static str,
    lease_ms: u64,
    grace_s: u64,
}

/// Guards against nodes that keep using removed seeds, or apply half of a settings file.
#[tokio::test]
async fn what_a_changed_file_puts_in_force() {
    let cases = [
        Case {
            name: "nothing new",
            text: text("127.0.0.1:2", 3_000, 8),
            is_changed: false,
            seed: "127.0.0.1:2",
            lease_ms: 3_000,
            grace_s: 8,
        },
        Case {
            name: "another seed",
            text: text("127.0.0.1:3", 3_000, 8),
            is_changed: true,
            seed: "127.0.0.1:3",
            lease_ms: 3_000,
            grace_s: 8,
        },
        Case {
            name: "half a file",
            text: text("127.0.0.1:4", 9_000, 8)[..80].to_owned(),
            is_changed: false,
            seed: "127.0.0.1:3",
            lease_ms: 3_000,
            grace_s: 8,
        },
        Case {
            name: "a key of the wrong type",
            text: text("127.0.0.1", 9_000, 8),
            is_changed: false,
            seed: "127.0.0.1:3",
            lease_ms: 3_000,
            grace_s: 8,
        },
        Case {
            name: "what needs a restart waits for it, the rest does not",
            text: text("127.0.0.1:3", 9_000, 20),
            is_changed: true,
            seed: "127.0.0.1:3",
            lease_ms: 9_000,
            grace_s: 8,
        },
    ];
    let file = File::new("cases");
    let (current_settings, mut reload) = started(&file);
    for case in cases {
        file.write(&case.text);
        assert_eq!(reload.reload_if_changed(), case.is_changed, "{}", case.name);
        assert!(!reload.reload_if_changed(), "{}: once", case.name);
        let now = current_settings.now();
        assert_eq!(now.seeds[0].to_string(), case.seed, "{}", case.name);
        assert_eq!(now.lease_ms, case.lease_ms, "{}", case.name);
        let grace = Duration::from_secs(case.grace_s);
        assert_eq!(now.grace(), grace, "{}", case.name);
    }
}

#[test]
fn keys_that_wait_for_a_restart_are_named() {
    let file = File::new("keys");
    let (current_settings, _) = started(&file);
    let new = NodeSettings::load(file.write(&text("127.0.0.1:9", 3_000, 20)));
    let changes = current_settings.apply(&new.expect("the file is whole"));
    assert_eq!(changes.applied, ["seeds"]);
    assert_eq!(changes.needs_restart, ["grace_s"]);
}
