//! The entry: takes callers' requests and feeds' drafts, and holds the limits
//! within which both reach the upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::dispatch::LaneDispatcher;
use firweir_policy::straggler::REPORT_INTERVAL;
use firweir_policy::suspect::Isolation;
use firweir_policy::suspect::LossReport;
use firweir_policy::suspect::Suspects;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::client::HttpClient;
use crate::connection::client::within;
use crate::connection::peer;
use crate::connection::server;
use crate::connection::server::Body;
use crate::connection::server::json;
use crate::process::charges::Message;
use crate::process::charges::Outgoing;
use crate::process::charges::PeerSender;
use crate::process::charges::Shards;
use crate::process::demand::Demands;
use crate::process::demand::Sharing;
use crate::process::follow::follow;
use crate::process::follow::report;
use crate::process::run::Parts;
use crate::process::shard::EndedClaim;
use crate::request::call::boxed_answer;
use crate::request::charge::read_charge;
use crate::request::charge::read_progress;
use crate::request::charge::write_verdict;
use crate::request::chunk::Segment;
use crate::request::chunk::join;
use crate::request::draft::read_draft;
use crate::request::draft::write_drafted;
use crate::request::draft::write_segments;
use crate::request::gate::Gate;
use crate::request::gate::GateUpstream;
use crate::request::idempotency::Ledger;
use crate::version::view::Demand;
use crate::version::view::Observed;
use crate::version::view::SharedView;
use crate::version::view::Suspect;
use crate::version::view::View;
use crate::wire::firweir_capnp::entry;
use crate::wire::firweir_capnp::progress;

/// Time between looks at time-bound decisions.
const TICK_EVERY: Duration = Duration::from_millis(100);

/// Messages about charged calls that wait to be sent; more are refused.
const OUTBOX_LENGTH: usize = 4_096;

/// Path that the balancer asks.
const HEALTH_PATH: &str = "/healthz";

/// Makes the dispatcher of a service.
pub type MakeDispatcher = fn() -> Box<dyn Dispatcher>;

/// The dispatcher that firweir runs with.
#[must_use]
pub fn balanced() -> Box<dyn Dispatcher> {
    Box::new(LaneDispatcher::new())
}

#[derive(Debug)]
struct NamedGate {
    service: String,
    gate: Arc<Gate>,
}

/// What all requests of one entry share.
#[derive(Debug)]
pub struct Entry {
    parts: Parts,
    http: HttpClient,
    ledger: Ledger,
    outbox: mpsc::Sender<Outgoing>,
    /// Taken by the thread that carries them.
    queued: Mutex<Option<mpsc::Receiver<Outgoing>>>,
    view: SharedView,
    /// Gates sorted by service; replaced whole when a service appears.
    gates: ArcSwap<Vec<NamedGate>>,
    make_dispatcher: MakeDispatcher,
    suspects: Mutex<Suspects>,
    /// Held while a suspect is tried alone.
    alone: Semaphore,
}

impl Entry {
    /// An entry that knows nothing of the fleet yet.
    #[must_use]
    pub fn new(parts: Parts, make_dispatcher: MakeDispatcher) -> Arc<Self> {
        let (outbox, queued) = mpsc::channel(OUTBOX_LENGTH);
        Arc::new(Self {
            http: parts.http(),
            ledger: Ledger::new(parts.object_api("entry"), outbox.clone()),
            outbox,
            queued: Mutex::new(Some(queued)),
            view: SharedView::default(),
            gates: ArcSwap::default(),
            make_dispatcher,
            suspects: Mutex::default(),
            alone: Semaphore::new(1),
            parts,
        })
    }

