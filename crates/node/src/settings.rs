//! Settings of a node: a JSON file that the operator's tooling writes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

use crate::authentication::ConfigWaitLimits;
use crate::mechanisms::Mechanism;
use crate::submission::head_view::HeadLimits;

quick_error! {
    /// Why a settings file cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// It cannot be read.
        Unreadable(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// It is not what the settings say.
        Malformed(path: PathBuf, err: serde_json::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
    }
}

/// Settings of one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// The file that they were read from.
    #[serde(skip)]
    pub path: PathBuf,
    /// Name of the VM.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Reads per second that the store can serve to all nodes together.
    #[serde(default = "default_store_reads_per_s")]
    pub store_reads_per_s: f64,
    /// Where clients are taken; absent on VMs that take none.
    #[serde(default)]
    pub client_listen: Option<SocketAddr>,
    /// Where the balancer asks whether this node takes clients.
    #[serde(default)]
    pub ready_listen: Option<SocketAddr>,
    /// Where other nodes are taken.
    #[serde(default)]
    pub peer_listen: Option<SocketAddr>,
    /// Nodes that pass on what the store shows, by where they take other nodes.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What the VM gives to this node.
    #[serde(default)]
    pub vm: VmSettings,
    /// An upstream that leaves may get requests for this long.
    pub leaving_ms: u64,
    /// Time from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Results of a submission stay readable for this long after it was accepted.
    pub keep_results_s: f64,
    /// No sample of a submission that has ended may reach an engine this long after the end
    /// was confirmed.
    #[serde(default = "default_end_applies_ms")]
    pub end_applies_ms: u64,
    /// Engines may hear from another holder of the orders only after this long.
    pub lease_ms: u64,
    /// A configuration is in force everywhere within this time.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// No call that is sent this long after its key was taken away may run, whatever befalls
    /// a node; absent where only nodes in touch have to know.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// How the usage of accounts is reported; absent where it is not.
    #[serde(default)]
    pub usage: Option<UsageSettings>,
    /// Autoscaling of upstreams; `None` if nodes order none.
    #[serde(default)]
    pub scaling: Option<ScalingSettings>,
    /// Where counters and latencies are served as text.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Mechanisms that are switched off, to measure what each is worth.
    #[serde(default)]
    pub mechanisms_off: Vec<Mechanism>,
    /// Least severe events to log: off, error, warn, info or debug.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// What a VM gives to a node.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct VmSettings {
    /// Processor cores.
    pub cores: f64,
    /// Part of each that the node may use.
    pub core_share: f64,
    /// Memory.
    pub memory_mb: f64,
    /// What its own link carries.
    pub link_mbps: f64,
}

/// The VM that [`VmSettings::capacity`] compares others with, and that is taken for given
/// where the settings do not say.
pub const REFERENCE_VM: VmSettings = VmSettings {
    cores: 1.0,
    core_share: 1.0,
    memory_mb: 1_024.0,
    link_mbps: 1_000.0,
};

impl Default for VmSettings {
    fn default() -> Self {
        REFERENCE_VM
    }
}

impl VmSettings {
    /// Parts of [`REFERENCE_VM`] by what is scarcest.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let processor = self.cores * self.core_share;
        let reference = REFERENCE_VM.cores * REFERENCE_VM.core_share;
        let parts = [
            processor / reference,
            self.memory_mb / REFERENCE_VM.memory_mb,
            self.link_mbps / REFERENCE_VM.link_mbps,
        ];
        parts.into_iter().fold(f64::INFINITY, f64::min).max(0.0)
    }
}

/// A shorter window would be over before its counts are in.
const WINDOW_LEAST_S: f64 = 1.0;

const fn default_config_apply_ms() -> u64 {
    2_000
}

const fn default_store_reads_per_s() -> f64 {
    2_000.0
}

const fn default_end_applies_ms() -> u64 {
    3_000
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// How the usage of accounts is reported.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct UsageSettings {
    /// Where reports go.
    pub report_to: SocketAddr,
    /// Length of the windows.
    pub window_s: f64,
    /// A report is due this long after its window's end.
    pub late_s: f64,
}

impl UsageSettings {
    /// Length of the windows.
    #[must_use]
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s.max(WINDOW_LEAST_S))
    }

    /// A report is due this long after its window's end.
    #[must_use]
    pub fn due_after(&self) -> Duration {
        Duration::from_secs_f64(self.late_s.max(0.0))
    }
}

/// Name of the duty of ordering upstreams in [`ScalingSettings::duties`].
const SCALING_DUTY: &str = "autoscale";

