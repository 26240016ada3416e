//! Limits that hold across instances, such as the number of a tenant's requests in flight. The instance that is the
//! lender of a limit lends credits to the instances that admit requests, so that they don't have to ask for each
//! request.
//!
//! The sum of the credits that borrowers believe they hold never exceeds the limit:
//! - The lender counts a credit as lent from the moment it answers, for the lease and a margin. The borrower counts
//!   the lease from the moment it asked, which is earlier, so it always stops first. The margin covers a pause
//!   between the borrower's check and the use of a credit, and small differences in clock rates.
//! - Needs are numbered, and a change of lender does not restart the numbers. The lender answers each number once,
//!   and a borrower accepts only the answer to its newest need, so late, duplicate and reordered frames have no
//!   effect.
//! - A borrower that asks for fewer credits lowers its own count before the frame is sent. An answer that lowers the
//!   count may be lost, so the lender applies it only when every older, higher grant has expired.
//! - A new lender doesn't know what its predecessor lent. It grants nothing for a lease and a margin, in which all
//!   of that expires.
//!
//! Requests that a borrower started under a credit continue when the lease ends: credits limit only what starts.
//! All of this requires a single lender at a time. Where instances choose the lender by membership alone, a network
//! partition leads to two, and each of them lends the whole limit.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock, record};

/// Settings of [`Lender`] and [`Borrower`]; they must be the same on all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long a borrower may use credits, counted from when it asked for them.
    pub lease: Duration,
    /// How much longer the lender counts them as lent. It must exceed any pause that a borrower doesn't notice.
    pub margin: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            margin: Duration::from_secs(1),
        }
    }
}

/// A borrower's request for credits, sent as [`crate::wire::Credit::Need`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// The total number of credits that the borrower wants to hold.
    pub hold: u32,
    /// The sequence number of the need, which increases with each need of the borrower.
    pub number: u64,
}

/// The lender's answer, sent as [`crate::wire::Credit::Lend`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lend {
    /// The total number of credits that the borrower may hold.
    pub hold: u32,
    /// The number of the need that this answers.
    pub number: u64,
    /// How long the borrower may hold them, counted from when it sent the need.
    pub lease: Duration,
}

/// An answer that a borrower may still act on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Grant {
    /// The total number of credits that the borrower may hold.
    hold: u32,
    /// When the grant has certainly expired at the borrower.
    until: clock::Instant,
}

/// What the lender knows about one borrower.
#[derive(Clone, Debug, Default)]
struct Loan {
    /// The number of the newest need.
    last_need: u64,
    /// The credits requested by the newest need.
    requested: u32,
    /// The unexpired grants; each later one lasts longer and is lower.
    grants: Vec<Grant>,
}

impl Loan {
    fn held(&self) -> u32 {
        self.grants
            .iter()
            .map(|grant| grant.hold)
            .max()
            .unwrap_or(0)
    }

    fn last_expiry(&self) -> Option<clock::Instant> {
        self.grants.last().map(|grant| grant.until)
    }
}

/// The lender of one limit.
#[derive(Clone, Debug)]
pub struct Lender {
    options: Options,
    limit: u32,
    /// Until when credits of an earlier lender may be in use.
    silent_until: clock::Instant,
    loans: BTreeMap<record::Incarnation, Loan>,
    /// When the first grant of each loan expires.
    expiries: BTreeSet<(clock::Instant, record::Incarnation)>,
    /// The sum of the credits that borrowers may hold.
    lent: u64,
    /// The sum of the credits that borrowers requested.
    requested: u64,
}

impl Lender {
    /// Creates a lender that lends nothing until all credits of an earlier lender have expired.
    #[must_use]
    pub fn new(now: clock::Instant, limit: u32, options: Options) -> Self {
        Self {
            options,
            limit,
            silent_until: now.after(options.lease).after(options.margin),
            loans: BTreeMap::new(),
            expiries: BTreeSet::new(),
            lent: 0,
            requested: 0,
        }
    }

    /// Changes the limit. A lower limit takes effect as leases end.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of credits that borrowers may hold now.
    #[must_use]
    pub fn lent(&self) -> u64 {
        self.lent
    }

