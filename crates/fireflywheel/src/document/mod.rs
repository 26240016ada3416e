//! The serving configuration: one INI document, accepted whole or refused with every fault named.
//!
//! Every map is ordered, since what is read from a document decides how the ledger judges a record, and
//! all instances must judge alike.
//!
//! ```
//! let text = "
//! [serving]
//! cold_start_weight = 0.8
//!
//! [group quote-llm]
//! kind = engine
//! memory_mb = 24000
//! slots = 16
//!
//! [model quote-small]
//! group = quote-llm
//! memory_mb = 14000
//! replicas = 2
//! ";
//! let document = fireflywheel::document::Document::parse(text).expect("it has no faults");
//! assert_eq!(document.models["quote-small"].replicas, 2);
//! ```

mod check;
mod diff;
mod form;
mod parse;
mod warning;

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

pub use self::{
    diff::{Change, diff},
    form::Section,
    parse::MAX_BYTES,
    warning::{Warning, warnings},
};

/// A checked serving configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// `[serving]`: what concerns the whole deployment.
    pub serving: Serving,
    /// `[class NAME]`.
    pub classes: BTreeMap<SmolStr, Class>,
    /// `[tenant NAME]`.
    pub tenants: BTreeMap<SmolStr, Tenant>,
    /// `[group NAME]`: backend servers of one kind.
    pub groups: BTreeMap<SmolStr, Group>,
    /// `[model NAME]`.
    pub models: BTreeMap<SmolStr, Model>,
    /// `[adapter MODEL:NAME]`, by model, then by adapter.
    pub adapters: BTreeMap<SmolStr, BTreeMap<SmolStr, Adapter>>,
    /// `[route NAME]`: paths that go to plain services.
    pub routes: BTreeMap<SmolStr, Route>,
}

/// What concerns the whole deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Serving {
    /// `cold_start_weight`, 0 to 1: 1 minds only tail cold-start time, 0 only idle accelerator hours.
    pub cold_start_weight: f64,
    /// `store_loads_per_second`: what the weight store allows in all.
    pub store_loads_per_second: f64,
    /// `store_loads_at_once`: loads that run at full speed together.
    pub store_loads_at_once: u32,
    /// `adapter_loads_at_once`: adapter loads in flight across all backend servers.
    pub adapter_loads_at_once: u32,
    /// `key_memory`: how long the outcome of an idempotency key is remembered after it was recorded.
    pub key_memory: Duration,
    /// `keys`: idempotency keys remembered at most; at the limit new ones are refused, not run.
    pub keys: usize,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// `deadline_ms`: the deadline of a request that names none; without it such a request is refused.
    pub deadline: Option<Duration>,
    /// `in_flight`: requests of the class in progress across all instances.
    pub in_flight: u32,
    /// `queue`: requests of the class that wait at one instance.
    pub queue: usize,
}

/// A tenant: who sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// `in_flight`: requests in progress across all instances.
    pub in_flight: u32,
    /// `share`: weight against other tenants when they wait for the same model.
    pub share: u32,
}

/// What answers in a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// Model engines, which take orders.
    #[default]
    Engine,
    /// Plain services.
    Service,
}

/// What a group's engines do with an order that has an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// They refuse it, also after a restart.
    Checked,
    /// They refuse it, but forget the number when they restart: for safety this is [`Self::Ignored`].
    Forgets,
    /// They take any order. The careful case, and the default.
    #[default]
    Ignored,
}

/// What ends the pins of an incarnation that has fallen silent; see [`crate::ledger`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PinRelease {
    /// Only its own acknowledgement.
    #[default]
    Acknowledged,
    /// Also this much log time after its epoch ended. The risk is an order that is held up longer.
    After(Duration),
}

/// Backend servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// `kind`: `engine` or `service`.
    pub kind: Kind,
    /// `fencing`: `checked`, `forgets` or `ignored`.
    pub fencing: Fencing,
    /// `pin_release`: `acknowledged`, or a number of seconds.
    pub pin_release: PinRelease,
    /// `memory_mb` of each backend server for models and adapters.
    pub memory_mb: u64,
    /// `slots`: requests that one backend server runs at once.
    pub slots: u32,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// `group`: the group of engines that runs it.
    pub group: SmolStr,
    /// `version` of the weights, 1 or more.
    pub version: u32,
    /// `memory_mb` that a replica takes.
    pub memory_mb: u64,
    /// `replicas`: at most so many, over all versions.
    pub replicas: u32,
    /// `load_ms`: the expected time of a load until one was measured.
    pub load: Duration,
    /// `service_ms`: the expected time of a request until one was measured.
    pub service: Duration,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Adapter {
    /// `memory_mb` that a replica takes beside its model.
    pub memory_mb: u64,
    /// `replicas`: at most so many.
    pub replicas: u32,
}

/// Paths that go to a group of plain services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// `prefix` of the path, such as `/bookings`. The longest that fits is taken.
    pub prefix: SmolStr,
    /// `group` of plain services.
    pub group: SmolStr,
    /// `idempotent`: methods that may be repeated; `GET, HEAD` by default.
    pub idempotent: Vec<SmolStr>,
    /// `deduplicates`: whether the service itself runs one Idempotency-Key at most once.
    pub deduplicates: bool,
    /// `class` of requests that name none.
    pub class: SmolStr,
}

impl Default for Serving {
    fn default() -> Self {
        Self {
            cold_start_weight: 0.5,
            store_loads_per_second: 5.0,
            store_loads_at_once: 4,
            adapter_loads_at_once: 30,
            key_memory: Duration::from_secs(24 * 60 * 60),
            keys: 100_000,
        }
    }
}

impl Default for Class {
    /// No deadline of its own, and room for a small deployment.
    fn default() -> Self {
        Self {
            deadline: None,
            in_flight: 256,
            queue: 256,
        }
    }
}

impl Default for Tenant {
    /// Room for a small deployment, and the same share as others.
    fn default() -> Self {
        Self {
            in_flight: 64,
            share: 1,
        }
    }
}

impl Default for Group {
    /// Engines that are trusted with nothing, and have no memory yet.
    fn default() -> Self {
        Self {
            kind: Kind::Engine,
            fencing: Fencing::Ignored,
            pin_release: PinRelease::Acknowledged,
            memory_mb: 0,
            slots: 1,
        }
    }
}

impl Default for Model {
    /// One replica of version 1, in no group yet.
    fn default() -> Self {
        Self {
            group: SmolStr::default(),
            version: 1,
            memory_mb: 0,
            replicas: 1,
            load: Duration::from_secs(10),
            service: Duration::from_secs(1),
        }
    }
}

impl Default for Adapter {
    /// One replica.
    fn default() -> Self {
        Self {
            memory_mb: 0,
            replicas: 1,
        }
    }
}

impl Default for Route {
    /// Only `GET` and `HEAD` may be repeated.
    fn default() -> Self {
        Self {
            prefix: SmolStr::default(),
            group: SmolStr::default(),
            idempotent: vec![SmolStr::new_static("GET"), SmolStr::new_static("HEAD")],
            deduplicates: false,
            class: SmolStr::default(),
        }
    }
}

impl Document {
    /// The route of a path: the longest prefix that ends at a `/` of the path, at its query or at its end.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<(&SmolStr, &Route)> {
        let fits = self.routes.iter().filter(|(_, route)| {
            let rest = path.strip_prefix(route.prefix.as_str());
            let whole = |rest: &str| rest.is_empty() || rest.starts_with('/');
            rest.is_some_and(|rest| route.prefix.ends_with('/') || whole(rest))
        });
        fits.max_by_key(|(_, route)| route.prefix.len())
    }
}
