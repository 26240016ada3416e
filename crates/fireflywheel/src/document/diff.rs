//! Differences between two documents, as shown to operators.

use std::fmt;

use smol_str::SmolStr;

use crate::document::{
    Document,
    ini::{self, Field, Section},
};

/// One difference between two documents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A section that exists only in the new document.
    Added(Section),
    /// A section that exists only in the old document.
    Removed(Section),
    /// A key whose value differs.
    Set {
        /// The section, which exists in both documents.
        section: Section,
        /// The key.
        key: &'static str,
        /// The old value in INI syntax; `None` if the key was omitted.
        from: Option<SmolStr>,
        /// The new value; `None` if the key is omitted.
        to: Option<SmolStr>,
    },
}

/// Returns the changes from `old` to `new`, in the order of sections. The result is empty if both documents
/// mean the same, however they are written.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let old = ini::sections(old);
    let new = ini::sections(new);
    let mut changes = Vec::new();
    for (section, fields) in &old {
        match new.get(section) {
            Some(others) => changes.extend(changed_keys(section, fields, others)),
            None => changes.push(Change::Removed(section.clone())),
        }
    }
    let added = new.into_keys().filter(|section| !old.contains_key(section));
    changes.extend(added.map(Change::Added));
    changes.sort_by(|a, b| a.section().cmp(b.section()));
    changes
}

/// Returns the changes of a section's keys. The two sides need not have the same keys: a group of services
/// has fewer keys than a group of engines.
fn changed_keys(section: &Section, old: &[Field], new: &[Field]) -> Vec<Change> {
    let mut keys: Vec<&'static str> = old.iter().map(|field| field.key).collect();
    keys.extend(new.iter().map(|field| field.key));
    let mut changes = Vec::new();
    for (index, key) in keys.iter().copied().enumerate() {
        let from = find_value(old, key);
        let to = find_value(new, key);
        if from != to && !keys[..index].contains(&key) {
            changes.push(Change::Set {
                section: section.clone(),
                key,
                from,
                to,
            });
        }
    }
    changes
}

fn find_value(fields: &[Field], key: &str) -> Option<SmolStr> {
    fields
        .iter()
        .find(|field| field.key == key)
        .and_then(|field| field.value.clone())
}

impl Change {
    /// Returns the section that the change concerns.
    #[must_use]
    pub fn section(&self) -> &Section {
        match self {
            Self::Added(section) | Self::Removed(section) | Self::Set { section, .. } => section,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(section) => write!(f, "{section}: added"),
            Self::Removed(section) => write!(f, "{section}: removed"),
            Self::Set {
                section,
                key,
                from,
                to,
            } => {
                let label = label(section, key);
                let from = from.as_deref().unwrap_or("none");
                let to = to.as_deref().unwrap_or("none");
                write!(f, "{label} of {section}: {from} -> {to}")
            }
        }
    }
}

/// Returns the label of a key shown to operators.
fn label(section: &Section, key: &'static str) -> &'static str {
    match (section, key) {
        (_, "replicas") => "replica cap",
        (Section::Group(_), "memory_mb") => "memory_mb of each backend server",
        (_, other) => other,
    }
}
