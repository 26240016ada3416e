//! Updates of a configuration: what instances send one another instead of the whole document.
//!
//! An update contains what has changed since the configuration that it is based on, or everything. It travels in parts,
//! so that a large one doesn't keep other frames from being sent. A configuration is in force only once all parts have
//! arrived.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::super::era::Position;
use super::super::organisation;
use super::{Config, Group, Kind, Limits, Route, Target, table};

/// Maximum number of routes in one part, some 3 KB. A steward with a slow network connection sends a part to each of
/// hundreds of instances before links without a frame are taken for dead.
pub const MAX_ROUTES_PER_PART: usize = 128;
/// Maximum number of removed routes in one part.
const MAX_REMOVALS_PER_PART: usize = 256;

/// Identifies a configuration. The version alone doesn't after the store was restored from an older copy: it may have
/// been assigned twice.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// The configuration's version.
    pub version: u64,
    /// The position of its record in the store's log.
    pub position: Position,
}

/// A part of an update.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Part {
    /// The configuration that the update is based on; `None` if it contains everything.
    base: Option<Revision>,
    /// The configuration that it leads to.
    target: Revision,
    /// The position up to which the sender has read the store's log.
    read_to: Option<Position>,
    /// The number of this part, from 0.
    index: u32,
    /// The number of parts.
    count: u32,
    /// Routes that are new or have changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    families: Vec<Family>,
    /// Routes that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<table::Key>,
    /// All groups, if any has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    groups: Option<BTreeMap<SmolStr, Group>>,
    /// The limits, if they have changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    limits: Option<Limits>,
    /// The organisations, if any has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    organisations: Option<Organisations>,
}

/// The organisations of a configuration; none if it serves every caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Organisations {
    registry: Option<organisation::Registry>,
}

/// Routes that differ in their names and prefixes only, as most of thousands of routes do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Family {
    shape: Shape,
    /// The name and the prefix of each route.
    members: Vec<(SmolStr, SmolStr)>,
}

/// What the routes of a family have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Shape {
    host: SmolStr,
    kind: Kind,
    timeout: Duration,
    latency_objective: Duration,
    max_event_gap: Option<Duration>,
    priority: u8,
    targets: Vec<Target>,
    attempts: u32,
    allow_anonymous: bool,
    #[serde(default, skip_serializing_if = "super::is_false")]
    sticky: bool,
}

/// A configuration with what identifies it.
#[derive(Clone, Debug, PartialEq)]
pub struct Revised {
    /// The configuration.
    pub config: Arc<Config>,
    /// What identifies it.
    pub revision: Revision,
    /// The position up to which the store's log has been read; `None` if it isn't known.
    pub read_to: Option<Position>,
}

/// Collects the parts of an update.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    parts: Vec<Part>,
}

/// Why a part can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misfit {
    /// An earlier part is missing.
    Incomplete,
    /// The update is based on a configuration that isn't in force.
    OtherBase,
}

impl Misfit {
    /// Its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Incomplete => "a part is missing",
            Self::OtherBase => "it is based on another configuration",
        }
    }
}

/// What has become of an update after a part of it has arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Parts are missing.
    Waiting,
    /// The update leads to no later configuration.
    Outdated,
    /// The update is complete.
    Complete(Revised),
}

/// Returns the parts of the update from `base`, or from nothing, to `target`.
#[must_use]
pub fn parts(base: Option<&Revised>, target: &Revised) -> Vec<Part> {
    let nothing = Config::default();
    let known = base.map_or(&nothing, |base| &base.config);
    let newer = &target.config;
    let (changed, removed) = known.routes.difference(&newer.routes);
    let mut removals = removed.chunks(MAX_REMOVALS_PER_PART);
    let mut families = families(&changed).into_iter();
    let empty = Part {
        base: base.map(|base| base.revision),
        target: target.revision,
        read_to: target.read_to,
        index: 0,
        count: 0,
        families: Vec::new(),
        removed: Vec::new(),
        groups: None,
        limits: None,
        organisations: None,
    };
    let is_whole = base.is_none();
    let first = Part {
        groups: (is_whole || known.groups != newer.groups).then(|| newer.groups.clone()),
        limits: (is_whole || known.limits != newer.limits).then_some(newer.limits),
        organisations: (is_whole || known.organisations != newer.organisations).then(|| {
            Organisations {
                registry: newer.organisations.clone(),
            }
        }),
        ..empty.clone()
    };
    let mut parts = vec![first];
    loop {
        let removed = removals.next().unwrap_or_default().to_vec();
        let families = families.next().unwrap_or_default();
        if removed.is_empty() && families.is_empty() {
            break;
        }
        parts.push(Part {
            families,
            removed,
            ..empty.clone()
        });
    }
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    for (index, part) in (0..).zip(&mut parts) {
        part.index = index;
        part.count = count;
    }
    parts
}

