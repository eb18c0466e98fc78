//! `pearfork-check`: checks files, explains values and what a request would get, migrates settings, formats rules.

use clap::{Parser, Subcommand};
use pearfork_check::{check_file_with, request};
use pearfork_cli::{CommonArguments, Exit, Highlight, Output, SettingsArguments};
use pearfork_host::settings::HostSettings;
use pearfork_match::Severity;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Checks settings, rule files and days by the code that a host starts by. Exit codes: 0 fine, 1 a file is refused or
/// would change, 2 it could not be done.
#[derive(Parser)]
#[command(name = "pearfork-check", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    #[command(subcommand)]
    command: Command,
}

impl AsRef<CommonArguments> for Arguments {
    fn as_ref(&self) -> &CommonArguments {
        &self.common
    }
}

#[derive(Subcommand)]
enum Command {
    /// Check files: settings, `.rules`, days.
    Files {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Put a value over those of settings files, as a host would be started with.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Say what a value of the settings is, where it came from, and what it hides.
    Explain {
        /// `rules.drain_grace`, `class.write`, `volume."a.b".size`: a value, or all of a table or entry.
        key: String,
        #[command(flatten)]
        settings: SettingsArguments,
    },
    /// Print the settings as one text: includes, variables and flags put together.
    Resolve {
        #[command(flatten)]
        settings: SettingsArguments,
    },
    /// Write settings files of an older form anew.
    Migrate {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change nothing; say what would change, and end with 1 if anything would.
        #[arg(long)]
        check: bool,
    },
    /// Say which class, plan and key a request would get, and what each test on the way gave.
    Request {
        #[command(flatten)]
        settings: SettingsArguments,
        #[command(flatten)]
        asked: request::Asked,
    },
    /// Write files of matching rules in the one way.
    Format {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change nothing; say what would change, and end with 1 if anything would.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> ExitCode {
    pearfork_cli::run(work)
}

fn work(arguments: Arguments) -> Result<Exit, String> {
    let output = arguments.common.output;
    match arguments.command {
        Command::Files { files, set } => Ok(check(&files, set, output)),
        Command::Explain { key, settings } => value(&key, &settings, output),
        Command::Resolve { settings } => resolve(&settings, output),
        Command::Migrate { files, check } => migrate(&files, check, output),
        Command::Request { settings, asked } => request(&settings, &asked, output),
        Command::Format { files, check } => format(&files, check, output),
    }
}

fn load(settings: &SettingsArguments) -> Result<HostSettings, String> {
    HostSettings::load_with(&settings.config, &settings.overrides())
        .map_err(|e| format!("the settings are refused\n{e}"))
}

fn check(files: &[PathBuf], set: Vec<String>, output: Output) -> Exit {
    let over = pearfork_cli::overrides(set);
    let mut end = Exit::Success;
    for path in files {
        let v = check_file_with(path, &over);
        let warnings: String = v.warnings.iter().map(|w| format!("{w}\n")).collect();
        let words = if v.valid {
            format!(
                "{}: {}; {}\n{warnings}",
                v.file,
                output.highlight(Highlight::Success, "right"),
                v.summary
            )
        } else {
            format!("{}: {}\n{}\n", v.file, output.highlight(Highlight::Error, "refused"), v.errors)
        };
        output.print(&v, &words);
        let own = match (v.valid, v.kind) {
            (true, _) => Exit::Success,
            (false, Some(_)) => Exit::Negative,
            (false, None) => Exit::Error,
        };
        end = end.max(own);
    }
    end
}

fn value(key: &str, settings: &SettingsArguments, output: Output) -> Result<Exit, String> {
    let plan = load(settings)?;
    let found = match plan.provenance.explain(key) {
        Ok(found) => found,
        Err(unknown) => {
            eprintln!("pearfork-check: {unknown}");
            return Ok(Exit::Negative);
        }
    };
    for e in &found {
        let hidden = |(origin, value): &(_, String)| format!("    hides {value} of {origin}\n");
        let hides: String = e.hides.iter().map(hidden).collect();
        output.print(e, &format!("{} = {}  ({})\n{hides}", e.key, e.value, e.origin));
    }
    Ok(Exit::Success)
}

#[derive(Serialize)]
struct Resolved<'a> {
    files: &'a [String],
    fingerprint: String,
    settings: &'a str,
}

fn resolve(settings: &SettingsArguments, output: Output) -> Result<Exit, String> {
    let plan = load(settings)?;
    let p = &plan.provenance;
    let (files, fingerprint, settings) = (p.files(), p.fingerprint(), p.resolved());
    let words = format!("# of {}; fingerprint {fingerprint}\n{settings}", files.join(", "));
    output.print(&Resolved { files, fingerprint, settings }, &words);
    Ok(Exit::Success)
}

fn request(settings: &SettingsArguments, asked: &request::Asked, output: Output) -> Result<Exit, String> {
    let plan = load(settings)?;
    let answer = request::explain(&plan, asked)?;
    output.print(&answer, &answer.words);
    Ok(Exit::Success)
}

#[derive(Serialize)]
struct Rewritten<'a> {
    file: &'a str,
    changes: bool,
}

/// Writes files in another way. `check` changes nothing.
fn rewrite(
    files: &[PathBuf],
    check: bool,
    output: Output,
    anew: impl Fn(&str, &[u8]) -> Result<Option<String>, String>,
) -> Result<Exit, String> {
    let mut end = Exit::Success;
    for path in files {
        let name = path.display().to_string();
        let text = std::fs::read(path).map_err(|e| format!("{name}: {e}"))?;
        let written = anew(&name, &text)?.filter(|w| w.as_bytes() != text);
        let changes = written.is_some();
        let words = match (changes, check) {
            (false, _) => format!("{name} stays as it is\n"),
            (true, true) => format!("{name} would change\n"),
            (true, false) => format!("{name} written anew\n"),
        };
        output.print(&Rewritten { file: &name, changes }, &words);
        match written {
            Some(_) if check => end = Exit::Negative,
            Some(written) => replace(path, &written).map_err(|e| format!("{name}: {e}"))?,
            None => {}
        }
    }
    Ok(end)
}

/// Danger: a write that breaks off would leave half a file; the new one takes its place as a whole.
fn replace(path: &Path, written: &str) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    std::fs::write(&beside, written).and_then(|()| std::fs::rename(&beside, path))
}

fn migrate(files: &[PathBuf], check: bool, output: Output) -> Result<Exit, String> {
    rewrite(files, check, output, |name, text| {
        let text = std::str::from_utf8(text).map_err(|e| format!("{name}: {e}"))?;
        pearfork_host::settings::migrate(text).map_err(|e| format!("{name} stays as it is\n{e}"))
    })
}

fn format(files: &[PathBuf], check: bool, output: Output) -> Result<Exit, String> {
    rewrite(files, check, output, |name, text| {
        let told = |f: pearfork_match::Diagnostics| {
            format!("{name} stays as it is\n{}", f.render(name, text, Severity::Error))
        };
        pearfork_match::format(text).map(Some).map_err(told)
    })
}
