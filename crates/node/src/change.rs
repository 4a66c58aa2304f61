//! Changes of the platform's objects, as reported to a follower.

use crate::dialect::Object;

/// A change of objects of one kind.
#[derive(Debug)]
pub enum Change {
    /// All objects of the kind, after a start or a gap.
    All(Vec<Object>),
    /// One object appeared or changed.
    Put(Object),
    /// The object with this name was removed.
    Removed(String),
}

impl Change {
    /// Highest revision of the existing objects in this change; `None` if there are none.
    #[must_use]
    pub fn newest_revision(&self) -> Option<u64> {
        match self {
            Self::All(objects) => objects.iter().map(|object| object.revision).max(),
            Self::Put(object) => Some(object.revision),
            Self::Removed(_) => None,
        }
    }

    /// The existing objects in this change.
    #[must_use]
    pub fn into_objects(self) -> Vec<Object> {
        match self {
            Self::All(objects) => objects,
            Self::Put(object) => vec![object],
            Self::Removed(_) => Vec::new(),
        }
    }
}
