//! Autoscaling: one node at a time orders upstreams from the platform for all nodes.
//!
//! - [`demand`]: demand of the steps of a service's models.
//! - [`drain`]: engines that are about to be removed, whose samples are to move.
//! - [`report_limiter`]: limits how often upstreams are asked for the number of their requests.
//! - [`scaler`]: the loop in which the holder of the duty decides and sends orders.
//! - `sending`: sends recorded orders to the platform.
//! - [`zone_orders`]: orders of one service in one zone, and their record in the store.

pub mod demand;
pub mod drain;
pub mod report_limiter;
pub mod scaler;
mod sending;
pub mod zone_orders;
