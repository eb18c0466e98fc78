//! The `pearfork` program.

use std::process::Command;

fn pearfork(arguments: &[&str]) -> (i32, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_pearfork")).args(arguments).output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn it_lists_the_programs_and_runs_nothing_else() {
    let (code, usage, _) = pearfork(&["--help"]);
    assert!(code == 0 && usage.contains("load an iSCSI unit"));
    assert_eq!(pearfork(&[]).0, 2);
    let (code, _, stderr) = pearfork(&["no-such-program"]);
    assert!(code == 2 && stderr.contains("can't run program `no-such-program`"), "{stderr}");
    for name in ["../../../bin/true", "", "a/b", "a b"] {
        let (code, out, stderr) = pearfork(&[name]);
        assert!(code == 2 && out.is_empty() && stderr.contains("usage"), "{name}: {stderr}");
    }
    assert!(pearfork(&["--version"]).1.starts_with("pearfork "));
}
