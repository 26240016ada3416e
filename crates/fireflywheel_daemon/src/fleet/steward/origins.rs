//! Versions of servers' software, and at which of them streams began, as collected and sent by the steward.
//!
//! What only the steward knows would end with it, above all where its own streams began, so some instances keep a copy.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::origin::{self, Answer, Query, Record};
use smol_str::SmolStr;

use super::super::platform;
use super::Steward;
use super::state::State;

/// Maximum number of streams that the steward remembers, which bounds its memory.
pub(super) const MAX_STREAMS: usize = 50_000;

/// Number of instances that keep the steward's streams.
const MAX_KEEPERS: usize = 2;

/// Interval at which unchanged versions are sent again. It shortens the time for which a version is remembered.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// Records the streams that an instance reports, and answers its questions.
    pub(super) fn handle_origins(
        &self,
        now: clock::Instant,
        state: &mut State,
        report: &origin::Report,
    ) -> Vec<origin::Reply> {
        let others = report
            .begun
            .iter()
            .filter(|record| !self.node.is_base_version(&record.group, &record.version));
        for record in others {
            state.recorded_groups.insert(record.group.clone(), now);
        }
        state.record_streams(now, &report.begun);
        // The role changes a moment after the lease was taken.
        let is_in_office =
            state.active_fencing.is_some() && state.active_fencing == state.lease.fencing(now);
        let in_office = now.since(state.role_changed_at);
        let is_settled = is_in_office && in_office >= origin::SETTLING_TIME;
        let queries = report.queries.iter();
        let replies = queries.map(|query| {
            let answer = match state.origins.answer(now, query, is_settled) {
                Answer::Version(version) if query.is_confirmation => {
                    self.confirm(now, state, &query.group, version)
                }
                Answer::NotReported if query.is_confirmation => Answer::Unknown,
                Answer::NotReported => match self.conclude_origin(now, state, query) {
                    Answer::NotReported if self.is_journal_missing(state, &query.group) => {
                        Answer::Unknown
                    }
                    other => other,
                },
                other => other,
            };
            origin::Reply {
                query: query.clone(),
                answer,
            }
        });
        let replies = replies.collect();
        let lacks_versions = || self.node.has_unnamed_versions(&state.stream_groups);
        if state.has_unwritten_groups() || (!report.queries.is_empty() && lacks_versions()) {
            self.lease_wake.notify_one();
        }
        if state.journal.next_write_in(now).is_some() {
            self.journal_wake.notify_one();
        }
        replies
    }

    /// The answer about a new stream that was recorded. It is confirmed once the lease's record names its version, and one that
    /// would be taken for a stream of another version if its record were lost, once that record tells of such streams.
    fn confirm(
        &self,
        now: clock::Instant,
        state: &mut State,
        group: &SmolStr,
        version: SmolStr,
    ) -> Answer {
        if !self.node.is_named(group, &version) {
            // The reporting instance may have read the directory first.
            self.node.observe_version(group, &version);
            return Answer::Unknown;
        }
        if self.node.is_base_version(group, &version) {
            return Answer::Version(version);
        }
        state.recorded_groups.insert(group.clone(), now);
        match state.is_written(group) {
            true => Answer::Version(version),
            false => Answer::Unknown,
        }
    }

    /// The answer about a stream that was not reported to this instance as steward.
    fn conclude_origin(&self, now: clock::Instant, state: &State, query: &Query) -> Answer {
        // Another steward may have recorded the stream.
        if !state.lease.is_renewed(now) {
            return Answer::NotReported;
        }
        let inherited = state.inherited_groups.as_ref();
        let recorded_before = inherited.is_none_or(|groups| groups.contains(&query.group));
        let since = state.role_changed_at;
        let concluded = self
            .node
            .unreported_origin(&query.group, since, recorded_before);
        let Some(version) = concluded else {
            return Answer::NotReported;
        };
        log::info!(
            resumes = query.attempt.as_str(), group = query.group.as_str(), version = version.as_str();
            "stream from before the release was not reported"
        );
        Answer::Version(version)
    }

    /// The groups in whose releases streams of other versions may have been recorded, for later stewards; `None` if that isn't
    /// known.
    pub(super) fn recorded_groups(&self) -> Option<BTreeSet<SmolStr>> {
        let now = self.node.now();
        let mut state = self.lock();
        let State {
            recorded_groups,
            inherited_groups,
            read_groups,
            role_changed_at,
            active_fencing,
            ..
        } = &mut *state;
        if active_fencing.is_none() {
            // A takeover hands on what it has read.
            return read_groups.clone();
        }
        recorded_groups.retain(|group, at| {
            now.since(*at) < origin::RELEASE_TIME || !self.node.has_sole_version(group)
        });
        let recorded = recorded_groups.keys().cloned();
        if now.since(*role_changed_at) >= origin::RELEASE_TIME {
            return Some(recorded.collect());
        }
        let inherited = inherited_groups.as_ref()?.iter().cloned();
        Some(recorded.chain(inherited).collect())
    }

    /// Keeps streams for the steward.
    pub fn keep_streams(&self, records: Vec<Record>) {
        let now = self.node.now();
        let mut state = self.lock();
        for record in records {
            state.origins.insert(now, record);
        }
    }

    /// The streams that this instance keeps for the steward.
    #[must_use]
    pub fn kept_streams(&self) -> Vec<Record> {
        let now = self.node.now();
        let mut state = self.lock();
        state.origins.prune(now);
        state.origins.records().cloned().collect()
    }

    /// Answers an instance's questions by the streams that this one keeps. Only the steward confirms new ones.
    #[must_use]
    pub fn answer_by_kept(&self, queries: Vec<Query>) -> Vec<origin::Reply> {
        let now = self.node.now();
        let state = self.lock();
        let queries = queries.into_iter().filter(|query| !query.is_confirmation);
        queries
            .map(|query| origin::Reply {
                answer: state.origins.answer(now, &query, false),
                query,
            })
            .collect()
    }
}

