//! Shims of our own around the program: a wall clock that is off, system calls that fail. Compiled from C when a test asks.

use super::Program;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// A system call that fails with an errno, for so many of a thousand calls.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    pub call: &'static str,
    pub errno: rustix::io::Errno,
    pub per_mille: u32,
}

/// When calls fail, counted from the program's start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    pub after_ms: u64,
    pub for_ms: Option<u64>,
}

/// Built shims, in a folder that lives as long as they do.
pub struct Shims {
    folder: tempfile::TempDir,
}

fn compile(source: &str, into: &Path, flags: &[&str]) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shims").join(source);
    let built = into.join(source).with_extension("built");
    let status = Command::new("cc").args(flags).arg("-O1").arg("-o").arg(&built).arg(from).status().unwrap();
    assert!(status.success(), "{source} does not compile");
    built
}

impl Shims {
    pub fn build() -> Shims {
        Shims { folder: tempfile::tempdir().unwrap() }
    }

    /// The program with a wall clock that is ahead by so many seconds; [`Shims::set_clock`] moves it while it runs.
    pub fn start_with_clock(&self, config: &Path, ahead_seconds: i64) -> Program {
        let library = compile("clock.c", self.folder.path(), &["-shared", "-fPIC"]);
        self.set_clock(ahead_seconds);
        let mut command = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"));
        command.args(["service", "--log-filter", "info"]);
        command.env("LD_PRELOAD", library).env("SHIM_CLOCK_FILE", self.clock_file());
        Program::spawn(command, config)
    }

    pub fn set_clock(&self, ahead_seconds: i64) {
        let next = self.folder.path().join("clock.next");
        std::fs::write(&next, format!("{ahead_seconds}\n")).unwrap();
        std::fs::rename(next, self.clock_file()).unwrap();
    }

    fn clock_file(&self) -> PathBuf {
        self.folder.path().join("clock")
    }

    /// The program with a wall clock that is ahead and system calls that fail.
    pub fn start(&self, config: &Path, ahead_seconds: i64, seed: u64, failures: &[Failure]) -> Program {
        if failures.is_empty() {
            return self.start_with_clock(config, ahead_seconds);
        }
        self.start_with_failures(config, seed, failures, Window::default())
    }

    /// The program with system calls that fail.
    pub fn start_with_failures(
        &self,
        config: &Path,
        seed: u64,
        failures: &[Failure],
        when: Window,
    ) -> Program {
        let launcher = compile("faults.c", self.folder.path(), &[]);
        let mut command = Command::new(launcher);
        command.arg(seed.to_string());
        let rule = |f: &Failure| format!("{}:{}:{}", f.call, f.errno.raw_os_error(), f.per_mille);
        command.args(failures.iter().map(rule));
        command.args(["--", env!("CARGO_BIN_EXE_pearfork-gateway"), "service", "--log-filter", "info"]);
        command.env("FAULTS_AFTER_MS", when.after_ms.to_string());
        if let Some(for_ms) = when.for_ms {
            command.env("FAULTS_FOR_MS", for_ms.to_string());
        }
        Program::spawn(command, config)
    }
}

/// The program with a log that can't be written: its device is full.
pub fn start_with_full_log(config: &Path) -> Program {
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"));
    command.args(["service", "--log-filter", "trace"]).stderr(Stdio::from(full));
    Program::spawn_unread(command, config)
}
