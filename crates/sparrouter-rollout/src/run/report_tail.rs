//! Reads the newest report at the end of a node's report file.
use crate::report::Report;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::PathBuf;

/// Maximum length of a line in bytes; longer lines are skipped.
const MAX_LINE_LENGTH: usize = 1 << 20;

/// Read position in a growing report file. A file that has been truncated or replaced by a shorter one is read from its
/// start.
pub(super) struct ReportTail {
    path: PathBuf,
    /// Number of bytes read so far.
    offset: u64,
    /// Content of the incomplete last line.
    incomplete: Vec<u8>,
}

impl ReportTail {
    /// Starts at the beginning of a file, which need not exist yet.
    pub fn new(path: PathBuf) -> ReportTail {
        ReportTail {
            path,
            offset: 0,
            incomplete: Vec::new(),
        }
    }

    /// Returns the newest report appended since the last call.
    pub fn newest(&mut self) -> Option<Report> {
        let mut file = File::open(&self.path).ok()?;
        let length = file.metadata().ok()?.len();
        if length < self.offset {
            self.skip_to(0);
        }
        // Only the newest report is needed, so older content is skipped.
        if length - self.offset > MAX_LINE_LENGTH as u64 {
            self.skip_to(length - MAX_LINE_LENGTH as u64);
        }
        file.seek(SeekFrom::Start(self.offset)).ok()?;
        let read = file
            .take(MAX_LINE_LENGTH as u64)
            .read_to_end(&mut self.incomplete)
            .ok()?;
        self.offset += read as u64;
        let end = self.incomplete.iter().rposition(|byte| *byte == b'\n')?;
        let complete: Vec<u8> = self.incomplete.drain(..=end).collect();
        if self.incomplete.len() > MAX_LINE_LENGTH {
            self.incomplete.clear();
        }
        complete
            .rsplit(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .find_map(|line| serde_json::from_slice(line).ok())
    }

    fn skip_to(&mut self, offset: u64) {
        self.offset = offset;
        self.incomplete.clear();
    }
}
