//! Checks arbitrary text as a published configuration: no input panics, a valid
//! configuration parses to the same value after serialisation, and an error is one line
//! of limited length, as the audit trail needs it.

#![no_main]

use libfuzzer_sys::fuzz_target;
use mangofront_settings::published::check_published_one_line;

/// Maximum length of an error that the audit trail records, in bytes.
const MAX_REASON_BYTES: usize = 8 * 1024;

fuzz_target!(|text: &str| {
    match check_published_one_line(text) {
        Ok(configuration) => {
            let serialised = serde_json::to_string(&configuration).expect("JSON");
            assert_eq!(check_published_one_line(&serialised), Ok(configuration));
        }
        Err(reason) => {
            assert!(!reason.contains('\n'));
            assert!(reason.len() <= MAX_REASON_BYTES);
        }
    }
});
