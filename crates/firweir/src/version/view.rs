//! One VM's view of the fleet, published by its steward and read by its entry
//! and feed.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::version::config::Config;
use crate::wire::firweir_capnp;

/// What a VM is believed to do, from best to worst news.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not been heard of for a while.
    Suspect,
    /// It said that it goes.
    Leaving,
    /// It is gone.
    Dead,
}

/// One of the system's own VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Set at each start of its steward; a later one replaces all that was known.
    pub incarnation: u64,
    /// Grows while the steward lives.
    pub counter: u64,
    /// What it is believed to do.
    pub state: MemberState,
    /// Where its steward takes peers.
    pub steward_address: SocketAddr,
    /// Where its entry takes drafts.
    pub draft_address: SocketAddr,
    /// Where its feed takes trainers.
    pub feed_address: SocketAddr,
    /// Configuration revision in force on all its programs.
    pub revision: u64,
    /// Where its vault takes lots, if it has one.
    pub vault_address: Option<SocketAddr>,
}

/// One upstream VM as the platform's VM list shows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that it answers for.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// It gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What one entry asks of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// Requests that it has in flight there.
    pub in_flight: u32,
    /// Requests that wait for room.
    pub waiting: u32,
}

/// A request that was in flight on upstreams as they crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Upstreams that crashed while it was in flight there.
    pub upstreams_lost: u32,
}

/// What the programs of one VM report; it spreads between stewards.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observed {
    /// The VM.
    pub node: String,
    /// Incarnation of its steward.
    pub incarnation: u64,
    /// Grows with each report.
    pub counter: u64,
    /// What its entry asks of services.
    pub demands: Vec<Demand>,
    /// Requests that its entry suspects.
    pub suspects: Vec<Suspect>,
}

/// All that a program knows of the fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// Grows with each change that the steward publishes.
    pub generation: u64,
    /// Revision of the configuration.
    pub revision: u64,
    /// The configuration.
    pub config: Config,
    /// The system's VMs, sorted by name.
    pub members: Vec<Member>,
    /// Upstreams, sorted by service and address.
    pub upstreams: Vec<Upstream>,
    /// What the programs of each VM report, sorted by VM.
    pub observed: Vec<Observed>,
}

/// The newest view, read without a lock.
pub type SharedView = Arc<ArcSwap<View>>;

impl View {
    /// Members that take work.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.state == MemberState::Alive)
    }

    /// Upstreams of a service.
    #[must_use]
    pub fn upstreams_of(&self, service: &str) -> &[Upstream] {
        let start = self
            .upstreams
            .partition_point(|upstream| upstream.service.as_str() < service);
        let end = self
            .upstreams
            .partition_point(|upstream| upstream.service.as_str() <= service);
        &self.upstreams[start..end]
    }
}

quick_error! {
    /// Why a message of a peer was refused.
    #[derive(Debug)]
    pub enum WireError {
        /// Cap'n Proto could not read it.
        Capnp(err: capnp::Error) {
            display("unreadable message: {err}")
            source(err)
            from()
        }
        /// A text is not UTF-8.
        Text(err: std::str::Utf8Error) {
            display("text: {err}")
            source(err)
            from()
        }
        /// An address is not an IP address and port.
        Address(err: std::net::AddrParseError) {
            display("address: {err}")
            source(err)
            from()
        }
        /// A value that this version does not know.
        Unknown(err: capnp::NotInSchema) {
            display("unknown value: {err}")
            source(err)
            from()
        }
        /// A document is not JSON.
        Json(err: serde_json::Error) {
            display("document: {err}")
            source(err)
            from()
        }
        /// A configuration that does not pass the checks.
        Config(err: crate::version::config::ConfigError) {
            display("configuration: {err}")
            source(err)
            from()
        }
        /// The peer belongs to another deployment.
        Deployment(theirs: String) {
            display("peer of deployment {theirs}")
        }
        /// A configuration head that contradicts itself or what is held.
        Head(err: crate::version::folder::HeadError) {
            display("head: {err}")
            source(err)
            from()
        }
        /// A VM claims to have started later than the time is.
        FromTheFuture(node: String) {
            display("{node} starts in the future")
        }
        /// The message is larger than any honest peer sends.
        TooLarge(what: &'static str) {
            display("too large: {what}")
        }
    }
}

impl From<WireError> for capnp::Error {
    fn from(error: WireError) -> Self {
        Self::failed(error.to_string())
    }
}

/// Reads a member from a message.
pub fn read_member(reader: firweir_capnp::member::Reader<'_>) -> Result<Member, WireError> {
    Ok(Member {
        node: reader.get_node()?.to_str()?.to_owned(),
        zone: reader.get_zone()?.to_str()?.to_owned(),
        incarnation: reader.get_incarnation(),
        counter: reader.get_counter(),
        state: match reader.get_state()? {
            firweir_capnp::MemberState::Alive => MemberState::Alive,
            firweir_capnp::MemberState::Suspect => MemberState::Suspect,
            firweir_capnp::MemberState::Leaving => MemberState::Leaving,
            firweir_capnp::MemberState::Dead => MemberState::Dead,
        },
        steward_address: reader.get_steward_address()?.to_str()?.parse()?,
        draft_address: reader.get_draft_address()?.to_str()?.parse()?,
        feed_address: reader.get_feed_address()?.to_str()?.parse()?,
        revision: reader.get_revision(),
        vault_address: match reader.get_vault_address()?.to_str()? {
            "" => None,
            address => Some(address.parse()?),
        },
    })
}

