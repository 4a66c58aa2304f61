//! Stewards of many VMs in one process: their own code over the replay's
//! network, beside a stand-in for the platform. No entry or feed runs; followers
//! take the view and report demand as those of a busy VM would.

use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use firweir::connection::object::EntryVm;
use firweir::connection::object::ObjectApi;
use firweir::connection::object::VmList;
use firweir::process::clock::Clock;
use firweir::process::clock::RuntimeClock;
use firweir::process::ctl::Operator;
use firweir::process::follow::follow;
use firweir::process::follow::report;
use firweir::process::log::Journal;
use firweir::process::run::Parts;
use firweir::process::settings::Settings;
use firweir::process::steward;
use firweir::process::steward::Steward;
use firweir::process::tasks::Tasks;
use firweir::version::view::Demand;
use firweir::version::view::Observed;
use firweir::version::view::SharedView;
use firweir::version::view::Upstream;

use crate::object_api::ObjectApiStand;
use crate::pipe::CLIENT_ZONE;
use crate::pipe::Fabric;
use crate::pipe::Latency;
use crate::pipe::Zone;
use crate::stand::Ground;

/// Port of every steward.
pub const STEWARD_PORT: u16 = 7_003;

const PLATFORM_PORT: u16 = 6_000;

/// Where the virtual clock starts, as a time of day.
const EPOCH: Duration = Duration::from_secs(1_790_000_000);

/// Lag of the platform's VM list.
const VM_LIST_LAG: Duration = Duration::from_secs(2);

/// Rates of the platform as its users state them.
const WRITES_PER_S: u32 = 300;
const READS_PER_S: u32 = 2_000;

/// Programs of a VM that follow its steward.
const PROGRAMS: [&str; 2] = ["entry", "feed"];

/// One VM.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    address: IpAddr,
    starts: u64,
    /// Tasks of all its programs.
    pub tasks: Tasks,
    /// Its steward; none before the first start.
    pub steward: Option<Rc<Steward>>,
    /// What its programs hold.
    pub views: Vec<SharedView>,
}

/// Many VMs and their platform.
#[derive(Debug)]
pub struct Fleet {
    /// The network.
    pub fabric: Arc<Fabric>,
    /// The platform.
    pub platform: ObjectApiStand,
    /// The VMs.
    pub nodes: Vec<Node>,
    /// Upstreams in the VM list.
    pub upstreams: Vec<Upstream>,
    clock: Arc<dyn Clock>,
    zones: u16,
    seed: u64,
}

fn address(net: u8, host: u32) -> IpAddr {
    IpAddr::from([10, net, (host / 250) as u8, (host % 250 + 1) as u8])
}

fn platform_address() -> SocketAddr {
    SocketAddr::new(address(9, 0), PLATFORM_PORT)
}

/// A report as a busy entry makes it: another one each time.
fn busy_report(demand: &Cell<u32>) -> Observed {
    demand.set(demand.get() + 1);
    let demands = ["draft-models", "card-service"].map(|service| Demand {
        service: service.to_owned(),
        in_flight: demand.get(),
        waiting: demand.get() / 2,
    });
    Observed {
        demands: demands.to_vec(),
        ..Observed::default()
    }
}

impl Fleet {
    /// A platform and this many VMs, which are down.
    ///
    /// # Errors
    ///
    /// An in-memory address is in use.
    pub async fn plan(nodes: u32, zones: u16, seed: u64) -> io::Result<Self> {
        let fabric = Fabric::new(Latency {
            local: Duration::from_micros(150),
            zones: Duration::from_micros(500),
            clients: Duration::from_millis(3),
        });
        let clock: Arc<dyn Clock> = Arc::new(RuntimeClock::starting_at(EPOCH));
        let ground = Ground {
            net: Arc::new(fabric.host(address(9, 0), Zone(0))),
            clock: Arc::clone(&clock),
            tasks: Tasks::new(),
            seed,
        };
        let platform = ObjectApiStand::new(&ground, VM_LIST_LAG, WRITES_PER_S, READS_PER_S);
        platform.start(&ground, platform_address()).await?;
        let nodes = (0..nodes).map(|index| Node {
            name: format!("vm-{index}"),
            zone: Zone(index as u16 % zones),
            address: address(0, index),
            starts: 0,
            tasks: Tasks::new(),
            steward: None,
            views: Vec::new(),
        });
        Ok(Self {
            nodes: nodes.collect(),
            upstreams: Vec::new(),
            fabric,
            platform,
            clock,
            zones,
            seed,
        })
    }

    /// Starts all VMs and shows them in the VM list.
    ///
    /// # Errors
    ///
    /// An in-memory address is in use.
    pub async fn start(&mut self) -> io::Result<()> {
        for index in 0..self.nodes.len() {
            self.start_node(index).await?;
        }
        self.publish_vms();
        Ok(())
    }

