//! The messages by which an instance opens a connection to a backend server through another instance.
//!
//! | step | opener | gateway |
//! |---|---|---|
//! | 1 | its nonce | |
//! | 2 | | its nonce |
//! | 3 | the server and its proof | |
//! | 4 | | its proof, or a refusal |
//!
//! From then on each message is a part of the byte stream of the connection. The gateway doesn't read it, so whatever
//! the opener decides about a request holds on this path as on its own. A gateway opens connections to servers of its
//! directory only, and never through a third instance. Where it has none to spare, it names the gateways that it knows itself.
//! With a connection to a brittle server it lends a place in its window, until the tunnel ends.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::announcement;
use super::gateway;

/// The size of a nonce and of a proof, in bytes.
pub const PROOF_BYTES: usize = 32;

/// A random number that is used once.
pub type Nonce = [u8; PROOF_BYTES];

/// A proof that its sender knows the fleet's secret.
pub type Proof = [u8; PROOF_BYTES];

/// The secret that all instances read from the store, and by which they prove to each other that they are instances.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Secret(pub SmolStr);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A message after the opener's nonce and before the byte stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// The gateway's nonce.
    Challenge(Nonce),
    /// The opener's proof, and the server process that it wants to reach.
    Open {
        /// The server process.
        process: announcement::Process,
        /// The proof.
        proof: Proof,
        /// Whether the connection is one of the gateway's own, of which it has some to spare. Otherwise it is one of the
        /// opener's.
        #[serde(default, rename = "lent")]
        is_lent: bool,
        /// Whether the opener's release understands [`Self::Referred`].
        #[serde(default)]
        accepts_referral: bool,
        /// The number of rejections in a second that the server tolerates, if it is brittle and the opener asks for a place
        /// in the gateway's window as well.
        #[serde(default)]
        brittle: Option<u32>,
    },
    /// The gateway's proof; the connection to the server is open.
    Opened(Proof),
    /// The gateway's proof; the connection to the server is open, with a place in the gateway's window.
    OpenedWithPlace(Proof),
    /// The gateway opens no connection, and has sent the server nothing.
    Refused(Refusal),
    /// The gateway has no connection to spare. These may have one.
    Referred(Vec<gateway::Gateway>),
}

impl Message {
    /// The answer of a gateway that has opened a connection.
    #[must_use]
    pub fn opened(proof: Proof, has_place: bool) -> Self {
        match has_place {
            true => Self::OpenedWithPlace(proof),
            false => Self::Opened(proof),
        }
    }
}

/// Why a gateway opens no connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The opener's proof is invalid.
    Unauthenticated,
    /// The gateway has no room for another tunnel.
    Busy,
    /// The gateway is stopping.
    Stopping,
    /// The gateway doesn't know the server, or knows that the server wants nothing more.
    NotUsable,
    /// The gateway can't reach the server either.
    Unreachable,
}

impl Refusal {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::NotUsable => "server not usable",
            Self::Unreachable => "unreachable",
        }
    }
}
