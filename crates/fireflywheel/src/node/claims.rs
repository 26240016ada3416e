//! Idempotency keys. A request is sent only after its claim was read back from the log; repeats with the
//! same key wait for its outcome.

use std::time::Duration;

use super::{Node, admission::State};
use crate::{claim, clock, effect, ledger, record, request, verdict};

/// Time for which the log may be unreachable until requests that wait for a claim are refused.
const LOG_OUTAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests of this instance with the same key.
#[derive(Debug, Default)]
pub(super) struct KeyRequests {
    /// The request whose claim is being appended to the log.
    claimant: Option<request::Key>,
    /// Requests that wait for the outcome of another one, at this or another instance.
    followers: Vec<request::Key>,
}

/// The status of a key in the ledger.
enum Status {
    Free,
    Open(claim::Claim),
    Closed(claim::Claim, claim::Outcome),
}

impl Node {
    fn claim_status(&self, key: &claim::Key) -> Status {
        let ledger = self.log.ledger.as_ref();
        let Some(claim) = ledger.and_then(|ledger| ledger.claim(key)) else {
            return Status::Free;
        };
        match &claim.closed {
            Some((outcome, _)) => Status::Closed(claim.clone(), outcome.clone()),
            None => Status::Open(claim.clone()),
        }
    }

    /// Starts a request that may run at most once: claims its key, waits for the holder of the key, or
    /// replays the holder's outcome.
    pub(super) fn begin_claim(
        &mut self,
        now: clock::Instant,
        request: request::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        let Some(key) = self.requests[request].claim.clone() else {
            return Ok(());
        };
        let fingerprint = self.requests[request].arrival.fingerprint;
        match self.claim_status(&key) {
            Status::Closed(claim, outcome) => {
                check_fingerprint(&claim, fingerprint)?;
                // Another request holds the claim, so this one must not settle it.
                self.requests[request].claim = None;
                self.replay(request, outcome, out)
            }
            Status::Open(claim) => {
                check_fingerprint(&claim, fingerprint)?;
                if self.has_ended(&claim.by) {
                    self.requests[request].claim = None;
                    return Err(unknown_outcome());
                }
                self.wait_for_holder(request, key);
                Ok(())
            }
            Status::Free => {
                let claim_pending = self
                    .claims
                    .get(&key)
                    .is_some_and(|key_requests| key_requests.claimant.is_some());
                if claim_pending {
                    self.wait_for_holder(request, key);
                    return Ok(());
                }
                self.append_claim(now, request, key, out)
            }
        }
    }

    fn wait_for_holder(&mut self, request: request::Key, key: claim::Key) {
        self.requests[request].state = State::WaitingForHolder;
        self.claims.entry(key).or_default().followers.push(request);
    }

    fn append_claim(
        &mut self,
        now: clock::Instant,
        request: request::Key,
        key: claim::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        if !self.log.readable {
            return Err(log_outage());
        }
        // If an earlier claim of this process is in the log after all, this request holds it.
        self.abandoned_claims.remove(&key);
        let fingerprint = self.requests[request].arrival.fingerprint;
        let entry = record::Entry::Claim {
            key: key.clone(),
            fingerprint,
        };
        if !self.append_entry(entry, out) {
            return Err(log_outage());
        }
        self.requests[request].state = State::WaitingForClaim;
        self.claims.entry(key).or_default().claimant = Some(request);
        self.append_next_batch(now, out);
        Ok(())
    }

    /// Handles a claim that was read back. Only an accepted claim of this process lets its request run.
    pub(super) fn handle_claim(
        &mut self,
        now: clock::Instant,
        key: &claim::Key,
        is_own: bool,
        decision: &ledger::Decision,
        out: &mut Vec<effect::Effect>,
    ) {
        if !is_own {
            return;
        }
        self.abandoned_claims.remove(key);
        let claimant = self
            .claims
            .get_mut(key)
            .and_then(|key_requests| key_requests.claimant.take());
        match decision {
            ledger::Decision::Accepted => self.run_claimed(now, key, claimant, out),
            ledger::Decision::Rejected(ledger::Reason::Full) => {
                let Some(request) = claimant else { return };
                self.requests[request].claim = None;
                let message = "as many idempotency keys are remembered as allowed";
                let refusal = request::Refusal::new(request::Code::KeysFull, message);
                self.refuse(now, request, refusal, out);
            }
            ledger::Decision::Rejected(_) => {
                let Some(request) = claimant else { return };
                self.requests[request].state = State::New;
                if let Err(refusal) = self.begin_claim(now, request, out) {
                    self.requests[request].claim = None;
                    self.refuse(now, request, refusal, out);
                }
            }
        }
    }

