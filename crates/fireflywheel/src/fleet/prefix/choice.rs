//! Weighs the servers that can read a prompt, and judges afterwards what was assumed of the one chosen.

use std::time::Duration;

use super::Prompt;
use super::book::{Book, Kept};
use super::estimate::Outlook;
use crate::{clock, rendezvous};

/// What it is worth to read a prompt at the server that all instances choose alike for its parts, as a share of the time to read
/// its shared parts. Later prompts with the same parts save that time if they find them in one place, and a server that has just
/// loaded the model gets its part of them. Below 1, a server that keeps the parts comes first at equal waits. In replays with
/// models that are swapped, smaller values left more prompts late than the hash alone.
const COMMON_SERVER_RATIO: f64 = 0.8;
/// The probability from which a server that has to read a prefix was wrongly assumed to keep it.
const MIN_JUDGED_PROBABILITY: f64 = 0.5;

/// A server that can read a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Server<'a> {
    /// Its id.
    pub id: &'a str,
    /// When its process started, in Unix milliseconds.
    pub started_ms: u64,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of requests of all instances there, as far as it is known.
    pub requests: u32,
    /// Prompt tokens that it has to read before.
    pub tokens_ahead: f64,
    /// The time to read one token there.
    pub ms_per_token: f64,
}

/// Servers weighed for a prompt, in the order in which they were given.
#[derive(Clone, Debug)]
pub struct Weighed {
    servers: Vec<(Kept, Outlook)>,
    /// The server that all instances choose alike.
    common: Option<usize>,
    shared_tokens: u32,
}

/// What was assumed of the server that a prompt is sent to.
#[derive(Clone, Debug)]
pub struct Assumption {
    /// The prompt.
    pub prompt: Prompt,
    /// What the server was assumed to keep of it.
    pub kept: Kept,
    /// What else was known of the server.
    pub outlook: Outlook,
}

/// Whether a server had kept what was assumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The first event came about as early as with the prefix.
    Kept,
    /// It came so late that the server must have read the prefix.
    Missing,
    /// It is unknown: little was assumed, or other requests were ahead.
    Unknown,
}

impl Weighed {
    /// Weighs servers for a prompt; `parts` names its shared parts.
    #[must_use]
    pub fn new(
        now: clock::Instant,
        book: &Book,
        prompt: &Prompt,
        parts: &str,
        servers: &[Server<'_>],
    ) -> Self {
        let weighed = servers.iter().map(|server| {
            let kept = book.kept(now, server.id, server.started_ms, prompt);
            let tokens_left = (f64::from(prompt.tokens()) - kept.expected_tokens).max(0.0);
            let outlook = Outlook {
                slots: server.slots,
                requests: server.requests,
                tokens_ahead: server.tokens_ahead,
                tokens_left,
                tokens_evicted: book.evicted_tokens(server.id, tokens_left),
                ms_per_token: server.ms_per_token,
            };
            (kept, outlook)
        });
        let weighed: Vec<_> = weighed.collect();
        let common = rendezvous::select(parts, servers.iter().map(|server| server.id));
        let common = common.and_then(|id| servers.iter().position(|server| server.id == id));
        Self {
            servers: weighed,
            common,
            shared_tokens: prompt.shared_tokens(),
        }
    }

    /// What the prompt costs at a server, in time until its first event and delay of others.
    #[must_use]
    pub fn cost(&self, index: usize) -> Duration {
        let outlook = &self.servers[index].1;
        match self.common {
            Some(common) if common != index => {
                let shared = f64::from(self.shared_tokens) * COMMON_SERVER_RATIO;
                outlook.cost() + outlook.time_to_read(shared)
            }
            _ => outlook.cost(),
        }
    }

    /// The part of the cost beyond the time until the first event.
    #[must_use]
    pub fn side_cost(&self, index: usize) -> Duration {
        let first_event = self.servers[index].1.first_event();
        self.cost(index).saturating_sub(first_event)
    }

    /// The tokens of the prompt that a server has to read.
    #[must_use]
    pub fn prefill_tokens(&self, index: usize) -> u32 {
        self.servers[index].1.tokens_left.round() as u32
    }

    /// The best server other than this one.
    #[must_use]
    pub fn next(&self, index: usize) -> Option<usize> {
        let others = (0..self.servers.len()).filter(|other| *other != index);
        others.min_by_key(|other| self.cost(*other))
    }

    /// Why a server was chosen.
    #[must_use]
    pub fn reason(&self, index: usize) -> &'static str {
        let (kept, outlook) = &self.servers[index];
        let mut others = self.servers.iter();
        if kept.tokens > 0 {
            let is_longer = others.any(|(_, other)| other.wait() < outlook.wait());
            return if is_longer { "kept_after_wait" } else { "kept" };
        }
        match others.any(|(other, _)| other.tokens > 0) {
            true => "sooner_elsewhere",
            false => "kept_nowhere",
        }
    }

    /// What is assumed of a server.
    #[must_use]
    pub fn assume(&self, index: usize, prompt: &Prompt) -> Assumption {
        let (kept, outlook) = self.servers[index];
        Assumption {
            prompt: prompt.clone(),
            kept,
            outlook,
        }
    }
}

impl Assumption {
    /// The tokens that the server has to write into its memory.
    #[must_use]
    pub fn written_tokens(&self) -> u32 {
        self.outlook.tokens_left.round() as u32
    }

    /// Concludes from the time to the first event whether the server had kept the prefix.
    #[must_use]
    pub fn judge(&self, took: Duration) -> Finding {
        let kept_ms = self.kept.expected_tokens * self.outlook.ms_per_token;
        let is_alone = self.outlook.requests < self.outlook.slots
            && self.outlook.tokens_ahead < f64::from(super::MIN_TOKENS);
        if self.kept.tokens == 0 || self.kept.probability < MIN_JUDGED_PROBABILITY || !is_alone {
            return Finding::Unknown;
        }
        let expected_ms = self.outlook.first_event().as_secs_f64() * 1000.0;
        let late_ms = took.as_secs_f64() * 1000.0 - expected_ms;
        if late_ms < kept_ms / 3.0 {
            Finding::Kept
        } else if late_ms > kept_ms * 2.0 / 3.0 {
            Finding::Missing
        } else {
            Finding::Unknown
        }
    }
}

impl Finding {
    /// Its name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Missing => "missing",
            Self::Unknown => "unknown",
        }
    }
}
