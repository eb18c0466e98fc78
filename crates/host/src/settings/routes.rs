//! Routes, optional settings of attempts, and the place where a value was set.

use super::tables::SettingsFile;
use super::Checker;
use crate::units::Span;
use pearfork_layers::{Key, Origin};
use pearfork_terms::Entry;

impl Checker<'_> {
    /// Builds the classes of the routes: a route is a copy of its class with some values replaced, and a
    /// class like any other to the scheduler.
    pub(super) fn routes(
        &mut self,
        file: &SettingsFile,
        classes: &[pearfork::Class],
    ) -> Vec<pearfork::Class> {
        let mut routes = Vec::new();
        for r in &file.route {
            let entry = format!("route `{}`", r.name);
            let Some(position) = file.class.iter().position(|c| c.name == r.class) else {
                self.error(&entry, format!("there is no class `{}`", r.class));
                continue;
            };
            let mut class = classes[position].clone();
            let ms_or = |span: Option<Span>, inherited: f64| span.map_or(inherited, Span::ms);
            class.aim_ms = ms_or(r.aim, class.aim_ms);
            class.deadline_ms = ms_or(r.deadline, class.deadline_ms);
            class.attempt_policy.retry_delay_ms = ms_or(r.retry_pause, class.attempt_policy.retry_delay_ms);
            class.attempt_policy.retry_jitter_ms =
                ms_or(r.retry_spread, class.attempt_policy.retry_jitter_ms);
            if r.attempt.is_some() {
                class.attempt_policy.attempt_timeout_ms = self.optional_ms(&entry, "attempt", r.attempt);
            }
            if r.attempts.is_some() {
                class.attempt_policy.attempts = self.optional_attempts(&entry, r.attempts);
            }
            if r.second_copy_after.is_some() {
                class.attempt_policy.hedge_after_ms =
                    self.optional_ms(&entry, "second_copy_after", r.second_copy_after);
            }
            routes.push(class);
        }
        routes
    }

    /// The milliseconds of an optional setting, 0 if it is absent. A 0 in the file is an error: it looks like
    /// a limit of zero, but would mean no limit.
    pub(super) fn optional_ms(&mut self, entry: &str, key: &str, span: Option<Span>) -> f64 {
        if span.is_some_and(|s| s.ms() <= 0.0) {
            self.error(entry, format!("{key} is 0; it must be above 0, or be left out for none"));
        }
        span.map_or(0.0, Span::ms)
    }

    /// The value of an optional number of attempts, as [`Self::optional_ms`] for durations.
    pub(super) fn optional_attempts(&mut self, entry: &str, attempts: Option<u32>) -> u32 {
        if attempts == Some(0) {
            self.error(entry, "attempts is 0; it must be at least 1, or be left out");
        }
        attempts.unwrap_or(0)
    }

    /// The place where a key of an entry was set; the place of the entry if the key is absent.
    pub(super) fn location_of(&self, file: &SettingsFile, entry: Entry, key: &str) -> String {
        let entry_key = match entry {
            Entry::Class(i) => match file.class.get(i) {
                Some(class) => Key::of(&["class", &class.name]),
                None => {
                    let route = file.route.get(i - file.class.len());
                    Key::of(&["route", route.map_or("", |r| &r.name)])
                }
            },
            Entry::Plan(i) => Key::of(&["plan", file.plan.get(i).map_or("", |p| &p.name)]),
            Entry::Rules => Key::of(&["rules"]),
        };
        match self.layers.origin(&entry_key.child(key)) {
            // With a single file the line identifies the place.
            Some(Origin::File { line, .. }) if self.layers.is_single_file() => format!("line {line}"),
            Some(origin) => origin.to_string(),
            None => "line 1".to_owned(),
        }
    }
}
