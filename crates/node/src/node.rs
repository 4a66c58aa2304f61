//! Startup, wiring of the components, drain and shutdown of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use firweir::connection::memory_budget::MemoryBudget;
use firweir::connection::open_connections::OpenConnections;
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
use crate::failed_requests::FailedRequests;
use crate::failure_exchange::FailureExchange;
use crate::fleet::Fleet;
use crate::fleet::FleetParts;
use crate::fleet::UpstreamList;
use crate::follow::ChangeBatch;
use crate::follow::FollowOptions;
use crate::follow::Sources;
use crate::follow::follow;
use crate::holder::DutyHolder;
use crate::holder::DutyHolderParts;
use crate::live::LiveCalls;
use crate::load_logger::LoadLogger;
use crate::mechanisms::EnabledMechanisms;
use crate::mechanisms::Mechanism;
use crate::model::DEFAULT_MAX_HEADER_BYTES;
use crate::newest_config::NewestConfig;
use crate::node_listener::NodeListener;
use crate::node_listener::max_buffered_head;
use crate::outage::Outage;
use crate::relay::Relay;
use crate::relay::max_age_for;
use crate::reload;
use crate::reload::CurrentSettings;
use crate::reload::SettingsReloader;
use crate::request_handler::RequestHandler;
use crate::room_logger::RoomLogger;
use crate::roster::LocalMember;
use crate::roster::Roster;
use crate::scaling::scaler::Scaler;
use crate::scaling::scaler::ScalerParts;
use crate::scoring::Scoring;
use crate::seeds::SeedSet;
use crate::seeds::Seeds;
use crate::settings::NodeSettings;
use crate::shared::Shared;
use crate::shutdown::Shutdown;
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

/// Pause between two watches of the list of upstreams on a node that has no samples to place, as
/// a fraction of the time for which an upstream that leaves may get requests. Each load of
/// weights changes an entry, and each answer to a watch costs every node a call. The rest of that
/// time is left for the watch and for requests in flight.
const IDLE_PAUSE_FRACTION: f64 = 0.6;

/// Pause between two watches of the list of upstreams on a seed node. Changes in between come in
/// one answer, and each answer costs a call. At most this much later it is known that an engine
/// has loaded weights.
const SEED_PAUSE: Duration = Duration::from_millis(200);

/// Nodes follow seeds if they may learn of a change this late: what a node gets from a seed is older
/// than the store, and it needs time to ask elsewhere (see `relay`).
const MIN_PROPAGATION_TO_RELAY: Duration = Duration::from_millis(2_800);

/// Time between two checks of decisions that depend on the time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

quick_error! {
    /// Why a node cannot run.
    #[derive(Debug)]
    pub enum NodeError {
        /// An address cannot be listened at, or a signal handler cannot be installed.
        Io(err: io::Error) {
            display("cannot start: {err}")
            source(err)
            from()
        }
        /// The settings lack a key that this role needs.
        Missing(key: &'static str) {
            display("settings lack {key}")
        }
    }
}

/// Components that nodes of both roles need: front nodes, which serve clients, and nodes on VMs
/// with a disk.
#[derive(Debug, Clone)]
pub(crate) struct NodeContext {
    /// Settings as read at startup.
    pub(crate) settings: NodeSettings,
    current_settings: CurrentSettings,
    fallback: StoreFallback,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    pub(crate) journal: Journal,
    exposition: Exposition,
    connections: ConnectionPool,
    /// Connections that clients, other nodes and the balancer have opened.
    pub(crate) open_connections: OpenConnections,
    /// Largest head of a client's request.
    max_head_bytes: Arc<AtomicUsize>,
    pub(crate) store: Store,
    sources: Sources,
    pub(crate) tasks: Tasks,
    shutdown: Shutdown,
    mechanisms: EnabledMechanisms,
}

