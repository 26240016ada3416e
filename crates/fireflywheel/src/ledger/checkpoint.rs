//! Checkpoints: a ledger as text, in parts that fit the log's records.
//!
//! The text is the same on every instance that folded the same records, and so is its hash.

use std::{borrow::Cow, collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::{Ledger, Stewardship, claims, rights, sequences};
use crate::{document, record};

/// Bytes of text in one part at most.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// Parts of a checkpoint that is taken at most. More than any ledger has; a forged count must not make an
/// instance gather parts without end.
pub const MAX_PARTS: u32 = 256;

/// Why parts are no checkpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A part is missing, or they are of several checkpoints.
    Parts,
    /// The text has another hash.
    Hash,
    /// The text is no ledger.
    Text(String),
    /// It was written under newer rules than this build knows.
    Rule(u32),
    /// Its document is not one by the rules of this build.
    Document,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parts => f.write_str("parts of the checkpoint are missing"),
            Self::Hash => f.write_str("the checkpoint's text has another hash"),
            Self::Text(error) => write!(f, "the checkpoint's text is no ledger: {error}"),
            Self::Rule(rule) => write!(f, "the checkpoint follows the newer rule {rule}"),
            Self::Document => f.write_str("the checkpoint's document has faults"),
        }
    }
}

impl std::error::Error for Fault {}

/// The text's content.
#[derive(Deserialize, Serialize)]
struct Content<'a> {
    rule: u32,
    next: u64,
    time_ms: u64,
    version: u64,
    text: Arc<str>,
    sequences: Cow<'a, sequences::Sequences>,
    stewards: Cow<'a, BTreeMap<SmolStr, Stewardship>>,
    rights: Cow<'a, rights::Rights>,
    claims: Cow<'a, claims::Claims>,
}

/// The start of the text, whatever its rule.
#[derive(Deserialize)]
struct Head {
    rule: u32,
}

impl Ledger {
    /// The whole ledger, in parts in their order.
    #[must_use]
    pub fn checkpoint(&self) -> Vec<record::Part> {
        let content = Content {
            rule: record::RULES_VERSION,
            next: self.next,
            time_ms: self.time_ms,
            version: self.version,
            text: Arc::clone(&self.text),
            sequences: Cow::Borrowed(&self.sequences),
            stewards: Cow::Borrowed(&self.stewards),
            rights: Cow::Borrowed(&self.rights),
            claims: Cow::Borrowed(&self.claims),
        };
        let text = serde_json::to_string(&content).expect("a ledger always has a JSON form");
        parts(self.next, &text)
    }

    /// A ledger from the parts of one checkpoint, in any order.
    ///
    /// # Errors
    ///
    /// [`Fault`] when they are not whole or not a ledger of this build.
    pub fn restore(parts: &[record::Part]) -> Result<Self, Fault> {
        let next = parts.first().ok_or(Fault::Parts)?.next;
        let text = join(parts)?;
        let head: Head = read(&text)?;
        if head.rule > record::RULES_VERSION {
            return Err(Fault::Rule(head.rule));
        }
        let content: Content<'_> = read(&text)?;
        if content.next != next {
            return Err(Fault::Parts);
        }
        let document = match content.version {
            0 => document::Document::default(),
            _ => document::Document::parse(&content.text).map_err(|_| Fault::Document)?,
        };
        Ok(Self {
            next: content.next,
            time_ms: content.time_ms,
            version: content.version,
            text: content.text,
            document: Arc::new(document),
            sequences: content.sequences.into_owned(),
            stewards: content.stewards.into_owned(),
            rights: content.rights.into_owned(),
            claims: content.claims.into_owned(),
        })
    }
}

fn read<'a, T>(text: &'a str) -> Result<T, Fault>
where
    T: Deserialize<'a>,
{
    serde_json::from_str(text).map_err(|error| Fault::Text(error.to_string()))
}

/// The hash that names a text: SHA-256 in hexadecimal.
fn hash(text: &str) -> SmolStr {
    let digest = Sha256::digest(text.as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.into()
}

fn parts(next: u64, text: &str) -> Vec<record::Part> {
    let hash = hash(text);
    let pieces = cut(text);
    let count = u32::try_from(pieces.len()).expect("a ledger has fewer parts than u32 counts");
    let numbered = (0..).zip(pieces);
    let parts = numbered.map(|(part, text)| record::Part {
        next,
        hash: hash.clone(),
        part,
        parts: count,
        text: text.to_owned(),
    });
    parts.collect()
}

/// Cuts a text between characters.
fn cut(mut text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    while text.len() > MAX_PART_BYTES {
        let (piece, rest) = text.split_at(boundary(text));
        pieces.push(piece);
        text = rest;
    }
    pieces.push(text);
    pieces
}

/// The last place between two characters within [`MAX_PART_BYTES`].
fn boundary(text: &str) -> usize {
    let places = (0..=MAX_PART_BYTES).rev();
    let mut places = places.filter(|place| text.is_char_boundary(*place));
    places.next().unwrap_or(0)
}

fn join(parts: &[record::Part]) -> Result<String, Fault> {
    let first = parts.first().ok_or(Fault::Parts)?;
    let mut sorted: Vec<&record::Part> = parts.iter().collect();
    sorted.sort_by_key(|part| part.part);
    let whole = (0..first.parts).eq(sorted.iter().map(|part| part.part));
    let same = sorted
        .iter()
        .all(|part| (part.next, part.parts, &part.hash) == (first.next, first.parts, &first.hash));
    if !whole || !same {
        return Err(Fault::Parts);
    }
    let text: String = sorted.iter().map(|part| part.text.as_str()).collect();
    if hash(&text) != first.hash {
        return Err(Fault::Hash);
    }
    Ok(text)
}
