//! One deployment inside the replay: the programs' own code on every VM, and the
//! stand-ins around them.

use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use firweir::connection::object::EntryVm;
use firweir::connection::object::VmList;
use firweir::process::clock::Clock;
use firweir::process::clock::RuntimeClock;
use firweir::process::entry::Entry;
use firweir::process::entry::MakeDispatcher;
use firweir::process::feed;
use firweir::process::log::Journal;
use firweir::process::run::Parts;
use firweir::process::settings::Settings;
use firweir::process::steward;
use firweir::process::storage::Storage;
use firweir::process::tasks::Tasks;
use firweir::process::vault;
use firweir::request::record::FeedRecord;
use firweir::version::view::Upstream;
use firweir_policy::straggler::StragglerPolicy;

use crate::caller::Balancer;
use crate::caller::Callers;
use crate::engine::Engine;
use crate::judge::Judge;
use crate::judge::Speed;
use crate::memory_storage::MemoryStorage;
use crate::object_api::ObjectApiStand;
use crate::pipe::CLIENT_ZONE;
use crate::pipe::Fabric;
use crate::pipe::Latency;
use crate::pipe::Zone;
use crate::service;
use crate::stand::Ground;
use crate::trace::Trace;
use crate::trace::TrainerSpec;
use crate::trace::UpstreamSpec;
use crate::trainer;
use crate::trainer::SharedKept;
use crate::trainer::TrainerSettings;
use crate::weight_store;

const ENTRY_PORT: u16 = 7_000;
const DRAFT_PORT: u16 = 7_001;
const FEED_PORT: u16 = 7_002;
const STEWARD_PORT: u16 = 7_003;
const VAULT_PORT: u16 = 7_004;
const UPSTREAM_PORT: u16 = 8_000;
const PLATFORM_PORT: u16 = 6_000;
const WEIGHT_PORT: u16 = 6_001;
const TRAINER_PORT: u16 = 9_000;

/// Where the virtual clock starts, as a time of day.
const EPOCH: Duration = Duration::from_secs(1_790_000_000);

/// Room of a vault: some lots of the largest step in a trace.
const VAULT_LIMIT_BYTES: u64 = 64 << 20;

/// Drains end this long after the listeners were told to close.
const DRAIN_LINGER_MS: u64 = 2_000;

/// The balancer's health checks notice a change within this.
pub const HEALTH_CHECK_LAG: Duration = Duration::from_secs(1);

/// One of the system's VMs.
#[derive(Debug)]
pub struct Vm {
    /// Its place in the deployment.
    pub index: u32,
    /// Its zone.
    pub zone: Zone,
    address: IpAddr,
    starts: u64,
    /// Files of its vault, if it has one.
    pub disk: Option<MemoryStorage>,
    /// Tasks of all its programs; none while it is down.
    pub tasks: Option<Tasks>,
    /// Its entry as it was last started.
    pub entry: Option<Arc<Entry>>,
}

/// One trainer.
#[derive(Debug, Default)]
pub struct TrainerStand {
    /// Its tasks.
    pub tasks: Tasks,
    kept: SharedKept,
}

