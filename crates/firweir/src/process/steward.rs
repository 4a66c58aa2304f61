//! One steward per VM: membership, configuration and upstreams, in one view for
//! the local entry and feed.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::connection::client::within;
use crate::connection::object::EntryVm;
use crate::connection::object::ObjectApi;
use crate::connection::peer;
use crate::connection::peer::Peers;
use crate::process::exchange::Told;
use crate::process::membership::Membership;
use crate::process::observations::Observations;
use crate::process::run::Parts;
use crate::process::spread::sends_among;
use crate::process::upstreams::Upstreams;
use crate::process::watched::Watched;
use crate::version::config::Config;
use crate::version::folder::Head;
use crate::version::folder::HeadError;
use crate::version::folder::HeadNews;
use crate::version::view::Member;
use crate::version::view::MemberState;
use crate::version::view::Observed;
use crate::version::view::View;
use crate::version::view::WireError;
use crate::version::view::read_observed;
use crate::version::view::write_all_observed;
use crate::version::view::write_members;
use crate::version::view::write_upstream;
use crate::wire::firweir_capnp;
use crate::wire::firweir_capnp::steward;

/// Key of the configuration head in the object API.
pub const CONFIG_KEY: &str = "config/head";

/// A view waits this long for news before it is answered unchanged.
const VIEW_WAIT: Duration = Duration::from_secs(5);

/// A program not heard of for this long counts as gone from the VM.
const PROGRAM_GONE: Duration = Duration::from_secs(12);

/// Changes of members, upstreams and configuration are gathered this long, so
/// that a burst of them makes one view.
const GATHER: Duration = Duration::from_millis(50);

/// Reports change all the time on a busy fleet: they make at most one view in
/// this time.
const GATHER_REPORTS: Duration = Duration::from_secs(1);

/// Rows handed on in one exchange. What does not fit goes with the next one.
const MEMBERS_PER_EXCHANGE: usize = 32;
const UPSTREAMS_PER_EXCHANGE: usize = 64;

/// Reports handed on in one exchange, and the least time between two that carry
/// some: those of today's 9 VMs arrive in about a second, and at 420 VMs their
/// cost stays the same.
const REPORTS_PER_EXCHANGE: usize = 8;
const REPORTS_EVERY: Duration = Duration::from_millis(200);

/// A program of this VM that follows the steward's view.
#[derive(Debug, Clone)]
struct Program {
    name: String,
    revision: u64,
    heard: Instant,
}

/// How far this steward's knowledge differs from its peers'.
#[derive(Debug, Default)]
pub(in crate::process) struct Comparison {
    /// When all was last compared with a peer.
    pub(in crate::process) whole_at: Option<Instant>,
    /// Since when every peer's digest was another one.
    pub(in crate::process) differs_since: Option<Instant>,
}

/// All that a steward holds.
#[derive(Debug)]
pub(in crate::process) struct State {
    pub(in crate::process) membership: Membership,
    pub(in crate::process) upstreams: Upstreams,
    /// The system's VMs as the VM list last showed them here.
    pub(in crate::process) listed: Vec<EntryVm>,
    /// VMs with which this steward has exchanged since its start.
    pub(in crate::process) greeted: Vec<String>,
    /// Addresses that it has tried since its start.
    pub(in crate::process) tried: Vec<SocketAddr>,
    pub(in crate::process) comparison: Comparison,
    /// When a member, an upstream or the configuration last changed here.
    pub(in crate::process) changed_at: Option<Instant>,
    head: Head,
    /// The merged document of the head.
    document: Vec<u8>,
    programs: Vec<Program>,
    observations: Observations,
    reports_told_at: Option<Instant>,
    view: View,
}

