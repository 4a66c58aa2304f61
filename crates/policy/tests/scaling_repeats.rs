//! Orders that a new holder of the scaling duty sends again.

use firweir_policy::scaling::Bounds;
use firweir_policy::scaling::CapacityType;
use firweir_policy::scaling::Counts;
use firweir_policy::scaling::Order;
use firweir_policy::scaling::Zone;
use firweir_policy::scaling_repeats::RecordedOrder;
use firweir_policy::scaling_repeats::orders_to_repeat;

const BOUNDS: Bounds = Bounds {
    min_per_zone: 2,
    max_per_zone: 10,
    slots: 8,
    spot_price_ratio: 0.4,
};

const LISTED: Counts = Counts {
    on_demand: 4,
    spot: 2,
};

const fn last_order(capacity_type: CapacityType, count: u32, is_confirmed: bool) -> RecordedOrder {
    RecordedOrder {
        capacity_type,
        count,
        is_confirmed,
    }
}

fn repeated(last_orders: &[RecordedOrder], listed: Counts) -> Vec<(CapacityType, u32)> {
    let found = orders_to_repeat(0, last_orders, listed, &BOUNDS);
    let numbers = found
        .iter()
        .map(|order: &Order| (order.capacity_type, order.count));
    numbers.collect()
}

/// Guards against a new holder that repeats confirmed orders although their upstreams were lost
/// since.
#[test]
fn confirmed_orders_are_not_repeated() {
    let last_orders = [
        last_order(CapacityType::OnDemand, 8, true),
        last_order(CapacityType::Spot, 0, true),
    ];
    assert_eq!(repeated(&last_orders, LISTED), Vec::new());
    let unconfirmed = [last_order(CapacityType::OnDemand, 6, false)];
    assert_eq!(
        repeated(&unconfirmed, LISTED),
        vec![(CapacityType::OnDemand, 6)]
    );
}

/// Guards against repeated orders that together exceed the limits of their zone.
#[test]
fn repeated_orders_keep_to_the_limits_of_both_capacity_types() {
    for on_demand in 0..20 {
        for spot in 0..20 {
            for is_confirmed in [false, true] {
                let last_orders = [
                    last_order(CapacityType::OnDemand, on_demand, is_confirmed),
                    last_order(CapacityType::Spot, spot, false),
                ];
                let mut after = LISTED;
                for (capacity_type, count) in repeated(&last_orders, LISTED) {
                    *after.of_mut(capacity_type) = count;
                    assert!(
                        after.total() >= BOUNDS.min_per_zone,
                        "{last_orders:?}: {after:?}"
                    );
                    assert!(
                        after.total() <= BOUNDS.max_per_zone,
                        "{last_orders:?}: {after:?}"
                    );
                }
            }
        }
    }
}

/// Guards against an upstream that is too busy to answer being counted as idle and removed,
/// and against large reports that overflow the sum.
#[test]
fn an_upstream_without_an_answer_counts_as_full() {
    let mut zone = Zone::default();
    zone.record_requests(None, 8);
    zone.record_requests(Some(3), 8);
    assert_eq!(zone.running_requests, 11);
    zone.record_requests(Some(u32::MAX), 8);
    assert_eq!(zone.running_requests, u32::MAX);
}
