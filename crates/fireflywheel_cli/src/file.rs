//! Reads documents from files and formats their faults.

use std::{fs, io::Read as _, path::Path};

use anyhow::Context as _;
use fireflywheel::{document, fault};
use serde::Serialize;
use smol_str::SmolStr;

/// The text of a file and the document parsed from it.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The text of the file, unchanged.
    pub text: String,
    /// The parsed document, or all of its faults.
    pub document: Result<document::Document, Vec<fault::Fault>>,
}

/// A fault in the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// The name of the file, if the command reads several.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
    /// The number of the line, starting from 1.
    pub line: usize,
    /// The name of the section, empty outside all sections.
    pub section: SmolStr,
    /// The name of the key, empty if the fault does not concern a key.
    pub key: SmolStr,
    /// The full description of the fault, in one line.
    pub message: String,
}

impl File {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or isn't UTF-8. Faults in the document are not an error.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let name = path.display();
        // One byte more than the size limit of a document is enough for the parser to refuse it.
        let limit = u64::try_from(document::MAX_BYTES).unwrap_or(u64::MAX) + 1;
        let mut bytes = Vec::new();
        let file = fs::File::open(path).with_context(|| format!("open {name}"))?;
        file.take(limit)
            .read_to_end(&mut bytes)
            .with_context(|| format!("read {name}"))?;
        if bytes.len() > document::MAX_BYTES {
            // The truncation may have split a character, which would hide the real fault behind a UTF-8
            // error.
            bytes.fill(b'#');
        }
        let text = String::from_utf8(bytes).with_context(|| format!("{name} is not UTF-8"))?;
        let document = document::Document::parse(&text);
        Ok(Self { text, document })
    }
}

/// Formats faults one per line, each after the name of the file.
#[must_use]
pub fn lines(path: &Path, faults: &[fault::Fault]) -> String {
    let name = path.display();
    faults
        .iter()
        .map(|fault| format!("{name}: {fault}\n"))
        .collect()
}

/// Converts faults for the JSON output.
#[must_use]
pub fn json(path: Option<&Path>, faults: &[fault::Fault]) -> Vec<Fault> {
    let file = path.map(|path| path.display().to_string());
    faults
        .iter()
        .map(|fault| Fault {
            file: file.clone(),
            line: fault.line,
            section: fault.section.clone(),
            key: fault.key.clone(),
            message: fault.to_string(),
        })
        .collect()
}
