//! A steward's exchanges with its peers, which are also its probes of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::connection::client::within;
use crate::process::exchange::Told;
use crate::process::steward::Steward;
use crate::version::view::MemberState;
use crate::version::view::WireError;

/// Time between exchanges that a VM starts. It is asked by as many others as it
/// asks, so that it takes part in four messages a second.
const ROUND_EVERY: Duration = Duration::from_millis(500);

/// Time between exchanges of a VM that has learnt something of members,
/// upstreams or configuration: such news crosses 420 VMs in about ten exchanges,
/// and a wrong suspicion has to be refuted everywhere before its time is up.
const HURRIED_EVERY: Duration = Duration::from_millis(150);

/// A VM hurries for this long after it has learnt something: once round its
/// neighbours at 420 VMs.
const HURRY: Duration = Duration::from_millis(1_500);

/// Time between exchanges of a VM that is not ready yet.
const START_EVERY: Duration = Duration::from_millis(50);

/// An exchange that takes longer has failed: latencies are around a millisecond,
/// and one lost packet is sent again after 200 ms.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// A VM asked to probe another one gives up after this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Its answer has to be back by then.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// VMs asked to probe one that did not answer, so that a bad path from here
/// alone is not taken for a death.
const HELPERS: usize = 3;

/// A round cannot take longer than its timeouts: if it did, this VM stood still,
/// and answers may wait unread.
const ROUND_LIMIT: Duration = Duration::from_millis(1_250);

/// Each such round also tries a VM that is held for dead or was never met:
/// halves that were apart meet again through it.
const ABSENT_ROUNDS: usize = 10;

/// A fresh steward serves programs once it has exchanged with this many VMs, or
/// has tried all that it has heard of: with 9 VMs it then holds the newest revision that any
/// of them holds, and with 420 it is no further behind than a change that is
/// still spreading.
const READY_PEERS: usize = 8;

/// Digests that differ are news on their way, unless nothing has arrived for
/// one round a doubling of the VMs: then something was missed, and all is
/// compared. 420 VMs are nine doublings. With the time of 420 VMs at any size,
/// 9 VMs that started at once knew of seven for ten seconds.
const SPREADING_PER_DOUBLING: Duration = ROUND_EVERY;

/// Time between comparisons of all, in times of spreading. One costs 140 bytes
/// a VM: 60 KB every nine seconds at 420 VMs, 1.3 KB every four at 9.
const WHOLE_SPREADINGS: u32 = 2;

/// Whom a round goes to.
#[derive(Debug, Clone)]
struct Target {
    /// Its name, if it is a member.
    node: Option<String>,
    address: SocketAddr,
}

impl Steward {
    pub(in crate::process) async fn exchange_forever(self: Rc<Self>) {
        let mut turn: usize = self.random.borrow_mut().random_range(0..64);
        loop {
            self.age_members();
            if let Some(target) = self.target(turn) {
                let steward = Rc::clone(&self);
                self.parts.tasks.spawn_local(steward.round(target));
            }
            if turn.is_multiple_of(ABSENT_ROUNDS)
                && let Some(target) = self.absent_target()
            {
                let steward = Rc::clone(&self);
                self.parts.tasks.spawn_local(steward.round(target));
            }
            turn = turn.wrapping_add(1);
            self.pause().await;
        }
    }

    /// Waits until the next exchange is due; news that arrives meanwhile hurries it.
    async fn pause(&self) {
        if !self.is_ready() {
            tokio::time::sleep(START_EVERY).await;
            return;
        }
        tokio::time::sleep(HURRIED_EVERY).await;
        if self.has_news() {
            return;
        }
        let rest = ROUND_EVERY.saturating_sub(HURRIED_EVERY);
        _ = within(rest, self.news.notified()).await;
    }

    fn has_news(&self) -> bool {
        let now = self.parts.clock.now();
        let changed = self.state.borrow().changed_at;
        changed.is_some_and(|at| now.duration_since(at) < HURRY)
    }

    /// An exchange with a third VM succeeds.
    pub(in crate::process) async fn reaches(&self, node: &str, target: SocketAddr) -> bool {
        let exchanged = within(PROBE_TIMEOUT, self.exchange_with(target, false)).await;
        if let Some(Ok(answered)) = exchanged {
            return answered == node;
        }
        self.peers.forget(target);
        false
    }

