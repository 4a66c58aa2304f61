//! One steward per VM: membership, configuration and upstreams, in one view for
//! the local entry and feed.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::connection::client::within;
use crate::connection::object::Etag;
use crate::connection::object::ObjectApi;
use crate::connection::object::VmList;
use crate::connection::peer;
use crate::connection::peer::Peers;
use crate::process::membership::Membership;
use crate::process::observations::Observations;
use crate::process::run::Parts;
use crate::version::config::Config;
use crate::version::folder::Head;
use crate::version::view::Member;
use crate::version::view::MemberState;
use crate::version::view::Observed;
use crate::version::view::View;
use crate::version::view::WireError;
use crate::version::view::read_all_observed;
use crate::version::view::read_members;
use crate::version::view::read_observed;
use crate::version::view::write_all_observed;
use crate::version::view::write_members;
use crate::wire::firweir_capnp::steward;

/// Key of the configuration head in the object API.
pub const CONFIG_KEY: &str = "config/head";

/// Time between exchanges with one random peer: news crosses 420 VMs in about
/// nine rounds, well within the 8 s that a change may take.
const EXCHANGE_EVERY: Duration = Duration::from_millis(500);

/// An exchange that takes longer is given up.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between reads of the VM list.
const VM_LIST_EVERY: Duration = Duration::from_secs(1);

/// A watch on the configuration head waits this long at the object API.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call of the object API.
const API_PAUSE: Duration = Duration::from_millis(500);

/// A view waits this long for news before it is answered unchanged.
const VIEW_WAIT: Duration = Duration::from_secs(5);

/// A program not heard of for this long counts as gone from the VM.
const PROGRAM_GONE: Duration = Duration::from_secs(12);

/// Most members that a message may name: four times the target of 420.
const MEMBERS_LIMIT: u32 = 2_048;

/// A program of this VM that follows the steward's view.
#[derive(Debug, Clone)]
struct Program {
    name: String,
    revision: u64,
    heard: std::time::Instant,
}

#[derive(Debug)]
struct State {
    membership: Membership,
    head: Head,
    vms: VmList,
    programs: Vec<Program>,
    observations: Observations,
    view: View,
}

/// The steward of one VM.
#[derive(Debug)]
pub struct Steward {
    parts: Parts,
    api: ObjectApi,
    peers: Peers<steward::Client>,
    state: RefCell<State>,
    published: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    random: RefCell<Pcg64Mcg>,
    incarnation: u64,
    left: Cell<bool>,
}

/// Starts a steward; gives the address where it takes peers.
///
/// # Errors
///
/// The address cannot be listened at.
pub async fn start(parts: Parts) -> std::io::Result<SocketAddr> {
    let (address, _steward) = start_seen(parts).await?;
    Ok(address)
}

/// As [`start`], for a process that also looks at the steward itself.
///
/// # Errors
///
/// The address cannot be listened at.
pub async fn start_seen(parts: Parts) -> std::io::Result<(SocketAddr, Rc<Steward>)> {
    let steward = Rc::new(Steward::new(parts));
    let parts = steward.parts.clone();
    let client: steward::Client = capnp_rpc::new_client(Service(Rc::clone(&steward)));
    let at = parts.settings.steward_listen;
    let (address, serving) = peer::serve(&parts.net, &parts.tasks, at, client.client).await?;
    parts.tasks.spawn_local(serving);
    parts.tasks.spawn_local(Rc::clone(&steward).watch_config());
    parts.tasks.spawn_local(Rc::clone(&steward).read_vm_list());
    parts
        .tasks
        .spawn_local(Rc::clone(&steward).exchange_forever());
    parts
        .tasks
        .spawn_local(Rc::clone(&steward).leave_on_drain());
    parts
        .journal
        .event("steward_started", &[("address", &address)]);
    Ok((address, steward))
}

