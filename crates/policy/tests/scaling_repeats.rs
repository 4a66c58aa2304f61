//! Orders that a new holder of the scaling duty sends again.

use firweir_policy::scaling::Bounds;
use firweir_policy::scaling::Counts;
use firweir_policy::scaling::Order;
use firweir_policy::scaling::Supply;
use firweir_policy::scaling::Zone;
use firweir_policy::scaling_repeats::LastOrder;
use firweir_policy::scaling_repeats::repeats;

const BOUNDS: Bounds = Bounds {
    least: 2,
    most: 10,
    slots: 8,
    spot_price: 0.4,
};

const LISTED: Counts = Counts {
    on_demand: 4,
    spot: 2,
};

const fn last_order(supply: Supply, count: u32, is_confirmed: bool) -> LastOrder {
    LastOrder {
        supply,
        count,
        is_confirmed,
    }
}

fn repeated(last_orders: &[LastOrder], listed: Counts) -> Vec<(Supply, u32)> {
    let found = repeats(0, last_orders, listed, &BOUNDS);
    let numbers = found
        .iter()
        .map(|order: &Order| (order.supply, order.count));
    numbers.collect()
}

/// Guards against a new holder that repeats confirmed orders although their upstreams were lost
/// since.
#[test]
fn confirmed_orders_are_not_repeated() {
    let last_orders = [
        last_order(Supply::OnDemand, 8, true),
        last_order(Supply::Spot, 0, true),
    ];
    assert_eq!(repeated(&last_orders, LISTED), Vec::new());
    let unconfirmed = [last_order(Supply::OnDemand, 6, false)];
    assert_eq!(repeated(&unconfirmed, LISTED), vec![(Supply::OnDemand, 6)]);
}

/// Guards against repeated orders that together exceed the limits of their zone.
#[test]
fn repeated_orders_keep_to_the_limits_of_both_kinds() {
    for on_demand in 0..20 {
        for spot in 0..20 {
            for is_confirmed in [false, true] {
                let last_orders = [
                    last_order(Supply::OnDemand, on_demand, is_confirmed),
                    last_order(Supply::Spot, spot, false),
                ];
                let mut after = LISTED;
                for (supply, count) in repeated(&last_orders, LISTED) {
                    *after.of_mut(supply) = count;
                    assert!(after.total() >= BOUNDS.least, "{last_orders:?}: {after:?}");
                    assert!(after.total() <= BOUNDS.most, "{last_orders:?}: {after:?}");
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
    zone.note_requests(None, 8);
    zone.note_requests(Some(3), 8);
    assert_eq!(zone.running, 11);
    zone.note_requests(Some(u32::MAX), 8);
    assert_eq!(zone.running, u32::MAX);
}