impl NodeContext {
    pub(crate) fn new(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let exposition = Exposition::default();
        let journal = Journal::exposing(Arc::clone(&clock), &settings.node, exposition.clone());
        let connections = ConnectionPool::new(Arc::clone(&clock));
        let start_ms = clock.since_epoch().as_millis();
        let writer_id = format!("{}-{start_ms}-{:08x}", settings.node, rand::random::<u32>());
        let fallback = StoreFallback::new(fallback_nodes(&settings));
        let store = Store::new(
            Arc::clone(&dialect),
            connections.clone(),
            settings.store,
            Arc::clone(&clock),
            journal.clone(),
            &writer_id,
            fallback.clone(),
        );
        let current_settings = CurrentSettings::new(settings.clone());
        let sources = Sources {
            settings: current_settings.clone(),
            store: store.clone(),
            connections: connections.clone(),
            seeds: Seeds::default(),
            relay: Arc::new(Relay::new(max_age_for(settings.max_propagation_delay()))),
            interest: Arc::default(),
            newest_config: NewestConfig::default(),
            local_member: local_member_of(&settings),
            dialect: Arc::clone(&dialect),
            outage: Outage::default(),
            store_reads_per_s: settings.store_reads_per_s,
            clock: Arc::clone(&clock),
            boot_clock: Arc::new(SystemBootClock),
            journal: journal.clone(),
        };
        let shutdown = Shutdown::new(Arc::clone(&clock));
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
            current_settings,
            max_head_bytes: Arc::new(AtomicUsize::new(max_buffered_head(
                DEFAULT_MAX_HEADER_BYTES,
            ))),
            open_connections: OpenConnections::new(MemoryBudget::new(
                settings.request_memory_bytes(),
            )),
            settings,
            dialect,
            clock,
            journal,
            connections,
            store,
            tasks: Tasks::new(),
            shutdown,
        };
        context.apply_seeds();
        context
    }

    /// Applies the seeds of the current settings.
    fn apply_seeds(&self) {
        let settings = self.current_settings.now();
        self.fallback.set_nodes(fallback_nodes(&settings));
        self.store.set_watch_limits(settings.watch_limits());
        let seeds = seed_set(&settings);
        let follows_store = seeds.polled.is_empty();
        self.sources.seeds.set(seeds);
        let interest = &self.sources.interest;
        interest.set_follows_store(follows_store);
    }

    /// Spawns a task that follows the objects of a kind and passes changes to `apply`.
    pub(crate) fn follow(
        &self,
        kind: ObjectKind,
        options: impl Fn() -> FollowOptions + Send + Sync + 'static,
        apply: impl FnMut(ChangeBatch) + Send + 'static,
    ) {
        self.tasks
            .spawn(follow(self.sources.clone(), kind, options, apply));
    }

    /// Waits for SIGTERM, and applies changed settings meanwhile.
    pub(crate) async fn wait_for_termination(&self) -> io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut reload = SettingsReloader::new(self.current_settings.clone(), self.journal.clone());
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hangup.recv() => self.journal.event("settings_signalled", &[]),
                () = tokio::time::sleep(reload::CHECK_INTERVAL) => {}
            }
            if reload.reload_if_changed() {
                self.apply_seeds();
            }
        }
        self.journal.event("drain_started", &[]);
        self.sources.local_member.set_takes_steps(false);
        self.shutdown.begin(self.current_settings.now().grace());
        self.tasks.drain();
        Ok(())
    }
}

/// What this node announces about itself to seeds.
fn local_member_of(settings: &NodeSettings) -> LocalMember {
    let runner = settings.peer_listen.map(|address| NodeRef {
        node: settings.node.clone(),
        address,
    });
    LocalMember::new(runner, settings.vm.capacity())
}

/// Nodes through which calls of the store may go: the seeds except this node.
fn fallback_nodes(settings: &NodeSettings) -> Vec<SocketAddr> {
    let this_address = settings.peer_listen;
    let is_on =
        EnabledMechanisms::all_except(&settings.mechanisms_off).is_enabled(Mechanism::Detour);
    let seeds = settings.seeds.iter().copied().filter(|_| is_on);
    seeds
        .filter(|seed| this_address.is_some_and(|this_address| this_address != *seed))
        .collect()
}

/// Seeds through which this node follows the store; none unless it may learn of changes as late as
/// dead seeds let it.
fn seed_set(settings: &NodeSettings) -> SeedSet {
    let is_on =
        EnabledMechanisms::all_except(&settings.mechanisms_off).is_enabled(Mechanism::Seeds);
    let is_relayed = is_on && settings.max_propagation_delay() >= MIN_PROPAGATION_TO_RELAY;
    let this_address = settings.peer_listen;
    let is_seed = this_address.is_some_and(|this_address| settings.seeds.contains(&this_address));
    let seeds = settings.seeds.iter().copied();
    let others = seeds.filter(|seed| {
        is_relayed && this_address.is_some_and(|this_address| this_address != *seed)
    });
    let others: Vec<SocketAddr> = others.collect();
    SeedSet {
        polled: if is_seed { Vec::new() } else { others.clone() },
        others,
        is_seed: is_relayed && is_seed,
    }
}

