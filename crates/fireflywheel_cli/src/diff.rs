//! `fireflywheel diff`: shows the changes between two documents and warns of their effects.

use std::path::Path;

use fireflywheel::document;
use serde::Serialize;

use crate::{
    file,
    report::{Exit, Report},
};

/// The JSON output.
#[derive(Serialize)]
struct Output {
    changes: Vec<Change>,
    warnings: Vec<String>,
    faults: Vec<file::Fault>,
}

/// A change in the JSON output.
#[derive(Serialize)]
struct Change {
    kind: Kind,
    section: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<String>,
}

/// The kind of a change.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Added,
    Removed,
    Set,
}

/// Compares the documents in two files.
///
/// # Errors
///
/// Returns an error if one of the files can't be read.
pub fn run(old: &Path, new: &Path, json: bool) -> anyhow::Result<Report> {
    let old_file = file::File::read(old)?;
    let new_file = file::File::read(new)?;
    Ok(match (old_file.document, new_file.document) {
        (Ok(old), Ok(new)) if json => Report::json(Exit::Done, &compare(&old, &new)),
        (Ok(old), Ok(new)) => Report::new(Exit::Done, lines(&old, &new)),
        (old_result, new_result) => {
            let old_faults = old_result.err().unwrap_or_default();
            let new_faults = new_result.err().unwrap_or_default();
            if json {
                let mut faults = file::json(Some(old), &old_faults);
                faults.extend(file::json(Some(new), &new_faults));
                Report::json(Exit::Faulty, &faulty_output(faults))
            } else {
                let text = file::lines(old, &old_faults) + &file::lines(new, &new_faults);
                Report::new(Exit::Faulty, text)
            }
        }
    })
}

/// Formats changes and warnings, one per line.
#[must_use]
pub fn lines(old: &document::Document, new: &document::Document) -> String {
    let changes = document::diff(old, new);
    if changes.is_empty() {
        return "no changes\n".to_owned();
    }
    let warnings = document::warnings(old, new);
    let changes = changes.iter().map(|change| format!("{change}\n"));
    let warnings = warnings
        .iter()
        .map(|warning| format!("warning: {warning}\n"));
    changes.chain(warnings).collect()
}

fn compare(old: &document::Document, new: &document::Document) -> Output {
    let changes = document::diff(old, new);
    let warnings = document::warnings(old, new);
    Output {
        changes: changes.iter().map(convert_change).collect(),
        warnings: warnings.iter().map(ToString::to_string).collect(),
        faults: Vec::new(),
    }
}

fn faulty_output(faults: Vec<file::Fault>) -> Output {
    Output {
        changes: Vec::new(),
        warnings: Vec::new(),
        faults,
    }
}

fn convert_change(change: &document::Change) -> Change {
    let section = change.section().to_string();
    let whole_section = |kind| Change {
        kind,
        section: section.clone(),
        key: None,
        from: None,
        to: None,
    };
    match change {
        document::Change::Added(_) => whole_section(Kind::Added),
        document::Change::Removed(_) => whole_section(Kind::Removed),
        document::Change::Set { key, from, to, .. } => Change {
            key: Some(key),
            from: from.as_ref().map(ToString::to_string),
            to: to.as_ref().map(ToString::to_string),
            ..whole_section(Kind::Set)
        },
    }
}
