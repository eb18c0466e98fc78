//! Command-line functions shared by all programs: exit codes, text and JSON output, logging, settings files
//! with overrides, man pages and shell completions.

mod generate;
mod output;

pub use output::{Color, Highlight, Output};

use clap::{CommandFactory, Parser, ValueEnum};
use pearfork_layers::Overrides;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a program; the same in all programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The operation succeeded.
    Success = 0,
    /// The operation was carried out with a negative result: an invalid file, a broken rule, a wrong block.
    Negative = 1,
    /// The operation could not be carried out: bad arguments, a file that can't be read, a port in use.
    Error = 2,
}

impl From<Exit> for ExitCode {
    fn from(e: Exit) -> ExitCode {
        ExitCode::from(e as u8)
    }
}

/// Flags of every program.
#[derive(Clone, Debug, clap::Args)]
pub struct CommonArguments {
    /// Format of the results.
    #[command(flatten)]
    pub output: Output,
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    pub log: LogFormat,
    /// Filter of the log: a level, or filters such as `pearfork_host=debug`.
    #[arg(long, default_value = "warn", global = true)]
    pub log_filter: String,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// One JSON object per line.
    Json,
}

impl CommonArguments {
    /// Starts logging to standard error.
    ///
    /// # Errors
    /// The log filter is invalid.
    pub fn start_log(&self) -> Result<(), String> {
        let filter = tracing_subscriber::EnvFilter::try_new(&self.log_filter)
            .map_err(|e| format!("--log-filter `{}`: {e}", self.log_filter))?;
        let subscriber = tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            // A report of a failed write would go to the same standard error, fail as well and panic the
            // logging thread.
            .log_internal_errors(false)
            .with_ansi(self.output.uses_color(std::io::IsTerminal::is_terminal(&std::io::stderr())))
            .with_env_filter(filter);
        // Initialization fails where the caller has set up a log already; that log stays in use.
        let _ = match self.log {
            LogFormat::Text => subscriber.try_init(),
            LogFormat::Json => subscriber.json().try_init(),
        };
        Ok(())
    }
}

/// A settings file and overrides of its values.
#[derive(Clone, Debug, clap::Args)]
pub struct SettingsArguments {
    /// Settings file.
    #[arg(long)]
    pub config: PathBuf,
    /// Override a value of the file: `--set host.listen=127.0.0.1:3261`, `--set class.write.deadline=3s`. Of
    /// several for one key, the last one applies.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub set: Vec<String>,
}

/// Prefix of the environment variables that override settings.
pub const VARIABLE_PREFIX: &str = "PEARFORK__";

impl SettingsArguments {
    /// The overrides from the environment and from `--set`.
    pub fn overrides(&self) -> Overrides {
        overrides(self.set.clone())
    }
}

/// The overrides from the environment variables of this process, and from `--set` flags, which take
/// precedence.
pub fn overrides(set: Vec<String>) -> Overrides {
    let variables = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.to_string_lossy().into_owned())))
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX));
    Overrides::new(variables.collect(), set)
}

/// Runs a program: parses its arguments, starts the log and calls `run_program`. An error is printed to
/// standard error after the program's name. With `--generate man` it prints its man page instead, with
/// `--generate bash|zsh|fish|elvish|powershell` its completions.
pub fn run<P: Parser + CommandFactory + AsRef<CommonArguments>>(
    run_program: impl FnOnce(P) -> Result<Exit, String>,
) -> ExitCode {
    let arguments: Vec<String> = std::env::args_os().map(|a| a.to_string_lossy().into_owned()).collect();
    if let [_, flag, format] = &arguments[..] {
        if flag == "--generate" {
            return generate::print(&mut P::command(), format).into();
        }
    }
    let parsed = P::parse();
    let exit = match parsed.as_ref().start_log() {
        Ok(()) => run_program(parsed).unwrap_or_else(|e| {
            eprintln!("{}: {e}", P::command().get_name());
            Exit::Error
        }),
        Err(e) => {
            eprintln!("{e}");
            Exit::Error
        }
    };
    exit.into()
}