    /// Serves callers until a drain has ended.
    ///
    /// # Errors
    ///
    /// The address cannot be listened at.
    pub async fn serve_callers(
        self: Arc<Self>,
    ) -> std::io::Result<impl Future<Output = ()> + Send> {
        let entry = Arc::clone(&self);
        let handler = server::handler(move |request| {
            let entry = Arc::clone(&entry);
            Box::pin(async move { entry.route(request).await })
        });
        let settings = &self.parts.settings;
        let (at, linger) = (settings.entry_listen, settings.drain_linger());
        let (address, serving) =
            server::serve(&self.parts.net, &self.parts.tasks, at, linger, handler).await?;
        self.parts
            .journal
            .event("entry_started", &[("address", &address)]);
        let ticking = Arc::clone(&self);
        self.parts
            .tasks
            .spawn(async move { ticking.tick_forever().await });
        Ok(serving)
    }

    /// Serves drafts and follows the steward; runs on one thread's `LocalSet`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened at.
    pub async fn serve_peers(self: Arc<Self>) -> std::io::Result<()> {
        let client: entry::Client = capnp_rpc::new_client(PeerSide {
            shards: self.start_charges(),
            entry: Arc::clone(&self),
        });
        let at = self.parts.settings.draft_listen;
        let (address, serving) =
            peer::serve(&self.parts.net, &self.parts.tasks, at, client.client).await?;
        self.parts.tasks.spawn_local(serving);
        self.parts
            .journal
            .event("drafts_started", &[("address", &address)]);
        let follower = Arc::clone(&self);
        let view = Arc::clone(&self.view);
        let following = follow(self.parts.clone(), "entry", view, move |view| {
            follower.take_view(view);
        });
        self.parts.tasks.spawn_local(following);
        let observer = Arc::clone(&self);
        let demands = Demands::default();
        let observe = move || Observed {
            demands: demands.observe(observer.demands()).demands,
            ..observer.observed()
        };
        let reporting = report(self.parts.clone(), observe);
        self.parts.tasks.spawn_local(reporting);
        Ok(())
    }

    /// What the entry reports to the other VMs.
    fn observed(&self) -> Observed {
        let reports = self.suspects().reports(self.now(), 0);
        let suspects = reports.iter().map(|reported| Suspect {
            fingerprint: reported.fingerprint,
            upstreams_lost: reported.losses,
        });
        Observed {
            suspects: suspects.collect(),
            ..Observed::default()
        }
    }

    /// Takes in what other VMs report.
    fn take_observed(&self, view: &View) {
        let node = &self.parts.settings.node;
        let others = view
            .observed
            .iter()
            .filter(|observed| observed.node != *node);
        let reports = others.flat_map(|observed| {
            let node = xxh3_64(observed.node.as_bytes());
            let suspects = observed.suspects.iter();
            suspects.map(move |suspect| LossReport {
                fingerprint: suspect.fingerprint,
                node,
                losses: suspect.upstreams_lost,
            })
        });
        self.suspects().set_reports(reports.collect());
    }

    /// Notes that an upstream was lost with this request in flight. From the second
    /// loss on, all VMs are told at once: its caller may send it again sooner than
    /// reports spread. VMs that count as dead are told too: one that has just started
    /// again takes calls some seconds before the others list it as alive, and ran such
    /// a request once more. Bystanders of one crash cause no message.
    pub fn note_loss(&self, fingerprint: u64) {
        let now = self.now();
        let mut suspects = self.suspects();
        let upstreams_lost = suspects.record_loss(now, fingerprint);
        // Counted over all VMs: the third loss is the first one here.
        let isolation = suspects.isolation(now, fingerprint);
        drop(suspects);
        if isolation == Isolation::Free {
            return;
        }
        let suspect = Suspect {
            fingerprint,
            upstreams_lost,
        };
        let view = self.view();
        let own = self.parts.settings.draft_listen;
        let members = view.members.iter().map(|member| member.draft_address);
        let holders: Vec<SocketAddr> = members.filter(|at| *at != own).collect();
        let told = holders.len();
        self.parts.journal.event(
            "suspect",
            &[
                ("fingerprint", &fingerprint),
                ("lost", &upstreams_lost),
                ("told", &told),
            ],
        );
        let outgoing = Outgoing {
            holders,
            message: Message::Suspect(suspect),
        };
        // With the queue full, the reports carry it.
        drop(self.outbox.try_send(outgoing));
    }