    fn age_members(&self) {
        let now = self.parts.clock.now();
        if self.state.borrow_mut().membership.tick(now) {
            self.parts.journal.event("members_dead", &[]);
            self.note_change();
        }
    }

    fn target(&self, turn: usize) -> Option<Target> {
        if !self.is_ready()
            && let Some(target) = self.untried_target(turn)
        {
            return Some(target);
        }
        let state = self.state.borrow();
        let neighbours = state.membership.neighbours();
        let member = match neighbours.len() {
            0 => None,
            count => Some(neighbours[turn % count]),
        };
        if let Some(member) = member {
            return Some(Target {
                node: Some(member.node.clone()),
                address: member.steward_address,
            });
        }
        drop(state);
        self.absent_target()
    }

    /// A VM that the VM list or the settings name and that is not known as alive.
    fn absent_target(&self) -> Option<Target> {
        let own = self.parts.settings.steward_listen;
        let state = self.state.borrow();
        let dead = state.membership.iter();
        let dead = dead.filter(|member| member.state == MemberState::Dead);
        let mut absent: Vec<SocketAddr> = dead.map(|member| member.steward_address).collect();
        absent.extend(state.listed.iter().map(|vm| vm.steward));
        absent.extend(&self.parts.settings.seeds);
        let mut known: Vec<SocketAddr> = state
            .membership
            .iter()
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.steward_address)
            .collect();
        known.sort();
        absent.retain(|address| *address != own && known.binary_search(address).is_err());
        let address = *absent.choose(&mut *self.random.borrow_mut())?;
        Some(Target {
            node: None,
            address,
        })
    }

    /// One exchange; if it fails, others are asked to try, and if they fail too,
    /// the VM is suspect.
    async fn round(self: Rc<Self>, target: Target) {
        let start = self.parts.clock.now();
        let whole = self.wants_whole(start);
        let exchanged = within(EXCHANGE_TIMEOUT, self.exchange_with(target.address, whole)).await;
        self.note_tried(target.address);
        match exchanged {
            Some(Ok(node)) if target.node.as_ref().is_none_or(|it| *it == node) => return,
            // Another VM has its address now: the one that is meant is gone.
            Some(Ok(_)) => self.parts.journal.count("steward.address_reused"),
            Some(Err(error)) if is_answer(&error) => {
                self.note_refused(&error);
                return;
            }
            Some(Err(_)) | None => {
                self.peers.forget(target.address);
                self.parts.journal.count("steward.exchange_failed");
            }
        }
        let Some(node) = target.node else {
            return;
        };
        if self.others_reach(&node, target.address).await {
            return;
        }
        let now = self.parts.clock.now();
        if now.duration_since(start) > ROUND_LIMIT {
            return;
        }
        if self.state.borrow_mut().membership.unreached(&node, now) {
            self.parts
                .journal
                .event("member_unreached", &[("member", &node)]);
            self.note_change();
        }
    }

    async fn others_reach(&self, node: &str, target: SocketAddr) -> bool {
        let helpers: Vec<SocketAddr> = {
            let state = self.state.borrow();
            let peers: Vec<SocketAddr> = state
                .membership
                .alive_peers()
                .filter(|peer| peer.node != node)
                .map(|peer| peer.steward_address)
                .collect();
            let chosen = peers.choose_multiple(&mut *self.random.borrow_mut(), HELPERS);
            chosen.copied().collect()
        };
        let asked = helpers.iter().map(|helper| self.ask(*helper, node, target));
        join_all(asked).await.contains(&true)
    }

    async fn ask(&self, helper: SocketAddr, node: &str, target: SocketAddr) -> bool {
        let asking = async {
            let peer = self.peers.get(helper).await?;
            let mut request = peer.probe_request();
            request.get().set_target(target.to_string());
            request.get().set_node(node);
            self.write_hello(request.get().init_hello());
            let response = request.send().promise.await?;
            Ok::<bool, capnp::Error>(response.get()?.get_reached())
        };
        matches!(within(ASK_TIMEOUT, asking).await, Some(Ok(true)))
    }

    /// Exchanges with whoever is at an address; gives its name.
    async fn exchange_with(&self, to: SocketAddr, whole: bool) -> Result<String, WireError> {
        let node = {
            let state = self.state.borrow();
            let mut members = state.membership.iter();
            let member = members.find(|member| member.steward_address == to);
            member.map(|member| member.node.clone())
        };
        let told = self.told(node.as_deref(), whole);
        let (node, theirs) = self.send_exchange(to, &told, whole).await?;
        if let Some(head) = self.head_for(theirs) {
            let pushed = Told {
                head: Some(head),
                ..self.told(None, false)
            };
            self.send_exchange(to, &pushed, false).await?;
        }
        self.greet(node.clone());
        Ok(node)
    }

    /// Tells and listens; gives the peer's name and the revision it holds.
    async fn send_exchange(
        &self,
        to: SocketAddr,
        told: &Told,
        whole: bool,
    ) -> Result<(String, u64), WireError> {
        let peer = self.peers.get(to).await?;
        let mut request = peer.exchange_request();
        self.write_hello(request.get().init_hello());
        request.get().set_whole(whole);
        told.write_params(request.get())?;
        let response = request.send().promise.await?;
        let results = response.get()?;
        let node = results.get_hello()?.get_node()?.to_str()?.to_owned();
        let heard = Told::read_results(results, self.parts.clock.since_epoch())?;
        let theirs = heard.revision;
        let fresh = whole && self.state.borrow().comparison.whole_at.is_none();
        self.compare(heard.digest, whole);
        self.take_told(heard, fresh)?;
        Ok((node, theirs))
    }

    fn write_hello(&self, mut hello: crate::wire::firweir_capnp::hello::Builder<'_>) {
        hello.set_deployment(&self.parts.settings.deployment);
        hello.set_node(&self.parts.settings.node);
    }

    /// A VM that a fresh steward has heard of by any way and not tried yet. One
    /// that its first peer holds for dead is among them: that peer may itself be
    /// cut off, and hold all others for dead.
    fn untried_target(&self, turn: usize) -> Option<Target> {
        let own = self.parts.settings.steward_listen;
        let state = self.state.borrow();
        let mut known: Vec<SocketAddr> = state
            .membership
            .iter()
            .map(|member| member.steward_address)
            .chain(state.listed.iter().map(|vm| vm.steward))
            .chain(self.parts.settings.seeds.iter().copied())
            .collect();
        known.sort();
        known.dedup();
        known.retain(|it| *it != own && state.tried.binary_search(it).is_err());
        let address = *known.get(turn % known.len().max(1))?;
        Some(Target {
            node: None,
            address,
        })
    }

    /// Notes that a peer was met.
    fn greet(&self, node: String) {
        let mut state = self.state.borrow_mut();
        if let Err(position) = state.greeted.binary_search(&node)
            && !self.is_ready()
        {
            state.greeted.insert(position, node);
        }
    }

    /// Notes that an exchange with this address has ended, well or not. A VM that
    /// has met enough peers, or tried all it has heard of, holds the newest
    /// revision that it can learn of, even with the object API down.
    fn note_tried(&self, address: SocketAddr) {
        if self.is_ready() {
            return;
        }
        let met = {
            let mut state = self.state.borrow_mut();
            if let Err(position) = state.tried.binary_search(&address) {
                state.tried.insert(position, address);
            }
            state.greeted.len()
        };
        if met >= READY_PEERS || (met > 0 && self.untried_target(0).is_none()) {
            self.set_ready();
        }
    }

    fn compare(&self, theirs: u64, whole: bool) {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        let same = state.digest() == theirs;
        let comparison = &mut state.comparison;
        if same {
            comparison.differs_since = None;
        } else if comparison.differs_since.is_none() {
            comparison.differs_since = Some(now);
        }
        if whole {
            comparison.whole_at = Some(now);
            comparison.differs_since = None;
        }
    }

    /// The next exchange compares all: a fresh steward knows nothing yet, and one
    /// whose digests have differed from its peers' for long has missed something.
    fn wants_whole(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let passed = |since: Instant, time| now.duration_since(since) >= time;
        match state.comparison.whole_at {
            None => true,
            Some(at) => {
                let vms = state.membership.alive_peers().count() as u32 + 1;
                let doublings = u32::BITS - vms.leading_zeros();
                let spreading = SPREADING_PER_DOUBLING * doublings;
                let differs = state.comparison.differs_since;
                passed(at, spreading * WHOLE_SPREADINGS)
                    && differs.is_some_and(|since| passed(since, spreading))
            }
        }
    }
}

/// The peer refused the message: it is alive.
fn is_answer(error: &WireError) -> bool {
    match error {
        WireError::Capnp(error) => error.kind == capnp::ErrorKind::Failed,
        _ => true,
    }
}
