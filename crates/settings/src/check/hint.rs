//! Suggestions for unknown keys.

use super::problem::{Problem, quote};
use super::shape::Field;

/// Unit suffixes of keys, with the names of the units.
const UNITS: [(&str, &str); 6] = [
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_frames", "frames"),
    ("_entries", "entries"),
    ("_tokens", "tokens"),
    ("_links", "links"),
];

/// Unit suffixes that no key has, but that a document may use by mistake.
const UNSUPPORTED_UNITS: [&str; 25] = [
    "_s",
    "_sec",
    "_secs",
    "_seconds",
    "_second",
    "_m",
    "_min",
    "_mins",
    "_minutes",
    "_h",
    "_hours",
    "_us",
    "_micros",
    "_ns",
    "_millis",
    "_milliseconds",
    "_b",
    "_kb",
    "_kib",
    "_mb",
    "_mib",
    "_gb",
    "_gib",
    "_k",
    "_count",
];

/// Words in keys with which a document tries to control individual upstreams.
const UPSTREAM_CONTROL_WORDS: [&str; 14] = [
    "weight",
    "weights",
    "priority",
    "instance",
    "instances",
    "address",
    "addresses",
    "host",
    "hosts",
    "port",
    "engine",
    "engines",
    "upstream",
    "upstreams",
];

/// Similarity from which on a known key is suggested for an unknown one, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the problem with `key`, which is none of `fields`.
pub(super) fn unknown_key(key: &str, fields: &[Field], forbids_upstream_keys: bool) -> Problem {
    if let Some(expected_key) = wrong_unit(key, fields) {
        return Problem::WrongUnit {
            key: quote(key),
            expected_key,
            unit: unit_of(expected_key),
        };
    }
    if forbids_upstream_keys && controls_upstreams(key) {
        return Problem::ForbiddenKey { key: quote(key) };
    }
    Problem::UnknownKey {
        key: quote(key),
        nearest: nearest(key, fields),
        known: fields.iter().map(|field| field.name).collect(),
    }
}

/// Name of the unit in the suffix of `key`; empty if it has none.
pub(super) fn unit_of(key: &str) -> &'static str {
    UNITS
        .iter()
        .find(|(ending, _)| key.ends_with(ending))
        .map_or("", |(_, name)| name)
}

fn wrong_unit(key: &str, fields: &[Field]) -> Option<&'static str> {
    let base_name = without_unit(key);
    let field = fields.iter().find(|field| {
        let own = UNITS
            .iter()
            .find_map(|(ending, _)| field.name.strip_suffix(ending));
        own == Some(base_name)
    })?;
    Some(field.name)
}

/// `key` without its unit suffix, if it has one.
fn without_unit(key: &str) -> &str {
    let own = UNITS.iter().map(|(ending, _)| *ending);
    own.chain(UNSUPPORTED_UNITS)
        .find_map(|ending| key.strip_suffix(ending))
        .unwrap_or(key)
}

fn controls_upstreams(key: &str) -> bool {
    let key = key.to_ascii_lowercase();
    key.split(['_', '-'])
        .any(|word| UPSTREAM_CONTROL_WORDS.contains(&word))
}

fn nearest(key: &str, fields: &[Field]) -> Option<&'static str> {
    fields
        .iter()
        .map(|field| {
            (
                strsim::normalized_damerau_levenshtein(key, field.name),
                field.name,
            )
        })
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name)
}
