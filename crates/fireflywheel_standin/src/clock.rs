//! Unix time, and values that can be read with a lag.

use std::{collections, time};

/// Maximum number of values that are retained for lagged reads.
const MAX_VALUES: usize = 1024;

/// Returns the Unix time in microseconds.
#[must_use]
pub fn unix_us() -> u64 {
    let since = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .expect("system clock is after 1970");
    u64::try_from(since.as_micros())
        .expect("microseconds fit into 64 bits for half a million years")
}

/// Returns the Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    unix_us() / 1000
}

/// The recent history of a value, which can be read as of an earlier time.
#[derive(Clone, Debug)]
pub struct Lagged<T> {
    /// Values with the times from which they are valid, in order of time.
    values: collections::VecDeque<(u64, T)>,
}

impl<T> Lagged<T> {
    /// Creates a history with a value that is valid from the beginning of time.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self {
            values: [(0, value)].into(),
        }
    }

    /// Records the value that is valid from `now` on. The time may have any unit, as long as it is
    /// the same as in [`Lagged::at`].
    pub fn record(&mut self, now: u64, value: T) {
        if self.values.len() == MAX_VALUES {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// Returns the value that was valid at `time`, or the oldest retained value.
    #[must_use]
    pub fn at(&self, time: u64) -> &T {
        let next_index = self.values.partition_point(|(from, _)| *from <= time);
        &self.values[next_index.saturating_sub(1)].1
    }
}
