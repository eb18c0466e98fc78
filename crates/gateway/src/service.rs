//! `pearfork-gateway service`: a host on the platform's protocol, started as the platform starts one.

use crossbeam_channel::Receiver;
use pearfork_cli::Exit;
use pearfork_platform::config::Config;
use pearfork_serving::Serving;
use signal_hook::consts::SIGHUP;
use std::path::{Path, PathBuf};

/// The variable in which the platform names the configuration file.
const VARIABLE: &str = "ROUTER_CONFIG";

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
    let host = Serving::start(read(&file)?).map_err(|e| e.to_string())?;
    for signal in signals {
        if signal != SIGHUP {
            break;
        }
        // Danger: a file that is half written or wrong must not end a host that serves; the old one stays in force.
        match read(&file) {
            Ok(new) => {
                tracing::info!(discovery = %new.discovery, "configuration read anew");
                host.follow(new.discovery);
            }
            Err(why) => tracing::error!(why, "the old configuration stays"),
        }
    }
    tracing::info!("leaving: what was taken is answered first");
    Ok(if host.stop() { Exit::Fine } else { Exit::No })
}