    /// Runs the request that holds the claim of this process. A request that was refused in the meantime,
    /// because the append took too long, must not run, since its caller was told that it didn't.
    fn run_claimed(
        &mut self,
        now: clock::Instant,
        key: &claim::Key,
        claimant: Option<request::Key>,
        out: &mut Vec<effect::Effect>,
    ) {
        let waiting = claimant.filter(|request| {
            let request = self.requests.get(*request);
            request.is_some_and(|request| request.state == State::WaitingForClaim)
        });
        let Some(request) = waiting else {
            return self.append_settlement(
                key,
                claim::Outcome::Failed(verdict::Verdict::NotRun),
                out,
            );
        };
        if let Err(refusal) = self.enqueue(now, request, out) {
            self.refuse(now, request, refusal, out);
        }
    }

    fn append_settlement(
        &mut self,
        key: &claim::Key,
        outcome: claim::Outcome,
        out: &mut Vec<effect::Effect>,
    ) {
        let key = key.clone();
        self.append_entry(record::Entry::Settle { key, outcome }, out);
    }

    /// Removes a request that has its final answer from its key, and settles the claim if the request held
    /// it.
    pub(super) fn release_claim(
        &mut self,
        request: request::Key,
        key: &claim::Key,
        outcome: Option<claim::Outcome>,
        out: &mut Vec<effect::Effect>,
    ) {
        let mut held = true;
        if let Some(key_requests) = self.claims.get_mut(key) {
            if key_requests.claimant == Some(request) {
                // The claim may still be appended. It is settled when it is read back, or when the ledger contains it
                // after it skipped records.
                key_requests.claimant = None;
                self.abandoned_claims.insert(key.clone());
                held = false;
            }
            let before = key_requests.followers.len();
            key_requests
                .followers
                .retain(|follower| *follower != request);
            held &= key_requests.followers.len() == before;
            if key_requests.claimant.is_none() && key_requests.followers.is_empty() {
                self.claims.remove(key);
            }
        }
        let is_own = match self.claim_status(key) {
            Status::Open(claim) => claim.by == self.options.incarnation,
            Status::Free | Status::Closed(..) => false,
        };
        if let Some(outcome) = outcome.filter(|_| held && is_own) {
            self.append_settlement(key, drop_large_body(outcome), out);
        }
    }

    /// Handles an outcome that was read back. Requests that wait for it get this outcome, or the first of
    /// them claims the key again.
    pub(super) fn handle_settlement(
        &mut self,
        now: clock::Instant,
        key: &claim::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(key_requests) = self.claims.get_mut(key) else {
            return;
        };
        let followers = std::mem::take(&mut key_requests.followers);
        for request in followers {
            if !self.requests.contains_key(request) {
                continue;
            }
            self.requests[request].state = State::New;
            if let Err(refusal) = self.begin_claim(now, request, out) {
                self.requests[request].claim = None;
                self.refuse(now, request, refusal, out);
            }
        }
    }

    /// Answers a repeated request with the outcome of the first.
    fn replay(
        &mut self,
        request: request::Key,
        outcome: claim::Outcome,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        match outcome {
            claim::Outcome::Answered { body: Some(_), .. } => {
                out.push(effect::Effect::Replay { request, outcome });
                self.remove_request(request, None, out);
                Ok(())
            }
            claim::Outcome::Answered { body: None, .. } => {
                let message = "it ran; its answer was too large to be kept";
                let refusal = request::Refusal::new(request::Code::KeyOpen, message);
                Err(refusal.with_verdict(verdict::Verdict::Ran))
            }
            claim::Outcome::Failed(verdict) => {
                let message = "the first request with this key had no whole answer";
                let refusal = request::Refusal::new(request::Code::KeyOpen, message);
                Err(refusal.with_verdict(verdict))
            }
        }
    }

    /// Refuses requests whose key is held by an instance that has ended, and requests past their deadline.
    /// During an outage of the log, requests that wait for their own claim are refused as well.
    pub(super) fn tick_claims(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let mut refused = Vec::new();
        for (key, key_requests) in &self.claims {
            let holder = match self.claim_status(key) {
                Status::Open(claim) => Some(claim.by),
                Status::Free | Status::Closed(..) => None,
            };
            let holder_ended = holder.is_some_and(|by| self.has_ended(&by));
            for request in &key_requests.followers {
                let late = self
                    .requests
                    .get(*request)
                    .is_none_or(|known| known.deadline <= now);
                if holder_ended || late {
                    refused.push(*request);
                }
            }
        }
        for request in refused {
            if let Some(known) = self.requests.get_mut(request) {
                known.claim = None;
                self.stop_waiting_for_holder(request);
                self.refuse(now, request, unknown_outcome(), out);
            }
        }
        self.refuse_expired_claimants(now, out);
        let is_outage = self
            .log
            .unreadable_since
            .is_some_and(|since| now.since(since) >= LOG_OUTAGE_TIMEOUT);
        if is_outage {
            self.refuse_claimants(now, out);
        }
    }

