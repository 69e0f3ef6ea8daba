//! Splits a server-sent event stream into events and records the id of the last event, after which a stream can be
//! resumed. No I/O.
use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes received of the incomplete event.
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds a chunk of the stream and returns the events that it completes, unchanged. `None` if an event exceeds
    /// [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(chunk);
        let Some(end) = end_of_last_event(&self.partial, search_start) else {
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

    /// Takes the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the incomplete event of a broken stream. The stream that resumes it starts with a complete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event that has an id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Offset just after the last separator between events that begins at or after offset `from`; `None` if there is none.
fn end_of_last_event(text: &[u8], from: usize) -> Option<usize> {
    let end_of_last = |separator: &[u8]| {
        text[from..]
            .windows(separator.len())
            .rposition(|window| window == separator)
            .map(|offset| from + offset + separator.len())
    };
    end_of_last(b"\n\n").max(end_of_last(b"\r\n\r\n"))
}
