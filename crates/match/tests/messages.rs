//! What operators are told, to the letter: each file of `refused` and `warned` against its snapshot.

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
fn refused_files_say_what_is_wrong_where_and_what_would_be_right() {
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
fn rows_that_never_match_are_told_with_the_rows_before_them() {
    for (name, text) in files("warned") {
        let rules =
            Rules::compile(&text).unwrap_or_else(|e| panic!("{}", e.render(&name, &text, Severity::Error)));
        let told = rules.warnings();
        assert!(!told.0.is_empty(), "{name}");
        insta::assert_snapshot!(format!("warned-{name}"), told.render("a.rules", &text, Severity::Warning));
    }
}

#[test]
fn rows_that_may_match_are_not_warned_of() {
    for (name, text) in files("quiet") {
        let rules =
            Rules::compile(&text).unwrap_or_else(|e| panic!("{}", e.render(&name, &text, Severity::Error)));
        assert!(rules.warnings().0.is_empty(), "{name}: {:?}", rules.warnings());
    }
}
