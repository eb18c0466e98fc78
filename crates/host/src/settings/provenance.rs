//! Where each value of the settings was set, and the merged settings as one text.

use super::tables::SettingsFile;
use super::{Origin, FORMAT};
use pearfork_layers::{Key, LayerValue, Layers};
use pearfork_match::closest_match;
use serde::Serialize;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// Where each value of the settings was set.
#[derive(Clone, Debug)]
pub struct Provenance {
    resolved: String,
    /// For each key its effective value as TOML, and the layers that set it, the one that counts last.
    values: BTreeMap<Key, (String, Vec<LayerValue>)>,
    files: Vec<String>,
}

/// A value, where it was set, and the values of lower layers that it overrides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The key.
    pub key: String,
    /// The value as TOML.
    pub value: String,
    /// Where the value was set.
    pub origin: Origin,
    /// The values of lower layers that it overrides, the nearest layer first.
    pub hides: Vec<(Origin, String)>,
}

/// A key without a value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}` is unknown, or is not set and has no default{}", near.as_ref().map_or(String::new(), |n| format!("; did you mean `{n}`?")))]
pub struct UnknownKey {
    /// The key as it was asked for.
    pub key: String,
    /// The most similar key that has a value.
    pub near: Option<String>,
}

impl Provenance {
    pub(super) fn new(layers: &Layers, file: &SettingsFile, rules: &str) -> Provenance {
        // The resolved text refers to no other file: the rules of `match.file` are included.
        let mut whole = layers.merged.clone();
        whole.insert("format".to_owned(), Value::Integer(i64::from(FORMAT)));
        if let Some(m) = whole.get_mut("match").and_then(Value::as_table_mut) {
            m.remove("file");
            m.insert("rules".to_owned(), Value::String(rules.to_owned()));
        }
        let mut values = BTreeMap::new();
        let mut add = |key: Key, value: &Value| {
            let given = layers.values(&key).to_vec();
            values.insert(key, (to_toml(value), given));
        };
        let effective = Table::try_from(file).unwrap_or_default();
        visit_leaves(&Value::Table(effective), &Key::default(), &mut add);
        Provenance {
            resolved: toml::to_string_pretty(&whole).unwrap_or_default(),
            values,
            files: layers.sources.iter().map(|s| s.name.clone()).collect(),
        }
    }

    /// The settings as one text, with included files and overrides merged.
    pub fn resolved(&self) -> &str {
        &self.resolved
    }

    /// The CRC32C checksum of [`Self::resolved`]: the same for the same settings, however they are divided
    /// into layers.
    pub fn fingerprint(&self) -> String {
        format!("{:08x}", crc32c::crc32c(self.resolved.as_bytes()))
    }

    /// The names of the files that were read, later ones overriding earlier ones.
    pub fn files(&self) -> &[String] {
        &self.files
    }

    /// The value of a key, or all values below the key of a table or array entry.
    ///
    /// # Errors
    /// No value has this key.
    pub fn explain(&self, name: &str) -> Result<Vec<Explanation>, UnknownKey> {
        let key = name.parse::<Key>().unwrap_or_default();
        let within = |k: &Key| *k == key || k.is_below(&key);
        let found: Vec<Explanation> = self
            .values
            .iter()
            .filter(|(k, _)| !key.parts().is_empty() && within(k))
            .map(|(k, (value, given))| {
                let mut given = given.iter().rev();
                let origin = given.next().map_or(Origin::Default, |g| g.origin.clone());
                let hides = given.map(|g| (g.origin.clone(), to_toml(&g.value))).collect();
                Explanation { key: k.to_string(), value: value.clone(), origin, hides }
            })
            .collect();
        if found.is_empty() {
            let known: Vec<String> = self.values.keys().map(Key::to_string).collect();
            let near = closest_match(name, known.iter().map(String::as_str)).map(str::to_owned);
            return Err(UnknownKey { key: name.to_owned(), near });
        }
        Ok(found)
    }
}

/// A value as it would be written in a settings file.
fn to_toml(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains('\n') => format!("'''{text}'''"),
        other => other.to_string(),
    }
}

/// Calls `visit` with the key of every value that is not a table or an array of named tables.
fn visit_leaves(value: &Value, at: &Key, visit: &mut impl FnMut(Key, &Value)) {
    let name = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_owned);
    match value {
        Value::Table(t) => t.iter().for_each(|(k, v)| visit_leaves(v, &at.child(k), visit)),
        Value::Array(a) if !a.is_empty() && a.iter().all(|v| name(v).is_some()) => {
            a.iter().for_each(|v| visit_leaves(v, &at.child(&name(v).unwrap_or_default()), visit));
        }
        leaf => visit(at.clone(), leaf),
    }
}
