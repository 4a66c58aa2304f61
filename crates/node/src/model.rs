//! Data model of a node, independent of the platform's formats: configuration, upstreams,
//! versions of weights, submissions.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::account::Accounts;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May be retried after any failure.
    Idempotent,
    /// Runs at most once per attempt of a client.
    NonIdempotent,
    /// A stream of events.
    Streaming {
        /// The stream may continue at another upstream after the last event that arrived.
        resumable: bool,
    },
    /// Submissions of a trainer.
    Rollout,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of its share, relative to the other targets; 0 for none.
    pub weight: u32,
}

/// Routing of the requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path; ends with a slash.
    pub path_prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Longest time that a client waits, in milliseconds.
    pub timeout_ms: u64,
    /// Services that may run the requests.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams to which one attempt of a client is sent; also the number of
    /// failed runs after which an item is abandoned, and of failures of a reward call.
    pub max_attempts: u32,
    /// Latency objective of calls, in milliseconds; 0 if there is none.
    pub objective_ms: u64,
    /// Time from a submission's arrival until all its results are due, in milliseconds; 0 if
    /// unspecified.
    pub due_ms: u64,
    /// Time after which an item of a submission may be abandoned, in milliseconds.
    pub queue_ttl_ms: u64,
    /// A sample may not mix versions of weights.
    pub single_version: bool,
    /// Its calls need no API key.
    pub public: bool,
    /// Priority of its calls if their account has none; 0 is the highest, [`NO_PRIORITY`] the
    /// lowest.
    pub priority: u32,
}

impl Route {
    /// Longest time that a client waits.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency objective of calls; `None` if the route has none.
    #[must_use]
    pub fn objective(&self) -> Option<Duration> {
        (self.objective_ms > 0).then(|| Duration::from_millis(self.objective_ms))
    }

    /// Whether a service is a target, with or without a share.
    pub(crate) fn leads_to(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.service == service)
    }
}

/// Properties that all upstreams of one service share.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of samples that an engine runs concurrently; 0 for services that run no samples.
    pub slots: u32,
    /// Number of tokens that fit into an engine's memory; 0 for services that run no samples.
    pub memory_tokens: u64,
    /// Limits of autoscaling; `None` if nodes may not order upstreams of it.
    pub scaling: Option<ScalingLimits>,
}

/// Limits and prices for autoscaling a service's upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingLimits {
    /// Minimum number of upstreams in an availability zone, on-demand and spot together.
    pub min_per_zone: u32,
    /// Maximum number of upstreams in an availability zone, on-demand and spot together.
    pub max_per_zone: u32,
    /// Time from an order until a new upstream serves.
    pub boot_time: Duration,
    /// Price of a spot upstream as a fraction of the on-demand price.
    pub spot_price_ratio: f64,
    /// Price per second of an on-demand upstream in each availability zone, sorted by zone.
    pub zone_prices: Vec<ZonePrice>,
}

/// Price per second of an on-demand upstream in one availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePrice {
    /// The availability zone.
    pub zone: String,
    /// The price; only its ratio to other zones matters.
    pub price: f64,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Increases with each change.
    pub version: u64,
    /// Sorted by host; longest prefix first within one host.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Largest body that a client may send.
    pub max_body_bytes: usize,
    /// Most bytes that a client's headers may have.
    pub max_header_bytes: usize,
    /// Accounts that may call; not declared if calls are not restricted.
    pub accounts: Accounts,
}

/// Most bytes of headers before a configuration says otherwise.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;

/// Priority of calls whose route and account have none: the lowest.
pub const NO_PRIORITY: u32 = u32::MAX;

