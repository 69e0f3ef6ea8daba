//! The log: a log_buffer of lines in memory, written out when something goes wrong, and little else.
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::panic;
use std::sync::{Arc, Mutex, MutexGuard};

/// Lines that are kept, and the longest of them, in bytes: 60 KiB a process.
pub const LINES: usize = 256;
pub const LONGEST: usize = 240;
/// Written out at most so often, so that trouble without end does not fill a disk.
pub const MOST_DUMPS: u32 = 8;

type Sink = Box<dyn Write + Send>;

struct Kept {
    lines: VecDeque<Vec<u8>>,
    open: Vec<u8>,
    dumps: u32,
    sink: Sink,
    /// Breaches are gathered here instead of written out, where stories are told.
    gathered: Option<Vec<String>>,
}

/// A handle on the log_buffer of this process.
#[derive(Clone)]
pub struct LogBuffer(Arc<Mutex<Kept>>);

impl Default for LogBuffer {
    fn default() -> LogBuffer {
        LogBuffer::to(io::stderr())
    }
}

impl LogBuffer {
    /// A log_buffer that is written out there; connected to no logger.
    pub fn to(sink: impl Write + Send + 'static) -> LogBuffer {
        let kept = Kept {
            lines: VecDeque::new(),
            open: Vec::new(),
            dumps: 0,
            sink: Box::new(sink),
            gathered: None,
        };
        LogBuffer(Arc::new(Mutex::new(kept)))
    }

    /// Makes `log`'s macros write into a log_buffer. The second call of a process gets a log_buffer of its own, unconnected.
    pub fn install(level: LevelFilter) -> LogBuffer {
        let log_buffer = LogBuffer::default();
        let config = ConfigBuilder::new()
            .set_time_level(LevelFilter::Error)
            .build();
        let _ = WriteLogger::init(level, config, log_buffer.clone());
        log_buffer
    }

    /// From now on a panic of any thread writes the log_buffer out, before it ends the process or is caught.
    pub fn heed_panics(&self) {
        let (log_buffer, before) = (self.clone(), panic::take_hook());
        panic::set_hook(Box::new(move |info| {
            log_buffer.dump(&format!("panic: {info}"));
            before(info);
        }));
    }

    /// A log_buffer that writes nothing out: `breaches` tells what would have been.
    pub fn gathering() -> LogBuffer {
        let log_buffer = LogBuffer::to(io::sink());
        log_buffer.kept().gathered = Some(Vec::new());
        log_buffer
    }

    pub fn breaches(&self) -> Vec<String> {
        self.kept().gathered.clone().unwrap_or_default()
    }

    /// Something that must not happen: the line and what led there go to standard error.
    pub fn breach(&self, what: &str) {
        log::error!("{what}");
        self.dump(what);
    }

    /// Writes out what is kept, and starts anew. Beyond a number of times it only starts anew.
    pub fn dump(&self, why: &str) {
        let mut kept = self.kept();
        if let Some(gathered) = &mut kept.gathered {
            return gathered.push(why.to_owned());
        }
        let lines = std::mem::take(&mut kept.lines);
        if kept.dumps >= MOST_DUMPS {
            return;
        }
        kept.dumps += 1;
        let last = if kept.dumps == MOST_DUMPS {
            " (no more will be written)"
        } else {
            ""
        };
        let mut out =
            format!("sparrouter: {why}; the last {} lines{last}:\n", lines.len()).into_bytes();
        for line in &lines {
            out.extend_from_slice(line);
            out.push(b'\n');
        }
        // Nowhere to write to is no reason to stop serving.
        let _ = kept.sink.write_all(&out).and_then(|()| kept.sink.flush());
    }

    /// A thread that panicked with the log_buffer in its hands left whole lines at worst one short: the log goes on.
    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut kept = self.kept();
        for &byte in bytes {
            if byte == b'\n' {
                let line = std::mem::take(&mut kept.open);
                if kept.lines.len() == LINES {
                    kept.lines.pop_front();
                }
                kept.lines.push_back(line);
            } else if kept.open.len() < LONGEST {
                kept.open.push(byte);
            }
        }
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
