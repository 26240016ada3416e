//! Which instances are told of which engines.
//!
//! An instance is asked for few of all models, so it subscribes to those. The steward answers with all engines that hold
//! the model, and tells of each change of these from then on. Told of every change of every engine, an instance would read
//! mostly what it never uses: with hundreds of instances and thousands of engines, more than its link carries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock;

/// An instance takes what it was told of a model for complete until this long after its last request for it.
pub const TTL: Duration = Duration::from_secs(30);
/// The steward goes on telling for longer, so that an instance never relies on what it isn't told any more.
const KEPT: Duration = Duration::from_secs(60);

/// Subscriptions of all links to a steward. A link is a number, an engine is its id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Engines that hold a model.
    holders: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Models that an engine holds.
    held: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Links that are told of a model, and when each was last asked for it.
    subscribers: BTreeMap<SmolStr, BTreeMap<u64, clock::Instant>>,
    /// Models that a link is told of.
    models: BTreeMap<u64, BTreeSet<SmolStr>>,
}

impl Registry {
    /// An engine holds these models from now on; the links that are to be told.
    pub fn update_engine<'a, I>(&mut self, engine: &SmolStr, models: I) -> BTreeSet<u64>
    where
        I: IntoIterator<Item = &'a SmolStr>,
    {
        let now: BTreeSet<SmolStr> = models.into_iter().cloned().collect();
        let before = self.held.remove(engine).unwrap_or_default();
        for model in before.difference(&now) {
            if let Some(holders) = self.holders.get_mut(model) {
                holders.remove(engine);
                if holders.is_empty() {
                    self.holders.remove(model);
                }
            }
        }
        for model in now.difference(&before) {
            let holders = self.holders.entry(model.clone()).or_default();
            holders.insert(engine.clone());
        }
        let links = before
            .union(&now)
            .filter_map(|model| self.subscribers.get(model))
            .flat_map(BTreeMap::keys)
            .copied()
            .collect();
        if !now.is_empty() {
            self.held.insert(engine.clone(), now);
        }
        links
    }

    /// The links that are told of an engine.
    #[must_use]
    pub fn subscribers(&self, engine: &str) -> BTreeSet<u64> {
        let models = self.held.get(engine).into_iter().flatten();
        models
            .filter_map(|model| self.subscribers.get(model))
            .flat_map(BTreeMap::keys)
            .copied()
            .collect()
    }

    /// A link asks for a model; the engines that hold it.
    pub fn subscribe(&mut self, now: clock::Instant, link: u64, model: &SmolStr) -> Vec<SmolStr> {
        let links = self.subscribers.entry(model.clone()).or_default();
        links.insert(link, now);
        let models = self.models.entry(link).or_default();
        models.insert(model.clone());
        let holders = self.holders.get(model);
        holders.into_iter().flatten().cloned().collect()
    }

    /// A link still uses what it is told of a model.
    pub fn renew(&mut self, now: clock::Instant, link: u64, model: &str) {
        let links = self.subscribers.get_mut(model);
        if let Some(used) = links.and_then(|links| links.get_mut(&link)) {
            *used = now;
        }
    }

    /// A link has ended.
    pub fn remove_link(&mut self, link: u64) {
        for model in self.models.remove(&link).unwrap_or_default() {
            self.drop_link(&model, link);
        }
    }

    /// Ends subscriptions that aren't used any more.
    pub fn prune(&mut self, now: clock::Instant) {
        let mut unused = Vec::new();
        for (model, links) in &self.subscribers {
            let old = links.iter().filter(|(_, used)| now.since(**used) > KEPT);
            unused.extend(old.map(|(link, _)| (model.clone(), *link)));
        }
        for (model, link) in unused {
            self.drop_link(&model, link);
            if let Some(models) = self.models.get_mut(&link) {
                models.remove(&model);
            }
        }
    }

    fn drop_link(&mut self, model: &SmolStr, link: u64) {
        if let Some(links) = self.subscribers.get_mut(model) {
            links.remove(&link);
            if links.is_empty() {
                self.subscribers.remove(model);
            }
        }
    }
}
