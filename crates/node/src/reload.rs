//! Settings that change while a node runs.
//!
//! **Failure:** an operator changes the settings file, with a SIGHUP or without, and a node
//! goes on with seeds that are gone until somebody restarts it; or it takes in half of a
//! file that is still being written. **Why this holds:** the file is read again on the
//! signal and every few seconds, and taken in whole or not at all. What cannot change
//! without a restart is named in the log, once.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use firweir::process::log::Journal;
use firweir::process::log::set_log_level;

use crate::settings::NodeSettings;
use crate::settings::SettingsError;

/// Time between two looks at the file where nothing signals a change: an operator's
/// tooling that sends no signal is heard within some seconds, and a look costs a read.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The settings that are in force; cheap to clone.
#[derive(Debug, Clone)]
pub struct CurrentSettings {
    settings: Arc<ArcSwap<NodeSettings>>,
}

/// What a changed settings file came to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SettingsChanges {
    /// Keys whose new values are in force.
    pub applied: Vec<&'static str>,
    /// Keys whose new values wait for a restart.
    pub needs_restart: Vec<&'static str>,
}

impl CurrentSettings {
    /// The settings of the start.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            settings: Arc::new(ArcSwap::from_pointee(settings)),
        }
    }

    /// The settings now.
    #[must_use]
    pub fn now(&self) -> Arc<NodeSettings> {
        self.settings.load_full()
    }

    /// Takes in what may change in force.
    #[must_use]
    pub fn apply(&self, new: &NodeSettings) -> SettingsChanges {
        let held = self.now();
        let mut taken = NodeSettings::clone(&held);
        taken.seeds.clone_from(&new.seeds);
        taken.lease_ms = new.lease_ms;
        taken.config_apply_ms = new.config_apply_ms;
        taken.revoke_ms = new.revoke_ms;
        taken.end_applies_ms = new.end_applies_ms;
        taken.keep_results_s = new.keep_results_s;
        taken.log_level.clone_from(&new.log_level);
        let applied = held.keys_that_differ(&taken);
        let needs_restart = taken.keys_that_differ(new);
        self.settings.store(Arc::new(taken));
        SettingsChanges {
            applied,
            needs_restart,
        }
    }
}

/// Reads the settings file again and again.
#[derive(Debug)]
pub struct SettingsReloader {
    current_settings: CurrentSettings,
    journal: Journal,
    /// What the file said when it was last read; errors as they were logged.
    read: Result<NodeSettings, String>,
}

impl SettingsReloader {
    /// Nothing has changed since the start.
    #[must_use]
    pub fn new(current_settings: CurrentSettings, journal: Journal) -> Self {
        let read = Ok(NodeSettings::clone(&current_settings.now()));
        Self {
            current_settings,
            journal,
            read,
        }
    }

    /// Reads the file; tells whether anything else is in force than before.
    pub fn reload_if_changed(&mut self) -> bool {
        let path = self.current_settings.now().path.clone();
        match NodeSettings::load(&path) {
            Ok(settings) if self.read.as_ref() == Ok(&settings) => false,
            Ok(settings) => {
                let changes = self.current_settings.apply(&settings);
                self.read = Ok(settings);
                self.note(&changes);
                !changes.applied.is_empty()
            }
            Err(error) => {
                self.refuse(&error);
                false
            }
        }
    }

    fn note(&self, changes: &SettingsChanges) {
        let (applied, needs_restart) = (changes.applied.join(","), changes.needs_restart.join(","));
        self.journal.event(
            "settings_taken",
            &[("in_force", &applied), ("at_restart", &needs_restart)],
        );
        if changes.applied.contains(&"log_level") {
            set_log_level(&self.current_settings.now().log_level);
        }
    }

    /// A file that stays malformed is logged once.
    fn refuse(&mut self, error: &SettingsError) {
        let said = error.to_string();
        if self.read.as_ref().err() != Some(&said) {
            self.journal.event("settings_refused", &[("cause", &said)]);
            self.read = Err(said);
        }
    }
}
