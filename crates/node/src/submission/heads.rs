//! Heads of submissions as this node knows them: who runs which, and whether it has
//! ended. Changed in the store on the condition that they are as they were read.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use firweir::process::log::Journal;

use crate::dialect::Kind;
use crate::dialect::Object;
use crate::dialect::StoreError;
use crate::store::Store;
use crate::submission::records::Head;
use crate::submission::records::Runner;

/// The head of a submission at a revision.
#[derive(Debug, Clone)]
pub struct Known {
    /// Id of the submission.
    pub id: String,
    /// Revision of the store at which the head was so.
    pub revision: u64,
    /// The head.
    pub head: Head,
}

/// Heads by submission; cheap to clone.
#[derive(Debug, Clone)]
pub struct Heads {
    me: Runner,
    store: Store,
    journal: Journal,
    /// Sorted by id.
    held: Arc<Mutex<Vec<Known>>>,
}

impl Heads {
    /// None is known yet.
    #[must_use]
    pub fn new(me: Runner, store: Store, journal: Journal) -> Self {
        Self {
            me,
            store,
            journal,
            held: Arc::default(),
        }
    }

    /// Whether the head of this submission was seen.
    #[must_use]
    pub fn has(&self, id: &str) -> bool {
        self.find(id).is_some()
    }

    /// Forgets a submission that is gone from the store.
    pub fn forget(&self, id: &str) {
        self.lock().retain(|held| held.id != id);
    }

    /// Reads a head out of an object of the store.
    #[must_use]
    pub fn decode(&self, object: Object) -> Option<Known> {
        match serde_json::from_str::<Head>(object.value.get()) {
            Ok(head) => Some(Known {
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

    /// The head as far as it is needed to ask its runner.
    ///
    /// # Errors
    ///
    /// It is not known here and the store did not answer.
    pub async fn known(&self, id: &str) -> Result<Option<Known>, StoreError> {
        let held = self.find(id);
        if held.is_some() {
            return Ok(held);
        }
        // An old head does for asking its runner, who knows better; that there is no
        // such submission has to be the newest.
        let old = self.store.read_stale(Kind::Submissions, id).await;
        if let Ok(Some(object)) = old
            && let Some(known) = self.decode(object)
            && known.head.runner != self.me
        {
            self.note(known.clone());
            return Ok(Some(known));
        }
        self.reread(id).await
    }

    /// The newest head.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn reread(&self, id: &str) -> Result<Option<Known>, StoreError> {
        let object = self.store.read(Kind::Submissions, id).await?;
        let known = object.and_then(|object| self.decode(object));
        if let Some(known) = &known {
            self.note(known.clone());
        }
        Ok(known)
    }

    /// Makes a node the runner in place of the one that is known.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn take_over(
        &self,
        known: &Known,
        successor: Runner,
    ) -> Result<Option<Known>, StoreError> {
        let Some(now) = self.reread(&known.id).await? else {
            return Ok(None);
        };
        if now.head.runner != known.head.runner {
            return Ok(Some(now));
        }
        let head = Head {
            write: self.store.write_id(),
            runner: successor,
            ..now.head.clone()
        };
        match self.replace(&now, head).await {
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
            Err(StoreError::Conflict) => self.reread(&known.id).await,
            Err(error) => Err(error),
        }
    }

    /// Marks a submission as ended.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if its head has changed, or the store did not answer.
    pub async fn end(&self, known: &Known) -> Result<(), StoreError> {
        let head = Head {
            write: self.store.write_id(),
            ended: true,
            ..known.head.clone()
        };
        self.replace(known, head).await.map(drop)
    }

    /// Keeps the newest head of each submission.
    pub fn note(&self, known: Known) {
        let mut held = self.lock();
        match held.binary_search_by(|held| held.id.cmp(&known.id)) {
            Ok(at) if held[at].revision < known.revision => held[at] = known,
            Ok(_) => {}
            Err(at) => held.insert(at, known),
        }
    }

    async fn replace(&self, known: &Known, head: Head) -> Result<Known, StoreError> {
        let write = head.write.clone();
        let (kind, id, revision) = (Kind::Submissions, &known.id, known.revision);
        let replacing = self.store.replace(kind, id, revision, &head, &write);
        let object = replacing.await?;
        let replaced = Known {
            id: known.id.clone(),
            revision: object.revision,
            head,
        };
        self.note(replaced.clone());
        Ok(replaced)
    }

    fn find(&self, id: &str) -> Option<Known> {
        let held = self.lock();
        let at = held.binary_search_by(|held| held.id.as_str().cmp(id));
        at.ok().map(|at| held[at].clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Known>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
