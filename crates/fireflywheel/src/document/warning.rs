//! Warnings about effects of a new document that an operator may not expect.

use std::{collections::BTreeMap, fmt, time::Duration};

use smol_str::SmolStr;

use crate::document::{Document, Fencing, Group, Model, PinRelease, Route, ini::Section};

/// A consequence of a change, reported before the document is published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Warning {
    /// A section was removed, which affects requests and replicas.
    Removed(Section),
    /// A model or adapter has a lower replica cap than before.
    CapLowered {
        /// The model or adapter.
        section: Section,
        /// The old cap.
        from: u32,
        /// The new cap.
        to: u32,
    },
    /// The version of a model's weights changed.
    Version {
        /// The model.
        model: SmolStr,
        /// The old version.
        from: u32,
        /// The new version.
        to: u32,
    },
    /// A model was moved to another group.
    Moved {
        /// The model.
        model: SmolStr,
        /// The old group.
        from: SmolStr,
        /// The new group.
        to: SmolStr,
    },
    /// The configured memory of a group's backend servers was lowered.
    MemoryLowered {
        /// The group.
        group: SmolStr,
        /// Old memory of each backend server, in MB.
        from_mb: u64,
        /// New memory of each backend server, in MB.
        to_mb: u64,
    },
    /// Engines are now trusted to refuse outdated fencing numbers.
    FencingTrusted {
        /// The group.
        group: SmolStr,
    },
    /// Pins are now released by time, or earlier than before.
    PinsTimed {
        /// The group.
        group: SmolStr,
        /// The time after which pins are released.
        after: Duration,
    },
    /// Requests with these methods may now be retried.
    Repeatable {
        /// The route.
        route: SmolStr,
        /// The methods.
        methods: Vec<SmolStr>,
    },
    /// A service is now trusted to execute requests with the same idempotency key at most once.
    DeduplicationTrusted {
        /// The route.
        route: SmolStr,
    },
    /// Idempotency keys are retained for a shorter time.
    KeyMemoryShortened {
        /// The old retention time.
        from: Duration,
        /// The new retention time.
        to: Duration,
    },
}

/// Returns the warnings for the change from `old` to `new`, in the order of sections.
#[must_use]
pub fn warnings(old: &Document, new: &Document) -> Vec<Warning> {
    let mut warnings = key_retention_warnings(old, new);
    warnings.extend(removed_sections(&old.classes, &new.classes, Section::Class));
    warnings.extend(removed_sections(
        &old.tenants,
        &new.tenants,
        Section::Tenant,
    ));
    warnings.extend(removed_sections(&old.groups, &new.groups, Section::Group));
    for (name, old, new) in in_both(&old.groups, &new.groups) {
        warnings.extend(group_warnings(name, old, new));
    }
    warnings.extend(removed_sections(&old.models, &new.models, Section::Model));
    for (name, old, new) in in_both(&old.models, &new.models) {
        warnings.extend(model_warnings(name, old, new));
    }
    warnings.extend(adapter_warnings(old, new));
    warnings.extend(removed_sections(&old.routes, &new.routes, Section::Route));
    for (name, old, new) in in_both(&old.routes, &new.routes) {
        warnings.extend(route_warnings(name, old, new));
    }
    warnings
}

fn key_retention_warnings(old: &Document, new: &Document) -> Vec<Warning> {
    let from = old.serving.key_retention;
    let to = new.serving.key_retention;
    if to < from {
        vec![Warning::KeyMemoryShortened { from, to }]
    } else {
        Vec::new()
    }
}

fn removed_sections<F, T>(
    old: &BTreeMap<SmolStr, T>,
    new: &BTreeMap<SmolStr, T>,
    section: F,
) -> Vec<Warning>
where
    F: Fn(SmolStr) -> Section,
{
    old.keys()
        .filter(|name| !new.contains_key(*name))
        .map(|name| Warning::Removed(section(name.clone())))
        .collect()
}

fn in_both<'a, T>(
    old: &'a BTreeMap<SmolStr, T>,
    new: &'a BTreeMap<SmolStr, T>,
) -> impl Iterator<Item = (&'a SmolStr, &'a T, &'a T)> {
    old.iter()
        .filter_map(|(name, value)| Some((name, value, new.get(name)?)))
}

fn group_warnings(name: &SmolStr, old: &Group, new: &Group) -> Vec<Warning> {
    let mut warnings = Vec::new();
    if new.memory_mb < old.memory_mb {
        warnings.push(Warning::MemoryLowered {
            group: name.clone(),
            from_mb: old.memory_mb,
            to_mb: new.memory_mb,
        });
    }
    if new.fencing == Fencing::Checked && old.fencing != Fencing::Checked {
        warnings.push(Warning::FencingTrusted {
            group: name.clone(),
        });
    }
    if let PinRelease::After(after) = new.pin_release
        && releases_earlier(old.pin_release, after)
    {
        warnings.push(Warning::PinsTimed {
            group: name.clone(),
            after,
        });
    }
    warnings
}

