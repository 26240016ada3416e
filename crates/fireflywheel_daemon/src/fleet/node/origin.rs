//! At which versions of servers' software streams began, as far as this instance knows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::origin::{self, Answer, History, Named, Query, Record, Registry};
use smol_str::SmolStr;
use tokio::time;

use super::{Node, state};
use crate::fleet::platform;

/// Maximum number of streams that an instance remembers of those that began there.
const MAX_OWN_STREAMS: usize = 4096;
/// Maximum number of streams that are to be reported to the steward: own ones, and those kept for it.
const MAX_UNREPORTED: usize = 50_000;
/// Maximum number of questions that wait for the steward's answers at once.
const MAX_QUERIES: usize = 1024;
/// How long to wait for the steward's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay until the steward is asked again, or another one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay until the steward is asked again whether it has recorded a stream.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);
/// How long a new stream waits for its record at most: longer than a steward takes to be replaced.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// The time after which a steward that has not recorded a stream counts as one that can't.
const SLOW_CONFIRMATION_TIME: Duration = Duration::from_millis(300);
/// How long other streams then begin where no record is needed, if they can.
const UNRECORDED_TIME: Duration = Duration::from_secs(2);
/// How long the report of a stream may take. A caller may come back sooner.
const REPORT_TIME: Duration = Duration::from_millis(400);

/// What an instance knows of streams and versions.
#[derive(Debug)]
pub(super) struct Origins {
    history: History,
    /// The versions that the lease's record names.
    named: Named,
    /// Whether the whole system starts for the first time, by the settings.
    is_first_start: bool,
    /// Streams that began at this instance.
    own: Registry,
    /// Streams that the steward is to be told and hasn't been.
    unreported: VecDeque<Record>,
    /// Groups with a release as whose streams from before were added to `unreported`.
    releasing: BTreeSet<SmolStr>,
    /// Questions to the steward, with its answers.
    queries: BTreeMap<Query, Pending>,
    /// Until when no streams begin that the steward would have to record, if others can.
    unrecorded_until: clock::Instant,
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
            named: Named::default(),
            is_first_start: false,
            own: Registry::new(MAX_OWN_STREAMS),
            unreported: VecDeque::new(),
            releasing: BTreeSet::new(),
            queries: BTreeMap::new(),
            unrecorded_until: clock::Instant::default(),
        }
    }
}

impl Origins {
    /// Records that the whole system starts for the first time.
    pub(super) fn record_first_start(&mut self, now: clock::Instant) {
        let history = std::mem::take(&mut self.history);
        self.history = history.with_first_start(now);
        self.is_first_start = true;
    }

    /// Records a version of a group that serves or has just left.
    pub(super) fn observe(&mut self, now: clock::Instant, group: &SmolStr, version: &SmolStr) {
        self.history.observe(now, group, version);
        if self.history.is_releasing(now, group) && self.releasing.insert(group.clone()) {
            self.report_group(group);
        }
    }

    /// Records a reading of all versions.
    pub(super) fn record_read(&mut self, as_of: clock::Instant) {
        self.history.record_read(as_of);
    }

    /// Adds the versions that the steward has seen.
    fn extend(&mut self, now: clock::Instant, versions: &origin::Versions) {
        self.history.extend(now, versions);
        // A steward of an earlier release names what it has seen.
        let named = versions.named.clone().unwrap_or_else(|| versions.names());
        // A steward that doesn't know the record names none.
        if !named.is_empty() {
            self.named.replace(named);
        }
        self.report_releases(now, versions);
    }

    /// Adds the versions that the lease's record names. A record that isn't current may have been followed by others, which
    /// are lost.
    fn extend_by_record(
        &mut self,
        read_at: clock::Instant,
        attachment: &lease::Attachment,
        is_current: bool,
    ) {
        let Some(versions) = &attachment.versions else {
            return;
        };
        if is_current {
            let recorded_groups = attachment.recorded_groups.as_ref();
            self.history
                .extend_by_record(read_at, versions, recorded_groups);
            self.named.replace(versions.names());
        } else {
            self.history.extend_by_lost_record(read_at, versions);
        }
        self.report_releases(read_at, versions);
    }

