//! Runs the program with an offset wall clock or failing system calls. The shims are C programs that a test
//! compiles.

use super::GatewayProcess;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// A system call that fails with `errno` with a probability of `per_mille`/1000.
#[derive(Clone, Copy, Debug)]
pub struct SyscallFault {
    pub call: &'static str,
    pub errno: rustix::io::Errno,
    pub per_mille: u32,
}

/// When calls fail, counted from the program's start; without a duration, until its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultWindow {
    pub start_ms: u64,
    pub duration_ms: Option<u64>,
}

/// Folder of the compiled shims.
pub struct Shims {
    folder: tempfile::TempDir,
}

fn compile(source: &str, folder: &Path, flags: &[&str]) -> PathBuf {
    let source_path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shims").join(source);
    let output = folder.join(source).with_extension("built");
    let status =
        Command::new("cc").args(flags).arg("-O1").arg("-o").arg(&output).arg(source_path).status().unwrap();
    assert!(status.success(), "{source} does not compile");
    output
}

impl Shims {
    pub fn create() -> Shims {
        Shims { folder: tempfile::tempdir().unwrap() }
    }

    /// Starts the program with a wall clock that is ahead by `ahead_seconds`; [`Shims::set_clock`] changes
    /// that while it runs.
    pub fn start_with_clock(&self, config: &Path, ahead_seconds: i64) -> GatewayProcess {
        let library = compile("clock.c", self.folder.path(), &["-shared", "-fPIC"]);
        self.set_clock(ahead_seconds);
        let mut command = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"));
        command.args(["service", "--log-filter", "info"]);
        command.env("LD_PRELOAD", library).env("SHIM_CLOCK_FILE", self.clock_file());
        GatewayProcess::spawn(command, config)
    }

    /// Sets how far the program's wall clock is ahead.
    pub fn set_clock(&self, ahead_seconds: i64) {
        let next = self.folder.path().join("clock.next");
        std::fs::write(&next, format!("{ahead_seconds}\n")).unwrap();
        std::fs::rename(next, self.clock_file()).unwrap();
    }

    fn clock_file(&self) -> PathBuf {
        self.folder.path().join("clock")
    }

    /// Starts the program with failing system calls, or, without `faults`, with a wall clock that is ahead.
    pub fn start(
        &self,
        config: &Path,
        ahead_seconds: i64,
        seed: u64,
        faults: &[SyscallFault],
    ) -> GatewayProcess {
        if faults.is_empty() {
            return self.start_with_clock(config, ahead_seconds);
        }
        self.start_with_syscall_faults(config, seed, faults, FaultWindow::default())
    }

    /// Starts the program with system calls that fail within a window.
    pub fn start_with_syscall_faults(
        &self,
        config: &Path,
        seed: u64,
        faults: &[SyscallFault],
        window: FaultWindow,
    ) -> GatewayProcess {
        let launcher = compile("faults.c", self.folder.path(), &[]);
        let mut command = Command::new(launcher);
        command.arg(seed.to_string());
        let rule = |f: &SyscallFault| format!("{}:{}:{}", f.call, f.errno.raw_os_error(), f.per_mille);
        command.args(faults.iter().map(rule));
        command.args(["--", env!("CARGO_BIN_EXE_pearfork-gateway"), "service", "--log-filter", "info"]);
        command.env("FAULTS_AFTER_MS", window.start_ms.to_string());
        if let Some(duration_ms) = window.duration_ms {
            command.env("FAULTS_FOR_MS", duration_ms.to_string());
        }
        GatewayProcess::spawn(command, config)
    }
}

/// Starts the program with its log on a full device: every write of the log fails.
pub fn start_with_full_log_device(config: &Path) -> GatewayProcess {
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"));
    command.args(["service", "--log-filter", "trace"]).stderr(Stdio::from(full));
    GatewayProcess::spawn_unread(command, config)
}
