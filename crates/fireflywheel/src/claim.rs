//! Claims on idempotency keys: what keeps a booking from running twice.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{record, verdict};

/// A tenant's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Whose key it is; two tenants may use the same text.
    pub tenant: SmolStr,
    /// The caller's `Idempotency-Key`.
    pub text: SmolStr,
}

/// What came of the one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server answered in full; a repeat gets the same.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: SmolStr,
        /// The body, unless it was larger than [`MAX_BODY_BYTES`]; a repeat then hears that it ran.
        body: Option<String>,
    },
    /// There is no whole answer. `NotRun` frees the key at once.
    Failed(verdict::Verdict),
}

/// The largest answer kept with a claim, in bytes.
pub const MAX_BODY_BYTES: usize = 4096;

/// A claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The incarnation that may run it, and none other ever.
    pub by: record::Incarnation,
    /// A hash of the request.
    pub fingerprint: u64,
    /// The outcome and the log time of its record in unix milliseconds; `None` while open. An open claim
    /// never expires: its holder may only be paused, and send after the key was forgotten.
    pub closed: Option<(Outcome, u64)>,
}