impl Steward {
    fn new(parts: Parts) -> Self {
        let settings = &parts.settings;
        let own = Member {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            incarnation: parts.clock.since_epoch().as_millis() as u64,
            counter: 0,
            state: MemberState::Alive,
            steward_address: settings.steward_listen,
            draft_address: settings.draft_listen,
            feed_address: settings.feed_listen,
            revision: 0,
            vault_address: settings.vault_listen,
        };
        let generation = own.incarnation;
        let membership = Membership::new(own, parts.clock.now());
        let view = View {
            generation,
            members: membership.members(),
            ..View::default()
        };
        let state = State {
            membership,
            head: Head::default(),
            vms: VmList::default(),
            programs: Vec::new(),
            observations: Observations::default(),
            view,
        };
        Self {
            api: parts.object_api("steward"),
            peers: Peers::new(&parts),
            state: RefCell::new(state),
            published: watch::Sender::new(generation),
            ready: watch::Sender::new(false),
            random: RefCell::new(parts.random(1)),
            incarnation: generation,
            left: Cell::new(false),
            parts,
        }
    }

    /// Revision of the configuration that it holds.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().head.revision
    }

    /// Members that it believes to be in this state.
    #[must_use]
    pub fn count(&self, state: MemberState) -> usize {
        self.state.borrow().membership.count(state)
    }

    /// What it believes of a member.
    #[must_use]
    pub fn state_of(&self, node: &str) -> Option<MemberState> {
        self.state.borrow().membership.state_of(node)
    }

    /// Takes in a configuration head unless a newer one is already held: a
    /// revision is a floor, and a stale peer or a late answer must not lower it.
    fn take_head(&self, head: Head) {
        let known = self.state.borrow().head.revision;
        if head.revision <= known {
            return;
        }
        match Config::from_document(&head.document()) {
            Ok(config) => {
                self.parts
                    .journal
                    .event("config_taken", &[("revision", &head.revision)]);
                let mut state = self.state.borrow_mut();
                state.view.config = config;
                state.view.revision = head.revision;
                state.head = head;
            }
            Err(error) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("revision", &head.revision), ("error", &error)];
                self.parts.journal.event("config_refused", &fields);
                return;
            }
        }
        self.publish();
    }

    /// Shows the present state to the VM's programs.
    fn publish(&self) {
        let generation = {
            let mut state = self.state.borrow_mut();
            state.view.generation += 1;
            state.view.members = state.membership.members();
            let mut upstreams = state.vms.upstreams.clone();
            upstreams.sort();
            state.view.upstreams = upstreams;
            state.view.observed = state.observations.reports().to_vec();
            state.view.generation
        };
        self.published.send_replace(generation);
    }

    async fn watch_config(self: Rc<Self>) {
        let mut known: Option<Etag> = None;
        loop {
            let watched = match &known {
                None => self.api.read::<Head>(CONFIG_KEY).await,
                Some(etag) => self.api.watch(CONFIG_KEY, Some(etag), WATCH_WAIT).await,
            };
            match watched {
                Ok(Some(head)) => {
                    known = Some(head.etag);
                    self.take_head(head.value);
                    self.ready.send_replace(true);
                }
                Ok(None) if known.is_some() => {}
                Ok(None) => {
                    self.ready.send_replace(true);
                    tokio::time::sleep(API_PAUSE).await;
                }
                Err(error) => {
                    self.parts
                        .journal
                        .event("object_api_failed", &[("error", &error)]);
                    tokio::time::sleep(API_PAUSE).await;
                }
            }
        }
    }

    async fn read_vm_list(self: Rc<Self>) {
        loop {
            if let Ok(vms) = self.api.vm_list().await {
                let changed = self.state.borrow().vms != vms;
                if changed {
                    self.state.borrow_mut().vms = vms;
                    self.publish();
                }
            }
            tokio::time::sleep(VM_LIST_EVERY).await;
        }
    }

    async fn exchange_forever(self: Rc<Self>) {
        loop {
            let now = self.parts.clock.now();
            self.refresh_own_row(now);
            if self.state.borrow_mut().membership.tick(now) {
                self.publish();
            }
            if let Some(to) = self.random_peer() {
                let exchange = within(EXCHANGE_TIMEOUT, self.exchange_with(to)).await;
                if !matches!(exchange, Some(Ok(()))) {
                    self.peers.forget(to);
                }
            }
            tokio::time::sleep(EXCHANGE_EVERY).await;
        }
    }

    fn refresh_own_row(&self, now: std::time::Instant) {
        let mut state = self.state.borrow_mut();
        state
            .programs
            .retain(|program| now.duration_since(program.heard) < PROGRAM_GONE);
        let revision_of = |name: &str| {
            state
                .programs
                .iter()
                .find(|program| program.name == name)
                .map(|held| held.revision)
        };
        let revision = revision_of("entry")
            .unwrap_or(0)
            .min(revision_of("feed").unwrap_or(0));
        let left = self.left.get();
        if let Some(own) = state.membership.own_mut() {
            own.revision = revision;
            if left {
                own.state = MemberState::Leaving;
            }
        }
    }

    fn random_peer(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let own = self.parts.settings.steward_listen;
        let mut peers: Vec<SocketAddr> = state
            .membership
            .peers()
            .iter()
            .map(|member| member.steward_address)
            .collect();
        if peers.is_empty() {
            peers.extend(state.vms.entries.iter().map(|vm| vm.steward));
            peers.extend(&self.parts.settings.seeds);
            peers.retain(|address| *address != own);
        }
        if peers.is_empty() {
            return None;
        }
        let index = self.random.borrow_mut().random_range(0..peers.len());
        Some(peers[index])
    }

    async fn exchange_with(&self, to: SocketAddr) -> Result<(), WireError> {
        let peer = self.peers.get(to).await?;
        let mut request = peer.exchange_request();
        {
            let state = self.state.borrow();
            let mut hello = request.get().init_hello();
            hello.set_deployment(&self.parts.settings.deployment);
            hello.set_node(&self.parts.settings.node);
            let members = state.membership.members();
            write_members(&members, request.get().init_members(members.len() as u32));
            let theirs = members.iter().find(|member| member.steward_address == to);
            let behind = theirs.is_none_or(|member| member.revision < state.head.revision);
            let mut config = request.get().init_config();
            config.set_revision(state.head.revision);
            if behind && state.head.revision > 0 {
                config.set_document(&serde_json::to_vec(&state.head)?);
            }
            let reports = state.observations.reports();
            write_all_observed(reports, request.get().init_observed(reports.len() as u32));
        }
        let response = request.send().promise.await?;
        let results = response.get()?;
        self.take_members(results.get_members()?)?;
        let document = results.get_config()?.get_document()?;
        if !document.is_empty() {
            self.take_head(serde_json::from_slice(document)?);
        }
        self.take_observed(read_all_observed(results.get_observed()?)?);
        // A peer has answered: this VM now holds the newest revision that it
        // can learn of, even with the object API down.
        self.ready.send_replace(true);
        Ok(())
    }

    fn take_members(
        &self,
        members: capnp::struct_list::Reader<'_, crate::wire::firweir_capnp::member::Owned>,
    ) -> Result<(), WireError> {
        if members.len() > MEMBERS_LIMIT {
            return Err(WireError::TooLarge("members"));
        }
        let members = read_members(members)?;
        let now = self.parts.clock.now();
        let learnt = self.state.borrow_mut().membership.merge(members, now);
        if learnt {
            self.publish();
        }
        Ok(())
    }

    fn take_observed(&self, reports: Vec<Observed>) {
        let own = &self.parts.settings.node;
        let mut learnt = false;
        for report in reports.into_iter().filter(|report| report.node != *own) {
            learnt |= self.state.borrow_mut().observations.take(report);
        }
        if learnt {
            self.publish();
        }
    }

    /// Takes in what a program of this VM reports, under this steward's counters.
    fn take_report(&self, report: Observed) {
        let node = self.parts.settings.node.clone();
        let incarnation = self.incarnation;
        let mut state = self.state.borrow_mut();
        let counter = state.observations.counter_of(&node) + 1;
        state.observations.take(Observed {
            node,
            incarnation,
            counter,
            ..report
        });
        drop(state);
        self.publish();
    }

    async fn leave_on_drain(self: Rc<Self>) {
        self.parts.tasks.draining().await;
        self.left.set(true);
    }

    fn heard_of(&self, name: &str, revision: u64) {
        let heard = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        match state
            .programs
            .iter_mut()
            .find(|program| program.name == name)
        {
            Some(program) => {
                program.revision = revision;
                program.heard = heard;
            }
            None => state.programs.push(Program {
                name: name.to_owned(),
                revision,
                heard,
            }),
        }
    }
}

