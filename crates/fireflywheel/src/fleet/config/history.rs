//! The newest configurations, from which updates for other instances are made.

use std::collections::VecDeque;
use std::sync::Arc;

use super::update::{Part, Revised, Revision, parts};

/// Number of configurations that are kept besides the newest. Instances mostly lack the last one or two changes.
const MAX_EARLIER: usize = 3;

/// The configuration in force and those before it, which share most of their routes.
#[derive(Clone, Debug, Default)]
pub struct History {
    newest: Option<Revised>,
    earlier: VecDeque<Revised>,
}

impl History {
    /// The configuration in force, with what identifies it.
    #[must_use]
    pub fn newest(&self) -> Option<&Revised> {
        self.newest.as_ref()
    }

    /// Adds a configuration that was decoded as a whole, like [`Self::push`], and lets it share the routes that have not
    /// changed.
    pub fn push_document(&mut self, mut revised: Revised) -> bool {
        if let Some(newest) = &self.newest {
            Arc::make_mut(&mut revised.config)
                .routes
                .share(&newest.config.routes);
        }
        self.push(revised)
    }

    /// Adds a configuration, unless that one or a later one is in force. Returns whether it was added.
    pub fn push(&mut self, revised: Revised) -> bool {
        let newest = self.newest.as_ref();
        if newest.is_some_and(|newest| newest.revision.version >= revised.revision.version) {
            return false;
        }
        self.earlier.extend(self.newest.replace(revised));
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
        true
    }

    /// Whether updates can be based on a configuration.
    #[must_use]
    pub fn contains(&self, revision: Revision) -> bool {
        self.earlier
            .iter()
            .any(|revised| revised.revision == revision)
    }

    /// Returns the update from a configuration to the newest. It contains everything if that configuration isn't known.
    #[must_use]
    pub fn update_from(&self, base: Option<Revision>) -> Vec<Part> {
        let Some(newest) = &self.newest else {
            return Vec::new();
        };
        let earlier = self.earlier.iter();
        let known = base.and_then(|base| earlier.rev().find(|revised| revised.revision == base));
        parts(known, newest)
    }
}
