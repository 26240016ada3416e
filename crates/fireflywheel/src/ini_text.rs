//! INI texts with their line numbers.
//!
//! The `rust-ini` crate reads the syntax, but it stops at the first fault and keeps no line numbers. So a
//! small pass over the lines comes before it: it names every line that is neither a section, a key, a comment
//! nor blank, notes where the others stand, and hands only these on. It is narrower than the crate, on
//! purpose: no quotes, escapes, continued lines or `key: value`, since such a text could be read in two ways.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::fault;

/// A section as written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Section {
    /// Where its header stands, counted from 1.
    pub line: usize,
    /// Its name, with single spaces between words.
    pub name: SmolStr,
    /// Its keys, in their order; none stands twice.
    pub pairs: Vec<Pair>,
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pair {
    /// Where it stands, counted from 1.
    pub line: usize,
    /// The key.
    pub key: SmolStr,
    /// The value without the space around it; it may be empty.
    pub value: SmolStr,
}

impl Section {
    /// The first word of its name.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.name.split(' ').next().unwrap_or_default()
    }

    /// The line of a key, or of the section when it isn't there.
    #[must_use]
    pub fn line_of(&self, key: &str) -> usize {
        self.pairs
            .iter()
            .find(|pair| pair.key == key)
            .map_or(self.line, |pair| pair.line)
    }
}

/// What one line is.
enum Line<'a> {
    Blank,
    Section(&'a str),
    Pair(&'a str, &'a str),
    Malformed,
}

/// Reads a text of at most `limit` bytes. Sections and keys that stand twice are faults; the first one is
/// kept.
///
/// # Errors
///
/// The one fault of a text that is too long, which is not read at all.
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
    // Some editors put a byte order mark in front.
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let (clean, sections) = locate(text, faults);
    let values = values(&clean, faults);
    Ok(without_doubles(filled(sections, values), faults))
}

/// Notes where sections and keys stand. Gives the text without malformed lines, and the sections with keys
/// that have no values yet.
fn locate(text: &str, faults: &mut fault::List) -> (String, Vec<Section>) {
    let mut clean = String::with_capacity(text.len());
    let mut sections: Vec<Section> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        match classify(line) {
            Line::Blank => {}
            Line::Section(name) => {
                let name = single_spaced(name);
                clean.push_str(&format!("[{name}]\n"));
                sections.push(Section {
                    line: number,
                    name,
                    pairs: Vec::new(),
                });
            }
            Line::Pair(key, value) => match sections.last_mut() {
                Some(section) => {
                    clean.push_str(&format!("{key} = {value}\n"));
                    section.pairs.push(Pair {
                        line: number,
                        key: SmolStr::new(key),
                        value: SmolStr::default(),
                    });
                }
                None => faults.push(outside(number, key)),
            },
            Line::Malformed => faults.push(malformed(number, line, sections.last())),
        }
    }
    (clean, sections)
}

fn classify(line: &str) -> Line<'_> {
    let line = line.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    // The crate takes these for the start of a continued line or for the end of one.
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

fn single_spaced(name: &str) -> SmolStr {
    let words: Vec<&str> = name.split_whitespace().collect();
    SmolStr::from(words.join(" "))
}

fn outside(line: usize, key: &str) -> fault::Fault {
    let rule = SmolStr::from("stands before the first [section]");
    fault::Fault::new(line, fault::Allowed::Rule(rule)).with_key(key)
}

fn malformed(line: usize, text: &str, section: Option<&Section>) -> fault::Fault {
    let what = SmolStr::from("`[section]`, `key = value` or a comment line");
    fault::Fault::new(line, fault::Allowed::Value(what))
        .with_section(
            section
                .map(|section| section.name.clone())
                .unwrap_or_default(),
        )
        .with_found(text.trim())
}

/// The values of a clean text, in the order of its keys.
fn values(clean: &str, faults: &mut fault::List) -> Vec<SmolStr> {
    let option = ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    match ini::Ini::load_from_str_opt(clean, option) {
        Ok(parsed) => parsed
            .iter()
            .flat_map(|(_, properties)| properties.iter())
            .map(|(_, value)| SmolStr::new(value))
            .collect(),
        Err(error) => {
            // Not expected of a clean text; refusing the text is right all the same.
            let rule = SmolStr::from(error.to_string());
            faults.push(fault::Fault::new(1, fault::Allowed::Rule(rule)));
            Vec::new()
        }
    }
}

fn filled(mut sections: Vec<Section>, values: Vec<SmolStr>) -> Vec<Section> {
    let pairs = sections
        .iter_mut()
        .flat_map(|section| section.pairs.iter_mut());
    for (pair, value) in pairs.zip(values) {
        pair.value = value;
    }
    sections
}

fn without_doubles(sections: Vec<Section>, faults: &mut fault::List) -> Vec<Section> {
    let mut seen: BTreeMap<SmolStr, usize> = BTreeMap::new();
    let mut kept = Vec::with_capacity(sections.len());
    for mut section in sections {
        drop_doubled_keys(&mut section, faults);
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

fn drop_doubled_keys(section: &mut Section, faults: &mut fault::List) {
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

/// The section of this name; one without keys when it was left out.
#[must_use]
pub fn find(sections: &[Section], name: &str) -> Section {
    let found = sections.iter().find(|section| section.name == name);
    found.cloned().unwrap_or_else(|| Section {
        line: 1,
        name: SmolStr::new(name),
        pairs: Vec::new(),
    })
}
