//! Parsing of INI texts with line numbers.
//!
//! The `rust-ini` crate parses the syntax, but it stops at the first fault and keeps no line numbers. A
//! line scan therefore runs first: it reports every line that is neither a section, a key, a comment nor
//! blank, records the positions of sections and keys, and passes only these on. The accepted syntax is
//! deliberately narrower than that of the crate, without quotes, escapes, continued lines or `key: value`,
//! since such a text could be read in two ways.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::fault;

/// A section of a text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Section {
    /// Line of the section's header, counted from 1.
    pub line: usize,
    /// The section's name, with single spaces between words.
    pub name: SmolStr,
    /// The section's keys in order, without duplicates.
    pub pairs: Vec<Pair>,
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pair {
    /// Line of the key, counted from 1.
    pub line: usize,
    /// The key.
    pub key: SmolStr,
    /// The value without surrounding white space; it may be empty.
    pub value: SmolStr,
}

impl Section {
    /// Returns the first word of the section's name.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.name.split(' ').next().unwrap_or_default()
    }

    /// Returns the line of a key, or of the section if the key is missing.
    #[must_use]
    pub fn line_of(&self, key: &str) -> usize {
        self.pairs
            .iter()
            .find(|pair| pair.key == key)
            .map_or(self.line, |pair| pair.line)
    }
}

/// Classification of a line.
enum Line<'a> {
    Blank,
    Section(&'a str),
    Pair(&'a str, &'a str),
    Malformed,
}

/// Reads a text of at most `limit` bytes. Duplicate sections and keys are faults; the first one is kept.
///
/// # Errors
///
/// A single fault if the text is too long; such a text is not read at all.
pub fn read(
    text: &str,
    limit: usize,
    faults: &mut fault::List,
) -> Result<Vec<Section>, Vec<fault::Fault>> {
    if text.len() > limit {
        let rule = format!("the text is longer than {limit} bytes, the most that is allowed");
        let fault = fault::Fault::new(1, fault::Allowed::Rule(rule.into()));
        return Err(vec![fault]);
    }
    // Some editors write a byte order mark at the start.
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let (sanitized, sections) = scan(text, faults);
    let values = read_values(&sanitized, faults);
    Ok(remove_duplicate_sections(
        fill_values(sections, values),
        faults,
    ))
}

/// Records the positions of sections and keys. Returns the text without malformed lines, and the sections
/// with keys that have no values yet.
fn scan(text: &str, faults: &mut fault::List) -> (String, Vec<Section>) {
    let mut sanitized = String::with_capacity(text.len());
    let mut sections: Vec<Section> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        match classify_line(line) {
            Line::Blank => {}
            Line::Section(name) => {
                let name = normalize_spaces(name);
                sanitized.push_str(&format!("[{name}]\n"));
                sections.push(Section {
                    line: number,
                    name,
                    pairs: Vec::new(),
                });
            }
            Line::Pair(key, value) => match sections.last_mut() {
                Some(section) => {
                    sanitized.push_str(&format!("{key} = {value}\n"));
                    section.pairs.push(Pair {
                        line: number,
                        key: SmolStr::new(key),
                        value: SmolStr::default(),
                    });
                }
                None => faults.push(outside_section_fault(number, key)),
            },
            Line::Malformed => faults.push(malformed_line_fault(number, line, sections.last())),
        }
    }
    (sanitized, sections)
}

fn classify_line(line: &str) -> Line<'_> {
    let line = line.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    // The crate interprets these characters as the start of a continued line or as the end of a line.
    if line.ends_with('\\') || line.chars().any(|c| c.is_control() && c != '\t') {
        return Line::Malformed;
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(name) if is_header(name) => Line::Section(name),
            _ => Line::Malformed,
        };
    }
    match line.split_once('=') {
        Some((key, value)) if is_key(key.trim()) => Line::Pair(key.trim(), value.trim()),
        _ => Line::Malformed,
    }
}

fn is_header(name: &str) -> bool {
    !name.trim().is_empty() && !name.contains(['[', ']', '\\'])
}

fn is_key(key: &str) -> bool {
    let word = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    !key.is_empty() && key.chars().all(word)
}

fn normalize_spaces(name: &str) -> SmolStr {
    let words: Vec<&str> = name.split_whitespace().collect();
    SmolStr::from(words.join(" "))
}

fn outside_section_fault(line: usize, key: &str) -> fault::Fault {
    let rule = SmolStr::from("stands before the first [section]");
    fault::Fault::new(line, fault::Allowed::Rule(rule)).with_key(key)
}

fn malformed_line_fault(line: usize, text: &str, section: Option<&Section>) -> fault::Fault {
    let expected = SmolStr::from("`[section]`, `key = value` or a comment line");
    fault::Fault::new(line, fault::Allowed::Value(expected))
        .with_section(
            section
                .map(|section| section.name.clone())
                .unwrap_or_default(),
        )
        .with_found(text.trim())
}

/// Returns the values of a sanitized text, in the order of its keys.
fn read_values(sanitized: &str, faults: &mut fault::List) -> Vec<SmolStr> {
    let option = ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    match ini::Ini::load_from_str_opt(sanitized, option) {
        Ok(parsed) => parsed
            .iter()
            .flat_map(|(_, properties)| properties.iter())
            .map(|(_, value)| SmolStr::new(value))
            .collect(),
        Err(error) => {
            // This is not expected for a sanitized text, but rejecting the text is correct in any case.
            let rule = SmolStr::from(error.to_string());
            faults.push(fault::Fault::new(1, fault::Allowed::Rule(rule)));
            Vec::new()
        }
    }
}

fn fill_values(mut sections: Vec<Section>, values: Vec<SmolStr>) -> Vec<Section> {
    let pairs = sections
        .iter_mut()
        .flat_map(|section| section.pairs.iter_mut());
    for (pair, value) in pairs.zip(values) {
        pair.value = value;
    }
    sections
}

fn remove_duplicate_sections(sections: Vec<Section>, faults: &mut fault::List) -> Vec<Section> {
    let mut seen: BTreeMap<SmolStr, usize> = BTreeMap::new();
    let mut kept = Vec::with_capacity(sections.len());
    for mut section in sections {
        remove_duplicate_keys(&mut section, faults);
        if let Some(first) = seen.get(&section.name) {
            faults.push(
                fault::Fault::new(section.line, fault::Allowed::Once { first: *first })
                    .with_section(section.name),
            );
        } else {
            seen.insert(section.name.clone(), section.line);
            kept.push(section);
        }
    }
    kept
}

fn remove_duplicate_keys(section: &mut Section, faults: &mut fault::List) {
    let name = section.name.clone();
    let mut seen: BTreeMap<SmolStr, usize> = BTreeMap::new();
    section.pairs.retain(|pair| {
        let first = *seen.entry(pair.key.clone()).or_insert(pair.line);
        if first != pair.line {
            faults.push(
                fault::Fault::new(pair.line, fault::Allowed::Once { first })
                    .with_section(name.clone())
                    .with_key(pair.key.clone()),
            );
        }
        first == pair.line
    });
}

/// Returns the section with this name, or a section without keys if it is missing.
#[must_use]
pub fn find(sections: &[Section], name: &str) -> Section {
    let found = sections.iter().find(|section| section.name == name);
    found.cloned().unwrap_or_else(|| Section {
        line: 1,
        name: SmolStr::new(name),
        pairs: Vec::new(),
    })
}
