//! What lives as long as one request, draft or lot.

pub mod answer;
pub mod call;
pub mod charge;
pub mod charge_log;
pub mod chunk;
pub mod continued;
pub mod cost;
pub mod draft;
pub mod gate;
pub mod head;
pub mod idempotency;
pub mod lot;
pub mod record;
