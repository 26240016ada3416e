//! Checks that the documentation names only tests that exist.

use std::{collections::BTreeSet, fs, path::Path};

/// Appends the text of all Rust files below a folder.
fn append_rust_files(folder: &Path, text: &mut String) {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    for entry in entries {
        let path = entry.path();
        if path.is_dir() {
            append_rust_files(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

/// Returns the names in backticks that are names of tests: lower-case words joined by at least two underscores, with an
/// optional star at the end.
fn quoted_test_names(page: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let names = quoted.filter(|name| {
        let plain = name.trim_end_matches('*');
        let is_identifier = plain
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
        is_identifier && plain.matches('_').count() >= 2
    });
    names.map(String::from).collect()
}

/// A test is renamed or removed, but the page still names it as the evidence for a promise.
#[test]
fn every_test_that_promises_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/PROMISES.md")).expect("the page exists");
    let mut text = String::new();
    for entry in fs::read_dir(root.join("crates"))
        .expect("the crates exist")
        .flatten()
    {
        append_rust_files(&entry.path().join("tests"), &mut text);
    }
    append_rust_files(&root.join("platform/tests"), &mut text);
    let names = quoted_test_names(&page);
    assert!(names.len() > 20, "the page names its tests");
    let missing = names
        .iter()
        .filter(|name| !text.contains(name.trim_end_matches('*')));
    let missing: Vec<_> = missing.collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}