/// The steward as its peers and the VM's programs see it.
struct Service(Rc<Steward>);

impl steward::Server for Service {
    async fn view(
        self: Rc<Self>,
        params: steward::ViewParams,
        mut results: steward::ViewResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let known = params.get_known();
        self.0
            .heard_of(params.get_program()?.to_str()?, params.get_revision());
        let mut ready = self.0.ready.subscribe();
        drop(within(VIEW_WAIT, ready.wait_for(|ready| *ready)).await);
        let mut published = self.0.published.subscribe();
        drop(
            within(
                VIEW_WAIT,
                published.wait_for(|generation| *generation != known),
            )
            .await,
        );
        let state = self.0.state.borrow();
        if *self.0.ready.borrow() {
            write_view(&state, results.get().init_view())?;
        }
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: steward::ExchangeParams,
        mut results: steward::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let deployment = params.get_hello()?.get_deployment()?.to_str()?;
        if deployment != self.0.parts.settings.deployment {
            self.0.parts.journal.count("steward.refused_deployment");
            return Err(WireError::Deployment(deployment.to_owned()).into());
        }
        self.0.take_members(params.get_members()?)?;
        let config = params.get_config()?;
        let document = config.get_document()?;
        if !document.is_empty() {
            let head = serde_json::from_slice(document).map_err(WireError::Json)?;
            self.0.take_head(head);
        }
        self.0
            .take_observed(read_all_observed(params.get_observed()?)?);
        let state = self.0.state.borrow();
        let members = state.membership.members();
        write_members(&members, results.get().init_members(members.len() as u32));
        let reports = state.observations.reports();
        write_all_observed(reports, results.get().init_observed(reports.len() as u32));
        let mut answer = results.get().init_config();
        answer.set_revision(state.head.revision);
        if config.get_revision() < state.head.revision {
            answer.set_document(&serde_json::to_vec(&state.head).map_err(WireError::Json)?);
        }
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: steward::StatusParams,
        mut results: steward::StatusResults,
    ) -> Result<(), capnp::Error> {
        self.0.refresh_own_row(self.0.parts.clock.now());
        let state = self.0.state.borrow();
        let members = state.membership.members();
        results.get().set_revision(state.head.revision);
        write_members(&members, results.get().init_members(members.len() as u32));
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: steward::ReportParams,
        _results: steward::ReportResults,
    ) -> Result<(), capnp::Error> {
        let report = read_observed(params.get()?.get_observed()?)?;
        self.0.take_report(report);
        Ok(())
    }

    async fn leave(
        self: Rc<Self>,
        _params: steward::LeaveParams,
        _results: steward::LeaveResults,
    ) -> Result<(), capnp::Error> {
        self.0.left.set(true);
        Ok(())
    }
}

fn write_view(
    state: &State,
    mut builder: crate::wire::firweir_capnp::view::Builder<'_>,
) -> Result<(), WireError> {
    builder.set_generation(state.view.generation);
    builder.set_revision(state.view.revision);
    builder.set_config(&serde_json::to_vec(&state.head.document())?);
    let members = &state.view.members;
    write_members(
        members,
        builder.reborrow().init_members(members.len() as u32),
    );
    let observed = &state.view.observed;
    write_all_observed(
        observed,
        builder.reborrow().init_observed(observed.len() as u32),
    );
    let upstreams = &state.view.upstreams;
    let mut list = builder.init_upstreams(upstreams.len() as u32);
    for (index, upstream) in upstreams.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_service(&upstream.service);
        item.set_address(upstream.address.to_string());
        item.set_zone(&upstream.zone);
        item.set_leaving(upstream.leaving);
    }
    Ok(())
}
