//! How a holder brings new weights to the engines of its feed.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::client::ClientError;
use crate::connection::client::within;
use crate::connection::target::Target;
use crate::process::holder::Holder;
use crate::version::config::Feed;
use crate::version::view::Upstream;

/// Engines that load weights at once: a bounded wave, so that neither the weight
/// store nor live calls are met by all engines swapping together.
const WEIGHT_WAVE: usize = 4;

/// An engine that has not loaded by then is asked again.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between looks at the versions that engines report.
const WEIGHT_LOOK_EVERY: Duration = Duration::from_secs(2);

/// Order to an engine to serve a model at a weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WeightOrder {
    /// Model, or adapter.
    pub model: String,
    /// Version to be at.
    pub version: u64,
    /// Epoch of the holder; engines that check fencing refuse an older one.
    pub fence: u64,
}

/// What an engine says of one model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelState {
    /// Version that it serves.
    pub version: u64,
}

impl Holder {
    /// Keeps every engine of the feed at the published version: orders it, reads
    /// it back, and orders again where a swap failed or an engine restarted.
    pub(crate) async fn order_weights(&self) {
        loop {
            let version = self.record.borrow().value.weight_version;
            if let Some(feed) = self.config().filter(|_| version > 0) {
                let view = self.program.view.load_full();
                let engines = view
                    .upstreams_of(&feed.service)
                    .iter()
                    .filter(|it| !it.leaving);
                let serving: Vec<bool> = stream::iter(engines)
                    .map(|engine| self.bring_up_to(engine, &feed, version))
                    .buffer_unordered(WEIGHT_WAVE)
                    .collect()
                    .await;
                let newest = self.record.borrow().value.weight_version;
                if version == newest && serving.iter().all(|serves| *serves) {
                    self.pace.borrow_mut().record_weights_served();
                }
            }
            let mut changes = self.changes();
            let newer = changes.until(|_| self.record.borrow().value.weight_version > version);
            _ = within(WEIGHT_LOOK_EVERY, newer).await;
        }
    }

    /// Gives whether the engine said that it serves this version or a later one.
    async fn bring_up_to(&self, engine: &Upstream, feed: &Feed, version: u64) -> bool {
        let http = self.program.parts.http();
        let target = Target::new("/models").segment(&feed.model);
        let reported: Result<ModelState, ClientError> =
            http.get(engine.address, &target, WEIGHT_LOOK_EVERY).await;
        if reported.is_ok_and(|state| state.version >= version) {
            return true;
        }
        let order = WeightOrder {
            model: feed.model.clone(),
            version,
            fence: self.epoch,
        };
        let ordered: Result<ModelState, ClientError> = http
            .post(engine.address, "/orders/weights", &order, WEIGHT_TIMEOUT)
            .await;
        if let Err(error) = &ordered {
            self.program.parts.journal.event(
                "weight_order_failed",
                &[
                    ("feed", &self.name),
                    ("engine", &engine.address),
                    ("error", error),
                ],
            );
        }
        ordered.is_ok_and(|state| state.version >= version)
    }
}
