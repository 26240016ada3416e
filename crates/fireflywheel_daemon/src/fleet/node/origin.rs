//! At which versions of servers' software streams began, as far as this instance knows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::origin::{self, Answer, History, Query, Record, Registry};
use smol_str::SmolStr;
use tokio::time;

use super::{Node, state};
use crate::fleet::platform;

/// Maximum number of streams that an instance remembers of those that began there.
const MAX_OWN_STREAMS: usize = 4096;
/// Maximum number of questions that wait for the steward's answers at once.
const MAX_QUERIES: usize = 256;
/// How long to wait for the steward's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// What an instance knows of streams and versions.
#[derive(Debug)]
pub(super) struct Origins {
    pub(super) history: History,
    /// Streams that began at this instance.
    own: Registry,
    /// Those of them that the steward hasn't been told.
    unreported: Vec<Record>,
    /// Questions to the steward, with its answers.
    queries: BTreeMap<Query, Pending>,
}

/// A question to the steward.
#[derive(Clone, Debug)]
struct Pending {
    is_sent: bool,
    answer: Option<Answer>,
    /// The number of callers that wait for the answer.
    waiting: usize,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            history: History::default(),
            own: Registry::new(MAX_OWN_STREAMS),
            unreported: Vec::new(),
            queries: BTreeMap::new(),
        }
    }
}

impl Origins {
    /// Records that the whole system starts for the first time.
    pub(super) fn record_first_start(&mut self, now: clock::Instant) {
        let history = std::mem::take(&mut self.history);
        self.history = history.with_first_start(now);
    }

    /// Handles a new link to the steward, which may be another one: it is told everything again.
    pub(super) fn link_opened(&mut self) {
        self.unreported = self.own.records().cloned().collect();
        for pending in self.queries.values_mut() {
            pending.is_sent = false;
        }
    }

    /// Takes what the steward has to be told.
    pub(super) fn take_report(&mut self) -> origin::Report {
        let queries = self.queries.iter_mut();
        let unsent = queries.filter(|(_, pending)| !pending.is_sent);
        let queries = unsent.map(|(query, pending)| {
            pending.is_sent = true;
            query.clone()
        });
        origin::Report {
            queries: queries.collect(),
            begun: std::mem::take(&mut self.unreported),
        }
    }

    /// Leaves out servers of a version that other instances may not know yet, if there are others.
    pub(super) fn retain_settled(
        &self,
        now: clock::Instant,
        servers: &mut Vec<&state::ServerState>,
    ) {
        let is_settled = |known: &&state::ServerState| {
            let server = &known.server;
            let version = server.version.as_ref();
            version.is_some_and(|version| !self.history.is_young(now, &server.group, version))
        };
        if servers.iter().any(is_settled) {
            servers.retain(is_settled);
        }
    }

    fn remove_waiter(&mut self, query: &Query) {
        if let Some(pending) = self.queries.get_mut(query) {
            pending.waiting -= 1;
            if pending.waiting == 0 {
                self.queries.remove(query);
            }
        }
    }
}

/// What was found out about a stream that a caller takes up again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Found {
    /// The version at which it began; otherwise the time after which that may be known, if there is one.
    pub result: Result<SmolStr, Option<Duration>>,
    /// What tells it, for logs and metrics.
    pub source: &'static str,
    /// The number of versions of the group that can have begun it, as far as they are known.
    pub versions: usize,
    /// The age of what is known of the versions.
    pub age: Option<Duration>,
}

/// Counts a caller as waiting for an answer of the steward until it is dropped.
struct Waiter<'a, P>
where
    P: Send + Sync,
{
    node: &'a Node<P>,
    query: Query,
}

impl<P> Drop for Waiter<'_, P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        self.node.lock().origins.remove_waiter(&self.query);
    }
}