    /// Reports the streams of groups of which a second version has appeared.
    fn report_releases(&mut self, now: clock::Instant, versions: &origin::Versions) {
        let groups: BTreeSet<&SmolStr> = versions.seen.iter().map(|(group, ..)| group).collect();
        for group in groups {
            if self.history.is_releasing(now, group) && self.releasing.insert(group.clone()) {
                self.report_group(group);
            }
        }
    }

    /// Reports the streams of a group that began while it had a single version.
    fn report_group(&mut self, group: &SmolStr) {
        let records = self.own.records();
        let records = records.filter(|record| record.group == *group);
        self.unreported.extend(records.cloned());
    }

    /// Handles a new link to the steward, which may be another one: it is told everything again, but for streams whose
    /// version every instance can tell.
    pub(super) fn link_opened(&mut self, now: clock::Instant) {
        let is_reported = |record: &&Record| {
            self.history
                .is_reported(now, &record.group, &record.version)
        };
        let records = self.own.records().filter(is_reported);
        self.unreported = records.cloned().collect();
        for pending in self.queries.values_mut() {
            pending.is_sent = false;
        }
    }

    /// Whether there is something to tell the steward.
    pub(super) fn has_news(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes what the steward has to be told next.
    pub(super) fn take_report(&mut self) -> origin::Report {
        let count = self.unreported.len().min(origin::MAX_RECORDS_PER_FRAME);
        origin::Report {
            queries: self.take_queries(),
            begun: self.unreported.drain(..count).collect(),
            keeps: true,
        }
    }

    /// Takes the questions that have not been asked.
    fn take_queries(&mut self) -> Vec<Query> {
        let queries = self.queries.iter_mut();
        let unsent = queries.filter(|(_, pending)| !pending.is_sent);
        let queries = unsent.map(|(query, pending)| {
            pending.is_sent = true;
            query.clone()
        });
        queries.collect()
    }

    /// Whether a stream could begin at once at a server: not at one of a version that other instances may not know yet, and
    /// without a steward not at one whose streams it would have to record.
    pub(super) fn is_settled(
        &self,
        now: clock::Instant,
        has_steward: bool,
        known: &state::ServerState,
    ) -> bool {
        let group = &known.server.group;
        let version = known.server.version.clone().unwrap_or_default();
        let can_record = has_steward && now >= self.unrecorded_until;
        self.history.youth(now, group, &version).is_zero()
            && (can_record || !self.needs_record(now, group, &version))
    }

    /// Whether the first event of a stream that begins at a version waits for the steward: until the stream is recorded if it
    /// would be taken for one of another version otherwise, and until the lease's record names the version.
    fn needs_record(&self, now: clock::Instant, group: &SmolStr, version: &SmolStr) -> bool {
        !self.named.contains(group, version) || self.history.needs_record(now, group, version)
    }

    /// The only version that can have begun a stream, if that is known. At the first start of the whole system there are no
    /// streams from before, but only the lease's record shows that this is one.
    fn sole(&self, now: clock::Instant, group: &str, is_not_reported: bool) -> Option<&SmolStr> {
        let is_known = !self.is_first_start || self.named.is_known();
        let sole = self.history.sole(now, group, is_not_reported);
        sole.filter(|_| is_known)
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
    /// version at most: the request runs as the caller's own in any case. `is_recorded` says whether streams of its route are
    /// recorded. Until `until`, waits for a steward that can tell.
    pub async fn find_origin(
        self: &Arc<Self>,
        call: &platform::Call,
        group: &SmolStr,
        is_recorded: bool,
        until: clock::Instant,
    ) -> Found {
        let attempt = call.resumes.as_ref().filter(|_| is_recorded);
        // Others are nowhere recorded, and many long ones would not fit into a frame.
        let Some(attempt) = attempt.filter(|attempt| origin::is_identifying(attempt)) else {
            return self.sole_version(group, false);
        };
        let query = Query {
            attempt: attempt.clone(),
            group: group.clone(),
            is_confirmation: false,
        };
        if let Some(version) = self.own_origin(&query) {
            return self.found(group, "own", Ok(version));
        }
        let reported_at = self.now().after(REPORT_TIME);
        loop {
            match self.ask(query.clone()).await {
                Some(Answer::Version(version)) => return self.found(group, "steward", Ok(version)),
                Some(Answer::NotReported) => {
                    let found = self.sole_version(group, true);
                    if found.result.is_ok() || self.now() >= reported_at {
                        return found;
                    }
                }
                Some(Answer::Unknown) | None => {
                    let found = self.sole_version(group, false);
                    if found.result.is_ok() || self.now() >= until || self.is_draining() {
                        return found;
                    }
                }
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until the first event of a stream of this version may be forwarded, whose origin was recorded: while a release
    /// goes on, the steward must have recorded it if it would be taken for one of another version otherwise. Returns whether
    /// that is so by `until`.
    #[must_use]
    pub async fn confirm_origin(
        self: &Arc<Self>,
        attempt: &SmolStr,
        group: &SmolStr,
        version: &SmolStr,
        until: clock::Instant,
    ) -> bool {
        if !origin::is_identifying(attempt) {
            // No caller gets an answer about it.
            return true;
        }
        let query = Query {
            attempt: attempt.clone(),
            group: group.clone(),
            is_confirmation: true,
        };
        let started = self.now();
        let until = until.min(started.after(CONFIRMATION_TIMEOUT));
        let slow_at = started.after(SLOW_CONFIRMATION_TIME);
        loop {
            let now = self.now();
            let is_needed = self.lock().origins.needs_record(now, group, version);
            if !is_needed {
                return true;
            }
            if now >= until {
                return false;
            }
            if now >= slow_at {
                self.lock().origins.unrecorded_until = now.after(UNRECORDED_TIME);
            }
            let answer = tokio::select! {
                answer = self.ask(query.clone()) => answer,
                () = self.record_unneeded(group, version) => return true,
            };
            match answer {
                Some(Answer::Version(recorded)) => return recorded == *version,
                Some(Answer::NotReported | Answer::Unknown) | None => {}
            }
            time::sleep(CONFIRMATION_DELAY).await;
        }
    }

    /// Waits until streams begin at a version without the steward's confirmation.
    async fn record_unneeded(&self, group: &SmolStr, version: &SmolStr) {
        let mut changed = self.changed.subscribe();
        while self.lock().origins.needs_record(self.now(), group, version) {
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
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

    /// Asks the steward, or without one the instances that keep streams for it. Returns the answer, or nothing if there is
    /// none in time.
    async fn ask(&self, query: Query) -> Option<Answer> {
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
        self.queries_changed.notify_one();
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
    /// Records that a caller's attempt brings the first event of a stream that began at a version. The steward is told, unless
    /// every instance can tell from the versions of the group.
    pub fn record_origin(&self, attempt: &SmolStr, group: &SmolStr, version: &SmolStr) {
        let now = self.now();
        let mut state = self.lock();
        let origins = &mut state.origins;
        let record = Record {
            attempt: attempt.clone(),
            group: group.clone(),
            version: version.clone(),
        };
        let is_reported = !origins.named.contains(group, version)
            || origins.history.is_reported(now, group, version);
        if !origins.own.insert(now, record.clone()) || !is_reported {
            return;
        }
        // Its first event may wait for the record.
        origins.unreported.push_front(record);
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

    /// Stores the answers of an instance that keeps streams for the steward. Only the steward can tell that a stream was not
    /// reported.
    pub fn handle_kept_replies(&self, replies: Vec<origin::Reply>) {
        let is_kept = |reply: &origin::Reply| {
            !reply.query.is_confirmation && matches!(reply.answer, Answer::Version(_))
        };
        self.handle_origin_replies(replies.into_iter().filter(is_kept).collect());
    }

    /// Takes the questions that nobody has been asked.
    #[must_use]
    pub fn take_queries(&self) -> Vec<Query> {
        self.lock().origins.take_queries()
    }

    /// Tells a new steward the streams that were kept for an earlier one.
    pub fn report_kept(&self, records: Vec<Record>) {
        self.lock().origins.unreported.extend(records);
        self.demand_changed.notify_one();
    }

    /// Adds the versions that the steward has seen.
    pub fn extend_versions(&self, versions: &origin::Versions) {
        let now = self.now();
        let mut state = self.lock();
        state.origins.extend(now, versions);
        let has_news = state.origins.has_news();
        drop(state);
        self.wake();
        if has_news {
            self.demand_changed.notify_one();
        }
    }

    /// Adds the versions that the lease's record names.
    pub fn extend_versions_by_record(
        &self,
        read_at: clock::Instant,
        attachment: &lease::Attachment,
        is_current: bool,
    ) {
        let mut state = self.lock();
        state
            .origins
            .extend_by_record(read_at, attachment, is_current);
        let has_news = state.origins.has_news();
        drop(state);
        self.wake();
        if has_news {
            self.demand_changed.notify_one();
        }
    }

    /// Records that the lease's record now names these versions, as this instance has written it.
    pub fn record_named(&self, versions: &origin::Versions) {
        self.lock().origins.named.replace(versions.names());
        self.wake();
    }

    /// Whether the lease's record lacks a version of one of these groups.
    #[must_use]
    pub fn has_unnamed_versions(&self, groups: &BTreeSet<SmolStr>) -> bool {
        let now = self.now();
        let state = self.lock();
        let Origins { history, named, .. } = &state.origins;
        groups.iter().any(|group| {
            let mut versions = history.recent(now, group);
            versions.any(|version| !named.contains(group, version))
        })
    }

    /// Whether the lease's record names a version of a group.
    #[must_use]
    pub fn is_named(&self, group: &SmolStr, version: &SmolStr) -> bool {
        self.lock().origins.named.contains(group, version)
    }

    /// Records that another instance has seen a version of a group.
    pub fn observe_version(&self, group: &SmolStr, version: &SmolStr) {
        let now = self.now();
        self.lock().origins.observe(now, group, version);
    }

    /// The versions that this instance has seen, for the lease's record.
    #[must_use]
    pub fn versions(&self) -> origin::Versions {
        let now = self.now();
        self.lock().origins.history.versions(now)
    }

    /// The versions that this instance has seen and those that the lease's record names, for other instances.
    #[must_use]
    pub fn told_versions(&self) -> origin::Versions {
        let now = self.now();
        let origins = &self.lock().origins;
        origin::Versions {
            named: origins.named.list().or_else(|| Some(Vec::new())),
            ..origins.history.versions(now)
        }
    }

    /// The version at which a stream of a group began that was not reported to this instance as steward since `since`;
    /// `None` if that isn't known. `recorded_before` says whether an earlier steward may have recorded streams of other
    /// versions.
    #[must_use]
    pub fn unreported_origin(
        &self,
        group: &str,
        since: clock::Instant,
        recorded_before: bool,
    ) -> Option<SmolStr> {
        let now = self.now();
        let state = self.lock();
        let history = &state.origins.history;
        history
            .unreported(now, group, since, recorded_before)
            .cloned()
    }

    /// Whether a stream that nobody reported may be taken for one of this version.
    #[must_use]
    pub fn is_base_version(&self, group: &str, version: &SmolStr) -> bool {
        let now = self.now();
        self.lock().origins.history.is_base(now, group, version)
    }

    /// Whether a group has a single version, as far as it is known.
    #[must_use]
    pub fn has_sole_version(&self, group: &str) -> bool {
        let now = self.now();
        self.lock().origins.sole(now, group, true).is_some()
    }

    /// Whether streams of a group may have begun at several versions, or at others than those that are known.
    #[must_use]
    pub fn has_several_versions(&self, group: &str) -> bool {
        let now = self.now();
        let state = self.lock();
        let origins = &state.origins;
        let is_known = origins.history.recent(now, group).next().is_some();
        is_known && origins.sole(now, group, true).is_none()
    }

    /// Records the versions of the servers that are there, and forgets what no caller comes back for.
    pub fn sweep_origins(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.observe_versions(now);
        let origins = &mut state.origins;
        origins.history.prune(now);
        origins.own.prune(now);
        let history = &origins.history;
        origins
            .releasing
            .retain(|group| history.is_releasing(now, group));
        // Without a steward, nobody takes the reports.
        let excess = origins.unreported.len().saturating_sub(MAX_UNREPORTED);
        origins.unreported.drain(..excess);
        self.metrics.set_remembered_streams(origins.own.len());
    }
}
