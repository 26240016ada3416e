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
            state.recorded_groups.insert(record.group.clone());
        }
        if state.has_unwritten_groups() {
            self.lease_wake.notify_one();
        }
        state.record_streams(now, &report.begun);
        let since = state.role_changed_at;
        let is_settled = now.since(since) >= origin::SETTLING_TIME;
        let answer = |query: &Query| match state.origins.answer(now, query, is_settled) {
            Answer::NotReported => self.conclude_origin(state, query),
            // A later steward has to know first that there are such streams.
            Answer::Version(version)
                if query.is_confirmation
                    && !self.node.is_base_version(&query.group, &version)
                    && !state.is_written(&query.group) =>
            {
                Answer::Unknown
            }
            other => other,
        };
        let queries = report.queries.iter();
        queries
            .map(|query| origin::Reply {
                query: query.clone(),
                answer: answer(query),
            })
            .collect()
    }

    /// The answer about a stream that was not reported to this instance as steward.
    fn conclude_origin(&self, state: &State, query: &Query) -> Answer {
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
        recorded_groups.retain(|group| !self.node.has_sole_version(group));
        if now.since(*role_changed_at) >= origin::RELEASE_TIME {
            return Some(recorded_groups.clone());
        }
        let inherited = inherited_groups.as_ref()?;
        Some(recorded_groups.union(inherited).cloned().collect())
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

    /// Answers another instance's questions by the streams that this one keeps.
    #[must_use]
    pub fn answer_by_kept(&self, queries: Vec<Query>) -> Vec<origin::Reply> {
        let now = self.node.now();
        let state = self.lock();
        let queries = queries.into_iter();
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
        let mut groups = self.recorded_groups.iter();
        groups.any(|group| !self.is_written(group))
    }

    /// Whether a later steward knows from the lease's record that streams of other versions may have been recorded in a group.
    fn is_written(&self, group: &SmolStr) -> bool {
        let written = self.written_groups.as_ref();
        written.is_none_or(|written| written.contains(group))
    }

    /// Records streams, and has other instances keep them as well.
    fn record_streams(&mut self, now: clock::Instant, records: &[Record]) {
        let origins = &mut self.origins;
        let is_new = |record: &&Record| origins.insert(now, (*record).clone());
        let new: Vec<Record> = records.iter().filter(is_new).cloned().collect();
        if new.is_empty() {
            return;
        }
        let known = self.keepers.clone();
        self.select_keepers(now);
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
        let names = |versions: &origin::Versions| {
            let seen = versions.seen.iter();
            seen.map(|(group, version, _)| (group.clone(), version.clone()))
                .collect::<Vec<_>>()
        };
        let is_due = now.since(self.versions_sent_at) >= RESEND_INTERVAL;
        if !is_due && names(&versions) == names(&self.versions) {
            return;
        }
        self.versions_sent_at = now;
        let frame = frame::Frame::Versions(versions.clone()).encode();
        self.versions = versions;
        self.links
            .retain(|_, link| !link.knows_versions || link.sender.try_send(frame.clone()).is_ok());
    }
}