/// Runs a node that serves clients until it has drained after SIGTERM.
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
    let request_handler = build_handler(&context, peer_listen);
    start_followers(&context, &request_handler);
    let room_logger = RoomLogger {
        connections: context.open_connections.clone(),
        journal: context.journal.clone(),
    };
    context.tasks.spawn(room_logger.run());
    let head_limit = Arc::clone(&context.max_head_bytes);
    let clients = NodeListener::for_clients(client_listen, settings, head_limit);
    let clients = serve(
        &context,
        &request_handler,
        clients,
        RequestHandler::handle_client,
    )
    .await?;
    let ready = NodeListener::for_control(ready_listen);
    let ready = serve(
        &context,
        &request_handler,
        ready,
        RequestHandler::handle_client,
    )
    .await?;
    let peers = NodeListener::for_peers(peer_listen, settings);
    let peers = serve(
        &context,
        &request_handler,
        peers,
        RequestHandler::handle_peer,
    )
    .await?;
    serve_metrics(&context).await?;
    context.tasks.spawn(clients);
    context.tasks.spawn(ready);
    context.tasks.spawn(peers);
    context
        .journal
        .event("node_started", &[("address", &client_listen)]);
    context.wait_for_termination().await?;
    // Submissions still run here, and other nodes forward the questions about them.
    context.shutdown.exit_due().await;
    context.journal.event("node_ended", &[]);
    Ok(())
}

/// Serves counters and latencies as text if the settings have an address for it.
pub(crate) async fn serve_metrics(context: &NodeContext) -> io::Result<()> {
    let Some(address) = context.settings.metrics_listen else {
        return Ok(());
    };
    let exposition = context.exposition.clone();
    let handler = server::handler(move |_request| {
        let text = exposition.text();
        Box::pin(async move { bytes_response(StatusCode::OK, text.into()) })
    });
    let serving = NodeListener::for_control(address)
        .serve(context, handler)
        .await?;
    context.tasks.spawn(serving);
    Ok(())
}

/// Creates the components of a front node and spawns their tasks.
fn build_handler(context: &NodeContext, peer_listen: SocketAddr) -> Arc<RequestHandler> {
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
    let failed_requests = FailedRequests::new(
        context.store.clone(),
        Arc::clone(clock),
        journal.clone(),
        &context.settings.node,
    );
    context.tasks.spawn(failed_requests.clone().run_writer());
    let failure_exchange = FailureExchange {
        failed_requests: failed_requests.clone(),
        newest_config: context.sources.newest_config.clone(),
        settings: context.current_settings.clone(),
        connections: context.connections.clone(),
    };
    context.tasks.spawn(failure_exchange.clone().run());
    let shared = Shared {
        failed_requests: failed_requests.clone(),
        usage_counter: usage_counter.clone(),
        fleet: Arc::clone(&fleet),
        interest: Arc::clone(&context.sources.interest),
        dialect: Arc::clone(dialect),
        connections: context.connections.clone(),
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        settings: context.current_settings.clone(),
        request_memory: context.open_connections.clone(),
        journal: journal.clone(),
        shutdown: context.shutdown.clone(),
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
        store: context.store.clone(),
        connections: context.open_connections.clone(),
        journal: journal.clone(),
    };
    context.tasks.spawn(load_logger.run());
    Arc::new(RequestHandler {
        dialect: Arc::clone(dialect),
        fleet,
        live,
        failed_requests,
        failure_exchange,
        scoring,
        submissions,
        drafting,
        homes,
        home_finder,
        holder,
        usage_counter,
        relay: Arc::clone(&context.sources.relay),
        connections: context.connections.clone(),
        request_memory: context.open_connections.clone(),
        store: context.settings.store,
        clock: Arc::clone(clock),
        boot_clock: Arc::clone(&context.sources.boot_clock),
        settings: context.current_settings.clone(),
        journal: journal.clone(),
        tasks: context.tasks.clone(),
        shutdown: context.shutdown.clone(),
        mechanisms: context.mechanisms,
    })
}

