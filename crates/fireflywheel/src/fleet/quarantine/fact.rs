//! What instances tell each other of crashes and parts. Times are ages at the moment of sending, in milliseconds: the clocks of
//! two instances are never compared.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::fleet::announcement::Process;

/// The bits of a part that hold its kind.
const KIND_MASK: u64 = 0b11;
/// Maximum number of parts of a prompt of which each two are a pair: the last ones, which fewer requests share.
const MAX_PAIRED_PARTS: usize = 12;

/// What may crash the servers of a group: a part of prompts, two of them together, a whole request, or the load of a model or
/// adapter. Its name may be long, so a hash stands for it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Part(u64);

/// Which requests a part stands for. Of several parts that explain crashes equally well, the first kind does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// One request, sent again and again.
    Request,
    /// All with a part in their prompts.
    Single,
    /// The load of a model or adapter.
    Load,
    /// All with two parts in their prompts.
    Pair,
}

impl Part {
    /// The part of this name in prompts to the servers of a group.
    #[must_use]
    pub fn new(group: &str, name: &str) -> Self {
        Self::of_kind(Kind::Single, hash(group, name.as_bytes()))
    }

    /// The load of a model, or of an adapter of it.
    #[must_use]
    pub fn of_load(group: &str, model: &str, adapter: Option<&str>) -> Self {
        let name = format!("load\n{model}\n{}", adapter.unwrap_or_default());
        Self::of_kind(Kind::Load, hash(group, name.as_bytes()))
    }

    /// The request with this content.
    #[must_use]
    pub fn of_request(group: &str, content: &[u8]) -> Self {
        Self::of_kind(Kind::Request, hash(group, content))
    }

    /// Two parts of one prompt, in any order.
    #[must_use]
    pub fn of_pair(one: Self, other: Self) -> Self {
        let (first, second) = (one.min(other), one.max(other));
        let hash = xxh3::xxh3_64_with_seed(&first.0.to_le_bytes(), second.0);
        Self::of_kind(Kind::Pair, hash)
    }

    /// Which requests it stands for.
    #[must_use]
    pub fn kind(self) -> Kind {
        match self.0 & KIND_MASK {
            1 => Kind::Request,
            2 => Kind::Pair,
            3 => Kind::Load,
            _ => Kind::Single,
        }
    }

    fn of_kind(kind: Kind, hash: u64) -> Self {
        let bits = match kind {
            Kind::Single => 0,
            Kind::Request => 1,
            Kind::Pair => 2,
            Kind::Load => 3,
        };
        Self(hash & !KIND_MASK | bits)
    }
}

fn hash(group: &str, content: &[u8]) -> u64 {
    xxh3::xxh3_64_with_seed(content, xxh3::xxh3_64(group.as_bytes()))
}

/// All that may make a request crash servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Suspects {
    /// The parts of its prompt, the request itself, and the pairs.
    all: Vec<Part>,
    /// The number of parts at the beginning of `all` that other requests may have as well.
    shared: usize,
}

impl Suspects {
    /// The suspects of a request, given the parts of its prompt and the request itself. The last part of a prompt belongs to
    /// the request or to its session.
    #[must_use]
    pub fn new(parts: &[Part], request: Part) -> Self {
        let mut all = parts.to_vec();
        all.push(request);
        let paired = &parts[parts.len().saturating_sub(MAX_PAIRED_PARTS)..];
        for (index, one) in paired.iter().enumerate() {
            let others = paired[index + 1..].iter();
            all.extend(others.map(|other| Part::of_pair(*one, *other)));
        }
        Self {
            all,
            shared: parts.len().saturating_sub(1),
        }
    }

    /// Loads of models and adapters, which all requests for them share.
    #[must_use]
    pub fn of_loads(loads: Vec<Part>) -> Self {
        Self {
            shared: loads.len(),
            all: loads,
        }
    }

    /// Whether the request's prompt has parts.
    #[must_use]
    pub fn has_parts(&self) -> bool {
        self.all
            .first()
            .is_some_and(|first| first.kind() == Kind::Single)
    }

    /// All of them.
    #[must_use]
    pub fn all(&self) -> &[Part] {
        &self.all
    }

    /// The parts of the prompt that other requests may have as well.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        &self.all[..self.shared]
    }

    /// What belongs to the request or its session alone.
    pub fn own(&self) -> impl Iterator<Item = Part> {
        let rest = self.all[self.shared..].iter().copied();
        rest.filter(|part| part.kind() != Kind::Pair)
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A process that has ended while it ran requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The process.
    pub process: Process,
    /// The time since its end.
    pub age_ms: u32,
    /// The processes of instances that have found that it has ended.
    pub witnesses: Vec<u64>,
    /// Whether there are enough of them.
    #[serde(rename = "confirmed")]
    pub is_confirmed: bool,
    /// The suspects of the requests that it had just begun to answer, with the number of whole answers before.
    pub suspects: Vec<(Part, u32)>,
}

/// A process that has answered after it was thought to have crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Survivor {
    /// The process.
    pub process: Process,
    /// The time since it has answered.
    pub age_ms: u32,
}

/// A part that was answered to the end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The part.
    pub part: Part,
    /// The time since the last whole answer.
    pub age_ms: u32,
}

/// A quarantined part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// The part.
    pub part: Part,
    /// The time since the last crash that led to it.
    pub age_ms: u32,
    /// The number of requests with it that were let through since.
    pub trials: u32,
    /// The time since the last of them.
    pub trial_age_ms: Option<u32>,
}

/// What an instance knows, or what is new of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Facts {
    /// Processes that have crashed.
    pub crashes: Vec<Crash>,
    /// Processes that have answered after they were thought to have crashed.
    pub survivors: Vec<Survivor>,
    /// Parts that were answered to the end since a crash.
    pub clearances: Vec<Clearance>,
    /// Quarantined parts.
    pub verdicts: Vec<Verdict>,
}

/// What an instance tells the steward with its demand.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// What is new.
    pub facts: Facts,
    /// Quarantined parts with which a request waits to be let through.
    pub trial_requests: Vec<Part>,
}

impl Facts {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