    /// Answers a need. Returns `None` for a late or duplicate need, and also while a new lender lends nothing, so that
    /// a borrower keeps what the previous lender lent.
    ///
    /// When borrowers request more than the limit, each gets credits in proportion to its request, so that the
    /// first one to ask doesn't keep all of them.
    #[must_use]
    pub fn handle_need(
        &mut self,
        now: clock::Instant,
        borrower: &record::Incarnation,
        need: Need,
    ) -> Option<Lend> {
        if now < self.silent_until {
            return None;
        }
        self.expire(now);
        let mut loan = match self.loans.get(borrower) {
            Some(loan) if need.number <= loan.last_need => return None,
            _ => self.remove_loan(borrower),
        };
        loan.last_need = need.number;
        loan.requested = need.hold;
        // Since it sent this need, the borrower holds no more than it requests here, and it ignores the answers to
        // earlier needs.
        for grant in &mut loan.grants {
            grant.hold = grant.hold.min(need.hold);
        }
        let hold = self.allocation(need.hold);
        let until = now.after(self.options.lease).after(self.options.margin);
        loan.grants.retain(|grant| grant.hold > hold);
        loan.grants.push(Grant { hold, until });
        self.insert_loan(borrower, loan);
        Some(Lend {
            hold,
            number: need.number,
            lease: self.options.lease,
        })
    }

    /// Returns how many credits a borrower that requests `hold` may have. The totals must not include its own loan.
    fn allocation(&self, hold: u32) -> u32 {
        let limit = u64::from(self.limit);
        let free = limit.saturating_sub(self.lent);
        let requested = self.requested + u64::from(hold);
        let mut share = u64::from(hold);
        if requested > limit {
            share = (share * limit / requested).max(u64::from(hold.min(1)));
        }
        u32::try_from(share.min(free)).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now: clock::Instant) {
        while let Some((until, borrower)) = self.expiries.first().cloned() {
            if until > now {
                break;
            }
            let mut loan = self.remove_loan(&borrower);
            loan.grants.retain(|grant| grant.until > now);
            if !loan.grants.is_empty() {
                self.insert_loan(&borrower, loan);
            }
        }
    }

    fn remove_loan(&mut self, borrower: &record::Incarnation) -> Loan {
        let loan = self.loans.remove(borrower).unwrap_or_default();
        self.lent -= u64::from(loan.held());
        self.requested -= u64::from(loan.requested);
        if let Some(first) = loan.grants.first() {
            self.expiries.remove(&(first.until, borrower.clone()));
        }
        loan
    }

    fn insert_loan(&mut self, borrower: &record::Incarnation, loan: Loan) {
        self.lent += u64::from(loan.held());
        self.requested += u64::from(loan.requested);
        if let Some(first) = loan.grants.first() {
            self.expiries.insert((first.until, borrower.clone()));
        }
        debug_assert!(
            loan.last_expiry().is_some(),
            "a loan has at least one grant"
        );
        self.loans.insert(borrower.clone(), loan);
    }
}

/// The credits of one limit at an instance that uses them.
#[derive(Clone, Debug)]
pub struct Borrower {
    hold: u32,
    lease_end: clock::Instant,
    in_use: u32,
    last_need: u64,
    requested_at: Option<clock::Instant>,
}

impl Default for Borrower {
    fn default() -> Self {
        Self::new()
    }
}

impl Borrower {
    /// Creates a borrower that holds no credits.
    #[must_use]
    pub fn new() -> Self {
        Self {
            hold: 0,
            lease_end: clock::Instant::default(),
            in_use: 0,
            last_need: 0,
            requested_at: None,
        }
    }

    /// Creates a request to hold `hold` credits in total. It must be sent at once, and repeated well within the lease
    /// while the credits are needed. It never requests fewer credits than are in use.
    #[must_use]
    pub fn request_credits(&mut self, now: clock::Instant, hold: u32) -> Need {
        let hold = hold.max(self.in_use);
        self.hold = self.hold.min(hold);
        self.last_need += 1;
        self.requested_at = Some(now);
        Need {
            hold,
            number: self.last_need,
        }
    }

    /// Applies the lender's answer. Returns `false` when it is late or a duplicate.
    pub fn handle_lend(&mut self, lend: Lend) -> bool {
        if lend.number != self.last_need {
            return false;
        }
        let Some(requested_at) = self.requested_at.take() else {
            return false;
        };
        self.hold = lend.hold;
        self.lease_end = requested_at.after(lend.lease);
        true
    }

    /// Returns the number of credits held now, whether in use or not.
    #[must_use]
    pub fn held(&self, now: clock::Instant) -> u32 {
        match now < self.lease_end {
            true => self.hold,
            false => 0,
        }
    }

    /// Returns the number of credits in use, including those whose lease has ended.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Takes a credit for use. Returns `false` when none is left. It must be called immediately before the use: the
    /// margin of the lease covers a short pause between the two, but not a long one.
    #[must_use]
    pub fn try_acquire(&mut self, now: clock::Instant) -> bool {
        if self.in_use >= self.held(now) {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Returns a credit after its use.
    pub fn release(&mut self) {
        debug_assert!(self.in_use > 0, "a credit was released that was not in use");
        self.in_use = self.in_use.saturating_sub(1);
    }
}
