//! How a holder keeps the bodies of its lots in vaults, and gets them back.
//!
//! Way of placing: the vaults of live VMs in rendezvous order by feed, one for
//! each availability zone first, until two hold the lot.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::connection::client::within;
use crate::connection::peer::Peers;
use crate::process::run::Parts;
use crate::process::vault::write_key;
use crate::request::lot::Lot;
use crate::request::record::LotKey;
use crate::request::record::LotRecord;
use crate::version::view::Member;
use crate::version::view::MemberState;
use crate::version::view::SharedView;
use crate::version::view::View;
use crate::version::view::WireError;
use crate::wire::firweir_capnp::VaultOutcome;
use crate::wire::firweir_capnp::vault;

/// Pause before a call that failed is made again.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Copies of a lot: one may be lost with its VM or its zone.
const COPIES: usize = 2;

/// Bytes of one message to a vault; small beside what a connection may carry.
const PART_BYTES: usize = 1 << 20;

/// A vault syncs its disk within this, or is passed over.
const PART_TIMEOUT: Duration = Duration::from_secs(5);

/// A lot waits this long for its second copy: longer than it takes until a dead
/// VM is known to be dead and another vault is chosen.
const KEEP_PATIENCE: Duration = Duration::from_secs(15);

/// A new holder waits this long for vaults that do not answer: a VM's programs
/// are restarted within it. Past it the lot is drafted anew, which costs a step's
/// time and never a wrong lot.
const FETCH_PATIENCE: Duration = Duration::from_secs(20);

/// What became of a lot's bodies.
#[derive(Debug)]
pub enum Fetched {
    /// They are the very ones that the record names.
    Lot(Lot),
    /// Every vault that had them has lost them, or none ever had.
    Lost,
    /// A vault that may have them does not answer.
    Unreachable,
}

/// Client of all vaults.
#[derive(Debug)]
pub struct Copies {
    view: SharedView,
    vaults: Peers<vault::Client>,
}

impl Copies {
    /// A client that finds vaults in this view.
    #[must_use]
    pub fn new(parts: &Parts, view: SharedView) -> Self {
        Self {
            view,
            vaults: Peers::new(parts),
        }
    }

