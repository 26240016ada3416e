//! The classes of requests that compete for an organisation's quota.

use std::time::Duration;

/// The number of priorities that are told apart; less urgent ones count as the last.
pub const PRIORITIES: usize = 4;
/// The number of classes.
pub const COUNT: usize = 2 * PRIORITIES;
/// The names of the classes, in the order in which they are admitted.
const NAMES: [&str; COUNT] = [
    "returned_0",
    "returned_1",
    "returned_2",
    "returned_3",
    "first_0",
    "first_1",
    "first_2",
    "first_3",
];

/// A class of requests. Lesser classes are admitted first: those of callers that have come back, and of these the
/// more urgent ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Class(u8);

impl Class {
    /// Creates the class of a request with this priority, 0 being the most urgent.
    #[must_use]
    pub fn new(priority: u8, has_returned: bool) -> Self {
        let last = PRIORITIES as u8 - 1;
        let first = if has_returned { 0 } else { PRIORITIES as u8 };
        Self(first + priority.min(last))
    }

    /// All classes, in the order of admission.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT as u8).map(Self)
    }

    /// The class's place in the order of admission, less than [`COUNT`].
    #[must_use]
    pub fn index(self) -> usize {
        self.0.into()
    }

    /// The priority, less than [`PRIORITIES`].
    #[must_use]
    pub fn priority(self) -> usize {
        self.index() % PRIORITIES
    }

    /// Whether the callers have come back.
    #[must_use]
    pub fn has_returned(self) -> bool {
        self.index() < PRIORITIES
    }

    /// The name, for metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        NAMES[self.index()]
    }
}

/// What decides on a request's admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// Its cost.
    pub cost: f64,
    /// The time that its caller has left.
    pub left: Duration,
}
