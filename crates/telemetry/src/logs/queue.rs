//! Bounded queue of log lines for standard output.
//!
//! Serving a request must never wait for the reader of the log. Lines go into a queue
//! that a separate thread writes out. A line is dropped and counted if the queue is
//! full, or if its kind has exceeded its rate limit. A log line of its own reports the
//! number of dropped lines.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

/// Capacity of the queue: about one second of a busy daemon's log.
const QUEUE_CAPACITY_LINES: usize = 1_024;

/// Rate limit of lines of one kind; a kind is the message of a line without its fields.
///
/// A daemon completes up to about 200 requests a second.
const MAX_LINES_PER_KIND_PER_S: u32 = 250;

/// Number of kinds that have a limit of their own; all others share one.
const MAX_KINDS: usize = 256;

/// Shortest interval between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which lines are collected into one write. A write for each line would cost
/// a busy daemon as much as forwarding a stream event.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit for writing out the queue when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start of the process: the queue was full, their
/// kind exceeded its rate limit, or the output did not accept them.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Log appender that puts lines into the queue.
#[derive(Debug)]
pub(super) struct QueueAppend {
    layout: Box<dyn Layout>,
    queue: SyncSender<Message>,
    rate_limits: Mutex<RateLimits>,
    dropped: Arc<AtomicU64>,
}

impl QueueAppend {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub(super) fn start(
        layout: Box<dyn Layout>,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(output, &lines, &writer_dropped))?;
        Ok(Self {
            layout,
            queue,
            rate_limits: Mutex::default(),
            dropped,
        })
    }

    fn count_dropped_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

impl Append for QueueAppend {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut rate_limits = self
            .rate_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Errors, which need an operator's attention, are never rate limited.
        let is_within_limit =
            record.level() >= Level::Error || rate_limits.admit(&record.payload().to_string());
        drop(rate_limits);
        if !is_within_limit {
            self.count_dropped_line();
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.count_dropped_line();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, flushed) = sync_channel(1);
        if self.queue.try_send(Message::Flush(done)).is_ok() {
            // A stalled reader of the log must not keep the process from exiting.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Number of lines of each kind in the current one-second window.
#[derive(Debug, Default)]
struct RateLimits {
    window_start: Option<Instant>,
    lines: HashMap<String, u32>,
}

impl RateLimits {
    /// Counts a line of `kind`; `false` if that exceeds the limit of the kind.
    fn admit(&mut self, kind: &str) -> bool {
        let now = Instant::now();
        let has_expired = |start| now.saturating_duration_since(start) >= Duration::from_secs(1);
        if self.window_start.is_none_or(has_expired) {
            self.window_start = Some(now);
            self.lines.clear();
        }
        let is_known = self.lines.contains_key(kind) || self.lines.len() < MAX_KINDS;
        let kind = if is_known { kind } else { "" };
        let lines = match self.lines.get_mut(kind) {
            Some(lines) => lines,
            None => self.lines.entry(kind.to_owned()).or_default(),
        };
        *lines += 1;
        *lines <= MAX_LINES_PER_KIND_PER_S
    }
}

/// Writes lines until the last sender has been dropped.
///
/// The output may fail temporarily, for example when a disk is full or a reader is slow.
/// Lines that it does not accept are dropped and counted.
fn write_all(mut output: impl Write, lines: &Receiver<Message>, dropped: &AtomicU64) {
    let mut last_report = Instant::now();
    let mut is_line_incomplete = false;
    loop {
        let first = match lines.recv_timeout(DROP_REPORT_INTERVAL) {
            Ok(first) => Some(first),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut batch = match is_line_incomplete {
            true => vec![b'\n'],
            false => Vec::new(),
        };
        let mut flushed = Vec::new();
        if let Some(Message::Line(_)) = first {
            thread::sleep(BATCH_INTERVAL);
        }
        for message in first.into_iter().chain(lines.try_iter()) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushed.push(done),
            }
        }
        let (written, rest) = batch.split_at(write_accepted(&mut output, &batch));
        is_line_incomplete = written
            .last()
            .map_or(is_line_incomplete, |last| *last != b'\n');
        // A line that lacks only its final newline is not lost, as the next batch starts
        // with a newline.
        let lost = rest.iter().skip(1).filter(|byte| **byte == b'\n').count() as u64;
        dropped.fetch_add(lost, Ordering::Relaxed);
        DROPPED_LINES.fetch_add(lost, Ordering::Relaxed);
        if last_report.elapsed() >= DROP_REPORT_INTERVAL && !is_line_incomplete {
            last_report = Instant::now();
            is_line_incomplete = report_dropped(&mut output, dropped);
        }
        for done in flushed {
            // The caller of `flush` may have timed out.
            let _ = done.send(());
        }
    }
}

/// Writes as much of `bytes` as the output accepts and returns that number of bytes.
fn write_accepted(output: &mut impl Write, bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        match output.write(&bytes[written..]) {
            Ok(0) => break,
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // The error can't be logged here; lost lines are reported once writes succeed
            // again.
            Err(_) => break,
        }
    }
    // Standard output buffers an incomplete line until it is flushed.
    let _ = output.flush();
    written
}

/// Logs how many lines were dropped since the last report; returns whether that line
/// was written only in part.
fn report_dropped(output: &mut impl Write, dropped: &AtomicU64) -> bool {
    let count = dropped.load(Ordering::Relaxed);
    if count == 0 {
        return false;
    }
    let line =
        format!("{{\"level\":\"WARN\",\"message\":\"logs: lines dropped\",\"lines\":{count}}}\n");
    let written = write_accepted(output, line.as_bytes());
    if written == line.len() {
        dropped.fetch_sub(count, Ordering::Relaxed);
    }
    written > 0 && written < line.len()
}
