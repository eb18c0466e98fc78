//! `pearfork-check`: checks files, explains settings and requests, migrates settings, formats matching rules.

use clap::{Parser, Subcommand};
use pearfork_check::{check_file_with, request};
use pearfork_cli::{CommonArguments, Exit, Highlight, Output, SettingsArguments};
use pearfork_host::settings::HostSettings;
use pearfork_match::Severity;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Check settings, matching rules and scenarios with the code that a host loads them with. Exit codes: 0
/// success, 1 a file is invalid or would change, 2 the operation could not be carried out.
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
    /// Check files: settings, `.rules`, scenarios.
    Files {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Override a value of the settings files, as with the host's own `--set`.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Show a value of the settings, its origin and the values that it overrides.
    Explain {
        /// Key of a value, a table or an entry: `rules.drain_grace`, `class.write`, `volume."a.b".size`.
        key: String,
        #[command(flatten)]
        settings: SettingsArguments,
    },
    /// Print the resolved settings as one text, with includes, variables and flags applied.
    Resolve {
        #[command(flatten)]
        settings: SettingsArguments,
    },
    /// Convert settings files of an older format to the current one.
    Migrate {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change no file; report which files would change, and exit with 1 if any would.
        #[arg(long)]
        check: bool,
    },
    /// Show which class, plan and key a request would get, and the result of each test that led to them.
    Request {
        #[command(flatten)]
        settings: SettingsArguments,
        #[command(flatten)]
        asked: request::RequestArguments,
    },
    /// Rewrite matching rules in the standard format.
    Format {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change no file; report which files would change, and exit with 1 if any would.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> ExitCode {
    pearfork_cli::run(run)
}

fn run(arguments: Arguments) -> Result<Exit, String> {
    let output = arguments.common.output;
    match arguments.command {
        Command::Files { files, set } => Ok(check_files(&files, set, output)),
        Command::Explain { key, settings } => explain_value(&key, &settings, output),
        Command::Resolve { settings } => print_resolved(&settings, output),
        Command::Migrate { files, check } => migrate_files(&files, check, output),
        Command::Request { settings, asked } => explain_request(&settings, &asked, output),
        Command::Format { files, check } => format_files(&files, check, output),
    }
}

fn load(settings: &SettingsArguments) -> Result<HostSettings, String> {
    HostSettings::load_with(&settings.config, &settings.overrides())
        .map_err(|e| format!("invalid settings\n{e}"))
}

fn check_files(files: &[PathBuf], set: Vec<String>, output: Output) -> Exit {
    let overrides = pearfork_cli::overrides(set);
    let mut worst_exit = Exit::Success;
    for path in files {
        let result = check_file_with(path, &overrides);
        let warnings: String = result.warnings.iter().map(|w| format!("{w}\n")).collect();
        let text = if result.valid {
            format!(
                "{}: {}; {}\n{warnings}",
                result.file,
                output.highlight(Highlight::Success, "right"),
                result.summary
            )
        } else {
            format!("{}: {}\n{}\n", result.file, output.highlight(Highlight::Error, "refused"), result.errors)
        };
        output.print(&result, &text);
        let exit = match (result.valid, result.kind) {
            (true, _) => Exit::Success,
            (false, Some(_)) => Exit::Negative,
            (false, None) => Exit::Error,
        };
        worst_exit = worst_exit.max(exit);
    }
    worst_exit
}

fn explain_value(key: &str, settings: &SettingsArguments, output: Output) -> Result<Exit, String> {
    let host_settings = load(settings)?;
    let explanations = match host_settings.provenance.explain(key) {
        Ok(explanations) => explanations,
        Err(unknown) => {
            eprintln!("pearfork-check: {unknown}");
            return Ok(Exit::Negative);
        }
    };
    for e in &explanations {
        let format_hidden = |(origin, value): &(_, String)| format!("    overrides {value} from {origin}\n");
        let hides: String = e.hides.iter().map(format_hidden).collect();
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

fn print_resolved(settings: &SettingsArguments, output: Output) -> Result<Exit, String> {
    let host_settings = load(settings)?;
    let p = &host_settings.provenance;
    let (files, fingerprint, settings) = (p.files(), p.fingerprint(), p.resolved());
    let text = format!("# resolved from {}; fingerprint {fingerprint}\n{settings}", files.join(", "));
    output.print(&Resolved { files, fingerprint, settings }, &text);
    Ok(Exit::Success)
}

fn explain_request(
    settings: &SettingsArguments,
    arguments: &request::RequestArguments,
    output: Output,
) -> Result<Exit, String> {
    let host_settings = load(settings)?;
    let explanation = request::explain(&host_settings, arguments)?;
    output.print(&explanation, &explanation.text);
    Ok(Exit::Success)
}

#[derive(Serialize)]
struct RewriteResult<'a> {
    file: &'a str,
    changes: bool,
}

/// Rewrites the files that `convert` changes. With `check` it only reports them.
fn rewrite_files(
    files: &[PathBuf],
    check: bool,
    output: Output,
    convert: impl Fn(&str, &[u8]) -> Result<Option<String>, String>,
) -> Result<Exit, String> {
    let mut worst_exit = Exit::Success;
    for path in files {
        let name = path.display().to_string();
        let content = std::fs::read(path).map_err(|e| format!("{name}: {e}"))?;
        let converted = convert(&name, &content)?.filter(|c| c.as_bytes() != content);
        let changes = converted.is_some();
        let text = match (changes, check) {
            (false, _) => format!("{name}: unchanged\n"),
            (true, true) => format!("{name}: would change\n"),
            (true, false) => format!("{name}: rewritten\n"),
        };
        output.print(&RewriteResult { file: &name, changes }, &text);
        match converted {
            Some(_) if check => worst_exit = Exit::Negative,
            Some(converted) => replace_file(path, &converted).map_err(|e| format!("{name}: {e}"))?,
            None => {}
        }
    }
    Ok(worst_exit)
}

/// Replaces a file by renaming a complete temporary file, so that an interrupted write leaves no partial
/// file.
fn replace_file(path: &Path, content: &str) -> std::io::Result<()> {
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(".new");
    std::fs::write(&temporary_path, content).and_then(|()| std::fs::rename(&temporary_path, path))
}

fn migrate_files(files: &[PathBuf], check: bool, output: Output) -> Result<Exit, String> {
    rewrite_files(files, check, output, |name, text| {
        let text = std::str::from_utf8(text).map_err(|e| format!("{name}: {e}"))?;
        pearfork_host::settings::migrate(text).map_err(|e| format!("{name}: not migrated\n{e}"))
    })
}

fn format_files(files: &[PathBuf], check: bool, output: Output) -> Result<Exit, String> {
    rewrite_files(files, check, output, |name, text| {
        let describe = |f: pearfork_match::Diagnostics| {
            format!("{name}: not formatted\n{}", f.render(name, text, Severity::Error))
        };
        pearfork_match::format(text).map(Some).map_err(describe)
    })
}
