//! What the engines and the callers see of a service.

use std::time::Duration;

use mangofront_gateway::RetryLimit;

/// Requests and repeated arrivals of one service, in milliseconds from the start.
#[derive(Debug, Default)]
pub struct Arrivals {
    pub requests_ms: Vec<u64>,
    pub repeats_ms: Vec<u64>,
    pub limit: RetryLimit,
}

/// Counts in one window.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    pub from_s: f64,
    pub repeats: usize,
    /// Requests of this window, of the one before it or of the one half a window earlier.
    pub requests: usize,
    limit: RetryLimit,
}

impl Window {
    /// Repeated arrivals, as a share of those allowed.
    pub fn use_of_limit(&self) -> f64 {
        let allowed = self.limit.ratio * self.requests as f64 + self.limit.slack;
        self.repeats as f64 / allowed
    }
}

impl Arrivals {
    /// The window with the highest use of the limit.
    pub fn worst_window(&mut self) -> Window {
        self.repeats_ms.sort_unstable();
        let windows = self.repeats_ms.iter().map(|from| self.window(*from));
        let order = |a: &Window, b: &Window| a.use_of_limit().total_cmp(&b.use_of_limit());
        windows.max_by(order).unwrap_or_else(|| self.window(0))
    }

    /// The window with the lowest use of the limit among those that begin between two times.
    pub fn least_window(&mut self, from_s: f64, to_s: f64) -> Window {
        self.repeats_ms.sort_unstable();
        let starts = ((from_s * 10.0) as u64..(to_s * 10.0) as u64).map(|tenth| tenth * 100);
        let windows = starts.map(|from| self.window(from));
        let order = |a: &Window, b: &Window| a.use_of_limit().total_cmp(&b.use_of_limit());
        windows.min_by(order).unwrap_or_else(|| self.window(0))
    }

    fn window(&self, from_ms: u64) -> Window {
        let length = to_ms(self.limit.window);
        let requests_from = |from: u64| count(&self.requests_ms, from, from + length);
        let earlier = [0, length / 2, length];
        let requests = earlier.map(|by| requests_from(from_ms.saturating_sub(by)));
        Window {
            from_s: from_ms as f64 / 1_000.0,
            repeats: count(&self.repeats_ms, from_ms, from_ms + length),
            requests: requests.into_iter().max().unwrap_or_default(),
            limit: self.limit,
        }
    }
}

fn to_ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Number of `times`, which are sorted, from `from` to before `to`.
fn count(times: &[u64], from: u64, to: u64) -> usize {
    let before = |limit| times.partition_point(|at| *at < limit);
    before(to) - before(from)
}
