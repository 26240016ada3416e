//! Faults of a configuration text, with their positions.

use std::{collections::BTreeSet, fmt};

use smol_str::SmolStr;

/// Maximum number of reported faults. A longer list does not help, and a malicious text must not exhaust
/// the memory.
pub const MAX_FAULTS: usize = 1000;

/// Maximum number of faults with a suggestion. Each suggestion compares the text with every known name, and
/// a text crafted to be slow to reject must not delay an instance.
const MAX_SUGGESTIONS: usize = 100;

/// Maximum number of characters of the found text that a fault repeats.
const MAX_FOUND_CHARS: usize = 80;

/// Maximum length in bytes of a name that gets a suggestion, which bounds the cost of a comparison with a
/// crafted text.
const MAX_SUGGESTED_NAME_BYTES: usize = 32;
/// Maximum number of known names compared for one suggestion, which bounds its cost.
const MAX_COMPARED_NAMES: usize = 1000;

/// A fault of a text. Displayed as one line, such as
/// `line 12, [model quote-small] memory_mb: "lots" is not a whole number from 1 to 1,000,000`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Line number, counted from 1. If something is missing, the line of the section that lacks it.
    pub line: usize,
    /// The section's name without brackets; empty outside of any section.
    pub section: SmolStr,
    /// The key; empty if the fault does not concern a key.
    pub key: SmolStr,
    /// The text found, truncated if it is long; empty if something is missing.
    pub found: SmolStr,
    /// The valid content.
    pub allowed: Allowed,
}

/// Description of the valid content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Allowed {
    /// A value that matches this description, such as `a whole number from 1 to 10`.
    Value(SmolStr),
    /// Required content that is missing.
    Needed(SmolStr),
    /// A name from a list of known names.
    Known {
        /// The kind of name, such as `key` or `section`.
        noun: SmolStr,
        /// The known name that is most similar to the one found.
        nearest: Option<SmolStr>,
    },
    /// A name that may appear only once.
    Once {
        /// The line of the first appearance.
        first: usize,
    },
    /// A rule about the relation to other lines; holds the full text of the message.
    Rule(SmolStr),
}

/// Faults collected while a text is read; reading continues after each fault.
#[derive(Clone, Debug, Default)]
pub struct List {
    faults: Vec<Fault>,
    omitted: usize,
    suggestions: usize,
}

impl Fault {
    /// Creates a fault outside of any section.
    #[must_use]
    pub fn new(line: usize, allowed: Allowed) -> Self {
        Self {
            line,
            section: SmolStr::default(),
            key: SmolStr::default(),
            found: SmolStr::default(),
            allowed,
        }
    }

    /// Sets the section.
    #[must_use]
    pub fn with_section(mut self, section: impl Into<SmolStr>) -> Self {
        self.section = section.into();
        self
    }

    /// Sets the key.
    #[must_use]
    pub fn with_key(mut self, key: impl Into<SmolStr>) -> Self {
        self.key = key.into();
        self
    }

    /// Sets the text found.
    #[must_use]
    pub fn with_found(mut self, found: &str) -> Self {
        self.found = truncate(found);
        self
    }
}

impl List {
    /// Adds a fault; beyond [`MAX_FAULTS`] faults are only counted.
    pub fn push(&mut self, fault: Fault) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(fault);
        } else {
            self.omitted += 1;
        }
    }

    /// Returns the known name that was probably intended; `None` once 100 suggestions have been requested.
    #[must_use]
    pub fn suggest<'a, I>(&mut self, found: &str, known: I) -> Option<SmolStr>
    where
        I: IntoIterator<Item = &'a str>,
    {
        if self.suggestions >= MAX_SUGGESTIONS {
            return None;
        }
        self.suggestions += 1;
        find_nearest(found, known)
    }

    /// Returns the names of the sections with a fault. References to these sections need not be checked,
    /// since the resulting faults may disappear once the first ones are fixed.
    #[must_use]
    pub fn sections(&self) -> BTreeSet<SmolStr> {
        self.faults
            .iter()
            .map(|fault| fault.section.clone())
            .collect()
    }

    /// Returns the value if there is no fault.
    ///
    /// # Errors
    ///
    /// The faults in the order of their lines, followed by the number of omitted faults, if any.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| fault.line);
        if self.omitted > 0 {
            let line = self.faults.last().map_or(1, |fault| fault.line);
            let rule = format!("{} more faults are not shown", self.omitted);
            self.faults
                .push(Fault::new(line, Allowed::Rule(rule.into())));
        }
        Err(self.faults)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if !self.section.is_empty() {
            write!(f, ", [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": ")?;
        let found = &self.found;
        match &self.allowed {
            Allowed::Value(expected) => write!(f, "{found:?} is not {expected}"),
            Allowed::Needed(expected) => write!(f, "missing; needed is {expected}"),
            Allowed::Known {
                noun,
                nearest: Some(nearest),
            } => {
                write!(
                    f,
                    "{found:?} is not a known {noun}; did you mean `{nearest}`?"
                )
            }
            Allowed::Known {
                noun,
                nearest: None,
            } => write!(f, "{found:?} is not a known {noun}"),
            Allowed::Once { first } => write!(f, "stands already in line {first}"),
            Allowed::Rule(rule) => f.write_str(rule),
        }
    }
}

impl std::error::Error for Fault {}

/// Returns the known name that `found` was probably intended to be, if any is similar.
fn find_nearest<'a, I>(found: &str, known: I) -> Option<SmolStr>
where
    I: IntoIterator<Item = &'a str>,
{
    if found.len() > MAX_SUGGESTED_NAME_BYTES {
        return None;
    }
    let limit = (found.len() / 3).max(1);
    known
        .into_iter()
        .filter(|name| name.len().abs_diff(found.len()) <= limit)
        .take(MAX_COMPARED_NAMES)
        .map(|name| (levenshtein_distance(found, name), name))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, name)| SmolStr::new(name))
}

/// Returns the Levenshtein distance in bytes.
fn levenshtein_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

fn truncate(text: &str) -> SmolStr {
    match text.char_indices().nth(MAX_FOUND_CHARS) {
        Some((end, _)) => SmolStr::from(format!("{}…", &text[..end])),
        None => SmolStr::new(text),
    }
}