/// One upstream.
#[derive(Debug)]
pub struct UpstreamStand {
    spec: UpstreamSpec,
    /// How the VM list shows it.
    pub listed: Upstream,
    zone: Zone,
    starts: u64,
    tasks: Tasks,
    /// A fault of the trace ended it and will start it again.
    crashed_by_fault: Cell<bool>,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// The whole deployment.
#[derive(Debug)]
pub struct World {
    /// What is replayed.
    pub trace: Trace,
    /// Judges the run.
    pub judge: Judge,
    /// The network.
    pub fabric: Arc<Fabric>,
    /// The platform.
    pub platform: ObjectApiStand,
    /// The system's VMs.
    pub vms: Vec<Vm>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStand>,
    /// All trainers.
    pub trainers: Vec<TrainerStand>,
    /// The balancer.
    pub balancer: Balancer,
    /// All callers.
    pub callers: Callers,
    clock: Arc<dyn Clock>,
    seed: u64,
    make_dispatcher: MakeDispatcher,
    rules: StragglerPolicy,
}

fn address(net: u8, host: u32) -> IpAddr {
    IpAddr::from([10, net, (host / 250) as u8, (host % 250 + 1) as u8])
}

impl World {
    /// Builds the deployment; its VMs are down and its configuration empty.
    ///
    /// # Errors
    ///
    /// A stand-in cannot listen at its address.
    pub async fn build(
        trace: Trace,
        seed: u64,
        make_dispatcher: MakeDispatcher,
        rules: StragglerPolicy,
    ) -> io::Result<Self> {
        let fabric = Fabric::new(Latency {
            local: Duration::from_micros(trace.latency.local_us),
            zones: Duration::from_micros(trace.latency.zones_us),
            clients: Duration::from_micros(trace.latency.clients_us),
        });
        let clock: Arc<dyn Clock> = Arc::new(RuntimeClock::starting_at(EPOCH));
        let ground = |host: IpAddr, zone: Zone, part: u64| Ground {
            net: Arc::new(fabric.host(host, zone)),
            clock: Arc::clone(&clock),
            tasks: Tasks::new(),
            seed: seed.wrapping_mul(31).wrapping_add(part),
        };
        let judge = Judge::new();
        let platform_ground = ground(address(9, 0), Zone(0), 1);
        let settings = trace.platform;
        let platform = ObjectApiStand::new(
            &platform_ground,
            Duration::from_millis(settings.vm_list_lag_ms),
            settings.writes_per_s,
            settings.reads_per_s,
        );
        platform.start(&platform_ground, platform_address()).await?;
        weight_store::start(
            &platform_ground,
            weight_address(),
            settings.weight_loads_at_once,
            Duration::from_millis(settings.weight_load_ms),
        )
        .await?;
        let balancer = Balancer::default();
        let client_ground = ground(address(8, 200), CLIENT_ZONE, 2);
        let callers = Callers::new(client_ground, balancer.clone(), judge.clone());
        let mut world = Self {
            vms: Vec::new(),
            upstreams: Vec::new(),
            trainers: Vec::new(),
            judge,
            fabric: Arc::clone(&fabric),
            platform,
            balancer,
            callers,
            clock: Arc::clone(&clock),
            seed,
            make_dispatcher,
            rules,
            trace,
        };
        world.plan_vms();
        world.start_upstreams().await?;
        Ok(world)
    }

    fn zone_of(&self, index: u32) -> Zone {
        Zone((index as usize % self.trace.zones.len()) as u16)
    }

    fn zone_name(&self, zone: Zone) -> String {
        self.trace.zones[zone.0 as usize].clone()
    }

    fn plan_vms(&mut self) {
        for index in 0..self.trace.entries {
            let zone = self.zone_of(index);
            self.vms.push(Vm {
                index,
                zone,
                address: address(0, index),
                starts: 0,
                disk: (index < self.trace.vaults).then(MemoryStorage::default),
                tasks: None,
                entry: None,
            });
        }
    }

    async fn start_upstreams(&mut self) -> io::Result<()> {
        for spec in self.trace.upstreams.clone() {
            for index in 0..spec.count {
                let host = self.upstreams.len() as u32;
                let zone = self.zone_of(index);
                let listed = Upstream {
                    service: spec.service.clone(),
                    address: SocketAddr::new(address(1, host), UPSTREAM_PORT),
                    zone: self.zone_name(zone),
                    leaving: false,
                };
                self.upstreams.push(UpstreamStand {
                    spec: spec.clone(),
                    listed,
                    zone,
                    starts: 0,
                    tasks: Tasks::new(),
                    crashed_by_fault: Cell::new(false),
                    engine: None,
                });
                self.start_upstream(host as usize).await?;
            }
        }
        Ok(())
    }

    /// Starts an upstream, new or after a crash.
    ///
    /// # Errors
    ///
    /// Its address is in use.
    pub async fn start_upstream(&mut self, index: usize) -> io::Result<()> {
        let upstream = &mut self.upstreams[index];
        upstream.starts += 1;
        upstream.tasks = Tasks::new();
        upstream.crashed_by_fault.set(false);
        let at = upstream.listed.address;
        let part = 1_000 + index as u64 + upstream.starts * 100_000;
        let ground = Ground {
            net: Arc::new(self.fabric.host(at.ip(), upstream.zone)),
            clock: Arc::clone(&self.clock),
            tasks: upstream.tasks.clone(),
            seed: self.seed.wrapping_mul(31).wrapping_add(part),
        };
        let judge = self.judge.clone();
        if let Some(settings) = upstream.spec.engine {
            let engine = Engine::start(ground, at, settings, weight_address(), judge).await?;
            upstream.engine = Some(engine);
        } else {
            let work = Duration::from_millis(upstream.spec.work_ms);
            service::start(&ground, at, work, judge).await?;
        }
        Ok(())
    }

    /// Ends an upstream with all that runs on it.
    pub fn crash_upstream(&self, index: usize) {
        self.upstreams[index].crashed_by_fault.set(true);
        self.upstreams[index].tasks.kill();
    }

