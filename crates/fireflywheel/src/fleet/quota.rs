//! How much an organisation may ask for, over all instances together.
//!
//! No instance asks anybody before it admits a request. Instances tell the steward what they were asked for and
//! what they admitted; the steward keeps one bucket for each organisation ([`meter`]) and tells everybody which
//! share of its requests to admit. An organisation far below its quota has a share of one, and is refused
//! nothing. Without news of the steward an instance keeps to a part of its own ([`gate`]); all parts together are
//! no more than the quota, so that it holds also while there is no steward or an instance is cut off.

pub mod gate;
pub mod meter;

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Spans that the last window is kept in.
const SPANS: u32 = 16;

/// What is counted.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens; one that doesn't tell them as `plain`.
    Tokens {
        /// Tokens of a request that doesn't tell them.
        plain: f64,
    },
}

/// How much an organisation may ask for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// In a second, in the long run.
    pub per_second: f64,
    /// At once, after a while without requests.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// A limit that isn't a number of zero or more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault(f64);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a limit of {} is not a number of 0 or more", self.0)
    }
}

impl std::error::Error for Fault {}

impl Quota {
    /// A quota, or none if nothing is limited.
    ///
    /// # Errors
    ///
    /// When one of the figures is negative or not a number.
    pub fn new(per_second: f64, burst: f64, unit: Unit) -> Result<Option<Self>, Fault> {
        let plain = match unit {
            Unit::Requests => 0.0,
            Unit::Tokens { plain } => plain,
        };
        let valid = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        if let Some(figure) = [per_second, burst, plain]
            .into_iter()
            .find(|figure| !valid(figure))
        {
            return Err(Fault(figure));
        }
        let quota = Self {
            per_second,
            burst,
            unit,
        };
        Ok((per_second > 0.0).then_some(quota))
    }

    /// What a request counts with so many tokens, if it tells them.
    #[must_use]
    pub fn cost(&self, tokens: Option<u32>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => tokens.map_or(plain, f64::from),
        }
    }
}

/// What an instance was asked for by one organisation since it said so last.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// The organisation.
    pub organisation: SmolStr,
    /// What all its requests count.
    pub offered: u32,
    /// What those count that were admitted, less those that were not run after all.
    pub admitted: i32,
    /// What was admitted in the window before the link to the steward, with the first usage on it: in each of [`SPANS`]
    /// equal spans, the newest first.
    #[serde(default)]
    pub before: Vec<u32>,
}

/// What the steward says of one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The organisation.
    pub organisation: SmolStr,
    /// The share of its requests that is to be admitted, from 0 to 1.
    pub admit: f32,
    /// What all instances admit for it in a second.
    pub used: f32,
}
