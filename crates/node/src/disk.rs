//! The node on a VM with a disk, which keeps nothing there.

use std::sync::Arc;
use std::time::Duration;

use firweir::process::log::Journal;
use rand::Rng;

use crate::change::Change;
use crate::dialect::Dialect;
use crate::dialect::ObjectKind;
use crate::dialect::StoreCall;
use crate::follow::FollowOptions;
use crate::node::NodeContext;
use crate::node::NodeError;
use crate::node::serve_metrics;
use crate::settings::NodeSettings;
use crate::store::Store;

/// Within this time a request to empty a VM is reported as done, once it is known.
const REPORT_WITHIN: Duration = Duration::from_secs(1);

/// Pause before a report that failed is tried again.
const REPORT_AGAIN: Duration = Duration::from_millis(500);

/// Runs a node on a VM with a disk. No VM keeps anything there, so that requests to empty
/// any of them are reported as done at once, be it another one: not every VM with a disk
/// has a node.
///
/// # Errors
///
/// Signals cannot be taken.
pub async fn run_disk(settings: NodeSettings, dialect: Arc<dyn Dialect>) -> Result<(), NodeError> {
    let context = NodeContext::new(settings, dialect);
    serve_metrics(&context).await?;
    let store = context.store.clone();
    let journal = context.journal.clone();
    let (asked, mut asking) = tokio::sync::mpsc::unbounded_channel();
    context.follow(
        ObjectKind::Evacuations,
        FollowOptions::delayed,
        move |news| {
            for object in news.changes.into_iter().flat_map(Change::into_objects) {
                if !object.reported {
                    // The receiver lives as long as the process.
                    drop(asked.send(object));
                }
            }
        },
    );
    context.tasks.spawn(async move {
        while let Some(object) = asking.recv().await {
            // All such nodes hear of it at the same time, and one report is enough.
            let spread = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(REPORT_WITHIN.mul_f64(spread)).await;
            report_evacuated(&store, &journal, &object.name).await;
        }
    });
    context.journal.event("node_started", &[]);
    context.wait_for_termination().await?;
    context.journal.event("node_ended", &[]);
    Ok(())
}

/// Reports a VM as empty, until the store has taken it.
async fn report_evacuated(store: &Store, journal: &Journal, name: &str) {
    loop {
        let outcome = match store.read(ObjectKind::Evacuations, name).await {
            Ok(Some(object)) if !object.reported => {
                let (name, revision) = (object.name, object.revision);
                let report = StoreCall::ReportEvacuated { name, revision };
                store.call(&report).await.map(drop)
            }
            Ok(_) => return,
            Err(error) => Err(error),
        };
        if let Err(error) = outcome {
            journal.event("evacuation_unreported", &[("cause", &error)]);
            tokio::time::sleep(REPORT_AGAIN).await;
        }
    }
}
