//! Rows of JSON as columns for people.

use serde_json::{Map, Value};

/// What a row is called by; such a column stands first.
const NAMES: [&str; 2] = ["name", "node"];

/// Lays out rows under the keys of the first one; what is no row is passed over.
pub fn lay_out(rows: &[Value]) -> String {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    let Some(first) = rows.first() else { return "none\n".to_owned() };
    let mut keys: Vec<&String> = first.keys().collect();
    keys.sort_by_key(|k| !NAMES.contains(&k.as_str()));
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
    fn columns_are_as_wide_as_their_widest_and_odd_rows_do_no_harm() {
        let rows = vec![
            serde_json::json!({"node": 1, "state": "ready"}),
            serde_json::json!({"node": 12, "state": {"limit": 3, "rest": 1}, "more": true}),
            serde_json::json!({"state": null}),
            serde_json::json!(7),
        ];
        let lines = lay_out(&rows);
        let want = "node  state\n1     ready\n12    limit 3, rest 1\n-     -\n";
        assert_eq!(lines, want);
        assert_eq!(lay_out(&[]), "none\n");
    }
}
