//! Documents in files, and their faults as commands show them.

use std::{fs, io::Read as _, path::Path};

use anyhow::Context as _;
use fireflywheel::{document, fault};
use serde::Serialize;
use smol_str::SmolStr;

/// A file's text and the document in it.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The text as it stands in the file.
    pub text: String,
    /// What it says, or every fault.
    pub document: Result<document::Document, Vec<fault::Fault>>,
}

/// A fault in JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// The file, if there are several.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
    /// Counted from 1.
    pub line: usize,
    /// The section, empty outside of any.
    pub section: SmolStr,
    /// The key, empty when it is not about one.
    pub key: SmolStr,
    /// The whole fault in one line.
    pub message: String,
}

impl File {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// When it can't be read or isn't UTF-8. Faults of the document are no error.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let name = path.display();
        // One byte more than a document may have is enough for the parser to refuse it.
        let limit = u64::try_from(document::MAX_BYTES).unwrap_or(u64::MAX) + 1;
        let mut bytes = Vec::new();
        let file = fs::File::open(path).with_context(|| format!("open {name}"))?;
        file.take(limit)
            .read_to_end(&mut bytes)
            .with_context(|| format!("read {name}"))?;
        if bytes.len() > document::MAX_BYTES {
            // The cut may have split a character.
            bytes.fill(b'#');
        }
        let text = String::from_utf8(bytes).with_context(|| format!("{name} is not UTF-8"))?;
        let document = document::Document::parse(&text);
        Ok(Self { text, document })
    }
}

/// Faults, one a line, after the name of their file.
#[must_use]
pub fn lines(path: &Path, faults: &[fault::Fault]) -> String {
    let name = path.display();
    faults
        .iter()
        .map(|fault| format!("{name}: {fault}\n"))
        .collect()
}

/// Faults for JSON.
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