/// Settings of autoscaling.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ScalingSettings {
    /// Address of the platform that takes orders.
    pub order_at: SocketAddr,
    /// Maximum number of calls per second from all nodes together, for all duties.
    #[serde(deserialize_with = "rate_of_calls")]
    pub calls_per_s: f64,
    /// Duties that the platform leaves to nodes; `None` means that autoscaling is one of them.
    #[serde(default)]
    pub duties: Option<Vec<String>>,
}

impl ScalingSettings {
    /// Whether the platform leaves autoscaling to nodes.
    fn is_on(&self) -> bool {
        let duties = self.duties.as_ref();
        duties.is_none_or(|duties| duties.iter().any(|duty| duty == SCALING_DUTY))
    }
}

/// Lowest rate of calls per second; below it orders wait for longer than an upstream boots.
const LEAST_CALLS_PER_S: f64 = 0.1;

fn rate_of_calls<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(from)?;
    if number.is_finite() && number >= LEAST_CALLS_PER_S {
        return Ok(number);
    }
    Err(D::Error::custom("calls_per_s must be at least 0.1"))
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a key is missing or has a wrong value.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        let settings: Self = serde_json::from_slice(&text)
            .map_err(|error| SettingsError::Malformed(path.to_owned(), error))?;
        Ok(Self {
            path: path.to_owned(),
            ..settings
        })
    }

    /// The keys whose values differ, in the order in which they stand here.
    #[must_use]
    pub fn keys_that_differ(&self, other: &Self) -> Vec<&'static str> {
        let differ = [
            ("node", self.node != other.node),
            ("zone", self.zone != other.zone),
            ("store", self.store != other.store),
            (
                "store_reads_per_s",
                self.store_reads_per_s.to_bits() != other.store_reads_per_s.to_bits(),
            ),
            ("client_listen", self.client_listen != other.client_listen),
            ("ready_listen", self.ready_listen != other.ready_listen),
            ("peer_listen", self.peer_listen != other.peer_listen),
            ("seeds", self.seeds != other.seeds),
            ("vm", self.vm != other.vm),
            ("leaving_ms", self.leaving_ms != other.leaving_ms),
            ("grace_s", self.grace() != other.grace()),
            (
                "keep_results_s",
                self.keep_results() != other.keep_results(),
            ),
            (
                "end_applies_ms",
                self.end_applies_ms != other.end_applies_ms,
            ),
            ("lease_ms", self.lease_ms != other.lease_ms),
            (
                "config_apply_ms",
                self.config_apply_ms != other.config_apply_ms,
            ),
            ("revoke_ms", self.revoke_ms != other.revoke_ms),
            ("usage", self.usage != other.usage),
            ("scaling", self.scaling != other.scaling),
            (
                "metrics_listen",
                self.metrics_listen != other.metrics_listen,
            ),
            (
                "mechanisms_off",
                self.mechanisms_off != other.mechanisms_off,
            ),
            ("log_level", self.log_level != other.log_level),
        ];
        let differ = differ.into_iter().filter(|(_, differs)| *differs);
        differ.map(|(key, _)| key).collect()
    }

    /// Settings of autoscaling; `None` if there are none or the platform does not leave it to
    /// nodes.
    #[must_use]
    pub fn scaling(&self) -> Option<&ScalingSettings> {
        self.scaling.as_ref().filter(|scaling| scaling.is_on())
    }

    /// Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }

    /// An upstream that leaves may get requests for this long.
    #[must_use]
    pub const fn leaving(&self) -> Duration {
        Duration::from_millis(self.leaving_ms)
    }

    /// Results of a submission stay readable for this long after it was accepted.
    #[must_use]
    pub fn keep_results(&self) -> Duration {
        Duration::from_secs_f64(self.keep_results_s.max(0.0))
    }

    /// A configuration is in force everywhere within this time.
    #[must_use]
    pub const fn config_apply(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms)
    }

    /// Within this time nodes have to know what is new.
    #[must_use]
    pub fn max_propagation_delay(&self) -> Duration {
        self.leaving().min(self.config_apply())
    }

    /// How long a key that was taken away may be served, where that is bounded for all nodes.
    #[must_use]
    pub fn revocation(&self) -> Option<Duration> {
        self.revoke_ms.map(Duration::from_millis)
    }

    /// How often the configuration has to be heard of for that, where calls need keys.
    #[must_use]
    pub fn config_wait_limits(&self) -> ConfigWaitLimits {
        ConfigWaitLimits::new(self.config_apply(), self.revocation())
    }

    /// How old the view of a submission's head may be.
    #[must_use]
    pub fn head_limits(&self) -> HeadLimits {
        HeadLimits::new(Duration::from_millis(self.end_applies_ms))
    }

    /// Engines may hear from another holder of the orders only after this long.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
