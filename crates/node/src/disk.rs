//! Node on a VM with a disk; it stores nothing there and only confirms evacuations.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::change::Change;
use crate::dialect::Dialect;
use crate::dialect::ObjectKind;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::follow::FollowOptions;
use crate::node::NodeContext;
use crate::node::NodeError;
use crate::node::serve_metrics;
use crate::settings::NodeSettings;
use crate::store::Store;

/// Longest random delay before an evacuation is reported as done.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Delay before the retry of a failed report.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs a node on a VM with a disk. No VM stores anything on its disk, so the node reports the
/// evacuation of any VM as done, not only of its own: not every VM with a disk has a node.
///
/// # Errors
///
/// The metrics address cannot be listened at, or no signal handler can be installed.
pub async fn run_disk(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> Result<(), NodeError> {
    let context = NodeContext::new(settings, dialect);
    serve_metrics(&context).await?;
    let store = context.store.clone();
    let journal = context.journal.clone();
    let (sender, mut requests) = tokio::sync::mpsc::unbounded_channel();
    let retried = sender.clone();
    context.follow(
        ObjectKind::Evacuations,
        FollowOptions::delayed,
        move |batch| {
            for object in batch.changes.into_iter().flat_map(Change::into_objects) {
                if !object.reported {
                    // The receiver lives as long as the process.
                    drop(sender.send(object.name));
                }
            }
        },
    );
    context.tasks.spawn(async move {
        while let Some(name) = requests.recv().await {
            // All such nodes get the request at the same time, and one report is enough.
            let jitter = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(MAX_REPORT_DELAY.mul_f64(jitter)).await;
            let Err(error) = report_evacuated(&store, &name).await else {
                continue;
            };
            journal.event("evacuation_unreported", &[("cause", &error)]);
            if matches!(error, StoreError::Target(_)) {
                continue;
            }
            // Other requests come first, as this one may fail again.
            tokio::time::sleep(REPORT_RETRY_DELAY).await;
            drop(retried.send(name));
        }
    });
    context.journal.event("node_started", &[]);
    context.wait_for_termination().await?;
    context.journal.event("node_ended", &[]);
    Ok(())
}

/// Reports the evacuation of a VM as done, unless it has been reported.
///
/// # Errors
///
/// The store has not accepted the report.
async fn report_evacuated(store: &Store, name: &str) -> Result<(), StoreError> {
    match store.read(ObjectKind::Evacuations, name).await? {
        Some(object) if !object.reported => {
            let (name, revision) = (object.name, object.revision);
            let report = StoreCall::ReportEvacuated { name, revision };
            store.call(&report).await.map(drop)
        }
        Some(_) | None => Ok(()),
    }
}
