//! Idempotency keys: a claim is read back before its request is sent, and repeats wait behind it.

use std::time::Duration;

use super::{Node, admission::State};
use crate::{claim, clock, effect, ledger, record, request, verdict};

/// How long the log may be out of reach until those who wait for a claim are refused.
const OUTAGE: Duration = Duration::from_millis(500);

/// Requests of this instance with one key.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    /// Its claim is on the way to the log.
    claimant: Option<request::Key>,
    /// Behind another request, here or elsewhere.
    behind: Vec<request::Key>,
}

/// How a key stands in the ledger.
enum Standing {
    Free,
    Open(claim::Claim),
    Closed(claim::Claim, claim::Outcome),
}

impl Node {
    fn standing(&self, key: &claim::Key) -> Standing {
        let ledger = self.log.ledger.as_ref();
        let Some(claim) = ledger.and_then(|ledger| ledger.claim(key)) else {
            return Standing::Free;
        };
        match &claim.closed {
            Some((outcome, _)) => Standing::Closed(claim.clone(), outcome.clone()),
            None => Standing::Open(claim.clone()),
        }
    }

    /// Starts a request that may run at most once.
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
        match self.standing(&key) {
            Standing::Closed(claim, outcome) => {
                check_fingerprint(&claim, fingerprint)?;
                // The holder is another request: this one must not settle the claim.
                self.requests[request].claim = None;
                self.replay(request, outcome, out)
            }
            Standing::Open(claim) => {
                check_fingerprint(&claim, fingerprint)?;
                if self.is_over(&claim.by) {
                    self.requests[request].claim = None;
                    return Err(unknown_end());
                }
                self.wait_behind(request, key);
                Ok(())
            }
            Standing::Free => {
                let taken = self
                    .claims
                    .get(&key)
                    .is_some_and(|waiters| waiters.claimant.is_some());
                if taken {
                    self.wait_behind(request, key);
                    return Ok(());
                }
                self.send_claim(now, request, key, out)
            }
        }
    }

    fn wait_behind(&mut self, request: request::Key, key: claim::Key) {
        self.requests[request].state = State::Behind;
        self.claims.entry(key).or_default().behind.push(request);
    }

    fn send_claim(
        &mut self,
        now: clock::Instant,
        request: request::Key,
        key: claim::Key,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        if !self.log.reading {
            return Err(log_outage());
        }
        let fingerprint = self.requests[request].arrival.fingerprint;
        let entry = record::Entry::Claim {
            key: key.clone(),
            fingerprint,
        };
        if !self.push(entry, out) {
            return Err(log_outage());
        }
        self.requests[request].state = State::Claiming;
        self.claims.entry(key).or_default().claimant = Some(request);
        self.pump_log(now, out);
        Ok(())
    }

    /// A claim was read back. Only an accepted one of this very process lets its request run.
    pub(super) fn claim_judged(
        &mut self,
        now: clock::Instant,
        key: &claim::Key,
        mine: bool,
        judgement: &ledger::Decision,
        out: &mut Vec<effect::Effect>,
    ) {
        if !mine {
            return;
        }
        let claimant = self
            .claims
            .get_mut(key)
            .and_then(|waiters| waiters.claimant.take());
        match judgement {
            ledger::Decision::Accepted => self.claim_won(now, key, claimant, out),
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

    /// The key is this process's. A request that was refused in the meantime, because the append took too
    /// long, must not run: the caller was told so.
    fn claim_won(
        &mut self,
        now: clock::Instant,
        key: &claim::Key,
        claimant: Option<request::Key>,
        out: &mut Vec<effect::Effect>,
    ) {
        let live = claimant.filter(|request| {
            let request = self.requests.get(*request);
            request.is_some_and(|request| request.state == State::Claiming)
        });
        let Some(request) = live else {
            return self.settle(key, claim::Outcome::Failed(verdict::Verdict::NotRun), out);
        };
        if let Err(refusal) = self.enqueue(now, request, out) {
            self.refuse(now, request, refusal, out);
        }
    }

    fn settle(&mut self, key: &claim::Key, outcome: claim::Outcome, out: &mut Vec<effect::Effect>) {
        let key = key.clone();
        self.push(record::Entry::Settle { key, outcome }, out);
    }

    /// A request with a key has its final answer. If it held the claim, the claim is settled.
    pub(super) fn leave_claim(
        &mut self,
        request: request::Key,
        key: &claim::Key,
        outcome: Option<claim::Outcome>,
        out: &mut Vec<effect::Effect>,
    ) {
        let mut held = true;
        if let Some(waiters) = self.claims.get_mut(key) {
            if waiters.claimant == Some(request) {
                // Its claim may still land; `claim_won` then finds nobody and settles it.
                waiters.claimant = None;
                held = false;
            }
            let before = waiters.behind.len();
            waiters.behind.retain(|waiter| *waiter != request);
            held &= waiters.behind.len() == before;
            if waiters.claimant.is_none() && waiters.behind.is_empty() {
                self.claims.remove(key);
            }
        }
        let mine = match self.standing(key) {
            Standing::Open(claim) => claim.by == self.options.me,
            Standing::Free | Standing::Closed(..) => false,
        };
        if let Some(outcome) = outcome.filter(|_| held && mine) {
            self.settle(key, shorten(outcome), out);
        }
    }

    /// An outcome was read back: those behind it get it, or the first of them claims anew.
    pub(super) fn claim_settled(
        &mut self,
        now: clock::Instant,
        key: &claim::Key,
        out: &mut Vec<effect::Effect>,
    ) {
        let Some(waiters) = self.claims.get_mut(key) else {
            return;
        };
        let behind = std::mem::take(&mut waiters.behind);
        for request in behind {
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

    /// Hands a repeat the outcome of the first.
    fn replay(
        &mut self,
        request: request::Key,
        outcome: claim::Outcome,
        out: &mut Vec<effect::Effect>,
    ) -> Result<(), request::Refusal> {
        match outcome {
            claim::Outcome::Answered { body: Some(_), .. } => {
                out.push(effect::Effect::Replay { request, outcome });
                self.finish(request, None, out);
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

    /// Refuses those who wait behind a holder that died or past their deadline.
    pub(super) fn tick_claims(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let mut over = Vec::new();
        for (key, waiters) in &self.claims {
            let holder = match self.standing(key) {
                Standing::Open(claim) => Some(claim.by),
                Standing::Free | Standing::Closed(..) => None,
            };
            let lost = holder.is_some_and(|by| self.is_over(&by));
            for request in &waiters.behind {
                let late = self
                    .requests
                    .get(*request)
                    .is_none_or(|known| known.deadline <= now);
                if lost || late {
                    over.push(*request);
                }
            }
        }
        for request in over {
            if let Some(known) = self.requests.get_mut(request) {
                known.claim = None;
                self.forget_behind(request);
                self.refuse(now, request, unknown_end(), out);
            }
        }
        self.refuse_late_claimants(now, out);
        let out_of_reach = self
            .log
            .failed_since
            .is_some_and(|since| now.since(since) >= OUTAGE);
        if out_of_reach {
            self.refuse_claims_in_outage(now, out);
        }
    }

    fn forget_behind(&mut self, request: request::Key) {
        for waiters in self.claims.values_mut() {
            waiters.behind.retain(|waiter| *waiter != request);
        }
        self.claims
            .retain(|_, waiters| waiters.claimant.is_some() || !waiters.behind.is_empty());
    }

    fn refuse_late_claimants(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let claimants = self.claims.values().filter_map(|waiters| waiters.claimant);
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

    /// Refuses every request whose claim can't be read back. It has not run and will not: when its claim
    /// lands after all, it is settled as not run.
    pub(super) fn refuse_claims_in_outage(
        &mut self,
        now: clock::Instant,
        out: &mut Vec<effect::Effect>,
    ) {
        let claimants = self.claims.values().filter_map(|waiters| waiters.claimant);
        let claimants: Vec<request::Key> = claimants.collect();
        for request in claimants {
            self.refuse(now, request, log_outage(), out);
        }
    }

    /// After a jump of the ledger: looks each key up again.
    pub(super) fn review_claims(&mut self, now: clock::Instant, out: &mut Vec<effect::Effect>) {
        let keys: Vec<claim::Key> = self.claims.keys().cloned().collect();
        for key in keys {
            match self.standing(&key) {
                Standing::Open(claim) if claim.by == self.options.me => {
                    let claimant = self.claims.get_mut(&key).and_then(|w| w.claimant.take());
                    if claimant.is_some() {
                        self.claim_won(now, &key, claimant, out);
                    }
                }
                Standing::Open(_) | Standing::Closed(..) | Standing::Free => {
                    self.claim_settled(now, &key, out);
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

fn unknown_end() -> request::Refusal {
    let message = "how the first request with this key ended isn't known";
    let refusal = request::Refusal::new(request::Code::KeyOpen, message);
    refusal.with_verdict(verdict::Verdict::MayHaveRun)
}

fn log_outage() -> request::Refusal {
    /// Until a caller should come back.
    const RETRY: Duration = Duration::from_secs(2);
    let message = "the platform's log can't be reached, so its key can't be claimed";
    request::Refusal::new(request::Code::LogOutage, message).with_retry_after(RETRY)
}

/// Drops a body that is too long to be kept.
fn shorten(outcome: claim::Outcome) -> claim::Outcome {
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