impl Part {
    /// The configuration that the update leads to.
    #[must_use]
    pub fn target(&self) -> Revision {
        self.target
    }
}

impl Assembly {
    /// Adds a part, and returns the configuration once all parts have arrived. `current` is the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns a [`Misfit`] if the update can't be applied. The assembly is then empty.
    pub fn add(&mut self, part: Part, current: Option<&Revised>) -> Result<Progress, Misfit> {
        if current.is_some_and(|current| current.revision.version >= part.target.version) {
            self.parts.clear();
            return Ok(Progress::Outdated);
        }
        if part.index == 0 {
            self.parts.clear();
        }
        let continues = self.parts.first().is_none_or(|first| {
            (first.base, first.target, first.count) == (part.base, part.target, part.count)
        });
        if !continues || part.index as usize != self.parts.len() {
            self.parts.clear();
            return Err(Misfit::Incomplete);
        }
        if part.base.is_some() && part.base != current.map(|current| current.revision) {
            self.parts.clear();
            return Err(Misfit::OtherBase);
        }
        let is_last = part.index + 1 >= part.count;
        self.parts.push(part);
        if !is_last {
            return Ok(Progress::Waiting);
        }
        let parts = std::mem::take(&mut self.parts);
        Ok(Progress::Complete(apply(parts, current)))
    }
}

fn apply(parts: Vec<Part>, current: Option<&Revised>) -> Revised {
    let (base, target, read_to) = (parts[0].base, parts[0].target, parts[0].read_to);
    let current = current.filter(|_| base.is_some());
    let mut config = current.map_or_else(Config::default, |current| (*current.config).clone());
    config.version = target.version;
    for part in parts {
        for key in &part.removed {
            config.routes.remove(key);
        }
        for family in part.families {
            family.insert_into(&mut config.routes);
        }
        if let Some(groups) = part.groups {
            config.groups = groups;
        }
        if let Some(limits) = part.limits {
            config.limits = limits;
        }
        if let Some(organisations) = part.organisations {
            config.organisations = organisations.registry;
        }
    }
    Revised {
        config: Arc::new(config),
        revision: target,
        read_to,
    }
}

/// Groups routes into families, and these into parts.
fn families(routes: &[Arc<Route>]) -> Vec<Vec<Family>> {
    let chunks = routes.chunks(MAX_ROUTES_PER_PART);
    chunks
        .map(|routes| {
            let mut families: Vec<Family> = Vec::new();
            for route in routes {
                let member = (route.name.clone(), route.prefix.clone());
                let shape = Shape::of(route);
                // Routes have few shapes, and neighbours mostly have the same.
                let mut known = families.iter_mut().rev();
                match known.find(|family| family.shape == shape) {
                    Some(family) => family.members.push(member),
                    None => families.push(Family {
                        shape,
                        members: vec![member],
                    }),
                }
            }
            families
        })
        .collect()
}

impl Family {
    fn insert_into(self, routes: &mut table::Table) {
        let shape = self.shape;
        for (name, prefix) in self.members {
            let shape = shape.clone();
            routes.insert(Arc::new(Route {
                name,
                host: shape.host,
                prefix,
                kind: shape.kind,
                timeout: shape.timeout,
                latency_objective: shape.latency_objective,
                max_event_gap: shape.max_event_gap,
                priority: shape.priority,
                targets: shape.targets,
                attempts: shape.attempts,
                allow_anonymous: shape.allow_anonymous,
                sticky: shape.sticky,
            }));
        }
    }
}

impl Shape {
    fn of(route: &Route) -> Self {
        Self {
            host: route.host.clone(),
            kind: route.kind,
            timeout: route.timeout,
            latency_objective: route.latency_objective,
            max_event_gap: route.max_event_gap,
            priority: route.priority,
            targets: route.targets.clone(),
            attempts: route.attempts,
            allow_anonymous: route.allow_anonymous,
            sticky: route.sticky,
        }
    }
}
