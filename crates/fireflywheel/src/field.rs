//! Reader of the values of one section of an INI text, key by key.
//!
//! An invalid value is recorded as a fault and replaced by a fallback, so that reading continues and every
//! fault of the text is found.

use std::{net::SocketAddr, ops::RangeInclusive, str::FromStr, time::Duration};

use smol_str::SmolStr;

use crate::{fault, ini_text};

/// Maximum length of a name, in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// Description of a valid name, for fault messages.
pub const NAME_RULE: &str = "a name of 1 to 64 letters, digits, `-`, `_` and `.`";

/// Maximum length of a URL, in characters.
pub const MAX_URL_CHARS: usize = 512;

/// Description of the URLs that [`parse_url`] accepts, for fault messages.
pub const URL_RULE: &str =
    "an address such as `http://10.0.0.5:7000`, without user, query or fragment";

/// Explanation for the rejection of an `https:` URL, for fault messages.
pub const HTTPS_RULE: &str = "an `http://` address: https is not supported yet";

/// A keyword that a key accepts, with its value.
pub type Keyword<T> = (&'static str, T);

/// Reader of the keys of one section.
pub struct Reader<'a> {
    section: &'a ini_text::Section,
    faults: &'a mut fault::List,
    known_keys: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of this section; faults are added to the list.
    #[must_use]
    pub fn new(section: &'a ini_text::Section, faults: &'a mut fault::List) -> Self {
        Self {
            section,
            faults,
            known_keys: Vec::new(),
        }
    }

    /// Returns the value of an optional key, and marks the key as known.
    pub fn text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        let pair = self.section.pairs.iter().find(|pair| pair.key == key)?;
        Some(pair.value.as_str())
    }

    /// Reads an optional value with `read`. `expected` describes the valid values.
    pub fn optional<F, T>(&mut self, key: &'static str, expected: &str, read: F) -> Option<T>
    where
        F: FnOnce(&str) -> Option<T>,
    {
        let text = self.text(key)?;
        let value = read(text);
        if value.is_none() {
            self.report_invalid(key, text, expected);
        }
        value
    }

    /// Reads a required value with `read`; returns the fallback after a fault.
    pub fn required<F, T>(&mut self, key: &'static str, expected: &str, fallback: T, read: F) -> T
    where
        F: FnOnce(&str) -> Option<T>,
    {
        if !self.contains(key) {
            self.report_missing(key, expected);
        }
        self.optional(key, expected, read).unwrap_or(fallback)
    }

    /// Reads an optional whole number.
    pub fn optional_integer<T>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        let expected = integer_rule(&range);
        self.optional(key, &expected, |text| parse_integer(text, &range))
    }

    /// Reads a required whole number.
    pub fn integer<T>(&mut self, key: &'static str, range: RangeInclusive<u64>, fallback: T) -> T
    where
        T: TryFrom<u64>,
    {
        let expected = integer_rule(&range);
        self.required(key, &expected, fallback, |text| parse_integer(text, &range))
    }

    /// Reads an optional duration in milliseconds.
    pub fn optional_millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.optional_integer(key, range).map(Duration::from_millis)
    }

    /// Reads an optional duration in seconds.
    pub fn optional_seconds(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        self.optional_integer(key, range).map(Duration::from_secs)
    }

    /// Reads an optional number, which may have a fraction.
    pub fn optional_number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.optional(key, &expected, |text| {
            let number: f64 = text.parse().ok()?;
            range.contains(&number).then_some(number)
        })
    }

    /// Reads an optional keyword.
    pub fn optional_keyword<T>(&mut self, key: &'static str, keywords: &[Keyword<T>]) -> Option<T>
    where
        T: Copy,
    {
        let expected = keyword_rule(keywords);
        self.optional(key, &expected, |text| parse_keyword(text, keywords))
    }

    /// Reads a required keyword.
    pub fn keyword<T>(&mut self, key: &'static str, keywords: &[Keyword<T>], fallback: T) -> T
    where
        T: Copy,
    {
        let expected = keyword_rule(keywords);
        self.required(key, &expected, fallback, |text| {
            parse_keyword(text, keywords)
        })
    }

    /// Reads a required name; returns an empty name after a fault.
    pub fn name(&mut self, key: &'static str) -> SmolStr {
        self.required(key, NAME_RULE, SmolStr::default(), parse_name)
    }

    /// Reads an optional address `IP:PORT`.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.optional(key, "an address `IP:PORT`", parse)
    }

    /// Reads an optional list of values separated by commas, each with `read`. An empty value is an empty
    /// list.
    pub fn optional_list<F, T>(
        &mut self,
        key: &'static str,
        expected: &str,
        mut read: F,
    ) -> Option<Vec<T>>
    where
        F: FnMut(&str) -> Option<T>,
    {
        let text = self.text(key)?;
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim) {
            if text.is_empty() {
                break;
            }
            match read(part) {
                Some(value) => values.push(value),
                None => self.report_invalid(key, part, expected),
            }
        }
        Some(values)
    }

    /// Adds a fault with the reason if the key is present.
    pub fn forbid(&mut self, key: &'static str, rule: &str) {
        if self.text(key).is_some() {
            self.rule(key, rule);
        }
    }

    /// Adds a fault about a key's relation to other keys.
    pub fn rule(&mut self, key: &'static str, rule: &str) {
        let fault = self.new_fault(key, fault::Allowed::Rule(rule.into()));
        self.faults.push(fault);
    }

    /// Adds a fault for each key that was not read. Must be called last.
    pub fn finish(self) {
        for pair in &self.section.pairs {
            if self.known_keys.contains(&pair.key.as_str()) {
                continue;
            }
            let allowed = fault::Allowed::Known {
                noun: SmolStr::from("key"),
                nearest: self
                    .faults
                    .suggest(&pair.key, self.known_keys.iter().copied()),
            };
            self.faults.push(
                fault::Fault::new(pair.line, allowed)
                    .with_section(self.section.name.clone())
                    .with_found(&pair.key),
            );
        }
    }

    fn contains(&self, key: &str) -> bool {
        self.section.pairs.iter().any(|pair| pair.key == key)
    }

    fn report_invalid(&mut self, key: &'static str, found: &str, expected: &str) {
        let fault = self.new_fault(key, fault::Allowed::Value(expected.into()));
        self.faults.push(fault.with_found(found));
    }

    fn report_missing(&mut self, key: &'static str, expected: &str) {
        let fault = self.new_fault(key, fault::Allowed::Needed(expected.into()));
        self.faults.push(fault);
    }

    fn new_fault(&self, key: &'static str, allowed: fault::Allowed) -> fault::Fault {
        fault::Fault::new(self.section.line_of(key), allowed)
            .with_section(self.section.name.clone())
            .with_key(key)
    }
}