/// Writes a member into a message.
pub fn write_member(member: &Member, mut builder: firweir_capnp::member::Builder<'_>) {
    builder.set_node(&member.node);
    builder.set_zone(&member.zone);
    builder.set_incarnation(member.incarnation);
    builder.set_counter(member.counter);
    builder.set_state(match member.state {
        MemberState::Alive => firweir_capnp::MemberState::Alive,
        MemberState::Suspect => firweir_capnp::MemberState::Suspect,
        MemberState::Leaving => firweir_capnp::MemberState::Leaving,
        MemberState::Dead => firweir_capnp::MemberState::Dead,
    });
    builder.set_steward_address(member.steward_address.to_string());
    builder.set_draft_address(member.draft_address.to_string());
    builder.set_feed_address(member.feed_address.to_string());
    builder.set_revision(member.revision);
    if let Some(address) = member.vault_address {
        builder.set_vault_address(address.to_string());
    }
}

/// Reads a list of members from a message.
pub fn read_members(
    reader: capnp::struct_list::Reader<'_, firweir_capnp::member::Owned>,
) -> Result<Vec<Member>, WireError> {
    reader.iter().map(read_member).collect()
}

/// Writes a list of members into a message.
pub fn write_members(
    members: &[Member],
    mut builder: capnp::struct_list::Builder<'_, firweir_capnp::member::Owned>,
) {
    for (index, member) in members.iter().enumerate() {
        write_member(member, builder.reborrow().get(index as u32));
    }
}

/// Reads what one VM reports.
pub fn read_observed(reader: firweir_capnp::observed::Reader<'_>) -> Result<Observed, WireError> {
    let mut demands = Vec::new();
    for demand in reader.get_demands()? {
        demands.push(Demand {
            service: demand.get_service()?.to_str()?.to_owned(),
            in_flight: demand.get_in_flight(),
            waiting: demand.get_waiting(),
        });
    }
    let suspects = reader.get_suspects()?.iter().map(|suspect| Suspect {
        fingerprint: suspect.get_fingerprint(),
        upstreams_lost: suspect.get_upstreams_lost(),
    });
    Ok(Observed {
        node: reader.get_node()?.to_str()?.to_owned(),
        incarnation: reader.get_incarnation(),
        counter: reader.get_counter(),
        demands,
        suspects: suspects.collect(),
    })
}

/// Writes what one VM reports.
pub fn write_observed(observed: &Observed, mut builder: firweir_capnp::observed::Builder<'_>) {
    builder.set_node(&observed.node);
    builder.set_incarnation(observed.incarnation);
    builder.set_counter(observed.counter);
    let mut demands = builder
        .reborrow()
        .init_demands(observed.demands.len() as u32);
    for (index, demand) in observed.demands.iter().enumerate() {
        let mut item = demands.reborrow().get(index as u32);
        item.set_service(&demand.service);
        item.set_in_flight(demand.in_flight);
        item.set_waiting(demand.waiting);
    }
    let mut suspects = builder.init_suspects(observed.suspects.len() as u32);
    for (index, suspect) in observed.suspects.iter().enumerate() {
        let mut item = suspects.reborrow().get(index as u32);
        item.set_fingerprint(suspect.fingerprint);
        item.set_upstreams_lost(suspect.upstreams_lost);
    }
}

/// Reads what several VMs report.
pub fn read_all_observed(
    reader: capnp::struct_list::Reader<'_, firweir_capnp::observed::Owned>,
) -> Result<Vec<Observed>, WireError> {
    reader.iter().map(read_observed).collect()
}

/// Writes what several VMs report.
pub fn write_all_observed(
    observed: &[Observed],
    mut builder: capnp::struct_list::Builder<'_, firweir_capnp::observed::Owned>,
) {
    for (index, item) in observed.iter().enumerate() {
        write_observed(item, builder.reborrow().get(index as u32));
    }
}

/// Reads one upstream.
pub fn read_upstream(reader: firweir_capnp::upstream::Reader<'_>) -> Result<Upstream, WireError> {
    Ok(Upstream {
        service: reader.get_service()?.to_str()?.to_owned(),
        address: reader.get_address()?.to_str()?.parse()?,
        zone: reader.get_zone()?.to_str()?.to_owned(),
        leaving: reader.get_leaving(),
    })
}

/// Writes one upstream.
pub fn write_upstream(upstream: &Upstream, mut builder: firweir_capnp::upstream::Builder<'_>) {
    builder.set_service(&upstream.service);
    builder.set_address(upstream.address.to_string());
    builder.set_zone(&upstream.zone);
    builder.set_leaving(upstream.leaving);
}

/// Reads a view from a message. The configuration is left out of it if its
/// revision is the one of `known`.
pub fn read_view(reader: firweir_capnp::view::Reader<'_>, known: &View) -> Result<View, WireError> {
    let document = reader.get_config()?;
    let config = if document.is_empty() && reader.get_revision() == known.revision {
        known.config.clone()
    } else {
        Config::from_document(&serde_json::from_slice(document)?)?
    };
    let mut upstreams = Vec::new();
    for upstream in reader.get_upstreams()? {
        upstreams.push(read_upstream(upstream)?);
    }
    Ok(View {
        generation: reader.get_generation(),
        revision: reader.get_revision(),
        config,
        members: read_members(reader.get_members()?)?,
        upstreams,
        observed: read_all_observed(reader.get_observed()?)?,
    })
}
