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
pub struct Verdict {
    /// Its path.
    pub file: String,
    /// What it was taken for; `None` where it could not be read.
    pub kind: Option<Kind>,
    /// Whether a host would start by it, or use it.
    pub right: bool,
    /// All faults in words, where it is not.
    pub faults: String,
    /// What its writer is to be told all the same.
    pub warnings: Vec<String>,
    /// What there is to know of it.
    pub summary: String,
    /// Of settings: the checksum of all that they say, for `pearfork-gateway serve --expect`.
    pub fingerprint: Option<String>,
}

/// Checks a file of any kind: `.rules` are matching rules, TOML with a `[day]` is a day, all else settings.
pub fn file(path: &Path) -> Verdict {
    file_with(path, &Overrides::default())
}

/// The same with variables and flags over settings files.
pub fn file_with(path: &Path, over: &Overrides) -> Verdict {
    let name = path.display().to_string();
    let verdict = |kind, faults: String, warnings, summary: String| Verdict {
        file: name.clone(),
        kind,
        right: faults.is_empty(),
        faults,
        warnings,
        summary,
        fingerprint: None,
    };
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(e) => return verdict(None, format!("{name}: {e}"), Vec::new(), String::new()),
    };
    if path.extension().is_some_and(|e| e == "rules") {
        return match Rules::compile(&text) {
            Ok(rules) => {
                let told = rules.warnings();
                let words = told.render(&name, &text, Severity::Warning);
                let warnings = if told.0.is_empty() { Vec::new() } else { vec![words] };
                verdict(Some(Kind::Rules), String::new(), warnings, of_rules(&rules))
            }
            Err(faults) => verdict(
                Some(Kind::Rules),
                faults.render(&name, &text, Severity::Error),
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
        let faults = told.as_ref().err().map_or(String::new(), |e| format!("{name}: {e}"));
        let summary = told.map_or(String::new(), |d| {
            format!("{} events, {} kinds of clients", d.events.len(), d.clients.len())
        });
        return verdict(Some(Kind::Day), faults, Vec::new(), summary);
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
            Verdict { fingerprint, ..verdict(Some(Kind::Settings), String::new(), plan.warnings, summary) }
        }
        Err(faults) => verdict(Some(Kind::Settings), faults.to_string(), Vec::new(), String::new()),
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
