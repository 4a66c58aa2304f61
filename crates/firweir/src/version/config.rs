//! The configuration that operators apply: services and feeds.

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::version::check::Field;
use crate::version::check::Kind;
use crate::version::check::Problem;
use crate::version::check::check_object;

quick_error! {
    /// Why a merged document is not a configuration.
    #[derive(Debug)]
    pub enum ConfigError {
        /// Values are missing, unknown or out of range.
        Invalid(problems: Vec<Problem>) {
            display("{}", crate::version::check::list(problems))
        }
        /// A value passed the checks and still could not be read.
        Unreadable(err: serde_json::Error) {
            display("unreadable: {err}")
            source(err)
            from()
        }
    }
}

/// What a service's upstreams are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines; every call is idempotent.
    Engine,
    /// A plain request service.
    Plain,
}

/// One service and the limits it is called within.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// What its upstreams are.
    pub kind: ServiceKind,
    /// Requests that all entries together may have in flight at one upstream.
    pub limit_per_upstream: u32,
    /// Deadline of a call that names none.
    pub default_deadline_ms: u64,
    /// Paths whose calls may not be repeated.
    #[serde(default)]
    pub charged_paths: Vec<String>,
    /// What its callers are promised, for the report on service-level burn.
    #[serde(default)]
    pub objective: Option<ServiceObjective>,
}

/// What the callers of a service are promised.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceObjective {
    /// Share of calls that get their answer.
    pub answered_share: f64,
    /// An answer within this counts as fast.
    pub latency_ms: u64,
    /// Share of calls that are answered fast.
    pub latency_share: f64,
}

/// What the trainer of a feed is promised.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FeedObjective {
    /// Share of time that the trainer does not wait for a lot.
    pub busy_share: f64,
    /// A lot at most this many versions old counts as fresh.
    pub staleness_versions: u64,
    /// Share of lots that are fresh.
    pub fresh_share: f64,
}

/// One rollout feed: the engines that draft for a group of trainers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Feed {
    /// Service whose engines draft.
    pub service: String,
    /// Model that the feed's trainer tunes.
    pub model: String,
    /// Where the trainer gives prompts and scores samples.
    pub trainer: SocketAddr,
    /// Prompts of a step.
    pub groups_per_step: u32,
    /// Samples drafted for each prompt.
    pub samples_per_group: u32,
    /// Longest answer of a sample.
    pub max_tokens: u32,
    /// A sample may be this many weight versions behind the trainer at acceptance.
    pub staleness_bound_versions: u64,
    /// One draft is given up and drafted again after this.
    pub draft_timeout_ms: u64,
    /// Sealed lots that may wait for the trainer; drafting pauses at that many.
    #[serde(default = "default_steps_ahead")]
    pub steps_ahead: u32,
    /// What its trainer is promised, for the report on service-level burn.
    #[serde(default)]
    pub objective: Option<FeedObjective>,
    /// How much staleness weighs against idle time of the trainer, in percent:
    /// at 0 steps are drafted as early as they can be, at 100 with new weights.
    #[serde(default)]
    pub staleness_weight_percent: u32,
}

const fn default_steps_ahead() -> u32 {
    1
}

impl Feed {
    /// A draft is given up and drafted again after this.
    #[must_use]
    pub const fn draft_timeout(&self) -> Duration {
        Duration::from_millis(self.draft_timeout_ms)
    }
}

/// A value with the name it stands under.
#[derive(Debug, Clone, PartialEq)]
pub struct Named<T> {
    /// Name in the configuration.
    pub name: String,
    /// The value.
    pub value: T,
}

/// A whole configuration, sorted by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Services by name.
    pub services: Vec<Named<Service>>,
    /// Feeds by name.
    pub feeds: Vec<Named<Feed>>,
}

const TOP: [Field; 2] = [
    Field {
        key: "services",
        kind: Kind::Objects,
        required: false,
    },
    Field {
        key: "feeds",
        kind: Kind::Objects,
        required: false,
    },
];

const SERVICE: [Field; 5] = [
    Field {
        key: "kind",
        kind: Kind::Choice(&["engine", "plain"]),
        required: true,
    },
    Field {
        key: "limit_per_upstream",
        kind: Kind::Integer(1, 100_000),
        required: true,
    },
    Field {
        key: "default_deadline_ms",
        kind: Kind::Integer(1, 3_600_000),
        required: true,
    },
    Field {
        key: "charged_paths",
        kind: Kind::Texts,
        required: false,
    },
    Field {
        key: "objective",
        kind: Kind::Object,
        required: false,
    },
];