impl State {
    /// Whether the lease's record lacks a group in which streams of other versions were recorded.
    pub(super) fn has_unwritten_groups(&self) -> bool {
        let mut groups = self.recorded_groups.keys();
        groups.any(|group| !self.is_written(group))
    }

    /// Whether a later steward knows from the lease's record that streams of other versions may have been recorded in a group.
    fn is_written(&self, group: &SmolStr) -> bool {
        let written = self.written_groups.as_ref();
        written.is_none_or(|written| written.contains(group))
    }

    /// Records streams. The active steward has other instances keep them as well.
    pub(super) fn record_streams(&mut self, now: clock::Instant, records: &[Record]) {
        let origins = &mut self.origins;
        let is_new = |record: &&Record| origins.insert(now, (*record).clone());
        let new: Vec<Record> = records.iter().filter(is_new).cloned().collect();
        if self.active_fencing.is_none() {
            return;
        }
        let known = self.keepers.clone();
        if !records.is_empty() {
            self.select_keepers(now);
        }
        if new.is_empty() {
            return;
        }
        for record in &new {
            self.journal.add(now, record.clone(), MAX_STREAMS);
        }
        let frame = frame::Frame::Streams(new).encode();
        for number in &self.keepers {
            let is_known = known.contains(number);
            // A new keeper has received all streams.
            if let Some(link) = self.links.get(number).filter(|_| is_known)
                && link.sender.try_send(frame.clone()).is_err()
            {
                self.links.remove(number);
            }
        }
    }

    /// Selects the instances that keep streams, which are standbys and not in one failure domain, if possible. New ones are
    /// sent all streams.
    fn select_keepers(&mut self, now: clock::Instant) {
        let links = &self.links;
        self.keepers.retain(|number| links.contains_key(number));
        while self.keepers.len() < MAX_KEEPERS {
            let Some(number) = self.next_keeper() else {
                return;
            };
            self.keepers.push(number);
            self.origins.prune(now);
            let records: Vec<Record> = self.origins.records().cloned().collect();
            let frames = records.chunks(origin::MAX_RECORDS_PER_FRAME);
            let mut frames = frames.map(|records| frame::Frame::Streams(records.to_vec()));
            if let Some(link) = self.links.get(&number)
                && !frames.all(|frame| link.send(&frame))
            {
                self.links.remove(&number);
                self.keepers.pop();
                return;
            }
        }
    }

    /// The link of the next instance to keep streams.
    fn next_keeper(&self) -> Option<u64> {
        let kept_in = |domain: &str| {
            let links = self.keepers.iter().filter_map(|kept| self.links.get(kept));
            links.into_iter().any(|link| link.failure_domain == domain)
        };
        let candidates = self.links.iter().filter(|(number, link)| {
            link.keeps_streams && !link.leaving && !self.keepers.contains(number)
        });
        let (number, _) = candidates.min_by_key(|(_, link)| {
            let position = self.standbys.iter().position(|standby| {
                let peer = &link.peer;
                (&standby.instance, standby.incarnation) == (&peer.instance, peer.incarnation)
            });
            (position.is_none(), kept_in(&link.failure_domain), position)
        })?;
        Some(*number)
    }

    /// Sends an instance the replies to its questions.
    pub(super) fn send_origins(&mut self, number: u64, replies: Vec<origin::Reply>) {
        if replies.is_empty() {
            return;
        }
        let frame = frame::Frame::Origins(replies);
        if self
            .links
            .get(&number)
            .is_some_and(|link| !link.send(&frame))
        {
            self.links.remove(&number);
        }
    }

    /// Sends the versions of groups' servers when one has come or gone, and at intervals: instances that don't receive all
    /// engines count the time since a version was last seen from the last frame that has it.
    pub(super) fn send_versions(&mut self, now: clock::Instant, versions: origin::Versions) {
        let is_due = now.since(self.versions_sent_at) >= RESEND_INTERVAL;
        let is_changed =
            versions.names() != self.versions.names() || versions.named != self.versions.named;
        if !is_due && !is_changed {
            return;
        }
        self.versions_sent_at = now;
        let frame = frame::Frame::Versions(versions.clone()).encode();
        self.versions = versions;
        self.links
            .retain(|_, link| !link.knows_versions || link.sender.try_send(frame.clone()).is_ok());
    }
}
