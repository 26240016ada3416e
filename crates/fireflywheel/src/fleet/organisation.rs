//! Organisations: whose requests are served, and by which key they are recognised.
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

/// Bytes of a credential that are shown: enough to find it in a log, too few to recover a key from.
const SHOWN_BYTES: usize = 4;

/// The hash of an API key. The key itself is never kept, so it can't end up in a log or a status page, and the
/// time of a comparison tells nothing of it.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Credential([u8; 32]);

impl Credential {
    /// The hash of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for Credential {
    /// The first digits of the hash.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN_BYTES]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Credential({self})")
    }
}

/// One organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Its name, as backend servers are told.
    pub name: SmolStr,
    /// Goes before the rank of a route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// How much it may ask for; no limit if there is none.
    pub quota: Option<quota::Quota>,
}

impl Organisation {
    /// An organisation without a rank or a quota.
    #[must_use]
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            rank: None,
            quota: None,
        }
    }

    /// The same with a rank.
    #[must_use]
    pub fn with_rank(mut self, rank: u8) -> Self {
        self.rank = Some(rank);
        self
    }

    /// The same with a quota.
    #[must_use]
    pub fn with_quota(mut self, quota: quota::Quota) -> Self {
        self.quota = Some(quota);
        self
    }
}

/// An organisation's place in a [`Registry`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key(u32);

/// All organisations of one configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(into = "Listing", try_from = "Listing")]
pub struct Registry {
    organisations: Vec<Organisation>,
    credentials: BTreeMap<Credential, Key>,
}

/// A registry on its way to another instance. It is checked again when it is read: keys of a registry are places in it.
#[derive(Deserialize, Serialize)]
struct Listing(Vec<(Organisation, Vec<Credential>)>);

impl From<Registry> for Listing {
    fn from(registry: Registry) -> Self {
        let mut listed: Vec<_> = registry
            .organisations
            .into_iter()
            .map(|organisation| (organisation, Vec::new()))
            .collect();
        for (credential, key) in registry.credentials {
            listed[key.0 as usize].1.push(credential);
        }
        Self(listed)
    }
}

impl TryFrom<Listing> for Registry {
    type Error = Fault;

    fn try_from(listing: Listing) -> Result<Self, Fault> {
        Self::new(listing.0)
    }
}

/// Why organisations can't be in force together. Names organisations, never a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Two organisations have one name.
    SameName(SmolStr),
    /// Two organisations have one key, so whose request it is couldn't be told.
    SharedKey {
        /// The organisation that is named first.
        first: SmolStr,
        /// The other one.
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
    /// Organisations with their credentials.
    ///
    /// # Errors
    ///
    /// When two organisations have the same name or a credential in common.
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
            let place = u32::try_from(registry.organisations.len()).expect("far fewer than 2^32");
            for credential in credentials {
                let before = registry.credentials.insert(credential, Key(place));
                if let Some(first) = before.filter(|first| *first != Key(place)) {
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

    /// Whose key it is.
    #[must_use]
    pub fn find(&self, credential: Credential) -> Option<Key> {
        self.credentials.get(&credential).copied()
    }

    /// The organisation at a key of this registry.
    #[must_use]
    pub fn get(&self, key: Key) -> &Organisation {
        &self.organisations[key.0 as usize]
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter()
    }
}
