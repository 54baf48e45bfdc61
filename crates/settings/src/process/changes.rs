//! Comparison of two versions of the settings of a process.

use serde_json::Value;

use super::DaemonSettings;

/// Path of a field within a settings document, its names joined by dots.
pub type FieldPath = String;

/// The fields in which two settings differ, in order; a list counts as one field.
#[must_use]
pub fn changed_fields(before: &DaemonSettings, after: &DaemonSettings) -> Vec<FieldPath> {
    let mut changed = Vec::new();
    let (before, after) = (to_value(before), to_value(after));
    compare("", &before, &after, &mut changed);
    changed
}

/// The settings as a document; they consist of plain values, so this can't fail.
fn to_value(settings: &DaemonSettings) -> Value {
    serde_json::to_value(settings).unwrap_or_default()
}

fn compare(path: &str, before: &Value, after: &Value, changed: &mut Vec<FieldPath>) {
    let (Value::Object(before), Value::Object(after)) = (before, after) else {
        if before != after {
            changed.push(path.to_owned());
        }
        return;
    };
    let added = after.keys().filter(|name| !before.contains_key(*name));
    for name in before.keys().chain(added) {
        let path = match path {
            "" => name.clone(),
            section => format!("{section}.{name}"),
        };
        let value = |document: &serde_json::Map<String, Value>| {
            document.get(name).cloned().unwrap_or_default()
        };
        compare(&path, &value(before), &value(after), changed);
    }
}
