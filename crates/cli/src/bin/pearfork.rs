//! `pearfork PROGRAM ...`: finds `pearfork-PROGRAM` beside itself or on the path, and runs it.

use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// Programs of the project, for the list; any `pearfork-NAME` is found.
const PROGRAMS: [(&str, &str); 7] = [
    ("check", "check settings, rule files and days; explain a value or a request; migrate; format rules"),
    ("ctl", "ask running hosts for health, nodes, volumes, metrics; drain one"),
    ("day", "play a scripted day and prove the seven rules; the demo"),
    ("gateway", "run a host"),
    ("load", "load an iSCSI unit, and prove what it holds"),
    ("replay", "prove the seven rules from a recorded day"),
    ("report", "a report of a recorded day, as a page or as text"),
];

fn find(name: &str) -> PathBuf {
    let file = format!("pearfork-{name}{}", std::env::consts::EXE_SUFFIX);
    let beside = std::env::current_exe().ok().and_then(|p| Some(p.parent()?.join(&file)));
    beside.filter(|p| p.is_file()).unwrap_or_else(|| PathBuf::from(file))
}

fn list() -> String {
    let mut out = "usage: pearfork PROGRAM [ARGUMENTS]\n\n".to_owned();
    for (name, words) in PROGRAMS {
        out += &format!("  {name:<9} {words}\n");
    }
    out + "\n`pearfork PROGRAM --help` says more.\n"
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let name = arguments.next().map(|n| n.to_string_lossy().into_owned());
    match name.as_deref() {
        Some("--version" | "-V") => {
            println!("pearfork {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some("--help" | "-h" | "help") => {
            print!("{}", list());
            ExitCode::SUCCESS
        }
        // A name is a word: nothing that leads to another folder.
        Some(name) if !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') => {
            match Command::new(find(name)).args(arguments).status() {
                Ok(status) => ExitCode::from(u8::try_from(status.code().unwrap_or(2)).unwrap_or(2)),
                Err(e) => {
                    eprintln!("pearfork: there is no program `{name}` that can be run: {e}\n\n{}", list());
                    ExitCode::from(2)
                }
            }
        }
        _ => {
            eprint!("{}", list());
            ExitCode::from(2)
        }
    }
}
