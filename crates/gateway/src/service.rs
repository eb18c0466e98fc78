//! `pearfork-gateway service`: a host that serves the platform's protocol, started and reloaded by the
//! platform.

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pearfork_cli::Exit;
use pearfork_platform::config::Config;
use pearfork_serving::Service;
use signal_hook::consts::SIGHUP;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// Delay before a failed reload is retried.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after SIGHUP within which a failed reload is retried.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// The path given on the command line, or else the one in [`CONFIG_VARIABLE`].
fn config_path(argument: Option<PathBuf>) -> Result<PathBuf, String> {
    argument.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        format!("no configuration file: give --config FILE, or set {CONFIG_VARIABLE} in the environment")
    })
}

fn read_config(file: &Path) -> Result<Config, String> {
    let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Config::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Serves until SIGTERM or SIGINT; SIGHUP reloads the configuration file.
pub fn serve(argument: Option<PathBuf>, signals: &Receiver<i32>) -> Result<Exit, String> {
    let file = config_path(argument)?;
    let host = Service::start(read_config(&file)?).map_err(|e| e.to_string())?;
    let mut retry_until = None;
    loop {
        match next_signal(signals, retry_until) {
            Ok(SIGHUP) => retry_until = reload(&host, &file, Instant::now() + RELOAD_TIMEOUT),
            Ok(_) | Err(RecvTimeoutError::Disconnected) => break,
            Err(RecvTimeoutError::Timeout) => retry_until = retry_until.and_then(|t| reload(&host, &file, t)),
        }
    }
    tracing::info!("shutting down once the accepted requests are answered");
    Ok(if host.stop() { Exit::Success } else { Exit::Negative })
}

/// Waits for the next signal; with a reload to retry, times out after [`RELOAD_RETRY_DELAY`].
fn next_signal(signals: &Receiver<i32>, retry_until: Option<Instant>) -> Result<i32, RecvTimeoutError> {
    match retry_until {
        Some(_) => signals.recv_timeout(RELOAD_RETRY_DELAY),
        None => signals.recv().map_err(|_| RecvTimeoutError::Disconnected),
    }
}

/// Reloads the file; returns `until` if that failed and is to be retried.
///
/// A file that is half written or invalid must not end a host that serves: the previous configuration stays
/// in force. No second signal comes when the file is complete, so a failed reload is retried.
fn reload(host: &Service, file: &Path, until: Instant) -> Option<Instant> {
    match read_config(file) {
        Ok(new) => {
            tracing::info!(discovery = %new.discovery, "configuration reloaded");
            host.set_discovery_address(new.discovery);
            None
        }
        Err(why) if Instant::now() < until => {
            tracing::warn!(why, "configuration not reloaded, the previous one stays in force; retrying");
            Some(until)
        }
        Err(why) => {
            tracing::error!(why, "configuration not reloaded, the previous one stays in force");
            None
        }
    }
}
