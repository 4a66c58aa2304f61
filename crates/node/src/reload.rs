//! Reloads the settings file while a node runs.
//!
//! Without reloading, a node would keep using removed seeds until it is restarted. The file is
//! read again on SIGHUP and every few seconds, since operators may change it without a signal. It
//! is applied completely or not at all, so that a file that is still being written has no effect.
//! Changes that need a restart are logged once.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use firweir::process::log::Journal;
use firweir::process::log::set_log_level;

use crate::settings::NodeSettings;
use crate::settings::SettingsError;

/// Interval at which the file is read without a signal: a change takes effect within seconds even
/// if the operator's tooling sends none, and each check costs one read.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The settings in force; cheap to clone.
#[derive(Debug, Clone)]
pub struct CurrentSettings {
    settings: Arc<ArcSwap<NodeSettings>>,
}

/// Result of applying a changed settings file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SettingsChanges {
    /// Keys whose new values are in force.
    pub applied: Vec<&'static str>,
    /// Keys whose new values need a restart.
    pub needs_restart: Vec<&'static str>,
}

impl CurrentSettings {
    /// Starts with the settings at the start of the process.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            settings: Arc::new(ArcSwap::from_pointee(settings)),
        }
    }

    /// The current settings.
    #[must_use]
    pub fn now(&self) -> Arc<NodeSettings> {
        self.settings.load_full()
    }

    /// Applies the settings that can change without a restart.
    #[must_use]
    pub fn apply(&self, new: &NodeSettings) -> SettingsChanges {
        let previous = self.now();
        let mut applied_settings = NodeSettings::clone(&previous);
        applied_settings.seeds.clone_from(&new.seeds);
        applied_settings.lease_ms = new.lease_ms;
        applied_settings.config_apply_ms = new.config_apply_ms;
        applied_settings.contact_ms = new.contact_ms;
        applied_settings.revoke_ms = new.revoke_ms;
        applied_settings.end_applies_ms = new.end_applies_ms;
        applied_settings.keep_results_s = new.keep_results_s;
        applied_settings.log_level.clone_from(&new.log_level);
        let applied = previous.keys_that_differ(&applied_settings);
        let needs_restart = applied_settings.keys_that_differ(new);
        self.settings.store(Arc::new(applied_settings));
        SettingsChanges {
            applied,
            needs_restart,
        }
    }
}

/// Reloads the settings file when it has changed.
#[derive(Debug)]
pub struct SettingsReloader {
    current_settings: CurrentSettings,
    journal: Journal,
    /// Result of the last read of the file; errors as they were logged.
    last_read: Result<NodeSettings, String>,
}

impl SettingsReloader {
    /// Assumes that the file has not changed since `current_settings` was loaded.
    #[must_use]
    pub fn new(current_settings: CurrentSettings, journal: Journal) -> Self {
        let last_read = Ok(NodeSettings::clone(&current_settings.now()));
        Self {
            current_settings,
            journal,
            last_read,
        }
    }

    /// Reads the file and applies changes. Returns whether the settings in force changed.
    pub fn reload_if_changed(&mut self) -> bool {
        let path = self.current_settings.now().path.clone();
        match NodeSettings::load(&path) {
            Ok(settings) if self.last_read.as_ref() == Ok(&settings) => false,
            Ok(settings) => {
                let changes = self.current_settings.apply(&settings);
                self.last_read = Ok(settings);
                self.log_changes(&changes);
                !changes.applied.is_empty()
            }
            Err(error) => {
                self.log_refused(&error);
                false
            }
        }
    }

    fn log_changes(&self, changes: &SettingsChanges) {
        let (applied, needs_restart) = (changes.applied.join(","), changes.needs_restart.join(","));
        self.journal.event(
            "settings_taken",
            &[("in_force", &applied), ("at_restart", &needs_restart)],
        );
        if changes.applied.contains(&"log_level") {
            set_log_level(&self.current_settings.now().log_level);
        }
    }

    /// Logs an invalid file; the same error is logged once.
    fn log_refused(&mut self, error: &SettingsError) {
        let message = error.to_string();
        if self.last_read.as_ref().err() != Some(&message) {
            self.journal
                .event("settings_refused", &[("cause", &message)]);
            self.last_read = Err(message);
        }
    }
}
