//! A day is played and recorded by one program, and judged again by another.

use std::path::{Path, PathBuf};
use std::process::Command;

const DAY: &str = "[day]\nlength = \"1500ms\"\nseed = 3\nhosts = 1\nmargin = \"500ms\"\n[nodes]\ncount = 4\nracks = 2\ncores = 2\n\
                   waiting = 24\nwork = \"1ms\"\nrepeats_dropped = \"1.2s\"\n[[client]]\nname = \"notes\"\nvolume = \"notes\"\n\
                   rate = 40\nwrites = 0.5\n[[event]]\nat = \"500ms\"\ndo = \"reset\"\nnode = 2\n";

struct Folder(PathBuf);

impl Drop for Folder {
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
fn a_recorded_day_is_judged_as_it_was_when_it_was_played_and_a_spoiled_one_is_not() {
    let folder = Folder(std::env::temp_dir().join(format!("pearfork-replay-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let plan = pearfork_host::settings::HostSettings::from_toml(pearfork_day::DEMO.1).unwrap();
    let day = pearfork_day::scenario::Scenario::from_toml(DAY).unwrap();
    let result = pearfork_day::run_scenario(
        &day,
        &plan,
        &mut pearfork_day::host_runner::InProcessRunner::default(),
        |_, _| {},
    )
    .unwrap();
    assert!(result.rules.passed(), "\n{}", result.rules);
    let path = folder.0.join("day.record");
    let file = std::fs::File::create(&path).unwrap();
    pearfork_record::write(std::io::BufWriter::new(file), &result.recording("a day", &day, &plan)).unwrap();

    let (code, told, _) = replay(&["--json"], &path);
    let told: serde_json::Value = serde_json::from_str(&told).unwrap();
    assert!(code == 0 && told["kept"] == true && told["whole"] == true, "{told}");
    for finding in &result.rules.0 {
        let same = |r: &&serde_json::Value| r["rule"] == finding.rule.to_string();
        let line = told["rules"].as_array().unwrap().iter().find(same).unwrap();
        assert_eq!(line["checks"], finding.checks, "{}", finding.rule);
        assert_eq!(line["nearest"].as_f64(), finding.nearest, "{}", finding.rule);
    }

    // An effect that took place twice: the record is written anew, so that its checksum holds, and the rule is broken.
    let mut spoiled = pearfork_replay::read_file(&path).unwrap();
    let effect = |n: &&pearfork_rulecheck::TraceEvent| {
        matches!(n.kind, pearfork_rulecheck::TraceEventKind::Applied { .. })
    };
    let twice = spoiled.events.iter().find(effect).expect("an effect").clone();
    let at = spoiled.events.partition_point(|n| n.at_us <= twice.at_us);
    spoiled.events.insert(at, twice);
    let other = folder.0.join("spoiled.record");
    pearfork_record::write(std::fs::File::create(&other).unwrap(), &spoiled).unwrap();
    let (code, told, _) = replay(&["--json=false"], &other);
    assert!(code == 1 && told.contains("no effect twice   BROKEN 1 times"), "{told}");

    // Cut off: told, and judged only where that is asked for.
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    let (code, _, why) = replay(&[], &path);
    assert!(code == 2 && why.contains("was cut off after"), "{why}");
    assert_ne!(replay(&["--cut-off"], &path).0, 2);
    // Changed after it was written.
    std::fs::write(&path, text.replacen("\"taken\":", "\"taken\":1", 1)).unwrap();
    let (code, _, why) = replay(&[], &path);
    assert!(code == 2 && why.contains("checksum"), "{why}");
}
