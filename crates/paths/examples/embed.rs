//! Chooses the way of attempts at three upstreams while the paths to them fail.

use std::time::{Duration, Instant};

use mangofront_paths::{KnownUpstream, PathFault, PathOptions, PathTable};

fn main() {
    let start = Instant::now();
    let mut paths = PathTable::new(PathOptions::default());
    // Two attempts found no way to their upstreams, and another process reached both.
    paths.lose(1, PathFault::Silent, start, start);
    paths.lose(2, PathFault::Silent, start, start);
    for upstream in 1..=3 {
        println!("upstream {upstream}: {:?}", paths.route(upstream));
    }
    let later = start + Duration::from_secs(2);
    let known = [1, 2, 3].map(|key| KnownUpstream { key, group: 0 });
    for upstream in paths.due_probes(&known, later) {
        println!("the probe of upstream {upstream} succeeds");
        paths.prove(upstream, later);
    }
    println!("{:?}", paths.summary(later));
}
