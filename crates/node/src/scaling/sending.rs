//! Sends orders that are recorded in the store to the platform.

use std::time::Duration;

use firweir_policy::scaling::CAPACITY_TYPES;
use firweir_policy::scaling::CapacityType;
use firweir_policy::scaling::Order;

use crate::dialect::DutyAnswer;
use crate::dialect::ScaleOrder;
use crate::dialect::StoreError;
use crate::scaling::scaler::EpochState;
use crate::scaling::scaler::ScaledService;
use crate::scaling::scaler::Scaler;
use crate::scaling::scaler::indices_of;
use crate::settings::ScalingSettings;

/// Timeout of a call to the platform. A new holder waits 400 ms in addition to the lease, so
/// that a late order of its predecessor still arrives a full lease before its own.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before upstreams are ordered again that the platform did not have.
const COOLDOWN: Duration = Duration::from_secs(5);

/// Fraction of the allowed calls per second that orders use; the rest is for other duties.
const CALL_RATE_FRACTION: f64 = 0.5;

impl Scaler {
    /// Sends the orders of a service that are recorded but not confirmed by the platform.
    pub(super) async fn send_due(
        &self,
        state: &mut EpochState,
        scaled: &ScaledService<'_>,
        settings: &ScalingSettings,
    ) -> Result<(), StoreError> {
        for index in indices_of(state, scaled) {
            for capacity_type in CAPACITY_TYPES {
                let unconfirmed = state.all_orders[index].orders_of(capacity_type).unconfirmed;
                let now = self.parts.clock.now();
                let Some(unconfirmed) = unconfirmed.filter(|order| order.not_before <= now) else {
                    continue;
                };
                self.await_rate_limit(state, settings).await;
                let Some(answer) = self.send(state, index, &unconfirmed.order, settings).await
                else {
                    return Ok(());
                };
                self.log_answer(state, index, &unconfirmed.order, scaled, answer);
                if !self
                    .record_answer(state, index, capacity_type, answer)
                    .await?
                {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Waits until the rate limit allows another call.
    async fn await_rate_limit(&self, state: &EpochState, settings: &ScalingSettings) {
        let interval = Duration::from_secs_f64(1.0 / (settings.calls_per_s * CALL_RATE_FRACTION));
        let now = self.parts.clock.now();
        let next = state.last_sent.map_or(now, |sent| sent + interval);
        tokio::time::sleep(next.saturating_duration_since(now)).await;
    }

    /// Sends an order and returns the platform's answer; `None` if this node may not act under
    /// the duty now.
    async fn send(
        &self,
        state: &mut EpochState,
        index: usize,
        order: &Order,
        settings: &ScalingSettings,
    ) -> Option<DutyAnswer> {
        let parts = &self.parts;
        let epoch = self.verified(state.epoch).await?;
        let orders = &state.all_orders[index];
        let request = parts.dialect.scale_order(&ScaleOrder {
            service: &orders.service,
            zone: &orders.zone,
            capacity_type: order.capacity_type,
            count: order.count,
            holder: parts.holder.name(),
            epoch,
        });
        if !parts.holder.may_act(epoch) {
            return None;
        }
        state.last_sent = Some(parts.clock.now());
        let answer = parts
            .connections
            .call(settings.order_at, request, SEND_TIMEOUT);
        let answer = answer.await;
        let read = |answer: http::Response<_>| parts.dialect.duty_answer(answer.status());
        Some(answer.map_or(DutyAnswer::Later, read))
    }

    /// Records the platform's answer. Returns false if this node may no longer act under the
    /// duty, in which case another node may have written the record.
    async fn record_answer(
        &self,
        state: &mut EpochState,
        index: usize,
        capacity_type: CapacityType,
        answer: DutyAnswer,
    ) -> Result<bool, StoreError> {
        let now = self.parts.clock.now();
        let orders = &mut state.all_orders[index];
        match answer {
            DutyAnswer::Done => orders.record_done(capacity_type, now),
            DutyAnswer::Later => {
                orders.schedule_retry(capacity_type, now + Self::retry_delay());
                return Ok(true);
            }
            DutyAnswer::Unavailable => orders.record_unavailable(capacity_type, now + COOLDOWN),
        }
        // Without this write a successor would repeat an order that was already answered.
        let Some(epoch) = self.verified(state.epoch).await else {
            return Ok(false);
        };
        orders.write(&self.parts.store, epoch).await?;
        Ok(true)
    }

    fn log_answer(
        &self,
        state: &EpochState,
        index: usize,
        order: &Order,
        scaled: &ScaledService<'_>,
        answer: DutyAnswer,
    ) {
        let orders = &state.all_orders[index];
        let journal = &self.parts.journal;
        journal.count(match answer {
            DutyAnswer::Done => "scale.ordered",
            DutyAnswer::Unavailable => "scale.unavailable",
            DutyAnswer::Later => "scale.failed",
        });
        let demand = scaled.demand.map_or(0, |demand| demand.samples);
        let event = match answer {
            DutyAnswer::Done => "scale_ordered",
            DutyAnswer::Unavailable | DutyAnswer::Later => "scale_not_taken",
        };
        journal.event(
            event,
            &[
                ("service", &orders.service),
                ("zone", &orders.zone),
                ("kind", &format_args!("{:?}", order.capacity_type)),
                ("number", &order.count),
                ("before", &order.before),
                ("demand", &demand),
                ("reason", &format_args!("{:?}", order.reason)),
                ("epoch", &state.epoch),
                ("answer", &format_args!("{answer:?}")),
            ],
        );
    }
}
