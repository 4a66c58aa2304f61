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
pub const LOOK_EVERY: Duration = Duration::from_secs(5);

/// The settings that are in force; cheap to clone.
#[derive(Debug, Clone)]
pub struct InForce {
    settings: Arc<ArcSwap<NodeSettings>>,
}

/// What a changed settings file came to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Keys whose new values are in force.
    pub in_force: Vec<&'static str>,
    /// Keys whose new values wait for a restart.
    pub at_restart: Vec<&'static str>,
}

impl InForce {
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
    pub fn take(&self, new: &NodeSettings) -> Changes {
        let held = self.now();
        let mut taken = NodeSettings::clone(&held);
        taken.seeds.clone_from(&new.seeds);
        taken.lease_ms = new.lease_ms;
        taken.config_apply_ms = new.config_apply_ms;
        taken.revoke_ms = new.revoke_ms;
        taken.end_applies_ms = new.end_applies_ms;
        taken.keep_results_s = new.keep_results_s;
        taken.log_level.clone_from(&new.log_level);
        let in_force = held.keys_that_differ(&taken);
        let at_restart = taken.keys_that_differ(new);
        self.settings.store(Arc::new(taken));
        Changes {
            in_force,
            at_restart,
        }
    }
}

/// Reads the settings file again and again.
#[derive(Debug)]
pub struct Reload {
    in_force: InForce,
    journal: Journal,
    /// What the file said when it was last read; errors as they were logged.
    read: Result<NodeSettings, String>,
}

impl Reload {
    /// Nothing has changed since the start.
    #[must_use]
    pub fn new(in_force: InForce, journal: Journal) -> Self {
        let read = Ok(NodeSettings::clone(&in_force.now()));
        Self {
            in_force,
            journal,
            read,
        }
    }

    /// Reads the file; tells whether anything else is in force than before.
    pub fn look(&mut self) -> bool {
        let path = self.in_force.now().path.clone();
        match NodeSettings::load(&path) {
            Ok(settings) if self.read.as_ref() == Ok(&settings) => false,
            Ok(settings) => {
                let changes = self.in_force.take(&settings);
                self.read = Ok(settings);
                self.note(&changes);
                !changes.in_force.is_empty()
            }
            Err(error) => {
                self.refuse(&error);
                false
            }
        }
    }

    fn note(&self, changes: &Changes) {
        let (in_force, at_restart) = (changes.in_force.join(","), changes.at_restart.join(","));
        self.journal.event(
            "settings_taken",
            &[("in_force", &in_force), ("at_restart", &at_restart)],
        );
        if changes.in_force.contains(&"log_level") {
            set_log_level(&self.in_force.now().log_level);
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
