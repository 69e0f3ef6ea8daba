//! Where the events of a stream end, and the id of the last one, after which a resumed stream continues. No I/O.
use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The event that is not complete yet.
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds a chunk of the stream; returns the events that are complete by it, unchanged. `None` if an event is too long.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(chunk);
        let Some(end) = last_end(&self.partial, searched) else {
            return (self.partial.len() <= MAX_EVENT_BYTES).then(Bytes::new);
        };
        let complete = self.partial.split_to(end).freeze();
        self.record_last_id(&complete);
        Some(complete)
    }

    fn record_last_id(&mut self, events: &[u8]) {
        for line in events.rsplit(|&b| b == b'\n') {
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

    /// What follows the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the incomplete event of a stream that broke: the stream that resumes it begins with a complete one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The offset behind the last empty line, searched from offset `from` on.
fn last_end(text: &[u8], from: usize) -> Option<usize> {
    let end = |of: &[u8]| {
        text[from..]
            .windows(of.len())
            .rposition(|w| w == of)
            .map(|offset| from + offset + of.len())
    };
    end(b"\n\n").max(end(b"\r\n\r\n"))
}
