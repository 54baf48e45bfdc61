//! Smallest use of the placement without the daemon.

use std::time::{Duration, Instant};

use mangofront_placement::{EngineInfo, Placement, PlacementOptions, PlacementRequest};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = PlacementOptions::new("entry-1".to_owned(), "hall-a".to_owned());
    let placement = Placement::new(options);
    placement.set_engines(vec![EngineInfo {
        instance: "engine-1".to_owned(),
        model: "assist-llm".to_owned(),
        availability_zone: "hall-a".to_owned(),
        address: "127.0.0.1:9000".parse()?,
        leaving: false,
    }]);
    let demand = PlacementRequest {
        model: "assist-llm".to_owned(),
        length_tokens: 1_200,
        max_tokens: 200,
        blocks: Vec::new(),
        time_to_first_token: Duration::from_millis(500),
        deadline: Instant::now() + Duration::from_secs(10),
    };
    let mut placed = placement.place(&demand, &[])?;
    println!("{} at {}", placed.instance, placed.address);
    println!("priority {}, {:?}", placed.priority, placed.estimate);
    // The request would be sent here; its first token comes, then the rest.
    placed.record_first_token();
    placed.record_generated_tokens(200);
    Ok(())
}
