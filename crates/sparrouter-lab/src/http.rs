//! As much HTTP/1.1 as the stand-ins and clients speak: heads with a few fields, bodies with a length.
use crate::arrival;
use bytes::{Buf, BytesMut};
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What was read: a request or a reply.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or version and status.
    pub start_line: (String, String),
    /// `X-Request-Id`.
    pub id: Option<u64>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<u64>,
    /// `X-Not-Run: 1`: rejected before any of it ran.
    pub not_run: bool,
    /// `Retry-After`, in seconds.
    pub retry_after_s: Option<f64>,
    /// `X-Deadline-Ms`: how long the client waits.
    pub deadline_ms: Option<u64>,
    /// `Connection: close`.
    pub close: bool,
    /// The body.
    pub body: Vec<u8>,
    /// When its last byte arrived, where the system stamps what arrives.
    pub arrived_at: Option<Instant>,
}

impl Message {
    /// Status of a reply; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.start_line.1.parse().unwrap_or(0)
    }
    /// Last part of the path.
    pub fn key(&self) -> u64 {
        let last = self.start_line.1.rsplit('/').next().unwrap_or_default();
        u64::from_str_radix(last, 16).unwrap_or(0)
    }
    /// A request that changes a value.
    pub fn writes(&self) -> bool {
        self.start_line.0 == "PUT"
    }
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

/// A whole message at the front of the buffer, taken out of it. Err where it can't be one.
///
/// # Errors
///
/// Why it can't be a message.
pub fn parse(buffer: &mut BytesMut) -> Result<Option<Message>, &'static str> {
    let Some(end) = buffer
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
    else {
        return if buffer.len() > 16 << 10 {
            Err("a head without end")
        } else {
            Ok(None)
        };
    };
    let head = std::str::from_utf8(&buffer[..end]).map_err(|_| "a head that is no text")?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let first = (
        words.next().unwrap_or_default(),
        words.next().ok_or("a first line of one word")?,
    );
    let mut m = Message {
        start_line: (first.0.into(), first.1.into()),
        ..Message::default()
    };
    let mut length = 0;
    for (name, value) in lines.filter_map(|l| l.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().map_err(|_| "a length that is no number")?;
        } else if name.eq_ignore_ascii_case("x-request-id") {
            m.id = hex(value);
        } else if name.eq_ignore_ascii_case("idempotency-key") {
            m.idempotency_key = hex(value);
        } else if name.eq_ignore_ascii_case("x-not-run") {
            m.not_run = value == "1";
        } else if name.eq_ignore_ascii_case("retry-after") {
            m.retry_after_s = value.parse().ok();
        } else if name.eq_ignore_ascii_case("x-deadline-ms") {
            m.deadline_ms = value.parse().ok();
        } else if name.eq_ignore_ascii_case("connection") {
            m.close = value.eq_ignore_ascii_case("close");
        }
    }
    if buffer.len() < end + length {
        return Ok(None);
    }
    m.body = buffer[end..end + length].to_vec();
    buffer.advance(end + length);
    Ok(Some(m))
}

/// How reading ended without a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Closed between messages.
    Closed,
    /// Reset between messages: what was sent last was never read.
    Reset,
    /// Closed or reset within one.
    Broken,
    /// It is no message: why.
    Bad(&'static str),
}

/// The next whole message, with what was read behind it left in the buffer. `begun` is called once its
/// first byte is there, with the moment at which that arrived where the system stamps it.
///
/// # Errors
///
/// How reading ended without a message.
pub async fn read(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    mut begun: impl FnMut(Option<Instant>),
) -> Result<Message, ReadError> {
    if !buffer.is_empty() {
        begun(None);
    }
    let mut arrived_at = None;
    loop {
        if let Some(message) = parse(buffer).map_err(ReadError::Bad)? {
            return Ok(Message {
                arrived_at,
                ..message
            });
        }
        let fresh = buffer.is_empty();
        match arrival::read(stream, buffer).await {
            Ok(chunk) if chunk.length > 0 => {
                arrived_at = chunk.arrived_at;
                if fresh {
                    begun(arrived_at);
                }
            }
            Ok(_) if fresh => return Err(ReadError::Closed),
            _ => {
                return Err(if fresh {
                    ReadError::Reset
                } else {
                    ReadError::Broken
                });
            }
        }
    }
}

/// Writes all of the text; false where the connection broke.
pub async fn write(stream: &mut TcpStream, text: &[u8]) -> bool {
    stream.write_all(text).await.is_ok()
}

/// A reply with a body; `more` are whole field lines.
pub fn reply(status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

/// What a connection holds at this moment, past what the runtime has been told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// Nothing has arrived.
    Nothing,
    /// Bytes that were not read.
    Bytes,
    /// It was closed or reset.
    Ended,
}

/// Looks at what a connection holds without taking it.
pub fn probe(stream: &TcpStream) -> PeekResult {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    match socket2::SockRef::from(stream).peek(&mut byte) {
        Ok(0) => PeekResult::Ended,
        Ok(_) => PeekResult::Bytes,
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => PeekResult::Nothing,
        Err(_) => PeekResult::Ended,
    }
}

/// Closed like this a connection is reset: the other side learns that it broke, as when a process dies.
pub fn reset(stream: TcpStream) {
    if let Ok(stream) = stream.into_std() {
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_linger(Some(std::time::Duration::ZERO));
    }
}
