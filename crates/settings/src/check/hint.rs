//! Guesses at what a wrong key was meant to be.

use super::problem::{Problem, quote};
use super::shape::Field;

/// Units that end a key, with their names.
const UNITS: [(&str, &str); 6] = [
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_frames", "frames"),
    ("_entries", "entries"),
    ("_tokens", "tokens"),
    ("_links", "links"),
];

/// Endings that people write for another unit.
const OTHER_UNITS: [&str; 25] = [
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

/// Words by which people try to steer single upstreams.
const STEERING_WORDS: [&str; 14] = [
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

/// Least likeness of two keys that are taken for one another.
const LEAST_LIKENESS: f64 = 0.75;

/// Names the problem with `key` in a section that has `fields`.
pub(super) fn unknown_key(key: &str, fields: &[Field], guard_steering: bool) -> Problem {
    if let Some(right) = wrong_unit(key, fields) {
        return Problem::WrongUnit {
            key: quote(key),
            right,
            unit: unit_of(right),
        };
    }
    if guard_steering && is_steering(key) {
        return Problem::Steering { key: quote(key) };
    }
    Problem::UnknownKey {
        key: quote(key),
        nearest: nearest(key, fields),
        known: fields.iter().map(|field| field.name).collect(),
    }
}

/// Name of the unit that `key` ends with, empty without one.
pub(super) fn unit_of(key: &str) -> &'static str {
    UNITS
        .iter()
        .find(|(ending, _)| key.ends_with(ending))
        .map_or("", |(_, name)| name)
}

fn wrong_unit(key: &str, fields: &[Field]) -> Option<&'static str> {
    let written = stem(key);
    let field = fields.iter().find(|field| {
        let own = UNITS
            .iter()
            .find_map(|(ending, _)| field.name.strip_suffix(ending));
        own == Some(written)
    })?;
    Some(field.name)
}

/// `key` without its unit, or whole when it has none.
fn stem(key: &str) -> &str {
    let own = UNITS.iter().map(|(ending, _)| *ending);
    own.chain(OTHER_UNITS)
        .find_map(|ending| key.strip_suffix(ending))
        .unwrap_or(key)
}

fn is_steering(key: &str) -> bool {
    let key = key.to_ascii_lowercase();
    key.split(['_', '-'])
        .any(|word| STEERING_WORDS.contains(&word))
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
        .filter(|(likeness, _)| *likeness >= LEAST_LIKENESS)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name)
}
