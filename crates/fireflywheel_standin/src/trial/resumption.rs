//! Checks and counts the streams that callers take up again.

use std::collections::BTreeMap;
use std::fmt;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::caller::{self, Kind, Outcome, Seen};
use super::deployment::CRASH_PART;
use crate::site::worker;

/// Number of streams that are taken up again, from which on their share that goes on is checked.
const MIN_CHECKED: usize = 12;
/// Lowest share of these streams that goes on, in tenths of the share of new streams that begins.
const MIN_TENTHS: usize = 9;
/// Number of ids that the line on a violation names.
const NAMED_IDS: usize = 5;

/// Numbers of requests that take up a stream, and of new streams that were asked for from the first to the last of them.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Number of requests that take up a stream.
    pub taken_up: usize,
    /// Number of these after which the stream went on.
    pub went_on: usize,
    /// The others by status and code, or by outcome.
    pub refused: BTreeMap<SmolStr, usize>,
    /// Number of new streams.
    pub new: usize,
    /// Number of these that began.
    pub began: usize,
    /// Ids of the first requests after which the stream didn't go on.
    pub ids: Vec<SmolStr>,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (taken_up, went_on) = (self.taken_up, self.went_on);
        write!(f, "{taken_up} taken up, {went_on} went on")?;
        for (refusal, count) in &self.refused {
            write!(f, ", {refusal} {count}")?;
        }
        write!(f, "; {} new, {} began", self.new, self.began)
    }
}

impl Tally {
    /// Counts those of the requests that take up a stream and are selected, and the new streams meanwhile.
    #[must_use]
    pub fn new<F>(requests: &[Seen], selects: F) -> Self
    where
        F: Fn(&Seen) -> bool,
    {
        let mut tally = Self::default();
        let resumes = |request: &&Seen| request.call.origin.is_some() && selects(request);
        let (mut first, mut last) = (None, None);
        for request in requests.iter().filter(resumes) {
            first = first.min(Some(request.sent)).or(Some(request.sent));
            last = last.max(Some(request.sent));
            tally.taken_up += 1;
            if caller::event_ids(request.events()).next().is_some() || request.is_complete() {
                tally.went_on += 1;
            } else {
                *tally.refused.entry(name(request)).or_default() += 1;
                tally.ids.push(request.call.id.clone());
            }
        }
        tally.ids.truncate(NAMED_IDS);
        let is_new = |request: &&Seen| {
            let prompt = request.call.prompt.as_deref().unwrap_or_default();
            request.call.kind == Kind::Stream
                && request.call.origin.is_none()
                && !prompt.contains(CRASH_PART)
                && (first..=last).contains(&Some(request.sent))
        };
        for request in requests.iter().filter(is_new) {
            tally.new += 1;
            tally.began += usize::from(!request.events().is_empty());
        }
        tally
    }

    /// Checks that streams go on about as often as new ones begin.
    #[must_use]
    pub fn check(&self) -> Option<String> {
        let is_lost = self.went_on * self.new * 10 < self.began * self.taken_up * MIN_TENTHS;
        (self.taken_up >= MIN_CHECKED && is_lost)
            .then(|| format!("LOST: without faults, {self}: {:?}", self.ids))
    }
}

/// Names the end of a request after which a stream didn't go on.
fn name(request: &Seen) -> SmolStr {
    match &request.outcome {
        Outcome::Answer(answer) => {
            let code = request.text.split("\"code\":\"").nth(1);
            let code = code.and_then(|code| code.split('"').next());
            format_smolstr!("{} {}", answer.status.as_u16(), code.unwrap_or_default())
        }
        other => format_smolstr!("{other:?}").to_ascii_lowercase().into(),
    }
}

/// Whether at least two engines of the version of a stream served throughout the request that took it up.
#[must_use]
pub fn has_servers(
    request: &Seen,
    requests: &[Seen],
    serving: &[(Instant, BTreeMap<SmolStr, usize>)],
) -> bool {
    let origin = request.call.origin.as_ref().map(|origin| &origin.id);
    let first = requests.iter().find(|first| Some(&first.call.id) == origin);
    let Some(version) = first.and_then(|first| worker::versions(first.events()).pop_first()) else {
        return false;
    };
    let start = serving.partition_point(|(at, _)| *at <= request.sent);
    let end = serving.partition_point(|(at, _)| *at <= request.sent + request.whole);
    let during = &serving[start.saturating_sub(1)..end];
    start > 0
        && during
            .iter()
            .all(|(_, counts)| counts.get(version).is_some_and(|count| *count >= 2))
}

/// Checks that the events of each stream have one version, and that none is missing or double over all requests of its
/// caller.
#[must_use]
pub fn check_order(requests: &[Seen]) -> Vec<String> {
    let mut streams: BTreeMap<&SmolStr, Vec<&Seen>> = BTreeMap::new();
    for request in requests
        .iter()
        .filter(|request| request.call.kind.is_stream())
    {
        let origin = request.call.origin.as_ref();
        let id = origin.map_or(&request.call.id, |origin| &origin.id);
        streams.entry(id).or_default().push(request);
    }
    let mut violations = Vec::new();
    for (id, tries) in streams {
        let text: String = tries.iter().map(|request| request.events()).collect();
        let versions = worker::versions(&text);
        let is_sound = caller::event_ids(&text).eq(1..=caller::event_ids(&text).count() as u64);
        if versions.len() > 1 || !is_sound {
            let tries: Vec<_> = tries
                .iter()
                .map(|request| (&request.call.id, request.instance, request.events()))
                .collect();
            violations.push(format!("ORDER: {id} has events of {versions:?}: {tries:?}"));
        }
    }
    violations
}