/// The steward of one VM.
#[derive(Debug)]
pub struct Steward {
    pub(in crate::process) parts: Parts,
    pub(in crate::process) api: ObjectApi,
    pub(in crate::process) peers: Peers<steward::Client>,
    pub(in crate::process) state: RefCell<State>,
    pub(in crate::process) random: RefCell<Pcg64Mcg>,
    published: Watched<u64>,
    ready: Watched<bool>,
    changed: Notify,
    /// There is news to hand on.
    pub(in crate::process) news: Notify,
    reports_changed: Notify,
    /// Changes of a peer did not fit; the next one is asked for the whole head.
    wants_whole_head: Cell<bool>,
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
    let tasks = &parts.tasks;
    tasks.spawn_local(serving);
    tasks.spawn_local(Rc::clone(&steward).watch_config());
    tasks.spawn_local(Rc::clone(&steward).read_vm_list());
    tasks.spawn_local(Rc::clone(&steward).exchange_forever());
    tasks.spawn_local(Rc::clone(&steward).publish_forever());
    tasks.spawn_local(Rc::clone(&steward).leave_on_drain());
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
            upstreams: Upstreams::default(),
            listed: Vec::new(),
            greeted: Vec::new(),
            tried: Vec::new(),
            comparison: Comparison::default(),
            changed_at: None,
            head: Head::default(),
            document: b"{}".to_vec(),
            programs: Vec::new(),
            observations: Observations::default(),
            reports_told_at: None,
            view,
        };
        Self {
            api: parts.object_api("steward"),
            peers: Peers::new(&parts),
            state: RefCell::new(state),
            random: RefCell::new(parts.random(1)),
            published: Watched::new(generation),
            ready: Watched::new(false),
            changed: Notify::new(),
            news: Notify::new(),
            reports_changed: Notify::new(),
            wants_whole_head: Cell::new(false),
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

    /// Takes in what the object API holds. Nothing is newer than that, so that
    /// programs may be served from now on.
    pub(in crate::process) fn take_agreed_head(&self, head: Option<Head>) {
        let known = self.revision();
        if let Some(head) = head.filter(|head| head.revision > known) {
            self.put_in_force(head);
        }
        self.set_ready();
    }

    /// Takes in news of a peer, unless a newer revision is held.
    fn take_head_news(&self, news: HeadNews) -> Result<(), HeadError> {
        let advanced = self.state.borrow().head.advanced_by(news);
        match advanced {
            Ok(Some(head)) => {
                self.wants_whole_head.set(false);
                self.put_in_force(head);
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(error) => {
                let asks = matches!(error, HeadError::DoesNotFollow(..));
                self.wants_whole_head.set(asks);
                Err(error)
            }
        }
    }

    fn put_in_force(&self, head: Head) {
        let document = head.document();
        match Config::from_document(&document) {
            Ok(config) => {
                self.parts
                    .journal
                    .event("config_taken", &[("revision", &head.revision)]);
                let mut state = self.state.borrow_mut();
                state.view.config = config;
                state.view.revision = head.revision;
                state.document = document.to_string().into_bytes();
                state.head = head;
            }
            Err(error) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("revision", &head.revision), ("error", &error)];
                self.parts.journal.event("config_refused", &fields);
                return;
            }
        }
        self.note_change();
        self.publish();
    }

    pub(in crate::process) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// This VM holds the newest revision that it can learn of.
    pub(in crate::process) fn set_ready(&self) {
        if !self.ready.get() {
            self.ready.set(true);
        }
    }

    /// Lets the VM's programs see a change soon.
    pub(in crate::process) fn note_change(&self) {
        self.state.borrow_mut().changed_at = Some(self.parts.clock.now());
        self.changed.notify_one();
        self.news.notify_one();
    }

    async fn publish_forever(self: Rc<Self>) {
        let mut last = self.parts.clock.now();
        loop {
            tokio::select! {
                biased;
                () = self.changed.notified() => tokio::time::sleep(GATHER).await,
                () = self.reports_changed.notified() => {
                    let since = self.parts.clock.now().duration_since(last);
                    tokio::time::sleep(GATHER_REPORTS.saturating_sub(since)).await;
                }
            }
            last = self.parts.clock.now();
            self.publish();
        }
    }

    /// Shows the present state to the VM's programs.
    fn publish(&self) {
        let generation = {
            let mut state = self.state.borrow_mut();
            state.view.generation += 1;
            state.view.members = state.membership.members();
            state.view.upstreams = state.upstreams.listed();
            state.view.observed = state.live_reports();
            state.view.generation
        };
        self.published.set(generation);
    }

    /// What this steward tells a peer: what changed, or all.
    pub(in crate::process) fn told(&self, peer: Option<&str>, whole: bool) -> Told {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        let revision = if self.wants_whole_head.get() {
            0
        } else {
            state.head.revision
        };
        let mut told = Told {
            digest: state.digest(),
            revision,
            ..Told::default()
        };
        if whole {
            told.members = state.membership.members();
            told.observed = state.observations.reports();
            told.upstreams = state.upstreams.rows();
            return told;
        }
        told.members = state.membership.news(MEMBERS_PER_EXCHANGE);
        told.observed = state.reports_for(now);
        told.upstreams = state.upstreams.news(UPSTREAMS_PER_EXCHANGE);
        // A VM that is wrongly held for suspect or dead has to hear of it, or it
        // cannot refute.
        let doubted = |member: &&Member| {
            Some(member.node.as_str()) == peer && member.state != MemberState::Alive
        };
        let doubted = state.membership.iter().find(doubted).cloned();
        told.members.extend(doubted);
        told
    }

    /// The configuration for a peer that holds this revision: nothing if that is
    /// the newest, changes if the log reaches back, and the whole head if not.
    pub(in crate::process) fn head_for(&self, theirs: u64) -> Option<HeadNews> {
        let state = self.state.borrow();
        if theirs >= state.head.revision {
            return None;
        }
        let changes = (theirs > 0).then(|| state.head.changes_since(theirs));
        let whole = || HeadNews::Whole(state.head.clone());
        Some(changes.flatten().map_or_else(whole, HeadNews::Changes))
    }

    /// Takes in what a peer tells. What a fresh steward learns from its first peer
    /// is no news to others, and is not handed on.
    ///
    /// # Errors
    ///
    /// Its configuration does not fit; the rest was taken in.
    pub(in crate::process) fn take_told(&self, told: Told, fresh: bool) -> Result<(), WireError> {
        let now = self.parts.clock.now();
        let own = &self.parts.settings.node;
        let (mut changed, mut reported) = (false, false);
        {
            let mut state = self.state.borrow_mut();
            let sends = state.sends();
            changed |= state.membership.merge(told.members, now);
            if fresh {
                state.membership.rest();
            }
            changed |= state.upstreams.merge(told.upstreams, sends);
            for report in told.observed.into_iter().filter(|it| it.node != *own) {
                reported |= state.observations.take(report, sends);
            }
        }
        if changed {
            self.note_change();
        }
        if reported {
            self.reports_changed.notify_one();
        }
        if let Some(news) = told.head {
            self.take_head_news(news)?;
        }
        Ok(())
    }

    /// Takes in what a program of this VM reports, under this steward's counters.
    fn take_report(&self, report: Observed) {
        let node = self.parts.settings.node.clone();
        let mut state = self.state.borrow_mut();
        let incarnation = state.membership.own_incarnation();
        let counter = state.observations.counter_of(&node) + 1;
        let sends = state.sends();
        let report = Observed {
            node,
            incarnation,
            counter,
            ..report
        };
        state.observations.take(report, sends);
        drop(state);
        self.reports_changed.notify_one();
    }

    async fn leave_on_drain(self: Rc<Self>) {
        self.parts.tasks.draining().await;
        self.leave();
    }

    fn leave(&self) {
        let now = self.parts.clock.now();
        if self.state.borrow_mut().membership.leave(now) {
            self.parts.journal.event("leaving", &[]);
            self.note_change();
        }
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

    /// The revision with which every program of this VM works; 0 while one is gone.
    fn in_force(&self) -> u64 {
        let now = self.parts.clock.now();
        let state = self.state.borrow();
        let revision_of = |name: &str| {
            let heard =
                |it: &&Program| it.name == name && now.duration_since(it.heard) < PROGRAM_GONE;
            let program = state.programs.iter().find(heard);
            program.map_or(0, |program| program.revision)
        };
        revision_of("entry").min(revision_of("feed"))
    }

    fn refuse_strangers(&self, hello: firweir_capnp::hello::Reader<'_>) -> Result<(), WireError> {
        let deployment = hello.get_deployment()?.to_str()?;
        if deployment == self.parts.settings.deployment {
            return Ok(());
        }
        Err(WireError::Deployment(deployment.to_owned()))
    }

    /// Counts and logs a message that was refused.
    pub(in crate::process) fn note_refused(&self, error: &WireError) {
        self.parts.journal.count(match error {
            WireError::Deployment(_) => "steward.refused_deployment",
            WireError::TooLarge(_) => "steward.refused_size",
            WireError::FromTheFuture(_) => "steward.refused_future",
            WireError::Head(_) => "steward.refused_head",
            _ => "steward.refused_message",
        });
        self.parts
            .journal
            .event("message_refused", &[("error", error)]);
    }

    fn answer_exchange(
        &self,
        params: steward::exchange_params::Reader<'_>,
        mut results: steward::exchange_results::Builder<'_>,
    ) -> Result<(), WireError> {
        let hello = params.get_hello()?;
        self.refuse_strangers(hello)?;
        let node = hello.get_node()?.to_str()?;
        let told = Told::read_params(params, self.parts.clock.since_epoch())?;
        let theirs = told.revision;
        self.take_told(told, false)?;
        let mut answer = self.told(Some(node), params.get_whole());
        answer.head = self.head_for(theirs);
        let mut own = results.reborrow().init_hello();
        own.set_deployment(&self.parts.settings.deployment);
        own.set_node(&self.parts.settings.node);
        answer.write_results(results)
    }
}

