//! A stalled reader of the log or a flood of lines blocks no logging thread and drops no warnings.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use workshold_telemetry::writer::Queue;

/// An output that blocks in its first write until a message arrives.
struct Stalled {
    go_on: Option<mpsc::Receiver<()>>,
    written: Arc<parking_lot::Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some(go_on) = self.go_on.take() {
            let _ = go_on.recv();
        }
        self.written.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_holds_nobody_up_and_failures_are_kept() {
    let queue = Arc::new(Queue::default());
    let (go_on, rx) = mpsc::channel();
    let written = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let mut out = Stalled { go_on: Some(rx), written: Arc::clone(&written) };
    let for_writer = Arc::clone(&queue);
    let writer = thread::spawn(move || for_writer.write_all(&mut out));

    let began = Instant::now();
    for i in 0..20_000 {
        queue.push(Level::Info, format!("usual {i}"));
    }
    queue.push(Level::Warn, "a request failed".to_owned());
    assert!(began.elapsed() < Duration::from_secs(2), "nobody waits for the reader");
    assert!(queue.left_out() > 0);

    go_on.send(()).unwrap();
    queue.shut_down(Duration::from_secs(5));
    writer.join().unwrap();
    let text = String::from_utf8(written.lock().clone()).unwrap();
    assert!(text.contains("a request failed"));
    assert!(text.contains("\"left_out\":"), "what is missing is told");
}
