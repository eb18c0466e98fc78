//! Older settings files, written anew. Comments and order stay.

use super::FORMAT;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value};

/// A file that can't be written anew.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MigrateError {
    /// Not TOML; the text names the line.
    #[error("{0}")]
    Syntax(String),
    /// Of a form that this version does not know.
    #[error("format {0} is newer than this program, which writes {FORMAT}")]
    Newer(i64),
    /// A row of the old table that says nothing.
    #[error("classify, row {row}: {what}")]
    Row {
        /// From 1.
        row: usize,
        /// What is wrong.
        what: String,
    },
    /// Two ways to say one thing.
    #[error("the file has both `classify`, of the old form, and `match`, of the new one; take one out")]
    Both,
}

/// What went before format 1: a table of operations and sizes gave requests their class. `None` where the file is of
/// the present form already.
///
/// # Errors
/// What stands in the way, in words.
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
        // What was said before the table is said of what takes its place.
        let said = rows.iter().next().map(|t| t.decor().clone());
        doc.remove("classify");
        let mut table = Table::new();
        let literal = format!("'''\n{rules}'''");
        let value: Value =
            literal.parse().map_err(|e: toml_edit::TomlError| MigrateError::Syntax(e.to_string()))?;
        table.insert("rules", Item::Value(value));
        if let Some(at) = at {
            table.set_position(Some(at));
        }
        if let Some(said) = said {
            *table.decor_mut() = said;
        }
        doc.insert("match", Item::Table(table));
    }
    doc.remove("format");
    Ok(Some(with_format(&doc.to_string())))
}

/// The form goes before the first table, and after what is said at the head of the file.
fn with_format(text: &str) -> String {
    let head = text.lines().take_while(|l| l.trim_start().starts_with('#')).count();
    let mut lines: Vec<&str> = text.lines().collect();
    let line = format!("format = {FORMAT}");
    lines.insert(head, &line);
    if lines.get(head + 1).is_some_and(|next| !next.trim().is_empty()) {
        lines.insert(head + 1, "");
    }
    lines.join("\n") + "\n"
}

