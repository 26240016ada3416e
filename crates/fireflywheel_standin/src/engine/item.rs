//! Names of the items that an engine loads.

use std::{fmt, str};

use smol_str::SmolStr;

/// A version of a model, written `MODEL@VERSION`, or an adapter of that version, written
/// `MODEL@VERSION:ADAPTER`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Item {
    /// Name of the model.
    pub model: SmolStr,
    /// Version of the model.
    pub version: SmolStr,
    /// Name of the adapter; `None` for a model.
    pub adapter: Option<SmolStr>,
}

/// The text is neither `MODEL@VERSION` nor `MODEL@VERSION:ADAPTER`.
#[derive(Clone, Copy, Debug)]
pub struct Malformed;

impl str::FromStr for Item {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (model, rest) = text.split_once('@').ok_or(Malformed)?;
        let (version, adapter) = match rest.split_once(':') {
            Some((version, adapter)) => (version, Some(adapter)),
            None => (rest, None),
        };
        if model.is_empty() || version.is_empty() || adapter == Some("") {
            return Err(Malformed);
        }
        Ok(Self {
            model: model.into(),
            version: version.into(),
            adapter: adapter.map(SmolStr::new),
        })
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

impl Item {
    /// The name that requests use for the item: `MODEL` or `MODEL:ADAPTER`.
    #[must_use]
    pub fn requested_as(&self) -> SmolStr {
        match &self.adapter {
            Some(adapter) => smol_str::format_smolstr!("{}:{adapter}", self.model),
            None => self.model.clone(),
        }
    }

    /// The model version that an adapter belongs to; for a model, the item itself.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            adapter: None,
            ..self.clone()
        }
    }

    /// Whether the item is `other` or an adapter of `other`.
    #[must_use]
    pub fn needs(&self, other: &Self) -> bool {
        self == other || self.base() == *other
    }
}
