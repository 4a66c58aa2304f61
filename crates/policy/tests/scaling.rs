//! Scaling orders against a simulated platform with three availability zones.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::scaling::Bounds;
use firweir_policy::scaling::CAPACITY_TYPES;
use firweir_policy::scaling::CapacityType;
use firweir_policy::scaling::Counts;
use firweir_policy::scaling::Demand;
use firweir_policy::scaling::Order;
use firweir_policy::scaling::PlacedOrder;
use firweir_policy::scaling::Zone;
use firweir_policy::scaling::orders;

const BOOT_TIME: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(250);
const RETRY_REFUSED_AFTER: Duration = Duration::from_secs(5);
const BOUNDS: Bounds = Bounds {
    min_per_zone: 4,
    max_per_zone: 30,
    slots: 8,
    spot_price_ratio: 0.4,
};

/// An upstream of the simulated platform.
struct SimulatedUpstream {
    zone: usize,
    capacity_type: CapacityType,
    serves_from: Instant,
}

struct Simulation {
    now: Instant,
    upstreams: Vec<SimulatedUpstream>,
    prices: [f64; 3],
    /// Zones and types for which the platform refuses to add upstreams (409).
    exhausted: Vec<(usize, CapacityType)>,
    ordered: [[Option<PlacedOrder>; 2]; 3],
    refused: [[Option<Instant>; 2]; 3],
    demand: Option<Demand>,
    sent_orders: Vec<(Duration, Order)>,
    started: Instant,
}

const fn index_of(capacity_type: CapacityType) -> usize {
    capacity_type as usize
}

const fn demand(largest_step: u32, samples: u32) -> Demand {
    Demand {
        samples,
        largest_step,
        is_complete: true,
    }
}

impl Simulation {
    /// Starts with `per_zone` on-demand upstreams per zone that no node has ordered.
    fn new(per_zone: usize, prices: [f64; 3]) -> Self {
        let now = Instant::now();
        let new_upstream = |number: usize| SimulatedUpstream {
            zone: number % 3,
            capacity_type: CapacityType::OnDemand,
            serves_from: now,
        };
        Self {
            now,
            upstreams: (0..per_zone * 3).map(new_upstream).collect(),
            prices,
            exhausted: Vec::new(),
            ordered: [[None; 2]; 3],
            refused: [[None; 2]; 3],
            demand: None,
            sent_orders: Vec::new(),
            started: now,
        }
    }

    fn count(&self, zone: usize, capacity_type: CapacityType) -> u32 {
        let found = self.upstreams.iter().filter(|upstream| {
            upstream.zone == zone
                && upstream.capacity_type == capacity_type
                && upstream.serves_from <= self.now
        });
        found.count() as u32
    }

