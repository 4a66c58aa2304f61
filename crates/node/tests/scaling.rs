//! State that the holder of the duty keeps for the orders of one zone.

use std::time::Duration;
use std::time::Instant;

use firweir_node::scaling::report_limiter::ReportLimiter;
use firweir_node::scaling::zone_orders::ZoneOrders;
use firweir_node::scaling::zone_orders::ZoneOrdersRecord;
use firweir_policy::scaling::CapacityType;
use firweir_policy::scaling::Counts;
use firweir_policy::scaling::Order;
use firweir_policy::scaling::Reason;
use firweir_policy::scaling_repeats::max_present;
use serde_json::json;

const BOOT_TIME: Duration = Duration::from_secs(4);

const LISTED: Counts = Counts {
    on_demand: 4,
    spot: 2,
};

fn record(more: &serde_json::Value) -> ZoneOrdersRecord {
    let mut record = json!({
        "write": "w", "service": "drafts", "zone": "z1", "epoch": 7, "on_demand": 6, "spot": 1,
    });
    let more = more.as_object().expect("fields").clone();
    record.as_object_mut().expect("fields").extend(more);
    serde_json::from_value(record).expect("well formed")
}

/// Guards against one capacity type that grows while a reduction of the other is not confirmed:
/// the zone would have more than its maximum.
#[test]
fn nothing_grows_while_a_reduction_is_not_confirmed() {
    let now = Instant::now();
    let mut zone_orders = ZoneOrders::new("drafts", "z1");
    let fewer = Order {
        zone: 0,
        capacity_type: CapacityType::OnDemand,
        count: 3,
        before: 4,
        reason: Reason::TooMany,
    };
    zone_orders.place_order(fewer, 4, now);
    let zone = zone_orders.zone_state(LISTED, 1.0, now, BOOT_TIME);
    assert!(zone.on_demand_unavailable && zone.spot_unavailable);
    zone_orders.record_done(CapacityType::OnDemand, now);
    let zone = zone_orders.zone_state(LISTED, 1.0, now, BOOT_TIME);
    assert!(!zone.on_demand_unavailable && !zone.spot_unavailable);
}

/// Guards against a successor that cannot tell confirmed orders from unconfirmed ones.
#[test]
fn a_record_says_which_orders_are_not_confirmed() {
    let confirmed = |more: serde_json::Value| {
        let orders = record(&more).last_orders();
        orders.iter().map(|order| order.is_confirmed).collect()
    };
    let old: Vec<bool> = confirmed(json!({}));
    assert_eq!(old, [true, true], "an older record does not say");
    let half: Vec<bool> = confirmed(json!({"spot_unconfirmed": true}));
    assert_eq!(half, [true, false]);
}

/// Guards against a successor that does not count the booting upstreams of its predecessor and
/// orders the same number again in other zones.
#[test]
fn orders_of_a_predecessor_count_while_they_boot() {
    let (now, last) = (Instant::now(), record(&json!({})));
    let mut zone_orders = ZoneOrders::from_record(&last, 3);
    zone_orders.take_over(max_present(&last.last_orders(), LISTED), LISTED, now);
    let present = zone_orders.zone_state(LISTED, 1.0, now, BOOT_TIME).present;
    assert_eq!((present.on_demand, present.spot), (6, 2));
    let present = zone_orders
        .zone_state(LISTED, 1.0, now + BOOT_TIME * 2, BOOT_TIME)
        .present;
    assert_eq!(present, LISTED, "none came");
}

/// Guards against a holder that has lost the duty and replaces the record of a newer one.
#[test]
fn a_record_of_a_newer_epoch_is_recognised() {
    let zone_orders = ZoneOrders::from_record(&record(&json!({})), 3);
    assert!(zone_orders.is_newer_than(6));
    assert!(!zone_orders.is_newer_than(7));
}

/// Guards against asking all upstreams in each round while a reduction is wanted but not
/// possible.
#[test]
fn upstreams_are_asked_once_per_boot_time() {
    let (start, mut report_limiter) = (Instant::now(), ReportLimiter::default());
    let rounds = (0..48).map(|round| start + Duration::from_millis(250) * round);
    let asked = rounds.filter(|now| report_limiter.try_acquire("drafts", *now, BOOT_TIME));
    assert_eq!(asked.count(), 3, "in twelve seconds");
    assert!(
        report_limiter.try_acquire("other", start, BOOT_TIME),
        "each service apart"
    );
}
