//! Traces: what is deployed, what is offered, what goes wrong and when, and
//! which outcomes must hold.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use firweir::version::check::Problem;
use firweir::version::check::list;
use firweir::version::config::Config;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::engine::EngineSettings;

quick_error! {
    /// Why a trace cannot be replayed.
    #[derive(Debug)]
    pub enum TraceError {
        /// The file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The file is not a trace; the path names the key.
        Syntax(path: PathBuf, key: String, err: serde_json::Error) {
            display("{}: {key}: {err}", path.display())
            source(err)
        }
        /// Its configuration or a value is wrong.
        Invalid(path: PathBuf, problems: Vec<Problem>) {
            display("{}: {}", path.display(), list(problems))
        }
    }
}

/// One trace.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Name of the deployment.
    pub deployment: String,
    /// Virtual time in which load is offered.
    pub duration_s: f64,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entry VMs, spread over the zones.
    pub entries: u32,
    /// How many of them, from the first, have a disk and a vault.
    #[serde(default)]
    pub vaults: u32,
    /// One-way latencies.
    pub latency: LatencySpec,
    /// How the platform behaves.
    #[serde(default)]
    pub platform: Platform,
    /// Files of the configuration folder, by name. The replay fills in the
    /// trainers' addresses.
    pub config: Vec<ConfigFile>,
    /// Upstreams by service.
    pub upstreams: Vec<UpstreamSpec>,
    /// Trainers by feed.
    #[serde(default)]
    pub trainers: Vec<TrainerSpec>,
    /// What callers offer.
    #[serde(default)]
    pub loads: Vec<Load>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What must hold.
    pub outcomes: Vec<Stated>,
}

/// One-way latencies in microseconds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencySpec {
    /// Within a zone.
    pub local_us: u64,
    /// Between zones.
    pub zones_us: u64,
    /// To clients and trainers.
    pub clients_us: u64,
}

/// How the platform behaves.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// Writes that the object API takes in a second.
    pub writes_per_s: u32,
    /// Reads that the object API takes in a second.
    pub reads_per_s: u32,
    /// Lag of the VM list.
    pub vm_list_lag_ms: u64,
    /// Loads that the weight store serves at once.
    pub weight_loads_at_once: usize,
    /// Time of one load.
    pub weight_load_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            writes_per_s: 300,
            reads_per_s: 2_000,
            vm_list_lag_ms: 2_000,
            weight_loads_at_once: 6,
            weight_load_ms: 1_500,
        }
    }
}

/// One file of the configuration folder.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// Name, which orders the merge.
    pub name: String,
    /// Content.
    pub content: Value,
}

/// Upstreams of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Service.
    pub service: String,
    /// How many, spread over the zones.
    pub count: u32,
    /// Set for model engines.
    #[serde(default)]
    pub engine: Option<EngineSettings>,
    /// Time per request of a plain service.
    #[serde(default)]
    pub work_ms: u64,
}

/// One trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrainerSpec {
    /// Feed.
    pub feed: String,
    /// Time that it trains on one lot.
    pub train_s: f64,
}

/// What one group of callers offers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Service.
    pub service: String,
    /// Path at the service; not used for engines.
    #[serde(default)]
    pub path: String,
    /// Calls a second, from many independent callers.
    pub rate_per_s: f64,
    /// When it starts.
    #[serde(default)]
    pub from_s: f64,
    /// When it ends; the trace's duration if not given.
    #[serde(default)]
    pub until_s: f64,
    /// Distinct callers.
    #[serde(default)]
    pub callers: u32,
    /// Share of calls that one caller makes.
    #[serde(default)]
    pub hot_share: f64,
    /// What callers are ready to wait.
    pub deadline_ms: u64,
    /// Calls may not be repeated; callers resend them under the same key.
    #[serde(default)]
    pub charged: bool,
    /// Each call crashes the plain upstream that runs it; callers send it again
    /// each second.
    #[serde(default)]
    pub poison: bool,
    /// Model of an engine call.
    #[serde(default)]
    pub model: String,
    /// Longest answer of an engine call; 0 for plain services.
    #[serde(default)]
    pub max_tokens: u32,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at_s: f64,
    /// What.
    pub kind: FaultKind,
    /// How long.
    #[serde(default)]
    pub for_s: f64,
    /// Which engine, VM, zone or trainer, counted from 0.
    #[serde(default)]
    pub target: u32,
    /// Delay of a slow platform; files of racing operators; factor of a slow engine.
    #[serde(default)]
    pub amount: u64,
    /// For faults of a feed's holder: strikes once the feed is in this phase.
    #[serde(default)]
    pub phase: Phase,
}

/// Phases of a feed's step, as the object API and the vaults' disks show them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Any.
    #[default]
    Any,
    /// No lot waits for the trainer: the next one is being drafted.
    Drafting,
    /// A vault has bodies of the next lot, which is not sealed yet.
    Kept,
    /// A lot is sealed and waits for the trainer.
    Sealed,
    /// A lot was accepted just now.
    Accepted,
}

