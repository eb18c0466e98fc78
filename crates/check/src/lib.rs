//! Checks files with the code that a host and a scenario run load them with, so that both accept the same
//! files: [`HostSettings::load`] for settings, the compiler of matching rules, [`Scenario::from_toml`] for
//! scenarios.

pub mod request;

use pearfork_day::scenario::Scenario;
use pearfork_host::settings::{HostSettings, Overrides};
use pearfork_match::{Rules, Severity};
use serde::Serialize;
use std::path::Path;

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Settings of a host.
    Settings,
    /// Matching rules.
    Rules,
    /// A scenario.
    #[serde(rename = "day")]
    Scenario,
}

/// Result of checking a file.
#[derive(Clone, Debug, Serialize)]
pub struct FileCheck {
    /// Path of the file.
    pub file: String,
    /// Kind of the file; `None` where it can't be read.
    pub kind: Option<Kind>,
    /// Whether a host or a scenario run would accept the file.
    #[serde(rename = "right")]
    pub valid: bool,
    /// Error messages; empty where the file is valid.
    #[serde(rename = "faults")]
    pub errors: String,
    /// Warnings about a valid file.
    pub warnings: Vec<String>,
    /// Summary of the content.
    pub summary: String,
    /// Checksum of all values of a settings file, for `pearfork-gateway serve --expect`.
    pub fingerprint: Option<String>,
}

/// Checks a file: `.rules` files are matching rules, TOML files with `[day]` and without `[host]` are
/// scenarios, all others are settings. The result for a file that can't be read has an error and no kind.
pub fn check_file(path: &Path) -> FileCheck {
    check_file_with(path, &Overrides::default())
}

/// Checks a file as [`check_file`] does, with overrides applied to settings files.
pub fn check_file_with(path: &Path, overrides: &Overrides) -> FileCheck {
    let name = path.display().to_string();
    let check = |kind, errors: String, warnings, summary: String| FileCheck {
        file: name.clone(),
        kind,
        valid: errors.is_empty(),
        errors,
        warnings,
        summary,
        fingerprint: None,
    };
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(e) => return check(None, format!("{name}: {e}"), Vec::new(), String::new()),
    };
    if path.extension().is_some_and(|e| e == "rules") {
        return match Rules::compile(&text) {
            Ok(rules) => {
                let warnings = rules.warnings();
                let rendered = warnings.render(&name, &text, Severity::Warning);
                let warnings = if warnings.0.is_empty() { Vec::new() } else { vec![rendered] };
                check(Some(Kind::Rules), String::new(), warnings, summarize_rules(&rules))
            }
            Err(errors) => check(
                Some(Kind::Rules),
                errors.render(&name, &text, Severity::Error),
                Vec::new(),
                String::new(),
            ),
        };
    }
    let is_scenario = std::str::from_utf8(&text)
        .ok()
        .and_then(|t| t.parse::<toml::Table>().ok())
        .is_some_and(|t| t.contains_key("day") && !t.contains_key("host"));
    if is_scenario {
        let scenario = Scenario::from_toml(&String::from_utf8_lossy(&text));
        let errors = scenario.as_ref().err().map_or(String::new(), |e| format!("{name}: {e}"));
        let summary = scenario.map_or(String::new(), |s| {
            format!("{} events, {} client types", s.events.len(), s.clients.len())
        });
        return check(Some(Kind::Scenario), errors, Vec::new(), summary);
    }
    match HostSettings::load_with(path, overrides) {
        Ok(settings) => {
            let summary = format!(
                "{} classes and routes, {} plans, {} volumes; {}; fingerprint {}",
                settings.class_names.len(),
                settings.plan_names.len(),
                settings.volumes.len(),
                summarize_rules(settings.matching.rules()),
                settings.provenance.fingerprint()
            );
            let fingerprint = Some(settings.provenance.fingerprint());
            FileCheck {
                fingerprint,
                ..check(Some(Kind::Settings), String::new(), settings.warnings, summary)
            }
        }
        Err(errors) => check(Some(Kind::Settings), errors.to_string(), Vec::new(), String::new()),
    }
}

/// Returns the number of class rows, the number of plan rows and the greatest number of steps per request.
fn summarize_rules(rules: &Rules) -> String {
    format!(
        "{} class rows, {} plan rows, at most {} steps per request",
        rules.class_rows().count(),
        rules.plan_rows().count(),
        rules.worst_steps()
    )
}