    fn stop_waiting_for_holder(&mut self, request: request::Key) {
        for key_requests in self.claims.values_mut() {
            key_requests
                .followers
                .retain(|follower| *follower != request);
        }
        self.claims.retain(|_, key_requests| {
            key_requests.claimant.is_some() || !key_requests.followers.is_empty()
        });
    }

    fn refuse_expired_claimants(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let claimants = self
            .claims
            .values()
            .filter_map(|key_requests| key_requests.claimant);
        let late: Vec<request::Key> = claimants
            .filter(|request| {
                let request = self.requests.get(*request);
                request.is_some_and(|request| request.deadline <= now)
            })
            .collect();
        for request in late {
            let message = "the claim on its key was not recorded by the deadline";
            let refusal = request::Refusal::new(request::Code::DeadlinePassed, message);
            self.refuse(now, request, refusal, out);
        }
    }

    /// Refuses every request whose claim can't be read back. Such a request has not run and will not: if
    /// its claim is appended after all, it is settled as not run.
    pub(super) fn refuse_claimants(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let claimants = self
            .claims
            .values()
            .filter_map(|key_requests| key_requests.claimant);
        let claimants: Vec<request::Key> = claimants.collect();
        for request in claimants {
            self.refuse(now, request, log_outage(), out);
        }
    }

    /// Settles claims whose requests were refused before the claims were read back, and which the ledger contains after
    /// it skipped records. These requests never ran.
    fn settle_abandoned_claims(&mut self, out: &mut Vec<effect::Effect>) {
        let is_written = self.log.is_written();
        for key in std::mem::take(&mut self.abandoned_claims) {
            match self.claim_status(&key) {
                Status::Open(claim) if claim.by == self.options.incarnation => {
                    let outcome = claim::Outcome::Failed(verdict::Verdict::NotRun);
                    self.append_settlement(&key, outcome, out);
                }
                // The claim was rejected, as nothing is left to be appended.
                Status::Open(_) | Status::Closed(..) | Status::Free if is_written => {}
                Status::Open(_) | Status::Closed(..) | Status::Free => {
                    self.abandoned_claims.insert(key);
                }
            }
        }
    }

    /// Looks up each key again after the ledger skipped records.
    pub(super) fn recheck_claims(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        self.settle_abandoned_claims(out);
        let keys: Vec<claim::Key> = self.claims.keys().cloned().collect();
        for key in keys {
            match self.claim_status(&key) {
                Status::Open(claim) if claim.by == self.options.incarnation => {
                    let claimant = self.claims.get_mut(&key).and_then(|w| w.claimant.take());
                    if claimant.is_some() {
                        self.run_claimed(now, &key, claimant, out);
                    }
                }
                Status::Open(_) | Status::Closed(..) | Status::Free => {
                    self.handle_settlement(now, &key, out);
                }
            }
        }
    }
}

fn check_fingerprint(claim: &claim::Claim, fingerprint: u64) -> Result<(), request::Refusal> {
    if claim.fingerprint == fingerprint {
        return Ok(());
    }
    let message = "this Idempotency-Key was used for another request";
    Err(request::Refusal::new(request::Code::KeyMismatch, message))
}

fn unknown_outcome() -> request::Refusal {
    let message = "how the first request with this key ended isn't known";
    let refusal = request::Refusal::new(request::Code::KeyOpen, message);
    refusal.with_verdict(verdict::Verdict::MayHaveRun)
}

fn log_outage() -> request::Refusal {
    /// Delay before a caller should retry.
    const RETRY_DELAY: Duration = Duration::from_secs(2);
    let message = "the platform's log can't be reached, so its key can't be claimed";
    request::Refusal::new(request::Code::LogOutage, message).with_retry_after(RETRY_DELAY)
}

/// Drops the body of an outcome if it is too large to be stored.
fn drop_large_body(outcome: claim::Outcome) -> claim::Outcome {
    match outcome {
        claim::Outcome::Answered {
            status,
            content_type,
            body,
        } => claim::Outcome::Answered {
            status,
            content_type,
            body: body.filter(|body| body.len() <= claim::MAX_BODY_BYTES),
        },
        claim::Outcome::Failed(_) => outcome,
    }
}
