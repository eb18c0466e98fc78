//! `pearfork-check` and a starting host agree on every settings file: on a corpus with at least one file for
//! each rule and each kind of error, and on a thousand seeded random mutations of valid files.

use pearfork_check::{check_file, check_file_with, FileCheck, Kind};
use pearfork_host::settings::{HostSettings, Overrides};
use pearfork_host::Host;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const QUICKSTART: &str = include_str!("../../../examples/quickstart.toml");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Corpus {
    good: Vec<Case>,
    broken: Vec<Case>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    replace: Vec<(String, String)>,
    #[serde(default)]
    rule: usize,
    #[serde(default)]
    want: String,
}

/// A temporary folder; removed when it is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("pearfork-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    fn write_settings(&self, text: &str) -> PathBuf {
        let path = self.0.join("host.toml");
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The quickstart settings with the replacements of a case and with unused ports.
fn settings_of(case: &Case) -> String {
    let unused_address =
        || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().to_string();
    let mut text = QUICKSTART.to_owned();
    for (from, to) in &case.replace {
        assert!(text.contains(from.as_str()), "{}: {from}", case.name);
        text = text.replacen(from.as_str(), to, 1);
    }
    text.replace("127.0.0.1:9300", &unused_address()).replace("http = \"127.0.0.1:9180\"", "")
}

/// Starts the gateway; returns whether it listens, and its standard error.
fn start_gateway(path: &Path) -> (bool, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
        .args(["serve", "--json=false", "--listen", "127.0.0.1:0", "--config"])
        .arg(path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first_line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut first_line).unwrap();
    let listens = first_line.starts_with("listening on");
    if listens {
        child.kill().unwrap();
    }
    let output = child.wait_with_output().unwrap();
    assert!(listens || output.status.code() == Some(2), "{:?}", output.status);
    (listens, String::from_utf8(output.stderr).unwrap())
}

/// The checker's verdict on a file with the flags of [`start_gateway`], which count as a layer of the
/// settings.
fn check_as_started(path: &Path) -> FileCheck {
    check_file_with(path, &Overrides::new(Vec::new(), vec!["host.listen=\"127.0.0.1:0\"".to_owned()]))
}

#[test]
fn checker_and_starting_host_report_the_same_text_for_each_corpus_file() {
    let corpus: Corpus = toml::from_str(include_str!("corpus.toml")).unwrap();
    let folder = TempFolder::new("corpus");
    for case in &corpus.good {
        let path = folder.write_settings(&settings_of(case));
        let checked = check_as_started(&path);
        assert!(checked.valid && checked.kind == Some(Kind::Settings), "{}: {}", case.name, checked.errors);
        let (listens, stderr) = start_gateway(&path);
        assert!(listens, "{}: {stderr}", case.name);
        // The warnings are the same too.
        assert_eq!(stderr.trim_end(), checked.warnings.join("\n").trim_end(), "{}", case.name);
    }
    let mut rules = BTreeSet::new();
    for case in &corpus.broken {
        let path = folder.write_settings(&settings_of(case));
        let checked = check_as_started(&path);
        assert!(!checked.valid, "{}", case.name);
        assert!(checked.errors.contains(&case.want), "{}: {}", case.name, checked.errors);
        if case.rule > 0 {
            assert!(
                checked.errors.contains(&format!("rule {}, ", case.rule)),
                "{}: {}",
                case.name,
                checked.errors
            );
            rules.insert(case.rule);
        }
        let (listens, stderr) = start_gateway(&path);
        assert!(!listens && stderr.contains(&checked.errors), "{}:\n{stderr}\n{}", case.name, checked.errors);
    }
    assert_eq!(
        rules.into_iter().collect::<Vec<_>>(),
        [1, 2, 3, 4, 5, 6, 7],
        "each rule needs an invalid file"
    );
}

