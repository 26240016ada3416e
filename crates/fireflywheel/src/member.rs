//! Membership information that instances exchange.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::record;

slotmap::new_key_type! {
    /// Identifies a member in the arena of a [`crate::membership::Membership`].
    pub struct Key;
}

/// Believed state of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The instance responds to pings.
    Alive,
    /// The instance did not respond in time, but may still refute the suspicion.
    Suspect,
    /// The instance announced its shutdown.
    Leaving,
    /// The instance is declared dead. This is only a hint for liveness: it may be paused and come back.
    Dead,
}

/// A membership change, spread by gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The process that the update is about.
    pub by: record::Incarnation,
    /// The address for peers, as `IP:PORT`.
    pub address: SmolStr,
    /// The instance's failure domain.
    pub failure_domain: SmolStr,
    /// The instance's believed state.
    pub state: State,
    /// Raised by the instance itself to refute a suspicion. The higher number takes precedence, and among
    /// equal numbers the graver state.
    pub refutation: u32,
}
