//! The log: a ring of lines in memory, written out when something goes wrong, and little else.
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// Lines that are kept, and the longest of them, in bytes.
const LINES: usize = 256;
const LONGEST: usize = 240;
/// Written out at most so often, so that trouble without end does not fill a disk.
const MOST_DUMPS: u32 = 8;

#[derive(Default)]
struct Kept {
    lines: VecDeque<Vec<u8>>,
    open: Vec<u8>,
    dumps: u32,
    /// Breaches are gathered here instead of written out, where stories are told.
    gathered: Option<Vec<String>>,
}

/// A handle on the ring of this process.
#[derive(Clone, Default)]
pub struct Ring(Arc<Mutex<Kept>>);

impl Ring {
    /// Makes `log`'s macros write into a ring. The second call of a process gets a ring of its own, unconnected.
    pub fn install(level: LevelFilter) -> Ring {
        let ring = Ring::default();
        let config = ConfigBuilder::new().set_time_level(LevelFilter::Error).build();
        let _ = WriteLogger::init(level, config, ring.clone());
        ring
    }

    /// A ring that writes nothing out: `breaches` tells what would have been.
    pub fn gathering() -> Ring {
        Ring(Arc::new(Mutex::new(Kept { gathered: Some(Vec::new()), ..Kept::default() })))
    }

    pub fn breaches(&self) -> Vec<String> {
        self.0.lock().ok().and_then(|kept| kept.gathered.clone()).unwrap_or_default()
    }

    /// Something that must not happen: the line and what led there go to standard error.
    pub fn breach(&self, what: &str) {
        log::error!("{what}");
        self.dump(what);
    }

    /// Writes out what is kept, and starts anew.
    pub fn dump(&self, why: &str) {
        let Ok(mut kept) = self.0.lock() else { return };
        if let Some(gathered) = &mut kept.gathered {
            return gathered.push(why.to_owned());
        }
        if kept.dumps >= MOST_DUMPS {
            kept.lines.clear();
            return;
        }
        kept.dumps += 1;
        let mut out = io::stderr().lock();
        // Nowhere to write to is no reason to stop serving.
        let _ = writeln!(out, "orchard: {why}; the last {} lines:", kept.lines.len());
        for line in kept.lines.drain(..) {
            let _ = out.write_all(&line).and_then(|()| out.write_all(b"\n"));
        }
    }
}

impl Write for Ring {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Ok(mut kept) = self.0.lock() else { return Ok(bytes.len()) };
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
