//! Where each value of a plan came from, and the plan's settings as one text.

use super::tables::File;
use super::{Origin, FORMAT};
use pearfork_layers::{Key, LayerValue, Layers};
use pearfork_match::closest_match;
use serde::Serialize;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// Where each value of a plan came from.
#[derive(Clone, Debug)]
pub struct Provenance {
    resolved: String,
    values: BTreeMap<Key, (String, Vec<LayerValue>)>,
    files: Vec<String>,
}

/// A value, and where it came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Its key.
    pub key: String,
    /// As a settings file would have it.
    pub value: String,
    /// Where it was given.
    pub origin: Origin,
    /// What it hides, the nearest first.
    pub hides: Vec<(Origin, String)>,
}

/// A key that names nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no value `{key}`, or none is set and there is no default{}", near.as_ref().map_or(String::new(), |n| format!("; did you mean `{n}`?")))]
pub struct UnknownKey {
    /// As it was asked for.
    pub key: String,
    /// What is there and looks like it.
    pub near: Option<String>,
}

impl Provenance {
    pub(super) fn new(layers: &Layers, file: &File, rules: &str) -> Provenance {
        // One text that refers to no other: rules of a file beside it stand in it.
        let mut whole = layers.merged.clone();
        whole.insert("format".to_owned(), Value::Integer(i64::from(FORMAT)));
        if let Some(m) = whole.get_mut("match").and_then(Value::as_table_mut) {
            m.remove("file");
            m.insert("rules".to_owned(), Value::String(rules.to_owned()));
        }
        let mut values = BTreeMap::new();
        let mut note = |key: Key, value: &Value| {
            let given = layers.values(&key).to_vec();
            values.insert(key, (written(value), given));
        };
        let effective = Table::try_from(file).unwrap_or_default();
        leaves(&Value::Table(effective), &Key::default(), &mut note);
        Provenance {
            resolved: toml::to_string_pretty(&whole).unwrap_or_default(),
            values,
            files: layers.sources.iter().map(|s| s.name.clone()).collect(),
        }
    }

    /// The settings as one text, without includes, with what went over them.
    pub fn resolved(&self) -> &str {
        &self.resolved
    }

    /// A checksum of that text (CRC32C): the same for the same settings, however they are spread over layers.
    pub fn fingerprint(&self) -> String {
        format!("{:08x}", crc32c::crc32c(self.resolved.as_bytes()))
    }

    /// The files that were read, in the order in which they count.
    pub fn files(&self) -> &[String] {
        &self.files
    }

    /// A value, or all values of a table or entry.
    ///
    /// # Errors
    /// Nothing goes by this key.
    pub fn explain(&self, asked: &str) -> Result<Vec<Explanation>, UnknownKey> {
        let key = asked.parse::<Key>().unwrap_or_default();
        let within = |k: &Key| *k == key || k.is_below(&key);
        let found: Vec<Explanation> = self
            .values
            .iter()
            .filter(|(k, _)| !key.parts().is_empty() && within(k))
            .map(|(k, (value, given))| {
                let mut given = given.iter().rev();
                let origin = given.next().map_or(Origin::Default, |g| g.origin.clone());
                let hides = given.map(|g| (g.origin.clone(), written(&g.value))).collect();
                Explanation { key: k.to_string(), value: value.clone(), origin, hides }
            })
            .collect();
        if found.is_empty() {
            let known: Vec<String> = self.values.keys().map(Key::to_string).collect();
            let near = closest_match(asked, known.iter().map(String::as_str)).map(str::to_owned);
            return Err(UnknownKey { key: asked.to_owned(), near });
        }
        Ok(found)
    }
}

/// As a settings file would have it.
fn written(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains('\n') => format!("'''{text}'''"),
        other => other.to_string(),
    }
}

fn leaves(value: &Value, at: &Key, note: &mut impl FnMut(Key, &Value)) {
    let name = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_owned);
    match value {
        Value::Table(t) => t.iter().for_each(|(k, v)| leaves(v, &at.child(k), note)),
        Value::Array(a) if !a.is_empty() && a.iter().all(|v| name(v).is_some()) => {
            a.iter().for_each(|v| leaves(v, &at.child(&name(v).unwrap_or_default()), note));
        }
        leaf => note(at.clone(), leaf),
    }
}
