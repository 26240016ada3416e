//! The pages name only tests that exist.

use std::{collections::BTreeSet, fs, path::Path};

/// All text of the test files below a folder.
fn test_text(folder: &Path, text: &mut String) {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    for entry in entries {
        let path = entry.path();
        if path.is_dir() {
            test_text(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

/// Names in backticks that can only be tests: words joined by underscores, perhaps with a star at the end.
fn names(page: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let words = quoted.filter(|name| {
        let plain = name.trim_end_matches('*');
        let letters = plain
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
        letters && plain.matches('_').count() >= 2
    });
    words.map(String::from).collect()
}

/// A test is renamed or taken out, and the page goes on naming it as the proof of a promise.
#[test]
fn every_test_that_promises_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/PROMISES.md")).expect("the page is there");
    let mut text = String::new();
    for entry in fs::read_dir(root.join("crates"))
        .expect("the crates are there")
        .flatten()
    {
        test_text(&entry.path().join("tests"), &mut text);
    }
    test_text(&root.join("platform/tests"), &mut text);
    let names = names(&page);
    assert!(names.len() > 20, "the page names its tests");
    let missing = names
        .iter()
        .filter(|name| !text.contains(name.trim_end_matches('*')));
    let missing: Vec<_> = missing.collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}
