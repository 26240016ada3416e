//! `fireflywheel check`: reports every fault of a serving document.

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
    valid: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    counts: Option<Counts>,
    faults: Vec<file::Fault>,
}

/// The number of entries of each kind in a document.
#[derive(Clone, Copy, Serialize)]
struct Counts {
    groups: usize,
    models: usize,
    adapters: usize,
    routes: usize,
}

impl Counts {
    fn new(document: &document::Document) -> Self {
        let adapters = document.adapters.values();
        Self {
            groups: document.groups.len(),
            models: document.models.len(),
            adapters: adapters.map(std::collections::BTreeMap::len).sum(),
            routes: document.routes.len(),
        }
    }
}

/// Checks the document in a file.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn run(path: &Path, json: bool) -> anyhow::Result<Report> {
    let file = file::File::read(path)?;
    Ok(match file.document {
        Ok(document) => report_valid(path, Counts::new(&document), json),
        Err(faults) if json => Report::json(
            Exit::Faulty,
            &Output {
                valid: false,
                counts: None,
                faults: file::json(None, &faults),
            },
        ),
        Err(faults) => Report::new(Exit::Faulty, file::lines(path, &faults)),
    })
}

fn report_valid(path: &Path, counts: Counts, json: bool) -> Report {
    if json {
        let output = Output {
            valid: true,
            counts: Some(counts),
            faults: Vec::new(),
        };
        return Report::json(Exit::Done, &output);
    }
    let Counts {
        groups,
        models,
        adapters,
        routes,
    } = counts;
    let name = path.display();
    let text = format!(
        "{name}: valid; groups {groups}, models {models}, adapters {adapters}, routes {routes}"
    );
    Report::new(Exit::Done, text)
}
