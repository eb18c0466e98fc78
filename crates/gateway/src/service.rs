//! `pearfork-gateway service`: a host on the platform's protocol, started as the platform starts one.

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pearfork_cli::Exit;
use pearfork_platform::config::Config;
use pearfork_serving::Service;
use signal_hook::consts::SIGHUP;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The variable in which the platform names the configuration file.
const VARIABLE: &str = "ROUTER_CONFIG";

/// A file that could not be read anew is tried again at this pace, for so long.
const READ_AGAIN: Duration = Duration::from_millis(100);
const READ_WITHIN: Duration = Duration::from_secs(3);

/// The file that was named, or the one that the platform names.
fn file(named: Option<PathBuf>) -> Result<PathBuf, String> {
    named.or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        format!("name the configuration file: --config FILE, or {VARIABLE} in the environment")
    })
}

fn read(file: &Path) -> Result<Config, String> {
    let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Config::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Serves until SIGTERM or SIGINT; on SIGHUP the file is read anew.
pub fn serve(named: Option<PathBuf>, signals: &Receiver<i32>) -> Result<Exit, String> {
    let file = file(named)?;
    let host = Service::start(read(&file)?).map_err(|e| e.to_string())?;
    let mut again = None;
    loop {
        match next(signals, again) {
            Ok(SIGHUP) => again = read_anew(&host, &file, Instant::now() + READ_WITHIN),
            Ok(_) | Err(RecvTimeoutError::Disconnected) => break,
            Err(RecvTimeoutError::Timeout) => again = again.and_then(|until| read_anew(&host, &file, until)),
        }
    }
    tracing::info!("leaving: what was taken is answered first");
    Ok(if host.stop() { Exit::Fine } else { Exit::No })
}

/// The next signal; where a file is to be read again, a time-out before that.
fn next(signals: &Receiver<i32>, again: Option<Instant>) -> Result<i32, RecvTimeoutError> {
    match again {
        Some(_) => signals.recv_timeout(READ_AGAIN),
        None => signals.recv().map_err(|_| RecvTimeoutError::Disconnected),
    }
}

/// Reads the file anew; until when it is to be tried again, where it could not be read.
///
/// Danger: a file that is half written or wrong must not end a host that serves; the old one stays in force. One that is
/// whole a moment later is told by no further signal.
fn read_anew(host: &Service, file: &Path, until: Instant) -> Option<Instant> {
    match read(file) {
        Ok(new) => {
            tracing::info!(discovery = %new.discovery, "configuration read anew");
            host.set_discovery_address(new.discovery);
            None
        }
        Err(why) if Instant::now() < until => {
            tracing::warn!(why, "the old configuration stays; the file is read again");
            Some(until)
        }
        Err(why) => {
            tracing::error!(why, "the old configuration stays");
            None
        }
    }
}
