//! Checks arbitrary text as a daemon's settings: no input panics, valid settings parse to
//! the same value after serialisation, and an error lists a fault and formats as one
//! line.

#![no_main]

use libfuzzer_sys::fuzz_target;
use mangofront_settings::process::check_daemon_settings;

fuzz_target!(|text: &str| {
    match check_daemon_settings("fuzz", text) {
        Ok(settings) => {
            let serialised = serde_json::to_string(&settings).expect("settings are JSON");
            let parsed = check_daemon_settings("fuzz", &serialised).expect("good again");
            assert_eq!(parsed, settings);
        }
        Err(error) => {
            assert!(!error.faults().is_empty());
            assert!(!error.one_line().contains('\n'));
        }
    }
});
