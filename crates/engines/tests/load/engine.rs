//! Simulated engine that works in forward passes.
//!
//! A pass prefills whatever is waiting and emits one event for each answer being decoded. A prompt
//! split over several engines has its first event once the last share is prefilled, and is decoded
//! by the first engine.

use std::collections::VecDeque;

use mangofront_routes::EngineProfile;

/// Index of a request.
pub type RequestId = usize;

/// A share to prefill, or an answer to decode.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub request: RequestId,
    pub prefill_ms: f64,
    /// Whether the answer is decoded here.
    pub answers: bool,
    pub context_tokens: u64,
}

#[derive(Debug, Default)]
pub struct Engine {
    waiting: VecDeque<Job>,
    prefilling: Vec<Job>,
    decoding: Vec<Job>,
    pub is_in_pass: bool,
}

/// Result of a pass.
#[derive(Debug, Default)]
pub struct PassResult {
    /// Shares that were prefilled.
    pub prefilled: Vec<Job>,
    /// Requests that emitted an event.
    pub decoded: Vec<RequestId>,
}

impl Engine {
    /// Appends a job to the queue; shares for other engines go to its front.
    pub fn submit(&mut self, job: Job) {
        if job.answers {
            self.waiting.push_back(job);
        } else {
            self.waiting.push_front(job);
        }
    }

    /// Begins a pass; returns its duration in milliseconds, or `None` if there is no work.
    pub fn begin(&mut self, profile: &EngineProfile) -> Option<f64> {
        let slots = profile.slots as usize;
        while self.decoding.len() + self.prefilling.len() < slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.prefilling.push(job);
        }
        if self.prefilling.is_empty() && self.decoding.is_empty() {
            return None;
        }
        let context: u64 = self.decoding.iter().map(|job| job.context_tokens).sum();
        let prefill_ms: f64 = self.prefilling.iter().map(|job| job.prefill_ms).sum();
        self.is_in_pass = true;
        Some(profile.pass_ms(self.decoding.len() as u32, context) + prefill_ms)
    }

    /// Ends the pass.
    pub fn end(&mut self) -> PassResult {
        self.is_in_pass = false;
        PassResult {
            prefilled: std::mem::take(&mut self.prefilling),
            decoded: self.decoding.iter().map(|job| job.request).collect(),
        }
    }

    /// Decodes an answer from the next pass on.
    pub fn start_decode(&mut self, job: Job) {
        self.decoding.push(job);
    }

    /// Ends an answer and drops its queued shares.
    pub fn finish(&mut self, request: RequestId) {
        self.waiting.retain(|job| job.request != request);
        self.decoding.retain(|job| job.request != request);
    }
}
