//! Digest of a JSON value that does not depend on the layout of its text.
//!
//! Two services, or two versions of one, may serialise the same value with different
//! whitespace or key order, which must not count as a different value. The digest
//! covers the untyped value, so that daemons of different releases agree on it.

use serde_json::Value;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::document::Digest;

/// Digest of `value`, independent of the order of an object's keys.
pub(crate) fn of_value(value: &Value) -> Digest {
    let mut state = Xxh3::new();
    add(&mut state, value);
    state.digest()
}

/// Digest of a text that is not JSON.
pub(crate) fn of_text(text: &[u8]) -> Digest {
    xxh3_64(text)
}

/// Adds `value` to the hash, with a type tag and a length before each part, so that no
/// two values hash the same bytes.
fn add(state: &mut Xxh3, value: &Value) {
    match value {
        Value::Null => state.update(b"n"),
        Value::Bool(true) => state.update(b"t"),
        Value::Bool(false) => state.update(b"f"),
        Value::Number(number) => add_text(state, b"d", &number.to_string()),
        Value::String(text) => add_text(state, b"s", text),
        Value::Array(items) => {
            add_tag_and_length(state, b"a", items.len());
            for item in items {
                add(state, item);
            }
        }
        Value::Object(fields) => {
            add_tag_and_length(state, b"o", fields.len());
            let mut keys: Vec<_> = fields.iter().collect();
            keys.sort_unstable_by_key(|(key, _)| *key);
            for (key, field) in keys {
                add_text(state, b"k", key);
                add(state, field);
            }
        }
    }
}

fn add_text(state: &mut Xxh3, tag: &[u8], text: &str) {
    add_tag_and_length(state, tag, text.len());
    state.update(text.as_bytes());
}

fn add_tag_and_length(state: &mut Xxh3, tag: &[u8], len: usize) {
    state.update(tag);
    state.update(&(len as u64).to_le_bytes());
}
