//! Runs all sessions of a load and merges their results.

use crate::session::{run as run_session, LoadConfig, SessionConfig, SessionError};
use crate::stats::LoadStats;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Stack size of a session's thread in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Runs all sessions, one thread each. Returns the merged results and the time during which requests were
/// sent.
///
/// # Errors
/// Returns the error of the first session that could not start, after all others have finished.
pub fn run(config: &LoadConfig) -> Result<(LoadStats, Duration), SessionError> {
    let config = Arc::new(config.clone());
    let session_configs = config
        .units
        .iter()
        .flat_map(|unit| (0..config.sessions_per_unit.max(1)).map(move |region_index| (unit, region_index)));
    let session_configs = (0u32..).zip(session_configs).map(|(index, (unit, region_index))| SessionConfig {
        load: config.clone(),
        unit: unit.clone(),
        region_index,
        index,
    });
    let started = Instant::now();
    let threads: Vec<_> = session_configs
        .map(|session_config| {
            let builder = std::thread::Builder::new()
                .name(format!("session-{}", session_config.index))
                .stack_size(STACK_BYTES);
            builder.spawn(move || run_session(&session_config))
        })
        .collect();
    let (mut stats, mut first_error) = (LoadStats::default(), None);
    for thread in threads {
        match thread.map(std::thread::JoinHandle::join) {
            Ok(Ok(Ok(session_stats))) => stats.merge(&session_stats),
            Ok(Ok(Err(e))) => first_error = first_error.or(Some(e)),
            // The thread could not be started or panicked: its requests are missing, and the results must
            // show that.
            Ok(Err(_)) | Err(_) => stats.record_verification(
                0,
                vec!["a session thread did not finish: its requests are missing".to_owned()].into_iter(),
            ),
        }
    }
    match first_error {
        Some(e) => Err(e),
        None => Ok((stats, started.elapsed().min(config.duration))),
    }
}
