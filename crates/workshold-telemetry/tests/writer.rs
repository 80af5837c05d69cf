//! A stalled reader of the log, or a flood of lines, blocks no logging thread and displaces no
//! warning.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use workshold_telemetry::writer::LogQueue;

/// An output that blocks in its first write until a message arrives.
struct StalledOutput {
    resume: Option<mpsc::Receiver<()>>,
    written: Arc<parking_lot::Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some(resume) = self.resume.take() {
            let _ = resume.recv();
        }
        self.written.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_blocks_no_logging_thread_and_warnings_are_kept() {
    let queue = Arc::new(LogQueue::default());
    let (resume, rx) = mpsc::channel();
    let written = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let mut out = StalledOutput { resume: Some(rx), written: Arc::clone(&written) };
    let writer_queue = Arc::clone(&queue);
    let writer = thread::spawn(move || writer_queue.run_writer(&mut out));

    let started = Instant::now();
    for i in 0..20_000 {
        queue.push(Level::Info, format!("routine {i}"));
    }
    queue.push(Level::Warn, "a request failed".to_owned());
    assert!(started.elapsed() < Duration::from_secs(2), "logging waited for the reader");
    assert!(queue.dropped() > 0);

    resume.send(()).unwrap();
    queue.shut_down(Duration::from_secs(5));
    writer.join().unwrap();
    let text = String::from_utf8(written.lock().clone()).unwrap();
    assert!(text.contains("a request failed"));
    assert!(text.contains("\"left_out\":"), "the log reports the dropped lines");
}
