//! Any text as a published configuration: never a panic; a good one reads back
//! alike, and a refusal fits the audit trail.

#![no_main]

use libfuzzer_sys::fuzz_target;
use mangofront_settings::published::check_published_one_line;

/// Longest reason that the audit trail should have to hold, in bytes.
const REASON_LIMIT_BYTES: usize = 8 * 1024;

fuzz_target!(|text: &str| {
    match check_published_one_line(text) {
        Ok(configuration) => {
            let written = serde_json::to_string(&configuration).expect("JSON");
            assert_eq!(check_published_one_line(&written), Ok(configuration));
        }
        Err(reason) => {
            assert!(!reason.contains('\n'));
            assert!(reason.len() <= REASON_LIMIT_BYTES);
        }
    }
});
