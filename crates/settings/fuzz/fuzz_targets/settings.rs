//! Any text as a daemon's settings: never a panic; good ones read back alike.

#![no_main]

use libfuzzer_sys::fuzz_target;
use mangofront_settings::process::check_daemon_settings;

fuzz_target!(|text: &str| {
    match check_daemon_settings("fuzz", text) {
        Ok(settings) => {
            let written = serde_json::to_string(&settings).expect("settings are JSON");
            let read = check_daemon_settings("fuzz", &written).expect("good again");
            assert_eq!(read, settings);
        }
        Err(error) => {
            assert!(!error.faults().is_empty());
            assert!(!error.one_line().contains('\n'));
        }
    }
});
