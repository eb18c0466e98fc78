//! The matching rules, checked against the classes, plans and volumes of the same settings.

use super::tables::SettingsFile;
use super::{Checker, HostSettingsError};
use crate::volumes::Volume;
use pearfork_layers::Key;
use pearfork_match::{closest_match, Diagnostic, Diagnostics, Fields, Rules, Severity, Span};
use std::collections::{HashMap, HashSet};
use std::path::Path;

/// The rules that give each request its class, plan and key, with the positions of the classes and plans that
/// they name.
#[derive(Clone, Debug)]
pub struct Matching {
    rules: Rules,
    source: RulesSource,
    text: String,
    class_positions: Vec<u16>,
    plan_positions: HashMap<String, u16>,
}

/// The text that holds the rules, for rendering errors with their place in it.
#[derive(Clone, Debug)]
struct RulesSource {
    name: String,
    text: String,
    /// Byte offset of the rules in the text.
    offset: usize,
}

impl RulesSource {
    fn render(&self, errors: Diagnostics, severity: Severity) -> String {
        errors.shifted(self.offset).render(&self.name, self.text.as_bytes(), severity)
    }
}

impl Matching {
    /// The class of a request. Compiling the rules has verified that they give one to every request.
    pub fn class_of(&self, fields: &Fields<'_>) -> u16 {
        let number = self.rules.class_index(fields).unwrap_or(0);
        self.class_positions.get(number).copied().unwrap_or(0)
    }

    /// The plan of a request, if the rules give one.
    pub fn plan_of(&self, fields: &Fields<'_>) -> Option<u16> {
        self.plan_positions.get(self.rules.plan(fields)?).copied()
    }

    /// The key of a request, if the rules give one; otherwise its extent is the key.
    pub fn key_of(&self, fields: &Fields<'_>) -> Option<u64> {
        self.rules.key(fields)
    }

    /// The compiled rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The whole text of the rules.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// The line number and the source text of a place in the rules.
    pub fn source_at(&self, span: Span) -> (usize, &str) {
        let (from, to) = (span.start + self.source.offset, span.end + self.source.offset);
        let text = &self.source.text;
        (1 + text.get(..from).map_or(0, |t| t.matches('\n').count()), text.get(from..to).unwrap_or(""))
    }
}