    /// Upstreams that are down and no fault's.
    #[must_use]
    pub fn poisoned_upstreams(&self) -> Vec<usize> {
        let down = |upstream: &UpstreamStand| {
            upstream.tasks.is_killed() && !upstream.crashed_by_fault.get()
        };
        let all = self.upstreams.iter().enumerate();
        all.filter(|(_, upstream)| down(upstream))
            .map(|(index, _)| index)
            .collect()
    }

    /// Starts the programs of a VM.
    ///
    /// # Errors
    ///
    /// One of its addresses is in use.
    pub async fn start_vm(&mut self, index: usize) -> io::Result<()> {
        let tasks = Tasks::new();
        let vm = &mut self.vms[index];
        vm.starts += 1;
        vm.tasks = Some(tasks.clone());
        let part = 10 + u64::from(vm.index) + vm.starts * 1_000;
        let seed = self.seed.wrapping_mul(31).wrapping_add(part);
        let settings = self.settings(index);
        let journal = Journal::new(Arc::clone(&self.clock), &settings.node, None)?;
        let vm = &self.vms[index];
        let parts = Parts {
            settings: Arc::new(settings),
            net: Arc::new(self.fabric.host(vm.address, vm.zone)),
            clock: Arc::clone(&self.clock),
            tasks: tasks.clone(),
            journal,
            seed,
        };
        steward::start(parts.clone()).await?;
        if let Some(disk) = vm.disk.clone() {
            let serving = vault::start(parts.clone(), Rc::new(disk)).await;
            tasks.spawn_local(serving.map_err(io::Error::other)?);
        }
        let entry = Entry::new(parts.clone(), self.make_dispatcher);
        tasks.spawn(Arc::clone(&entry).serve_callers().await?);
        self.vms[index].entry = Some(Arc::clone(&entry));
        entry.serve_peers().await?;
        tasks.spawn_local(feed::start(parts, self.rules).await?);
        Ok(())
    }

    fn settings(&self, index: usize) -> Settings {
        let vm = &self.vms[index];
        let at = |port| SocketAddr::new(vm.address, port);
        Settings {
            deployment: self.trace.deployment.clone(),
            node: node_name(vm.index),
            zone: self.zone_name(vm.zone),
            object_api: platform_address(),
            steward_listen: at(STEWARD_PORT),
            entry_listen: at(ENTRY_PORT),
            draft_listen: at(DRAFT_PORT),
            feed_listen: at(FEED_PORT),
            seeds: self.seeds(),
            metrics: None,
            drain_linger_ms: DRAIN_LINGER_MS,
            log_level: "off".to_owned(),
            vault_listen: vm.disk.is_some().then(|| at(VAULT_PORT)),
            data_folder: None,
            vault_limit_bytes: VAULT_LIMIT_BYTES,
        }
    }

    /// The first VM of each zone, as an operator would set them.
    fn seeds(&self) -> Vec<SocketAddr> {
        let first = self.vms.iter().take(self.trace.zones.len());
        first
            .map(|vm| SocketAddr::new(vm.address, STEWARD_PORT))
            .collect()
    }

    /// Shows the platform's VM list as things are now.
    pub fn publish_vms(&self) {
        let up = |vm: &&Vm| vm.tasks.is_some();
        let entries = self.vms.iter().filter(up).map(|vm| EntryVm {
            node: node_name(vm.index),
            steward: SocketAddr::new(vm.address, STEWARD_PORT),
        });
        let upstreams = self
            .upstreams
            .iter()
            .map(|upstream| upstream.listed.clone());
        let vms = VmList {
            entries: entries.collect(),
            upstreams: upstreams.collect(),
        };
        self.platform.set_vms(vms);
    }

    /// Lets the balancer see which entries take callers.
    pub fn check_health(&self) {
        let well = |vm: &&Vm| vm.tasks.as_ref().is_some_and(|tasks| !tasks.is_draining());
        let entries = self.vms.iter().filter(well);
        let addresses = entries.map(|vm| SocketAddr::new(vm.address, ENTRY_PORT));
        self.balancer.set(addresses.collect());
    }

    /// Shows the judge which configuration the healthy entries serve.
    pub fn check_revisions(&self) {
        for vm in &self.vms {
            let revision = vm.entry.as_ref().map_or(0, |entry| entry.view().revision);
            if vm.tasks.is_some() && revision > 0 {
                self.judge.serves(vm.index, revision);
            }
        }
    }

    /// Starts the trainers.
    ///
    /// # Errors
    ///
    /// An address is in use.
    pub async fn start_trainers(&mut self) -> io::Result<()> {
        for index in 0..self.trace.trainers.len() {
            self.trainers.push(TrainerStand::default());
            self.start_trainer(index).await?;
        }
        Ok(())
    }

