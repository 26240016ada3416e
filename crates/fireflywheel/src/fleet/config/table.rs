//! Routes by host and path prefix.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Route;

/// The routes of a configuration. Tables that were derived from one another share the routes that are equal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Vec<Arc<Route>>", into = "Vec<Arc<Route>>")]
pub struct Table {
    hosts: BTreeMap<SmolStr, Arc<Host>>,
    count: usize,
}

/// The routes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct Host {
    routes: BTreeMap<SmolStr, Arc<Route>>,
    /// The lengths of the prefixes in bytes, each with the number of prefixes.
    lengths: BTreeMap<usize, usize>,
}

/// What identifies a route: its host and its path prefix.
pub type Key = (SmolStr, SmolStr);

impl Table {
    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// All routes, in the order of their hosts and prefixes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(|host| host.routes.values())
    }

    /// The route for `host` with the longest prefix of `path`. The port in `host` and its case are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = self.hosts.get(&lowercase(host))?;
        let lengths = host.lengths.range(..=path.len()).rev();
        lengths
            .filter_map(|(length, _)| path.get(..*length))
            .find_map(|prefix| host.routes.get(prefix))
    }

    /// Adds a route, in place of one with the same host and prefix.
    pub fn insert(&mut self, route: Arc<Route>) {
        let host = self.hosts.entry(lowercase(&route.host)).or_default();
        let host = Arc::make_mut(host);
        let length = route.prefix.len();
        if host.routes.insert(route.prefix.clone(), route).is_none() {
            *host.lengths.entry(length).or_default() += 1;
            self.count += 1;
        }
    }

    /// Removes the route of a host and prefix, if there is one.
    pub fn remove(&mut self, (host_name, prefix): &Key) {
        let host_name = lowercase(host_name);
        let Some(host) = self.hosts.get_mut(&host_name) else {
            return;
        };
        let host = Arc::make_mut(host);
        if host.routes.remove(prefix).is_none() {
            return;
        }
        self.count -= 1;
        if let Some(prefixes) = host.lengths.get_mut(&prefix.len()) {
            *prefixes -= 1;
            if *prefixes == 0 {
                host.lengths.remove(&prefix.len());
            }
        }
        if host.routes.is_empty() {
            self.hosts.remove(&host_name);
        }
    }

    /// Replaces routes by the equal ones of another table, so that both share them.
    pub fn share(&mut self, other: &Self) {
        for (name, host) in &mut self.hosts {
            let Some(other) = other.hosts.get(name) else {
                continue;
            };
            for (prefix, route) in &mut Arc::make_mut(host).routes {
                if let Some(equal) = other.routes.get(prefix).filter(|other| *other == route) {
                    *route = Arc::clone(equal);
                }
            }
        }
    }

    /// The routes that `newer` has and this table hasn't, and the keys of those that `newer` lacks.
    #[must_use]
    pub fn difference(&self, newer: &Self) -> (Vec<Arc<Route>>, Vec<Key>) {
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for (name, host) in &newer.hosts {
            let known = self.hosts.get(name);
            if known.is_some_and(|known| Arc::ptr_eq(known, host)) {
                continue;
            }
            let routes = host.routes.iter();
            changed.extend(
                routes
                    .filter(|(prefix, route)| {
                        let known = known.and_then(|known| known.routes.get(*prefix));
                        known.is_none_or(|known| !Arc::ptr_eq(known, route) && known != *route)
                    })
                    .map(|(_, route)| Arc::clone(route)),
            );
        }
        for (name, host) in &self.hosts {
            let kept = newer.hosts.get(name);
            if kept.is_some_and(|kept| Arc::ptr_eq(kept, host)) {
                continue;
            }
            let prefixes = host.routes.keys();
            removed.extend(
                prefixes
                    .filter(|prefix| kept.is_none_or(|kept| !kept.routes.contains_key(*prefix)))
                    .map(|prefix| (name.clone(), prefix.clone())),
            );
        }
        (changed, removed)
    }
}

impl From<Vec<Arc<Route>>> for Table {
    fn from(routes: Vec<Arc<Route>>) -> Self {
        routes.into_iter().collect()
    }
}

impl From<Table> for Vec<Arc<Route>> {
    fn from(table: Table) -> Self {
        table.iter().cloned().collect()
    }
}

impl FromIterator<Arc<Route>> for Table {
    fn from_iter<I>(routes: I) -> Self
    where
        I: IntoIterator<Item = Arc<Route>>,
    {
        let mut table = Self::default();
        for route in routes {
            table.insert(route);
        }
        table
    }
}

impl FromIterator<Route> for Table {
    fn from_iter<I>(routes: I) -> Self
    where
        I: IntoIterator<Item = Route>,
    {
        routes.into_iter().map(Arc::new).collect()
    }
}

fn lowercase(host: &str) -> SmolStr {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        host.to_ascii_lowercase().into()
    } else {
        host.into()
    }
}
