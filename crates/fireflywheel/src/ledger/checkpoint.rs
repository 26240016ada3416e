//! Checkpoints: a ledger serialized as text, split into parts that fit into records of the log.
//!
//! Every instance that folded the same records produces the same text, and therefore the same hash.

use std::{borrow::Cow, collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::{Ledger, Stewardship, claims, rights, sequences};
use crate::{document, record};

/// Maximum number of bytes of text in one part.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// Maximum number of parts of a checkpoint that an instance accepts. No ledger needs as many. The limit keeps
/// a forged count from making an instance collect parts without end.
pub const MAX_PARTS: u32 = 256;

/// Why a ledger cannot be restored from parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A part is missing or duplicated, or the parts belong to different checkpoints.
    Incomplete,
    /// The hash of the text differs from the hash in the parts.
    HashMismatch,
    /// The text cannot be parsed as a ledger.
    Malformed(String),
    /// The checkpoint was written under newer rules than this build supports.
    UnsupportedRules(u32),
    /// The document in the checkpoint is invalid under the rules of this build.
    InvalidDocument,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str("the parts do not form one complete checkpoint"),
            Self::HashMismatch => f.write_str("the hash of the checkpoint's text does not match"),
            Self::Malformed(error) => write!(f, "cannot parse the checkpoint's text: {error}"),
            Self::UnsupportedRules(rule) => {
                write!(f, "the checkpoint uses unsupported rules {rule}")
            }
            Self::InvalidDocument => f.write_str("the checkpoint's document is invalid"),
        }
    }
}

impl std::error::Error for Error {}

/// The serialized form of a ledger.
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

/// The part of the text that every version of the rules can read.
#[derive(Deserialize)]
struct Header {
    rule: u32,
}

impl Ledger {
    /// Serializes the whole ledger into parts, in order.
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
        split_into_parts(self.next, &text)
    }

    /// Restores a ledger from the parts of one checkpoint, given in any order.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the parts are incomplete or damaged, or hold no ledger that this build can read.
    pub fn restore(parts: &[record::Part]) -> Result<Self, Error> {
        let next = parts.first().ok_or(Error::Incomplete)?.next;
        let text = join_parts(parts)?;
        let header: Header = parse(&text)?;
        if header.rule > record::RULES_VERSION {
            return Err(Error::UnsupportedRules(header.rule));
        }
        let content: Content<'_> = parse(&text)?;
        if content.next != next {
            return Err(Error::Incomplete);
        }
        let document = match content.version {
            0 => document::Document::default(),
            _ => document::Document::parse(&content.text).map_err(|_| Error::InvalidDocument)?,
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

fn parse<'a, T>(text: &'a str) -> Result<T, Error>
where
    T: Deserialize<'a>,
{
    serde_json::from_str(text).map_err(|error| Error::Malformed(error.to_string()))
}

/// Returns the SHA-256 hash of a text in hexadecimal, which identifies the checkpoint.
fn hash_text(text: &str) -> SmolStr {
    let digest = Sha256::digest(text.as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.into()
}

fn split_into_parts(next: u64, text: &str) -> Vec<record::Part> {
    let hash = hash_text(text);
    let pieces = split_text(text);
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

/// Splits a text into pieces of at most [`MAX_PART_BYTES`] bytes, at character boundaries.
fn split_text(mut text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    while text.len() > MAX_PART_BYTES {
        let (piece, rest) = text.split_at(last_boundary(text));
        pieces.push(piece);
        text = rest;
    }
    pieces.push(text);
    pieces
}

/// Returns the last character boundary within the first [`MAX_PART_BYTES`] bytes.
fn last_boundary(text: &str) -> usize {
    let offsets = (0..=MAX_PART_BYTES).rev();
    let mut boundaries = offsets.filter(|offset| text.is_char_boundary(*offset));
    boundaries.next().unwrap_or(0)
}

fn join_parts(parts: &[record::Part]) -> Result<String, Error> {
    let first = parts.first().ok_or(Error::Incomplete)?;
    let mut sorted: Vec<&record::Part> = parts.iter().collect();
    sorted.sort_by_key(|part| part.part);
    let is_complete = (0..first.parts).eq(sorted.iter().map(|part| part.part));
    let is_consistent = sorted
        .iter()
        .all(|part| (part.next, part.parts, &part.hash) == (first.next, first.parts, &first.hash));
    if !is_complete || !is_consistent {
        return Err(Error::Incomplete);
    }
    let text: String = sorted.iter().map(|part| part.text.as_str()).collect();
    if hash_text(&text) != first.hash {
        return Err(Error::HashMismatch);
    }
    Ok(text)
}