/// Parses a name that follows [`NAME_RULE`].
#[must_use]
pub fn parse_name(text: &str) -> Option<SmolStr> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_CHARS && text.chars().all(allowed);
    is_valid.then(|| SmolStr::new(text))
}

/// Parses the URL of a service, and removes a trailing `/`; see [`URL_RULE`].
#[must_use]
pub fn parse_url(text: &str) -> Option<SmolStr> {
    let url = text.trim_end_matches('/');
    let rest = url.strip_prefix("http://")?;
    let authority = rest.split('/').next()?;
    let (host, port) = authority.rsplit_once(':').unwrap_or((authority, "80"));
    // A user part is rejected, since it would expose a password in logs.
    let allowed = |c: char| c.is_ascii_graphic() && !"@?#\\\"<>^`{|}".contains(c);
    let is_valid = url.len() <= MAX_URL_CHARS
        && !host.is_empty()
        && port.parse::<u16>().is_ok_and(|port| port > 0)
        && rest.chars().all(allowed);
    is_valid.then(|| SmolStr::new(url))
}

/// Parses a value with [`FromStr`].
#[must_use]
pub fn parse<T>(text: &str) -> Option<T>
where
    T: FromStr,
{
    text.parse().ok()
}

/// Formats a number with commas between thousands.
#[must_use]
pub fn format_grouped(number: u64) -> String {
    let digits = number.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Parses a whole number in decimal digits within the range.
#[must_use]
pub fn parse_integer<T>(text: &str, range: &RangeInclusive<u64>) -> Option<T>
where
    T: TryFrom<u64>,
{
    // `u64::from_str` would accept a leading `+`.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number = text.parse().ok()?;
    if !range.contains(&number) {
        return None;
    }
    T::try_from(number).ok()
}

fn integer_rule(range: &RangeInclusive<u64>) -> String {
    let from = format_grouped(*range.start());
    let to = format_grouped(*range.end());
    format!("a whole number from {from} to {to}")
}

fn parse_keyword<T>(text: &str, keywords: &[Keyword<T>]) -> Option<T>
where
    T: Copy,
{
    keywords
        .iter()
        .find(|(keyword, _)| *keyword == text)
        .map(|(_, value)| *value)
}

fn keyword_rule<T>(keywords: &[Keyword<T>]) -> String {
    let quoted: Vec<String> = keywords
        .iter()
        .map(|(keyword, _)| format!("`{keyword}`"))
        .collect();
    format!("one of {}", quoted.join(", "))
}
