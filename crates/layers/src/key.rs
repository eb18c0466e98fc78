//! Dotted keys of values, such as `rules.drain_grace`, `class.write.deadline` or `volume."a.b".size`.

use serde::{Serialize, Serializer};

/// The path of a value from the outermost table inwards. An entry of an array of tables is identified by its
/// `name`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Vec<String>);

/// A text that is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` names no value; write it as in `rules.drain_grace` or `class.\"my class\".aim`")]
pub struct KeyError(pub String);

impl Key {
    /// Creates a key from its parts.
    pub fn of(parts: &[&str]) -> Key {
        Key(parts.iter().map(|p| (*p).to_owned()).collect())
    }

    /// The parts, outermost first.
    pub fn parts(&self) -> &[String] {
        &self.0
    }

    /// Appends a part.
    pub fn child(&self, part: &str) -> Key {
        let mut parts = self.0.clone();
        parts.push(part.to_owned());
        Key(parts)
    }

    /// The key of the enclosing table; `None` for a top-level key.
    pub fn parent(&self) -> Option<Key> {
        let (_, rest) = self.0.split_last()?;
        (!rest.is_empty()).then(|| Key(rest.to_vec()))
    }

    /// Whether this key lies inside the table `other`.
    pub fn is_below(&self, other: &Key) -> bool {
        self.0.len() > other.0.len() && self.0.starts_with(&other.0)
    }
}

impl std::str::FromStr for Key {
    type Err = KeyError;

    /// Parses a dotted key by the rules of TOML.
    fn from_str(text: &str) -> Result<Key, KeyError> {
        let error = || KeyError(text.to_owned());
        if text.contains(['\n', '\r', '=', '#']) {
            return Err(error());
        }
        let mut table: toml::Table = toml::from_str(&format!("{text} = 0")).map_err(|_| error())?;
        let mut parts = Vec::new();
        loop {
            let (key, value) = table.into_iter().next().ok_or_else(error)?;
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
            let is_bare = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
            if !part.is_empty() && part.chars().all(is_bare) {
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
    fn keys_are_parsed_as_in_toml_and_round_trip() {
        for text in ["rules.drain_grace", "class.visit-note.aim", "volume.\"a.b c\".size", "x"] {
            assert_eq!(text.parse::<Key>().unwrap().to_string(), text);
        }
        assert_eq!("a . b".parse::<Key>().unwrap(), Key::of(&["a", "b"]));
        for invalid in ["", ".", "a.", "a b", "a=1", "a\nb", "\"a", "a # b", "[a]"] {
            assert!(invalid.parse::<Key>().is_err(), "{invalid}");
        }
        assert!(
            Key::of(&["a", "b"]).is_below(&Key::of(&["a"])) && !Key::of(&["a"]).is_below(&Key::of(&["a"]))
        );
        assert!(!Key::of(&["ab", "c"]).is_below(&Key::of(&["a"])));
        assert_eq!((Key::of(&["a", "b"]).parent(), Key::of(&["a"]).parent()), (Some(Key::of(&["a"])), None));
    }
}
