//! What the programs share: exit codes, where output goes and in which form, the log, settings with what goes over
//! them, man pages and completions.

mod generate;
mod output;

pub use output::{Color, Highlight, Output};

use clap::{CommandFactory, Parser, ValueEnum};
use pearfork_layers::Overrides;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a program ends. The same in all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// All is well.
    Success = 0,
    /// What was asked for was done, and its answer is no: a file is refused, a rule broken, a block wrong.
    Negative = 1,
    /// It could not be done: bad arguments, a file that can't be read, a port that is taken.
    Error = 2,
}

impl From<Exit> for ExitCode {
    fn from(e: Exit) -> ExitCode {
        ExitCode::from(e as u8)
    }
}

/// Flags that every program has.
#[derive(Clone, Debug, clap::Args)]
pub struct CommonArguments {
    /// Where results go.
    #[command(flatten)]
    pub output: Output,
    /// Form of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    pub log: LogFormat,
    /// What is logged: a level, or filters such as `pearfork_host=debug`.
    #[arg(long, default_value = "warn", global = true)]
    pub log_filter: String,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// JSON, a line each.
    Json,
}

impl CommonArguments {
    /// Begins to log to standard error.
    ///
    /// # Errors
    /// A filter that can't be read, in words.
    pub fn start_log(&self) -> Result<(), String> {
        let filter = tracing_subscriber::EnvFilter::try_new(&self.log_filter)
            .map_err(|e| format!("--log-filter `{}`: {e}", self.log_filter))?;
        let log = tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            // Told of on the same standard error, a line that can't be written would end the thread that logs it.
            .log_internal_errors(false)
            .with_ansi(self.output.uses_color(std::io::IsTerminal::is_terminal(&std::io::stderr())))
            .with_env_filter(filter);
        // A log that was begun before is the caller's own.
        let _ = match self.log {
            LogFormat::Text => log.try_init(),
            LogFormat::Json => log.json().try_init(),
        };
        Ok(())
    }
}

/// A settings file, and what goes over it.
#[derive(Clone, Debug, clap::Args)]
pub struct SettingsArguments {
    /// Settings file.
    #[arg(long)]
    pub config: PathBuf,
    /// Put a value over the file's: `--set host.listen=127.0.0.1:3261`, `--set class.write.deadline=3s`. Later ones win.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub set: Vec<String>,
}

/// Variables of the environment that settings are taken from begin so.
pub const VARIABLE_PREFIX: &str = "PEARFORK__";

impl SettingsArguments {
    /// What goes over the file.
    pub fn overrides(&self) -> Overrides {
        overrides(self.set.clone())
    }
}

/// The variables of this process, and flags over them.
pub fn overrides(set: Vec<String>) -> Overrides {
    let variables = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.to_string_lossy().into_owned())))
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX));
    Overrides::new(variables.collect(), set)
}

/// Runs a program: parses its arguments, begins to log, does the work, and ends as that did; what went wrong goes to
/// standard error under the program's name. `--generate man` prints its man page instead, `--generate
/// bash|zsh|fish|elvish|powershell` its completions.
pub fn run<P: Parser + CommandFactory + AsRef<CommonArguments>>(
    work: impl FnOnce(P) -> Result<Exit, String>,
) -> ExitCode {
    let arguments: Vec<String> = std::env::args_os().map(|a| a.to_string_lossy().into_owned()).collect();
    if let [_, flag, what] = &arguments[..] {
        if flag == "--generate" {
            return generate::print(&mut P::command(), what).into();
        }
    }
    let parsed = P::parse();
    let end = match parsed.as_ref().start_log() {
        Ok(()) => work(parsed).unwrap_or_else(|e| {
            eprintln!("{}: {e}", P::command().get_name());
            Exit::Error
        }),
        Err(e) => {
            eprintln!("{e}");
            Exit::Error
        }
    };
    end.into()
}
