//! The time between the events of one stream.

use std::time::Duration;

use crate::clock;

/// The number of events in a window. With fewer, the resolution of clocks and events that arrive together count too much.
const WINDOW_EVENTS: u32 = 16;

/// Returns the number of events that end in these bytes, by the empty lines. One that is split between two parts isn't
/// counted, which is rare enough not to matter for a mean.
#[must_use]
pub fn count_events(bytes: &[u8]) -> u32 {
    let line_feeds = bytes.windows(2).filter(|pair| pair == b"\n\n").count();
    let both = bytes.windows(3).filter(|end| end == b"\n\r\n").count();
    u32::try_from(line_feeds + both).unwrap_or(u32::MAX)
}

/// Measures the time between the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    last: Option<clock::Instant>,
    window_start: Option<clock::Instant>,
    events: u32,
    longest_gap: Duration,
}

/// What events that have arrived tell of their server's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// The mean time between events in the window that they have completed, in milliseconds.
    pub event_ms: Option<f64>,
    /// The time since the events before.
    pub gap: Duration,
}

impl Pace {
    /// Records that events have arrived.
    pub fn record(&mut self, now: clock::Instant, events: u32) -> Reading {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.last = Some(now);
        self.longest_gap = self.longest_gap.max(gap);
        let Some(start) = self.window_start else {
            self.window_start = Some(now);
            return Reading {
                event_ms: None,
                gap,
            };
        };
        self.events = self.events.saturating_add(events);
        if self.events < WINDOW_EVENTS {
            return Reading {
                event_ms: None,
                gap,
            };
        }
        let elapsed_ms = now.since(start).as_secs_f64() * 1000.0;
        let event_ms = elapsed_ms / f64::from(self.events);
        self.window_start = Some(now);
        self.events = 0;
        Reading {
            event_ms: Some(event_ms),
            gap,
        }
    }

    /// Starts the measurement anew, after the caller has held up the stream.
    pub fn restart(&mut self) {
        self.last = None;
        self.window_start = None;
        self.events = 0;
    }

    /// The longest time between two events.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        self.longest_gap
    }
}
