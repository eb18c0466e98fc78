//! The checker and a starting host say the same of every file: a corpus with at least one file for each rule and each
//! kind of fault, and a thousand files made from good ones by a seeded hand that breaks things.

use pearfork_check::{file, file_with, Kind, Verdict};
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

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pearfork-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, text: &str) -> PathBuf {
        let path = self.0.join("host.toml");
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The quickstart with replacements, on ports that are free.
fn made(case: &Case) -> String {
    let free = || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().to_string();
    let mut text = QUICKSTART.to_owned();
    for (from, to) in &case.replace {
        assert!(text.contains(from.as_str()), "{}: {from}", case.name);
        text = text.replacen(from.as_str(), to, 1);
    }
    text.replace("127.0.0.1:9300", &free()).replace("http = \"127.0.0.1:9180\"", "")
}

/// What a gateway says when it is started: whether it listens, and its words on standard error.
fn started(path: &Path) -> (bool, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
        .args(["serve", "--json=false", "--listen", "127.0.0.1:0", "--config"])
        .arg(path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut first).unwrap();
    let listens = first.starts_with("listening on");
    if listens {
        child.kill().unwrap();
    }
    let out = child.wait_with_output().unwrap();
    assert!(listens || out.status.code() == Some(2), "{:?}", out.status);
    (listens, String::from_utf8(out.stderr).unwrap())
}

/// What the checker says of a file as [`started`] starts it: its flags are layers like any other.
fn checked(path: &Path) -> Verdict {
    file_with(path, &Overrides::new(Vec::new(), vec!["host.listen=\"127.0.0.1:0\"".to_owned()]))
}

#[test]
fn the_checker_and_a_started_host_agree_on_a_corpus_word_for_word() {
    let corpus: Corpus = toml::from_str(include_str!("corpus.toml")).unwrap();
    let folder = Folder::new("corpus");
    for case in &corpus.good {
        let path = folder.write(&made(case));
        let checked = self::checked(&path);
        assert!(checked.right && checked.kind == Some(Kind::Settings), "{}: {}", case.name, checked.faults);
        let (listens, told) = started(&path);
        assert!(listens, "{}: {told}", case.name);
        // Warnings are the same too.
        assert_eq!(told.trim_end(), checked.warnings.join("\n").trim_end(), "{}", case.name);
    }
    let mut rules = BTreeSet::new();
    for case in &corpus.broken {
        let path = folder.write(&made(case));
        let checked = self::checked(&path);
        assert!(!checked.right, "{}", case.name);
        assert!(checked.faults.contains(&case.want), "{}: {}", case.name, checked.faults);
        if case.rule > 0 {
            assert!(
                checked.faults.contains(&format!("rule {}, ", case.rule)),
                "{}: {}",
                case.name,
                checked.faults
            );
            rules.insert(case.rule);
        }
        let (listens, told) = started(&path);
        assert!(!listens && told.contains(&checked.faults), "{}:\n{told}\n{}", case.name, checked.faults);
    }
    assert_eq!(rules.into_iter().collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6, 7], "a broken file for each rule");
}

