//! The expected time to the first event of a prompt at a server.

use std::time::Duration;

/// The time after which a server that runs as many requests as it has slots has a free one. A request of the systems that this
/// was built for runs for one to two seconds in one of 12 slots.
const PLACE_INTERVAL_MS: f64 = 120.0;
/// The share of the time to read a prompt that counts for each request that it delays meanwhile, relative to the server's slots:
/// a server reads a prompt between the tokens of the other requests.
const DELAY_WEIGHT: f64 = 0.5;
/// The share of the time to read evicted tokens again that counts: not all of them are asked for again.
const EVICTION_WEIGHT: f64 = 0.25;

/// What is known of a server that may read a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of requests of all instances there, as far as it is known.
    pub requests: u32,
    /// Prompt tokens that it has to read before.
    pub tokens_ahead: f64,
    /// Prompt tokens that it has to read of this prompt.
    pub tokens_left: f64,
    /// Tokens of other prompts that it has to evict for them.
    pub tokens_evicted: f64,
    /// The time to read one token there.
    pub ms_per_token: f64,
}

impl Outlook {
    /// The time until the server begins to read the prompt.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let excess = f64::from((self.requests + 1).saturating_sub(self.slots.max(1)));
        milliseconds(excess * PLACE_INTERVAL_MS + self.tokens_ahead * self.ms_per_token)
    }

    /// The time until the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        self.wait() + self.time_to_read(self.tokens_left)
    }

    /// The time to read this many tokens.
    #[must_use]
    pub fn time_to_read(&self, tokens: f64) -> Duration {
        milliseconds(tokens * self.ms_per_token)
    }

    /// The time until the first event, plus what the prompt costs others: the requests that run there while it is read, and the
    /// prompts that have to be read again because of it.
    #[must_use]
    pub fn cost(&self) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let running = f64::from(self.requests.min(self.slots));
        let delay_ms = self.tokens_left * self.ms_per_token * DELAY_WEIGHT * running / slots;
        let eviction_ms = self.tokens_evicted * self.ms_per_token * EVICTION_WEIGHT;
        self.first_event() + milliseconds(delay_ms + eviction_ms)
    }
}

fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0) / 1000.0).unwrap_or(Duration::MAX)
}
