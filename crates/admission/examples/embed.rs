//! Smallest use of the admission without the daemon.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mangofront_admission::{Admission, AdmissionOptions, AdmissionRequest, Estimate};
use mangofront_settings::published::Class;

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let admission = Admission::new(AdmissionOptions::new());
    let diagnosis = Class {
        time_to_first_token_ms: 500,
        allowed_delay_ms: 5_000,
    };
    admission.set_classes(&BTreeMap::from([("diagnosis".to_owned(), diagnosis)]));
    let arrived = Instant::now();
    let request = AdmissionRequest {
        class: "diagnosis".to_owned(),
        organisation: "tuul".to_owned(),
        model: "assist-llm".to_owned(),
        length_tokens: 1_200,
        arrived,
        deadline: arrived + Duration::from_secs(10),
    };
    // A placement would predict this; see that crate's example.
    let estimate = || {
        Some(Estimate {
            time_to_first_token: Duration::from_millis(150),
            completion: Duration::from_secs(2),
            queue: Duration::ZERO,
            is_assumed: false,
        })
    };
    let mut permit = admission.admit(request, estimate).await?;
    // The request would run here; its first token comes, then the rest.
    permit.record_first_token(arrived.elapsed());
    drop(permit);
    println!("{:?}", admission.status());
    Ok(())
}
