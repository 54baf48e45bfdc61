//! One engine that works in passes.
//!
//! A pass reads whatever waits for it and has each answer write one event. A prompt
//! that several engines read has its first event once the last part is read, and is
//! written by the first of them.

use std::collections::VecDeque;

use mangofront_routes::EngineProfile;

/// Number of a request.
pub type Id = usize;

/// A part to read, or an answer to write.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub request: Id,
    pub read_ms: f64,
    /// Whether the answer is written here.
    pub answers: bool,
    pub context_tokens: u64,
}

#[derive(Debug, Default)]
pub struct Engine {
    waiting: VecDeque<Job>,
    reading: Vec<Job>,
    writing: Vec<Job>,
    pub is_in_pass: bool,
}

/// What a pass has done.
#[derive(Debug, Default)]
pub struct Pass {
    /// Requests whose part was read.
    pub read: Vec<Job>,
    /// Requests that wrote an event.
    pub wrote: Vec<Id>,
}

impl Engine {
    /// Puts a job behind those that wait; parts for other engines go first.
    pub fn submit(&mut self, job: Job) {
        if job.answers {
            self.waiting.push_back(job);
        } else {
            self.waiting.push_front(job);
        }
    }

    /// Begins a pass; how long it takes in milliseconds, none if there is nothing to do.
    pub fn begin(&mut self, figures: &EngineProfile) -> Option<f64> {
        let slots = figures.slots as usize;
        while self.writing.len() + self.reading.len() < slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.reading.push(job);
        }
        if self.reading.is_empty() && self.writing.is_empty() {
            return None;
        }
        let context: u64 = self.writing.iter().map(|job| job.context_tokens).sum();
        let read_ms: f64 = self.reading.iter().map(|job| job.read_ms).sum();
        self.is_in_pass = true;
        Some(figures.pass_ms(self.writing.len() as u32, context) + read_ms)
    }

    /// Ends the pass.
    pub fn end(&mut self) -> Pass {
        self.is_in_pass = false;
        Pass {
            read: std::mem::take(&mut self.reading),
            wrote: self.writing.iter().map(|job| job.request).collect(),
        }
    }

    /// Has an answer written from the next pass on.
    pub fn write(&mut self, job: Job) {
        self.writing.push(job);
    }

    /// Ends an answer, and drops what waits to be read for it.
    pub fn finish(&mut self, request: Id) {
        self.waiting.retain(|job| job.request != request);
        self.writing.retain(|job| job.request != request);
    }
}