impl State {
    /// Hash of members and upstreams.
    pub(in crate::process) fn digest(&mut self) -> u64 {
        let rows = self.membership.digest() ^ self.upstreams.digest().rotate_left(1);
        rows ^ self.observations.suspects_digest()
    }

    /// Times that a change is handed on.
    pub(in crate::process) fn sends(&self) -> u32 {
        sends_among(self.membership.iter().count())
    }

    /// Reports to hand on now: exchanges that only hurry other news carry none.
    fn reports_for(&mut self, now: Instant) -> Vec<Observed> {
        let recent = |at: Instant| now.duration_since(at) < REPORTS_EVERY;
        if self.reports_told_at.is_some_and(recent) {
            return Vec::new();
        }
        self.reports_told_at = Some(now);
        self.observations.news(REPORTS_PER_EXCHANGE)
    }

    /// Reports of all VMs. A dead VM asks nothing of upstreams any more; what it
    /// suspected stays known.
    fn live_reports(&self) -> Vec<Observed> {
        let mut reports = self.observations.reports();
        for report in &mut reports {
            let state = self.membership.state_of(&report.node);
            if state.is_none_or(|state| state == MemberState::Dead) {
                report.demands.clear();
            }
        }
        reports
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
        let (known, revision) = (params.get_known(), params.get_revision());
        let program = params.get_program()?.to_str()?;
        self.0.heard_of(program, revision);
        let mut ready = self.0.ready.watch();
        _ = within(VIEW_WAIT, ready.until(|ready| ready)).await;
        let mut published = self.0.published.watch();
        _ = within(VIEW_WAIT, published.until(|generation| generation != known)).await;
        let state = self.0.state.borrow();
        if self.0.is_ready() {
            write_view(&state, revision, results.get().init_view());
        }
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: steward::ExchangeParams,
        mut results: steward::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let answered = self.0.answer_exchange(params.get()?, results.get());
        answered.map_err(|error| {
            self.0.note_refused(&error);
            error.into()
        })
    }

