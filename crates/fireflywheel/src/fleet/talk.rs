//! When an instance talks to the steward, and how long the steward's word stands.

use std::time::Duration;

use crate::clock;

/// What the steward has read stands for an instance's own reads until it is this share of the time old within
/// which both must be obeyed; the rest is for the instance's own read after that.
const STANDS: f64 = 0.75;

/// When the next demand is due. It is kept across all that comes meanwhile: a pause that began anew with each
/// frame would never end while the steward talks, and the steward would take the instance for dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Due(clock::Instant);

impl Due {
    /// Due after `pause`.
    #[must_use]
    pub fn new(now: clock::Instant, pause: Duration) -> Self {
        Self(now.after(pause))
    }

    /// Due after `pause` at the latest.
    pub fn within(&mut self, now: clock::Instant, pause: Duration) {
        self.0 = self.0.min(now.after(pause));
    }

    /// How long until it is due; zero once it is.
    #[must_use]
    pub fn left(&self, now: clock::Instant) -> Duration {
        self.0.since(now)
    }
}

/// Until when the steward's reads stand for an instance's own. Its word follows a demand that the instance made
/// at `asked`, so it was made later than that, however long it was held up on the way. The reads were `read_age`
/// old then, and must be obeyed within `obey`. None once it is too old.
#[must_use]
pub fn stands_until(
    now: clock::Instant,
    asked: clock::Instant,
    read_age: Duration,
    obey: Duration,
) -> Option<clock::Instant> {
    let fresh = obey.mul_f64(STANDS).saturating_sub(read_age);
    let until = asked.after(fresh);
    (until > now).then_some(until)
}
