//! Formats JSON objects as a text table.

use serde_json::{Map, Value};

/// Keys that identify a row; their columns come first.
const NAME_KEYS: [&str; 2] = ["name", "node"];

/// Formats rows with the keys of the first one as columns, `name` and `node` first. Values that are not
/// objects are skipped. Returns the line `none` if no row is left.
pub fn format_rows(rows: &[Value]) -> String {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    let Some(first) = rows.first() else { return "none\n".to_owned() };
    let mut keys: Vec<&String> = first.keys().collect();
    keys.sort_by_key(|k| !NAME_KEYS.contains(&k.as_str()));
    let cell = |row: &Map<String, Value>, key: &str| match row.get(key) {
        Some(Value::String(s)) => s.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(Value::Object(m)) if m.is_empty() => "-".to_owned(),
        Some(Value::Object(m)) => m.iter().map(|(k, v)| format!("{k} {v}")).collect::<Vec<_>>().join(", "),
        Some(other) => other.to_string(),
    };
    let mut lines: Vec<Vec<String>> = vec![keys.iter().map(|k| k.replace('_', " ")).collect()];
    lines.extend(rows.iter().map(|r| keys.iter().map(|k| cell(r, k)).collect()));
    let width = |column: usize| lines.iter().map(|l| l[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..keys.len()).map(width).collect();
    let mut out = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        out += cells.collect::<Vec<_>>().join("  ").trim_end();
        out.push('\n');
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_fit_their_widest_cell_and_unexpected_rows_are_tolerated() {
        let rows = vec![
            serde_json::json!({"node": 1, "state": "ready"}),
            serde_json::json!({"node": 12, "state": {"limit": 3, "rest": 1}, "more": true}),
            serde_json::json!({"state": null}),
            serde_json::json!(7),
        ];
        let lines = format_rows(&rows);
        let expected = "node  state\n1     ready\n12    limit 3, rest 1\n-     -\n";
        assert_eq!(lines, expected);
        assert_eq!(format_rows(&[]), "none\n");
    }
}
