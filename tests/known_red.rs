//! The list of tests that are known to fail, and how `.ci/tests` compares it with a test run.

use std::io::Write;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs the script with a list, on a test run that prints `run` and exits with `code`.
fn run_script(list: &str, run: &str, code: i32) -> Output {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let directory = std::env::temp_dir().join(format!("known-red-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("KNOWN-RED.txt");
    std::fs::File::create(&file).unwrap().write_all(list.as_bytes()).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests");
    let output = Command::new("bash")
        .arg(script)
        .arg(&file)
        .args(["bash", "-c", &format!("cat <<'END'\n{run}\nEND\nexit {code}"), "run"])
        .output()
        .unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    output
}

fn output_text(o: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&o.stdout), String::from_utf8_lossy(&o.stderr))
}

const FAILING_RUN: &str =
    "running 2 tests\ntest a::one ... FAILED\ntest a::two ... ok\ntest result: FAILED. 1 passed; 1 failed";
const PASSING_RUN: &str =
    "running 2 tests\ntest a::one ... ok\ntest a::two ... ok\ntest result: ok. 2 passed; 0 failed";
const KNOWN_LIST: &str = "# words\n\na::one | cargo test one, seed 3 | two answers | issue 7\n";

#[test]
fn a_listed_failure_is_printed_and_accepted() {
    let o = run_script(KNOWN_LIST, FAILING_RUN, 101);
    assert!(o.status.success(), "{}", output_text(&o));
    assert!(
        output_text(&o).contains("known red: a::one failed: two answers | cargo test one, seed 3 | issue 7"),
        "{}",
        output_text(&o)
    );
}

#[test]
fn a_listed_test_that_passes_is_printed_as_such() {
    let o = run_script(KNOWN_LIST, PASSING_RUN, 0);
    assert!(o.status.success(), "{}", output_text(&o));
    assert!(output_text(&o).contains("known red: a::one passed: take it off"), "{}", output_text(&o));
}

#[test]
fn an_unlisted_failure_fails_also_beside_a_listed_one() {
    for list in ["", KNOWN_LIST] {
        let run = FAILING_RUN.replace("a::two ... ok", "a::two ... FAILED");
        let o = run_script(list, &run, 101);
        assert!(!o.status.success(), "{}", output_text(&o));
        assert!(output_text(&o).contains("failed: a::two"), "{}", output_text(&o));
    }
}

#[test]
fn a_listed_test_that_does_not_exist_fails() {
    let o = run_script("a::three | cargo test three | two answers | issue 7\n", PASSING_RUN, 0);
    assert!(!o.status.success(), "{}", output_text(&o));
    assert!(output_text(&o).contains("a::three did not run"), "{}", output_text(&o));
}

#[test]
fn each_listed_failure_is_accepted_and_no_other() {
    let entry = |n: &str| format!("a::{n} | cargo test {n} | two answers | issue 7\n");
    let run = "running 4 tests\ntest a::one ... FAILED\ntest a::two ... FAILED\ntest a::three ... FAILED\n\
               test a::four ... FAILED\ntest result: FAILED.";
    let three: String = ["one", "two", "three"].map(entry).concat();
    assert!(!run_script(&three, run, 101).status.success(), "the fourth is not listed");
    let o = run_script(&(three + &entry("four")), run, 101);
    assert!(o.status.success(), "{}", output_text(&o));
}

#[test]
fn an_entry_without_its_four_parts_fails() {
    let entries = [
        "a::one",
        "a::one | cargo test one",
        "a::one | cargo test one | two answers",
        "a::one | cargo test one | | issue 7",
        "a::one | | two answers | issue 7",
        "a::one | cargo test one | two answers | issue 7 | more",
        " | cargo test one | two answers | issue 7",
    ];
    for entry in entries {
        assert!(!run_script(&format!("{entry}\n"), FAILING_RUN, 101).status.success(), "{entry}");
    }
}

#[test]
fn an_entry_whose_command_issue_or_name_does_not_lead_to_the_test_fails() {
    for entry in
        ["a::one | cargo test other | two answers | issue 7", "a::one | cargo test one | two answers | soon"]
    {
        assert!(!run_script(&format!("{entry}\n"), FAILING_RUN, 101).status.success(), "{entry}");
    }
    let twice = KNOWN_LIST.repeat(2);
    assert!(!run_script(&twice, FAILING_RUN, 101).status.success());
}

/// A program that is killed, or a build that fails, names no failed test.
#[test]
fn a_run_that_ends_without_a_result_fails() {
    let o = run_script(KNOWN_LIST, "running 2 tests\ntest a::one ... FAILED", 101);
    assert!(!o.status.success(), "{}", output_text(&o));
    assert!(!run_script("", "error: could not compile", 101).status.success());
    assert!(!run_script("", "running 1 test\ntest a::one ... ok", 134).status.success());
    assert!(run_script("", PASSING_RUN, 0).status.success());
}
