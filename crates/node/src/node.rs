//! One node: what its parts are, and how it starts, drains and ends.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firweir::connection::net::SharedNet;
use firweir::connection::net::TcpNet;
use firweir::connection::server;
use firweir::connection::server::Body;
use firweir::connection::server::bytes_response;
use firweir::process::clock::Clock;
use firweir::process::clock::SystemClock;
use firweir::process::log::Journal;
use firweir::process::metrics::Exposition;
use firweir::process::tasks::Tasks;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::ObjectKind;
use crate::drafting::Drafting;
use crate::duty::SystemBootClock;
use crate::fleet::Fleet;
use crate::fleet::FleetParts;
use crate::fleet::UpstreamList;
use crate::follow::ChangeBatch;
use crate::follow::FollowOptions;
use crate::follow::SeedSet;
use crate::follow::Seeds;
use crate::follow::Sources;
use crate::follow::follow;
use crate::holder::DutyHolder;
use crate::holder::DutyHolderParts;
use crate::live::LiveCalls;
use crate::load_logger::LoadLogger;
use crate::mechanisms::EnabledMechanisms;
use crate::mechanisms::Mechanism;
use crate::outage::Outage;
use crate::relay::Relay;
use crate::relay::max_age_for;
use crate::reload;
use crate::reload::CurrentSettings;
use crate::reload::SettingsReloader;
use crate::request_handler::RequestHandler;
use crate::roster::LocalMember;
use crate::roster::Roster;
use crate::scaling::scaler::Scaler;
use crate::scaling::scaler::ScalerParts;
use crate::scoring::Scoring;
use crate::settings::NodeSettings;
use crate::shared::Shared;
use crate::store::Store;
use crate::store_fallback::StoreFallback;
use crate::submission::home_finder::HomeFinder;
use crate::submission::homes::Homes;
use crate::submission::manager::SubmissionManager;
use crate::submission::manager::SubmissionManagerParts;
use crate::submission::records::NodeRef;
use crate::usage::counter::UsageCounter;
use crate::usage::counter::UsageCounterParts;
use crate::usage::report::UsageReporter;
use crate::usage::report::UsageReporterParts;
use crate::weights::WeightUpdater;
use crate::weights::WeightUpdaterParts;

/// Clients are taken until this long before a node that drains ends, which does for an
/// answer. The balancer stops after two misses, but it goes on with nodes that drain where
/// few others are left in a zone: they must find somebody listening.
const FINISH_CLIENTS: Duration = Duration::from_millis(1_500);

/// The process ends this long before it would be killed.
const END_BEFORE_KILL: Duration = Duration::from_secs(1);

/// Pause between two watches of the list of upstreams on a node that drafts nothing, as a
/// part of the time for which an upstream that leaves may get requests. Each load of weights
/// changes an entry, and each answer to a watch costs every node a call. The rest of that
/// time is for the watch and for a request that is on its way.
const IDLE_PAUSE_PART: f64 = 0.6;

/// Pause between two watches of the list of upstreams on a seed: what changes meanwhile
/// comes in one answer, and each answer costs a call. An engine that has loaded is known
/// this much later at most.
const SEED_PAUSE: Duration = Duration::from_millis(200);

/// Nodes follow seeds where upstreams that leave may get requests for this long: a node
/// works with what is some time old, and notices a dead seed late (`relay`).
const RELAY_FROM: Duration = Duration::from_millis(2_800);

/// Time between looks at time-bound decisions of live calls.
const TICK_EVERY: Duration = Duration::from_millis(100);

quick_error! {
    /// Why a node cannot run.
    #[derive(Debug)]
    pub enum NodeError {
        /// An address cannot be listened at, or a signal not be taken.
        Io(err: io::Error) {
            display("cannot start: {err}")
            source(err)
            from()
        }
        /// A key of the settings is missing that this role needs.
        Missing(key: &'static str) {
            display("settings lack {key}")
        }
    }
}

/// What both roles of a VM are built from.
#[derive(Debug, Clone)]
pub(crate) struct NodeContext {
    /// Settings of the start.
    pub(crate) settings: NodeSettings,
    current_settings: CurrentSettings,
    fallback: StoreFallback,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    pub(crate) journal: Journal,
    exposition: Exposition,
    connections: ConnectionPool,
    pub(crate) store: Store,
    sources: Sources,
    net: SharedNet,
    pub(crate) tasks: Tasks,
    mechanisms: EnabledMechanisms,
}