#[test]
fn settings_that_changed_between_the_check_and_the_start_are_not_started_by() {
    let folder = Folder::new("expect");
    let text = made(&Case { name: String::new(), replace: Vec::new(), rule: 0, want: String::new() });
    let (head, rest) = text.split_at(text.find("[rules]").unwrap());
    std::fs::write(folder.0.join("base.toml"), rest).unwrap();
    let path = folder.write(&format!("include = [\"base.toml\"]\n{head}"));
    let fingerprint = checked(&path).fingerprint.unwrap();
    let start = |expect: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
            .args(["serve", "--json", "--listen", "127.0.0.1:0", "--expect", expect, "--config"])
            .arg(&path)
            .env("PEARFORK__TRANSPORT__DRAIN", "5s")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut first = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut first).unwrap();
        child.kill().unwrap();
        let out = child.wait_with_output().unwrap();
        (first, String::from_utf8(out.stderr).unwrap())
    };
    // A variable counts: this one gives what is the default anyway, and is another text all the same.
    let (_, why) = start(&fingerprint);
    assert!(why.contains("they changed after the check"), "{why}");
    let with = Overrides::new(
        vec![("PEARFORK__TRANSPORT__DRAIN".to_owned(), "5s".to_owned())],
        vec!["host.listen=\"127.0.0.1:0\"".to_owned()],
    );
    let fingerprint = file_with(&path, &with).fingerprint.unwrap();
    let (first, why) = start(&fingerprint);
    assert!(first.contains("\"event\":\"listening\"") && first.contains(&fingerprint), "{first}{why}");
    // The include changes: the file itself does not, and still it is another plan.
    std::fs::write(folder.0.join("base.toml"), rest.replace("drain_grace = \"2s\"", "drain_grace = \"3s\""))
        .unwrap();
    let (first, why) = start(&fingerprint);
    assert!(first.is_empty() && why.contains("they changed after the check"), "{first}{why}");
}

/// A text with one thing changed, as a tired hand or a bad merge would.
fn mutant(good: &[String], random: &mut Pcg64Mcg) -> String {
    let mut below = |n: usize| (random.next_u64() % n.max(1) as u64) as usize;
    let text = &good[below(good.len())];
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    for _ in 0..1 + below(3) {
        let at = below(lines.len());
        let other = lines[below(lines.len())].clone();
        let line = lines[at].clone();
        let digits = line.find(|c: char| c.is_ascii_digit());
        match below(9) {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, line),
            2 => lines[at] = other,
            3 => lines[at] = line.replacen("s\"", "\"", 1),
            4 if digits.is_some() => lines[at] = line.replacen(|c: char| c.is_ascii_digit(), "0", 1),
            5 if digits.is_some() => lines[at] = line.replacen(|c: char| c.is_ascii_digit(), "97", 1),
            6 => lines[at] = line.replacen("ms", "s", 1),
            7 => {
                let words: Vec<&str> = other.split('"').collect();
                let from = line.split('"').nth(1).unwrap_or("").to_owned();
                if words.len() > 1 && !from.is_empty() {
                    lines[at] = line.replacen(&from, words[1], 1);
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
fn a_thousand_broken_hands_get_the_same_verdict_from_the_checker_and_from_a_host() {
    let corpus: Corpus = toml::from_str(include_str!("corpus.toml")).unwrap();
    let good: Vec<String> = corpus.good.iter().map(made).collect();
    let folder = Folder::new("mutants");
    let mut random = Pcg64Mcg::seed_from_u64(12);
    let (mut right, mut refused) = (0, 0);
    for n in 0..1000 {
        let text = mutant(&good, &mut random);
        let path = folder.write(&text);
        let checked = file(&path);
        match HostSettings::load(&path) {
            Ok(mut plan) => {
                assert!(
                    checked.right,
                    "mutant {n}: the host takes it, the checker says {}\n{text}",
                    checked.faults
                );
                // What the machine refuses, ports above all, is another matter.
                let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
                (plan.listen, plan.http, plan.directory) = (anywhere, None, ([127, 0, 0, 1], 9).into());
                let host = Host::start(plan);
                assert!(
                    host.is_ok(),
                    "mutant {n}: checked as right and not started: {:?}\n{text}",
                    host.err()
                );
                right += 1;
            }
            Err(faults) => {
                // A day in place of settings would be taken for one; the mutants keep their [host].
                assert!(!checked.right, "mutant {n}: the checker takes it, the host says {faults}\n{text}");
                assert_eq!(checked.faults, faults.to_string(), "mutant {n}");
                refused += 1;
            }
        }
    }
    assert!(right > 100 && refused > 300, "{right} right, {refused} refused");
}
