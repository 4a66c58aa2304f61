//! Orders of one service in one availability zone, and their record in the store.
//!
//! If a holder sent an order and died, a successor that does not know the order would send a
//! different one. An order is therefore written to the store before it is first sent. A successor
//! reads it there and sends the same one first.

use std::time::Duration;
use std::time::Instant;

use firweir_policy::scaling::CAPACITY_TYPES;
use firweir_policy::scaling::CapacityType;
use firweir_policy::scaling::Counts;
use firweir_policy::scaling::Order;
use firweir_policy::scaling::PlacedOrder;
use firweir_policy::scaling::Zone;
use firweir_policy::scaling_repeats::RecordedOrder;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::store::Store;

/// The last orders of a service in a zone as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrdersRecord {
    /// Id of the write, by which a holder recognises its own write.
    write: String,
    /// The service.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// Epoch of the holder that wrote it.
    epoch: u64,
    /// Number of on-demand upstreams last ordered; `None` if none were.
    on_demand: Option<u32>,
    /// Number of spot upstreams last ordered; `None` if none were.
    spot: Option<u32>,
    /// Whether the order of on-demand upstreams is not confirmed by the platform yet.
    #[serde(default)]
    on_demand_unconfirmed: bool,
    /// Whether the order of spot upstreams is not confirmed by the platform yet.
    #[serde(default)]
    spot_unconfirmed: bool,
}

/// An order that the platform has not confirmed yet.
#[derive(Debug, Clone, Copy)]
pub struct UnconfirmedOrder {
    /// The order.
    pub order: Order,
    /// Earliest time at which it is sent.
    pub not_before: Instant,
    /// The order that it replaces; `None` if there was none.
    previous: Option<PlacedOrder>,
}

/// Orders of one capacity type in a zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct CapacityTypeOrders {
    /// The last order; `None` if the list of upstreams alone counts.
    ordered: Option<PlacedOrder>,
    /// The order that is to be sent, or sent again; `None` if all are confirmed.
    pub unconfirmed: Option<UnconfirmedOrder>,
    /// Earliest time at which more of this type are ordered, after the platform had none; `None` if
    /// there is no limit.
    unavailable_until: Option<Instant>,
}

/// Orders of one service in one availability zone.
#[derive(Debug, Clone)]
pub struct ZoneOrders {
    /// The service.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// Revision of the record; `None` before the first one.
    revision: Option<u64>,
    /// Epoch of the holder that wrote the record.
    epoch: u64,
    by_capacity_type: [CapacityTypeOrders; CAPACITY_TYPES.len()],
}

