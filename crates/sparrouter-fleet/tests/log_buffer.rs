//! The log buffer: it is bounded, and is written out when a violation or a panic occurs.
use sparrouter_fleet::platform::background_writer::BackgroundWriter;
use sparrouter_fleet::platform::log_buffer::{LogBuffer, MAX_DUMPS, MAX_LINE_BYTES, MAX_LINES};
use std::io::Write;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Sink {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("not poisoned")).into_owned()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log_buffer() -> (LogBuffer, Sink) {
    let sink = Sink::default();
    (LogBuffer::to(sink.clone()), sink)
}

#[test]
fn given_log_lines_when_no_violation_is_reported_then_nothing_is_written() {
    let (mut log_buffer, sink) = log_buffer();
    writeln!(log_buffer, "calm").expect("never fails");
    assert_eq!(sink.text(), "");
}

#[test]
fn given_log_lines_when_a_violation_is_reported_then_violation_and_lines_are_written_once() {
    let (mut log_buffer, sink) = log_buffer();
    writeln!(log_buffer, "first").expect("never fails");
    write!(log_buffer, "sec").expect("never fails");
    writeln!(log_buffer, "ond").expect("never fails");
    log_buffer.report_violation("the quorum is lost");
    assert_eq!(
        sink.text(),
        "sparrouter: the quorum is lost; the last 2 lines:\nfirst\nsecond\n"
    );
    log_buffer.dump("again");
    assert!(
        sink.text()
            .ends_with("sparrouter: again; the last 0 lines:\n")
    );
}

#[test]
fn given_more_lines_than_the_buffer_holds_when_dumped_then_the_newest_lines_are_written() {
    let (mut log_buffer, sink) = log_buffer();
    for n in 0..MAX_LINES + 10 {
        writeln!(log_buffer, "line {n}").expect("never fails");
    }
    log_buffer.dump("why");
    let text = sink.text();
    assert_eq!(text.lines().count(), MAX_LINES + 1);
    assert_eq!(text.lines().nth(1), Some("line 10"));
    assert_eq!(
        text.lines().last(),
        Some(format!("line {}", MAX_LINES + 9).as_str())
    );
}

#[test]
fn given_a_line_above_the_maximum_length_when_dumped_then_it_is_truncated() {
    let (mut log_buffer, sink) = log_buffer();
    log_buffer
        .write_all(&vec![b'x'; 1 << 20])
        .expect("never fails");
    log_buffer.write_all(b"\nnext\n").expect("never fails");
    log_buffer.dump("why");
    let text = sink.text();
    assert_eq!(text.lines().nth(1).map(str::len), Some(MAX_LINE_BYTES));
    assert_eq!(text.lines().nth(2), Some("next"));
}

#[test]
fn given_a_thousand_violations_when_reported_then_dumps_are_limited_and_the_last_one_reports_the_limit()
 {
    let (log_buffer, sink) = log_buffer();
    for n in 0..1_000 {
        log_buffer.report_violation(&format!("violation {n}"));
    }
    let text = sink.text();
    assert_eq!(
        text.lines()
            .filter(|l| l.starts_with("sparrouter: "))
            .count(),
        MAX_DUMPS as usize
    );
    assert!(
        text.lines()
            .last()
            .is_some_and(|l| l.contains("no more will be written"))
    );
}

#[test]
fn given_an_output_whose_writes_fail_when_dumped_then_the_process_continues() {
    struct Full;
    impl Write for Full {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            Err(std::io::ErrorKind::StorageFull.into())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Err(std::io::ErrorKind::StorageFull.into())
        }
    }
    let log_buffer = LogBuffer::to(Full);
    log_buffer.report_violation("why");
}

#[test]
fn given_a_panic_when_the_panic_hook_runs_then_message_and_lines_are_written() {
    let (mut log_buffer, sink) = log_buffer();
    writeln!(log_buffer, "what led there").expect("never fails");
    // The panic hook is global to the process; the other tests of this file do not panic.
    log_buffer.dump_on_panic();
    let caught = std::thread::spawn(|| panic!("out of plums")).join();
    assert!(caught.is_err());
    let text = sink.text();
    assert!(text.starts_with("sparrouter: panic: "), "{text}");
    assert!(
        text.contains("out of plums") && text.contains("what led there"),
        "{text}"
    );
}

/// An output whose writes block until it is released, like a full pipe without a reader.
struct StalledOutput(std::sync::mpsc::Receiver<()>, Sink);

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the sender was dropped, which releases all writes.
        let _ = self.0.recv();
        self.1.write(bytes)
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a dump that blocks the process forever: this happened at the second dump when standard error was a full
/// pipe.
#[test]
fn given_an_output_whose_writes_block_when_dumped_then_the_process_continues_and_no_dump_is_lost() {
    let (release, stalled) = std::sync::mpsc::channel();
    let sink = Sink::default();
    let output = BackgroundWriter::new(StalledOutput(stalled, sink.clone()));
    let log_buffer = LogBuffer::to(output);
    let started = std::time::Instant::now();
    for _ in 0..3 {
        log_buffer.report_violation("stalled");
    }
    assert!(started.elapsed() < std::time::Duration::from_secs(5));
    assert_eq!(sink.text(), "");
    drop(release);
    // A completed flush implies that all earlier lines were written.
    log_buffer.report_violation("released");
    assert_eq!(sink.text().matches("stalled").count(), 3);
    assert!(sink.text().contains("released"));
}