impl<P> Node<P>
where
    P: platform::Platform,
{
    /// Finds the version at which the stream began that a caller takes up again. What the caller says of it selects a
    /// version at most: the request runs as the caller's own in any case.
    pub async fn find_origin(self: &Arc<Self>, call: &platform::Call, group: &SmolStr) -> Found {
        let answer = match &call.resumes {
            // A longer id is nowhere recorded, and many of them would not fit into a frame.
            Some(attempt) if attempt.len() <= origin::MAX_ID_BYTES => {
                let query = Query {
                    attempt: attempt.clone(),
                    group: group.clone(),
                };
                if let Some(version) = self.own_origin(&query) {
                    return self.found(group, "own", Ok(version));
                }
                self.ask_steward(query).await
            }
            Some(_) | None => None,
        };
        match answer {
            Some(Answer::Version(version)) => self.found(group, "steward", Ok(version)),
            Some(Answer::NotReported) => self.sole_version(group, true),
            Some(Answer::Unknown) | None => self.sole_version(group, false),
        }
    }

    fn own_origin(&self, query: &Query) -> Option<SmolStr> {
        let state = self.lock();
        state
            .origins
            .own
            .version(&query.group, &query.attempt)
            .cloned()
    }

    /// Asks the steward. Returns its answer, or nothing if there is none in time.
    async fn ask_steward(&self, query: Query) -> Option<Answer> {
        let waiter = {
            let mut state = self.lock();
            let origins = &mut state.origins;
            if origins.queries.len() >= MAX_QUERIES && !origins.queries.contains_key(&query) {
                return None;
            }
            let pending = origins.queries.entry(query.clone()).or_insert(Pending {
                is_sent: false,
                answer: None,
                waiting: 0,
            });
            pending.waiting += 1;
            Waiter { node: self, query }
        };
        let mut changed = self.changed.subscribe();
        self.demand_changed.notify_one();
        let answered = async {
            loop {
                let answer = {
                    let state = self.lock();
                    let pending = state.origins.queries.get(&waiter.query);
                    pending.and_then(|pending| pending.answer.clone())
                };
                // Without a link, one may open in time.
                if answer.is_some() || changed.changed().await.is_err() {
                    return answer;
                }
            }
        };
        time::timeout(ANSWER_TIMEOUT, answered).await.ok().flatten()
    }

    fn sole_version(&self, group: &SmolStr, is_not_reported: bool) -> Found {
        let now = self.now();
        let sole = self
            .lock()
            .origins
            .history
            .sole(now, group, is_not_reported)
            .cloned();
        let wait = (!is_not_reported).then_some(origin::SETTLING_TIME);
        self.found(group, "versions", sole.ok_or(wait))
    }

    fn found(
        &self,
        group: &SmolStr,
        source: &'static str,
        result: Result<SmolStr, Option<Duration>>,
    ) -> Found {
        let now = self.now();
        let state = self.lock();
        let history = &state.origins.history;
        Found {
            result,
            source,
            versions: history.recent(now, group).count(),
            age: history.age(now),
        }
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Records that a caller's attempt brings the first event of a stream that began at a version, unless every instance
    /// can tell from the versions of the group.
    pub fn record_origin(&self, attempt: &SmolStr, group: &SmolStr, version: &SmolStr) {
        let now = self.now();
        let mut state = self.lock();
        let origins = &mut state.origins;
        if origins.history.sole(now, group, true) == Some(version) {
            return;
        }
        let record = Record {
            attempt: attempt.clone(),
            group: group.clone(),
            version: version.clone(),
        };
        if !origins.own.insert(now, record.clone()) {
            return;
        }
        origins.unreported.push(record);
        drop(state);
        self.demand_changed.notify_one();
    }

    /// Stores the steward's answers.
    pub fn handle_origin_replies(&self, replies: Vec<origin::Reply>) {
        if replies.is_empty() {
            return;
        }
        let mut state = self.lock();
        for reply in replies {
            if let Some(pending) = state.origins.queries.get_mut(&reply.query) {
                pending.answer = Some(reply.answer);
            }
        }
        drop(state);
        self.wake();
    }

    /// Adds the versions that the steward has seen.
    pub fn extend_versions(&self, versions: &origin::Versions) {
        let now = self.now();
        self.lock().origins.history.extend(now, versions);
    }

    /// The versions that this instance has seen, for other instances.
    #[must_use]
    pub fn versions(&self) -> origin::Versions {
        let now = self.now();
        self.lock().origins.history.versions(now)
    }

    /// Records the versions of the servers that are there, and forgets what no caller comes back for.
    pub fn sweep_origins(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.observe_versions(now);
        state.origins.history.prune(now);
        state.origins.own.prune(now);
        // Without a steward, nobody takes the reports.
        let excess = state
            .origins
            .unreported
            .len()
            .saturating_sub(MAX_OWN_STREAMS);
        state.origins.unreported.drain(..excess);
        self.metrics.set_remembered_streams(state.origins.own.len());
    }
}
