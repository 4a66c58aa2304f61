//! What a node asks a seed, and what the seed answers.

use std::time::Duration;

use firweir_policy::pool::FleetSlice;
use firweir_policy::pool::rendezvous_hash;
use http::HeaderMap;
use http::HeaderName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::change::Change;
use crate::dialect::Object;
use crate::interest::ModelSlice;
use crate::interest::UpstreamFilter;
use crate::model::Upstream;

/// Header of a request to a seed: for how many milliseconds the seed may hold it.
pub const HOLD_HEADER: HeaderName = HeaderName::from_static("x-firweir-hold-ms");

/// Path at which a seed answers other nodes.
pub const RELAY_PATH: &str = "/peer/relay/";

/// An object, or the name of a removed one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedObject {
    pub(crate) name: String,
    revision: u64,
    reported: bool,
    /// `None` if the object was removed.
    value: Option<Box<RawValue>>,
}

/// The answer of a seed.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Revision of the store up to which a node that applies this answer is up to date.
    pub revision: u64,
    /// Time since the seed last heard from the store.
    pub age_ms: u64,
    /// Time for which the seed held the request; `None` from older releases.
    #[serde(default)]
    pub held_ms: Option<u64>,
    /// When the store had nothing newer, relative to the arrival of the request.
    #[serde(default)]
    pub as_of_ms: Option<i64>,
    /// The same on the seed's own clock.
    #[serde(skip)]
    pub as_of: Option<Duration>,
    /// Number of upstreams that the seed knows, requested or not; entries that name none don't count.
    /// 0 for other kinds.
    #[serde(default, rename = "listed")]
    pub total_upstreams: usize,
    /// Number of nodes that poll the seed; some may have stopped since. 0 from older releases.
    #[serde(default)]
    pub nodes: usize,
    /// `objects` holds all requested objects, not only the changed ones.
    #[serde(rename = "whole")]
    pub is_full_list: bool,
    /// Objects in the order of their changes.
    pub objects: Vec<RelayedObject>,
}

impl RelayAnswer {
    /// Expresses times relative to the arrival of the request, since the clocks of two VMs share
    /// only their rate. `now` is when the request is answered.
    #[must_use]
    pub fn relative_to(mut self, arrived: Duration, now: Duration) -> Self {
        let millis = |time: Duration| time.as_millis() as i64;
        self.as_of_ms = self.as_of.map(|as_of| millis(as_of) - millis(arrived));
        self.held_ms = Some(millis(now.saturating_sub(arrived)) as u64);
        self
    }

    /// When the seed had last heard from the store, on the clock of the node that sent the request at
    /// `sent` and received the answer at `received`. Leaves out the time in transit, so the result is
    /// never later than the true time, except for answers of older releases. `None` if the seed has
    /// heard nothing since the boot of that node.
    #[must_use]
    pub fn heard_at_on_requester_clock(
        &self,
        sent: Duration,
        received: Duration,
    ) -> Option<Duration> {
        let held = self.held_ms.map(Duration::from_millis);
        let answered = held.map_or(received, |held| received.min(sent.saturating_add(held)));
        answered.checked_sub(Duration::from_millis(self.age_ms))
    }

    /// When the store had nothing newer, on the clock of the node that sent the request at `sent`.
    /// Leaves out the time in transit, so the result is never later than the true time.
    #[must_use]
    pub fn as_of_on_requester_clock(&self, sent: Duration) -> Option<Duration> {
        let sent_ms = sent.as_millis() as i64;
        let as_of_ms = u64::try_from(sent_ms.checked_add(self.as_of_ms?)?);
        as_of_ms.ok().map(Duration::from_millis)
    }

    /// The changes that a node has to apply.
    #[must_use]
    pub fn into_changes(self) -> Vec<Change> {
        let object = |relayed: RelayedObject| match relayed.value {
            Some(value) => Change::Put(Object {
                name: relayed.name,
                revision: relayed.revision,
                value,
                reported: relayed.reported,
            }),
            None => Change::Removed(relayed.name),
        };
        let changes = self.objects.into_iter().map(object);
        if !self.is_full_list {
            return changes.collect();
        }
        let objects = changes.filter_map(|change| match change {
            Change::Put(object) => Some(object),
            Change::All(_) | Change::Removed(_) => None,
        });
        vec![Change::All(objects.collect())]
    }
}

/// Hashes of the properties of an upstream that matter for routing live calls to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingDigest {
    /// Hash of the service that the upstream belongs to.
    pub service: u64,
    /// Hash of its start time, address, availability zone, slots and `leaving`.
    pub details: u64,
    /// Hash of its id, for the rendezvous hashing of models over engines.
    pub engine: u64,
}

