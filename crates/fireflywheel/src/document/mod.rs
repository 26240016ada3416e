//! The serving configuration: one INI document, which is either accepted as a whole or rejected with a list
//! of all its faults.
//!
//! Every map is ordered, since the ledger's decisions depend on the document and all instances must make
//! the same decisions.
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
mod ini;
mod parse;
mod warning;

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

pub use self::{
    diff::{Change, diff},
    ini::Section,
    parse::MAX_BYTES,
    warning::{Warning, warnings},
};

/// A checked serving configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// `[serving]`: values for the whole deployment.
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
    /// `[route NAME]`: paths that are routed to plain services.
    pub routes: BTreeMap<SmolStr, Route>,
}

/// Values for the whole deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Serving {
    /// `cold_start_weight`, 0 to 1: the weight of tail cold-start time against idle accelerator hours. 1
    /// considers only cold-start time, 0 only idle hours.
    pub cold_start_weight: f64,
    /// `store_loads_per_second`: loads per second that the weight store allows in total.
    pub store_loads_per_second: f64,
    /// `store_loads_at_once`: number of concurrent loads that run at full speed.
    pub store_loads_at_once: u32,
    /// `adapter_loads_at_once`: maximum number of adapter loads in flight across all backend servers.
    pub adapter_loads_at_once: u32,
    /// `key_memory_s`: how long the outcome of an idempotency key is retained after it was recorded.
    pub key_retention: Duration,
    /// `keys`: maximum number of retained idempotency keys. At the limit, requests with new keys are
    /// refused without being run.
    pub max_keys: usize,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// `deadline_ms`: the deadline of a request that specifies none; without it such a request is refused.
    pub deadline: Option<Duration>,
    /// `in_flight`: maximum number of requests of the class in progress across all instances.
    pub in_flight: u32,
    /// `queue`: maximum number of requests of the class that wait at one instance.
    pub queue: usize,
}

/// A tenant, which sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// `in_flight`: maximum number of requests in progress across all instances.
    pub in_flight: u32,
    /// `share`: weight relative to other tenants when requests wait for the same model.
    pub share: u32,
}

/// The kind of backend servers in a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// Model engines, which execute load and unload orders.
    #[default]
    Engine,
    /// Plain services.
    Service,
}

/// How a group's engines treat an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// They refuse it, including after a restart.
    Checked,
    /// They refuse it, but lose the highest number seen on a restart. For safety this counts as
    /// [`Self::Ignored`].
    Forgets,
    /// They accept any order. This is the conservative assumption and the default.
    #[default]
    Ignored,
}

/// What releases the pins of an incarnation that has stopped responding; see [`crate::ledger`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PinRelease {
    /// Only the incarnation's own acknowledgement.
    #[default]
    Acknowledged,
    /// Also the passing of this much log time since the end of its epoch. An order that is delayed for
    /// longer can then take effect after the pin's release.
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
    /// `memory_mb`: memory of each backend server for models and adapters, in MB.
    pub memory_mb: u64,
    /// `slots`: number of requests that one backend server runs concurrently.
    pub slots: u32,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// `group`: the group of engines that serves the model.
    pub group: SmolStr,
    /// `version`: version of the weights, 1 or more.
    pub version: u32,
    /// `memory_mb`: memory of one replica, in MB.
    pub memory_mb: u64,
    /// `replicas`: maximum number of replicas, over all versions.
    pub replicas: u32,
    /// `load_ms`: expected load time, used until one has been measured.
    pub load: Duration,
    /// `service_ms`: expected time of a request, used until one has been measured.
    pub service: Duration,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Adapter {
    /// `memory_mb`: memory of one replica in addition to its model, in MB.
    pub memory_mb: u64,
    /// `replicas`: maximum number of replicas.
    pub replicas: u32,
}

/// Paths that are routed to a group of plain services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// `prefix`: path prefix, such as `/bookings`. The longest matching prefix applies.
    pub prefix: SmolStr,
    /// `group`: the group of plain services.
    pub group: SmolStr,
    /// `idempotent`: methods that may be retried; `GET, HEAD` by default.
    pub idempotent: Vec<SmolStr>,
    /// `deduplicates`: whether the service itself executes requests with the same Idempotency-Key at most
    /// once.
    pub deduplicates: bool,
    /// `class`: class of requests that specify none.
    pub class: SmolStr,
}

impl Default for Serving {
    fn default() -> Self {
        Self {
            cold_start_weight: 0.5,
            store_loads_per_second: 5.0,
            store_loads_at_once: 4,
            adapter_loads_at_once: 30,
            key_retention: Duration::from_secs(24 * 60 * 60),
            max_keys: 100_000,
        }
    }
}

impl Default for Class {
    /// No default deadline, and limits for a small deployment.
    fn default() -> Self {
        Self {
            deadline: None,
            in_flight: 256,
            queue: 256,
        }
    }
}

impl Default for Tenant {
    /// Limits for a small deployment, and the same share as other tenants.
    fn default() -> Self {
        Self {
            in_flight: 64,
            share: 1,
        }
    }
}

impl Default for Group {
    /// Engines with the most conservative safety assumptions and no memory.
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
    /// One replica of version 1, without a group.
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
    /// Only `GET` and `HEAD` may be retried.
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
    /// Returns the route of a path: the one with the longest prefix that ends at a `/`, at the query or at
    /// the end of the path.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<(&SmolStr, &Route)> {
        let matching = self.routes.iter().filter(|(_, route)| {
            let rest = path.strip_prefix(route.prefix.as_str());
            let at_boundary = |rest: &str| rest.is_empty() || rest.starts_with('/');
            rest.is_some_and(|rest| route.prefix.ends_with('/') || at_boundary(rest))
        });
        matching.max_by_key(|(_, route)| route.prefix.len())
    }
}