    /// Starts a trainer, new or from what it kept.
    ///
    /// # Errors
    ///
    /// Its address is in use.
    pub async fn start_trainer(&mut self, index: usize) -> io::Result<()> {
        let at = trainer_address(index as u32);
        let tasks = Tasks::new();
        let ground = Ground {
            net: Arc::new(self.fabric.host(at.ip(), CLIENT_ZONE)),
            clock: Arc::clone(&self.clock),
            tasks: tasks.clone(),
            seed: self.seed,
        };
        let settings = self.trainer_settings(&self.trace.trainers[index]);
        let trainer = &mut self.trainers[index];
        trainer.tasks = tasks;
        let kept = Arc::clone(&trainer.kept);
        trainer::start(&ground, at, settings, kept, self.judge.clone()).await?;
        let spec = &self.trace.trainers[index];
        if let Some(speed) = self.speed(spec) {
            self.judge.set_speed(&spec.feed, speed);
        }
        Ok(())
    }

    /// The record of a trainer's feed, as the object API holds it.
    #[must_use]
    pub fn feed_record(&self, trainer: usize) -> Option<FeedRecord> {
        let trainers = &self.trace.trainers;
        let spec = trainers.get(trainer % trainers.len().max(1))?;
        let value = self.platform.value(&feed::record_key(&spec.feed))?;
        serde_json::from_slice(&value).ok()
    }

    /// Some vault has bodies of the feed's next lot.
    #[must_use]
    pub fn vault_has(&self, record: &FeedRecord) -> bool {
        let next = format!("-{}-{}-", record.next_step(), record.next_generation);
        let disks = self.vms.iter().filter_map(|vm| vm.disk.as_ref());
        let mut files = disks.flat_map(|disk| disk.list().unwrap_or_default());
        files.any(|name| name.contains(&next))
    }

    /// The VM of this name.
    #[must_use]
    pub fn vm_named(&self, node: &str) -> Option<usize> {
        self.vms.iter().position(|vm| node_name(vm.index) == node)
    }

    /// How fast the engines of a feed are at best.
    fn speed(&self, trainer: &TrainerSpec) -> Option<Speed> {
        let setting = |section: &str, name: &str, key: &str| {
            let files = self.trace.config.iter().rev();
            let mut values =
                files.filter_map(|file| file.content.get(section)?.get(name)?.get(key).cloned());
            values.next()
        };
        let service = setting("feeds", &trainer.feed, "service")?;
        let service = service.as_str()?;
        let limit = setting("services", service, "limit_per_upstream")?.as_u64()?;
        let spec = self
            .trace
            .upstreams
            .iter()
            .find(|spec| spec.service == service)?;
        Some(spec.engine?.speed(spec.count, limit as u32))
    }

    /// The trainer of a feed, as the configuration names it.
    #[must_use]
    pub fn trainer_of(&self, feed: &str) -> String {
        let position = self
            .trace
            .trainers
            .iter()
            .position(|spec| spec.feed == feed);
        trainer_address(position.unwrap_or(self.trace.trainers.len()) as u32).to_string()
    }

    fn trainer_settings(&self, spec: &TrainerSpec) -> TrainerSettings {
        let number = |key: &str| {
            let files = self.trace.config.iter().rev();
            let mut values = files.filter_map(|file| {
                file.content
                    .get("feeds")?
                    .get(&spec.feed)?
                    .get(key)?
                    .as_u64()
            });
            values.next().unwrap_or(0)
        };
        TrainerSettings {
            feed: spec.feed.clone(),
            feeds: self
                .vms
                .iter()
                .map(|vm| SocketAddr::new(vm.address, FEED_PORT))
                .collect(),
            samples: (number("groups_per_step") * number("samples_per_group")) as u32,
            bound_versions: number("staleness_bound_versions"),
            train: Duration::from_secs_f64(spec.train_s),
        }
    }

    /// Parts for an operator inside the network.
    ///
    /// # Errors
    ///
    /// None today; metrics are off.
    pub fn operator_parts(&self, number: u32) -> io::Result<Parts> {
        let mut parts = Parts::for_operator(platform_address())?;
        parts.net = Arc::new(self.fabric.host(address(8, 100 + number), CLIENT_ZONE));
        parts.clock = Arc::clone(&self.clock);
        parts.seed = self.seed.wrapping_add(u64::from(number));
        Ok(parts)
    }
}

fn node_name(index: u32) -> String {
    format!("vm-{index}")
}

fn platform_address() -> SocketAddr {
    SocketAddr::new(address(9, 0), PLATFORM_PORT)
}

fn weight_address() -> SocketAddr {
    SocketAddr::new(address(9, 0), WEIGHT_PORT)
}

fn trainer_address(index: u32) -> SocketAddr {
    SocketAddr::new(address(8, index), TRAINER_PORT)
}