/// Kinds of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An upstream dies and comes back with nothing loaded.
    UpstreamCrash,
    /// An upstream is marked as leaving, and goes.
    UpstreamLeave,
    /// An engine takes `amount` times as long for each token.
    UpstreamSlow,
    /// Swaps fail after the weights were fetched.
    SwapFails,
    /// An engine's streams end early, as if they were whole.
    StreamsTruncated,
    /// Chunks of an engine's streams come out of order.
    StreamsReordered,
    /// Chunks of an engine's streams come twice.
    StreamsRepeated,
    /// An engine reports no version with some of its chunks.
    StreamsUnlabelled,
    /// All programs of a VM die and start again.
    VmKill,
    /// All programs of a VM stop and go on.
    VmFreeze,
    /// A VM drains, goes, and is replaced.
    VmReplace,
    /// The VM that holds a trainer's feed dies and starts again; `target` counts
    /// trainers.
    HolderKill,
    /// The VM that holds a trainer's feed stops and goes on.
    HolderFreeze,
    /// The VM that holds a trainer's feed drains, goes, and is replaced.
    HolderReplace,
    /// A VM dies with its disk and comes back with an empty one.
    VaultLoss,
    /// The disk of a VM's vault takes no more writes.
    VaultFull,
    /// A trainer dies and goes on from what it kept; `target` counts trainers.
    TrainerRestart,
    /// The object API hangs and fails.
    ApiOutage,
    /// The object API is slow.
    ApiSlow,
    /// Writes take effect and are not answered.
    ApiRepliesLost,
    /// A zone is cut off from all others.
    ZoneCut,
    /// Operators apply folders at the same time.
    OperatorsRace,
}

/// An outcome that must hold.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    /// Name of a measure.
    pub name: String,
    /// It must not be above this.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// It must not be below this.
    #[serde(default)]
    pub at_least: Option<f64>,
}

/// A placeholder that stands for a trainer's address until the replay has one.
const TRAINER_PLACEHOLDER: &str = "127.0.0.1:1";

impl Trace {
    /// Reads a trace and checks it whole.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is not a trace; the key is named.
    pub fn load(path: &Path) -> Result<Self, TraceError> {
        let text = fs::read_to_string(path).map_err(|err| TraceError::Read(path.into(), err))?;
        Self::parse(path, &text)
    }

    /// Reads a trace from text; `path` names it in errors.
    ///
    /// # Errors
    ///
    /// As [`Trace::load`], but for reading the file.
    pub fn parse(path: &Path, text: &str) -> Result<Self, TraceError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let trace: Self = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let key = error.path().to_string();
            TraceError::Syntax(path.into(), key, error.into_inner())
        })?;
        let trace = trace.with_defaults();
        let problems = trace.problems();
        if problems.is_empty() {
            Ok(trace)
        } else {
            Err(TraceError::Invalid(path.into(), problems))
        }
    }

    /// The configuration's files with the trainer of each feed filled in.
    #[must_use]
    pub fn config_with(&self, trainer_of: impl Fn(&str) -> String) -> Vec<ConfigFile> {
        let mut files = self.config.clone();
        for file in &mut files {
            let feeds = file.content.get_mut("feeds").and_then(Value::as_object_mut);
            for (name, feed) in feeds.into_iter().flatten() {
                if let Some(feed) = feed.as_object_mut() {
                    feed.insert("trainer".to_owned(), Value::from(trainer_of(name)));
                }
            }
        }
        files
    }

    fn with_defaults(mut self) -> Self {
        for load in &mut self.loads {
            if load.until_s <= 0.0 {
                load.until_s = self.duration_s;
            }
        }
        self
    }

    fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut check = |holds: bool, path: String, allowed: &str| {
            if !holds {
                problems.push(Problem {
                    path,
                    allowed: allowed.to_owned(),
                });
            }
        };
        let positive = self.duration_s > 0.0 && self.duration_s <= 86_400.0;
        check(
            positive,
            "duration_s".to_owned(),
            "seconds above 0, at most 86400",
        );
        check(
            (1..=64).contains(&self.entries),
            "entries".to_owned(),
            "1 to 64",
        );
        check(
            (1..=16).contains(&self.zones.len()),
            "zones".to_owned(),
            "1 to 16 names",
        );
        for (index, load) in self.loads.iter().enumerate() {
            let path = format!("loads[{index}].rate_per_s");
            check(
                load.rate_per_s > 0.0 && load.rate_per_s <= 1e5,
                path,
                "above 0, at most 100000",
            );
            let path = format!("loads[{index}].hot_share");
            check((0.0..=1.0).contains(&load.hot_share), path, "0 to 1");
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let path = format!("upstreams[{index}].count");
            check((1..=200).contains(&upstream.count), path, "1 to 200");
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let path = format!("faults[{index}].at_s");
            check(
                fault.at_s >= 0.0 && fault.for_s >= 0.0,
                path,
                "seconds, 0 or more",
            );
        }
        for (index, stated) in self.outcomes.iter().enumerate() {
            let path = format!("outcomes[{index}]");
            let one = stated.at_most.is_some() != stated.at_least.is_some();
            check(one, path, "either at_most or at_least");
        }
        let files = self.config_with(|_feed| TRAINER_PLACEHOLDER.to_owned());
        let mut document = Value::Object(serde_json::Map::new());
        for file in &files {
            json_patch::merge(&mut document, &file.content);
        }
        problems.extend(
            Config::problems(&document)
                .into_iter()
                .map(|problem| Problem {
                    path: format!("config.{}", problem.path),
                    ..problem
                }),
        );
        problems
    }
}
