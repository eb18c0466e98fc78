//! Layered settings: merges several sources into one table and records the origin of each value.
//!
//! Layers, from lowest to highest precedence: included files in the order of the `include` list, the file
//! itself, environment variables sorted by name, command-line flags in their order. Tables are merged key by
//! key. Arrays of named tables are merged by `name`: a later `[[class]]` with the same name overrides the
//! keys that it sets and keeps the others. Any other value is replaced as a whole. If one file holds two
//! entries with the same name, both are kept, so that the reader of the merged table can reject them.
//!
//! This crate performs no I/O: the caller supplies a function that reads files.

mod file;
mod key;
mod merge;
mod overrides;

pub use key::{Key, KeyError};
pub use overrides::Overrides;

use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::Range;

/// Maximum number of files that are loaded: the main file and its includes at all depths.
pub const MAX_FILES: usize = 64;
/// Maximum nesting depth of includes.
pub const MAX_DEPTH: usize = 8;
/// Maximum size of one file, in bytes.
pub const MAX_BYTES: usize = 8 << 20;

/// The source of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// A settings file.
    File {
        /// File name as passed by the caller, or the resolved path of an include.
        name: String,
        /// Line number, starting at 1.
        line: usize,
    },
    /// An environment variable, by name.
    Variable(String),
    /// A command-line flag, as `KEY=VALUE`.
    Flag(String),
    /// No layer sets the value; the program's default applies.
    Default,
}

impl std::fmt::Display for Origin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Origin::File { name, line } => write!(f, "{name} line {line}"),
            Origin::Variable(name) => write!(f, "variable {name}"),
            Origin::Flag(flag) => write!(f, "--set {flag}"),
            Origin::Default => f.write_str("default"),
        }
    }
}

/// A value set by one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerValue {
    /// Where the layer sets it.
    pub origin: Origin,
    /// The value.
    pub value: toml::Value,
    /// For a value from a file: index into [`Layers::sources`] and byte range within that text.
    pub span: Option<(usize, Range<usize>)>,
}

/// A settings file and its contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// File name.
    pub name: String,
    /// Contents.
    pub text: String,
}

/// An error in reading or merging the layers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayerError {
    /// A file is not valid TOML; the message contains the file name and line.
    #[error("{0}")]
    Syntax(String),
    /// A file cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// File name, with the including file if there is one.
        file: String,
        /// Error of the read function, or the exceeded limit.
        reason: String,
    },
    /// An `include` entry is invalid.
    #[error("{file}, include: {message}")]
    Include {
        /// The file with the `include` key.
        file: String,
        /// Description of the error.
        message: String,
    },
    /// An environment variable or flag cannot be applied.
    #[error("{origin}: {message}")]
    Override {
        /// The variable or flag.
        origin: Origin,
        /// Description of the error.
        message: String,
    },
}

/// The merged layers.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// Files in ascending precedence; the caller's own file is last.
    pub sources: Vec<Source>,
    /// The merged table, without the `include` key.
    pub merged: toml::Table,
    /// All settings of each value, in ascending precedence.
    values: BTreeMap<Key, Vec<LayerValue>>,
    /// Where each table or named entry was last opened in a file.
    table_origins: BTreeMap<Key, Origin>,
    has_overrides: bool,
}

impl Layers {
    /// Reads and merges all layers.
    ///
    /// `read` is called with paths relative to the folder of the caller's own file. Each item of `exclusive`
    /// is a table and two of its keys that are alternatives: setting one in a later layer removes the other.
    ///
    /// # Errors
    /// All errors that were found. Includes of a file that is not valid TOML are not followed.
    pub fn load(
        name: &str,
        text: &str,
        read: &dyn Fn(&str) -> Result<String, String>,
        overrides: &Overrides,
        exclusive: &[[&str; 3]],
    ) -> Result<Layers, Vec<LayerError>> {
        let mut layers = Layers::default();
        let mut loader = file::FileLoader { read, exclusive, open_files: Vec::new(), errors: Vec::new() };
        loader.load(&mut layers, name, "", text);
        let mut errors = loader.errors;
        if errors.is_empty() {
            overrides.apply(&mut layers, exclusive, &mut errors);
        }
        if errors.is_empty() {
            Ok(layers)
        } else {
            Err(errors)
        }
    }

    /// Whether all settings come from a single file, without includes or overrides.
    pub fn is_single_file(&self) -> bool {
        self.sources.len() == 1 && !self.has_overrides
    }

    /// The settings of one value in ascending precedence; the last one is in effect. Empty if no layer sets
    /// it.
    pub fn values(&self, key: &Key) -> &[LayerValue] {
        self.values.get(key).map_or(&[], Vec::as_slice)
    }

    /// All keys that any layer sets, with their settings in ascending precedence.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &[LayerValue])> {
        self.values.iter().map(|(key, values)| (key, values.as_slice()))
    }

    /// The origin of a value, or of the closest enclosing table if no layer sets the value. `None` if no
    /// layer sets any enclosing table either.
    pub fn origin(&self, key: &Key) -> Option<&Origin> {
        let mut current = Some(key.clone());
        while let Some(key) = current {
            if let Some(value) = self.values(&key).last() {
                return Some(&value.origin);
            }
            if let Some(origin) = self.table_origins.get(&key) {
                return Some(origin);
            }
            current = key.parent();
        }
        None
    }

    fn record(&mut self, key: Key, value: LayerValue) {
        self.values.entry(key).or_default().push(value);
    }

    /// Removes the recorded values of a key and of everything below it.
    fn remove(&mut self, key: &Key) {
        self.values.remove(key);
        self.remove_below(key);
    }

    /// Removes the recorded values below a key, for a layer that replaces the value of that key as a whole.
    fn remove_below(&mut self, key: &Key) {
        self.values.retain(|k, _| !k.is_below(key));
        self.table_origins.retain(|k, _| !k.is_below(key));
    }
}
