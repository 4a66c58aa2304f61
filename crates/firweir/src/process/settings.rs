//! Settings of a VM's programs: one JSON file, overridden by flags, checked whole.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;
use serde_json::Value;

use crate::version::check::Field;
use crate::version::check::Kind;
use crate::version::check::Problem;
use crate::version::check::check_object;
use crate::version::check::list;

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The file is not JSON.
        Syntax(path: PathBuf, err: serde_json::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// Keys are missing, unknown or out of range.
        Invalid(path: PathBuf, problems: Vec<Problem>) {
            display("{}: {}", path.display(), list(problems))
        }
    }
}

/// Settings of the programs of one VM. Every program reads the same file and
/// uses what concerns it.
///
/// # Examples
///
/// ```
/// use firweir::process::settings::Settings;
///
/// let text = r#"{
///     "deployment": "kalahari", "node": "north-1", "zone": "hall-north",
///     "object_api": "127.0.0.1:6000", "steward_listen": "127.0.0.1:7003",
///     "entry_listen": "127.0.0.1:7000", "draft_listen": "127.0.0.1:7001",
///     "feed_listen": "127.0.0.1:7002"
/// }"#;
/// let settings = Settings::parse("vm.json".as_ref(), text)?;
/// assert_eq!(settings.drain_linger_ms, 2_000);
/// # Ok::<(), firweir::process::settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the deployment; stewards refuse peers of another one.
    pub deployment: String,
    /// Name of this VM, unique in the deployment.
    pub node: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// The platform's object API.
    pub object_api: SocketAddr,
    /// Where the steward takes local programs and peers.
    pub steward_listen: SocketAddr,
    /// Where the entry takes callers.
    pub entry_listen: SocketAddr,
    /// Where the entry takes drafts from feeds.
    pub draft_listen: SocketAddr,
    /// Where the feed takes trainers.
    pub feed_listen: SocketAddr,
    /// Stewards to ask before the VM list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where statsd metrics go; none are sent without it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How long listeners stay open after a drain starts, so that the balancer
    /// sees `/healthz` fail before connections are refused.
    #[serde(default = "default_drain_linger_ms")]
    pub drain_linger_ms: u64,
    /// Least severe events that are logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Where the vault takes lots; the VM has none without it.
    #[serde(default)]
    pub vault_listen: Option<SocketAddr>,
    /// Folder of the vault's files.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Most that the vault's files take.
    #[serde(default = "default_vault_limit_bytes")]
    pub vault_limit_bytes: u64,
}

const fn default_drain_linger_ms() -> u64 {
    2_000
}

/// Ten feeds of three lots of 4,096 samples at 64 KiB each take 7.5 GiB.
const fn default_vault_limit_bytes() -> u64 {
    8 << 30
}

fn default_log_level() -> String {
    "info".to_owned()
}

const LOG_LEVELS: [&str; 5] = ["off", "error", "warn", "info", "debug"];

const FIELDS: [Field; 15] = [
    Field {
        key: "deployment",
        kind: Kind::Text,
        required: true,
    },
    Field {
        key: "node",
        kind: Kind::Text,
        required: true,
    },
    Field {
        key: "zone",
        kind: Kind::Text,
        required: true,
    },
    Field {
        key: "object_api",
        kind: Kind::Address,
        required: true,
    },
    Field {
        key: "steward_listen",
        kind: Kind::Address,
        required: true,
    },
    Field {
        key: "entry_listen",
        kind: Kind::Address,
        required: true,
    },
    Field {
        key: "draft_listen",
        kind: Kind::Address,
        required: true,
    },
    Field {
        key: "feed_listen",
        kind: Kind::Address,
        required: true,
    },
    Field {
        key: "seeds",
        kind: Kind::Addresses,
        required: false,
    },
    Field {
        key: "metrics",
        kind: Kind::Address,
        required: false,
    },
    Field {
        key: "drain_linger_ms",
        kind: Kind::Integer(0, 600_000),
        required: false,
    },
    Field {
        key: "log_level",
        kind: Kind::Choice(&LOG_LEVELS),
        required: false,
    },
    Field {
        key: "vault_listen",
        kind: Kind::Address,
        required: false,
    },
    Field {
        key: "data_folder",
        kind: Kind::Text,
        required: false,
    },
    Field {
        key: "vault_limit_bytes",
        kind: Kind::Integer(1 << 20, 1 << 44),
        required: false,
    },
];

/// Values from the command line, which go before those of the file.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    /// Replaces `node`.
    pub node: Option<String>,
    /// Replaces `log_level`.
    pub log_level: Option<String>,
}

impl Settings {
    /// Reads a settings file and puts the flags over it.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON, or holds keys that are missing,
    /// unknown or out of range; all of them are named.
    pub fn load(path: &Path, overrides: &Overrides) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|err| SettingsError::Read(path.into(), err))?;
        let mut document = Self::document(path, &text)?;
        if let Some(object) = document.as_object_mut() {
            let flags = [
                ("node", &overrides.node),
                ("log_level", &overrides.log_level),
            ];
            for (key, value) in flags {
                if let Some(value) = value {
                    object.insert(key.to_owned(), Value::from(value.as_str()));
                }
            }
        }
        Self::check(path, document)
    }

    /// Reads settings from text; `path` names it in errors.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`], but for reading the file.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        Self::check(path, Self::document(path, text)?)
    }

    /// How long listeners stay open after a drain starts.
    #[must_use]
    pub const fn drain_linger(&self) -> Duration {
        Duration::from_millis(self.drain_linger_ms)
    }

    fn document(path: &Path, text: &str) -> Result<Value, SettingsError> {
        serde_json::from_str(text).map_err(|err| SettingsError::Syntax(path.into(), err))
    }

    fn check(path: &Path, document: Value) -> Result<Self, SettingsError> {
        let problems = check_object(&document, "", &FIELDS);
        if !problems.is_empty() {
            return Err(SettingsError::Invalid(path.into(), problems));
        }
        serde_json::from_value(document).map_err(|err| SettingsError::Syntax(path.into(), err))
    }
}
