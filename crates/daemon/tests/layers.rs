//! The files of the daemon import one another one way only.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

#[test]
fn no_file_of_the_daemon_imports_one_that_imports_it() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut imports: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for file in std::fs::read_dir(folder).expect("a folder").flatten() {
        let name = file.path().file_stem().and_then(|n| n.to_str()).expect("a name").to_owned();
        let text = std::fs::read_to_string(file.path()).expect("a file");
        // What only tests import is no layer.
        let text = text.split("#[cfg(test)]").next().unwrap_or_default();
        let words = text.split("crate::").skip(1).map(|rest| {
            rest.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '_').collect::<String>()
        });
        imports.insert(name, words.collect());
    }
    assert!(imports.len() > 10 && imports["calls"].contains("journal"), "{imports:?}");
    // Files that import nothing that is left go, until none are left, or only circles.
    while let Some(name) = imports.iter().find(|(_, uses)| uses.is_empty()).map(|(n, _)| n.clone()) {
        imports.remove(&name);
        imports.values_mut().for_each(|uses| {
            uses.remove(&name);
        });
    }
    let names: BTreeSet<String> = imports.keys().cloned().collect();
    let circles: Vec<_> = imports.iter().filter(|(_, uses)| uses.iter().any(|u| names.contains(u))).collect();
    assert!(circles.is_empty(), "a circle among {circles:?}");
}
