//! Writing lines from a thread of its own, out of a bounded queue.

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

/// Lines that may wait. Above [`FOR_ALL`] of them only warnings and errors are
/// taken, so that a flood of the usual does not push out what explains a failure.
const MOST_WAITING: usize = 2_048;
const FOR_ALL: usize = 1_536;
/// Lines are written together at most this often: a write costs a wake-up.
const GATHER: Duration = Duration::from_millis(25);
/// The writer needs little.
const STACK_LEN: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Waiting {
    lines: VecDeque<String>,
    left_out: u64,
    is_ending: bool,
    has_ended: bool,
}

/// The queue between those who log and the one thread that writes.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Queue {
    /// Takes a line, or counts it as left out.
    pub fn push(&self, level: Level, line: String) {
        let mut waiting = self.waiting.lock();
        let most = if level <= Level::Warn { MOST_WAITING } else { FOR_ALL };
        if waiting.lines.len() >= most {
            waiting.left_out += 1;
            return;
        }
        waiting.lines.push_back(line);
        self.changed.notify_one();
    }

    /// Lines that were left out and not yet told of.
    pub fn left_out(&self) -> u64 {
        self.waiting.lock().left_out
    }

    /// Writes lines until [`Self::shut_down`] is called and none is left.
    pub fn write_all(&self, out: &mut dyn Write) {
        loop {
            let (text, is_ending) = self.next_batch();
            let is_stuck = out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err();
            if is_stuck || (is_ending && text.is_empty()) {
                self.waiting.lock().has_ended = true;
                self.changed.notify_all();
                return;
            }
            if !is_ending {
                thread::sleep(GATHER);
            }
        }
    }

    fn next_batch(&self) -> (String, bool) {
        let mut waiting = self.waiting.lock();
        while waiting.lines.is_empty() && !waiting.is_ending {
            self.changed.wait(&mut waiting);
        }
        let mut text = String::new();
        for line in waiting.lines.drain(..) {
            text.push_str(&line);
            text.push('\n');
        }
        if waiting.left_out > 0 {
            let left_out = std::mem::take(&mut waiting.left_out);
            text.push_str(&format!("{{\"event\":\"W000\",\"left_out\":{left_out}}}\n"));
        }
        (text, waiting.is_ending)
    }

    /// Lets the writer finish, for a while.
    pub fn shut_down(&self, within: Duration) {
        let mut waiting = self.waiting.lock();
        waiting.is_ending = true;
        self.changed.notify_all();
        if !waiting.has_ended {
            self.changed.wait_for(&mut waiting, within);
        }
    }
}

struct ToQueue {
    queue: Arc<Queue>,
    node: String,
    clock: SystemClock,
}

impl Log for ToQueue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = lines::json(self.clock.wall().0, &self.node, record);
        self.queue.push(record.level(), line);
    }

    fn flush(&self) {}
}

/// Sends all events as JSON lines to standard output.
///
/// # Errors
///
/// If logging was set up before in this process, or no thread can be had.
pub fn init(level: LevelFilter, node: &str) -> io::Result<Arc<Queue>> {
    let queue = Arc::new(Queue::default());
    let to_queue =
        ToQueue { queue: Arc::clone(&queue), node: node.to_owned(), clock: SystemClock::default() };
    let boxed: Box<dyn Log> = Box::new(to_queue);
    Dispatch::new().level(level).chain(boxed).apply().map_err(io::Error::other)?;
    let for_writer = Arc::clone(&queue);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK_LEN)
        .spawn(move || for_writer.write_all(&mut io::stdout()))?;
    Ok(queue)
}
