//! Lines on their way to standard output, in a bounded queue.
//!
//! A decision must never wait for a reader of the log. Lines go into a queue that
//! a thread of its own empties; a line that finds the queue full is dropped and
//! counted, and so is one of a kind that has used up its budget of lines a
//! second. What was dropped is told in a line of its own.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};

/// Lines that wait for their reader: about a second of a busy daemon's.
const QUEUE_LINES: usize = 1_024;

/// Lines of one kind that are written in a second; a kind is the text of a line
/// without its values.
///
/// A daemon ends up to some two hundred requests a second.
const LINES_PER_S: u32 = 250;

/// Kinds that are counted apart; further ones share one budget.
const KINDS_LIMIT: usize = 256;

/// Time between two tellings of what was dropped.
const TELL_PERIOD: Duration = Duration::from_secs(1);

/// Time for which lines are gathered into one write: a write for each line would
/// cost a busy daemon as much as passing on an event.
const BATCH_TIME: Duration = Duration::from_millis(25);

/// Time that the end of the process leaves the queue to be emptied.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines that were dropped in this process, ever.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped in this process, because the queue was full or their
/// kind had used up its budget.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Puts lines into the queue.
#[derive(Debug)]
pub(super) struct QueueAppend {
    layout: Box<dyn Layout>,
    queue: SyncSender<Message>,
    budgets: Mutex<Budgets>,
    dropped: Arc<AtomicU64>,
}

impl QueueAppend {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub(super) fn start(
        layout: Box<dyn Layout>,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let told = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(output, &lines, &told))?;
        Ok(Self {
            layout,
            queue,
            budgets: Mutex::default(),
            dropped,
        })
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

impl Append for QueueAppend {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        // Faults that need a person are never held to a budget.
        let has_budget =
            record.level() >= Level::Error || budgets.take(&record.payload().to_string());
        drop(budgets);
        if !has_budget {
            self.drop_line();
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.drop_line();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, flushed) = sync_channel(1);
        if self.queue.try_send(Message::Flush(done)).is_ok() {
            // A reader that takes nothing must not hold the process either.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Lines of each kind in the present second.
#[derive(Debug, Default)]
struct Budgets {
    second: Option<Instant>,
    lines: HashMap<String, u32>,
}

impl Budgets {
    /// Takes a line of a kind; `false` when there is none left.
    fn take(&mut self, kind: &str) -> bool {
        let now = Instant::now();
        let is_over = |start| now.saturating_duration_since(start) >= Duration::from_secs(1);
        if self.second.is_none_or(is_over) {
            self.second = Some(now);
            self.lines.clear();
        }
        let is_known = self.lines.contains_key(kind) || self.lines.len() < KINDS_LIMIT;
        let kind = if is_known { kind } else { "" };
        let lines = match self.lines.get_mut(kind) {
            Some(lines) => lines,
            None => self.lines.entry(kind.to_owned()).or_default(),
        };
        *lines += 1;
        *lines <= LINES_PER_S
    }
}

/// Writes lines until the last sender is gone.
///
/// An output may fail for a while: a full disk, or a reader that is slow. Lines that it
/// does not take are dropped and counted.
fn write_all(mut output: impl Write, lines: &Receiver<Message>, dropped: &AtomicU64) {
    let mut told = Instant::now();
    let mut is_torn = false;
    loop {
        let first = match lines.recv_timeout(TELL_PERIOD) {
            Ok(first) => Some(first),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut batch = match is_torn {
            true => vec![b'\n'],
            false => Vec::new(),
        };
        let mut flushed = Vec::new();
        if let Some(Message::Line(_)) = first {
            thread::sleep(BATCH_TIME);
        }
        for message in first.into_iter().chain(lines.try_iter()) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushed.push(done),
            }
        }
        let (written, rest) = batch.split_at(write_some(&mut output, &batch));
        is_torn = written.last().map_or(is_torn, |last| *last != b'\n');
        // A line of which only the end is missing is not lost.
        let lost = rest.iter().skip(1).filter(|byte| **byte == b'\n').count() as u64;
        dropped.fetch_add(lost, Ordering::Relaxed);
        DROPPED.fetch_add(lost, Ordering::Relaxed);
        if told.elapsed() >= TELL_PERIOD && !is_torn {
            told = Instant::now();
            is_torn = tell_dropped(&mut output, dropped);
        }
        for done in flushed {
            // Whoever asked may have given up waiting.
            let _ = done.send(());
        }
    }
}

/// Writes as much as the output takes; the number of bytes that it took.
fn write_some(output: &mut impl Write, bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        match output.write(&bytes[written..]) {
            Ok(0) => break,
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // There is nowhere to say it; what was lost is told once lines are taken again.
            Err(_) => break,
        }
    }
    // Standard output holds back a line that has no end yet.
    let _ = output.flush();
    written
}

/// Tells how many lines were dropped since it was last told; whether the line is torn.
fn tell_dropped(output: &mut impl Write, dropped: &AtomicU64) -> bool {
    let count = dropped.load(Ordering::Relaxed);
    if count == 0 {
        return false;
    }
    let line =
        format!("{{\"level\":\"WARN\",\"message\":\"logs: lines dropped\",\"lines\":{count}}}\n");
    let written = write_some(output, line.as_bytes());
    if written == line.len() {
        dropped.fetch_sub(count, Ordering::Relaxed);
    }
    written > 0 && written < line.len()
}
