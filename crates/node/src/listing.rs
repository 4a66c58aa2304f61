//! Lists all objects of one kind, page by page.

use std::time::Duration;

use rand::Rng;

use crate::config_news::NewsSource;
use crate::dialect::Freshness;
use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreAnswer;
use crate::dialect::StoreCall;
use crate::dialect::StoreError;
use crate::store::Sourced;
use crate::store::Store;

/// Tries of one page of a list. Without them one failed page restarts the whole list, which
/// then never completes while the store is busy.
const MAX_PAGE_TRIES: u32 = 3;

/// Shortest pause before a page is requested again; up to the same time is added as jitter.
const MIN_PAGE_PAUSE: Duration = Duration::from_millis(150);

/// Requests one page of a list. Pages after the first are tried up to [`MAX_PAGE_TRIES`] times.
async fn page(store: &Store, call: &StoreCall, is_later: bool) -> Result<Sourced, StoreError> {
    let mut tries = if is_later { MAX_PAGE_TRIES } else { 1 };
    loop {
        let answer = store.call_sourced(call).await;
        tries -= 1;
        if answer.is_ok() || tries == 0 {
            return answer;
        }
        let pause = MIN_PAGE_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0));
        tokio::time::sleep(pause).await;
    }
}

/// All objects of a kind.
pub(crate) struct Listed {
    pub(crate) objects: Vec<Object>,
    /// Revision to watch from.
    pub(crate) revision: u64,
    /// The way by which the last page came.
    pub(crate) source: NewsSource,
}

/// Lists all objects of a kind, and returns the revision to watch from.
///
/// # Errors
///
/// If the store did not answer.
pub(crate) async fn list(
    store: &Store,
    kind: ObjectKind,
    freshness: Freshness,
) -> Result<(Vec<Object>, u64), StoreError> {
    let listed = list_sourced(store, kind, freshness).await?;
    Ok((listed.objects, listed.revision))
}

/// Lists all objects of a kind. With several pages the revision is that of the first page: changes
/// between pages are then seen twice, but none is missed.
pub(crate) async fn list_sourced(
    store: &Store,
    kind: ObjectKind,
    freshness: Freshness,
) -> Result<Listed, StoreError> {
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
        let Sourced { answer, source } = page(store, &call, !all.is_empty()).await?;
        match answer {
            StoreAnswer::Page {
                objects,
                more,
                revision,
                ..
            } => {
                let ended = !more || objects.is_empty();
                all.extend(objects);
                let revision = *since.get_or_insert(revision);
                if ended {
                    return Ok(Listed {
                        objects: all,
                        revision,
                        source,
                    });
                }
            }
            _ => return Err(StoreError::Unknown),
        }
    }
}