const FEED: [Field; 11] = [
    Field {
        key: "service",
        kind: Kind::Text,
        required: true,
    },
    Field {
        key: "model",
        kind: Kind::Text,
        required: true,
    },
    Field {
        key: "trainer",
        kind: Kind::Address,
        required: true,
    },
    Field {
        key: "groups_per_step",
        kind: Kind::Integer(1, 65_536),
        required: true,
    },
    Field {
        key: "samples_per_group",
        kind: Kind::Integer(1, 4_096),
        required: true,
    },
    Field {
        key: "max_tokens",
        kind: Kind::Integer(1, 1_000_000),
        required: true,
    },
    Field {
        key: "staleness_bound_versions",
        kind: Kind::Integer(0, 1_000),
        required: true,
    },
    Field {
        key: "draft_timeout_ms",
        kind: Kind::Integer(1, 3_600_000),
        required: true,
    },
    Field {
        key: "steps_ahead",
        kind: Kind::Integer(1, 16),
        required: false,
    },
    Field {
        key: "staleness_weight_percent",
        kind: Kind::Integer(0, 100),
        required: false,
    },
    Field {
        key: "objective",
        kind: Kind::Object,
        required: false,
    },
];

const SERVICE_OBJECTIVE: [Field; 3] = [
    Field {
        key: "answered_share",
        kind: Kind::Share,
        required: true,
    },
    Field {
        key: "latency_ms",
        kind: Kind::Integer(1, 3_600_000),
        required: true,
    },
    Field {
        key: "latency_share",
        kind: Kind::Share,
        required: true,
    },
];

const FEED_OBJECTIVE: [Field; 3] = [
    Field {
        key: "busy_share",
        kind: Kind::Share,
        required: true,
    },
    Field {
        key: "staleness_versions",
        kind: Kind::Integer(0, 1_000),
        required: true,
    },
    Field {
        key: "fresh_share",
        kind: Kind::Share,
        required: true,
    },
];

/// Sections of the document, with the fields of their items and of an item's
/// objective.
const SECTIONS: [(&str, &[Field], &[Field]); 2] = [
    ("services", &SERVICE, &SERVICE_OBJECTIVE),
    ("feeds", &FEED, &FEED_OBJECTIVE),
];

impl Config {
    /// Checks a merged document whole and reads it.
    ///
    /// # Errors
    ///
    /// Names every key that is missing, unknown or out of range.
    pub fn from_document(document: &Value) -> Result<Self, ConfigError> {
        let problems = Self::problems(document);
        if !problems.is_empty() {
            return Err(ConfigError::Invalid(problems));
        }
        let services = read_named(document, "services")?;
        let feeds = read_named(document, "feeds")?;
        Ok(Self { services, feeds })
    }

    /// Every key of the document that is missing, unknown or out of range.
    #[must_use]
    pub fn problems(document: &Value) -> Vec<Problem> {
        let mut problems = check_object(document, "", &TOP);
        for (section, fields, objective_fields) in SECTIONS {
            for (name, value) in section_of(document, section).into_iter().flatten() {
                let path = format!("{section}.{name}");
                problems.extend(check_object(value, &path, fields));
                if let Some(objective) = value.get("objective").filter(|it| it.is_object()) {
                    let path = format!("{path}.objective");
                    problems.extend(check_object(objective, &path, objective_fields));
                }
            }
        }
        problems.extend(feeds_without_service(document));
        problems
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name)
    }

    /// The feed of this name.
    #[must_use]
    pub fn feed(&self, name: &str) -> Option<&Feed> {
        find(&self.feeds, name)
    }
}

fn find<'a, T>(sorted: &'a [Named<T>], name: &str) -> Option<&'a T> {
    let position = sorted
        .binary_search_by(|item| item.name.as_str().cmp(name))
        .ok()?;
    Some(&sorted[position].value)
}

fn section_of<'a>(document: &'a Value, section: &str) -> Option<&'a Map<String, Value>> {
    document.get(section).and_then(Value::as_object)
}

fn read_named<T: serde::de::DeserializeOwned>(
    document: &Value,
    section: &str,
) -> Result<Vec<Named<T>>, ConfigError> {
    let mut named = Vec::new();
    for (name, value) in section_of(document, section).into_iter().flatten() {
        named.push(Named {
            name: name.clone(),
            value: serde_json::from_value(value.clone())?,
        });
    }
    named.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(named)
}

fn feeds_without_service(document: &Value) -> Vec<Problem> {
    let services = section_of(document, "services");
    let is_engine = |name: &str| {
        let service = services.and_then(|services| services.get(name));
        service
            .and_then(|service| service.get("kind"))
            .and_then(Value::as_str)
            == Some("engine")
    };
    section_of(document, "feeds")
        .into_iter()
        .flatten()
        .filter_map(|(name, feed)| Some((name, feed.get("service")?.as_str()?)))
        .filter(|(_, service)| !is_engine(service))
        .map(|(name, _)| Problem {
            path: format!("feeds.{name}.service"),
            allowed: "the name of a service of kind \"engine\"".to_owned(),
        })
        .collect()
}
