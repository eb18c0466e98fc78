//! The list of tests that are known to fail, as `.ci/tests` holds it against a run.

use std::io::Write;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs the script over a list and a run that prints this and ends so.
fn judge(list: &str, run: &str, code: i32) -> Output {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("known-red-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("KNOWN-RED.txt");
    std::fs::File::create(&file).unwrap().write_all(list.as_bytes()).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests");
    let ran = Command::new("bash")
        .arg(script)
        .arg(&file)
        .args(["bash", "-c", &format!("cat <<'END'\n{run}\nEND\nexit {code}"), "run"])
        .output()
        .unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    ran
}

fn text(o: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&o.stdout), String::from_utf8_lossy(&o.stderr))
}

const RED: &str =
    "running 2 tests\ntest a::one ... FAILED\ntest a::two ... ok\ntest result: FAILED. 1 passed; 1 failed";
const GREEN: &str =
    "running 2 tests\ntest a::one ... ok\ntest a::two ... ok\ntest result: ok. 2 passed; 0 failed";
const LISTED: &str = "# words\n\na::one | a fault | issue 7\n";

#[test]
fn a_listed_failure_is_printed_and_passed_over() {
    let o = judge(LISTED, RED, 101);
    assert!(o.status.success(), "{}", text(&o));
    assert!(text(&o).contains("known red: a::one failed: a fault | issue 7"), "{}", text(&o));
}

#[test]
fn a_listed_test_that_passes_is_printed_as_such() {
    let o = judge(LISTED, GREEN, 0);
    assert!(o.status.success(), "{}", text(&o));
    assert!(text(&o).contains("known red: a::one passed: take it off"), "{}", text(&o));
}

#[test]
fn an_unlisted_failure_fails_also_beside_a_listed_one() {
    for list in ["", LISTED] {
        let run = RED.replace("a::two ... ok", "a::two ... FAILED");
        let o = judge(list, &run, 101);
        assert!(!o.status.success(), "{}", text(&o));
        assert!(text(&o).contains("failed: a::two"), "{}", text(&o));
    }
}

#[test]
fn a_listed_test_that_does_not_exist_fails() {
    let o = judge("a::three | a fault | issue 7\n", GREEN, 0);
    assert!(!o.status.success(), "{}", text(&o));
    assert!(text(&o).contains("a::three did not run"), "{}", text(&o));
}

#[test]
fn a_fourth_line_fails_and_three_do_not() {
    let line = |n: &str| format!("a::{n} | a fault | issue 7\n");
    let run = "running 4 tests\ntest a::one ... FAILED\ntest a::two ... FAILED\ntest a::three ... FAILED\n\
               test a::four ... FAILED\ntest result: FAILED.";
    let three: String = ["one", "two", "three"].map(line).concat();
    let o = judge(&three, &run.replace("a::four ... FAILED", "a::four ... ok"), 101);
    assert!(o.status.success(), "{}", text(&o));
    let o = judge(&(three + &line("four")), run, 101);
    assert!(!o.status.success(), "{}", text(&o));
}

#[test]
fn a_line_without_cause_or_issue_fails() {
    for list in ["a::one\n", "a::one | a fault\n", "a::one |  | issue 7\n"] {
        assert!(!judge(list, RED, 101).status.success(), "{list}");
    }
}

/// Danger: a program that is killed or a build that fails has no failed test to its name.
#[test]
fn a_run_that_ends_without_its_verdict_fails() {
    let o = judge(LISTED, "running 2 tests\ntest a::one ... FAILED", 101);
    assert!(!o.status.success(), "{}", text(&o));
    assert!(!judge("", "error: could not compile", 101).status.success());
    assert!(!judge("", "running 1 test\ntest a::one ... ok", 134).status.success());
    assert!(judge("", GREEN, 0).status.success());
}
