//! Both latency histograms can be created and distinguish close times.

use std::time::Duration;

use mangofront_load::times::LatencyHistogram;

#[test]
fn both_histograms_count_and_distinguish_close_times() {
    for mut times in [LatencyHistogram::new(), LatencyHistogram::high_resolution()] {
        times.add(Duration::from_micros(1_000));
        times.add(Duration::from_micros(1_010));
        let quantiles = times.quantiles();
        assert_eq!(quantiles.count, 2);
        assert!(quantiles.p50_ms < quantiles.max_ms, "{quantiles:?}");
        assert!((quantiles.max_ms - 1.01).abs() < 0.002, "{quantiles:?}");
    }
}