impl NodeContext {
    pub(crate) fn new(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let exposition = Exposition::default();
        let journal = Journal::exposing(Arc::clone(&clock), &settings.node, exposition.clone());
        let connections = ConnectionPool::new(Arc::clone(&clock));
        let start_ms = clock.since_epoch().as_millis();
        let writer = format!("{}-{start_ms}-{:08x}", settings.node, rand::random::<u32>());
        let fallback = StoreFallback::new(fallback_nodes(&settings));
        let store = Store::new(
            Arc::clone(&dialect),
            connections.clone(),
            settings.store,
            Arc::clone(&clock),
            journal.clone(),
            &writer,
            fallback.clone(),
        );
        let sources = Sources {
            store: store.clone(),
            connections: connections.clone(),
            seeds: Seeds::default(),
            relay: Arc::new(Relay::new(max_age_for(settings.max_propagation_delay()))),
            interest: Arc::default(),
            local_member: local_member_of(&settings),
            dialect: Arc::clone(&dialect),
            outage: Outage::default(),
            store_reads_per_s: settings.store_reads_per_s,
            clock: Arc::clone(&clock),
            boot_clock: Arc::new(SystemBootClock),
            journal: journal.clone(),
        };
        let mechanisms = EnabledMechanisms::all_except(&settings.mechanisms_off);
        if !settings.mechanisms_off.is_empty() {
            let names = format_args!("{:?}", settings.mechanisms_off);
            journal.event("mechanisms_off", &[("names", &names)]);
        }
        let context = Self {
            mechanisms,
            exposition,
            sources,
            fallback,
            current_settings: CurrentSettings::new(settings.clone()),
            settings,
            dialect,
            clock,
            journal,
            connections,
            store,
            net: Arc::new(TcpNet),
            tasks: Tasks::new(),
        };
        context.take_seeds();
        context
    }

    /// Goes by the seeds of the settings in force.
    fn take_seeds(&self) {
        let settings = self.current_settings.now();
        self.fallback.set_nodes(fallback_nodes(&settings));
        let seeds = seeds_now(&settings);
        let follows_store = seeds.polled.is_empty();
        self.sources.seeds.set(seeds);
        let interest = &self.sources.interest;
        interest.set_follows_store(follows_store);
    }

    pub(crate) fn follow(
        &self,
        kind: ObjectKind,
        how: impl Fn() -> FollowOptions + Send + Sync + 'static,
        take: impl FnMut(ChangeBatch) + Send + 'static,
    ) {
        self.tasks
            .spawn(follow(self.sources.clone(), kind, how, take));
    }

    /// Waits for SIGTERM, and takes in settings that change meanwhile.
    pub(crate) async fn wait_for_termination(&self) -> io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        let mut reload = SettingsReloader::new(self.current_settings.clone(), self.journal.clone());
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hang_up.recv() => self.journal.event("settings_signalled", &[]),
                () = tokio::time::sleep(reload::CHECK_INTERVAL) => {}
            }
            if reload.reload_if_changed() {
                self.take_seeds();
            }
        }
        self.journal.event("drain_started", &[]);
        self.sources.local_member.set_takes_steps(false);
        self.tasks.drain();
        Ok(())
    }
}

/// What this node tells seeds of itself.
fn local_member_of(settings: &NodeSettings) -> LocalMember {
    let runner = settings.peer_listen.map(|address| NodeRef {
        node: settings.node.clone(),
        address,
    });
    LocalMember::new(runner, settings.vm.capacity())
}

/// Nodes through which calls of the store may go: the seeds without this node.
fn fallback_nodes(settings: &NodeSettings) -> Vec<SocketAddr> {
    let own = settings.peer_listen;
    let is_on =
        EnabledMechanisms::all_except(&settings.mechanisms_off).is_enabled(Mechanism::Detour);
    let seeds = settings.seeds.iter().copied().filter(|_| is_on);
    seeds
        .filter(|seed| own.is_some_and(|own| own != *seed))
        .collect()
}