    fn in_zone(&self, zone: usize) -> u32 {
        let found = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.zone == zone);
        found.count() as u32
    }

    fn total(&self) -> u32 {
        self.upstreams.len() as u32
    }

    fn serving(&self) -> u32 {
        let serving = |zone| CAPACITY_TYPES.map(|capacity_type| self.count(zone, capacity_type));
        (0..3).flat_map(serving).sum()
    }

    fn zone(&self, zone: usize) -> Zone {
        let mut listed = Counts::default();
        let mut present = Counts::default();
        for capacity_type in CAPACITY_TYPES {
            let found = self.count(zone, capacity_type);
            let ordered = self.ordered[zone][index_of(capacity_type)];
            *listed.of_mut(capacity_type) = found;
            *present.of_mut(capacity_type) =
                ordered.map_or(found, |order| order.present(found, self.now, BOOT_TIME));
        }
        let is_refused = |capacity_type| {
            let refused = self.refused[zone][index_of(capacity_type)];
            refused.is_some_and(|refused_at| self.now - refused_at < RETRY_REFUSED_AFTER)
        };
        let mut ordered = self.ordered[zone].iter().flatten();
        Zone {
            price: self.prices[zone],
            listed,
            present,
            on_demand_unavailable: is_refused(CapacityType::OnDemand),
            spot_unavailable: is_refused(CapacityType::Spot),
            is_settling: ordered.any(|order| order.is_settling(self.now, BOOT_TIME)),
            running_requests: 0,
        }
    }

    /// Simulates the platform's response to an order.
    fn apply_order(&mut self, order: &Order) {
        let (zone, capacity_type) = (order.zone, order.capacity_type);
        let grows = order.count > order.before;
        if grows && self.exhausted.contains(&(zone, capacity_type)) {
            self.refused[zone][index_of(capacity_type)] = Some(self.now);
            return;
        }
        self.ordered[zone][index_of(capacity_type)] = Some(PlacedOrder {
            count: order.count,
            listed: self.count(zone, capacity_type),
            at: self.now,
        });
        self.set(zone, capacity_type, order.count);
    }

    fn set(&mut self, zone: usize, capacity_type: CapacityType, count: u32) {
        let is_of = |upstream: &SimulatedUpstream| {
            upstream.zone == zone && upstream.capacity_type == capacity_type
        };
        let present = self
            .upstreams
            .iter()
            .filter(|upstream| is_of(upstream))
            .count() as u32;
        for _ in present..count {
            self.upstreams.push(SimulatedUpstream {
                zone,
                capacity_type,
                serves_from: self.now + BOOT_TIME,
            });
        }
        for _ in count..present {
            let last = self.upstreams.iter().rposition(is_of);
            self.upstreams.remove(last.expect("counted"));
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let zones = [self.zone(0), self.zone(1), self.zone(2)];
        for order in orders(&zones, &BOUNDS, self.demand) {
            self.sent_orders.push((self.now - self.started, order));
            self.apply_order(&order);
            let in_zone = self.in_zone(order.zone);
            let shrinks = order.count < order.before;
            assert!(
                !shrinks || in_zone >= BOUNDS.min_per_zone,
                "{in_zone} after {order:?}"
            );
        }
        for zone in 0..3 {
            let in_zone = self.in_zone(zone);
            assert!(in_zone <= BOUNDS.max_per_zone, "{in_zone} in zone {zone}");
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    /// Upstreams that remain if the zone with the most spot upstreams loses all of them.
    fn left_after_zone_loss(&self) -> u32 {
        let most = (0..3)
            .map(|zone| self.count(zone, CapacityType::Spot))
            .max();
        self.serving() - most.unwrap_or_default()
    }

    fn reclaim(&mut self, zone: usize) -> u32 {
        let before = self.total();
        self.upstreams.retain(|upstream| {
            upstream.zone != zone || upstream.capacity_type != CapacityType::Spot
        });
        before - self.total()
    }
}

/// Whether no zone has more than half of all serving upstreams.
fn no_zone_exceeds_half(simulation: &Simulation) -> bool {
    let in_zone = |zone| {
        CAPACITY_TYPES
            .map(|capacity_type| simulation.count(zone, capacity_type))
            .iter()
            .sum()
    };
    let largest: u32 = (0..3).map(in_zone).max().unwrap_or_default();
    largest <= simulation.serving().div_ceil(2)
}

/// Guards against a new holder of the scaling duty that does not know the demand yet and removes
/// upstreams in use.
#[test]
fn without_a_known_demand_nothing_is_ordered() {
    let mut simulation = Simulation::new(16, [1.0, 1.1, 1.3]);
    simulation.run(Duration::from_secs(30));
    assert!(
        simulation.sent_orders.is_empty(),
        "{:?}",
        simulation.sent_orders
    );
    simulation.demand = Some(Demand {
        samples: 80,
        largest_step: 80,
        is_complete: false,
    });
    simulation.run(Duration::from_secs(30));
    assert!(
        simulation.sent_orders.is_empty(),
        "{:?}",
        simulation.sent_orders
    );
}

/// Guards against a service without upstreams that gets none because its demand is not known.
#[test]
fn zones_are_filled_to_their_minimum_without_a_known_demand() {
    let mut simulation = Simulation::new(0, [1.0, 1.1, 1.3]);
    simulation.exhausted = vec![(1, CapacityType::Spot)];
    simulation.run(BOOT_TIME * 2);
    let counts = [0, 1, 2].map(|zone| simulation.in_zone(zone));
    assert_eq!(
        counts, [BOUNDS.min_per_zone; 3],
        "{:?}",
        simulation.sent_orders
    );
    let sent_before = simulation.sent_orders.len();
    simulation.run(Duration::from_secs(60));
    assert_eq!(
        simulation.sent_orders.len(),
        sent_before,
        "flapping: {:?}",
        simulation.sent_orders
    );
}

/// Guards against growth that waits for a reduction to end, and against a reduction that
/// follows halved demand at once, so that the next step finds too few upstreams.
#[test]
fn demand_that_doubles_is_met_after_a_boot_and_halves_slowly() {
    let mut simulation = Simulation::new(8, [1.0, 1.1, 1.3]);
    simulation.demand = Some(demand(100, 190));
    simulation.run(Duration::from_secs(60));
    assert!(
        simulation.left_after_zone_loss() >= 24,
        "{}",
        simulation.left_after_zone_loss()
    );
    simulation.demand = Some(demand(200, 380));
    simulation.run(BOOT_TIME + TICK * 2);
    assert!(
        simulation.left_after_zone_loss() >= 48,
        "{}",
        simulation.left_after_zone_loss()
    );
    assert!(
        no_zone_exceeds_half(&simulation),
        "a zone has more than half"
    );
    simulation.run(Duration::from_secs(60));
    let before = simulation.total();
    simulation.demand = Some(demand(100, 190));
    simulation.run(BOOT_TIME);
    assert!(
        simulation.total() + 3 >= before,
        "{} of {before}",
        simulation.total()
    );
    simulation.run(Duration::from_secs(120));
    assert!(
        simulation.left_after_zone_loss() >= 24,
        "{}",
        simulation.left_after_zone_loss()
    );
    assert!(
        simulation.total() < before - 10,
        "{} of {before}",
        simulation.total()
    );
    let sent_before = simulation.sent_orders.len();
    simulation.run(Duration::from_secs(60));
    assert_eq!(
        simulation.sent_orders.len(),
        sent_before,
        "flapping: {:?}",
        simulation.sent_orders
    );
}

/// Guards against too few upstreams, or a late replacement, when a zone loses all its spot
/// upstreams at once.
#[test]
fn a_reclaimed_zone_leaves_enough_and_is_replaced_after_a_boot() {
    let mut simulation = Simulation::new(8, [1.0, 1.1, 1.3]);
    simulation.demand = Some(demand(200, 380));
    simulation.run(Duration::from_secs(90));
    let lost = simulation.reclaim(0);
    assert!(lost > 0, "the cheapest zone has spot upstreams");
    assert!(
        simulation.serving() >= 48,
        "{} are left",
        simulation.serving()
    );
    simulation.run(BOOT_TIME + TICK * 2);
    assert!(
        simulation.left_after_zone_loss() >= 48,
        "{}",
        simulation.left_after_zone_loss()
    );
}

/// Guards against repeated orders in a zone that has no spot upstreams left, while other
/// zones get no order.
#[test]
fn upstreams_refused_in_one_zone_come_from_another() {
    let mut simulation = Simulation::new(8, [1.0, 1.1, 1.3]);
    simulation.exhausted = vec![(0, CapacityType::Spot)];
    simulation.demand = Some(demand(200, 380));
    simulation.run(BOOT_TIME + TICK * 3);
    assert!(
        simulation.left_after_zone_loss() >= 48,
        "{:?}",
        simulation.sent_orders
    );
    let asked = simulation.sent_orders.iter().filter(|(_, order)| {
        order.zone == 0 && order.capacity_type == CapacityType::Spot && order.count > order.before
    });
    assert!(asked.count() <= 2, "{:?}", simulation.sent_orders);
}

/// Guards against replacing upstreams for a small price change, and against a gap in service
/// while a large one is followed.
#[test]
fn prices_move_upstreams_only_by_a_clear_margin() {
    let mut simulation = Simulation::new(8, [1.0, 1.2, 1.4]);
    simulation.demand = Some(demand(200, 380));
    simulation.run(Duration::from_secs(120));
    let sent_before = simulation.sent_orders.len();
    simulation.prices = [1.05, 1.15, 1.4];
    simulation.run(Duration::from_secs(60));
    assert_eq!(
        simulation.sent_orders.len(),
        sent_before,
        "small price change: {:?}",
        simulation.sent_orders
    );
    simulation.prices = [2.0, 1.2, 1.0];
    let until = simulation.now + Duration::from_secs(240);
    while simulation.now < until {
        simulation.tick();
        assert!(simulation.serving() >= 48, "{}", simulation.serving());
    }
    let cheapest = CAPACITY_TYPES.map(|capacity_type| simulation.count(2, capacity_type));
    assert!(
        cheapest.iter().sum::<u32>() > BOUNDS.min_per_zone,
        "{cheapest:?}"
    );
}

/// Guards against the removal of upstreams that run requests.
#[test]
fn upstreams_in_use_are_not_removed() {
    let zone = Zone {
        price: 1.0,
        listed: Counts {
            on_demand: 16,
            spot: 0,
        },
        present: Counts {
            on_demand: 16,
            spot: 0,
        },
        running_requests: 128,
        ..Zone::default()
    };
    let found = orders(&[zone; 3], &BOUNDS, Some(demand(40, 40)));
    let shrinks = found.iter().any(|order| order.count < order.before);
    assert!(!shrinks, "{found:?}");
    let idle = Zone {
        running_requests: 0,
        ..zone
    };
    let found = orders(&[idle; 3], &BOUNDS, Some(demand(40, 40)));
    assert_eq!(found.len(), 3, "one in each zone: {found:?}");
    assert!(found.iter().all(|order| order.count == 15), "{found:?}");
}

/// Guards against ordering upstreams again that are still booting.
#[test]
fn ordered_upstreams_count_until_they_are_listed() {
    let now = Instant::now();
    let ordered = PlacedOrder {
        count: 10,
        listed: 4,
        at: now,
    };
    assert_eq!(ordered.present(4, now, BOOT_TIME), 10);
    assert_eq!(ordered.present(10, now + BOOT_TIME, BOOT_TIME), 10);
    assert_eq!(ordered.present(3, now, BOOT_TIME), 9, "one was lost");
    assert_eq!(
        ordered.present(4, now + BOOT_TIME * 2, BOOT_TIME),
        4,
        "none booted"
    );
}
