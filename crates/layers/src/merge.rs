//! Merges one table into another.

use crate::{Key, Layers};
use std::collections::HashSet;
use toml::{Table, Value};

/// The `name` of an entry of an array of tables.
pub(crate) fn name_of(value: &Value) -> Option<&str> {
    value.as_table()?.get("name")?.as_str()
}

/// Whether a value is a non-empty array of tables that all have a `name`.
pub(crate) fn is_named(value: &Value) -> bool {
    value.as_array().is_some_and(|a| !a.is_empty() && a.iter().all(|v| name_of(v).is_some()))
}

impl Layers {
    /// Merges a table of higher precedence into the merged table.
    pub(crate) fn merge(&mut self, overlay: Table, exclusive: &[[&str; 3]]) {
        let mut merged = std::mem::take(&mut self.merged);
        for [table, a, b] in exclusive {
            for (one, other) in [(a, b), (b, a)] {
                let sets = |t: &Table, key: &str| {
                    t.get(*table).and_then(Value::as_table).is_some_and(|t| t.contains_key(key))
                };
                // A file that sets both alternatives keeps both, so that the reader of the table can report
                // it.
                if sets(&overlay, one) && !sets(&overlay, other) {
                    if let Some(t) = merged.get_mut(*table).and_then(Value::as_table_mut) {
                        t.remove(*other);
                    }
                    self.remove(&Key::of(&[table, other]));
                }
            }
        }
        self.merge_table(&mut merged, overlay, &Key::default());
        self.merged = merged;
    }

    fn merge_table(&mut self, base: &mut Table, overlay: Table, path: &Key) {
        for (key, value) in overlay {
            let child_path = path.child(&key);
            match base.get_mut(&key) {
                None => {
                    base.insert(key, value);
                }
                Some(existing) => self.merge_value(existing, value, &child_path),
            }
        }
    }

    fn merge_value(&mut self, base: &mut Value, overlay: Value, path: &Key) {
        match (base, overlay) {
            (Value::Table(base), Value::Table(overlay)) => self.merge_table(base, overlay, path),
            (Value::Array(base), overlay)
                if is_named(&overlay) && base.iter().all(|v| name_of(v).is_some()) =>
            {
                let Value::Array(overlay) = overlay else { return };
                self.merge_named_entries(base, overlay, path);
            }
            (base, overlay) => {
                if overlay.is_table() || is_named(&overlay) {
                    self.remove(path);
                } else {
                    self.remove_below(path);
                }
                *base = overlay;
            }
        }
    }

    fn merge_named_entries(&mut self, base: &mut Vec<Value>, overlay: Vec<Value>, path: &Key) {
        let base_len = base.len();
        let mut merged_names: HashSet<String> = HashSet::new();
        for entry in overlay {
            let Some(name) = name_of(&entry).map(str::to_owned) else { continue };
            let existing = base[..base_len].iter_mut().find(|v| name_of(v) == Some(&name));
            match (existing, entry) {
                // Merging two entries of the same name from one file would silently combine them. The second
                // is appended instead, so that the reader of the table reports the duplicate name.
                (Some(Value::Table(existing)), Value::Table(entry)) if merged_names.insert(name.clone()) => {
                    self.merge_table(existing, entry, &path.child(&name));
                }
                (_, entry) => base.push(entry),
            }
        }
    }
}
