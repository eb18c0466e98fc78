//! Loads files and their includes.

use crate::merge::{is_named, name_of};
use crate::{Key, LayerError, LayerValue, Layers, Origin, Source, MAX_BYTES, MAX_DEPTH, MAX_FILES};
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

/// Loads a file and its includes into [`Layers`].
pub(crate) struct FileLoader<'a> {
    pub(crate) read: &'a dyn Fn(&str) -> Result<String, String>,
    pub(crate) exclusive: &'a [[&'a str; 3]],
    /// Paths of the files that are being loaded, outermost first; detects include cycles.
    pub(crate) open_files: Vec<String>,
    pub(crate) errors: Vec<LayerError>,
}

impl FileLoader<'_> {
    /// Merges a file on top of its includes. `path` is relative to the folder of the caller's own file and is
    /// empty for that file itself.
    pub(crate) fn load(&mut self, layers: &mut Layers, name: &str, path: &str, text: &str) {
        if text.len() > MAX_BYTES {
            let reason = format!("is longer than {MAX_BYTES} bytes");
            return self.errors.push(LayerError::Unreadable { file: name.to_owned(), reason });
        }
        let syntax = |e: toml::de::Error| LayerError::Syntax(format!("{name}: {e}"));
        let mut table: Table = match toml::from_str(text) {
            Ok(table) => table,
            Err(e) => return self.errors.push(syntax(e)),
        };
        self.open_files.push(path.to_owned());
        if let Some(includes) = table.remove("include") {
            self.load_includes(layers, name, path, &includes);
        }
        self.open_files.pop();
        match DeTable::parse(text) {
            Ok(spans) => {
                let source = layers.sources.len();
                layers.sources.push(Source { name: name.to_owned(), text: text.to_owned() });
                layers.merge(table.clone(), self.exclusive);
                let mut recorder = OriginRecorder { layers, source, line_starts: line_starts(text) };
                recorder.record_table(&table, spans.get_ref(), &Key::default());
            }
            Err(e) => self.errors.push(syntax(e)),
        }
    }

    fn load_includes(&mut self, layers: &mut Layers, name: &str, path: &str, includes: &Value) {
        let error = |message: String| LayerError::Include { file: name.to_owned(), message };
        let paths: Option<Vec<&str>> =
            includes.as_array().and_then(|a| a.iter().map(Value::as_str).collect());
        let Some(paths) = paths else {
            return self
                .errors
                .push(error("must be a list of files, as in `include = [\"base.toml\"]`".to_owned()));
        };
        for include in paths {
            let folder = Path::new(path).parent().unwrap_or(Path::new(""));
            let resolved = normalize(&folder.join(include));
            if self.open_files.contains(&resolved) {
                self.errors
                    .push(error(format!("`{include}` includes itself, directly or through other files")));
            } else if self.open_files.len() > MAX_DEPTH {
                self.errors.push(error(format!("`{include}` is nested more than {MAX_DEPTH} levels deep")));
            } else if layers.sources.len() + self.open_files.len() >= MAX_FILES {
                return self.errors.push(error(format!("there are more than {MAX_FILES} files")));
            } else {
                match (self.read)(&resolved) {
                    Ok(text) => self.load(layers, &resolved, &resolved, &text),
                    Err(reason) => {
                        let file = format!("{resolved}, included by {name}");
                        self.errors.push(LayerError::Unreadable { file, reason });
                    }
                }
            }
            // Files that include two others at each level grow exponentially in number long before they
            // exceed the depth limit, so the number of errors is limited as well.
            if self.errors.len() >= MAX_FILES {
                return;
            }
        }
    }
}

/// Removes `.` and resolves `..` where possible, so that two spellings of one path compare equal.
fn normalize(path: &Path) -> String {
    use std::path::Component as C;
    let mut parts: Vec<String> = Vec::new();
    for part in path.components() {
        match part {
            C::CurDir => {}
            C::ParentDir if parts.last().is_some_and(|p| p != ".." && !p.is_empty()) => {
                parts.pop();
            }
            C::RootDir => parts.push(String::new()),
            other => parts.push(other.as_os_str().to_string_lossy().into_owned()),
        }
    }
    parts.join("/")
}

/// Byte offset at which each line begins.
fn line_starts(text: &str) -> Vec<usize> {
    std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect()
}

/// Records the origin of each value of a file, walking its values and their spans in parallel.
struct OriginRecorder<'a> {
    layers: &'a mut Layers,
    source: usize,
    line_starts: Vec<usize>,
}

impl OriginRecorder<'_> {
    fn origin(&self, offset: usize) -> Origin {
        let name = self.layers.sources[self.source].name.clone();
        Origin::File { name, line: self.line_starts.partition_point(|start| *start <= offset) }
    }

    fn record_table(&mut self, table: &Table, spans: &DeTable<'_>, path: &Key) {
        for (key, spanned) in spans {
            if let Some(value) = table.get(key.get_ref().as_ref()) {
                self.record_value(value, spanned, key.span().start, &path.child(key.get_ref()));
            }
        }
    }

    fn record_value(&mut self, value: &Value, spanned: &Spanned<DeValue<'_>>, offset: usize, path: &Key) {
        match (value, spanned.get_ref()) {
            (Value::Table(table), DeValue::Table(spans)) => {
                let origin = self.origin(offset);
                self.layers.table_origins.insert(path.clone(), origin);
                self.record_table(table, spans, path);
            }
            (Value::Array(entries), DeValue::Array(spans)) if is_named(value) => {
                for (entry, spanned) in entries.iter().zip(spans.iter()) {
                    if let Some(name) = name_of(entry) {
                        self.record_value(entry, spanned, spanned.span().start, &path.child(name));
                    }
                }
            }
            _ => {
                let layer_value = LayerValue {
                    origin: self.origin(offset),
                    value: value.clone(),
                    span: Some((self.source, spanned.span())),
                };
                self.layers.record(path.clone(), layer_value);
            }
        }
    }
}