    /// Requests suspected of crashing upstreams.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The right to try a suspect; one suspect at a time, so that a crash is its own.
    pub const fn alone(&self) -> &Semaphore {
        &self.alone
    }

    /// Starts the shards of charged calls, and the sender of messages to other entries.
    fn start_charges(&self) -> Shards {
        let shards = Shards::start(&self.parts);
        let mut queued = self.queued.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(outbox) = queued.take() {
            let sender = PeerSender::new(&self.parts, shards.clone());
            let sending = sender.run(self.parts.clone(), outbox);
            self.parts.tasks.spawn_local(sending);
        }
        shards
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    /// Starts a task that ends with the process.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.parts.tasks.spawn(task);
    }

    /// The client towards upstreams.
    #[must_use]
    pub const fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Records of charged calls.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The gate of a service.
    #[must_use]
    pub fn gate(&self, service: &str) -> Option<Arc<Gate>> {
        let gates = self.gates.load();
        let position = gates
            .binary_search_by(|named| named.service.as_str().cmp(service))
            .ok()?;
        Some(Arc::clone(&gates[position].gate))
    }

    /// Logs that an answer broke off and was to go on at another engine.
    pub fn note_continued(&self, service: &str, fingerprint: u64, goes_on: bool) {
        self.parts.journal.count("entry.continued");
        self.parts.journal.event(
            "stream_continued",
            &[
                ("service", &service),
                ("fingerprint", &fingerprint),
                ("goes_on", &goes_on),
            ],
        );
    }

    /// Logs and measures one call, as far as its head.
    pub fn note_call(&self, service: &str, outcome: &str, started: Instant, patience: Duration) {
        let elapsed = self.now().duration_since(started);
        self.parts.journal.time("entry.call", elapsed);
        self.parts.journal.count(match outcome {
            "answered" => "entry.answered",
            "not-run" => "entry.not_run",
            _ => "entry.unknown",
        });
        let (latency_ms, deadline_ms) = (elapsed.as_millis(), patience.as_millis());
        self.parts.journal.event(
            "call",
            &[
                ("service", &service),
                ("outcome", &outcome),
                ("latency_ms", &latency_ms),
                ("deadline_ms", &deadline_ms),
            ],
        );
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
            return self.health();
        }
        boxed_answer(self, request).await
    }

    /// The balancer stops sending as soon as this fails, which it does when a
    /// drain starts or as long as no configuration is in force.
    fn health(&self) -> Response<Body> {
        let view = self.view.load();
        let healthy = !self.parts.tasks.is_draining() && view.revision > 0;
        let status = if healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json(
            status,
            &serde_json::json!({ "healthy": healthy, "revision": view.revision }),
        )
    }

    fn take_view(&self, view: &View) {
        self.take_observed(view);
        let known = self.gates.load();
        let gates: Vec<NamedGate> = view
            .config
            .services
            .iter()
            .map(|service| {
                let held = known.iter().find(|named| named.service == service.name);
                let gate = held.map_or_else(
                    || Gate::new(Arc::clone(&self.parts.clock), (self.make_dispatcher)()),
                    |named| Arc::clone(&named.gate),
                );
                let sharing = Sharing::of(view, &self.parts.settings.node, &service.name);
                let upstreams = view.upstreams_of(&service.name).iter();
                let zone = &self.parts.settings.zone;
                let listed: Vec<GateUpstream> = upstreams
                    .map(|upstream| GateUpstream {
                        address: upstream.address,
                        start: 0,
                        local_zone: upstream.zone == *zone,
                        leaving: upstream.leaving,
                    })
                    .collect();
                let limit = service.value.limit_per_upstream;
                gate.set_upstreams(&listed, limit, &sharing.fleet());
                NamedGate {
                    service: service.name.clone(),
                    gate,
                }
            })
            .collect();
        self.gates.store(Arc::new(gates));
        let live = view.live_members().count();
        self.parts.journal.event(
            "view_taken",
            &[("revision", &view.revision), ("live", &live)],
        );
    }

    /// Work in flight and waiting, by service.
    fn demands(&self) -> Vec<Demand> {
        let gates = self.gates.load();
        let demand = |named: &NamedGate| {
            let (in_flight, waiting) = named.gate.demand();
            Demand {
                service: named.service.clone(),
                in_flight: in_flight as u32,
                waiting: waiting as u32,
            }
        };
        gates.iter().map(demand).collect()
    }

    async fn tick_forever(&self) {
        loop {
            tokio::time::sleep(TICK_EVERY).await;
            for named in self.gates.load().iter() {
                named.gate.tick();
            }
        }
    }
}

