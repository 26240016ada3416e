//! Claims on idempotency keys, which keep a request such as a booking from running twice.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{record, verdict};

/// A tenant's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The tenant that the key belongs to; two tenants may use the same text.
    pub tenant: SmolStr,
    /// The caller's `Idempotency-Key`.
    pub text: SmolStr,
}

/// The outcome of the single attempt to run a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server answered in full, and a repeated request gets the same answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: SmolStr,
        /// The response body; `None` when it was larger than [`MAX_BODY_BYTES`] or was dropped since, in which case
        /// a repeated request is told only that the original ran.
        body: Option<String>,
    },
    /// There is no complete answer. The verdict `NotRun` releases the key at once.
    Failed(verdict::Verdict),
}

/// The maximum size of a response body that is stored with a claim, in bytes.
pub const MAX_BODY_BYTES: usize = 4096;

/// A claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The only incarnation that may ever run the request.
    pub by: record::Incarnation,
    /// A hash of the request.
    pub fingerprint: u64,
    /// The outcome and the log time of its record in Unix milliseconds; `None` while the claim is open. An open
    /// claim never expires, since its holder may merely be paused and send the request after the key expired.
    pub closed: Option<(Outcome, u64)>,
}
