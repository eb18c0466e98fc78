//! One table over another.

use crate::{Key, Layers};
use std::collections::HashSet;
use toml::{Table, Value};

/// The name of an entry of an array of tables.
pub(crate) fn name_of(value: &Value) -> Option<&str> {
    value.as_table()?.get("name")?.as_str()
}

/// Whether an array holds tables that all have names, and at least one.
pub(crate) fn is_named(value: &Value) -> bool {
    value.as_array().is_some_and(|a| !a.is_empty() && a.iter().all(|v| name_of(v).is_some()))
}

impl Layers {
    /// Puts a later table over what there is.
    pub(crate) fn merge(&mut self, over: Table, exclusive: &[[&str; 3]]) {
        let mut merged = std::mem::take(&mut self.merged);
        for [table, a, b] in exclusive {
            for (one, other) in [(a, b), (b, a)] {
                let gives = |t: &Table, key: &str| {
                    t.get(*table).and_then(Value::as_table).is_some_and(|t| t.contains_key(key))
                };
                // Both in one file are that file's own fault, and stay for it to be told.
                if gives(&over, one) && !gives(&over, other) {
                    if let Some(t) = merged.get_mut(*table).and_then(Value::as_table_mut) {
                        t.remove(*other);
                    }
                    self.forget(&Key::of(&[table, other]));
                }
            }
        }
        self.table(&mut merged, over, &Key::default());
        self.merged = merged;
    }

    fn table(&mut self, into: &mut Table, over: Table, at: &Key) {
        for (key, value) in over {
            let own = at.child(&key);
            match into.get_mut(&key) {
                None => {
                    into.insert(key, value);
                }
                Some(there) => self.value(there, value, &own),
            }
        }
    }

    fn value(&mut self, into: &mut Value, over: Value, at: &Key) {
        match (into, over) {
            (Value::Table(into), Value::Table(over)) => self.table(into, over, at),
            (Value::Array(into), over) if is_named(&over) && into.iter().all(|v| name_of(v).is_some()) => {
                let Value::Array(over) = over else { return };
                self.named(into, over, at);
            }
            (into, over) => {
                if over.is_table() || is_named(&over) {
                    self.forget(at);
                } else {
                    self.hide_below(at);
                }
                *into = over;
            }
        }
    }

    fn named(&mut self, into: &mut Vec<Value>, over: Vec<Value>, at: &Key) {
        let before = into.len();
        let mut changed: HashSet<String> = HashSet::new();
        for entry in over {
            let Some(name) = name_of(&entry).map(str::to_owned) else { continue };
            let there = into[..before].iter_mut().find(|v| name_of(v) == Some(&name));
            match (there, entry) {
                // Danger: two of one name in a file would be merged into one without a word. The second is added, and
                // whoever reads the table says that the name is given twice.
                (Some(Value::Table(there)), Value::Table(entry)) if changed.insert(name.clone()) => {
                    self.table(there, entry, &at.child(&name));
                }
                (_, entry) => into.push(entry),
            }
        }
    }
}
