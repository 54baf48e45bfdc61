//! Finds out which of several prompt parts crashes engines, without a network.

use std::time::Instant;

use mangofront_quarantine::{CrashTracker, LostRequest, Suspect};

fn main() {
    let part = |part| Suspect::PromptPart { service: 1, part };
    let (shared, harmless, at_fault) = (part(0xf0), part(0x51), part(0xbad));
    let mut tracker = CrashTracker::default();
    let now = Instant::now();

    // Three engines end; all prompts that they were starting to answer have a part in common.
    for (engine, suspects) in [
        (1, [shared, at_fault]),
        (2, [shared, at_fault]),
        (3, [harmless, at_fault]),
    ] {
        let lost = LostRequest {
            suspects: &suspects,
            organisation: 7,
            is_trial: false,
        };
        tracker.record_crash(lost, engine, now);
    }

    // Another prompt with the shared part is answered.
    tracker.clear(shared);

    for suspect in [shared, harmless, at_fault] {
        println!(
            "{suspect:?}: {:?}",
            tracker.quarantine_state(suspect, 7, now)
        );
    }
}
