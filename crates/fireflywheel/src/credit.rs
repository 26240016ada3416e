//! Limits that hold across instances, such as a tenant's requests in flight: the limit's home lends credits
//! to the instances that admit requests, so that none has to ask for each request.
//!
//! The sum of what borrowers believe they hold never exceeds the limit:
//! - The home counts a credit as lent from the moment it answers, for the lease and a margin. The borrower
//!   counts the lease from the moment it asked, which is earlier, so it always stops first. The margin covers
//!   a pause between the borrower's check and the use, and clocks whose rates differ a little.
//! - Needs are numbered, on through a change of home. The home answers a number once, and a borrower takes
//!   only the answer to its newest need, so late, doubled and reordered frames change nothing.
//! - A borrower lowers what it holds when it asks for less, before the frame leaves, and an answer that
//!   lowers it counts at the home only when an older, higher one has run out, since it may be lost.
//! - A new home knows nothing of what the last one lent. It is silent for a lease and a margin, in which all
//!   of that runs out.
//!
//! What a borrower started under a credit goes on when the lease ends: the credits bound what begins.
//! There must be one home at a time for this. Where instances choose it by membership alone, a partition
//! makes two, which lend the limit once each.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock, record};

/// Settings of [`Lender`] and [`Borrower`], the same on all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long a borrower may use credits after it asked for them.
    pub lease: Duration,
    /// How much longer the home counts them as lent: more than any pause that a borrower doesn't notice.
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

/// A borrower's wish, sent as [`crate::wire::Credit::Need`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// How many credits it wants to hold in all.
    pub hold: u32,
    /// Rises with each need of the borrower.
    pub number: u64,
}

/// The home's answer, sent as [`crate::wire::Credit::Lend`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lend {
    /// How many credits the borrower may hold in all.
    pub hold: u32,
    /// The number of the need.
    pub number: u64,
    /// How long, counted by the borrower from when it sent the need.
    pub lease: Duration,
}

/// What the home told one borrower, until it has certainly ended there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Promise {
    hold: u32,
    until: clock::Instant,
}

/// What the home knows of one borrower.
#[derive(Clone, Debug, Default)]
struct Loan {
    number: u64,
    wanted: u32,
    /// Later ones last longer and are lower.
    promises: Vec<Promise>,
}

impl Loan {
    fn held(&self) -> u32 {
        self.promises
            .iter()
            .map(|promise| promise.hold)
            .max()
            .unwrap_or(0)
    }

    fn last(&self) -> Option<clock::Instant> {
        self.promises.last().map(|promise| promise.until)
    }
}

/// The home of one limit.
#[derive(Clone, Debug)]
pub struct Lender {
    options: Options,
    limit: u32,
    /// What an earlier home lent may be in use until then.
    quiet_until: clock::Instant,
    loans: BTreeMap<record::Incarnation, Loan>,
    /// When the first promise of each loan ends.
    ends: BTreeSet<(clock::Instant, record::Incarnation)>,
    lent: u64,
    wanted: u64,
}

impl Lender {
    /// A new home, which lends nothing until all that an earlier one lent has ended.
    #[must_use]
    pub fn new(now: clock::Instant, limit: u32, options: Options) -> Self {
        Self {
            options,
            limit,
            quiet_until: now.after(options.lease).after(options.margin),
            loans: BTreeMap::new(),
            ends: BTreeSet::new(),
            lent: 0,
            wanted: 0,
        }
    }

    /// Changes the limit. A lower one is reached as leases end.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// The credits that borrowers may hold now.
    #[must_use]
    pub fn lent(&self) -> u64 {
        self.lent
    }

