//! Settings in layers, merged to one table; and for each value, where it was given and what it hides.
//!
//! From the lowest: files that a file includes, in their order; the file itself; variables of the environment, by name;
//! flags, in their order. Tables are merged key by key. An array of tables that have names is merged name by name:
//! a later `[[class]]` of the same name changes the keys that it gives and leaves the others. All else is replaced
//! whole. Two of one name within a file both stay, for the reader of the table to refuse.
//!
//! No I/O: files are read by a function that the caller gives, each once.

mod file;
mod key;
mod merge;
mod overrides;

pub use key::{Key, KeyError};
pub use overrides::Overrides;

use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::Range;

/// Files that one may include, over all depths.
pub const MAX_FILES: usize = 64;
/// How deep includes may nest.
pub const MAX_DEPTH: usize = 8;
/// Bytes of one file.
pub const MAX_BYTES: usize = 8 << 20;

/// Where a value was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// In a file.
    File {
        /// Its name, as the include or the caller has it.
        name: String,
        /// Line, from 1.
        line: usize,
    },
    /// By a variable of the environment.
    Variable(String),
    /// By a flag, as it was given.
    Flag(String),
    /// Nowhere: it is what the program takes.
    Default,
}

impl std::fmt::Display for Origin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Origin::File { name, line } => write!(f, "{name} line {line}"),
            Origin::Variable(name) => write!(f, "variable {name}"),
            Origin::Flag(given) => write!(f, "--set {given}"),
            Origin::Default => f.write_str("default"),
        }
    }
}

/// A value as one layer gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerValue {
    /// Where.
    pub origin: Origin,
    /// The value.
    pub value: toml::Value,
    /// For a file: which source, and where in its text.
    pub span: Option<(usize, Range<usize>)>,
}

/// A file as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its name.
    pub name: String,
    /// What it says.
    pub text: String,
}

/// What is wrong with the layers themselves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayerError {
    /// Not TOML; the text names the line.
    #[error("{0}")]
    Syntax(String),
    /// A file that can't be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Which, and who asks for it.
        file: String,
        /// What the machine says.
        reason: String,
    },
    /// Includes that can't be followed.
    #[error("{file}, include: {message}")]
    Include {
        /// The file that includes.
        file: String,
        /// What is wrong.
        message: String,
    },
    /// A variable or flag that can't be taken.
    #[error("{origin}: {message}")]
    Override {
        /// Which.
        origin: Origin,
        /// What is wrong.
        message: String,
    },
}

/// All layers, merged.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// Files in the order in which they count; the caller's own is the last.
    pub sources: Vec<Source>,
    /// What is left when later layers have hidden earlier ones. Without `include`.
    pub merged: toml::Table,
    given: BTreeMap<Key, Vec<LayerValue>>,
    heads: BTreeMap<Key, Origin>,
    overridden: bool,
}

impl Layers {
    /// Gathers all layers. `read` is given a file's path as seen from the caller's own file; `exclusive` names keys of which
    /// the later one given hides the others, as two ways to say one thing.
    ///
    /// # Errors
    /// All that could be found; a file that is no TOML hides what it would have said.
    pub fn load(
        name: &str,
        text: &str,
        read: &dyn Fn(&str) -> Result<String, String>,
        over: &Overrides,
        exclusive: &[[&str; 3]],
    ) -> Result<Layers, Vec<LayerError>> {
        let mut layers = Layers::default();
        let mut gathering = file::Gathering { read, exclusive, open: Vec::new(), faults: Vec::new() };
        gathering.file(&mut layers, name, "", text);
        let mut faults = gathering.faults;
        if faults.is_empty() {
            over.put(&mut layers, exclusive, &mut faults);
        }
        if faults.is_empty() {
            Ok(layers)
        } else {
            Err(faults)
        }
    }

    /// Whether one file says it all.
    pub fn is_single_file(&self) -> bool {
        self.sources.len() == 1 && !self.overridden
    }

    /// All layers that give a value, the one that counts last; empty where none does.
    pub fn values(&self, key: &Key) -> &[LayerValue] {
        self.given.get(key).map_or(&[], Vec::as_slice)
    }

    /// All keys that are given.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &[LayerValue])> {
        self.given.iter().map(|(k, g)| (k, g.as_slice()))
    }

    /// Where a key stands: the value, or what it is within; `None` where not even that is given.
    pub fn origin(&self, key: &Key) -> Option<&Origin> {
        let mut at = Some(key.clone());
        while let Some(k) = at {
            if let Some(given) = self.values(&k).last() {
                return Some(&given.origin);
            }
            if let Some(head) = self.heads.get(&k) {
                return Some(head);
            }
            at = k.parent();
        }
        None
    }

    fn note(&mut self, key: Key, given: LayerValue) {
        self.given.entry(key).or_default().push(given);
    }

    /// What was given at a key, or below it, is there no more.
    fn forget(&mut self, key: &Key) {
        self.given.remove(key);
        self.hide_below(key);
    }

    /// A later layer replaces what is at a key as a whole: what was given below it no longer counts.
    fn hide_below(&mut self, key: &Key) {
        self.given.retain(|k, _| !k.is_below(key));
        self.heads.retain(|k, _| !k.is_below(key));
    }
}
