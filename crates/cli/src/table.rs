//! Any JSON object, laid out for a person.
//!
//! Plain values at the top come first; every other key becomes a section:
//! aligned pairs for an object, a table for a list of objects or for an object
//! whose values are objects. What is nested deeper is shown as JSON. No field
//! is known by name, so a newer daemon's status is shown whole.

use serde_json::{Map, Value};

use crate::output::plain;

/// Space between two columns.
const GAP: &str = "  ";

/// Lays out `value`.
pub(crate) fn render(value: &Value) -> String {
    let Value::Object(object) = value else {
        return format!("{}\n", cell(value));
    };
    let (sections, plain_values): (Vec<_>, Vec<_>) =
        object.iter().partition(|(_, value)| is_section(value));
    let mut text = lines(&pairs(plain_values), "");
    for (key, value) in sections {
        if !text.is_empty() {
            text.push('\n');
        }
        text.push_str(&format!("{}\n{}", plain(key), lines(&section(value), GAP)));
    }
    text
}

type Row = Vec<String>;

fn is_section(value: &Value) -> bool {
    match value {
        Value::Object(_) => true,
        Value::Array(elements) => elements.iter().any(Value::is_object),
        _ => false,
    }
}

fn section(value: &Value) -> Vec<Row> {
    match value {
        Value::Object(object) if object.is_empty() => vec![vec!["none".to_owned()]],
        Value::Object(object) if object.values().all(Value::is_object) => {
            let named = object.iter().map(|(name, row)| (Some(name.as_str()), row));
            table(&named.collect::<Vec<_>>())
        }
        Value::Object(object) => pairs(object),
        Value::Array(elements) if elements.iter().all(Value::is_object) => {
            table(&elements.iter().map(|row| (None, row)).collect::<Vec<_>>())
        }
        other => vec![vec![cell(other)]],
    }
}

fn pairs<'a>(entries: impl IntoIterator<Item = (&'a String, &'a Value)>) -> Vec<Row> {
    let entries = entries.into_iter();
    entries
        .map(|(key, value)| vec![plain(key), cell(value)])
        .collect()
}

/// A head and a row for each object; the columns are all their keys.
fn table(rows: &[(Option<&str>, &Value)]) -> Vec<Row> {
    let mut columns: Vec<&String> = Vec::new();
    for key in rows
        .iter()
        .filter_map(|(_, row)| row.as_object())
        .flat_map(Map::keys)
    {
        if !columns.contains(&key) {
            columns.push(key);
        }
    }
    let is_named = rows.iter().any(|(name, _)| name.is_some());
    let mut head: Row = columns.iter().map(|key| plain(key)).collect();
    if is_named {
        head.insert(0, "name".to_owned());
    }
    let body = rows.iter().map(|(name, row)| {
        let cells = columns
            .iter()
            .map(|key| row.get(key.as_str()).map_or_else(String::new, cell));
        name.map(plain).into_iter().chain(cells).collect()
    });
    std::iter::once(head).chain(body).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => plain(text),
        Value::Array(elements) if elements.is_empty() => "-".to_owned(),
        Value::Array(elements) if !elements.iter().any(|one| one.is_object() || one.is_array()) => {
            elements.iter().map(cell).collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

/// `rows` with aligned columns, each line after `indent`.
fn lines(rows: &[Row], indent: &str) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let padded: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let line = format!("{indent}{}", padded.join(GAP));
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