fn releases_earlier(old: PinRelease, after: Duration) -> bool {
    match old {
        PinRelease::Acknowledged => true,
        PinRelease::After(before) => after < before,
    }
}

fn model_warnings(name: &SmolStr, old: &Model, new: &Model) -> Vec<Warning> {
    let mut warnings = Vec::new();
    warnings.extend(cap_warning(
        Section::Model(name.clone()),
        old.replicas,
        new.replicas,
    ));
    if new.version != old.version {
        warnings.push(Warning::Version {
            model: name.clone(),
            from: old.version,
            to: new.version,
        });
    }
    if new.group != old.group {
        warnings.push(Warning::Moved {
            model: name.clone(),
            from: old.group.clone(),
            to: new.group.clone(),
        });
    }
    warnings
}

fn adapter_warnings(old: &Document, new: &Document) -> Vec<Warning> {
    let no_adapters = BTreeMap::new();
    let mut warnings = Vec::new();
    for (model, old_adapters) in &old.adapters {
        let new_adapters = new.adapters.get(model).unwrap_or(&no_adapters);
        let section = |name| Section::Adapter {
            model: model.clone(),
            name,
        };
        warnings.extend(removed_sections(old_adapters, new_adapters, section));
        for (name, old, new) in in_both(old_adapters, new_adapters) {
            warnings.extend(cap_warning(
                section(name.clone()),
                old.replicas,
                new.replicas,
            ));
        }
    }
    warnings
}

fn cap_warning(section: Section, from: u32, to: u32) -> Option<Warning> {
    (to < from).then_some(Warning::CapLowered { section, from, to })
}

fn route_warnings(name: &SmolStr, old: &Route, new: &Route) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let methods: Vec<SmolStr> = new
        .idempotent
        .iter()
        .filter(|method| !old.idempotent.contains(method))
        .cloned()
        .collect();
    if !methods.is_empty() {
        warnings.push(Warning::Repeatable {
            route: name.clone(),
            methods,
        });
    }
    if new.deduplicates && !old.deduplicates {
        warnings.push(Warning::DeduplicationTrusted {
            route: name.clone(),
        });
    }
    warnings
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed(section) => write!(f, "{section}: removed; {}", removal_effect(section)),
            Self::CapLowered { section, from, to } => write!(
                f,
                "{section}: cap lowered from {from} to {to}; replicas beyond it will be unloaded"
            ),
            Self::Version { model, from, to } => write!(
                f,
                "model {model}: replicas of version {from} will be unloaded to make way for version {to}"
            ),
            Self::Moved { model, from, to } => write!(
                f,
                "model {model}: its replicas in group {from} will be unloaded before more are loaded in group {to}"
            ),
            Self::MemoryLowered {
                group,
                from_mb,
                to_mb,
            } => write!(
                f,
                "group {group}: memory lowered from {from_mb} MB to {to_mb} MB; what does not fit will be unloaded"
            ),
            Self::FencingTrusted { group } => write!(
                f,
                "group {group}: its engines are trusted to refuse old fencing numbers, also after a restart; if they don't, a late order can exceed a cap or the memory"
            ),
            Self::PinsTimed { group, after } => write!(
                f,
                "group {group}: pins end after {} s of silence; an order held up longer can exceed a cap or the memory",
                after.as_secs()
            ),
            Self::Repeatable { route, methods } => write!(
                f,
                "route {route}: {} may be sent again now after a failure, and so run more than once",
                methods.join(", ")
            ),
            Self::DeduplicationTrusted { route } => write!(
                f,
                "route {route}: its service is trusted to run an Idempotency-Key at most once; no claim is recorded any more"
            ),
            Self::KeyMemoryShortened { from, to } => write!(
                f,
                "serving: outcomes of idempotency keys are remembered for {} s instead of {} s; a repeat after that runs again",
                to.as_secs(),
                from.as_secs()
            ),
        }
    }
}

/// Describes the effect of removing a section.
fn removal_effect(section: &Section) -> &'static str {
    match section {
        Section::Serving => "its values become the usual ones",
        Section::Class(_) => "requests that name it will be refused",
        Section::Tenant(_) => "its requests will be refused",
        Section::Group(_) => {
            "its backend servers get no more work, and their replicas are unloaded"
        }
        Section::Model(_) | Section::Adapter { .. } => {
            "its replicas will be unloaded and its requests refused"
        }
        Section::Route(_) => "requests for its paths will be refused",
    }
}
