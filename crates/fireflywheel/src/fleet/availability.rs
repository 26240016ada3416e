//! When the platform's store has answered, and until when entries may be missing though their servers run.
//!
//! A server writes its entry at an interval, and an entry that isn't written for three intervals expires. If the store is
//! down, the entries of servers that run expire as well. They are back shortly after its return, and a missing entry says
//! nothing until then.
//!
//! A failed call doesn't show that the store was down: the call may have been lost, or the store may reject one instance.
//! Nor does the next answer to that instance show when the store came back: other instances may have read it all the while.
//! So every answer counts, whoever received it. Answers that are close together form a span, and the store can only have
//! been down between two spans.

use std::cmp::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::frame;
use crate::clock;

/// Entries that expired while the store was down, or that are missing because it was restored from an older copy, are
/// written again within this time after its return.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2300);
/// Spans that ended this long before the latest one began are forgotten. Reports are seldom that late.
const SPAN_TTL: Duration = Duration::from_secs(10);
/// A report is used if it is known within this time when it was made. It is longer than frames take on a link that works.
const MAX_UNCERTAINTY: Duration = Duration::from_secs(1);
/// Maximum number of spans that are kept.
const MAX_SPANS: usize = 32;
/// Maximum number of failed calls that are kept.
const MAX_FAILURES: usize = 32;

/// A time in which the store answered without a gap that is long enough for an entry to expire.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Span {
    from: clock::Instant,
    to: clock::Instant,
    /// Until when entries that expired before may be missing; `None` if the store was neither down nor restored before, as
    /// far as it is known.
    settles_at: Option<clock::Instant>,
}

/// What an instance tells others of the store's answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// How long ago the span of the latest answer began, in milliseconds.
    #[serde(rename = "since")]
    pub since_ms: u32,
    /// The age of the latest answer, in milliseconds.
    #[serde(rename = "last")]
    pub last_ms: u32,
    /// Whether the store seems to have been down or restored before.
    #[serde(default, rename = "outage")]
    pub is_after_outage: bool,
}

/// A return of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Return {
    /// When the first answer is known.
    pub at: clock::Instant,
    /// The longest time that the store can have been down; `None` if no earlier answer is known in this era.
    pub outage: Option<Duration>,
}

/// When the store has answered, as far as one instance knows.
#[derive(Clone, Debug)]
pub struct Availability {
    /// The interval at which servers write their entries.
    heartbeat: Duration,
    /// The spans, oldest first, at least a heartbeat apart.
    spans: Vec<Span>,
    /// The ends of this instance's failed calls, oldest first.
    failures: Vec<clock::Instant>,
}

impl Availability {
    /// Creates the state of an instance that has not called the store yet. Servers write their entries every `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            spans: Vec::new(),
            failures: Vec::new(),
        }
    }

    /// Records an answer of the store.
    pub fn record_answer(&mut self, at: clock::Instant) {
        self.insert(at, at, None);
    }

    /// Records that a call of this instance had no usable answer.
    pub fn record_failure(&mut self, at: clock::Instant) {
        if self.failures.len() == MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(at);
    }

    /// Records that the store was restored from an older copy. Its answers from before say nothing of the entries that it
    /// has now.
    pub fn record_restore(&mut self, at: clock::Instant) {
        self.spans.clear();
        self.failures = vec![at];
    }

    /// What other instances should know of the store's answers; `None` before the first one.
    #[must_use]
    pub fn report(&self, now: clock::Instant) -> Option<Report> {
        let last = self.spans.last()?;
        Some(Report {
            since_ms: frame::millis(now.since(last.from)),
            last_ms: frame::millis(now.since(last.to)),
            is_after_outage: last.settles_at.is_some(),
        })
    }

    /// Adds what another instance has reported in the same era of the store, at some time from `earliest` to `latest`. A
    /// report whose time is too uncertain is ignored.
    pub fn merge(&mut self, earliest: clock::Instant, latest: clock::Instant, report: &Report) {
        if latest.since(earliest) > MAX_UNCERTAINTY {
            return;
        }
        let last = Duration::from_millis(report.last_ms.into());
        let since = Duration::from_millis(report.since_ms.into());
        // The span may have begun before this process.
        let settles_at = latest.after(REREGISTRATION_TIMEOUT).before(since);
        let settles_at = report.is_after_outage.then_some(settles_at);
        let from = latest.before(since);
        self.insert(from, earliest.before(last).max(from), settles_at);
    }

    /// The latest return of the store, if entries can have expired before it.
    #[must_use]
    pub fn last_return(&self) -> Option<Return> {
        let index = self
            .spans
            .iter()
            .rposition(|span| span.settles_at.is_some())?;
        let at = self.spans[index].from;
        let before = index.checked_sub(1).map(|index| self.spans[index].to);
        Some(Return {
            at,
            outage: before.map(|before| at.since(before)),
        })
    }

    /// Whether the store seems to be down.
    #[must_use]
    pub fn is_down(&self, now: clock::Instant) -> bool {
        let answered_at = self.spans.last().map(|span| span.to);
        let has_failure = self.failures.last() > answered_at.as_ref();
        has_failure && answered_at.is_none_or(|at| at.after(self.heartbeat) <= now)
    }

    /// Whether an entry that was missing at this time may come back, since the store had just returned.
    #[must_use]
    pub fn may_come_back(&self, missing_at: clock::Instant) -> bool {
        let settles_at = self.spans.iter().filter_map(|span| span.settles_at).max();
        settles_at.is_some_and(|settles_at| missing_at < settles_at)
    }

    fn insert(
        &mut self,
        from: clock::Instant,
        to: clock::Instant,
        settles_at: Option<clock::Instant>,
    ) {
        let known = self.spans.iter().rev().map(|span| span.to);
        let before = known.clone().find(|to| *to <= from);
        let has_failure = self
            .failures
            .iter()
            .any(|at| *at <= from && before.is_none_or(|before| before < *at));
        let mut joined = Span {
            from,
            to,
            settles_at: settles_at.or(has_failure.then(|| from.after(REREGISTRATION_TIMEOUT))),
        };
        // An entry lasts for three intervals. One may have passed before the store went down, and one passes after its
        // return until the next write.
        let gap = self.heartbeat;
        self.spans.retain(|span| {
            let is_apart = span.to.after(gap) <= joined.from || joined.to.after(gap) <= span.from;
            if !is_apart {
                joined = joined.join(*span);
            }
            is_apart
        });
        let index = self.spans.partition_point(|span| span.from < joined.from);
        self.spans.insert(index, joined);
        let latest = self.spans[self.spans.len() - 1].from;
        let oldest = self.spans.len().saturating_sub(MAX_SPANS);
        self.spans.drain(..oldest);
        // The one before the latest tells how long the store was away.
        while self.spans.len() > 2 && latest.since(self.spans[0].to) > SPAN_TTL {
            self.spans.remove(0);
        }
    }
}

impl Span {
    fn join(self, other: Self) -> Self {
        let settles_at = match self.from.cmp(&other.from) {
            Ordering::Less => self.settles_at,
            Ordering::Equal => self.settles_at.max(other.settles_at),
            Ordering::Greater => other.settles_at,
        };
        Self {
            from: self.from.min(other.from),
            to: self.to.max(other.to),
            settles_at,
        }
    }
}
