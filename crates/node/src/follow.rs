//! Follows one kind of objects in the platform's store: a list, then watches
//! from there, for as long as the process lives.

use std::time::Duration;

use firweir::process::log::Journal;
use rand::Rng;

use crate::dialect::Kind;
use crate::dialect::Object;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::store::Store;

/// How long one watch may wait. A watch that hears nothing any more ends by the
/// probes of its connection after 3 s; this is the limit behind them.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// Pause after a failed call, up to half of it more at random: the store's
/// outages take seconds, each call costs, and all nodes would come at once.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// What a follower is told.
#[derive(Debug)]
pub enum Change {
    /// All objects of the kind, after a start or a gap.
    All(Vec<Object>),
    /// One object appeared or changed.
    Put(Object),
    /// The object of this name is gone.
    Gone(String),
}

/// Follows `kind` and tells `take` of every change. Never ends.
pub async fn follow(store: Store, journal: Journal, kind: Kind, mut take: impl FnMut(Change)) {
    let mut lost = false;
    loop {
        let failed = match list_and_watch(&store, kind, &mut take, &mut lost, &journal).await {
            StoreError::HistoryGone => {
                journal.event("history_gone", &[("kind", &format_args!("{kind:?}"))]);
                continue;
            }
            error => error,
        };
        if !lost {
            lost = true;
            let kind = format_args!("{kind:?}");
            journal.event("store_lost", &[("kind", &kind), ("cause", &failed)]);
        }
        let spread = rand::rng().random_range(0..=RETRY_PAUSE.as_millis() as u64 / 2);
        tokio::time::sleep(RETRY_PAUSE + Duration::from_millis(spread)).await;
    }
}

async fn list_and_watch(
    store: &Store,
    kind: Kind,
    take: &mut impl FnMut(Change),
    lost: &mut bool,
    journal: &Journal,
) -> StoreError {
    let (objects, mut since) = match list(store, kind).await {
        Ok(listed) => listed,
        Err(error) => return error,
    };
    if *lost {
        *lost = false;
        journal.event("store_regained", &[("kind", &format_args!("{kind:?}"))]);
    }
    take(Change::All(objects));
    loop {
        let wait = WATCH_WAIT;
        match store.call(&StoreCall::Watch { kind, since, wait }).await {
            Ok(StoreAnswer::Changes { changes, revision }) => {
                since = revision.max(since);
                for change in changes {
                    take(if change.deleted {
                        Change::Gone(change.object.name)
                    } else {
                        Change::Put(change.object)
                    });
                }
            }
            Ok(_) => return StoreError::Unknown,
            Err(error) => return error,
        }
    }
}

/// All objects of a kind, and the revision to watch from. With several pages
/// that is the first page's: what changed between pages is then seen twice, and
/// nothing is missed.
async fn list(store: &Store, kind: Kind) -> Result<(Vec<Object>, u64), StoreError> {
    let mut all: Vec<Object> = Vec::new();
    let mut since = None;
    loop {
        let after = all
            .last()
            .map_or_else(String::new, |last| last.name.clone());
        match store.call(&StoreCall::List { kind, after }).await? {
            StoreAnswer::Page {
                objects,
                more,
                revision,
            } => {
                let ended = !more || objects.is_empty();
                all.extend(objects);
                let since = *since.get_or_insert(revision);
                if ended {
                    return Ok((all, since));
                }
            }
            _ => return Err(StoreError::Unknown),
        }
    }
}
