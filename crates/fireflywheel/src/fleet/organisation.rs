//! Organisations and the API keys that identify them.
//!
//! ```
//! use fireflywheel::fleet::organisation::{Credential, Organisation, Registry};
//!
//! let desk = Organisation::new("desk");
//! let registry = Registry::new([(desk, vec![Credential::of("secret")])]).expect("no key is shared");
//! let key = registry.find(Credential::of("secret")).expect("it was just added");
//! assert_eq!(registry.get(key).name, "desk");
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

use super::quota;

/// The number of bytes of a credential that are displayed: enough to find it in a log, too few to recover a
/// key.
const DISPLAYED_BYTES: usize = 4;

/// The hash of an API key. The key itself is never stored, so it cannot appear in a log or on a status
/// page, and the time of a comparison reveals nothing about it.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Credential([u8; 32]);

impl Credential {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for Credential {
    /// Writes the first digits of the hash.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..DISPLAYED_BYTES]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Credential({self})")
    }
}

/// An organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// The organisation's name, as sent to backend servers.
    pub name: SmolStr,
    /// The priority of the organisation's requests, which takes precedence over the priority of a route; 0 is
    /// the most urgent.
    #[serde(rename = "rank")]
    pub priority: Option<u8>,
    /// The organisation's quota; `None` if it is not limited.
    pub quota: Option<quota::Quota>,
}

impl Organisation {
    /// Creates an organisation without a priority or a quota.
    #[must_use]
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            priority: None,
            quota: None,
        }
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: u8) -> Self {
        self.priority = Some(priority);
        self
    }

    /// Sets the quota.
    #[must_use]
    pub fn with_quota(mut self, quota: quota::Quota) -> Self {
        self.quota = Some(quota);
        self
    }
}

/// The index of an organisation in its [`Registry`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key(u32);

/// All organisations of one configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(into = "Listing", try_from = "Listing")]
pub struct Registry {
    organisations: Vec<Organisation>,
    credentials: BTreeMap<Credential, Key>,
}

/// The serialized form of a registry. It is validated when it is read, because a registry's keys are
/// indices into it.
#[derive(Deserialize, Serialize)]
struct Listing(Vec<(Organisation, Vec<Credential>)>);

impl From<Registry> for Listing {
    fn from(registry: Registry) -> Self {
        let mut listing: Vec<_> = registry
            .organisations
            .into_iter()
            .map(|organisation| (organisation, Vec::new()))
            .collect();
        for (credential, key) in registry.credentials {
            listing[key.0 as usize].1.push(credential);
        }
        Self(listing)
    }
}

impl TryFrom<Listing> for Registry {
    type Error = Fault;

    fn try_from(listing: Listing) -> Result<Self, Fault> {
        Self::new(listing.0)
    }
}

/// Why organisations cannot be in force together. The message names organisations, but never a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Two organisations have the same name.
    SameName(SmolStr),
    /// Two organisations have the same API key, so a request with it could belong to either.
    SharedKey {
        /// The organisation that is listed first.
        first: SmolStr,
        /// The organisation that is listed second.
        second: SmolStr,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SameName(name) => write!(f, "two organisations are named {name}"),
            Self::SharedKey { first, second } => {
                write!(f, "organisations {first} and {second} have the same key")
            }
        }
    }
}

impl std::error::Error for Fault {}

impl Registry {
    /// Creates a registry of organisations with their credentials.
    ///
    /// # Errors
    ///
    /// Returns a fault if two organisations have the same name or a credential in common.
    pub fn new<I>(organisations: I) -> Result<Self, Fault>
    where
        I: IntoIterator<Item = (Organisation, Vec<Credential>)>,
    {
        let mut registry = Self::default();
        let mut names = BTreeSet::new();
        for (organisation, credentials) in organisations {
            if !names.insert(organisation.name.clone()) {
                return Err(Fault::SameName(organisation.name));
            }
            let index = u32::try_from(registry.organisations.len()).expect("far fewer than 2^32");
            for credential in credentials {
                let before = registry.credentials.insert(credential, Key(index));
                if let Some(first) = before.filter(|first| *first != Key(index)) {
                    return Err(Fault::SharedKey {
                        first: registry.get(first).name.clone(),
                        second: organisation.name,
                    });
                }
            }
            registry.organisations.push(organisation);
        }
        Ok(registry)
    }

    /// The organisation that a credential belongs to; `None` if the credential is unknown.
    #[must_use]
    pub fn find(&self, credential: Credential) -> Option<Key> {
        self.credentials.get(&credential).copied()
    }

    /// The organisation of a key of this registry.
    #[must_use]
    pub fn get(&self, key: Key) -> &Organisation {
        &self.organisations[key.0 as usize]
    }

    /// All organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter()
    }
}