    /// Puts copies of a lot into vaults, and names the VMs whose vaults hold it.
    ///
    /// With two vaults or more there are two copies, in two zones if the vaults
    /// are; fewer only if vaults have failed for [`KEEP_PATIENCE`]. Lots of the
    /// feed below `floor_step` are needed no longer.
    pub async fn keep(&self, lot: &Lot, floor_step: u64) -> Vec<String> {
        let Ok(body) = serde_json::to_vec(lot) else {
            return Vec::new();
        };
        let key = lot.key();
        let mut kept: Vec<Member> = Vec::new();
        let putting = async {
            loop {
                let view = self.view.load_full();
                let vaults = by_rendezvous(&view, &lot.feed);
                let wanted = COPIES.min(vaults.len());
                for member in spread(&vaults, &kept) {
                    if kept.len() >= wanted {
                        break;
                    }
                    let known = kept.iter().any(|held| held.node == member.node);
                    if !known && self.put(member, &key, &body, floor_step).await {
                        kept.push(member.clone());
                    }
                }
                if kept.len() >= wanted {
                    break;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        };
        _ = within(KEEP_PATIENCE, putting).await;
        kept.into_iter().map(|member| member.node).collect()
    }

    /// Gets the lot that a record names, waiting for vaults that are away.
    pub async fn fetch_patiently(&self, feed: &str, record: &LotRecord) -> Option<Lot> {
        let fetching = async {
            loop {
                match self.fetch(feed, record).await {
                    Fetched::Lot(lot) => return Some(lot),
                    Fetched::Lost => return None,
                    Fetched::Unreachable => tokio::time::sleep(RETRY_PAUSE).await,
                }
            }
        };
        within(FETCH_PATIENCE, fetching).await.flatten()
    }

    /// Gets the lot that a record names from any vault that has it.
    pub async fn fetch(&self, feed: &str, record: &LotRecord) -> Fetched {
        let key = record.key(feed);
        let view = self.view.load_full();
        let mut unreachable = false;
        for node in &record.vaults {
            let member = view.members.iter().find(|member| member.node == *node);
            match self.get_from(member, &key).await {
                Fetched::Lot(lot) => return Fetched::Lot(lot),
                Fetched::Lost => {}
                Fetched::Unreachable => unreachable = true,
            }
        }
        if unreachable {
            Fetched::Unreachable
        } else {
            Fetched::Lost
        }
    }

    async fn put(&self, member: &Member, key: &LotKey, body: &[u8], floor_step: u64) -> bool {
        let chunks: Vec<&[u8]> = body.chunks(PART_BYTES).collect();
        let parts = chunks.len() as u32;
        let mut next = 0;
        while next < parts {
            let data = chunks[next as usize];
            let call = self.append(member, key, (next, parts), data, floor_step);
            match within(PART_TIMEOUT, call).await {
                Some(Ok((VaultOutcome::Done, held))) => next = held.max(next + 1),
                // The vault cut off a torn part: it goes on from what it holds.
                Some(Ok((VaultOutcome::OutOfOrder, held))) if held < next => next = held,
                Some(Ok(_)) => return false,
                Some(Err(_)) | None => {
                    self.forget(member);
                    return false;
                }
            }
        }
        true
    }

    async fn append(
        &self,
        member: &Member,
        key: &LotKey,
        (part, parts): (u32, u32),
        data: &[u8],
        floor_step: u64,
    ) -> Result<(VaultOutcome, u32), WireError> {
        let Some(address) = member.vault_address else {
            return Ok((VaultOutcome::Missing, 0));
        };
        let mut request = self.vaults.get(address).await?.append_request();
        let mut message = request.get().init_part();
        write_key(key, message.reborrow().init_key());
        message.set_part(part);
        message.set_parts(parts);
        message.set_data(data);
        message.set_floor_step(floor_step);
        let response = request.send().promise.await?;
        let results = response.get()?;
        Ok((results.get_outcome()?, results.get_held()))
    }

    async fn get_from(&self, member: Option<&Member>, key: &LotKey) -> Fetched {
        let Some(member) = member else {
            return Fetched::Unreachable;
        };
        let mut body = Vec::new();
        let mut parts = 1;
        let mut next = 0;
        while next < parts {
            match within(PART_TIMEOUT, self.read(member, key, next)).await {
                Some(Ok((VaultOutcome::Done, all, data))) => {
                    parts = all;
                    body.extend(data);
                }
                Some(Ok(_)) => return Fetched::Lost,
                Some(Err(_)) | None => {
                    self.forget(member);
                    return Fetched::Unreachable;
                }
            }
            next += 1;
        }
        let lot: Option<Lot> = serde_json::from_slice(&body).ok();
        match lot.filter(|lot| lot.is_intact() && lot.key() == *key) {
            Some(lot) => Fetched::Lot(lot),
            None => Fetched::Lost,
        }
    }

    async fn read(
        &self,
        member: &Member,
        key: &LotKey,
        part: u32,
    ) -> Result<(VaultOutcome, u32, Vec<u8>), WireError> {
        let Some(address) = member.vault_address else {
            return Ok((VaultOutcome::Missing, 0, Vec::new()));
        };
        let mut request = self.vaults.get(address).await?.read_request();
        write_key(key, request.get().init_key());
        request.get().set_part(part);
        let response = request.send().promise.await?;
        let results = response.get()?;
        let data = results.get_data()?.to_vec();
        Ok((results.get_outcome()?, results.get_parts(), data))
    }

    fn forget(&self, member: &Member) {
        if let Some(address) = member.vault_address {
            self.vaults.forget(address);
        }
    }
}

/// Live VMs with a vault, in the order in which this feed prefers them.
fn by_rendezvous<'a>(view: &'a View, feed: &str) -> Vec<&'a Member> {
    let alive = |member: &&Member| member.state == MemberState::Alive;
    let mut vaults: Vec<(u64, &Member)> = view
        .members
        .iter()
        .filter(alive)
        .filter(|member| member.vault_address.is_some())
        .map(|member| {
            (
                xxh3_64(format!("{feed}/{}", member.node).as_bytes()),
                member,
            )
        })
        .collect();
    vaults.sort_by(|left, right| (left.0, &left.1.node).cmp(&(right.0, &right.1.node)));
    vaults.into_iter().map(|(_, member)| member).collect()
}

/// The vaults in the order to try them: those of zones without a copy first, one
/// of each zone before the second of any.
fn spread<'a>(vaults: &[&'a Member], kept: &[Member]) -> Vec<&'a Member> {
    let mut zones: Vec<&str> = kept.iter().map(|member| member.zone.as_str()).collect();
    let mut first = Vec::new();
    let mut rest = Vec::new();
    for member in vaults {
        if zones.contains(&member.zone.as_str()) {
            rest.push(*member);
        } else {
            zones.push(&member.zone);
            first.push(*member);
        }
    }
    first.extend(rest);
    first
}