    /// Starts one VM, new or after its end.
    ///
    /// # Errors
    ///
    /// Its address is in use.
    pub async fn start_node(&mut self, index: usize) -> io::Result<()> {
        self.nodes[index].starts += 1;
        let parts = self.parts(index)?;
        let (_address, steward) = steward::start_seen(parts.clone()).await?;
        let node = &mut self.nodes[index];
        node.tasks = parts.tasks.clone();
        node.steward = Some(steward);
        node.views.clear();
        for program in PROGRAMS {
            let view = SharedView::default();
            node.views.push(Arc::clone(&view));
            parts
                .tasks
                .spawn_local(follow(parts.clone(), program, view, |_view| {}));
        }
        let demand = Cell::new(0);
        let reporting = report(parts.clone(), move || busy_report(&demand));
        parts.tasks.spawn_local(reporting);
        Ok(())
    }

    /// Ends all programs of a VM, as its death would. The VM list still shows it.
    pub async fn kill(&self, index: usize) {
        self.nodes[index].tasks.kill();
        tokio::task::yield_now().await;
    }

    /// An operator inside the network.
    ///
    /// # Errors
    ///
    /// None today; metrics are off.
    pub fn operator(&self, number: u32) -> io::Result<Operator> {
        Ok(Operator::new(&self.operator_parts(number)?))
    }

    fn operator_parts(&self, number: u32) -> io::Result<Parts> {
        let mut parts = Parts::for_operator(platform_address())?;
        parts.net = Arc::new(self.fabric.host(address(8, number), CLIENT_ZONE));
        parts.clock = Arc::clone(&self.clock);
        parts.seed = self.seed.wrapping_add(u64::from(number));
        Ok(parts)
    }

    /// A client of the object API inside the network.
    ///
    /// # Errors
    ///
    /// None today; metrics are off.
    pub fn object_api(&self, number: u32) -> io::Result<ObjectApi> {
        Ok(self.operator_parts(number)?.object_api("other"))
    }

    /// Cuts a VM's zone off from everything for a while.
    pub fn cut_off(&self, index: usize, lasting: Duration) {
        let zone = self.nodes[index].zone;
        let others = (0..self.zones).map(Zone).filter(|other| *other != zone);
        for other in others.chain([CLIENT_ZONE]) {
            self.fabric.cut(zone, other, lasting);
            self.fabric.cut(other, zone, lasting);
        }
    }

    /// The least revision that any program of a running VM holds.
    #[must_use]
    pub fn revision_everywhere(&self) -> u64 {
        let views = self.running().flat_map(|node| &node.views);
        views.map(|view| view.load().revision).min().unwrap_or(0)
    }

    /// VMs that were not ended.
    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.tasks.is_killed())
    }

    /// Shows the VMs that run in the platform's VM list.
    pub fn publish_vms(&self) {
        let entries = self.running().map(|node| EntryVm {
            node: node.name.clone(),
            steward: SocketAddr::new(node.address, STEWARD_PORT),
        });
        self.platform.set_vms(VmList {
            entries: entries.collect(),
            upstreams: self.upstreams.clone(),
        });
    }

    /// Number of zones.
    #[must_use]
    pub const fn zones(&self) -> u16 {
        self.zones
    }

    /// The first VM of each zone, as an operator would set them.
    fn seeds(&self) -> Vec<SocketAddr> {
        let first = self.nodes.iter().take(usize::from(self.zones));
        first
            .map(|node| SocketAddr::new(node.address, STEWARD_PORT))
            .collect()
    }

    fn parts(&self, index: usize) -> io::Result<Parts> {
        let node = &self.nodes[index];
        let at = |port| SocketAddr::new(node.address, port);
        let settings = Settings {
            deployment: "fleet".to_owned(),
            node: node.name.clone(),
            zone: format!("zone-{}", node.zone.0),
            object_api: platform_address(),
            steward_listen: at(STEWARD_PORT),
            entry_listen: at(7_000),
            draft_listen: at(7_001),
            feed_listen: at(7_002),
            vault_listen: None,
            data_folder: None,
            vault_limit_bytes: 0,
            seeds: self.seeds(),
            metrics: None,
            drain_linger_ms: 2_000,
            log_level: "off".to_owned(),
        };
        let part = index as u64 + node.starts * 100_000;
        Ok(Parts {
            journal: Journal::new(Arc::clone(&self.clock), &settings.node, None)?,
            settings: Arc::new(settings),
            net: Arc::new(self.fabric.host(node.address, node.zone)),
            clock: Arc::clone(&self.clock),
            tasks: Tasks::new(),
            seed: self.seed.wrapping_mul(31).wrapping_add(part),
        })
    }
}
