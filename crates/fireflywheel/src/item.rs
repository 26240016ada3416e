//! Items that can be loaded on a backend server: a version of a model, or an adapter on one.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A version of a model, or an adapter on a version of a model. It is written as `MODEL@VERSION` or
/// `MODEL@VERSION:ADAPTER` in records, orders and logs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Item {
    /// The model's name in the document.
    pub model: SmolStr,
    /// The version of the model's weights.
    pub version: u32,
    /// The adapter's name; `None` for the model itself.
    pub adapter: Option<SmolStr>,
}

/// The text that cannot be parsed as an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Malformed(pub SmolStr);

impl Item {
    /// Creates the item for a version of a model.
    #[must_use]
    pub fn new(model: impl Into<SmolStr>, version: u32) -> Self {
        Self {
            model: model.into(),
            version,
            adapter: None,
        }
    }

    /// Returns the item for an adapter on this version of the model.
    #[must_use]
    pub fn with_adapter(mut self, adapter: impl Into<SmolStr>) -> Self {
        self.adapter = Some(adapter.into());
        self
    }

    /// The model version that must be loaded on the same backend server for an adapter to be usable.
    #[must_use]
    pub fn base(&self) -> Self {
        Self::new(self.model.clone(), self.version)
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, ":{adapter}"),
            None => Ok(()),
        }
    }
}

impl FromStr for Item {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed(SmolStr::new(text));
        let (model, rest) = text.split_once('@').ok_or_else(malformed)?;
        let (version, adapter) = match rest.split_once(':') {
            Some((version, adapter)) => (version, Some(adapter)),
            None => (rest, None),
        };
        if model.is_empty() || adapter.is_some_and(str::is_empty) {
            return Err(malformed());
        }
        let version = version.parse().map_err(|_| malformed())?;
        Ok(Self {
            model: SmolStr::new(model),
            version,
            adapter: adapter.map(SmolStr::new),
        })
    }
}

impl TryFrom<String> for Item {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Malformed> {
        text.parse()
    }
}

impl From<Item> for String {
    fn from(item: Item) -> Self {
        item.to_string()
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not MODEL@VERSION or MODEL@VERSION:ADAPTER",
            self.0
        )
    }
}

impl std::error::Error for Malformed {}
