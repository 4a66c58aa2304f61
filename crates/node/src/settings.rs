//! Settings of a node, read from a JSON file that the operator's tooling writes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

use crate::authentication::ConfigWaitLimits;
use crate::dialect::ObjectKind;
use crate::mechanisms::Mechanism;
use crate::submission::head_view::HeadLimits;
use crate::watch_limits::DEFAULT_CONTACT;
use crate::watch_limits::WatchLimits;

quick_error! {
    /// Why a settings file cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Unreadable(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The file is no JSON, or a key is missing or has a wrong value.
        Malformed(path: PathBuf, err: serde_json::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
    }
}

/// Settings of one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// File that the settings were read from.
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
    /// Listen address for clients; `None` on VMs that serve none.
    #[serde(default)]
    pub client_listen: Option<SocketAddr>,
    /// Listen address for the balancer's readiness checks.
    #[serde(default)]
    pub ready_listen: Option<SocketAddr>,
    /// Listen address for other nodes.
    #[serde(default)]
    pub peer_listen: Option<SocketAddr>,
    /// Peer addresses of the seed nodes, through which nodes follow the store.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Resources of the VM for this node.
    #[serde(default)]
    pub vm: VmSettings,
    /// Time in ms for which an upstream that leaves may still get requests.
    pub leaving_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time in seconds for which results of a submission stay readable after it was accepted.
    pub keep_results_s: f64,
    /// Time in ms after the confirmed end of a submission from which none of its samples may
    /// reach an engine.
    #[serde(default = "default_end_applies_ms")]
    pub end_applies_ms: u64,
    /// Shortest time in ms between the last weight order of one holder and the first of the next.
    pub lease_ms: u64,
    /// Time in ms within which a configuration takes effect on all nodes.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// Time in ms after a disturbance of its connections within which a node is up to date again.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: u64,
    /// Time in ms after the revocation of a key from which no newly sent call with it may run,
    /// even on nodes that are cut off; `None` if only nodes in contact with the store have to
    /// apply it.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Reporting of the usage of accounts; `None` if it is not reported.
    #[serde(default)]
    pub usage: Option<UsageSettings>,
    /// Autoscaling of upstreams; `None` if nodes order none.
    #[serde(default)]
    pub scaling: Option<ScalingSettings>,
    /// Listen address of the metrics endpoint, which serves counters and latencies as text.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Mechanisms that are switched off, to measure the effect of each.
    #[serde(default)]
    pub mechanisms_off: Vec<Mechanism>,
    /// Memory in MB that requests may hold together; by default a fraction of the VM's.
    #[serde(default)]
    pub request_memory_mb: Option<f64>,
    /// Connections that clients may have open together; by default as the VM's
    /// descriptors allow.
    #[serde(default)]
    pub max_client_connections: Option<usize>,
    /// Least severe events to log: off, error, warn, info or debug.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Resources that a VM gives to a node.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct VmSettings {
    /// Processor cores.
    pub cores: f64,
    /// Fraction of each core that the node may use.
    pub core_share: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Network bandwidth in Mbit/s.
    pub link_mbps: f64,
    /// Descriptors that a process may open.
    #[serde(default = "default_max_fds")]
    pub max_fds: usize,
}

const fn default_max_fds() -> usize {
    REFERENCE_VM.max_fds
}

/// Fraction of a VM's memory that requests may hold together by default. The rest is for the node
/// itself, its connections, and what its system keeps for them.
const REQUEST_MEMORY_FRACTION: f64 = 0.5;

const BYTES_PER_MB: f64 = 1e6;

/// Fraction of a VM's memory that connections of clients may take.
const CONNECTION_MEMORY_FRACTION: f64 = 0.25;

/// Memory that a connection with a request takes at most besides its body and answer: its state, a
/// head, and bytes that the system has received.
const CONNECTION_BYTES: f64 = 96.0 * 1_024.0;

/// Descriptors of a VM that are not for connections.
const FILE_DESCRIPTORS: usize = 200;

/// Parts of the descriptors for connections. What clients and other nodes cannot take is left for
/// upstreams and the store at all times.
const DESCRIPTOR_PARTS: usize = 10;
const CLIENT_PARTS: usize = 3;
const PEER_PARTS: usize = 5;

/// VM that [`VmSettings::capacity`] compares others with; also the default of the settings.
pub const REFERENCE_VM: VmSettings = VmSettings {
    cores: 1.0,
    core_share: 1.0,
    memory_mb: 1_024.0,
    link_mbps: 1_000.0,
    max_fds: 4_100,
};

impl Default for VmSettings {
    fn default() -> Self {
        REFERENCE_VM
    }
}

impl VmSettings {
    /// Capacity relative to [`REFERENCE_VM`], by the scarcest resource.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let processor = self.cores * self.core_share;
        let reference = REFERENCE_VM.cores * REFERENCE_VM.core_share;
        let ratios = [
            processor / reference,
            self.memory_mb / REFERENCE_VM.memory_mb,
            self.link_mbps / REFERENCE_VM.link_mbps,
        ];
        ratios.into_iter().fold(f64::INFINITY, f64::min).max(0.0)
    }
}

