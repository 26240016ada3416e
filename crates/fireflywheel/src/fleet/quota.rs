//! Quotas of organisations, enforced over all instances together.
//!
//! An instance admits a request without asking another one first. Instances report to the steward what was
//! offered to them and what they admitted; the steward keeps one token bucket per organisation ([`meter`])
//! and tells all instances which share of the organisation's requests to admit. An organisation far below
//! its quota has a share of one, so none of its requests is refused. Without recent news of the steward, an
//! instance keeps to a rate of its own ([`gate`]); all these rates add up to the quota at most, so the
//! quota also holds while there is no steward or an instance is partitioned.
//!
//! Where requests are admitted by [`class`], the steward's share is divided among the classes ([`allocation`]), and
//! refused callers are told to come back when they will be admitted ([`promise`]).

pub mod allocation;
pub mod class;
pub mod gate;
pub mod meter;
pub mod promise;

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number of spans into which the record of the last window is divided.
const SPAN_COUNT: u32 = 16;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens; one that does not state them counts as `plain`.
    Tokens {
        /// The tokens of a request that does not state them.
        plain: f64,
    },
}

/// The quota of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// The long-term rate per second.
    pub per_second: f64,
    /// The burst that may be admitted at once after a time without requests.
    pub burst: f64,
    /// What the quota counts.
    pub unit: Unit,
}

/// A limit that is not a number of 0 or more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault(f64);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a limit of {} is not a number of 0 or more", self.0)
    }
}

impl std::error::Error for Fault {}

impl Quota {
    /// Creates a quota; `None` if `per_second` is 0, which means no limit.
    ///
    /// # Errors
    ///
    /// Returns a fault if one of the figures is negative or not a finite number.
    pub fn new(per_second: f64, burst: f64, unit: Unit) -> Result<Option<Self>, Fault> {
        let plain = match unit {
            Unit::Requests => 0.0,
            Unit::Tokens { plain } => plain,
        };
        let is_valid = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        if let Some(figure) = [per_second, burst, plain]
            .into_iter()
            .find(|figure| !is_valid(figure))
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

    /// The cost of a request, as the quota counts it. `tokens` is `None` if the request does not state a
    /// number of tokens.
    #[must_use]
    pub fn cost(&self, tokens: Option<u32>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => tokens.map_or(plain, f64::from),
        }
    }
}

/// An organisation's usage at one instance since that instance's last report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// The organisation's name.
    pub organisation: SmolStr,
    /// The cost of all its requests.
    pub offered: u32,
    /// The cost of its admitted requests, less that of admitted requests that did not run after all.
    pub admitted: i32,
    /// The cost admitted in the window before the link to the steward was opened, in `SPAN_COUNT` equal
    /// spans, the newest first; only in the first usage on a link.
    #[serde(default, rename = "before")]
    pub inherited: Vec<u32>,
    /// The part of `offered` of each class, in their order; empty unless requests are admitted by class.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub offered_by_class: Vec<u32>,
}

/// The steward's decision on one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The organisation's name.
    pub organisation: SmolStr,
    /// The share of its requests to admit, from 0 to 1.
    pub admit: f32,
    /// The cost that all instances together admit for it per second.
    pub used: f32,
    /// The share of the requests of each class to admit, in their order; empty unless instances report classes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub by_class: Vec<f32>,
    /// When callers that come back are admitted; only with `by_class`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outlook: Option<promise::Outlook>,
}
