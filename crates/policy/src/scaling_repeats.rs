//! Decides which of the last orders in a zone a new holder of the scaling duty sends again.
//!
//! Only orders that the platform has not confirmed are repeated, within the current limits. If
//! fewer upstreams are listed than a confirmed order asked for, they may still be booting or have
//! been lost since; neither is a reason to send the old number again.

use crate::scaling::Bounds;
use crate::scaling::CAPACITY_TYPES;
use crate::scaling::CapacityType;
use crate::scaling::Counts;
use crate::scaling::Order;
use crate::scaling::Reason;

/// The last order for one capacity type, as recorded by an earlier holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedOrder {
    /// Type of the upstreams.
    pub capacity_type: CapacityType,
    /// Number that was ordered.
    pub count: u32,
    /// Whether the platform has confirmed the order.
    pub is_confirmed: bool,
}

/// Orders to send again in a zone. If any of them is a reduction, only reductions are returned.
#[must_use]
pub fn orders_to_repeat(
    zone: usize,
    last: &[RecordedOrder],
    listed: Counts,
    bounds: &Bounds,
) -> Vec<Order> {
    let unconfirmed = || last.iter().filter(|order| !order.is_confirmed);
    let is_reduction = |order: &&RecordedOrder| order.count < listed.of(order.capacity_type);
    let reductions = unconfirmed().filter(is_reduction);
    let mut orders = Vec::new();
    let mut resulting = listed;
    for order in reductions {
        let others = resulting.total() - resulting.of(order.capacity_type);
        let count = order.count.max(bounds.min_per_zone.saturating_sub(others));
        push_order(&mut orders, &mut resulting, zone, *order, count);
    }
    if !orders.is_empty() {
        return orders;
    }
    let mut possible = max_present(last, listed);
    for order in unconfirmed().filter(|order| order.count > listed.of(order.capacity_type)) {
        let others = possible.total() - possible.of(order.capacity_type);
        let count = order.count.min(bounds.max_per_zone.saturating_sub(others));
        if count > listed.of(order.capacity_type) {
            push_order(&mut orders, &mut resulting, zone, *order, count);
        }
        *possible.of_mut(order.capacity_type) = count.max(listed.of(order.capacity_type));
    }
    orders
}

/// Largest number of upstreams of each type that may be running or booting: an order that is not
/// confirmed may still have been carried out.
#[must_use]
pub fn max_present(last: &[RecordedOrder], listed: Counts) -> Counts {
    let mut counts = listed;
    for capacity_type in CAPACITY_TYPES {
        let of_type = last
            .iter()
            .filter(|order| order.capacity_type == capacity_type);
        let ordered = of_type.map(|order| order.count).max().unwrap_or_default();
        *counts.of_mut(capacity_type) = listed.of(capacity_type).max(ordered);
    }
    counts
}

fn push_order(
    orders: &mut Vec<Order>,
    resulting: &mut Counts,
    zone: usize,
    last: RecordedOrder,
    count: u32,
) {
    let before = resulting.of(last.capacity_type);
    if count == before {
        return;
    }
    *resulting.of_mut(last.capacity_type) = count;
    orders.push(Order {
        zone,
        capacity_type: last.capacity_type,
        count,
        before,
        reason: Reason::Repeated,
    });
}