/// The rows as matching rules. The first that fits counted, and does.
fn rules_of(rows: &ArrayOfTables) -> Result<String, MigrateError> {
    const OPS: [&str; 5] = ["read", "write", "verify", "flush", "compare-and-write"];
    let mut out = String::new();
    let mut last = None;
    for (i, row) in rows.iter().enumerate() {
        let bad = |what: &str| MigrateError::Row { row: i + 1, what: what.to_owned() };
        let class = row.get("class").and_then(Item::as_str).ok_or_else(|| bad("names no class"))?;
        let ops = row.get("ops").and_then(Item::as_array).ok_or_else(|| bad("has no list `ops`"))?;
        let ops: Option<Vec<&str>> = ops.iter().map(Value::as_str).collect();
        let ops = ops.filter(|o| !o.is_empty()).ok_or_else(|| bad("`ops` must be a list of operations"))?;
        if let Some(odd) = ops.iter().find(|o| !OPS.contains(o)) {
            return Err(bad(&format!("there is no operation `{odd}`")));
        }
        let upto = match row.get("upto") {
            None => None,
            Some(size) => Some(size.as_str().ok_or_else(|| bad("`upto` must be a size such as \"64KiB\""))?),
        };
        let quoted: Vec<String> = ops.iter().map(|o| format!("\"{o}\"")).collect();
        let mut tests = match &quoted[..] {
            [one] => format!("op == {one}"),
            _ => format!("op in [{}]", quoted.join(", ")),
        };
        if let Some(size) = upto {
            tests += &format!(" and bytes <= {}", size.replace(' ', ""));
        }
        let class = class.replace('\\', "\\\\").replace('"', "\\\"");
        out += &format!("class \"{class}\" if {tests};\n");
        last = upto.is_none().then_some(class).or(last);
    }
    // Each operation had a row without `upto`, so the last such row takes what no other took.
    let class = last.ok_or(MigrateError::Row {
        row: rows.len(),
        what: "no row without `upto`: some requests would have no class".to_owned(),
    })?;
    let unconditional = rows.iter().last().is_some_and(|r| !r.contains_key("upto"));
    if unconditional {
        // Requests of other operations never come to the last row: they had their own before it.
        out.truncate(out[..out.len() - 1].rfind('\n').map_or(0, |at| at + 1));
    }
    Ok(out + &format!("class \"{class}\" otherwise;\n"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::HostSettings;
    use pearfork_match::Fields;

    const GOOD: &str = include_str!("../../../../examples/quickstart.toml");
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

    /// The quickstart as it was written before there were matching rules.
    fn old() -> String {
        let from = GOOD.find("[match]").unwrap();
        let to = GOOD[from..].find("'''\n\n").unwrap() + from + 4;
        [&GOOD[..from], OLD, &GOOD[to..]].concat()
    }

    #[test]
    fn a_file_of_the_older_form_gives_each_request_the_class_that_it_had() {
        let told = HostSettings::from_toml(&old()).unwrap_err().to_string();
        assert!(told.contains("pearfork-check migrate") && told.contains("line"), "{told}");
        let new = migrate(&old()).unwrap().unwrap();
        assert!(new.contains("# Which request is of which class"), "{new}");
        let plan = HostSettings::from_toml(&new).unwrap_or_else(|e| panic!("{e}\n{new}"));
        assert_eq!(plan.warnings, Vec::<String>::new());
        let class = |op, bytes| {
            let fields = Fields { op, bytes, ..Fields::default() };
            plan.class_names[usize::from(plan.matching.class_of(&fields))].as_str()
        };
        assert_eq!((class("read", 65_536), class("verify", 65_537)), ("small-read", "large-read"));
        assert_eq!((class("write", 1), class("flush", 0)), ("write", "flush"));
        assert_eq!(class("compare-and-write", 512), "compare-and-write");
        // Once is enough.
        assert_eq!(migrate(&new).unwrap(), None);
    }

    #[test]
    fn a_file_without_a_form_gets_one_and_nothing_else_changes() {
        let new = migrate(GOOD).unwrap().unwrap();
        assert_eq!(new.replacen("format = 1\n", "", 1), GOOD);
        assert!(HostSettings::from_toml(&new).is_ok());
        let newer = new.replacen("format = 1", "format = 7", 1);
        assert_eq!(migrate(&newer), Err(MigrateError::Newer(7)));
        assert!(HostSettings::from_toml(&newer).unwrap_err().to_string().contains("reads format 1"));
    }

    #[test]
    fn what_can_not_be_taken_over_is_told() {
        let told = |from: &str, to: &str| migrate(&old().replace(from, to)).unwrap_err().to_string();
        assert!(told("class = \"flush\"", "").contains("row 4: names no class"));
        assert!(told("[\"flush\"]", "[\"rinse\"]").contains("no operation `rinse`"));
        assert!(told("[\"flush\"]", "[]").contains("row 4"));
        assert!(told("upto = \"64KiB\"", "upto = 64").contains("a size"));
        assert!(told("[rules]", "[match]\nrules = \"\"\n[rules]").contains("both"));
        assert!(migrate("[host").is_err());
        let only = "[[classify]]\nops = [\"read\"]\nupto = \"1KiB\"\nclass = \"a\"\n";
        assert!(migrate(only).unwrap_err().to_string().contains("no row without `upto`"));
    }

    #[test]
    fn a_row_with_a_size_at_the_end_keeps_its_place() {
        let rows = "[[classify]]\nops = [\"read\"]\nclass = \"a\"\n[[classify]]\nops = [\"write\"]\nupto = \"1KiB\"\nclass = \"b\"\n";
        let new = migrate(rows).unwrap().unwrap();
        assert!(
            new.contains("class \"b\" if op == \"write\" and bytes <= 1KiB;\nclass \"a\" otherwise;"),
            "{new}"
        );
    }
}