    async fn status(
        self: Rc<Self>,
        _params: steward::StatusParams,
        mut results: steward::StatusResults,
    ) -> Result<(), capnp::Error> {
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
        self.0.leave();
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: steward::ProbeParams,
        mut results: steward::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.0.refuse_strangers(params.get_hello()?)?;
        let target = params.get_target()?.to_str()?;
        let target: SocketAddr = target.parse().map_err(WireError::Address)?;
        let node = params.get_node()?.to_str()?;
        let reached = self.0.reaches(node, target).await;
        results.get().set_reached(reached);
        Ok(())
    }

    async fn in_force(
        self: Rc<Self>,
        _params: steward::InForceParams,
        mut results: steward::InForceResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_revision(self.0.in_force());
        results.get().set_node(&self.0.parts.settings.node);
        Ok(())
    }
}

/// Writes the view for a program that works with the revision `theirs`, and
/// leaves the configuration out if that is the one in the view.
fn write_view(state: &State, theirs: u64, mut builder: firweir_capnp::view::Builder<'_>) {
    builder.set_generation(state.view.generation);
    builder.set_revision(state.view.revision);
    if theirs != state.view.revision || theirs == 0 {
        builder.set_config(&state.document);
    }
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
        write_upstream(upstream, list.reborrow().get(index as u32));
    }
}