impl Config {
    /// Whether upstreams are shared by many nodes and accounts, so that calls start only where a
    /// slot is likely free. True if any account is declared.
    #[must_use]
    pub const fn shares_services(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Whether calls of a service are ordered by priority.
    #[must_use]
    pub fn has_priorities(&self, service: &str) -> bool {
        let has_priority = |route: &&Route| route.priority != NO_PRIORITY;
        let mut routes = self.call_routes().filter(has_priority);
        self.shares_services()
            && (self.accounts.has_priorities() || routes.any(|route| route.leads_to(service)))
    }

    /// Priority of a call; 0 is the highest. That of the account overrides that of the route.
    #[must_use]
    pub fn priority_of(&self, account: Option<&str>, route: &Route) -> u32 {
        let own = account.and_then(|name| self.accounts.priority_of(name));
        own.unwrap_or(route.priority)
    }

    /// Sorts routes and services as lookups require.
    pub fn sort(&mut self) {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.routes.sort_by(|a, b| {
            let longest_first = b.path_prefix.len().cmp(&a.path_prefix.len());
            a.host.cmp(&b.host).then(longest_first)
        });
    }

    /// The route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|r| r.host.as_str() < host);
        let of_host = self.routes[from..].iter().take_while(|r| r.host == host);
        of_host
            .into_iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether steps of trainers may be submitted, and therefore read, without an API key at this
    /// host.
    #[must_use]
    pub fn has_public_rollouts(&self, host: &str) -> bool {
        let mut routes = self.routes.iter();
        routes.any(|route| route.host == host && route.kind == RouteKind::Rollout && route.public)
    }

    /// Whether a route for calls leads to a service; one for rollouts does not count.
    #[must_use]
    pub fn has_call_route(&self, service: &str) -> bool {
        self.call_routes().any(|route| route.leads_to(service))
    }

    fn call_routes(&self) -> impl Iterator<Item = &Route> {
        let routes = self.routes.iter();
        routes.filter(|route| route.kind != RouteKind::Rollout)
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
    }
}

/// Version of one model's weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// Identifies one start of a service's process. A restart may keep the id, but it has lost all
/// state, so observations of the earlier start do not apply to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Id, which requests carry so that no other process runs them.
    pub id: String,
    /// Start time by its own wall clock, in milliseconds; 0 if unknown. To be compared for
    /// equality only, since wall clocks jump.
    pub born_ms: u64,
}

impl Instance {
    /// A hash that is the same on every node.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born_ms)
    }
}

impl Display for Instance {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        if self.born_ms == 0 {
            formatter.write_str(&self.id)
        } else {
            write!(formatter, "{}@{}", self.id, self.born_ms)
        }
    }
}

/// One running process of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Identifies this start of the process.
    pub instance: Instance,
    /// Its service.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// It will be removed soon; nodes that know this send it no new work.
    pub leaving: bool,
    /// Spot upstream: the platform may reclaim it at short notice.
    pub is_spot: bool,
    /// Models that it has loaded, sorted by name.
    pub models: Vec<ModelVersion>,
}

impl Upstream {
    /// Whether both agree in everything that matters for routing: all but the models that they
    /// have loaded and whether they are spot upstreams.
    #[must_use]
    pub fn has_same_routing(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.leaving == other.leaving
    }

    /// Version of a model that the upstream has loaded; `None` if it has not loaded the model.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let at = self
            .models
            .binary_search_by(|loaded| loaded.model.as_str().cmp(model));
        at.ok().map(|at| self.models[at].version)
    }
}

/// A header of an item, as its trainer sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemHeader {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// The call that grades an item's complete text. It may be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardCall {
    /// Its id.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Path, which selects its route.
    pub path: String,
    /// Body, in base64 as received.
    pub body_base64: String,
}

/// Result of an item's reward call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Score {
    /// The call that was answered.
    pub call: RewardCall,
    /// Proof of origin in the answer.
    pub proof: String,
}

/// One sample that a trainer requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its id, also used as the id of its requests.
    pub id: String,
    /// Items of one group share their prompt.
    pub group: String,
    /// Path at the upstream.
    pub path: String,
    /// Headers for the upstream.
    pub headers: Vec<ItemHeader>,
    /// Body for the upstream, in base64 as received.
    pub body_base64: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The trainer's estimate of the number of tokens in the answer; often far off.
    pub expected_tokens: u32,
    /// The call that grades its text, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reward_call: Option<RewardCall>,
}

/// All samples of one step of a trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its id.
    pub id: String,
    /// Model that generates the samples.
    pub model: String,
    /// Oldest version of the weights that may generate a token of it.
    pub min_version: u64,
    /// Number of groups that the trainer waits for.
    pub target_groups: u32,
    /// The samples, in the trainer's order.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Its text is complete.
    Completed,
    /// It was given up before its text was complete.
    Abandoned,
}

/// The final result of one item. It is listed once and never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub item: String,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Versions of the weights that generated the text's events, ascending.
    pub versions: Vec<u64>,
    /// Proof of origin of the answer to the item's reward call, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
}