/// Spawns the tasks that follow the store and pass changes to the components, and the periodic
/// checks.
fn start_followers(context: &NodeContext, request_handler: &Arc<RequestHandler>) {
    let (fleet, live) = (
        Arc::clone(&request_handler.fleet),
        Arc::clone(&request_handler.live),
    );
    let scoring = request_handler.scoring.clone();
    let interest = Arc::clone(&context.sources.interest);
    let settings = context.current_settings.clone();
    let (local_member, tasks) = (context.sources.local_member.clone(), context.tasks.clone());
    let (relay, config_fleet) = (Arc::clone(&context.sources.relay), Arc::clone(&fleet));
    let newest_config = context.sources.newest_config.clone();
    let max_head_bytes = Arc::clone(&context.max_head_bytes);
    let options = move || {
        let has_accounts = config_fleet.config().accounts.are_declared();
        let limits = has_accounts.then(|| settings.now().config_wait_limits());
        relay.set_max_hold(
            ObjectKind::Configuration,
            limits.map(|limits| limits.max_hold),
        );
        FollowOptions {
            max_watch: limits.map(|limits| limits.max_watch),
            max_delay: limits.map(|limits| limits.max_delay),
            ..FollowOptions::immediate()
        }
    };
    context.follow(ObjectKind::Configuration, options, move |batch| {
        for change in batch.changes {
            let revision = change.newest_revision();
            fleet.apply_config(change, batch.source);
            newest_config.record_seen(revision.unwrap_or(0));
        }
        fleet.record_config_confirmed(batch.as_of, batch.source);
        interest.set_config(&fleet.config());
        let head_bytes = max_buffered_head(fleet.config().max_header_bytes);
        max_head_bytes.store(head_bytes, Ordering::Relaxed);
        local_member.set_takes_steps(!tasks.is_draining());
        live.update_upstreams();
        scoring.update_upstreams();
    });
    let list = Arc::new(std::sync::Mutex::new(UpstreamList::default()));
    let (fleet, live) = (
        Arc::clone(&request_handler.fleet),
        Arc::clone(&request_handler.live),
    );
    let (scoring, connections) = (
        request_handler.scoring.clone(),
        request_handler.connections.clone(),
    );
    let followed_list = Arc::clone(&list);
    let drafting = request_handler.drafting.clone();
    let interest = Arc::clone(&context.sources.interest);
    let idle_pause = context.settings.leaving().mul_f64(IDLE_PAUSE_FRACTION);
    let options = move || FollowOptions {
        pause: if drafting.is_busy() {
            Duration::ZERO
        } else {
            idle_pause
        },
        seed_pause: SEED_PAUSE,
        ..FollowOptions::immediate()
    };
    context.follow(ObjectKind::Upstreams, options, move |batch| {
        let mut list = followed_list
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        fleet.set_extent(batch.extent);
        if let Some(total) = batch.extent.total_upstreams {
            interest.set_total_upstreams(total);
        }
        let changes = fleet.apply_upstreams(&mut list, batch.changes);
        for address in changes.restarted {
            connections.close_idle(address);
        }
        // The weights of an upstream do not matter to live and reward calls.
        if changes.routing_changed {
            live.update_upstreams();
            scoring.update_upstreams();
        }
    });
    let fleet = Arc::clone(&request_handler.fleet);
    let holder = request_handler.holder.clone();
    let options = move || FollowOptions {
        freshness: if holder.holds_duty() {
            Freshness::Newest
        } else {
            Freshness::Seconds
        },
        ..FollowOptions::immediate()
    };
    context.follow(ObjectKind::WeightVersions, options, move |batch| {
        for change in batch.changes {
            fleet.apply_versions(change);
        }
    });
    let (homes, holder) = (
        request_handler.homes.clone(),
        request_handler.holder.clone(),
    );
    let failed_requests = request_handler.failed_requests.clone();
    let options = FollowOptions::delayed;
    context.follow(ObjectKind::Duties, options, move |batch| {
        for change in batch.changes {
            holder.apply_change(&change);
            failed_requests.apply(&change);
            homes.apply(change);
        }
    });
    let submissions = request_handler.submissions.clone();
    context
        .tasks
        .spawn(async move { submissions.resume().await });
    let (fleet, live) = (
        Arc::clone(&request_handler.fleet),
        Arc::clone(&request_handler.live),
    );
    let scoring = request_handler.scoring.clone();
    context.tasks.spawn(async move {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let mut list = list
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            let has_dropped = fleet.drop_expired(&mut list);
            drop(list);
            if has_dropped {
                live.update_upstreams();
                scoring.update_upstreams();
            }
            live.tick();
            scoring.tick();
        }
    });
}

/// Serves an address until the process ends.
async fn serve<F, A>(
    context: &NodeContext,
    request_handler: &Arc<RequestHandler>,
    listener: NodeListener,
    handle: F,
) -> io::Result<impl Future<Output = ()> + Send + use<F, A>>
where
    F: Fn(Arc<RequestHandler>, Request<Incoming>) -> A + Copy + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let request_handler = Arc::clone(request_handler);
    let handler =
        server::handler(move |request| Box::pin(handle(Arc::clone(&request_handler), request)));
    listener.serve(context, handler).await
}