impl Checker<'_> {
    fn source(&mut self, file: &SettingsFile) -> Option<(RulesSource, String)> {
        match (&file.r#match.rules, &file.r#match.file) {
            (Some(text), None) => {
                let given = self.layers.values(&Key::of(&["match", "rules"])).last();
                let rules_alone = |name: String| RulesSource { name, text: text.clone(), offset: 0 };
                let source = match given.and_then(|g| g.span.clone()) {
                    Some((at, span)) => {
                        let file = &self.layers.sources[at];
                        // A string with escapes does not occur literally in the file; its lines are counted
                        // from its own start.
                        match file.text.get(span.clone()).unwrap_or("").find(text.as_str()) {
                            Some(from) => RulesSource {
                                name: file.name.clone(),
                                text: file.text.clone(),
                                offset: span.start + from,
                            },
                            None => rules_alone(format!("{}, match.rules", file.name)),
                        }
                    }
                    None => rules_alone(given.map_or("match.rules".to_owned(), |g| g.origin.to_string())),
                };
                Some((source, text.clone()))
            }
            (None, Some(name)) => match (self.read)(&self.resolve(name)) {
                Ok(text) => Some((RulesSource { name: name.clone(), text: text.clone(), offset: 0 }, text)),
                Err(why) => {
                    self.errors
                        .push(HostSettingsError::Unreadable { file: format!("match.file {name}"), why });
                    None
                }
            },
            _ => {
                self.error("match", "give either `rules` or `file`");
                None
            }
        }
    }

    /// The path of a rules file: relative to the file that names it.
    fn resolve(&self, name: &str) -> String {
        let given = self.layers.values(&Key::of(&["match", "file"])).last();
        // The last source is the settings file itself. Paths in it, and in variables and flags, are relative
        // to its folder.
        let included = |at: &usize| at + 1 < self.layers.sources.len();
        let Some(source) = given.and_then(|g| g.span.as_ref()).map(|(at, _)| *at).filter(included) else {
            return name.to_owned();
        };
        let folder = Path::new(&self.layers.sources[source].name).parent().unwrap_or(Path::new(""));
        folder.join(name).to_string_lossy().into_owned()
    }

    pub(super) fn matching(
        &mut self,
        file: &SettingsFile,
        names: &[String],
        classes: &[pearfork::Class],
        volumes: &[Volume],
    ) -> Option<Matching> {
        let (source, text) = self.source(file)?;
        let rules = match Rules::compile_with_limit(text.as_bytes(), file.r#match.max_steps) {
            Ok(rules) => rules,
            Err(errors) => {
                self.errors.push(HostSettingsError::Rules(source.render(errors, Severity::Error)));
                return None;
            }
        };
        let plans: HashMap<String, u16> =
            file.plan.iter().enumerate().map(|(i, p)| (p.name.clone(), i as u16)).collect();
        let known_classes = names.iter().map(String::as_str).collect();
        let known_plans = plans.keys().map(String::as_str).collect();
        let mut unknown = unknown_names("class", rules.class_rows(), &known_classes);
        unknown.extend(unknown_names("plan", rules.plan_rows(), &known_plans));
        if !unknown.is_empty() {
            self.errors.push(HostSettingsError::Rules(source.render(Diagnostics(unknown), Severity::Error)));
        }
        // A route that no request can reach is a mistake in the rules.
        let unreachable: HashSet<usize> = rules.warnings().0.iter().map(|w| w.span.start).collect();
        let reached: HashSet<&str> =
            rules.class_rows().filter(|r| !unreachable.contains(&r.1.start)).map(|r| r.0).collect();
        for r in file.route.iter().filter(|r| !reached.contains(r.name.as_str())) {
            let what = "no request can reach it: a row `class \"...\" if ...` of the matching rules must name it, and match";
            self.error(format!("route `{}`", r.name), what);
        }
        // COMPARE AND WRITE must not run twice: the second run would compare with what the first one wrote,
        // and report a miscompare for a command that succeeded.
        for name in rules.reachable_classes("compare-and-write") {
            let class = names.iter().position(|n| n == name).map(|i| &classes[i]);
            if class.is_some_and(|c| c.effect != pearfork::Effect::Unsafe) {
                let what =
                    "may match compare-and-write, which must not run twice: make its effect \"unsafe\", or \
                            begin the rules with a row `if op == \"compare-and-write\"` for a class that is";
                self.error(format!("class `{name}`"), what);
            }
        }
        if !rules.warnings().0.is_empty() {
            self.warnings.push(source.render(rules.warnings().clone(), Severity::Warning));
        }
        self.check_order(&rules, names, classes, volumes);
        let class = |n: &&str| names.iter().position(|c| c == n).unwrap_or(0) as u16;
        let class_positions = rules.class_names().iter().map(class).collect();
        Some(Matching { rules, source, text, class_positions, plan_positions: plans })
    }

    /// Warns about keys that can divide a block's requests. Order is kept among the requests of one key: if
    /// requests for one block can have two keys, a later write may overtake an earlier one.
    fn check_order(
        &mut self,
        rules: &Rules,
        names: &[String],
        classes: &[pearfork::Class],
        volumes: &[Volume],
    ) {
        let ordered: Vec<&str> =
            names.iter().zip(classes).filter(|(_, c)| c.ordered).map(|(n, _)| n.as_str()).collect();
        let used = rules.class_names();
        let Some(key) = rules.key_dependencies().filter(|_| ordered.iter().any(|o| used.contains(o))) else {
            return;
        };
        for v in volumes {
            for problem in key.conflicts(v.extent_blocks) {
                self.warnings.push(format!(
                    "warning: `key` orders class {}, and on volume `{}` {problem}",
                    ordered.join(", "),
                    v.name
                ));
            }
        }
    }
}

/// One error for each name that the rules use and the settings do not define.
fn unknown_names<'a>(
    kind: &str,
    rows: impl Iterator<Item = (&'a str, Span)>,
    known: &HashSet<&str>,
) -> Vec<Diagnostic> {
    let mut reported = HashSet::new();
    let error = |(name, span): (&str, Span)| {
        let error = Diagnostic::new(span, format!("there is no [[{kind}]] `{name}`"));
        match closest_match(name, known.iter().copied()) {
            Some(near) => error.help(format!("did you mean \"{near}\"?")),
            None => error
                .help(format!("each {kind} that the rules name needs a [[{kind}]] table in the settings")),
        }
    };
    let mut is_unknown = |name: &'a str| !known.contains(name) && reported.insert(name);
    rows.filter(|(name, _)| is_unknown(name)).map(error).collect()
}
