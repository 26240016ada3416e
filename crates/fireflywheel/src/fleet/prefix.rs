//! What servers keep of the prompts that they have read, and which server gets the first event of a prompt soonest.
//!
//! An engine doesn't read the start of a prompt again that it still keeps of an earlier one. What it keeps is only assumed, from
//! what instances have sent it. The assumption is wrong when its memory was needed for other prompts, so it has a probability.

pub mod book;
pub mod choice;
pub mod estimate;
pub mod news;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// The number of tokens from which it matters where the start of a prompt is kept. Fewer are read in less time than another
/// server takes to answer.
pub const MIN_TOKENS: u32 = 512;
/// Maximum number of prefixes of one prompt that are considered.
pub const MAX_PREFIXES: usize = 8;

/// Identifies the start of a prompt for a model and an adapter: all parts up to one of them, in order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    #[serde(rename = "m")]
    model: u32,
    #[serde(rename = "k")]
    chain: u64,
}

/// The start of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefix {
    /// What it consists of.
    #[serde(flatten)]
    pub key: Key,
    /// Its length in tokens.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// A prompt, as far as it matters where it is read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    tokens: u32,
    prefixes: Vec<Prefix>,
}

impl Key {
    /// The key of the empty start of a prompt.
    fn empty(model: &str, adapter: Option<&str>) -> Self {
        let seed = xxh3::xxh3_64(model.as_bytes());
        Self {
            model: model_tag(model),
            chain: xxh3::xxh3_64_with_seed(adapter.unwrap_or_default().as_bytes(), seed),
        }
    }

    fn followed_by(self, part: &str) -> Self {
        Self {
            chain: xxh3::xxh3_64_with_seed(part.as_bytes(), self.chain),
            ..self
        }
    }

    /// Whether the prompt is for this model.
    #[must_use]
    pub fn is_for(self, model: &str) -> bool {
        self.model == model_tag(model)
    }
}

impl Prompt {
    /// A prompt of this many tokens, with the names and tokens of its parts in order. Prefixes shorter than [`MIN_TOKENS`] are
    /// left out, and with too many parts those before the last one.
    #[must_use]
    pub fn new<'a, I>(model: &str, adapter: Option<&str>, tokens: u32, parts: I) -> Self
    where
        I: IntoIterator<Item = (&'a str, u32)>,
    {
        let mut prefixes: Vec<Prefix> = Vec::new();
        let mut key = Key::empty(model, adapter);
        let mut length: u32 = 0;
        for (name, part_tokens) in parts {
            key = key.followed_by(name);
            length = length.saturating_add(part_tokens);
            if length < MIN_TOKENS {
                continue;
            }
            if prefixes.len() == MAX_PREFIXES {
                prefixes.pop();
            }
            prefixes.push(Prefix {
                key,
                tokens: length,
            });
        }
        Self {
            tokens: tokens.max(length),
            prefixes,
        }
    }

    /// The number of its tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Its prefixes that are long enough to matter, the shortest first.
    #[must_use]
    pub fn prefixes(&self) -> &[Prefix] {
        &self.prefixes
    }

    /// The tokens of the parts before the last one, which belongs to the request or its session; of the only part if there is one.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let last = self.prefixes.iter().rev().take(2);
        last.map(|prefix| prefix.tokens).min().unwrap_or_default()
    }

    /// Whether it matters where it is read.
    #[must_use]
    pub fn is_long(&self) -> bool {
        !self.prefixes.is_empty()
    }
}

/// A short form of a model's name. Two models of one engine with the same form would only be confused about what is kept.
fn model_tag(model: &str) -> u32 {
    (xxh3::xxh3_64(model.as_bytes()) >> 32) as u32
}
