//! Converts settings files of older formats to the current one, keeping comments and order.

use super::FORMAT;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value};

/// Why a file cannot be converted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MigrateError {
    /// The file is not TOML; the text names the line.
    #[error("{0}")]
    Syntax(String),
    /// The file has a later format than this version knows.
    #[error("format {0} is newer than this program, which writes format {FORMAT}")]
    Newer(i64),
    /// A row of the old `classify` table is not valid.
    #[error("classify, row {row}: {what}")]
    Row {
        /// The number of the row, from 1.
        row: usize,
        /// The error in it.
        what: String,
    },
    /// The file has both the old and the new form of the matching rules.
    #[error(
        "the file has both `classify`, of the old format, and `match`, of the new one; remove one of them"
    )]
    Both,
}

/// Converts a file from before format 1, in which a table of operations and sizes (`classify`) gave requests
/// their class, to the current format. `None` if the file already has the current format.
///
/// # Errors
/// The file is not TOML, has a later format, or has a `classify` table that cannot be converted.
pub fn migrate(text: &str) -> Result<Option<String>, MigrateError> {
    let mut doc: DocumentMut =
        text.parse().map_err(|e: toml_edit::TomlError| MigrateError::Syntax(e.to_string()))?;
    match doc.get("format").and_then(Item::as_integer) {
        Some(format) if format == i64::from(FORMAT) => return Ok(None),
        Some(format) if format > i64::from(FORMAT) => return Err(MigrateError::Newer(format)),
        _ => {}
    }
    if let Some(rows) = doc.get("classify").and_then(Item::as_array_of_tables).cloned() {
        if doc.contains_key("match") {
            return Err(MigrateError::Both);
        }
        let rules = rules_of(&rows)?;
        let at = rows.iter().next().and_then(Table::position);
        // The comments before the old table move to the new one.
        let decor = rows.iter().next().map(|t| t.decor().clone());
        doc.remove("classify");
        let mut table = Table::new();
        let literal = format!("'''\n{rules}'''");
        let value: Value =
            literal.parse().map_err(|e: toml_edit::TomlError| MigrateError::Syntax(e.to_string()))?;
        table.insert("rules", Item::Value(value));
        if let Some(at) = at {
            table.set_position(Some(at));
        }
        if let Some(decor) = decor {
            *table.decor_mut() = decor;
        }
        doc.insert("match", Item::Table(table));
    }
    doc.remove("format");
    Ok(Some(insert_format(&doc.to_string())))
}

/// Inserts the `format` key after the comments at the head of the file, before the first table.
fn insert_format(text: &str) -> String {
    let head = text.lines().take_while(|l| l.trim_start().starts_with('#')).count();
    let mut lines: Vec<&str> = text.lines().collect();
    let line = format!("format = {FORMAT}");
    lines.insert(head, &line);
    if lines.get(head + 1).is_some_and(|next| !next.trim().is_empty()) {
        lines.insert(head + 1, "");
    }
    lines.join("\n") + "\n"
}

