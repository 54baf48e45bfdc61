//! Deserialisation of the emulator settings.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

use mangofront_standin::engine::EngineSettings;
use mangofront_standin::weights::WeightsSettings;

#[test]
fn what_is_unset_has_its_default() {
    let text = r#"{"model": "kuhar-llm", "step": {"base_us": 1.5}, "fencing": "checked"}"#;
    let settings: EngineSettings = serde_json::from_str(text).unwrap();
    let weights: WeightsSettings = serde_json::from_str("{}").unwrap();
    insta::assert_debug_snapshot!((settings, weights));
}

#[test]
fn unknown_field_is_refused() {
    let settings = serde_json::from_str::<EngineSettings>(r#"{"weight": 1}"#);
    assert!(settings.unwrap_err().to_string().contains("weight"));
    let step = serde_json::from_str::<EngineSettings>(r#"{"step": {"base_ms": 1}}"#);
    assert!(step.unwrap_err().to_string().contains("base_ms"));
    let weights = serde_json::from_str::<WeightsSettings>(r#"{"rate": 1}"#);
    assert!(weights.unwrap_err().to_string().contains("rate"));
}
