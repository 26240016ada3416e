//! How often parts of prompts have been answered to the end.

use std::collections::HashMap;
use std::time::Duration;

use super::fact::Part;
use crate::clock;

/// Maximum number of parts of a generation.
const MAX_PARTS: usize = 4096;
/// Maximum age of a generation.
const MAX_AGE: Duration = Duration::from_secs(300);

/// The whole answers of a part.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    count: u32,
    last: clock::Instant,
}

/// The parts of the last whole answers, in two generations: the older one is forgotten at once.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    current: HashMap<Part, Tally>,
    previous: HashMap<Part, Tally>,
    since: clock::Instant,
}

impl Answers {
    /// Records a whole answer.
    pub fn record(&mut self, now: clock::Instant, part: Part) {
        if self.current.len() >= MAX_PARTS && !self.current.contains_key(&part) {
            self.begin_generation(now);
        }
        let tally = self.current.entry(part).or_default();
        tally.count = tally.count.saturating_add(1);
        tally.last = now;
    }

    /// The number of whole answers that are remembered.
    #[must_use]
    pub fn count(&self, part: Part) -> u32 {
        let count =
            |tallies: &HashMap<Part, Tally>| tallies.get(&part).map_or(0, |tally| tally.count);
        count(&self.current).saturating_add(count(&self.previous))
    }

    /// When a part was last answered to the end.
    #[must_use]
    pub fn last(&self, part: Part) -> Option<clock::Instant> {
        let tally = self.current.get(&part).or(self.previous.get(&part))?;
        Some(tally.last)
    }

    /// Forgets what is too old.
    pub fn prune(&mut self, now: clock::Instant) {
        if now.since(self.since) >= MAX_AGE {
            self.begin_generation(now);
        }
    }

    fn begin_generation(&mut self, now: clock::Instant) {
        self.previous = std::mem::take(&mut self.current);
        self.since = now;
    }
}
