//! `pearfork PROGRAM ...`: runs `pearfork-PROGRAM` from its own folder or from the search path.

use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// Programs listed in the usage text; any other `pearfork-NAME` can be run as well.
const PROGRAMS: [(&str, &str); 7] = [
    (
        "check",
        "check settings, rule files and scenarios; explain a value or a request; migrate; format rules",
    ),
    ("ctl", "query running hosts for health, nodes, volumes, metrics and fleet; drain a host"),
    ("day", "run a scenario and check the seven rules; run the demo"),
    ("gateway", "run a host"),
    ("load", "load an iSCSI unit and verify its data"),
    ("replay", "check the seven rules against a recorded scenario run"),
    ("report", "report on a recorded scenario run as HTML or text"),
];

fn find_program(name: &str) -> PathBuf {
    let file = format!("pearfork-{name}{}", std::env::consts::EXE_SUFFIX);
    let sibling = std::env::current_exe().ok().and_then(|p| Some(p.parent()?.join(&file)));
    sibling.filter(|p| p.is_file()).unwrap_or_else(|| PathBuf::from(file))
}

fn usage() -> String {
    let mut text = "usage: pearfork PROGRAM [ARGUMENTS]\n\n".to_owned();
    for (name, description) in PROGRAMS {
        text += &format!("  {name:<9} {description}\n");
    }
    text + "\n`pearfork PROGRAM --help` describes a program.\n"
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
            print!("{}", usage());
            ExitCode::SUCCESS
        }
        // Only plain names are accepted, so that a name can't lead to a program in another folder.
        Some(name) if !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') => {
            match Command::new(find_program(name)).args(arguments).status() {
                Ok(status) => ExitCode::from(u8::try_from(status.code().unwrap_or(2)).unwrap_or(2)),
                Err(e) => {
                    eprintln!("pearfork: can't run program `{name}`: {e}\n\n{}", usage());
                    ExitCode::from(2)
                }
            }
        }
        _ => {
            eprint!("{}", usage());
            ExitCode::from(2)
        }
    }
}
