//! Lists all objects of one kind, page by page.

use std::time::Duration;

use rand::Rng;

use crate::config_news::NewsSource;
use crate::dialect::BadMessage;
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

/// Longest name after which a page begins if there is another one; no store refuses a target for it.
const MAX_PLAIN_NAME_BYTES: usize = 256;

/// A page that is not the last one names no object after which the next one could begin, or one after
/// which a page has begun already.
const NO_CONTINUATION: BadMessage = BadMessage::Field("items");

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
///
/// # Errors
///
/// If the store did not answer, or a page leads to no other one.
pub(crate) async fn list_sourced(
    store: &Store,
    kind: ObjectKind,
    freshness: Freshness,
) -> Result<Listed, StoreError> {
    let mut objects: Vec<Object> = Vec::new();
    let mut paging = Paging::starting_after(String::new());
    let mut since = None;
    loop {
        let call = StoreCall::List {
            kind,
            after: paging.after.clone(),
            freshness,
        };
        let is_later = since.is_some();
        let Sourced { answer, source } = page(store, &call, is_later).await?;
        let StoreAnswer::Page {
            objects: on_page,
            names,
            more,
            revision,
            ..
        } = answer
        else {
            return Err(StoreError::Unknown);
        };
        merge(&mut objects, on_page);
        let revision = *since.get_or_insert(revision);
        if !more {
            return Ok(Listed {
                objects,
                revision,
                source,
            });
        }
        paging.advance(names)?;
    }
}

/// Merges a page into the objects listed so far, sorted by name. Pages may overlap; the later one has
/// the newer object.
fn merge(objects: &mut Vec<Object>, page: Vec<Object>) {
    for object in page {
        match objects.binary_search_by(|listed| listed.name.cmp(&object.name)) {
            Ok(at) => objects[at] = object,
            Err(at) => objects.insert(at, object),
        }
    }
}

/// Where the pages of a list begin. No two of them begin after the same name, so that a store whose
/// pages don't advance is not listed for ever.
#[derive(Debug)]
pub(crate) struct Paging {
    /// Name after which the next page begins; empty for the first object.
    pub(crate) after: String,
    /// Names after which pages have begun, sorted.
    begun_after: Vec<String>,
}

impl Paging {
    /// Begins with the objects after a name.
    pub(crate) fn starting_after(after: String) -> Self {
        Self {
            begun_after: vec![after.clone()],
            after,
        }
    }

    /// Moves on to the page that follows one with these names.
    ///
    /// # Errors
    ///
    /// If the page leads to no other one.
    pub(crate) fn advance(&mut self, names: Vec<String>) -> Result<(), StoreError> {
        let after = continuation(names).ok_or(NO_CONTINUATION)?;
        match self.begun_after.binary_search(&after) {
            Ok(_) => return Err(NO_CONTINUATION.into()),
            Err(at) => self.begun_after.insert(at, after.clone()),
        }
        self.after = after;
        Ok(())
    }
}

/// The name after which the next page begins: the last one that no store reads as another or refuses,
/// or else the last one; `None` if no object of the page has a name.
fn continuation(mut names: Vec<String>) -> Option<String> {
    let last_plain = names.iter().rposition(|name| is_plain(name));
    let at = last_plain.or(names.len().checked_sub(1))?;
    Some(names.swap_remove(at))
}

/// Whether a name is short and consists of characters that stand for themselves in every target.
fn is_plain(name: &str) -> bool {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    name.len() <= MAX_PLAIN_NAME_BYTES && name.bytes().all(is_unreserved)
}
