//! Writes log lines from a bounded queue in a thread of its own.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fern::Dispatch;
use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use parking_lot::Condvar;
use parking_lot::Mutex;
use workshold_protocol::Clock;
use workshold_protocol::clock::SystemClock;

use crate::lines;

/// Maximum number of queued lines. Above [`MAX_ROUTINE_LINES`] only warnings and errors are
/// accepted, so that a flood of routine events doesn't displace those that explain a failure.
const MAX_QUEUED_LINES: usize = 2_048;
/// Number of queued lines up to which every level is accepted.
const MAX_ROUTINE_LINES: usize = 1_536;
/// Pause between two writes. Lines that arrive meanwhile are written in one batch, since each write
/// costs a wake-up of the thread.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Stack size of the writer thread, in bytes: less than the default, since it needs little.
const WRITER_STACK_LEN: usize = 64 * 1024;

#[derive(Debug, Default)]
struct QueueState {
    lines: VecDeque<String>,
    /// Lines dropped because the queue was full, since the last write.
    dropped: u64,
    /// The process is stopping: the writer writes what is queued and ends.
    is_ending: bool,
    /// The writer has ended.
    has_ended: bool,
}

/// The queue between the threads that log and the one thread that writes.
#[derive(Debug, Default)]
pub struct LogQueue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl LogQueue {
    /// Queues a line; if the queue is too full for its level, drops and counts it. Never blocks on
    /// the writer.
    pub fn push(&self, level: Level, line: String) {
        let mut state = self.state.lock();
        let limit = if level <= Level::Warn { MAX_QUEUED_LINES } else { MAX_ROUTINE_LINES };
        if state.lines.len() >= limit {
            state.dropped += 1;
            return;
        }
        state.lines.push_back(line);
        self.changed.notify_one();
    }

    /// Returns the number of dropped lines that the log doesn't report yet.
    pub fn dropped(&self) -> u64 {
        self.state.lock().dropped
    }

    /// Writes lines to `out` until [`Self::shut_down`] is called and the queue is empty, or until a
    /// write fails. The writer thread runs this.
    pub fn run_writer(&self, out: &mut dyn Write) {
        loop {
            let (text, is_ending) = self.next_batch();
            let has_failed = out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err();
            if has_failed || (is_ending && text.is_empty()) {
                self.state.lock().has_ended = true;
                self.changed.notify_all();
                return;
            }
            if !is_ending {
                thread::sleep(WRITE_INTERVAL);
            }
        }
    }

    /// Waits for lines and returns all of them as one text, and whether the writer should end. If
    /// lines were dropped, the last line reports how many.
    fn next_batch(&self) -> (String, bool) {
        let mut state = self.state.lock();
        while state.lines.is_empty() && !state.is_ending {
            self.changed.wait(&mut state);
        }
        let mut text = String::new();
        for line in state.lines.drain(..) {
            text.push_str(&line);
            text.push('\n');
        }
        if state.dropped > 0 {
            let left_out = std::mem::take(&mut state.dropped);
            text.push_str(&format!("{{\"event\":\"W000\",\"left_out\":{left_out}}}\n"));
        }
        (text, state.is_ending)
    }

    /// Tells the writer to write what is queued and end, and waits for that up to `within`.
    pub fn shut_down(&self, within: Duration) {
        let mut state = self.state.lock();
        state.is_ending = true;
        self.changed.notify_all();
        if !state.has_ended {
            self.changed.wait_for(&mut state, within);
        }
    }
}

/// The logger: formats each record as a JSON line and queues it.
struct QueueLogger {
    queue: Arc<LogQueue>,
    node: String,
    clock: SystemClock,
}

impl Log for QueueLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = lines::json(self.clock.wall().0, &self.node, record);
        self.queue.push(record.level(), line);
    }

    fn flush(&self) {}
}

/// Sets up logging for this process: events up to `level` go to standard output as JSON lines.
///
/// # Errors
///
/// If a logger is already set in this process, or the writer thread can't be started.
pub fn init(level: LevelFilter, node: &str) -> io::Result<Arc<LogQueue>> {
    let queue = Arc::new(LogQueue::default());
    let logger = QueueLogger {
        queue: Arc::clone(&queue),
        node: node.to_owned(),
        clock: SystemClock::default(),
    };
    let boxed: Box<dyn Log> = Box::new(logger);
    Dispatch::new().level(level).chain(boxed).apply().map_err(io::Error::other)?;
    let writer_queue = Arc::clone(&queue);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK_LEN)
        .spawn(move || writer_queue.run_writer(&mut io::stdout()))?;
    Ok(queue)
}