/// The entry as feeds and other entries see it.
struct PeerSide {
    entry: Arc<Entry>,
    shards: Shards,
}

impl entry::Server for PeerSide {
    async fn draft(
        self: std::rc::Rc<Self>,
        params: entry::DraftParams,
        mut results: entry::DraftResults,
    ) -> Result<(), capnp::Error> {
        let draft = read_draft(params.get()?.get_draft()?)?;
        let progress = params.get()?.get_progress()?;
        let (reports, taken) = mpsc::unbounded_channel();
        let drafting = async move { self.entry.draft(&draft, &reports).await };
        let (drafted, ()) = tokio::join!(biased; drafting, pass_on(taken, &progress));
        write_drafted(&drafted, results.get().init_answer());
        Ok(())
    }

    async fn begin(
        self: std::rc::Rc<Self>,
        params: entry::BeginParams,
        mut results: entry::BeginResults,
    ) -> Result<(), capnp::Error> {
        let charge = read_charge(params.get()?.get_charge()?)?;
        let verdict = self.shards.begin(charge).await;
        write_verdict(&verdict, results.get().init_verdict());
        Ok(())
    }

    async fn end(
        self: std::rc::Rc<Self>,
        params: entry::EndParams,
        mut results: entry::EndResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let ended = EndedClaim {
            key: params.get_key()?.to_str()?.to_owned(),
            claim: params.get_claim()?.to_str()?.to_owned(),
            progress: read_progress(params.get_progress()?)?,
        };
        results.get().set_kept(self.shards.end(ended).await);
        Ok(())
    }
    async fn suspect(
        self: std::rc::Rc<Self>,
        params: entry::SuspectParams,
        _results: entry::SuspectResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let suspect = params.get_suspect()?;
        let notice = LossReport {
            fingerprint: suspect.get_fingerprint(),
            node: xxh3_64(params.get_node()?.as_bytes()),
            losses: suspect.get_upstreams_lost(),
        };
        self.entry.suspects().add_notice(self.entry.now(), notice);
        Ok(())
    }
}

/// Passes on to the feed what the engines make, and in between that this entry
/// is still at it; ends once the draft has ended and all was passed on.
async fn pass_on(mut taken: mpsc::UnboundedReceiver<Segment>, progress: &progress::Client) {
    while !taken.is_closed() || !taken.is_empty() {
        let mut segments = Vec::new();
        let until = tokio::time::Instant::now() + REPORT_INTERVAL;
        while let Ok(Some(segment)) = tokio::time::timeout_at(until, taken.recv()).await {
            join(&mut segments, segment);
        }
        let mut request = progress.add_request();
        write_segments(
            &segments,
            request.get().init_segments(segments.len() as u32),
        );
        // A feed that is gone has given the draft up.
        drop(within(REPORT_INTERVAL, request.send().promise).await);
    }
}
