//! Command line of the programs that run on every VM.

use std::path::PathBuf;

use argh::FromArgs;

use crate::process::settings::Overrides;
use crate::process::settings::Settings;
use crate::process::settings::SettingsError;

/// Runs one of a VM's programs until SIGTERM has drained it.
#[derive(Debug, FromArgs)]
pub struct VmFlags {
    /// settings file of the VM (JSON)
    #[argh(option)]
    settings: PathBuf,
    /// name of the VM, over the settings file
    #[argh(option)]
    node: Option<String>,
    /// least severe events to log: off, error, warn, info or debug
    #[argh(option)]
    log_level: Option<String>,
}

impl VmFlags {
    /// Reads the command line and the settings file that it names; ends the
    /// process with usage if the command line is wrong.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`].
    pub fn from_command_line() -> Result<Settings, SettingsError> {
        let flags: Self = argh::from_env();
        let overrides = Overrides {
            node: flags.node,
            log_level: flags.log_level,
        };
        Settings::load(&flags.settings, &overrides)
    }
}
