//! Cache of submission heads: which node runs a submission, and whether it has ended. Heads are
//! changed in the store by compare-and-swap on their revision.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use firweir::process::log::Journal;

use crate::dialect::Object;
use crate::dialect::ObjectKind;
use crate::dialect::StoreError;
use crate::store::Store;
use crate::submission::records::Head;
use crate::submission::records::NodeRef;

/// The head of a submission at a revision of the store.
#[derive(Debug, Clone)]
pub struct VersionedHead {
    /// Id of the submission.
    pub id: String,
    /// Revision of the head's object.
    pub revision: u64,
    /// The head.
    pub head: Head,
}

/// The newest head that this node has seen of each submission; cheap to clone.
#[derive(Debug, Clone)]
pub struct Heads {
    this_node: NodeRef,
    store: Store,
    journal: Journal,
    /// Sorted by id.
    newest: Arc<Mutex<Vec<VersionedHead>>>,
}

impl Heads {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(this_node: NodeRef, store: Store, journal: Journal) -> Self {
        Self {
            this_node,
            store,
            journal,
            newest: Arc::default(),
        }
    }

    /// Whether the head of a submission is cached.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.find(id).is_some()
    }

    /// Drops the head of a submission that was removed from the store.
    pub fn forget(&self, id: &str) {
        self.lock().retain(|other| other.id != id);
    }

    /// Decodes a head from an object of the store; an unreadable one is logged.
    #[must_use]
    pub fn decode(&self, object: Object) -> Option<VersionedHead> {
        match serde_json::from_str::<Head>(object.value.get()) {
            Ok(head) => Some(VersionedHead {
                id: object.name,
                revision: object.revision,
                head,
            }),
            Err(error) => {
                self.journal.event(
                    "head_unreadable",
                    &[("submission", &object.name), ("cause", &error)],
                );
                None
            }
        }
    }

    /// Returns a head to find the runner by; it may be outdated.
    ///
    /// # Errors
    ///
    /// It is not cached and the store did not answer.
    pub async fn lookup(&self, id: &str) -> Result<Option<VersionedHead>, StoreError> {
        let cached = self.find(id);
        if cached.is_some() {
            return Ok(cached);
        }
        // A stale head is enough to call another runner, which knows of later changes. That a
        // submission doesn't exist, or that this node runs it, needs the newest state.
        let stale = self.store.read_stale(ObjectKind::Submissions, id).await;
        if let Ok(Some(object)) = stale
            && let Some(known) = self.decode(object)
            && known.head.runner != self.this_node
        {
            self.update(known.clone());
            return Ok(Some(known));
        }
        self.read_newest(id).await
    }

    /// Reads the newest head from the store.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn read_newest(&self, id: &str) -> Result<Option<VersionedHead>, StoreError> {
        let object = self.store.read(ObjectKind::Submissions, id).await?;
        let known = object.and_then(|object| self.decode(object));
        if let Some(known) = &known {
            self.update(known.clone());
        }
        Ok(known)
    }

    /// Replaces the runner of the head `known` by `successor`. Returns the resulting head, which
    /// names another node if that came first; `None` if the store has no readable head.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn take_over(
        &self,
        known: &VersionedHead,
        successor: NodeRef,
    ) -> Result<Option<VersionedHead>, StoreError> {
        let Some(newest) = self.read_newest(&known.id).await? else {
            return Ok(None);
        };
        if newest.head.runner != known.head.runner {
            return Ok(Some(newest));
        }
        let head = Head {
            write: self.store.write_id(),
            runner: successor,
            ..newest.head.clone()
        };
        match self.replace(&newest, head).await {
            Ok(taken) => {
                self.journal.event(
                    "submission_taken_over",
                    &[
                        ("submission", &known.id),
                        ("from", &known.head.runner.node),
                        ("to", &taken.head.runner.node),
                    ],
                );
                Ok(Some(taken))
            }
            Err(StoreError::Conflict) => self.read_newest(&known.id).await,
            Err(error) => Err(error),
        }
    }

    /// Marks a submission as ended in the store.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if its head has changed, or the store did not answer.
    pub async fn mark_ended(&self, known: &VersionedHead) -> Result<(), StoreError> {
        let head = Head {
            write: self.store.write_id(),
            ended: true,
            ..known.head.clone()
        };
        self.replace(known, head).await.map(drop)
    }

    /// Caches a head, unless a newer one is cached.
    pub fn update(&self, known: VersionedHead) {
        let mut newest = self.lock();
        match newest.binary_search_by(|other| other.id.cmp(&known.id)) {
            Ok(at) if newest[at].revision < known.revision => newest[at] = known,
            Ok(_) => {}
            Err(at) => newest.insert(at, known),
        }
    }

    async fn replace(
        &self,
        known: &VersionedHead,
        head: Head,
    ) -> Result<VersionedHead, StoreError> {
        let write = head.write.clone();
        let (kind, id, revision) = (ObjectKind::Submissions, &known.id, known.revision);
        let replacing = self.store.replace(kind, id, revision, &head, &write);
        let object = replacing.await?;
        let replaced = VersionedHead {
            id: known.id.clone(),
            revision: object.revision,
            head,
        };
        self.update(replaced.clone());
        Ok(replaced)
    }

    fn find(&self, id: &str) -> Option<VersionedHead> {
        let newest = self.lock();
        let at = newest.binary_search_by(|other| other.id.as_str().cmp(id));
        at.ok().map(|at| newest[at].clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<VersionedHead>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