#[test]
fn a_host_does_not_start_with_settings_that_changed_after_the_check() {
    let folder = TempFolder::new("expect");
    let text = settings_of(&Case { name: String::new(), replace: Vec::new(), rule: 0, want: String::new() });
    let (head, rest) = text.split_at(text.find("[rules]").unwrap());
    std::fs::write(folder.0.join("base.toml"), rest).unwrap();
    let path = folder.write_settings(&format!("include = [\"base.toml\"]\n{head}"));
    let fingerprint = check_as_started(&path).fingerprint.unwrap();
    let start = |expect: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
            .args(["serve", "--json", "--listen", "127.0.0.1:0", "--expect", expect, "--config"])
            .arg(&path)
            .env("PEARFORK__TRANSPORT__DRAIN", "5s")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut first_line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut first_line).unwrap();
        child.kill().unwrap();
        let output = child.wait_with_output().unwrap();
        (first_line, String::from_utf8(output.stderr).unwrap())
    };
    // An environment variable counts, although this one holds the default: it is another layer of the text.
    let (_, stderr) = start(&fingerprint);
    assert!(stderr.contains("they changed after the check"), "{stderr}");
    let overrides = Overrides::new(
        vec![("PEARFORK__TRANSPORT__DRAIN".to_owned(), "5s".to_owned())],
        vec!["host.listen=\"127.0.0.1:0\"".to_owned()],
    );
    let fingerprint = check_file_with(&path, &overrides).fingerprint.unwrap();
    let (first_line, stderr) = start(&fingerprint);
    assert!(
        first_line.contains("\"event\":\"listening\"") && first_line.contains(&fingerprint),
        "{first_line}{stderr}"
    );
    // An included file changes, while the file itself stays as it is.
    std::fs::write(folder.0.join("base.toml"), rest.replace("drain_grace = \"2s\"", "drain_grace = \"3s\""))
        .unwrap();
    let (first_line, stderr) = start(&fingerprint);
    assert!(first_line.is_empty() && stderr.contains("they changed after the check"), "{first_line}{stderr}");
}

/// One of the valid texts with one to three random changes, of the kind that typing errors and bad merges
/// make.
fn mutate(valid: &[String], random: &mut Pcg64Mcg) -> String {
    let mut below = |n: usize| (random.next_u64() % n.max(1) as u64) as usize;
    let text = &valid[below(valid.len())];
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    for _ in 0..1 + below(3) {
        let at = below(lines.len());
        let other_line = lines[below(lines.len())].clone();
        let line = lines[at].clone();
        let digits = line.find(|c: char| c.is_ascii_digit());
        match below(9) {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, line),
            2 => lines[at] = other_line,
            3 => lines[at] = line.replacen("s\"", "\"", 1),
            4 if digits.is_some() => lines[at] = line.replacen(|c: char| c.is_ascii_digit(), "0", 1),
            5 if digits.is_some() => lines[at] = line.replacen(|c: char| c.is_ascii_digit(), "97", 1),
            6 => lines[at] = line.replacen("ms", "s", 1),
            7 => {
                let quoted: Vec<&str> = other_line.split('"').collect();
                let from = line.split('"').nth(1).unwrap_or("").to_owned();
                if quoted.len() > 1 && !from.is_empty() {
                    lines[at] = line.replacen(&from, quoted[1], 1);
                }
            }
            _ => {
                let cut = (0..=line.len()).filter(|i| line.is_char_boundary(*i)).nth(below(line.len() + 1));
                lines[at].truncate(cut.unwrap_or(0));
            }
        }
        if lines.is_empty() {
            break;
        }
    }
    lines.join("\n")
}

#[test]
fn checker_and_host_agree_on_a_thousand_mutated_files() {
    let corpus: Corpus = toml::from_str(include_str!("corpus.toml")).unwrap();
    let valid: Vec<String> = corpus.good.iter().map(settings_of).collect();
    let folder = TempFolder::new("mutations");
    let mut random = Pcg64Mcg::seed_from_u64(12);
    let (mut accepted, mut rejected) = (0, 0);
    for n in 0..1000 {
        let text = mutate(&valid, &mut random);
        let path = folder.write_settings(&text);
        let checked = check_file(&path);
        match HostSettings::load(&path) {
            Ok(mut host_settings) => {
                assert!(
                    checked.valid,
                    "mutation {n}: the host accepts it, the checker reports {}\n{text}",
                    checked.errors
                );
                // Errors of the machine, such as ports in use, are not part of the comparison.
                let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
                (host_settings.listen, host_settings.http, host_settings.directory) =
                    (any_port, None, ([127, 0, 0, 1], 9).into());
                let host = Host::start(host_settings);
                assert!(
                    host.is_ok(),
                    "mutation {n}: the checker accepts it, the host does not start: {:?}\n{text}",
                    host.err()
                );
                accepted += 1;
            }
            Err(errors) => {
                // The checker would take a file without `[host]` for another kind; no mutation removes that
                // line from all.
                assert!(
                    !checked.valid,
                    "mutation {n}: the checker accepts it, the host reports {errors}\n{text}"
                );
                assert_eq!(checked.errors, errors.to_string(), "mutation {n}");
                rejected += 1;
            }
        }
    }
    assert!(accepted > 100 && rejected > 300, "{accepted} accepted, {rejected} rejected");
}
