//! Claims on idempotency keys.
//!
//! The first claim of a key wins, and only its holder may run the request and settle the claim.
//!
//! * An open claim never expires. Its holder may only be paused between the read-back and the sending; if
//!   the key were forgotten meanwhile, another instance would run the request, and the holder as well when
//!   it wakes: a deposit taken twice. The price is that the claims of a process that died stay, each
//!   answering "may have run", until the limit `keys` refuses new ones.
//! * A closed claim expires. Its holder has the outcome, so it sends nothing under it any more, and a copy
//!   of the claim's record that lands after that is told by its id.
//! * A claim whose append was lost may land long after its caller was refused, and even after another
//!   instance's claim of the same key came and went. It then stands open in the name of its writer, who
//!   looks at the deadline before sending, finds it passed, and settles with "not run".

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Ledger, fold::Reason, pairs};
use crate::{claim, record, verdict};

/// Bytes of kept answers over all claims. Beyond it the oldest answers are dropped, and a repeat of theirs
/// hears that the request ran; without it, `keys` answers of [`claim::MAX_BODY_BYTES`] would outgrow the memory.
pub const MAX_BODIES_BYTES: usize = 8 << 20;

/// Every key that is remembered.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Pairs", into = "Pairs")]
pub struct Claims {
    all: BTreeMap<claim::Key, claim::Claim>,
    /// Closed claims by log time.
    closed: BTreeSet<(u64, claim::Key)>,
    /// Those of them with a body.
    bodies: BTreeSet<(u64, claim::Key)>,
    /// Bytes of those bodies.
    bytes: usize,
}

/// What of it goes into a checkpoint.
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct Pairs(#[serde(with = "pairs")] BTreeMap<claim::Key, claim::Claim>);

impl From<Pairs> for Claims {
    fn from(Pairs(all): Pairs) -> Self {
        let mut claims = Self::default();
        for (key, claim) in &all {
            claims.index(key, claim);
        }
        claims.all = all;
        claims
    }
}

impl From<Claims> for Pairs {
    fn from(claims: Claims) -> Self {
        Self(claims.all)
    }
}

impl Claims {
    pub(super) fn get(&self, key: &claim::Key) -> Option<&claim::Claim> {
        self.all.get(key)
    }

    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    fn index(&mut self, key: &claim::Key, claim: &claim::Claim) {
        let Some((outcome, time_ms)) = &claim.closed else {
            return;
        };
        self.closed.insert((*time_ms, key.clone()));
        let bytes = body_len(outcome);
        if bytes > 0 {
            self.bodies.insert((*time_ms, key.clone()));
            self.bytes += bytes;
        }
    }

    /// Forgets the claims that were closed at or before a log time.
    fn expire(&mut self, until_ms: u64) {
        while let Some((time_ms, key)) = self.closed.first().cloned()
            && time_ms <= until_ms
        {
            self.drop_body(time_ms, &key);
            self.closed.remove(&(time_ms, key.clone()));
            self.all.remove(&key);
        }
    }

    fn close(&mut self, key: &claim::Key, outcome: claim::Outcome, time_ms: u64) {
        let Some(claim) = self.all.get_mut(key) else {
            return;
        };
        claim.closed = Some((outcome, time_ms));
        let claim = claim.clone();
        self.index(key, &claim);
        while self.bytes > MAX_BODIES_BYTES
            && let Some((time_ms, key)) = self.bodies.first().cloned()
        {
            self.drop_body(time_ms, &key);
        }
    }

    fn drop_body(&mut self, time_ms: u64, key: &claim::Key) {
        if !self.bodies.remove(&(time_ms, key.clone())) {
            return;
        }
        let Some((outcome, _)) = self
            .all
            .get_mut(key)
            .and_then(|claim| claim.closed.as_mut())
        else {
            return;
        };
        self.bytes -= body_len(outcome);
        if let claim::Outcome::Answered { body, .. } = outcome {
            *body = None;
        }
    }
}

fn body_len(outcome: &claim::Outcome) -> usize {
    match outcome {
        claim::Outcome::Answered { body, .. } => body.as_ref().map_or(0, String::len),
        claim::Outcome::Failed(_) => 0,
    }
}

/// The outcome without a body that is too long to be kept.
fn kept(outcome: &claim::Outcome) -> claim::Outcome {
    let mut outcome = outcome.clone();
    let long = body_len(&outcome) > claim::MAX_BODY_BYTES;
    if long && let claim::Outcome::Answered { body, .. } = &mut outcome {
        *body = None;
    }
    outcome
}

impl Ledger {
    pub(super) fn expire_claims(&mut self) {
        let memory = self.document.serving.key_memory.as_millis();
        let memory = u64::try_from(memory).unwrap_or(u64::MAX);
        if let Some(until_ms) = self.time_ms.checked_sub(memory) {
            self.claims.expire(until_ms);
        }
    }

    pub(super) fn claim_key(
        &mut self,
        by: &record::Incarnation,
        key: &claim::Key,
        fingerprint: u64,
    ) -> Result<(), Reason> {
        if self.claims.all.contains_key(key) {
            return Err(Reason::Claim);
        }
        if self.claims.len() >= self.document.serving.keys {
            return Err(Reason::Full);
        }
        let claim = claim::Claim {
            by: by.clone(),
            fingerprint,
            closed: None,
        };
        self.claims.all.insert(key.clone(), claim);
        Ok(())
    }

    pub(super) fn settle(
        &mut self,
        by: &record::Incarnation,
        key: &claim::Key,
        outcome: &claim::Outcome,
    ) -> Result<(), Reason> {
        let claim = self.claims.get(key).ok_or(Reason::Claim)?;
        if claim.by != *by || claim.closed.is_some() {
            return Err(Reason::Claim);
        }
        if *outcome == claim::Outcome::Failed(verdict::Verdict::NotRun) {
            self.claims.all.remove(key);
            return Ok(());
        }
        self.claims.close(key, kept(outcome), self.time_ms);
        Ok(())
    }
}
