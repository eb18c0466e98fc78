//! Files and what they include.

use crate::merge::{is_named, name_of};
use crate::{Key, LayerError, LayerValue, Layers, Origin, Source, MAX_BYTES, MAX_DEPTH, MAX_FILES};
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

pub(crate) struct Gathering<'a> {
    pub(crate) read: &'a dyn Fn(&str) -> Result<String, String>,
    pub(crate) exclusive: &'a [[&'a str; 3]],
    /// Files that are being read, the outermost first.
    pub(crate) open: Vec<String>,
    pub(crate) faults: Vec<LayerError>,
}

impl Gathering<'_> {
    /// Takes a file and, below it, what it includes. `path` leads to it from the caller's own file and is empty for that.
    pub(crate) fn file(&mut self, layers: &mut Layers, name: &str, path: &str, text: &str) {
        if text.len() > MAX_BYTES {
            let reason = format!("is longer than {MAX_BYTES} bytes");
            return self.faults.push(LayerError::Unreadable { file: name.to_owned(), reason });
        }
        let syntax = |e: toml::de::Error| LayerError::Syntax(format!("{name}: {e}"));
        let mut table: Table = match toml::from_str(text) {
            Ok(table) => table,
            Err(e) => return self.faults.push(syntax(e)),
        };
        self.open.push(path.to_owned());
        if let Some(includes) = table.remove("include") {
            self.includes(layers, name, path, &includes);
        }
        self.open.pop();
        match DeTable::parse(text) {
            Ok(spans) => {
                let source = layers.sources.len();
                layers.sources.push(Source { name: name.to_owned(), text: text.to_owned() });
                layers.merge(table.clone(), self.exclusive);
                let mut walk = Walk { layers, source, lines: lines(text) };
                walk.table(&table, spans.get_ref(), &Key::default());
            }
            Err(e) => self.faults.push(syntax(e)),
        }
    }

    fn includes(&mut self, layers: &mut Layers, name: &str, path: &str, includes: &Value) {
        let bad = |message: String| LayerError::Include { file: name.to_owned(), message };
        let named: Option<Vec<&str>> =
            includes.as_array().and_then(|a| a.iter().map(Value::as_str).collect());
        let Some(named) = named else {
            return self
                .faults
                .push(bad("must be a list of files, as in `include = [\"base.toml\"]`".to_owned()));
        };
        for include in named {
            let folder = Path::new(path).parent().unwrap_or(Path::new(""));
            let inner = normal(&folder.join(include));
            if self.open.contains(&inner) {
                self.faults.push(bad(format!("`{include}` includes itself, by itself or by way of others")));
            } else if self.open.len() > MAX_DEPTH {
                self.faults.push(bad(format!("`{include}` is more than {MAX_DEPTH} deep")));
            } else if layers.sources.len() + self.open.len() >= MAX_FILES {
                return self.faults.push(bad(format!("there are more than {MAX_FILES} files")));
            } else {
                match (self.read)(&inner) {
                    Ok(text) => self.file(layers, &inner, &inner, &text),
                    Err(reason) => {
                        let file = format!("{inner}, included by {name}");
                        self.faults.push(LayerError::Unreadable { file, reason });
                    }
                }
            }
            // Danger: files that include each other twice at each level are many long before they are deep.
            if self.faults.len() >= MAX_FILES {
                return;
            }
        }
    }
}

/// A path without `.` and without `..` that can be taken back: two ways to one file look alike.
fn normal(path: &Path) -> String {
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

/// Where lines begin.
fn lines(text: &str) -> Vec<usize> {
    std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect()
}

/// Notes where each value of a file stands: the values and their places, side by side.
struct Walk<'a> {
    layers: &'a mut Layers,
    source: usize,
    lines: Vec<usize>,
}

impl Walk<'_> {
    fn origin(&self, at: usize) -> Origin {
        let name = self.layers.sources[self.source].name.clone();
        Origin::File { name, line: self.lines.partition_point(|begin| *begin <= at) }
    }

    fn table(&mut self, table: &Table, spans: &DeTable<'_>, at: &Key) {
        for (key, value) in spans {
            if let Some(own) = table.get(key.get_ref().as_ref()) {
                self.value(own, value, key.span().start, &at.child(key.get_ref()));
            }
        }
    }

    fn value(&mut self, value: &Value, span: &Spanned<DeValue<'_>>, begins: usize, at: &Key) {
        match (value, span.get_ref()) {
            (Value::Table(table), DeValue::Table(spans)) => {
                let origin = self.origin(begins);
                self.layers.heads.insert(at.clone(), origin);
                self.table(table, spans, at);
            }
            (Value::Array(entries), DeValue::Array(spans)) if is_named(value) => {
                for (entry, span) in entries.iter().zip(spans.iter()) {
                    if let Some(name) = name_of(entry) {
                        self.value(entry, span, span.span().start, &at.child(name));
                    }
                }
            }
            _ => {
                let given = LayerValue {
                    origin: self.origin(begins),
                    value: value.clone(),
                    span: Some((self.source, span.span())),
                };
                self.layers.note(at.clone(), given);
            }
        }
    }
}
