//! The versions that the lease's record names.

use std::collections::BTreeSet;

use smol_str::SmolStr;

/// The versions of groups' servers that the lease's record names. A stream that began at any other could be taken for one of
/// these after a loss of all instances, so none begins there.
#[derive(Clone, Debug, Default)]
pub struct Named {
    /// The groups and their versions; `None` until the record is known.
    versions: Option<BTreeSet<(SmolStr, SmolStr)>>,
}

impl Named {
    /// Replaces what is known by a later record.
    pub fn replace(&mut self, versions: Vec<(SmolStr, SmolStr)>) {
        self.versions = Some(versions.into_iter().collect());
    }

    /// Whether the record is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.versions.is_some()
    }

    /// Whether the record names a version of a group.
    #[must_use]
    pub fn contains(&self, group: &SmolStr, version: &SmolStr) -> bool {
        let versions = self.versions.as_ref();
        versions.is_some_and(|versions| versions.contains(&(group.clone(), version.clone())))
    }

    /// The groups and their versions, for other instances; `None` until the record is known.
    #[must_use]
    pub fn list(&self) -> Option<Vec<(SmolStr, SmolStr)>> {
        Some(self.versions.as_ref()?.iter().cloned().collect())
    }
}
