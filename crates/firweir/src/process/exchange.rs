//! What two stewards tell each other in one exchange, and its form on the wire.
//!
//! Everything from a peer is checked here before it is taken in.

use std::time::Duration;

use crate::process::upstreams::UpstreamRow;
use crate::version::folder::HeadNews;
use crate::version::view::Member;
use crate::version::view::Observed;
use crate::version::view::WireError;
use crate::version::view::read_all_observed;
use crate::version::view::read_members;
use crate::version::view::read_upstream;
use crate::version::view::write_all_observed;
use crate::version::view::write_members;
use crate::version::view::write_upstream;
use crate::wire::firweir_capnp;
use crate::wire::firweir_capnp::steward;

/// Most members that a message may name: four times the target of 420.
const MEMBERS_LIMIT: u32 = 2_048;

/// Most upstreams that a message may name: three times the target of 4,800.
const UPSTREAMS_LIMIT: u32 = 16_384;

/// Most services or suspects in one VM's report.
const REPORT_LIMIT: usize = 1_024;

/// Longest name of a VM, zone or service.
const NAME_LIMIT_BYTES: usize = 256;

/// A VM whose clock is further ahead than this is refused: its incarnation could
/// hardly be surpassed once its clock is put right.
const CLOCK_AHEAD: Duration = Duration::from_secs(86_400);

/// One side's part of an exchange.
#[derive(Debug, Clone, Default)]
pub struct Told {
    /// Members that changed, or all.
    pub members: Vec<Member>,
    /// Reports that changed, or all.
    pub observed: Vec<Observed>,
    /// Upstreams that changed, or all.
    pub upstreams: Vec<UpstreamRow>,
    /// Hash of all that the teller knows of members and upstreams.
    pub digest: u64,
    /// Configuration revision that the teller holds.
    pub revision: u64,
    /// The configuration, for a listener that lacks it.
    pub head: Option<HeadNews>,
}

impl Told {
    /// Writes it as the question of an exchange.
    pub fn write_params(
        &self,
        mut params: steward::exchange_params::Builder<'_>,
    ) -> Result<(), WireError> {
        let members = params.reborrow().init_members(self.members.len() as u32);
        write_members(&self.members, members);
        let observed = params.reborrow().init_observed(self.observed.len() as u32);
        write_all_observed(&self.observed, observed);
        let upstreams = params
            .reborrow()
            .init_upstreams(self.upstreams.len() as u32);
        write_rows(&self.upstreams, upstreams);
        params.set_digest(self.digest);
        self.write_config(params.init_config())
    }

    /// Writes it as the answer of an exchange.
    pub fn write_results(
        &self,
        mut results: steward::exchange_results::Builder<'_>,
    ) -> Result<(), WireError> {
        let members = results.reborrow().init_members(self.members.len() as u32);
        write_members(&self.members, members);
        let observed = results.reborrow().init_observed(self.observed.len() as u32);
        write_all_observed(&self.observed, observed);
        let upstreams = results
            .reborrow()
            .init_upstreams(self.upstreams.len() as u32);
        write_rows(&self.upstreams, upstreams);
        results.set_digest(self.digest);
        self.write_config(results.init_config())
    }

    /// Reads and checks the question of an exchange.
    pub fn read_params(
        params: steward::exchange_params::Reader<'_>,
        since_epoch: Duration,
    ) -> Result<Self, WireError> {
        let mut told = Self {
            members: read_members(limited(params.get_members()?, MEMBERS_LIMIT, "members")?)?,
            observed: read_all_observed(limited(
                params.get_observed()?,
                MEMBERS_LIMIT,
                "reports",
            )?)?,
            upstreams: read_rows(params.get_upstreams()?)?,
            digest: params.get_digest(),
            ..Self::default()
        };
        told.read_config(params.get_config()?)?;
        told.check(since_epoch)?;
        Ok(told)
    }

    /// Reads and checks the answer of an exchange.
    pub fn read_results(
        results: steward::exchange_results::Reader<'_>,
        since_epoch: Duration,
    ) -> Result<Self, WireError> {
        let mut told = Self {
            members: read_members(limited(results.get_members()?, MEMBERS_LIMIT, "members")?)?,
            observed: read_all_observed(limited(
                results.get_observed()?,
                MEMBERS_LIMIT,
                "reports",
            )?)?,
            upstreams: read_rows(results.get_upstreams()?)?,
            digest: results.get_digest(),
            ..Self::default()
        };
        told.read_config(results.get_config()?)?;
        told.check(since_epoch)?;
        Ok(told)
    }

    fn write_config(
        &self,
        mut config: firweir_capnp::config_document::Builder<'_>,
    ) -> Result<(), WireError> {
        config.set_revision(self.revision);
        match &self.head {
            None => {}
            Some(HeadNews::Whole(head)) => config.set_document(&serde_json::to_vec(head)?),
            Some(HeadNews::Changes(changes)) => config.set_changes(&serde_json::to_vec(changes)?),
        }
        Ok(())
    }

    fn read_config(
        &mut self,
        config: firweir_capnp::config_document::Reader<'_>,
    ) -> Result<(), WireError> {
        self.revision = config.get_revision();
        let (document, changes) = (config.get_document()?, config.get_changes()?);
        self.head = if !changes.is_empty() {
            Some(HeadNews::Changes(serde_json::from_slice(changes)?))
        } else if !document.is_empty() {
            Some(HeadNews::Whole(serde_json::from_slice(document)?))
        } else {
            None
        };
        Ok(())
    }

    fn check(&self, since_epoch: Duration) -> Result<(), WireError> {
        let latest_ms = (since_epoch + CLOCK_AHEAD).as_millis() as u64;
        for member in &self.members {
            let names = [&member.node, &member.zone];
            if names.iter().any(|name| name.len() > NAME_LIMIT_BYTES) {
                return Err(WireError::TooLarge("name"));
            }
            if member.incarnation > latest_ms {
                return Err(WireError::FromTheFuture(member.node.clone()));
            }
        }
        for report in &self.observed {
            if report.demands.len().max(report.suspects.len()) > REPORT_LIMIT {
                return Err(WireError::TooLarge("report"));
            }
        }
        Ok(())
    }
}

fn limited<'a, T: capnp::traits::OwnedStruct>(
    list: capnp::struct_list::Reader<'a, T>,
    limit: u32,
    what: &'static str,
) -> Result<capnp::struct_list::Reader<'a, T>, WireError> {
    if list.len() > limit {
        return Err(WireError::TooLarge(what));
    }
    Ok(list)
}

fn write_rows(
    rows: &[UpstreamRow],
    mut builder: capnp::struct_list::Builder<'_, firweir_capnp::upstream_row::Owned>,
) {
    for (index, row) in rows.iter().enumerate() {
        let mut item = builder.reborrow().get(index as u32);
        item.set_stamp(row.stamp);
        item.set_listed(row.listed);
        write_upstream(&row.upstream, item.init_upstream());
    }
}

fn read_rows(
    reader: capnp::struct_list::Reader<'_, firweir_capnp::upstream_row::Owned>,
) -> Result<Vec<UpstreamRow>, WireError> {
    let rows = limited(reader, UPSTREAMS_LIMIT, "upstreams")?.iter();
    rows.map(|row| {
        Ok(UpstreamRow {
            upstream: read_upstream(row.get_upstream()?)?,
            stamp: row.get_stamp(),
            listed: row.get_listed(),
        })
    })
    .collect()
}
