//! The loop in which the holder of the duty decides, records and sends orders of upstreams.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::scaling::Bounds;
use firweir_policy::scaling::CapacityType;
use firweir_policy::scaling::Counts;
use firweir_policy::scaling::Demand;
use firweir_policy::scaling::Zone;
use firweir_policy::scaling::orders;
use firweir_policy::scaling_repeats::max_present;
use firweir_policy::scaling_repeats::orders_to_repeat;
use futures_util::future::join_all;
use rand::Rng;

use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::dialect::Freshness;
use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::fleet::Fleet;
use crate::holder::DutyHolder;
use crate::listing::list;
use crate::model::ScalingLimits;
use crate::model::Service;
use crate::model::Upstream;
use crate::reload::CurrentSettings;
use crate::scaling::demand::demand_of;
use crate::scaling::demand::slots_per_upstream;
use crate::scaling::report_limiter::ReportLimiter;
use crate::scaling::zone_orders::ZoneOrders;
use crate::scaling::zone_orders::ZoneOrdersRecord;
use crate::scaling::zone_orders::read_records;
use crate::settings::ScalingSettings;
use crate::store::Store;
use crate::upstream_answer::call_upstream;

/// Time between two rounds in which the holder checks whether orders are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two checks whether this node has the duty. It is longer than `CHECK_INTERVAL`
/// because each check wakes up every VM of the fleet.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum delay after an order that the platform did not accept, or a failed access to the store;
/// jitter of up to the same time is added.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout of a report; an upstream answers within milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Dependencies of a [`Scaler`].
#[derive(Debug)]
pub struct ScalerParts {
    /// The duty of ordering.
    pub holder: DutyHolder,
    /// Known upstreams and demand.
    pub fleet: Arc<Fleet>,
    /// The platform's store.
    pub store: Store,
    /// Connections to the platform and upstreams.
    pub connections: ConnectionPool,
    /// Encodes orders for the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Settings, which name the address for orders.
    pub settings: CurrentSettings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Events.
    pub journal: Journal,
}

/// Orders upstreams while this node holds the duty.
#[derive(Debug)]
pub struct Scaler {
    pub(super) parts: ScalerParts,
}

/// State of a holder for one epoch.
#[derive(Debug)]
pub(super) struct EpochState {
    /// The epoch under which it orders.
    pub(super) epoch: u64,
    /// Sorted by service and zone.
    pub(super) all_orders: Vec<ZoneOrders>,
    /// When the last order was sent; `None` before the first one.
    pub(super) last_sent: Option<Instant>,
    /// When upstreams were last asked for the number of their requests.
    pub(super) report_limiter: ReportLimiter,
}

/// An autoscaled service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScaledService<'a> {
    pub(super) service: &'a Service,
    pub(super) limits: &'a ScalingLimits,
    pub(super) demand: Option<Demand>,
}

impl Scaler {
    /// A scaler that has not ordered anything.
    #[must_use]
    pub const fn new(parts: ScalerParts) -> Self {
        Self { parts }
    }

