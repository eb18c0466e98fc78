//! Snapshot tests of diagnostics: the rendered errors and warnings of each file in `refused` and `warned`,
//! and the absence of warnings for each file in `quiet`.

use pearfork_match::{Rules, Severity};
use std::path::{Path, PathBuf};

fn files(folder: &str) -> Vec<(String, Vec<u8>)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(folder);
    let entries = std::fs::read_dir(&folder).expect("a folder of the corpus");
    let mut paths: Vec<PathBuf> = entries.map(|e| e.expect("an entry").path()).collect();
    paths.sort();
    assert!(!paths.is_empty());
    let name = |p: &Path| p.file_stem().expect("a name").to_string_lossy().into_owned();
    paths.iter().map(|p| (name(p), std::fs::read(p).expect("a file"))).collect()
}

#[test]
fn rejected_files_are_reported_with_span_and_help() {
    for (name, text) in files("refused") {
        let diagnostics = Rules::compile(&text).expect_err(&name);
        insta::assert_snapshot!(
            format!("refused-{name}"),
            diagnostics.render("a.rules", &text, Severity::Error)
        );
    }
    assert!(Rules::compile(b"\xff\xfe").unwrap_err().0[0].message.contains("UTF-8"));
}

#[test]
fn rows_that_never_match_are_reported_with_the_covering_rows() {
    for (name, text) in files("warned") {
        let rules =
            Rules::compile(&text).unwrap_or_else(|e| panic!("{}", e.render(&name, &text, Severity::Error)));
        let warnings = rules.warnings();
        assert!(!warnings.0.is_empty(), "{name}");
        insta::assert_snapshot!(
            format!("warned-{name}"),
            warnings.render("a.rules", &text, Severity::Warning)
        );
    }
}

#[test]
fn rows_that_may_match_cause_no_warnings() {
    for (name, text) in files("quiet") {
        let rules =
            Rules::compile(&text).unwrap_or_else(|e| panic!("{}", e.render(&name, &text, Severity::Error)));
        assert!(rules.warnings().0.is_empty(), "{name}: {:?}", rules.warnings());
    }
}
