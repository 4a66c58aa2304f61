//! What a follower of the platform's objects is told.

use crate::dialect::Object;

/// What a follower is told.
#[derive(Debug)]
pub enum Change {
    /// All objects of the kind, after a start or a gap.
    All(Vec<Object>),
    /// One object appeared or changed.
    Put(Object),
    /// The object of this name is gone.
    Removed(String),
}

impl Change {
    /// The objects that it shows to be there.
    #[must_use]
    pub fn into_objects(self) -> Vec<Object> {
        match self {
            Self::All(objects) => objects,
            Self::Put(object) => vec![object],
            Self::Removed(_) => Vec::new(),
        }
    }
}
