//! The name of a value: `rules.drain_grace`, `class.write.deadline`, `volume."a.b".size`.

use serde::{Serialize, Serializer};

/// The name of a value, from the outermost table inwards. An entry of an array of tables goes by its `name`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Vec<String>);

/// Text that names no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` names no value; write it as in `rules.drain_grace` or `class.\"my class\".aim`")]
pub struct KeyError(pub String);

impl Key {
    /// A key of these parts.
    pub fn of(parts: &[&str]) -> Key {
        Key(parts.iter().map(|p| (*p).to_owned()).collect())
    }

    /// Its parts.
    pub fn parts(&self) -> &[String] {
        &self.0
    }

    /// The key of something within.
    pub fn child(&self, part: &str) -> Key {
        let mut parts = self.0.clone();
        parts.push(part.to_owned());
        Key(parts)
    }

    /// What it is within.
    pub fn parent(&self) -> Option<Key> {
        let (_, rest) = self.0.split_last()?;
        (!rest.is_empty()).then(|| Key(rest.to_vec()))
    }

    /// Whether it is within another.
    pub fn is_below(&self, other: &Key) -> bool {
        self.0.len() > other.0.len() && self.0.starts_with(&other.0)
    }
}

impl std::str::FromStr for Key {
    type Err = KeyError;

    /// Read as TOML reads a dotted key.
    fn from_str(text: &str) -> Result<Key, KeyError> {
        let bad = || KeyError(text.to_owned());
        if text.contains(['\n', '\r', '=', '#']) {
            return Err(bad());
        }
        let mut table: toml::Table = toml::from_str(&format!("{text} = 0")).map_err(|_| bad())?;
        let mut parts = Vec::new();
        loop {
            let (key, value) = table.into_iter().next().ok_or_else(bad)?;
            parts.push(key);
            match value {
                toml::Value::Table(inner) => table = inner,
                _ => return Ok(Key(parts)),
            }
        }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, part) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str(".")?;
            }
            let bare = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
            if !part.is_empty() && part.chars().all(bare) {
                f.write_str(part)?;
            } else {
                write!(f, "{}", toml::Value::String(part.clone()))?;
            }
        }
        Ok(())
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_read_as_toml_reads_them_and_come_back() {
        for text in ["rules.drain_grace", "class.visit-note.aim", "volume.\"a.b c\".size", "x"] {
            assert_eq!(text.parse::<Key>().unwrap().to_string(), text);
        }
        assert_eq!("a . b".parse::<Key>().unwrap(), Key::of(&["a", "b"]));
        for bad in ["", ".", "a.", "a b", "a=1", "a\nb", "\"a", "a # b", "[a]"] {
            assert!(bad.parse::<Key>().is_err(), "{bad}");
        }
        assert!(
            Key::of(&["a", "b"]).is_below(&Key::of(&["a"])) && !Key::of(&["a"]).is_below(&Key::of(&["a"]))
        );
        assert!(!Key::of(&["ab", "c"]).is_below(&Key::of(&["a"])));
        assert_eq!((Key::of(&["a", "b"]).parent(), Key::of(&["a"]).parent()), (Some(Key::of(&["a"])), None));
    }
}
