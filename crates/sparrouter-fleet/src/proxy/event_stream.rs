//! Where the events of a stream end, and the id of the last: what a resumed stream goes on from. No I/O.
use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole.
const LONGEST: usize = 256 << 10;

/// Lets whole events through.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds what came; gives back the whole events in it, unchanged. None where one is longer than can be held.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        let seen = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(piece);
        let Some(end) = last_end(&self.partial, seen) else {
            return (self.partial.len() <= LONGEST).then(Bytes::new);
        };
        let whole = self.partial.split_to(end).freeze();
        self.note(&whole);
        Some(whole)
    }

    fn note(&mut self, whole: &[u8]) {
        for line in whole.rsplit(|&b| b == b'\n') {
            let id = line.strip_prefix(b"id:").map(|id| id.trim_ascii());
            if let Some(id) = id
                .and_then(|id| std::str::from_utf8(id).ok())
                .filter(|id| !id.is_empty())
            {
                self.last_id = Some(id.to_owned());
                return;
            }
        }
    }

    /// What came behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// A stream broke: its half event is not passed on, since the next one begins with a whole one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Past the last empty line, looking from `from`.
fn last_end(text: &[u8], from: usize) -> Option<usize> {
    let end = |of: &[u8]| {
        text[from..]
            .windows(of.len())
            .rposition(|w| w == of)
            .map(|at| from + at + of.len())
    };
    end(b"\n\n").max(end(b"\r\n\r\n"))
}
