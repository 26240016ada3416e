//! Whether a request may have run, which a caller must know before a retry.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Knowledge about the execution of a request that has no complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request has provably not run: no byte left this instance, or the backend server reported so in
    /// its protocol.
    NotRun,
    /// The request may or may not have run. A request that is not idempotent must not be retried blindly.
    MayHaveRun,
    /// The request ran, but the complete answer could not be delivered.
    Ran,
}

impl Verdict {
    /// Returns the value of the `x-verdict` header and of the `verdict` member in an error body.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
