//! Checks that documentation pages refer to existing files, and that the on-call page lists each warning, error and
//! metric.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders of `docs/` whose pages are historical records, which keep outdated names.
const RECORDS: [&str; 2] = ["incidents", "measured"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the repository root exists")
}

/// Returns all files below a folder whose names end with `ending`, sorted.
fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let entries = fs::read_dir(folder).expect("the folder is readable");
    for entry in entries {
        let path = entry.expect("the directory entry is readable").path();
        if path.is_dir() {
            files.extend(files_below(&path, ending));
        } else if path.to_string_lossy().ends_with(ending) {
            files.push(path);
        }
    }
    files.sort();
    files
}

/// Returns the pages that must match the current code.
fn pages() -> Vec<PathBuf> {
    let root = root();
    let is_record = |page: &PathBuf| {
        RECORDS
            .iter()
            .any(|r| page.starts_with(root.join("docs").join(r)))
    };
    let mut pages = files_below(&root.join("docs"), ".md");
    pages.retain(|page| !is_record(page));
    pages.extend([root.join("README.md"), root.join("CONTRIBUTING.md")]);
    pages
}

/// Returns the words of a text that look like paths of Rust files.
fn rust_paths(text: &str) -> BTreeSet<String> {
    let is_part_of_path = |c: char| c.is_ascii_alphanumeric() || "/_-.".contains(c);
    let words = text.split(|c: char| !is_part_of_path(c));
    words
        .filter(|word| word.contains('/') && word.ends_with(".rs"))
        .map(str::to_owned)
        .collect()
}

/// Returns the files that a path in a page may refer to: relative to the root, or `fleet/...` for
/// `crates/sparrouter-fleet/src/...`.
fn candidates(path: &str) -> Vec<PathBuf> {
    let root = root();
    let (package, rest) = path.split_once('/').unwrap_or((path, ""));
    vec![
        root.join(path),
        root.join("crates").join(path),
        root.join(format!("crates/sparrouter-{package}/src/{rest}")),
        root.join(format!("crates/sparrouter-{package}/{rest}")),
    ]
}

#[test]
fn given_documentation_pages_when_checked_then_every_rust_file_named_exists() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("the page is readable");
        for path in rust_paths(&text) {
            if !candidates(&path)
                .iter()
                .any(|candidate| candidate.is_file())
            {
                missing.push(format!("{}: {path}", page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

/// Returns the link targets of a page, except links to other hosts and to headings of the same page.
fn link_targets(text: &str) -> Vec<String> {
    let fragments = text.split("](").skip(1);
    let targets = fragments.filter_map(|rest| rest.split_once(')').map(|(target, _)| target));
    targets
        .filter(|target| !target.contains("://"))
        .filter_map(|target| target.split('#').next())
        .filter(|target| !target.is_empty())
        .map(str::to_owned)
        .collect()
}

#[test]
fn given_documentation_pages_when_checked_then_every_link_target_exists() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("the page is readable");
        let folder = page.parent().expect("the folder is readable");
        for target in link_targets(&text) {
            if !folder.join(&target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Returns the string literals that directly follow a marker in source text. Of each literal it returns the longest part
/// without a formatting argument.
fn literals_after(source: &str, marker: &str) -> Vec<String> {
    let fragments = source.split(marker).skip(1);
    let literals = fragments.filter_map(|rest| {
        let rest = rest.trim_start_matches("&format!(").trim_start();
        let literal = rest.strip_prefix('"')?.split('"').next()?;
        let fixed = literal.split(['{', '}']).max_by_key(|part| part.len())?;
        Some(fixed.trim_matches([' ', ':', ',']).to_owned())
    });
    literals
        .filter(|literal| literal.contains(' ') || literal.contains('_'))
        .collect()
}

/// Returns whether a page contains the first 24 characters of a text.
fn is_quoted(page: &str, text: &str) -> bool {
    let beginning: String = text.chars().take(24).collect();
    page.contains(beginning.trim_end())
}

fn on_call_page() -> String {
    fs::read_to_string(root().join("docs/on-call.md")).expect("the on-call page is readable")
}

#[test]
fn given_warnings_and_errors_of_both_programs_when_checked_then_the_on_call_page_lists_each() {
    let page = on_call_page();
    let markers = ["log::warn!(", "log::error!(", "report_violation("];
    let mut missing = Vec::new();
    let mut count = 0;
    for package in ["sparrouter-fleet", "sparrouter-node"] {
        for file in files_below(&root().join("crates").join(package).join("src"), ".rs") {
            let source = fs::read_to_string(&file).expect("the source file is readable");
            for marker in markers {
                let literals = literals_after(&source, marker);
                count += literals.len();
                let absent = literals
                    .into_iter()
                    .filter(|literal| !is_quoted(&page, literal));
                missing.extend(absent.map(|literal| format!("{}: {literal}", file.display())));
            }
        }
    }
    assert!(count >= 15, "only {count} log lines were found");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn given_the_metrics_of_the_fleet_when_checked_then_the_on_call_page_lists_each() {
    let page = on_call_page();
    let source = root().join("crates/sparrouter-fleet/src/api/metrics.rs");
    let source = fs::read_to_string(source).expect("the metrics source is readable");
    let markers = ["page.line(", "page.flag(", " line("];
    let names: BTreeSet<String> = markers
        .iter()
        .flat_map(|marker| literals_after(&source, marker))
        .collect();
    assert!(names.len() >= 25, "only {names:?} were found");
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
