//! Whole documents: the examples, their description in docs/settings.md, and arbitrary
//! text.

use std::collections::BTreeSet;
use std::path::Path;

use mangofront_settings::check::{DocumentKind, MAX_REPORTED_FAULTS, SettingsError, parse_value};
use mangofront_settings::process::{
    DaemonSettings, Limits, LogSettings, PeerSettings, check_daemon_settings, read_daemon_settings,
};
use mangofront_settings::published::{Configuration, check_published, check_published_one_line};
use quickcheck::{QuickCheck, TestResult};
use serde_json::Value;

const SETTINGS: &str = include_str!("../../../examples/mangofrontd.jsonc");
const CONFIGURATION: &str = include_str!("../../../examples/configuration.jsonc");
const SETTINGS_PAGE: &str = include_str!("../../../docs/settings.md");

/// Collects the keys of `value` at every depth, except for the names of entries in
/// `maps`.
fn field_names(value: &Value, maps: &[&str], names: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (key, nested) in object {
                names.insert(key.clone());
                match nested {
                    Value::Object(map) if maps.contains(&key.as_str()) => {
                        map.values()
                            .for_each(|entry| field_names(entry, maps, names));
                    }
                    _ => field_names(nested, maps, names),
                }
            }
        }
        Value::Array(array) => array
            .iter()
            .for_each(|entry| field_names(entry, maps, names)),
        _ => {}
    }
}

fn fields(value: &Value) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let maps = ["classes", "organisations", "models", "services"];
    field_names(value, &maps, &mut names);
    names
}

#[test]
fn example_settings_are_complete_and_show_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/mangofrontd.jsonc");
    let settings = read_daemon_settings(&path).expect("example is good");
    let written = serde_json::to_value(&settings).expect("settings are JSON");
    let example = parse_value("example", SETTINGS).expect("example is JSON");
    assert_eq!(example, written);
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.logs, LogSettings::default());
    assert_eq!(settings.peers, PeerSettings::default());
}

#[test]
fn example_configuration_is_complete() {
    let configuration = check_published(CONFIGURATION).expect("example is good");
    let written = serde_json::to_value(&configuration).expect("configuration is JSON");
    let example = parse_value("example", CONFIGURATION).expect("example is JSON");
    assert_eq!(fields(&example), fields(&written));
}

#[test]
fn every_field_is_documented() {
    for document in [SETTINGS, CONFIGURATION] {
        let example = parse_value("example", document).expect("example is JSON");
        for name in fields(&example) {
            assert!(
                SETTINGS_PAGE.contains(&format!("`{name}`")),
                "{name} is not in docs/settings.md"
            );
        }
    }
}

#[test]
fn serialised_documents_parse_to_equal_values() {
    let settings = DaemonSettings::builder("a").stop_limit_ms(9).build();
    let text = serde_json::to_string(&settings).expect("settings are JSON");
    assert_eq!(check_daemon_settings("a", &text).expect("good"), settings);
    let configuration = check_published(CONFIGURATION).expect("good");
    let text = serde_json::to_string(&configuration).expect("configuration is JSON");
    assert_eq!(check_published_one_line(&text), Ok(configuration));
    let empty = serde_json::to_string(&Configuration::default()).expect("JSON");
    assert_eq!(
        check_published_one_line(&empty),
        Ok(Configuration::default())
    );
}

#[test]
fn document_kind_is_detected() {
    assert_eq!(DocumentKind::guess(SETTINGS), DocumentKind::Settings);
    assert_eq!(
        DocumentKind::guess(CONFIGURATION),
        DocumentKind::Configuration
    );
    assert_eq!(DocumentKind::guess("{"), DocumentKind::Settings);
}

#[test]
fn missing_file_is_unreadable() {
    let missing = read_daemon_settings(Path::new("/nonexistent/settings.jsonc"));
    assert!(matches!(missing, Err(SettingsError::Unreadable { .. })));
}

/// Checks `text` as both kinds of document. Returns whether each error lists at least
/// one fault, only faults within the text, and formats as one line.
fn reports_valid_faults(text: &str) -> bool {
    let lines = text.matches('\n').count() + 1;
    let faults = [
        check_daemon_settings("a", text).err(),
        check_published(text).err(),
    ];
    faults.iter().flatten().all(|error| {
        let in_text = error
            .faults()
            .iter()
            .all(|fault| (1..=lines).contains(&fault.line));
        in_text && !error.faults().is_empty() && !error.one_line().contains('\n')
    })
}

#[test]
fn arbitrary_text_never_panics() {
    fn property(text: String) -> bool {
        reports_valid_faults(&text)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(String) -> bool);
}

/// Replaces a random range of an example by random text: an almost valid document
/// reaches more of the checks than arbitrary text does.
#[test]
fn mutated_examples_never_panic() {
    fn property(from: usize, to: usize, splice: String, settings: bool) -> TestResult {
        let example = if settings { SETTINGS } else { CONFIGURATION };
        let (from, to) = (from % example.len(), to % example.len());
        let on_char_boundaries = example.is_char_boundary(from) && example.is_char_boundary(to);
        if from > to || !on_char_boundaries {
            return TestResult::discard();
        }
        let text = format!("{}{splice}{}", &example[..from], &example[to..]);
        TestResult::from_bool(reports_valid_faults(&text))
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(usize, usize, String, bool) -> TestResult);
}

/// Errors stay short for documents with very many faults or very long keys.
#[test]
fn reported_faults_are_limited() {
    let keys: Vec<_> = (0..100_000).map(|n| format!("\"k{n}\":0")).collect();
    let text = format!("{{{}}}", keys.join(",\n"));
    let error = check_published(&text).expect_err("broken");
    assert_eq!(error.faults().len(), MAX_REPORTED_FAULTS);
    assert_eq!(
        error.to_string(),
        "configuration: 100002 faults, the first 20 of them"
    );
    let long = format!("{{\"classes\": {{\"{}\": 1}}}}", "x".repeat(1_000_000));
    assert!(check_published_one_line(&long).expect_err("broken").len() < 500);
}

#[test]
fn deep_nesting_is_refused() {
    let text = "[".repeat(100_000);
    assert!(reports_valid_faults(&text));
    assert!(parse_value("deep", &text).is_err());
}