/// Shortest window of usage reports; a shorter one would end before its counts arrive.
const MIN_WINDOW_S: f64 = 1.0;

const fn default_config_apply_ms() -> u64 {
    2_000
}

const fn default_contact_ms() -> u64 {
    DEFAULT_CONTACT.as_millis() as u64
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

/// Settings of the reports of accounts' usage.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct UsageSettings {
    /// Address that reports are sent to.
    pub report_to: SocketAddr,
    /// Length of the windows in seconds.
    pub window_s: f64,
    /// Time in seconds after the end of a window at which its report is due.
    pub late_s: f64,
}

impl UsageSettings {
    /// Length of the windows.
    #[must_use]
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s.max(MIN_WINDOW_S))
    }

    /// Time after the end of a window at which its report is due.
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

/// Lowest rate of calls per second; below it an order waits for longer than an upstream takes to
/// boot.
const MIN_CALLS_PER_S: f64 = 0.1;

fn rate_of_calls<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(from)?;
    if number.is_finite() && number >= MIN_CALLS_PER_S {
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

    /// Keys whose values differ, in the order in which they are listed here.
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
            ("contact_ms", self.contact_ms != other.contact_ms),
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
            (
                "request_memory_mb",
                self.request_memory_mb != other.request_memory_mb,
            ),
            (
                "max_client_connections",
                self.max_client_connections != other.max_client_connections,
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

    /// Memory that requests may hold together, in bytes.
    #[must_use]
    pub fn request_memory_bytes(&self) -> usize {
        let default_mb = self.vm.memory_mb * REQUEST_MEMORY_FRACTION;
        let memory_mb = self.request_memory_mb.unwrap_or(default_mb);
        (memory_mb.max(0.0) * BYTES_PER_MB) as usize
    }

    /// Connections that other nodes may have open together.
    #[must_use]
    pub fn max_peer_connections(&self) -> usize {
        self.descriptor_parts(PEER_PARTS).max(1)
    }

    /// Connections of clients on which requests may be read and answered at a time.
    #[must_use]
    pub fn max_active_clients(&self) -> usize {
        let memory_bytes = self.vm.memory_mb.max(0.0) * BYTES_PER_MB * CONNECTION_MEMORY_FRACTION;
        ((memory_bytes / CONNECTION_BYTES) as usize).max(1)
    }

    /// Parts of the descriptors for connections.
    const fn descriptor_parts(&self, parts: usize) -> usize {
        let sockets = self.vm.max_fds.saturating_sub(FILE_DESCRIPTORS);
        parts * sockets / DESCRIPTOR_PARTS
    }

    /// Connections that clients may have open together.
    #[must_use]
    pub fn max_client_connections(&self) -> usize {
        let default = self.descriptor_parts(CLIENT_PARTS);
        self.max_client_connections.unwrap_or(default).max(1)
    }

    /// Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }

    /// Time for which an upstream that leaves may still get requests.
    #[must_use]
    pub const fn leaving(&self) -> Duration {
        Duration::from_millis(self.leaving_ms)
    }

    /// Time for which results of a submission stay readable after it was accepted.
    #[must_use]
    pub fn keep_results(&self) -> Duration {
        Duration::from_secs_f64(self.keep_results_s.max(0.0))
    }

    /// Time within which a configuration takes effect on all nodes.
    #[must_use]
    pub const fn config_apply(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms)
    }

    /// Times of watches of the store.
    #[must_use]
    pub fn watch_limits(&self) -> WatchLimits {
        let contact = Duration::from_millis(self.contact_ms);
        WatchLimits::new(contact, self.max_propagation_delay())
    }

    /// Time within which nodes have to learn of any change in the store.
    #[must_use]
    pub fn max_propagation_delay(&self) -> Duration {
        self.leaving().min(self.config_apply())
    }

    /// Time within which changes of objects of this kind have to take effect on all nodes.
    #[must_use]
    pub fn propagation_bound(&self, kind: ObjectKind) -> Duration {
        match kind {
            ObjectKind::Configuration => self.config_apply(),
            ObjectKind::Upstreams => self.leaving(),
            _ => self.max_propagation_delay(),
        }
    }

    /// Time for which a revoked key may still be served; `None` if there is no bound that holds
    /// for all nodes.
    #[must_use]
    pub fn revocation(&self) -> Option<Duration> {
        self.revoke_ms.map(Duration::from_millis)
    }

    /// Longest waits for a change of the configuration if calls need keys.
    #[must_use]
    pub fn config_wait_limits(&self) -> ConfigWaitLimits {
        ConfigWaitLimits::new(self.config_apply(), self.revocation())
    }

    /// Largest ages of the view of a submission's head.
    #[must_use]
    pub fn head_limits(&self) -> HeadLimits {
        HeadLimits::new(Duration::from_millis(self.end_applies_ms))
    }

    /// Shortest time between the last weight order of one holder and the first of the next.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
