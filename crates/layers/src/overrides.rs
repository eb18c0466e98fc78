//! Variables of the environment and flags.

use crate::merge::{is_named, name_of};
use crate::{Key, LayerError, LayerValue, Layers, Origin};
use toml::{Table, Value};

/// What goes over the files.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Names and values; `PEARFORK__RULES__DRAIN_GRACE` is `rules.drain_grace`.
    environment: Vec<(String, String)>,
    /// `KEY=VALUE`.
    flags: Vec<String>,
}

impl Overrides {
    /// Variables by name and value, of which the first part up to `__` is passed over; and flags as `KEY=VALUE`.
    pub fn new(environment: Vec<(String, String)>, flags: Vec<String>) -> Self {
        Overrides { environment, flags }
    }

    pub(crate) fn put(&self, layers: &mut Layers, exclusive: &[[&str; 3]], faults: &mut Vec<LayerError>) {
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
        for (origin, key, text, loose) in variables.chain(flags) {
            let put = key.and_then(|key| layers.put(&key, &value(text), loose, &origin, exclusive));
            if let Err(message) = put {
                faults.push(LayerError::Override { origin, message });
            }
        }
    }
}

/// A value of TOML where the text is one, otherwise the text: `3s` needs no quotes.
fn value(text: &str) -> Value {
    let parsed = toml::from_str::<Table>(&format!("v = {text}")).ok();
    let one = parsed.filter(|t| t.len() == 1).and_then(|mut t| t.remove("v"));
    one.unwrap_or_else(|| Value::String(text.to_owned()))
}

/// Whether a part of a variable's name means a key: case does not count, and `_` stands for what a name may not hold.
fn means(part: &str, key: &str) -> bool {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '_' };
    part.chars().map(plain).eq(key.chars().map(plain))
}

impl Layers {
    /// Puts one value over what there is. Entries of named arrays must be there: a variable that adds a volume by a slip
    /// of the pen would be taken in silence.
    fn put(
        &mut self,
        parts: &[String],
        value: &Value,
        loose: bool,
        origin: &Origin,
        exclusive: &[[&str; 3]],
    ) -> Result<(), String> {
        if value.is_table() || is_named(value) {
            return Err("gives a table; give its keys one by one".to_owned());
        }
        let fits = |part: &str, key: &str| if loose { means(part, key) } else { part == key };
        let Some((last, within)) = parts.split_last() else { return Err("names no value".to_owned()) };
        let mut own = Key::default();
        let mut at: &mut Table = &mut self.merged;
        let mut steps = within.iter();
        while let Some(part) = steps.next() {
            let key = at.keys().find(|k| fits(part, k)).cloned();
            let key = key.unwrap_or_else(|| if loose { part.to_lowercase() } else { part.clone() });
            own = own.child(&key);
            let there = at.entry(key.clone()).or_insert_with(|| Value::Table(Table::new()));
            if is_named(there) {
                let Some(name) = steps.next() else {
                    return Err(format!("`{own}` has entries; write {own}.NAME.KEY"));
                };
                let Value::Array(entries) = there else { return Err(format!("`{own}` has no entries")) };
                let known: Vec<String> = entries.iter().filter_map(name_of).map(str::to_owned).collect();
                let found = entries.iter_mut().find(|e| name_of(e).is_some_and(|n| fits(name, n)));
                let Some(entry) = found.and_then(Value::as_table_mut) else {
                    return Err(format!("there is no {key} `{name}`; there are {}", known.join(", ")));
                };
                let name = entry.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
                own = own.child(&name);
                at = entry;
            } else if let Value::Table(table) = there {
                at = table;
            } else {
                return Err(format!("`{own}` is a value, and has nothing within"));
            }
        }
        let key = at.keys().find(|k| fits(last, k)).cloned();
        let key = key.unwrap_or_else(|| if loose { last.to_lowercase() } else { last.clone() });
        if at.get(&key).is_some_and(is_named) {
            return Err(format!("`{key}` has entries; write {key}.NAME.KEY"));
        }
        let mut hidden = None;
        for [table, a, b] in exclusive {
            let other = if key == *a { b } else { a };
            if own == Key::of(&[table]) && (key == *a || key == *b) {
                at.remove(*other);
                hidden = Some(own.child(other));
            }
        }
        own = own.child(&key);
        at.insert(key, value.clone());
        self.hide_below(&own);
        hidden.iter().for_each(|h| self.forget(h));
        self.overridden = true;
        self.note(own, LayerValue { origin: origin.clone(), value: value.clone(), span: None });
        Ok(())
    }
}
