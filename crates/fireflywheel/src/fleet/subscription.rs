//! Subscriptions: which instances receive updates of which engines.
//!
//! An instance gets requests for few of all models, and subscribes to those. The steward answers a
//! subscription with all engines that hold the model, and sends every change of these engines from then on.
//! If an instance received every change of every engine, it would mostly read updates that it never uses:
//! with hundreds of instances and thousands of engines, more than its link can carry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock;

/// How long after its last request for a model an instance considers its information on that model
/// complete.
pub const TTL: Duration = Duration::from_secs(30);
/// How long the steward continues to send updates after a subscription was last used. It is longer than
/// [`TTL`], so that an instance never relies on information that is no longer updated.
const RETENTION: Duration = Duration::from_secs(60);

/// The subscriptions of all links to a steward. A link is identified by a number, an engine by its id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Engines that hold a model, by model.
    holders: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Models that an engine holds, by engine.
    held: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Links that subscribe to a model, by model, with the time when each last used the subscription.
    subscribers: BTreeMap<SmolStr, BTreeMap<u64, clock::Instant>>,
    /// Models that a link subscribes to, by link.
    models: BTreeMap<u64, BTreeSet<SmolStr>>,
}

impl Registry {
    /// Updates the models that an engine holds. Returns the links that must receive the update.
    pub fn update_engine<'a, I>(&mut self, engine: &SmolStr, models: I) -> BTreeSet<u64>
    where
        I: IntoIterator<Item = &'a SmolStr>,
    {
        let current: BTreeSet<SmolStr> = models.into_iter().cloned().collect();
        let previous = self.held.remove(engine).unwrap_or_default();
        for model in previous.difference(&current) {
            if let Some(holders) = self.holders.get_mut(model) {
                holders.remove(engine);
                if holders.is_empty() {
                    self.holders.remove(model);
                }
            }
        }
        for model in current.difference(&previous) {
            let holders = self.holders.entry(model.clone()).or_default();
            holders.insert(engine.clone());
        }
        let links = previous
            .union(&current)
            .filter_map(|model| self.subscribers.get(model))
            .flat_map(BTreeMap::keys)
            .copied()
            .collect();
        if !current.is_empty() {
            self.held.insert(engine.clone(), current);
        }
        links
    }

    /// The links that receive updates of an engine.
    #[must_use]
    pub fn subscribers(&self, engine: &str) -> BTreeSet<u64> {
        let models = self.held.get(engine).into_iter().flatten();
        models
            .filter_map(|model| self.subscribers.get(model))
            .flat_map(BTreeMap::keys)
            .copied()
            .collect()
    }

    /// Subscribes a link to a model. Returns the engines that hold the model.
    pub fn subscribe(&mut self, now: clock::Instant, link: u64, model: &SmolStr) -> Vec<SmolStr> {
        let links = self.subscribers.entry(model.clone()).or_default();
        links.insert(link, now);
        let models = self.models.entry(link).or_default();
        models.insert(model.clone());
        let holders = self.holders.get(model);
        holders.into_iter().flatten().cloned().collect()
    }

    /// Records that a link still uses its subscription to a model.
    pub fn renew(&mut self, now: clock::Instant, link: u64, model: &str) {
        let links = self.subscribers.get_mut(model);
        if let Some(last_use) = links.and_then(|links| links.get_mut(&link)) {
            *last_use = now;
        }
    }

    /// Removes all subscriptions of a closed link.
    pub fn remove_link(&mut self, link: u64) {
        for model in self.models.remove(&link).unwrap_or_default() {
            self.unsubscribe(&model, link);
        }
    }

    /// Removes subscriptions that are no longer used.
    pub fn prune(&mut self, now: clock::Instant) {
        let mut unused = Vec::new();
        for (model, links) in &self.subscribers {
            let expired = links
                .iter()
                .filter(|(_, last_use)| now.since(**last_use) > RETENTION);
            unused.extend(expired.map(|(link, _)| (model.clone(), *link)));
        }
        for (model, link) in unused {
            self.unsubscribe(&model, link);
            if let Some(models) = self.models.get_mut(&link) {
                models.remove(&model);
            }
        }
    }

    fn unsubscribe(&mut self, model: &SmolStr, link: u64) {
        if let Some(links) = self.subscribers.get_mut(model) {
            links.remove(&link);
            if links.is_empty() {
                self.subscribers.remove(model);
            }
        }
    }
}
