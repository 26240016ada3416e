//! Claims on idempotency keys.
//!
//! The first claim of a key wins, and only its holder may run the request and settle the claim.
//!
//! * An open claim never expires. Its holder may merely be paused after it read the claim back and before it
//!   sends the request. If the key expired in the meantime, another instance would run the request, and the
//!   holder would run it again after the pause: a deposit would be taken twice. The cost is that the claims of
//!   a process that died remain, each answering "may have run", until the limit `keys` rejects new ones.
//! * A closed claim expires. Its holder has the outcome and sends nothing more under the claim. A copy of the
//!   claim's record that reaches the log later is recognized by its id.
//! * A claim whose append got no answer may reach the log long after its caller was refused, and even after
//!   another instance's claim of the same key was opened and removed. It is then an open claim of its writer,
//!   which checks the deadline before it sends, finds that it has passed, and settles with "not run".

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Ledger, fold::Reason, pairs};
use crate::{claim, record, verdict};

/// Maximum number of bytes of stored response bodies over all claims. Above it, the oldest bodies are dropped,
/// and a repeated request is told only that the original ran. Without the limit, `keys` bodies of
/// [`claim::MAX_BODY_BYTES`] each would exceed the memory.
pub const MAX_BODIES_BYTES: usize = 8 << 20;

/// All claimed keys that have not expired.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Pairs", into = "Pairs")]
pub struct Claims {
    all: BTreeMap<claim::Key, claim::Claim>,
    /// Closed claims, ordered by the log time at which they were closed.
    closed: BTreeSet<(u64, claim::Key)>,
    /// The closed claims that hold a response body.
    bodies: BTreeSet<(u64, claim::Key)>,
    /// The total size of these bodies, in bytes.
    body_bytes: usize,
}

/// The form of [`Claims`] in a checkpoint; the indexes are rebuilt from it.
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
            self.body_bytes += bytes;
        }
    }

    /// Removes the claims that were closed at or before a log time.
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
        while self.body_bytes > MAX_BODIES_BYTES
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
        self.body_bytes -= body_len(outcome);
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

/// Returns the outcome, without its body when that exceeds [`claim::MAX_BODY_BYTES`].
fn without_oversized_body(outcome: &claim::Outcome) -> claim::Outcome {
    let mut outcome = outcome.clone();
    let is_oversized = body_len(&outcome) > claim::MAX_BODY_BYTES;
    if is_oversized && let claim::Outcome::Answered { body, .. } = &mut outcome {
        *body = None;
    }
    outcome
}

impl Ledger {
    pub(super) fn expire_claims(&mut self) {
        let retention_ms = self.document.serving.key_retention.as_millis();
        let retention_ms = u64::try_from(retention_ms).unwrap_or(u64::MAX);
        if let Some(until_ms) = self.time_ms.checked_sub(retention_ms) {
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
        if self.claims.len() >= self.document.serving.max_keys {
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
        self.claims
            .close(key, without_oversized_body(outcome), self.time_ms);
        Ok(())
    }
}