    /// Never returns; orders whenever this node holds the duty.
    pub async fn run(self) {
        let mut state: Option<EpochState> = None;
        let mut pause = CHECK_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            let settings = self.parts.settings.now();
            let held = self.parts.holder.held_duty();
            let (Some(scaling), Some(held)) = (settings.scaling(), held) else {
                state = None;
                pause = IDLE_CHECK_INTERVAL;
                continue;
            };
            pause = CHECK_INTERVAL;
            // A new holder may not have the complete list of upstreams yet.
            if !self.parts.fleet.knows_all_upstreams() {
                continue;
            }
            let known = state.take().filter(|known| known.epoch == held.epoch);
            match self.run_round(known, scaling).await {
                Ok(next) => state = next,
                Err(error) => {
                    self.parts
                        .journal
                        .event("scale_records_unavailable", &[("cause", &error)]);
                    tokio::time::sleep(Self::retry_delay()).await;
                }
            }
        }
    }

    /// Runs one round. After an error the caller drops the state, so that the next round reads the
    /// records again.
    async fn run_round(
        &self,
        known: Option<EpochState>,
        settings: &ScalingSettings,
    ) -> Result<Option<EpochState>, StoreError> {
        let config = self.parts.fleet.config();
        let is_scaled = |service: &&Service| service.scaling.is_some();
        if !config.services.iter().any(|service| is_scaled(&service)) {
            return Ok(None);
        }
        let Some(mut state) = (match known {
            Some(known) => Some(known),
            None => self.load_records().await?,
        }) else {
            return Ok(None);
        };
        for service in config.services.iter().filter(is_scaled) {
            let Some(limits) = &service.scaling else {
                continue;
            };
            let scaled = ScaledService {
                service,
                limits,
                demand: demand_of(&self.parts.fleet, &service.name),
            };
            self.record_due(&mut state, &scaled).await?;
            self.send_due(&mut state, &scaled, settings).await?;
        }
        Ok(Some(state))
    }

    /// Reads the last orders of earlier holders and takes them over; `None` if this node does not
    /// hold the duty or may not act under it yet.
    async fn load_records(&self) -> Result<Option<EpochState>, StoreError> {
        let parts = &self.parts;
        let Some(epoch) = parts.holder.verified_epoch().await else {
            return Ok(None);
        };
        let (objects, _) = list(&parts.store, ObjectKind::ScaleOrders, Freshness::Newest).await?;
        let mut all_orders = Vec::new();
        for (mut zone_orders, record) in read_records(&objects, &parts.store) {
            // Another node holds the duty, and this one has not learnt of it yet.
            if zone_orders.is_newer_than(epoch) {
                return Ok(None);
            }
            self.take_over(&mut zone_orders, &record);
            all_orders.push(zone_orders);
        }
        Ok(Some(EpochState {
            epoch,
            all_orders,
            last_sent: None,
            report_limiter: ReportLimiter::default(),
        }))
    }

    /// Takes over the last orders of a service in a zone, within its current limits.
    fn take_over(&self, zone_orders: &mut ZoneOrders, record: &ZoneOrdersRecord) {
        let (config, now) = (self.parts.fleet.config(), self.parts.clock.now());
        let Some(service) = config.service(&zone_orders.service) else {
            return;
        };
        let Some(limits) = &service.scaling else {
            return;
        };
        let listed = self.listed(&zone_orders.service, &zone_orders.zone);
        let last = record.last_orders();
        zone_orders.take_over(max_present(&last, listed), listed, now);
        for order in orders_to_repeat(0, &last, listed, &self.bounds(service, limits)) {
            zone_orders.place_order(order, listed.of(order.capacity_type), now);
        }
    }

    fn bounds(&self, service: &Service, limits: &ScalingLimits) -> Bounds {
        Bounds {
            min_per_zone: limits.min_per_zone,
            max_per_zone: limits.max_per_zone,
            slots: slots_per_upstream(&self.parts.fleet, service),
            spot_price_ratio: limits.spot_price_ratio,
        }
    }

    /// Decides the orders of a service that are due and writes them to the store.
    async fn record_due(
        &self,
        state: &mut EpochState,
        scaled: &ScaledService<'_>,
    ) -> Result<(), StoreError> {
        let indices = indices_of(state, scaled);
        let mut zones = self.zone_states(state, scaled, &indices);
        let bounds = self.bounds(scaled.service, scaled.limits);
        let mut due = orders(&zones, &bounds, scaled.demand);
        if due.iter().any(|order| order.count < order.before) {
            let (service, now) = (&scaled.service.name, self.parts.clock.now());
            if !state
                .report_limiter
                .try_acquire(service, now, scaled.limits.boot_time)
            {
                return Ok(());
            }
            self.query_requests(scaled, &mut zones, bounds.slots).await;
            due = orders(&zones, &bounds, scaled.demand);
        }
        for order in due {
            let zone_orders = &mut state.all_orders[indices[order.zone]];
            // An unconfirmed order of the same capacity type has to be answered first.
            if zone_orders
                .orders_of(order.capacity_type)
                .unconfirmed
                .is_some()
            {
                continue;
            }
            let Some(epoch) = self.verified(state.epoch).await else {
                return Ok(());
            };
            let listed = zones[order.zone].listed.of(order.capacity_type);
            zone_orders.place_order(order, listed, self.parts.clock.now());
            zone_orders.write(&self.parts.store, epoch).await?;
        }
        Ok(())
    }

    fn zone_states(
        &self,
        state: &EpochState,
        scaled: &ScaledService<'_>,
        indices: &[usize],
    ) -> Vec<Zone> {
        let now = self.parts.clock.now();
        let prices = &scaled.limits.zone_prices;
        let states = indices.iter().zip(prices).map(|(index, price)| {
            let listed = self.listed(&scaled.service.name, &price.zone);
            state.all_orders[*index].zone_state(listed, price.price, now, scaled.limits.boot_time)
        });
        states.collect()
    }

    /// Number of upstreams of a service in a zone, without those that are leaving.
    fn listed(&self, service: &str, zone: &str) -> Counts {
        let mut listed = Counts::default();
        for upstream in self.parts.fleet.upstreams().iter() {
            if upstream.service == service && upstream.zone == zone && !upstream.leaving {
                *listed.of_mut(capacity_type_of(upstream)) += 1;
            }
        }
        listed
    }

    /// Asks upstreams for the number of their requests and adds it to their zones.
    async fn query_requests(&self, scaled: &ScaledService<'_>, zones: &mut [Zone], slots: u32) {
        let upstreams = self.parts.fleet.upstreams();
        let of_service = upstreams
            .iter()
            .filter(|upstream| upstream.service == scaled.service.name && !upstream.leaving);
        let reports = of_service
            .map(|upstream| async move { (&upstream.zone, self.requests_at(upstream).await) });
        for (zone, requests) in join_all(reports).await {
            let mut prices = scaled.limits.zone_prices.iter();
            if let Some(index) = prices.position(|price| price.zone == *zone) {
                zones[index].record_requests(requests, slots);
            }
        }
    }

    async fn requests_at(&self, upstream: &Upstream) -> Option<u32> {
        let parts = &self.parts;
        let request = parts.dialect.engine_report_request(upstream);
        let (connections, dialect) = (&parts.connections, &*parts.dialect);
        let calling = call_upstream(
            connections,
            dialect,
            upstream.address,
            request,
            REPORT_TIMEOUT,
        );
        let answer = calling.await.ok()?;
        let report = parts.dialect.engine_report(answer.body());
        report.ok().map(|report| report.requests)
    }

    /// `epoch`, if this node has verified that it still holds the duty under it.
    pub(super) async fn verified(&self, epoch: u64) -> Option<u64> {
        let verified = self.parts.holder.verified_epoch().await;
        verified.filter(|verified| *verified == epoch)
    }

    pub(super) fn retry_delay() -> Duration {
        MIN_RETRY_DELAY.mul_f64(1.0 + rand::rng().random_range(0.0..1.0))
    }
}

/// Indices of the orders of a service's zones, in the order of `zone_prices`. Adds missing ones.
pub(super) fn indices_of(state: &mut EpochState, scaled: &ScaledService<'_>) -> Vec<usize> {
    let service = scaled.service.name.as_str();
    let zones = scaled.limits.zone_prices.iter();
    let find = |all_orders: &[ZoneOrders], zone: &str| {
        all_orders.binary_search_by(|zone_orders| {
            (zone_orders.service.as_str(), zone_orders.zone.as_str()).cmp(&(service, zone))
        })
    };
    for price in zones.clone() {
        if let Err(index) = find(&state.all_orders, &price.zone) {
            let zone_orders = ZoneOrders::new(service, &price.zone);
            state.all_orders.insert(index, zone_orders);
        }
    }
    let indices = zones.filter_map(|price| find(&state.all_orders, &price.zone).ok());
    indices.collect()
}

const fn capacity_type_of(upstream: &Upstream) -> CapacityType {
    if upstream.is_spot {
        CapacityType::Spot
    } else {
        CapacityType::OnDemand
    }
}
