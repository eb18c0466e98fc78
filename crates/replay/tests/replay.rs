//! A scenario run is recorded, and the rules are checked again from the record.

use std::path::{Path, PathBuf};
use std::process::Command;

const SCENARIO: &str = "[day]\nlength = \"1500ms\"\nseed = 3\nhosts = 1\nmargin = \"500ms\"\n[nodes]\ncount = 4\nracks = 2\ncores = 2\n\
                   waiting = 24\nwork = \"1ms\"\nrepeats_dropped = \"1.2s\"\n[[client]]\nname = \"notes\"\nvolume = \"notes\"\n\
                   rate = 40\nwrites = 0.5\n[[event]]\nat = \"500ms\"\ndo = \"reset\"\nnode = 2\n";

struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn replay(arguments: &[&str], record: &Path) -> (i32, String, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_pearfork-replay")).args(arguments).arg(record).output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn a_replay_finds_what_the_run_found_and_detects_altered_and_truncated_records() {
    let folder = TempFolder(std::env::temp_dir().join(format!("pearfork-replay-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let settings = pearfork_host::settings::HostSettings::from_toml(pearfork_day::DEMO.1).unwrap();
    let scenario = pearfork_day::scenario::Scenario::from_toml(SCENARIO).unwrap();
    let result = pearfork_day::run_scenario(
        &scenario,
        &settings,
        &mut pearfork_day::host_runner::InProcessRunner::default(),
        |_, _| {},
    )
    .unwrap();
    assert!(result.rules.passed(), "\n{}", result.rules);
    let path = folder.0.join("day.record");
    let file = std::fs::File::create(&path).unwrap();
    pearfork_record::write(std::io::BufWriter::new(file), &result.recording("a day", &scenario, &settings))
        .unwrap();

    let (code, output, _) = replay(&["--json"], &path);
    let output: serde_json::Value = serde_json::from_str(&output).unwrap();
    assert!(code == 0 && output["kept"] == true && output["whole"] == true, "{output}");
    for finding in &result.rules.0 {
        let is_same_rule = |r: &&serde_json::Value| r["rule"] == finding.rule.to_string();
        let rule = output["rules"].as_array().unwrap().iter().find(is_same_rule).unwrap();
        assert_eq!(rule["checks"], finding.checks, "{}", finding.rule);
        assert_eq!(rule["nearest"].as_f64(), finding.nearest, "{}", finding.rule);
    }

    // An effect that is applied twice. The altered record is written with a valid checksum, and the rule is
    // broken.
    let mut altered = pearfork_replay::read_file(&path).unwrap();
    let is_effect = |n: &&pearfork_rulecheck::TraceEvent| {
        matches!(n.kind, pearfork_rulecheck::TraceEventKind::Applied { .. })
    };
    let repeated = altered.events.iter().find(is_effect).expect("an effect").clone();
    let at = altered.events.partition_point(|n| n.at_us <= repeated.at_us);
    altered.events.insert(at, repeated);
    let altered_path = folder.0.join("altered.record");
    pearfork_record::write(std::fs::File::create(&altered_path).unwrap(), &altered).unwrap();
    let (code, output, _) = replay(&["--json=false"], &altered_path);
    assert!(code == 1 && output.contains("no effect twice   BROKEN 1 times"), "{output}");

    // A truncated record is reported, and checked only with --cut-off.
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    let (code, _, stderr) = replay(&[], &path);
    assert!(code == 2 && stderr.contains("truncated after"), "{stderr}");
    assert_ne!(replay(&["--cut-off"], &path).0, 2);
    // A record that is changed after it was written.
    std::fs::write(&path, text.replacen("\"taken\":", "\"taken\":1", 1)).unwrap();
    let (code, _, stderr) = replay(&[], &path);
    assert!(code == 2 && stderr.contains("checksum"), "{stderr}");
}
