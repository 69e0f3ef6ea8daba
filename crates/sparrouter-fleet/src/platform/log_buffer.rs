//! The log: the newest lines in memory, written to standard error only after a violation or a panic.
use super::background_writer::BackgroundWriter;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::panic;
use std::sync::{Arc, Mutex, MutexGuard};

/// Maximum number of buffered lines.
pub const MAX_LINES: usize = 256;
/// Maximum number of buffered bytes of a line, so that the buffer has at most 60 KiB.
pub const MAX_LINE_BYTES: usize = 240;
/// Maximum number of dumps, so that a recurring fault does not fill a disk.
pub const MAX_DUMPS: u32 = 8;

type Sink = Box<dyn Write + Send>;

struct State {
    lines: VecDeque<Vec<u8>>,
    /// The line that is being formatted.
    unfinished: Vec<u8>,
    dumps: u32,
    sink: Sink,
    /// Collects violations instead of dumping the log if set, for the simulation.
    collected: Option<Vec<String>>,
}

/// A handle on a log. Clones share it.
#[derive(Clone)]
pub struct LogBuffer(Arc<Mutex<State>>);

/// Writes dumps to standard error. A dump waits only briefly for a slow reader.
impl Default for LogBuffer {
    fn default() -> LogBuffer {
        LogBuffer::to(BackgroundWriter::new(io::stderr()))
    }
}

impl LogBuffer {
    /// Creates a log that is dumped to `sink` and is not connected to the `log` macros.
    pub fn to(sink: impl Write + Send + 'static) -> LogBuffer {
        let state = State {
            lines: VecDeque::new(),
            unfinished: Vec::new(),
            dumps: 0,
            sink: Box::new(sink),
            collected: None,
        };
        LogBuffer(Arc::new(Mutex::new(state)))
    }

    /// Creates the log into which the macros of the crate `log` write. A second call in a process returns a log without
    /// input.
    pub fn install(level: LevelFilter) -> LogBuffer {
        let log_buffer = LogBuffer::default();
        let config = ConfigBuilder::new()
            .set_time_level(LevelFilter::Error)
            .build();
        let _ = WriteLogger::init(level, config, log_buffer.clone());
        log_buffer
    }

    /// Installs a panic hook that dumps the log.
    pub fn dump_on_panic(&self) {
        let (log_buffer, before) = (self.clone(), panic::take_hook());
        panic::set_hook(Box::new(move |info| {
            log_buffer.dump(&format!("panic: {info}"));
            before(info);
        }));
    }

    /// Creates a log that is never dumped; [`LogBuffer::violations`] returns the violations that would have caused a
    /// dump.
    pub fn collecting() -> LogBuffer {
        let log_buffer = LogBuffer::to(io::sink());
        log_buffer.state().collected = Some(Vec::new());
        log_buffer
    }

    /// The violations so far, of a log made by [`LogBuffer::collecting`].
    pub fn violations(&self) -> Vec<String> {
        self.state().collected.clone().unwrap_or_default()
    }

    /// Reports a violation of an invariant: logs it and dumps the log.
    pub fn report_violation(&self, violation: &str) {
        log::error!("{violation}");
        self.dump(violation);
    }

    /// Dumps the buffered lines and clears them; after [`MAX_DUMPS`] dumps, only clears them.
    pub fn dump(&self, reason: &str) {
        let mut state = self.state();
        if let Some(collected) = &mut state.collected {
            return collected.push(reason.to_owned());
        }
        let lines = std::mem::take(&mut state.lines);
        if state.dumps >= MAX_DUMPS {
            return;
        }
        state.dumps += 1;
        let last = if state.dumps == MAX_DUMPS {
            " (no more will be written)"
        } else {
            ""
        };
        let mut out = format!(
            "sparrouter: {reason}; the last {} lines{last}:\n",
            lines.len()
        )
        .into_bytes();
        for line in &lines {
            out.extend_from_slice(line);
            out.push(b'\n');
        }
        // A process that cannot write its log continues to serve.
        let _ = state.sink.write_all(&out).and_then(|()| state.sink.flush());
    }

    /// Locks the log, also if it is poisoned: a thread that panicked with the lock lost at most one line.
    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state();
        for &byte in bytes {
            if byte == b'\n' {
                let line = std::mem::take(&mut state.unfinished);
                if state.lines.len() == MAX_LINES {
                    state.lines.pop_front();
                }
                state.lines.push_back(line);
            } else if state.unfinished.len() < MAX_LINE_BYTES {
                state.unfinished.push(byte);
            }
        }
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