/// Converts the rows to matching rules. In both forms the first row that matches a request decides.
fn rules_of(rows: &ArrayOfTables) -> Result<String, MigrateError> {
    const OPS: [&str; 5] = ["read", "write", "verify", "flush", "compare-and-write"];
    let mut out = String::new();
    let mut last = None;
    for (i, row) in rows.iter().enumerate() {
        let invalid = |what: &str| MigrateError::Row { row: i + 1, what: what.to_owned() };
        let class = row.get("class").and_then(Item::as_str).ok_or_else(|| invalid("names no class"))?;
        let ops = row.get("ops").and_then(Item::as_array).ok_or_else(|| invalid("has no list `ops`"))?;
        let ops: Option<Vec<&str>> = ops.iter().map(Value::as_str).collect();
        let ops =
            ops.filter(|o| !o.is_empty()).ok_or_else(|| invalid("`ops` must be a list of operations"))?;
        if let Some(unknown) = ops.iter().find(|o| !OPS.contains(o)) {
            return Err(invalid(&format!("there is no operation `{unknown}`")));
        }
        let upto = match row.get("upto") {
            None => None,
            Some(size) => {
                Some(size.as_str().ok_or_else(|| invalid("`upto` must be a size such as \"64KiB\""))?)
            }
        };
        let quoted: Vec<String> = ops.iter().map(|o| format!("\"{o}\"")).collect();
        let mut condition = match &quoted[..] {
            [one] => format!("op == {one}"),
            _ => format!("op in [{}]", quoted.join(", ")),
        };
        if let Some(size) = upto {
            condition += &format!(" and bytes <= {}", size.replace(' ', ""));
        }
        let class = class.replace('\\', "\\\\").replace('"', "\\\"");
        out += &format!("class \"{class}\" if {condition};\n");
        last = upto.is_none().then_some(class).or(last);
    }
    // Every operation had a row without `upto`, so that the last such row can become the one for all other
    // requests.
    let class = last.ok_or(MigrateError::Row {
        row: rows.len(),
        what: "no row without `upto`: some requests would have no class".to_owned(),
    })?;
    let unconditional = rows.iter().last().is_some_and(|r| !r.contains_key("upto"));
    if unconditional {
        // The last row needs no condition: requests of other operations match a row of theirs before it.
        out.truncate(out[..out.len() - 1].rfind('\n').map_or(0, |at| at + 1));
    }
    Ok(out + &format!("class \"{class}\" otherwise;\n"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::HostSettings;
    use pearfork_match::Fields;

    const QUICKSTART: &str = include_str!("../../../../examples/quickstart.toml");
    const OLD: &str = r#"[[classify]]
ops = ["read", "verify"]
upto = "64KiB"
class = "small-read"

[[classify]]
ops = ["compare-and-write"]
class = "compare-and-write"

[[classify]]
ops = ["write"]
class = "write"

[[classify]]
ops = ["flush"]
class = "flush"

[[classify]]
ops = ["read", "verify"]
class = "large-read"
"#;

    /// The quickstart example in the format before 1.
    fn old_quickstart() -> String {
        let from = QUICKSTART.find("[match]").unwrap();
        let to = QUICKSTART[from..].find("'''\n\n").unwrap() + from + 4;
        [&QUICKSTART[..from], OLD, &QUICKSTART[to..]].concat()
    }

    #[test]
    fn a_migrated_file_gives_each_request_the_class_that_it_had() {
        let message = HostSettings::from_toml(&old_quickstart()).unwrap_err().to_string();
        assert!(message.contains("pearfork-check migrate") && message.contains("line"), "{message}");
        let new = migrate(&old_quickstart()).unwrap().unwrap();
        assert!(new.contains("# Which request is of which class"), "{new}");
        let settings = HostSettings::from_toml(&new).unwrap_or_else(|e| panic!("{e}\n{new}"));
        assert_eq!(settings.warnings, Vec::<String>::new());
        let class = |op, bytes| {
            let fields = Fields { op, bytes, ..Fields::default() };
            settings.class_names[usize::from(settings.matching.class_of(&fields))].as_str()
        };
        assert_eq!((class("read", 65_536), class("verify", 65_537)), ("small-read", "large-read"));
        assert_eq!((class("write", 1), class("flush", 0)), ("write", "flush"));
        assert_eq!(class("compare-and-write", 512), "compare-and-write");
        // A file of the current format is not migrated again.
        assert_eq!(migrate(&new).unwrap(), None);
    }

    #[test]
    fn a_file_without_a_format_gets_one_and_nothing_else_changes() {
        let new = migrate(QUICKSTART).unwrap().unwrap();
        assert_eq!(new.replacen("format = 1\n", "", 1), QUICKSTART);
        assert!(HostSettings::from_toml(&new).is_ok());
        let newer = new.replacen("format = 1", "format = 7", 1);
        assert_eq!(migrate(&newer), Err(MigrateError::Newer(7)));
        assert!(HostSettings::from_toml(&newer).unwrap_err().to_string().contains("reads format 1"));
    }

    #[test]
    fn files_that_cannot_be_migrated_are_rejected_with_the_reason() {
        let error =
            |from: &str, to: &str| migrate(&old_quickstart().replace(from, to)).unwrap_err().to_string();
        assert!(error("class = \"flush\"", "").contains("row 4: names no class"));
        assert!(error("[\"flush\"]", "[\"rinse\"]").contains("no operation `rinse`"));
        assert!(error("[\"flush\"]", "[]").contains("row 4"));
        assert!(error("upto = \"64KiB\"", "upto = 64").contains("a size"));
        assert!(error("[rules]", "[match]\nrules = \"\"\n[rules]").contains("both"));
        assert!(migrate("[host").is_err());
        let only = "[[classify]]\nops = [\"read\"]\nupto = \"1KiB\"\nclass = \"a\"\n";
        assert!(migrate(only).unwrap_err().to_string().contains("no row without `upto`"));
    }

    #[test]
    fn a_last_row_with_a_size_keeps_its_place() {
        let rows = "[[classify]]\nops = [\"read\"]\nclass = \"a\"\n[[classify]]\nops = [\"write\"]\nupto = \"1KiB\"\nclass = \"b\"\n";
        let new = migrate(rows).unwrap().unwrap();
        assert!(
            new.contains("class \"b\" if op == \"write\" and bytes <= 1KiB;\nclass \"a\" otherwise;"),
            "{new}"
        );
    }
}
