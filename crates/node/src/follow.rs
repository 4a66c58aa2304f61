//! Follows one kind of objects in the platform's store: a list, then watches
//! from there, for as long as the process lives.

use std::time::Duration;

use firweir::process::log::Journal;
use rand::Rng;

use crate::dialect::Freshness;
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
/// outages take seconds, each call costs, and all nodes would come at once. A store
/// that drops its history answers at once, for seconds: without the pause 66 nodes
/// made 49,000 calls meanwhile.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// How a kind is followed now; asked anew before each call.
#[derive(Debug, Clone, Copy)]
pub struct Following {
    /// How old its answers may be.
    pub freshness: Freshness,
    /// Pause between two watches. Changes in between come in one answer, and each
    /// answer costs a call on every node.
    pub pause: Duration,
}

impl Following {
    /// Every change at once.
    #[must_use]
    pub const fn at_once() -> Self {
        Self {
            freshness: Freshness::Newest,
            pause: Duration::ZERO,
        }
    }
}

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

/// Follows a kind and tells `take` of every change. Never ends.
pub async fn follow(
    store: Store,
    journal: Journal,
    kind: Kind,
    how: impl Fn() -> Following,
    mut take: impl FnMut(Change),
) {
    let mut lost = false;
    loop {
        let mut regained = |objects| {
            if std::mem::take(&mut lost) {
                journal.event("store_regained", &[("kind", &format_args!("{kind:?}"))]);
            }
            take(objects);
        };
        let failed = list_and_watch(&store, kind, &how, &mut regained).await;
        if matches!(failed, StoreError::HistoryGone) {
            journal.event("history_gone", &[("kind", &format_args!("{kind:?}"))]);
        } else if !lost {
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
    how: &impl Fn() -> Following,
    take: &mut impl FnMut(Change),
) -> StoreError {
    // The newest list: while the store drops its history, the revision of a stale one
    // is already gone, and no watch could start from it.
    let (objects, mut since) = match list(store, kind, Freshness::Newest).await {
        Ok(listed) => listed,
        Err(error) => return error,
    };
    take(Change::All(objects));
    loop {
        let watch = StoreCall::Watch {
            kind,
            since,
            wait: WATCH_WAIT,
            freshness: how().freshness,
        };
        match store.call(&watch).await {
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
        tokio::time::sleep(how().pause).await;
    }
}

/// All objects of a kind, and the revision to watch from. With several pages
/// that is the first page's: what changed between pages is then seen twice, and
/// nothing is missed.
///
/// # Errors
///
/// The store did not answer.
pub async fn list(
    store: &Store,
    kind: Kind,
    freshness: Freshness,
) -> Result<(Vec<Object>, u64), StoreError> {
    let mut all: Vec<Object> = Vec::new();
    let mut since = None;
    loop {
        let call = StoreCall::List {
            kind,
            after: all
                .last()
                .map_or_else(String::new, |last| last.name.clone()),
            freshness,
        };
        match store.call(&call).await? {
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
