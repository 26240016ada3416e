//! The steward's side of limits: it grants permits at the rate that servers accept.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use super::{Notice, Outcome, Reply, Request};
use crate::fleet::frame;
use crate::{bucket, clock};

/// The span of unused limit that may be used at once, in addition to one request.
const BURST_DURATION: Duration = Duration::from_millis(250);
/// The lowest limit that is enforced, in requests per second: an occasional request shows whether the limit
/// is still in force.
const MIN_PER_SECOND: f64 = 0.05;
/// How long a limit remains in force after the last notice of it.
const LIMIT_TTL: Duration = Duration::from_secs(60);

/// The origin of a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requester {
    /// The steward's own instance.
    Own,
    /// The instance on a link.
    Link(u64),
}

/// A queued request for a permit.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    requester: Requester,
    /// When the permit is no longer needed.
    deadline: clock::Instant,
}

/// The account of one server with a limit.
#[derive(Clone, Debug)]
struct Account {
    per_second: f64,
    updated_at: clock::Instant,
    bucket: bucket::Bucket,
    queue: VecDeque<Waiter>,
}

impl Account {
    /// Creates an account without permits, because the server has just received more requests than it
    /// accepts.
    fn new(now: clock::Instant, per_second: f64) -> Self {
        Self {
            per_second,
            updated_at: now,
            bucket: bucket::Bucket::empty(now, capacity(per_second)),
            queue: VecDeque::new(),
        }
    }

    fn rate(&self) -> f64 {
        self.per_second.max(MIN_PER_SECOND)
    }

    fn fill(&mut self, now: clock::Instant) {
        self.bucket.refill(now, self.rate());
        self.queue.retain(|waiter| now < waiter.deadline);
    }

    /// How long the request at a position of the queue has to wait.
    fn wait(&self, position: usize) -> Duration {
        let missing = (position as f64 + 1.0 - self.bucket.tokens()).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate()).unwrap_or(Duration::MAX)
    }
}

fn capacity(per_second: f64) -> f64 {
    1.0 + per_second * BURST_DURATION.as_secs_f64()
}

/// Grants permits for all servers with a limit.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    accounts: BTreeMap<SmolStr, Account>,
}

impl Pacer {
    /// Processes an instance's notice of a server's limit. Returns whether the limit changed.
    pub fn update_limit(&mut self, now: clock::Instant, notice: &Notice) -> bool {
        let Some(per_second) = notice.per_second else {
            return self.accounts.remove(&notice.server).is_some();
        };
        let new_account = || Account::new(now, per_second);
        let is_new = !self.accounts.contains_key(&notice.server);
        let account = self
            .accounts
            .entry(notice.server.clone())
            .or_insert_with(new_account);
        account.updated_at = now;
        account.fill(now);
        account.bucket.resize(capacity(per_second));
        let previous = std::mem::replace(&mut account.per_second, per_second);
        is_new || previous != per_second
    }

    /// Processes a request for a permit. It is granted at once if no limit of the server is known here.
    pub fn request(
        &mut self,
        now: clock::Instant,
        requester: Requester,
        request: &Request,
    ) -> Reply {
        Reply {
            server: request.server.clone(),
            outcome: self.outcome(now, requester, request),
        }
    }

    fn outcome(&mut self, now: clock::Instant, requester: Requester, request: &Request) -> Outcome {
        let Some(account) = self.accounts.get_mut(&request.server) else {
            return Outcome::Granted;
        };
        account.fill(now);
        account.queue.retain(|waiter| waiter.requester != requester);
        if account.queue.is_empty() && account.bucket.try_take() {
            return Outcome::Granted;
        }
        let wait = account.wait(account.queue.len());
        let max_wait = Duration::from_millis(request.max_wait_ms.into());
        if wait > max_wait {
            return Outcome::Refused(frame::millis(wait));
        }
        let deadline = now.after(max_wait);
        account.queue.push_back(Waiter {
            requester,
            deadline,
        });
        Outcome::Queued(frame::millis(wait))
    }

    /// Grants the queued permits that are due.
    pub fn grant_due(&mut self, now: clock::Instant) -> Vec<(Requester, Reply)> {
        self.accounts
            .retain(|_, account| now.since(account.updated_at) < LIMIT_TTL);
        let mut granted = Vec::new();
        for (server, account) in &mut self.accounts {
            account.fill(now);
            while !account.queue.is_empty() && account.bucket.try_take() {
                let waiter = account.queue.pop_front().expect("the queue is not empty");
                let reply = Reply {
                    server: server.clone(),
                    outcome: Outcome::Granted,
                };
                granted.push((waiter.requester, reply));
            }
        }
        granted
    }

    /// Whether requests for permits are queued.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.queue.is_empty())
    }

    /// Removes the queued requests of an instance whose link has closed.
    pub fn remove(&mut self, requester: Requester) {
        for account in self.accounts.values_mut() {
            account.queue.retain(|waiter| waiter.requester != requester);
        }
    }

    /// The limit of a server; `None` if it has none.
    #[must_use]
    pub fn limit(&self, server: &str) -> Option<f64> {
        self.accounts.get(server).map(|account| account.per_second)
    }

    /// The limits of all servers.
    #[must_use]
    pub fn notices(&self) -> Vec<Notice> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(server, account)| Notice {
                server: server.clone(),
                per_second: Some(account.per_second),
            })
            .collect()
    }
}