impl RoutingDigest {
    /// Hashes the properties of an upstream.
    #[must_use]
    pub fn of_upstream(upstream: &Upstream) -> Self {
        let instance = &upstream.instance;
        let (born_ms, address, zone) = (instance.born_ms, upstream.address, &upstream.zone);
        let (slots, leaving) = (upstream.slots, upstream.leaving);
        let details = format!("{born_ms} {address} {zone} {slots} {leaving}");
        Self {
            service: hash_of_name(&upstream.service),
            details: xxh3_64(details.as_bytes()),
            engine: hash_of_name(&instance.id),
        }
    }
}

/// The hash that identifies a service or model in requests to a seed.
#[must_use]
pub fn hash_of_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A node's request to a seed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayRequest {
    /// Revision up to which the node is up to date.
    pub since: u64,
    /// Entries to report; `None` for all.
    pub filter: Option<UpstreamFilter>,
    /// For how long the seed may hold the request, as [`HOLD_HEADER`] states; `None` from older releases.
    pub hold: Option<Duration>,
}

impl RelayRequest {
    /// Encodes the request as a query string: the revision, followed, if there is a filter, by a
    /// hash for each service and a hash and a number of leading zeros for each model.
    #[must_use]
    pub fn to_query(&self) -> String {
        let since = self.since;
        let Some(filter) = &self.filter else {
            return since.to_string();
        };
        let services = filter.services.iter().map(|hash| format!(",{hash:x}"));
        let slice = |model_slice: &ModelSlice| {
            format!(
                ",{:x}:{}",
                model_slice.model, model_slice.slice.leading_zeros
            )
        };
        let slices = filter.slices.iter().map(slice);
        format!("{since};{}", services.chain(slices).collect::<String>())
    }

    /// Decodes a query string; `None` if it is malformed.
    #[must_use]
    pub fn from_query(query: &str) -> Option<Self> {
        let Some((since, wanted)) = query.split_once(';') else {
            let since = query.parse().ok()?;
            return Some(Self {
                since,
                ..Self::default()
            });
        };
        let mut filter = UpstreamFilter::default();
        for part in wanted.split(',').filter(|part| !part.is_empty()) {
            match part.split_once(':') {
                Some((model, zeros)) => filter.slices.push(ModelSlice {
                    model: u64::from_str_radix(model, 16).ok()?,
                    slice: FleetSlice {
                        leading_zeros: zeros.parse().ok()?,
                    },
                }),
                None => filter.services.push(u64::from_str_radix(part, 16).ok()?),
            }
        }
        filter.services.sort_unstable();
        Some(Self {
            since: since.parse().ok()?,
            filter: Some(filter),
            hold: None,
        })
    }

    /// The same request, held for as long as these headers allow.
    #[must_use]
    pub fn with_hold(self, headers: &HeaderMap) -> Self {
        let text = headers
            .get(HOLD_HEADER)
            .and_then(|value| value.to_str().ok());
        let hold_ms = text.and_then(|text| text.parse().ok());
        Self {
            hold: hold_ms.map(Duration::from_millis),
            ..self
        }
    }
}

impl UpstreamFilter {
    /// Whether the filter selects an upstream, for all changes or for routing changes only.
    #[must_use]
    pub fn matches(&self, routing: RoutingDigest) -> bool {
        self.relevance_of(routing) != Relevance::Unrequested
    }

    /// Which changes of an upstream the filter selects.
    pub(crate) fn relevance_of(&self, routing: RoutingDigest) -> Relevance {
        let is_in = |model_slice: &ModelSlice| {
            let order = rendezvous_hash(routing.engine, model_slice.model);
            model_slice.slice.contains(order)
        };
        if self.slices.iter().any(is_in) {
            return Relevance::AllChanges;
        }
        match self.services.binary_search(&routing.service) {
            Ok(_) => Relevance::RoutingChanges,
            Err(_) => Relevance::Unrequested,
        }
    }
}

/// Which changes of one entry a node requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Relevance {
    /// Every change.
    AllChanges,
    /// Changes that matter for routing.
    RoutingChanges,
    /// No change.
    Unrequested,
}

impl RelayedObject {
    /// Whether both describe the same state of an object.
    pub(crate) fn is_same_state(&self, object: &Object) -> bool {
        self.revision == object.revision
            && self.reported == object.reported
            && self
                .value
                .as_ref()
                .is_some_and(|value| value.get() == object.value.get())
    }

    /// The current state of an object.
    pub(crate) fn of(object: &Object) -> Self {
        Self {
            name: object.name.clone(),
            revision: object.revision,
            reported: object.reported,
            value: Some(object.value.clone()),
        }
    }

    /// An object that was removed at this revision.
    pub(crate) fn removed(revision: u64, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision,
            reported: false,
            value: None,
        }
    }
}