/// Where this node follows the store: from seeds only where upstreams that leave may
/// get requests for as long as a dead seed goes unnoticed.
fn seeds_now(settings: &NodeSettings) -> SeedSet {
    let is_on =
        EnabledMechanisms::all_except(&settings.mechanisms_off).is_enabled(Mechanism::Seeds);
    let relayed = is_on && settings.leaving() >= RELAY_FROM;
    let own = settings.peer_listen;
    let is_seed = own.is_some_and(|own| settings.seeds.contains(&own));
    let seeds = settings.seeds.iter().copied();
    let others = seeds.filter(|seed| relayed && own.is_some_and(|own| own != *seed));
    let others: Vec<SocketAddr> = others.collect();
    SeedSet {
        polled: if is_seed { Vec::new() } else { others.clone() },
        others,
        is_seed: relayed && is_seed,
    }
}

/// Runs a node that takes clients until SIGTERM has drained it.
///
/// # Errors
///
/// The settings lack an address, or it cannot be listened at.
pub async fn run_front(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> Result<(), NodeError> {
    let context = NodeContext::new(settings, dialect);
    let settings = &context.settings;
    let client_listen = settings
        .client_listen
        .ok_or(NodeError::Missing("client_listen"))?;
    let ready_listen = settings
        .ready_listen
        .ok_or(NodeError::Missing("ready_listen"))?;
    let peer_listen = settings
        .peer_listen
        .ok_or(NodeError::Missing("peer_listen"))?;
    let node = build(&context, peer_listen);
    start_followers(&context, &node);
    let outlive = settings.grace().saturating_sub(END_BEFORE_KILL);
    let linger = outlive.saturating_sub(FINISH_CLIENTS);
    let clients = serve(
        &context,
        &node,
        client_listen,
        linger,
        RequestHandler::handle_client,
    )
    .await?;
    let ready = serve(
        &context,
        &node,
        ready_listen,
        outlive,
        RequestHandler::handle_client,
    )
    .await?;
    let peers = serve(
        &context,
        &node,
        peer_listen,
        outlive,
        RequestHandler::handle_peer,
    )
    .await?;
    serve_metrics(&context).await?;
    context.tasks.spawn(ready);
    context.tasks.spawn(peers);
    context
        .journal
        .event("node_started", &[("address", &client_listen)]);
    let drained = async {
        clients.await;
        // Submissions go on here while other nodes pass their questions on.
        tokio::time::sleep(outlive.saturating_sub(linger)).await;
    };
    let terminated = async {
        context.wait_for_termination().await?;
        tokio::time::sleep(outlive).await;
        Ok::<(), io::Error>(())
    };
    tokio::select! {
        () = drained => {}
        ended = terminated => ended?,
    }
    context.journal.event("node_ended", &[]);
    Ok(())
}

/// Serves counters and latencies as text, if the settings say where.
pub(crate) async fn serve_metrics(context: &NodeContext) -> io::Result<()> {
    let Some(at) = context.settings.metrics_listen else {
        return Ok(());
    };
    let exposition = context.exposition.clone();
    let handler = server::handler(move |_request| {
        let text = exposition.text();
        Box::pin(async move { bytes_response(StatusCode::OK, text.into()) })
    });
    let linger = context.settings.grace();
    let (_, serving) = server::serve(&context.net, &context.tasks, at, linger, handler).await?;
    context.tasks.spawn(serving);
    Ok(())
}

fn build(context: &NodeContext, peer_listen: SocketAddr) -> Arc<RequestHandler> {
    let this_node = NodeRef {
        node: context.settings.node.clone(),
        address: peer_listen,
    };
    let (clock, journal) = (&context.clock, &context.journal);
    let dialect = &context.dialect;
    let fleet = Fleet::new(FleetParts {
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        journal: journal.clone(),
        dialect: Arc::clone(dialect),
    });
    let usage_counter = UsageCounter::new(UsageCounterParts {
        process: context.store.writer_id().to_owned(),
        settings: context.current_settings.clone(),
        connections: context.connections.clone(),
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
    });
    let shared = Shared {
        usage_counter: usage_counter.clone(),
        fleet: Arc::clone(&fleet),
        interest: Arc::clone(&context.sources.interest),
        dialect: Arc::clone(dialect),
        connections: context.connections.clone(),
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        settings: context.current_settings.clone(),
        journal: journal.clone(),
        mechanisms: context.mechanisms,
    };
    let live = LiveCalls::new(
        shared.clone(),
        &context.settings.node,
        context.settings.zone.clone(),
    );
    let scoring = Scoring::new(shared.clone(), context.settings.zone.clone());
    let drafting = Drafting::new(shared, scoring.clone());
    context.tasks.spawn(drafting.clone().run());
    let homes = Homes::new(
        context.store.clone(),
        journal.clone(),
        Arc::clone(fleet.demands()),
    );
    let home_finder = HomeFinder {
        seeds: context.sources.seeds.clone(),
        roster: Arc::new(Roster::default()),
        homes: homes.clone(),
        connections: context.connections.clone(),
        clock: Arc::clone(clock),
        journal: journal.clone(),
    };
    let submissions = SubmissionManager::new(SubmissionManagerParts {
        this_node: this_node.clone(),
        store: context.store.clone(),
        connections: context.connections.clone(),
        dialect: Arc::clone(dialect),
        drafting: drafting.clone(),
        homes: homes.clone(),
        home_finder: home_finder.clone(),
        outage: context.sources.outage.clone(),
        settings: context.current_settings.clone(),
        mechanisms: context.mechanisms,
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        journal: journal.clone(),
    });
    let holder = DutyHolder::new(DutyHolderParts {
        this_node: this_node.clone(),
        settings: context.current_settings.clone(),
        store: context.store.clone(),
        outage: context.sources.outage.clone(),
        connections: context.connections.clone(),
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        journal: journal.clone(),
    });
    context
        .tasks
        .spawn(usage_counter.clone().run(holder.clone()));
    let reporter = UsageReporter::new(UsageReporterParts {
        usage_counter: usage_counter.clone(),
        holder: holder.clone(),
        store: context.store.clone(),
        connections: context.connections.clone(),
        dialect: Arc::clone(dialect),
        settings: context.current_settings.clone(),
        clock: Arc::clone(clock),
        journal: journal.clone(),
    });
    context.tasks.spawn(reporter.run());
    if context.mechanisms.is_enabled(Mechanism::Scaling) && context.settings.scaling().is_some() {
        let scaler = Scaler::new(ScalerParts {
            holder: holder.clone(),
            fleet: Arc::clone(&fleet),
            store: context.store.clone(),
            connections: context.connections.clone(),
            dialect: Arc::clone(dialect),
            settings: context.current_settings.clone(),
            clock: Arc::clone(clock),
            journal: journal.clone(),
        });
        context.tasks.spawn(scaler.run());
    }
    let weights = WeightUpdater::new(WeightUpdaterParts {
        holder: holder.clone(),
        fleet: Arc::clone(&fleet),
        interest: Arc::clone(&context.sources.interest),
        connections: context.connections.clone(),
        dialect: Arc::clone(dialect),
        clock: Arc::clone(clock),
        mechanisms: context.mechanisms,
        journal: journal.clone(),
    });
    context.tasks.spawn(weights.run());
    let load_logger = LoadLogger {
        this_node,
        seeds: context.sources.seeds.clone(),
        homes: homes.clone(),
        holder: holder.clone(),
        fleet: Arc::clone(&fleet),
        journal: journal.clone(),
    };
    context.tasks.spawn(load_logger.run());
    Arc::new(RequestHandler {
        dialect: Arc::clone(dialect),
        fleet,
        live,
        scoring,
        submissions,
        drafting,
        homes,
        home_finder,
        holder,
        usage_counter,
        relay: Arc::clone(&context.sources.relay),
        connections: context.connections.clone(),
        store: context.settings.store,
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        settings: context.current_settings.clone(),
        journal: journal.clone(),
        tasks: context.tasks.clone(),
        mechanisms: context.mechanisms,
    })
}

fn start_followers(context: &NodeContext, node: &Arc<RequestHandler>) {
    let (fleet, live) = (Arc::clone(&node.fleet), Arc::clone(&node.live));
    let scoring = node.scoring.clone();
    let interest = Arc::clone(&context.sources.interest);
    let settings = context.current_settings.clone();
    let (local_member, tasks) = (context.sources.local_member.clone(), context.tasks.clone());
    let (relay, configured) = (Arc::clone(&context.sources.relay), Arc::clone(&fleet));
    let how = move || {
        let has_accounts = !configured.config().accounts.is_empty();
        let limits = has_accounts.then(|| settings.now().config_wait_limits());
        relay.set_max_hold(
            ObjectKind::Configuration,
            limits.map(|limits| limits.max_hold),
        );
        FollowOptions {
            max_watch: limits.map(|limits| limits.max_watch),
            ..FollowOptions::immediate()
        }
    };
    context.follow(ObjectKind::Configuration, how, move |news| {
        for change in news.changes {
            fleet.apply_config(change);
        }
        fleet.record_config_confirmed(news.as_of);
        interest.set_config(&fleet.config());
        local_member.set_takes_steps(!tasks.is_draining());
        live.update_upstreams();
        scoring.update_upstreams();
    });
    let list = Arc::new(std::sync::Mutex::new(UpstreamList::default()));
    let (fleet, live) = (Arc::clone(&node.fleet), Arc::clone(&node.live));
    let (scoring, connections) = (node.scoring.clone(), node.connections.clone());
    let followed = Arc::clone(&list);
    let drafting = node.drafting.clone();
    let interest = Arc::clone(&context.sources.interest);
    let idle_pause = context.settings.leaving().mul_f64(IDLE_PAUSE_PART);
    let how = move || FollowOptions {
        pause: if drafting.is_busy() {
            Duration::ZERO
        } else {
            idle_pause
        },
        seed_pause: SEED_PAUSE,
        ..FollowOptions::immediate()
    };
    context.follow(ObjectKind::Upstreams, how, move |news| {
        let mut list = followed
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        fleet.set_extent(news.extent);
        if let Some(total) = news.extent.total_objects {
            interest.set_total_upstreams(total);
        }
        let taken = fleet.apply_upstreams(&mut list, news.changes);
        for address in taken.restarted {
            connections.close_idle(address);
        }
        // Live and reward calls do not ask which weights an upstream has.
        if taken.routing_changed {
            live.update_upstreams();
            scoring.update_upstreams();
        }
    });
    let fleet = Arc::clone(&node.fleet);
    let holder = node.holder.clone();
    let how = move || FollowOptions {
        freshness: if holder.holds_duty() {
            Freshness::Newest
        } else {
            Freshness::Seconds
        },
        ..FollowOptions::immediate()
    };
    context.follow(ObjectKind::WeightVersions, how, move |news| {
        for change in news.changes {
            fleet.apply_versions(change);
        }
    });
    let (homes, holder) = (node.homes.clone(), node.holder.clone());
    let how = FollowOptions::delayed;
    context.follow(ObjectKind::Duties, how, move |news| {
        for change in news.changes {
            holder.apply_change(&change);
            homes.apply(change);
        }
    });
    let submissions = node.submissions.clone();
    context
        .tasks
        .spawn(async move { submissions.resume().await });
    let (fleet, live) = (Arc::clone(&node.fleet), Arc::clone(&node.live));
    let scoring = node.scoring.clone();
    context.tasks.spawn(async move {
        loop {
            tokio::time::sleep(TICK_EVERY).await;
            let mut list = list
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            let dropped = fleet.drop_expired(&mut list);
            drop(list);
            if dropped {
                live.update_upstreams();
                scoring.update_upstreams();
            }
            live.tick();
            scoring.tick();
        }
    });
}

async fn serve<F, A>(
    context: &NodeContext,
    node: &Arc<RequestHandler>,
    at: SocketAddr,
    linger: Duration,
    answer: F,
) -> io::Result<impl Future<Output = ()> + Send + use<F, A>>
where
    F: Fn(Arc<RequestHandler>, Request<Incoming>) -> A + Copy + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let node = Arc::clone(node);
    let handler = server::handler(move |request| Box::pin(answer(Arc::clone(&node), request)));
    let (_, serving) = server::serve(&context.net, &context.tasks, at, linger, handler).await?;
    Ok(serving)
}
