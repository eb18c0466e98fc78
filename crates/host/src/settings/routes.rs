//! Routes, what classes ask for their attempts, and where it was given.

use super::tables::File;
use super::Checker;
use crate::units::Span;
use pearfork_layers::{Key, Origin};
use pearfork_terms::Entry;

impl Checker<'_> {
    /// A route is its class with other figures; to the module it is a class like any other.
    pub(super) fn routes(&mut self, file: &File, classes: &[pearfork::Class]) -> Vec<pearfork::Class> {
        let mut routes = Vec::new();
        for r in &file.route {
            let entry = format!("route `{}`", r.name);
            let Some(at) = file.class.iter().position(|c| c.name == r.class) else {
                self.fault(&entry, format!("there is no class `{}`", r.class));
                continue;
            };
            let mut class = classes[at].clone();
            let or = |span: Option<Span>, own: f64| span.map_or(own, Span::ms);
            class.aim_ms = or(r.aim, class.aim_ms);
            class.deadline_ms = or(r.deadline, class.deadline_ms);
            class.attempt_policy.retry_delay_ms = or(r.retry_pause, class.attempt_policy.retry_delay_ms);
            class.attempt_policy.retry_jitter_ms = or(r.retry_spread, class.attempt_policy.retry_jitter_ms);
            if r.attempt.is_some() {
                class.attempt_policy.attempt_timeout_ms = self.span_above_0(&entry, "attempt", r.attempt);
            }
            if r.attempts.is_some() {
                class.attempt_policy.attempts = self.number_above_0(&entry, r.attempts);
            }
            if r.second_copy_after.is_some() {
                class.attempt_policy.hedge_after_ms =
                    self.span_above_0(&entry, "second_copy_after", r.second_copy_after);
            }
            routes.push(class);
        }
        routes
    }

    /// Milliseconds, 0 where nothing is given. Danger: a 0 that is written down reads as none, and means all.
    pub(super) fn span_above_0(&mut self, entry: &str, key: &str, span: Option<Span>) -> f64 {
        if span.is_some_and(|s| s.ms() <= 0.0) {
            self.fault(entry, format!("{key} is 0; leave it out where none is wanted"));
        }
        span.map_or(0.0, Span::ms)
    }

    /// The same for a number of attempts.
    pub(super) fn number_above_0(&mut self, entry: &str, attempts: Option<u32>) -> u32 {
        if attempts == Some(0) {
            self.fault(entry, "attempts is 0; a request needs one attempt at least");
        }
        attempts.unwrap_or(0)
    }

    /// Where a key of an entry was given, or the entry itself where the key is not written.
    pub(super) fn place_of(&self, file: &File, entry: Entry, key: &str) -> String {
        let at = match entry {
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
        match self.layers.origin(&at.child(key)) {
            // With one file there is no need to say which.
            Some(Origin::File { line, .. }) if self.layers.is_single_file() => format!("line {line}"),
            Some(origin) => origin.to_string(),
            None => "line 1".to_owned(),
        }
    }
}
