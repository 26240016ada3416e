//! The steward's part: it grants as many permits as servers take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use super::{Notice, Outcome, Reply, Request};
use crate::fleet::frame;
use crate::{bucket, clock};

/// What wasn't used of a limit for so long may be used at once, beside one request.
const BURST: Duration = Duration::from_millis(250);
/// A limit below this counts as this, in requests a second: now and then a request shows whether it still holds.
const LEAST: f64 = 0.05;
/// A limit that nothing was heard of for so long is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// Who asks for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requester {
    /// The steward's own instance.
    Own,
    /// The instance behind a link.
    Link(u64),
}

/// A request that waits for its turn.
#[derive(Clone, Copy, Debug)]
struct Turn {
    requester: Requester,
    /// When it is of no more use.
    until: clock::Instant,
}

/// One server with a limit.
#[derive(Clone, Debug)]
struct Account {
    per_second: f64,
    heard: clock::Instant,
    bucket: bucket::Bucket,
    queue: VecDeque<Turn>,
}

impl Account {
    /// It begins without permits: the server has just had more requests than it takes.
    fn new(now: clock::Instant, per_second: f64) -> Self {
        Self {
            per_second,
            heard: now,
            bucket: bucket::Bucket::empty(now, capacity(per_second)),
            queue: VecDeque::new(),
        }
    }

    fn rate(&self) -> f64 {
        self.per_second.max(LEAST)
    }

    fn fill(&mut self, now: clock::Instant) {
        self.bucket.fill(now, self.rate());
        self.queue.retain(|turn| now < turn.until);
    }

    /// Until the request at a place of the queue has its turn.
    fn wait(&self, place: usize) -> Duration {
        let missing = (place as f64 + 1.0 - self.bucket.tokens()).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate()).unwrap_or(Duration::MAX)
    }
}

fn capacity(per_second: f64) -> f64 {
    1.0 + per_second * BURST.as_secs_f64()
}

/// All servers with a limit.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    accounts: BTreeMap<SmolStr, Account>,
}

impl Pacer {
    /// An instance tells what a server's answers say. Returns whether that is news.
    pub fn update_limit(&mut self, now: clock::Instant, notice: &Notice) -> bool {
        let Some(per_second) = notice.per_second else {
            return self.accounts.remove(&notice.server).is_some();
        };
        let fresh = || Account::new(now, per_second);
        let is_new = !self.accounts.contains_key(&notice.server);
        let account = self
            .accounts
            .entry(notice.server.clone())
            .or_insert_with(fresh);
        account.heard = now;
        account.fill(now);
        account.bucket.resize(capacity(per_second));
        let before = std::mem::replace(&mut account.per_second, per_second);
        is_new || before != per_second
    }

    /// An instance asks for a permit; none if the server has no limit, as far as known here.
    pub fn request(&mut self, now: clock::Instant, requester: Requester, ask: &Request) -> Reply {
        Reply {
            server: ask.server.clone(),
            outcome: self.outcome(now, requester, ask),
        }
    }

    fn outcome(&mut self, now: clock::Instant, requester: Requester, ask: &Request) -> Outcome {
        let Some(account) = self.accounts.get_mut(&ask.server) else {
            return Outcome::Granted;
        };
        account.fill(now);
        account.queue.retain(|turn| turn.requester != requester);
        if account.queue.is_empty() && account.bucket.take() {
            return Outcome::Granted;
        }
        let wait = account.wait(account.queue.len());
        let left = Duration::from_millis(ask.left_ms.into());
        if wait > left {
            return Outcome::Refused(frame::millis(wait));
        }
        let until = now.after(left);
        account.queue.push_back(Turn { requester, until });
        Outcome::Queued(frame::millis(wait))
    }

    /// Permits for those whose turn has come.
    pub fn grant_due(&mut self, now: clock::Instant) -> Vec<(Requester, Reply)> {
        self.accounts
            .retain(|_, account| now.since(account.heard) < FORGOTTEN);
        let mut due = Vec::new();
        for (server, account) in &mut self.accounts {
            account.fill(now);
            while !account.queue.is_empty() && account.bucket.take() {
                let turn = account.queue.pop_front().expect("it isn't empty");
                let reply = Reply {
                    server: server.clone(),
                    outcome: Outcome::Granted,
                };
                due.push((turn.requester, reply));
            }
        }
        due
    }

    /// Whether requests wait for their turn.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.queue.is_empty())
    }

    /// An instance's link has ended.
    pub fn remove(&mut self, requester: Requester) {
        for account in self.accounts.values_mut() {
            account.queue.retain(|turn| turn.requester != requester);
        }
    }

    /// The limit of a server, if it names one.
    #[must_use]
    pub fn limit(&self, server: &str) -> Option<f64> {
        self.accounts.get(server).map(|account| account.per_second)
    }

    /// All limits.
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