impl ZoneOrders {
    /// A zone without any order.
    #[must_use]
    pub fn new(service: &str, zone: &str) -> Self {
        Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            revision: None,
            epoch: 0,
            by_capacity_type: [CapacityTypeOrders::default(); CAPACITY_TYPES.len()],
        }
    }

    /// A zone with a record of an earlier holder. Its orders count after [`Self::take_over`].
    #[must_use]
    pub fn from_record(record: &ZoneOrdersRecord, revision: u64) -> Self {
        let mut zone_orders = Self::new(&record.service, &record.zone);
        zone_orders.revision = Some(revision);
        zone_orders.epoch = record.epoch;
        zone_orders
    }

    /// Whether the record was written under a higher epoch than this one.
    #[must_use]
    pub const fn is_newer_than(&self, epoch: u64) -> bool {
        self.epoch > epoch
    }

    /// Counts upstreams ordered by an earlier holder as present while they may still boot.
    pub fn take_over(&mut self, expected: Counts, listed: Counts, now: Instant) {
        for capacity_type in CAPACITY_TYPES {
            let (count, listed) = (expected.of(capacity_type), listed.of(capacity_type));
            if count > listed {
                let at = now;
                self.orders_of_mut(capacity_type).ordered = Some(PlacedOrder { count, listed, at });
            }
        }
    }

    /// Orders of a capacity type.
    #[must_use]
    pub const fn orders_of(&self, capacity_type: CapacityType) -> &CapacityTypeOrders {
        &self.by_capacity_type[capacity_type as usize]
    }

    const fn orders_of_mut(&mut self, capacity_type: CapacityType) -> &mut CapacityTypeOrders {
        &mut self.by_capacity_type[capacity_type as usize]
    }

    /// Number last ordered of a capacity type; `None` if there is no order.
    #[must_use]
    pub fn last_count(&self, capacity_type: CapacityType) -> Option<u32> {
        self.orders_of(capacity_type)
            .ordered
            .map(|ordered| ordered.count)
    }

    /// Adds an order that is to be sent. `listed` is the present number of upstreams of its type.
    pub fn place_order(&mut self, order: Order, listed: u32, now: Instant) {
        let type_orders = self.orders_of_mut(order.capacity_type);
        let previous = type_orders.ordered;
        type_orders.ordered = Some(PlacedOrder {
            count: order.count,
            listed,
            at: now,
        });
        type_orders.unconfirmed = Some(UnconfirmedOrder {
            order,
            not_before: now,
            previous,
        });
    }

    /// Records that the platform has carried out an order.
    pub fn record_done(&mut self, capacity_type: CapacityType, now: Instant) {
        let type_orders = self.orders_of_mut(capacity_type);
        type_orders.unconfirmed = None;
        if let Some(ordered) = &mut type_orders.ordered {
            ordered.at = now;
        }
    }

    /// Records that the platform has no more of a type, and that none are ordered before `until`.
    pub fn record_unavailable(&mut self, capacity_type: CapacityType, until: Instant) {
        let type_orders = self.orders_of_mut(capacity_type);
        let unconfirmed = type_orders.unconfirmed.take();
        type_orders.ordered = unconfirmed.and_then(|order| order.previous);
        type_orders.unavailable_until = Some(until);
    }

    /// Schedules a retry of an order that got no answer or could not be carried out.
    pub fn schedule_retry(&mut self, capacity_type: CapacityType, not_before: Instant) {
        if let Some(unconfirmed) = &mut self.orders_of_mut(capacity_type).unconfirmed {
            unconfirmed.not_before = not_before;
        }
    }

    /// The zone as input for decisions. `boot` is the boot time of an upstream.
    #[must_use]
    pub fn zone_state(&self, listed: Counts, price: f64, now: Instant, boot: Duration) -> Zone {
        let is_unavailable = |capacity_type| {
            let until = self.orders_of(capacity_type).unavailable_until;
            until.is_some_and(|until| now < until)
        };
        let mut present = listed;
        for capacity_type in CAPACITY_TYPES {
            if let Some(ordered) = self.orders_of(capacity_type).ordered {
                *present.of_mut(capacity_type) =
                    ordered.present(listed.of(capacity_type), now, boot);
            }
        }
        let mut ordered = self
            .by_capacity_type
            .iter()
            .filter_map(|type_orders| type_orders.ordered);
        let mut unconfirmed = self
            .by_capacity_type
            .iter()
            .filter_map(|type_orders| type_orders.unconfirmed);
        // Until the platform confirms a reduction, all upstreams of that type may still exist.
        let is_reducing = unconfirmed.any(|pending| pending.order.count < pending.order.before);
        let is_unconfirmed = self
            .by_capacity_type
            .iter()
            .any(|type_orders| type_orders.unconfirmed.is_some());
        Zone {
            price,
            listed,
            present,
            on_demand_unavailable: is_reducing || is_unavailable(CapacityType::OnDemand),
            spot_unavailable: is_reducing || is_unavailable(CapacityType::Spot),
            is_settling: is_unconfirmed || ordered.any(|order| order.is_settling(now, boot)),
            running_requests: 0,
        }
    }

    /// Writes the last orders to the store, unless another holder has written the record since.
    ///
    /// # Errors
    ///
    /// Fails if the write is refused or not confirmed; the store may or may not hold the record.
    pub async fn write(&mut self, store: &Store, epoch: u64) -> Result<(), StoreError> {
        if self.is_newer_than(epoch) {
            return Err(StoreError::Conflict);
        }
        let is_unconfirmed = |capacity_type| self.orders_of(capacity_type).unconfirmed.is_some();
        let record = ZoneOrdersRecord {
            write: store.write_id(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            epoch,
            on_demand: self.last_count(CapacityType::OnDemand),
            spot: self.last_count(CapacityType::Spot),
            on_demand_unconfirmed: is_unconfirmed(CapacityType::OnDemand),
            spot_unconfirmed: is_unconfirmed(CapacityType::Spot),
        };
        let (kind, name) = (ObjectKind::ScaleOrders, self.name());
        self.revision = Some(match self.revision {
            Some(revision) => {
                let replaced = store.replace(kind, &name, revision, &record, &record.write);
                replaced.await?.revision
            }
            None => store.create_once(kind, &name, &record).await?,
        });
        self.epoch = epoch;
        Ok(())
    }

    fn name(&self) -> String {
        format!("{}.{}", self.service, self.zone)
    }
}

impl ZoneOrdersRecord {
    /// The orders in the record.
    #[must_use]
    pub fn last_orders(&self) -> Vec<RecordedOrder> {
        let on_demand = (
            CapacityType::OnDemand,
            self.on_demand,
            self.on_demand_unconfirmed,
        );
        let spot = (CapacityType::Spot, self.spot, self.spot_unconfirmed);
        let recorded = [on_demand, spot].into_iter();
        let read = |(capacity_type, count, is_unconfirmed): (CapacityType, Option<u32>, bool)| {
            count.map(|count| RecordedOrder {
                capacity_type,
                count,
                is_confirmed: !is_unconfirmed,
            })
        };
        recorded.filter_map(read).collect()
    }
}

/// Orders with their records, sorted by service and zone. Records that cannot be read are logged.
#[must_use]
pub fn read_records(objects: &[Object], store: &Store) -> Vec<(ZoneOrders, ZoneOrdersRecord)> {
    let read = |object: &Object| {
        let record = serde_json::from_str::<ZoneOrdersRecord>(object.value.get());
        if let Err(error) = &record {
            store.log_unreadable(ObjectKind::ScaleOrders, &object.name, error);
        }
        let record = record.ok()?;
        Some((ZoneOrders::from_record(&record, object.revision), record))
    };
    let mut read: Vec<(ZoneOrders, ZoneOrdersRecord)> = objects.iter().filter_map(read).collect();
    read.sort_by(|(a, _), (b, _)| (&a.service, &a.zone).cmp(&(&b.service, &b.zone)));
    read
}
