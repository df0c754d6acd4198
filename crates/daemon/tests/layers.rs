//! Checks that imports have no cycles: neither between the modules of a package nor between packages.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The names that each module or package imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

fn packages() -> Vec<PathBuf> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let all = std::fs::read_dir(crates).expect("the folder is readable").flatten().map(|e| e.path());
    all.filter(|p| p.join("Cargo.toml").exists()).collect()
}

/// Returns the imports that remain after repeatedly removing each name without imports: those in or before a
/// cycle.
fn cycles(mut imports: Imports) -> Imports {
    while let Some(name) = imports.iter().find(|(_, uses)| uses.is_empty()).map(|(n, _)| n.clone()) {
        imports.remove(&name);
        imports.values_mut().for_each(|uses| {
            uses.remove(&name);
        });
    }
    let names: BTreeSet<String> = imports.keys().cloned().collect();
    imports.retain(|_, uses| uses.iter().any(|u| names.contains(u)));
    imports
}

/// Returns the imports between the files of a module group: a folder whose own file only declares them.
fn imports_within(group: &Path) -> Imports {
    let name = group.file_name().and_then(|n| n.to_str()).expect("the file name is UTF-8");
    let mut imports = modules(group);
    for (file, uses) in &mut imports {
        let text = std::fs::read_to_string(group.join(format!("{file}.rs"))).expect("the file is readable");
        let text = text.split("#[cfg(test)]").next().unwrap_or_default();
        let path = format!("crate::{name}::");
        let words = text.split(&path).skip(1).map(|rest| {
            rest.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '_').collect::<String>()
        });
        *uses = words.filter(|w| w != file).collect();
    }
    let names: BTreeSet<String> = imports.keys().cloned().collect();
    imports.values_mut().for_each(|uses| uses.retain(|u| names.contains(u)));
    imports
}

/// Returns whether a folder is a module group.
fn is_group(folder: &Path) -> bool {
    let text = std::fs::read_to_string(folder.with_extension("rs")).unwrap_or_default();
    let mut code = text.lines().filter(|l| !l.is_empty() && !l.starts_with("//")).peekable();
    code.peek().is_some() && code.all(|l| l.starts_with("pub mod "))
}

/// Returns the imports between the modules of a package. Files in a folder belong to the module of that name.
fn modules(folder: &Path) -> Imports {
    let mut imports = Imports::new();
    let mut folders = vec![(folder.to_owned(), None::<String>)];
    while let Some((folder, module)) = folders.pop() {
        for path in std::fs::read_dir(folder).expect("the folder is readable").flatten().map(|e| e.path()) {
            let stem = path.file_stem().and_then(|n| n.to_str()).expect("the file name is UTF-8").to_owned();
            let name = module.clone().unwrap_or(stem);
            if path.is_dir() {
                folders.push((path, Some(name)));
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("the file is readable");
            // Imports of tests do not count.
            let text = text.split("#[cfg(test)]").next().unwrap_or_default();
            let words = text.split("crate::").skip(1).map(|rest| {
                rest.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '_').collect::<String>()
            });
            let uses = imports.entry(name.clone()).or_default();
            uses.extend(words.filter(|w| *w != name));
        }
    }
    // The root file of a package does not count.
    imports.remove("lib");
    imports.remove("main");
    let names: BTreeSet<String> = imports.keys().cloned().collect();
    imports.values_mut().for_each(|uses| uses.retain(|u| names.contains(u)));
    imports
}

#[test]
fn files_of_a_package_have_no_import_cycles() {
    let (mut files, mut groups) = (0, 0);
    for package in packages() {
        // The policy is one module in several files, each with a part of its `impl`.
        if package.ends_with("policy") || package.ends_with("simhost") {
            continue;
        }
        let imports = modules(&package.join("src"));
        files += imports.len();
        let left = cycles(imports);
        assert!(left.is_empty(), "{}: a cycle among {left:?}", package.display());
        let folders = std::fs::read_dir(package.join("src"))
            .expect("the folder is readable")
            .flatten()
            .map(|e| e.path());
        for group in folders.filter(|f| f.is_dir() && is_group(f)) {
            let imports = imports_within(&group);
            (files, groups) = (files + imports.len() - 1, groups + 1);
            let left = cycles(imports);
            assert!(left.is_empty(), "{}: a cycle among {left:?}", group.display());
        }
    }
    assert!(files > 40 && groups >= 6, "{files} files, {groups} groups");
    let daemon = modules(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(daemon["calls"].contains("state"), "{daemon:?}");
}

#[test]
fn decision_packages_import_no_store_and_no_sockets() {
    let mut uses = Imports::new();
    for package in packages() {
        let text = std::fs::read_to_string(package.join("Cargo.toml")).expect("the file is readable");
        let name = text
            .lines()
            .find_map(|l| l.strip_prefix("name = "))
            .expect("the manifest has a name")
            .trim_matches('"')
            .to_owned();
        let dependencies = text.split("[dev-dependencies]").next().unwrap_or_default();
        let found =
            dependencies.lines().filter_map(|l| l.split_once(".workspace").map(|(n, _)| n.trim().to_owned()));
        uses.insert(name, found.collect());
    }
    for decides in ["notchpoint-policy", "notchpoint-emulator", "notchpoint-copies"] {
        for outside in ["tokio", "hyper", "socket2", "notchpoint-seam", "notchpoint", "tracing"] {
            assert!(!uses[decides].contains(outside), "{decides} uses {outside}");
        }
    }
    let names: BTreeSet<String> = uses.keys().cloned().collect();
    uses.values_mut().for_each(|u| u.retain(|n| names.contains(n)));
    let left = cycles(uses);
    assert!(left.is_empty(), "a cycle among {left:?}");
}
