//! Renders any JSON object as human-readable text.
//!
//! Scalar values at the top level come first. Every other key becomes a section:
//! aligned pairs for an object, a table for a list of objects or for an object
//! whose values are objects. A list of objects within a section becomes a section
//! of its own. Deeper values are shown with their keys joined by dots, or as JSON
//! in a table. Fields are not known by name, so that all fields of a newer daemon
//! are shown.

use serde_json::{Map, Value};

use crate::output::escape_control;

/// Separator of columns, and indentation of sections.
const COLUMN_SEPARATOR: &str = "  ";

/// Renders `value`.
pub(crate) fn render(value: &Value) -> String {
    let Value::Object(object) = value else {
        return format!("{}\n", cell(value));
    };
    let (sections, scalars): (Vec<_>, Vec<_>) =
        object.iter().partition(|(_, value)| is_section(value));
    let mut text = format_rows(&pairs(scalars), "");
    let sections = sections.into_iter();
    for (name, value) in sections.flat_map(|(key, value)| split_lists(key, value)) {
        if !text.is_empty() {
            text.push('\n');
        }
        text.push_str(&format!(
            "{name}\n{}",
            format_rows(&section(&value), COLUMN_SEPARATOR)
        ));
    }
    text
}

/// Splits a section into the section without its lists of objects, and one section for
/// each of these lists.
fn split_lists(key: &str, value: &Value) -> Vec<(String, Value)> {
    let name = escape_control(key);
    let Value::Object(object) = value else {
        return vec![(name, value.clone())];
    };
    let (lists, rest): (Map<_, _>, Map<_, _>) = object
        .clone()
        .into_iter()
        .partition(|(_, entry)| entry.is_array() && is_section(entry));
    let mut sections = Vec::new();
    if !rest.is_empty() || lists.is_empty() {
        sections.push((name.clone(), Value::Object(rest)));
    }
    let lists = lists.into_iter();
    sections.extend(lists.map(|(list, rows)| (format!("{name}.{}", escape_control(&list)), rows)));
    sections
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
    let mut rows = Vec::new();
    for (key, value) in entries {
        flatten(escape_control(key), value, &mut rows);
    }
    rows
}

/// Adds a row for each value that is not an object, with its keys joined by dots.
fn flatten(path: String, value: &Value, rows: &mut Vec<Row>) {
    match value {
        Value::Object(object) if !object.is_empty() => {
            for (key, nested) in object {
                flatten(format!("{path}.{}", escape_control(key)), nested, rows);
            }
        }
        _ => rows.push(vec![path, cell(value)]),
    }
}

/// Header and a row for each object; the columns are the union of their keys.
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
    let mut header: Row = columns.iter().map(|key| escape_control(key)).collect();
    if is_named {
        header.insert(0, "name".to_owned());
    }
    let body = rows.iter().map(|(name, row)| {
        let cells = columns
            .iter()
            .map(|key| row.get(key.as_str()).map_or_else(String::new, cell));
        name.map(escape_control).into_iter().chain(cells).collect()
    });
    std::iter::once(header).chain(body).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => escape_control(text),
        Value::Array(elements) if elements.is_empty() => "-".to_owned(),
        Value::Object(object) if object.is_empty() => "-".to_owned(),
        Value::Array(elements)
            if !elements
                .iter()
                .any(|element| element.is_object() || element.is_array()) =>
        {
            elements.iter().map(cell).collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

/// Formats `rows` with aligned columns, each line after `indent`.
fn format_rows(rows: &[Row], indent: &str) -> String {
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
        let line = format!("{indent}{}", padded.join(COLUMN_SEPARATOR));
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
