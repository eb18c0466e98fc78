//! Overrides from environment variables and command-line flags.

use crate::merge::{is_named, name_of};
use crate::{Key, LayerError, LayerValue, Layers, Origin};
use toml::{Table, Value};

/// Overrides that are applied on top of the files: environment variables first, then flags.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Names and values; `PEARFORK__RULES__DRAIN_GRACE` sets `rules.drain_grace`.
    environment: Vec<(String, String)>,
    /// Flags as `KEY=VALUE`.
    flags: Vec<String>,
}

impl Overrides {
    /// Takes variables as pairs of name and value, and flags as `KEY=VALUE`. The part of a variable's name
    /// before the first `__` is a prefix and is ignored.
    pub fn new(environment: Vec<(String, String)>, flags: Vec<String>) -> Self {
        Overrides { environment, flags }
    }

    pub(crate) fn apply(&self, layers: &mut Layers, exclusive: &[[&str; 3]], errors: &mut Vec<LayerError>) {
        let mut environment = self.environment.clone();
        environment.sort();
        let variables = environment.iter().map(|(name, text)| {
            let mut parts = name.split("__").skip(1).map(str::to_owned).peekable();
            let key = match parts.peek() {
                Some(_) => Ok(parts.collect::<Vec<String>>()),
                None => Err("names no value".to_owned()),
            };
            (Origin::Variable(name.clone()), key, text.as_str(), true)
        });
        let flags = self.flags.iter().map(|flag| {
            let (key, text) = flag.split_once('=').unwrap_or((flag, ""));
            let key = match flag.contains('=') {
                true => key.trim().parse::<Key>().map(|k| k.parts().to_vec()).map_err(|e| e.to_string()),
                false => Err("has no `=`; write KEY=VALUE".to_owned()),
            };
            (Origin::Flag(flag.clone()), key, text, false)
        });
        for (origin, key, text, is_variable) in variables.chain(flags) {
            let applied =
                key.and_then(|key| layers.set(&key, &parse_value(text), is_variable, &origin, exclusive));
            if let Err(message) = applied {
                errors.push(LayerError::Override { origin, message });
            }
        }
    }
}

/// Parses a text as a TOML value; a text that is not valid TOML becomes a string, so that `3s` needs no
/// quotes.
fn parse_value(text: &str) -> Value {
    let parsed = toml::from_str::<Table>(&format!("v = {text}")).ok();
    let value = parsed.filter(|t| t.len() == 1).and_then(|mut t| t.remove("v"));
    value.unwrap_or_else(|| Value::String(text.to_owned()))
}

/// Whether a part of a variable's name matches a key: case is ignored, and `_` matches any character that is
/// not allowed in the name of a variable.
fn matches_variable(part: &str, key: &str) -> bool {
    let normalize = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '_' };
    part.chars().map(normalize).eq(key.chars().map(normalize))
}

impl Layers {
    /// Sets one value in the merged table. Entries of named arrays must already exist: a mistyped name would
    /// otherwise silently add an entry, such as a volume.
    fn set(
        &mut self,
        parts: &[String],
        value: &Value,
        is_variable: bool,
        origin: &Origin,
        exclusive: &[[&str; 3]],
    ) -> Result<(), String> {
        if value.is_table() || is_named(value) {
            return Err("the value is a table; set its keys one by one".to_owned());
        }
        let matches =
            |part: &str, key: &str| if is_variable { matches_variable(part, key) } else { part == key };
        let Some((last, parents)) = parts.split_last() else { return Err("names no value".to_owned()) };
        let mut path = Key::default();
        let mut table: &mut Table = &mut self.merged;
        let mut remaining = parents.iter();
        while let Some(part) = remaining.next() {
            let key = table.keys().find(|k| matches(part, k)).cloned();
            let key = key.unwrap_or_else(|| if is_variable { part.to_lowercase() } else { part.clone() });
            path = path.child(&key);
            let existing = table.entry(key.clone()).or_insert_with(|| Value::Table(Table::new()));
            if is_named(existing) {
                let Some(name) = remaining.next() else {
                    return Err(format!("`{path}` has entries; write {path}.NAME.KEY"));
                };
                let Value::Array(entries) = existing else { return Err(format!("`{path}` has no entries")) };
                let known: Vec<String> = entries.iter().filter_map(name_of).map(str::to_owned).collect();
                let found = entries.iter_mut().find(|e| name_of(e).is_some_and(|n| matches(name, n)));
                let Some(entry) = found.and_then(Value::as_table_mut) else {
                    return Err(format!("there is no {key} `{name}`; there are {}", known.join(", ")));
                };
                let name = entry.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
                path = path.child(&name);
                table = entry;
            } else if let Value::Table(inner) = existing {
                table = inner;
            } else {
                return Err(format!("`{path}` is a value and has no keys"));
            }
        }
        let key = table.keys().find(|k| matches(last, k)).cloned();
        let key = key.unwrap_or_else(|| if is_variable { last.to_lowercase() } else { last.clone() });
        if table.get(&key).is_some_and(is_named) {
            return Err(format!("`{key}` has entries; write {key}.NAME.KEY"));
        }
        let mut replaced = None;
        for [parent, a, b] in exclusive {
            let other = if key == *a { b } else { a };
            if path == Key::of(&[parent]) && (key == *a || key == *b) {
                table.remove(*other);
                replaced = Some(path.child(other));
            }
        }
        path = path.child(&key);
        table.insert(key, value.clone());
        self.remove_below(&path);
        replaced.iter().for_each(|key| self.remove(key));
        self.has_overrides = true;
        self.record(path, LayerValue { origin: origin.clone(), value: value.clone(), span: None });
        Ok(())
    }
}
