//! Checks files by the very code that a host starts by: [`HostSettings::load`] for settings, the compiler for rule files,
//! [`Day::from_toml`] for days. There is no second opinion here.

pub mod request;

use pearfork_day::scenario::Scenario;
use pearfork_host::settings::{HostSettings, Overrides};
use pearfork_match::{Rules, Severity};
use serde::Serialize;
use std::path::Path;

/// What a file is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Settings of a host.
    Settings,
    /// Matching rules.
    Rules,
    /// A scripted day.
    Day,
}

/// What came of a file.
#[derive(Clone, Debug, Serialize)]
pub struct FileCheck {
    /// Its path.
    pub file: String,
    /// What it was taken for; `None` where it could not be read.
    pub kind: Option<Kind>,
    /// Whether a host would start by it, or use it.
    #[serde(rename = "right")]
    pub valid: bool,
    /// All faults in words, where it is not.
    #[serde(rename = "faults")]
    pub errors: String,
    /// What its writer is to be told all the same.
    pub warnings: Vec<String>,
    /// What there is to know of it.
    pub summary: String,
    /// Of settings: the checksum of all that they say, for `pearfork-gateway serve --expect`.
    pub fingerprint: Option<String>,
}

/// Checks a file of any kind: `.rules` are matching rules, TOML with a `[day]` is a day, all else settings.
pub fn check_file(path: &Path) -> FileCheck {
    check_file_with(path, &Overrides::default())
}

/// The same with variables and flags over settings files.
pub fn check_file_with(path: &Path, over: &Overrides) -> FileCheck {
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
                let told = rules.warnings();
                let words = told.render(&name, &text, Severity::Warning);
                let warnings = if told.0.is_empty() { Vec::new() } else { vec![words] };
                check(Some(Kind::Rules), String::new(), warnings, of_rules(&rules))
            }
            Err(errors) => check(
                Some(Kind::Rules),
                errors.render(&name, &text, Severity::Error),
                Vec::new(),
                String::new(),
            ),
        };
    }
    let is_day = std::str::from_utf8(&text)
        .ok()
        .and_then(|t| t.parse::<toml::Table>().ok())
        .is_some_and(|t| t.contains_key("day") && !t.contains_key("host"));
    if is_day {
        let told = Scenario::from_toml(&String::from_utf8_lossy(&text));
        let errors = told.as_ref().err().map_or(String::new(), |e| format!("{name}: {e}"));
        let summary = told.map_or(String::new(), |d| {
            format!("{} events, {} kinds of clients", d.events.len(), d.clients.len())
        });
        return check(Some(Kind::Day), errors, Vec::new(), summary);
    }
    match HostSettings::load_with(path, over) {
        Ok(plan) => {
            let summary = format!(
                "{} classes and routes, {} plans, {} volumes; {}; fingerprint {}",
                plan.class_names.len(),
                plan.plan_names.len(),
                plan.volumes.len(),
                of_rules(plan.matching.rules()),
                plan.provenance.fingerprint()
            );
            let fingerprint = Some(plan.provenance.fingerprint());
            FileCheck { fingerprint, ..check(Some(Kind::Settings), String::new(), plan.warnings, summary) }
        }
        Err(errors) => check(Some(Kind::Settings), errors.to_string(), Vec::new(), String::new()),
    }
}

fn of_rules(rules: &Rules) -> String {
    format!(
        "{} rows of classes, {} of plans, {} steps a request at most",
        rules.class_rows().count(),
        rules.plan_rows().count(),
        rules.worst_steps()
    )
}
