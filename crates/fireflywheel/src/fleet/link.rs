//! When an instance talks to the steward, when it tries to link to it, and how long the steward's reads of the store stand.

use std::time::Duration;

use crate::clock;

/// What the steward has read stands for an instance's own reads until it is this share of the time old within
/// which both must be obeyed; the rest is for the instance's own read after that.
const STANDS: f64 = 0.75;

/// When the next demand is due. It is kept across all that comes meanwhile: a pause that began anew with each
/// frame would never end while the steward talks, and the steward would take the instance for dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timer(clock::Instant);

impl Timer {
    /// Due after `pause`.
    #[must_use]
    pub fn new(now: clock::Instant, pause: Duration) -> Self {
        Self(now.after(pause))
    }

    /// Due after `pause` at the latest.
    pub fn expire_within(&mut self, now: clock::Instant, pause: Duration) {
        self.0 = self.0.min(now.after(pause));
    }

    /// How long until it is due; zero once it is.
    #[must_use]
    pub fn remaining(&self, now: clock::Instant) -> Duration {
        self.0.since(now)
    }
}

/// Until when the steward's reads stand for an instance's own. A heartbeat follows a demand that the instance made
/// at `asked`, so it was made later than that, however long it was held up on the way. The reads were `read_age`
/// old then, and must be obeyed within `obey`. None once it is too old.
#[must_use]
pub fn reads_valid_until(
    now: clock::Instant,
    asked: clock::Instant,
    read_age: Duration,
    obey: Duration,
) -> Option<clock::Instant> {
    let fresh = obey.mul_f64(STANDS).saturating_sub(read_age);
    let until = asked.after(fresh);
    (until > now).then_some(until)
}

/// Pauses grow up to this power of two.
const MOST_DOUBLINGS: u32 = 3;
/// Pauses are drawn from this part of their length up to all of it, so that instances don't come together again.
const LEAST_DRAW: f64 = 0.5;

/// Tries to link to a steward. When hundreds of instances come to a new one at once, each link takes longer to open than
/// usual; given up and tried again as soon as ever, none would be open for long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retry {
    failures: u32,
}

impl Retry {
    /// A link was open, or another instance is steward.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// No link was made.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// How long the next link may take to open that usually takes `usual` at most.
    #[must_use]
    pub fn connect_timeout(&self, usual: Duration) -> Duration {
        usual * 2_u32.pow(self.failures.min(MOST_DOUBLINGS))
    }

    /// How long until the next try, if the first follows after `first`. `draw` is from 0 up to 1.
    #[must_use]
    pub fn delay(&self, first: Duration, draw: f64) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(MOST_DOUBLINGS);
        let drawn = LEAST_DRAW + (1.0 - LEAST_DRAW) * draw;
        (first * 2_u32.pow(doublings)).mul_f64(drawn)
    }
}