    /// Answers a need; `None` to a late or doubled one, and while a new home lends nothing, so that a
    /// borrower goes on with what the last one lent.
    ///
    /// When more is wanted than there is, each gets in proportion to what it wants, so that the first to
    /// ask doesn't keep all of it.
    #[must_use]
    pub fn handle_need(
        &mut self,
        now: clock::Instant,
        by: &record::Incarnation,
        need: Need,
    ) -> Option<Lend> {
        if now < self.quiet_until {
            return None;
        }
        self.expire(now);
        let mut loan = match self.loans.get(by) {
            Some(loan) if need.number <= loan.number => return None,
            _ => self.take_out(by),
        };
        loan.number = need.number;
        loan.wanted = need.hold;
        // It holds no more than it wants since it sent this, and takes no answer to an earlier need.
        for promise in &mut loan.promises {
            promise.hold = promise.hold.min(need.hold);
        }
        let hold = self.share(need.hold);
        let until = now.after(self.options.lease).after(self.options.margin);
        loan.promises.retain(|promise| promise.hold > hold);
        loan.promises.push(Promise { hold, until });
        self.put_back(by, loan);
        Some(Lend {
            hold,
            number: need.number,
            lease: self.options.lease,
        })
    }

    /// What a borrower that wants `hold` may have, its own loan taken out.
    fn share(&self, hold: u32) -> u32 {
        let limit = u64::from(self.limit);
        let free = limit.saturating_sub(self.lent);
        let wanted = self.wanted + u64::from(hold);
        let mut share = u64::from(hold);
        if wanted > limit {
            share = (share * limit / wanted).max(u64::from(hold.min(1)));
        }
        u32::try_from(share.min(free)).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now: clock::Instant) {
        while let Some((until, by)) = self.ends.first().cloned() {
            if until > now {
                break;
            }
            let mut loan = self.take_out(&by);
            loan.promises.retain(|promise| promise.until > now);
            if !loan.promises.is_empty() {
                self.put_back(&by, loan);
            }
        }
    }

    fn take_out(&mut self, by: &record::Incarnation) -> Loan {
        let loan = self.loans.remove(by).unwrap_or_default();
        self.lent -= u64::from(loan.held());
        self.wanted -= u64::from(loan.wanted);
        if let Some(first) = loan.promises.first() {
            self.ends.remove(&(first.until, by.clone()));
        }
        loan
    }

    fn put_back(&mut self, by: &record::Incarnation, loan: Loan) {
        self.lent += u64::from(loan.held());
        self.wanted += u64::from(loan.wanted);
        if let Some(first) = loan.promises.first() {
            self.ends.insert((first.until, by.clone()));
        }
        debug_assert!(loan.last().is_some(), "a loan has an end");
        self.loans.insert(by.clone(), loan);
    }
}

/// An instance that uses credits of one limit.
#[derive(Clone, Debug)]
pub struct Borrower {
    hold: u32,
    until: clock::Instant,
    in_use: u32,
    number: u64,
    asked: Option<clock::Instant>,
}

impl Default for Borrower {
    fn default() -> Self {
        Self::new()
    }
}

impl Borrower {
    /// Holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            hold: 0,
            until: clock::Instant::default(),
            in_use: 0,
            number: 0,
            asked: None,
        }
    }

    /// Asks to hold so many in all; to be sent at once, and again while they are needed, well within the
    /// lease. It never asks for less than it has in use.
    #[must_use]
    pub fn request_credits(&mut self, now: clock::Instant, hold: u32) -> Need {
        let hold = hold.max(self.in_use);
        self.hold = self.hold.min(hold);
        self.number += 1;
        self.asked = Some(now);
        Need {
            hold,
            number: self.number,
        }
    }

    /// Takes the home's answer; `false` when it is late or doubled.
    pub fn handle_lend(&mut self, lend: Lend) -> bool {
        if lend.number != self.number {
            return false;
        }
        let Some(asked) = self.asked.take() else {
            return false;
        };
        self.hold = lend.hold;
        self.until = asked.after(lend.lease);
        true
    }

    /// How many it holds now, used or not.
    #[must_use]
    pub fn held(&self, now: clock::Instant) -> u32 {
        match now < self.until {
            true => self.hold,
            false => 0,
        }
    }

    /// How many are in use, also after their lease ended.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Takes a credit into use; `false` when none is left. To be asked last thing before the use: the
    /// margin of the lease covers a short pause between the two, not a long one.
    #[must_use]
    pub fn try_acquire(&mut self, now: clock::Instant) -> bool {
        if self.in_use >= self.held(now) {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Gives a credit back after its use.
    pub fn release(&mut self) {
        debug_assert!(self.in_use > 0, "a credit is given back once");
        self.in_use = self.in_use.saturating_sub(1);
    }
}
