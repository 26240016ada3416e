//! How often suspects have been answered to the end.

use std::collections::HashMap;
use std::time::Duration;

use super::fact::{Kind, Part, Suspects};
use crate::clock;

/// Maximum number of shared parts of a generation.
const MAX_SHARED_PARTS: usize = 4096;
/// Maximum number of requests, and of parts that belong to one, of a generation.
const MAX_OWN_PARTS: usize = 1792;
/// Maximum number of pairs of a generation.
const MAX_PAIRS: usize = 3584;
/// Maximum age of a generation.
const MAX_AGE: Duration = Duration::from_secs(300);

/// The whole answers of a part.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    count: u32,
    last: clock::Instant,
}

/// The whole answers of the last requests. What differs from request to request has tables of its own, so that it doesn't
/// displace what many requests share.
#[derive(Clone, Debug)]
pub struct Answers {
    shared: Table,
    own: Table,
    pairs: Table,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            shared: Table::new(MAX_SHARED_PARTS),
            own: Table::new(MAX_OWN_PARTS),
            pairs: Table::new(MAX_PAIRS),
        }
    }
}

impl Answers {
    /// Records a whole answer.
    pub fn record(&mut self, now: clock::Instant, suspects: &Suspects) {
        let (shared, rest) = suspects.all().split_at(suspects.shared().len());
        for part in shared {
            self.shared.record(now, *part);
        }
        for part in rest {
            let table = match part.kind() {
                Kind::Pair => &mut self.pairs,
                Kind::Request | Kind::Single | Kind::Load => &mut self.own,
            };
            table.record(now, *part);
        }
    }

    /// The number of whole answers that are remembered.
    #[must_use]
    pub fn count(&self, part: Part) -> u32 {
        let counts = self.tables().map(|table| table.count(part));
        counts.into_iter().fold(0, u32::saturating_add)
    }

    /// When a part was last answered to the end.
    #[must_use]
    pub fn last(&self, part: Part) -> Option<clock::Instant> {
        let last = self.tables().map(|table| table.last(part));
        last.into_iter().flatten().max()
    }

    /// Forgets what is too old.
    pub fn prune(&mut self, now: clock::Instant) {
        for table in [&mut self.shared, &mut self.own, &mut self.pairs] {
            table.prune(now);
        }
    }

    fn tables(&self) -> [&Table; 3] {
        [&self.shared, &self.own, &self.pairs]
    }
}

/// The last parts, in two generations: the older one is forgotten at once.
#[derive(Clone, Debug)]
struct Table {
    current: HashMap<Part, Tally>,
    previous: HashMap<Part, Tally>,
    /// Maximum number of parts of a generation.
    capacity: usize,
    since: clock::Instant,
}

impl Table {
    fn new(capacity: usize) -> Self {
        Self {
            current: HashMap::new(),
            previous: HashMap::new(),
            capacity,
            since: clock::Instant::default(),
        }
    }

    fn record(&mut self, now: clock::Instant, part: Part) {
        if self.current.len() >= self.capacity && !self.current.contains_key(&part) {
            self.begin_generation(now);
        }
        let tally = self.current.entry(part).or_default();
        tally.count = tally.count.saturating_add(1);
        tally.last = now;
    }

    fn count(&self, part: Part) -> u32 {
        let count =
            |tallies: &HashMap<Part, Tally>| tallies.get(&part).map_or(0, |tally| tally.count);
        count(&self.current).saturating_add(count(&self.previous))
    }

    fn last(&self, part: Part) -> Option<clock::Instant> {
        let tally = self.current.get(&part).or(self.previous.get(&part))?;
        Some(tally.last)
    }

    fn prune(&mut self, now: clock::Instant) {
        if now.since(self.since) >= MAX_AGE {
            self.begin_generation(now);
        }
    }

    fn begin_generation(&mut self, now: clock::Instant) {
        self.previous = std::mem::take(&mut self.current);
        self.since = now;
    }
}
