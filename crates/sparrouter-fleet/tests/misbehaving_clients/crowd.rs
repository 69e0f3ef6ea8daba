//! Many clients that send large bodies at the same time, and stay connected.
use bytes::BytesMut;
use sparrouter_fleet_lab::{HOST, MODEL};
use sparrouter_http::head::{RESPONSE_PREFIX, parse_response};
use sparrouter_http::reading;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time after which a client that can't write is left as it is, with its connection open.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest head of a response, in bytes.
const MAX_RESPONSE_HEAD: usize = 64 << 10;
/// Pause after each piece of a body that is sent piece by piece.
const WRITE_INTERVAL: Duration = Duration::from_millis(1);

/// A header field of the smallest size.
pub const EMPTY_FIELD: &str = "a:\r\n";

/// How a client announces its body.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// By `Content-Length`, in bytes.
    Length(usize),
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// How a client sends its body.
#[derive(Clone, Copy)]
pub enum Pace {
    /// In one write.
    Burst,
    /// In pieces of this many bytes, with a pause after each.
    Writes(usize),
}

/// A crowd of clients that send the same request.
pub struct Crowd {
    pub address: SocketAddr,
    pub members: usize,
    /// Method and path.
    pub request: &'static str,
    pub framing: Framing,
    /// Bytes of the body that each client sends.
    pub sent_bytes: usize,
    pub pace: Pace,
    /// Bytes that follow behind the body.
    pub pipelined_bytes: usize,
    /// Whether the bytes that end a chunked body follow.
    pub ends_chunks: bool,
    /// Number of empty header fields in addition to the necessary ones.
    pub empty_fields: usize,
}

impl Crowd {
    /// Sends all requests at the same time. Returns the connections, which stay open, once each client has sent its
    /// bytes, was disconnected, or can't write any more.
    pub async fn send(&self) -> Vec<TcpStream> {
        let mut bytes = self.body();
        bytes.resize(bytes.len() + self.pipelined_bytes, b'x');
        let body: Rc<[u8]> = bytes.into();
        let tasks: Vec<_> = (0..self.members)
            .map(|member| {
                let (address, pace) = (self.address, self.pace);
                let (head, body) = (self.head(member), body.clone());
                spawn_local(async move { send_one(address, &head, &body, pace).await })
            })
            .collect();
        let mut connections = Vec::new();
        for task in tasks {
            connections.extend(task.await.expect("the client does not panic"));
        }
        connections
    }

    fn head(&self, member: usize) -> String {
        let framing = match self.framing {
            Framing::Length(bytes) => format!("Content-Length: {bytes}"),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
        };
        format!(
            "{} HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Attempt-Id: c0c0{member:012x}\r\nSparrouter-Model: {MODEL}\r\n\
             Sparrouter-Token-Usage: 900,20\r\nSparrouter-Deadline-Ms: 30000\r\nSparrouter-Key: key-1\r\n{framing}\r\n{}\r\n",
            self.request,
            EMPTY_FIELD.repeat(self.empty_fields)
        )
    }

    /// The bytes of the body as they are sent.
    fn body(&self) -> Vec<u8> {
        let Framing::Chunks(chunk_bytes) = self.framing else {
            return vec![b'x'; self.sent_bytes];
        };
        let chunk = [
            format!("{chunk_bytes:x}\r\n").into_bytes(),
            vec![b'x'; chunk_bytes],
            b"\r\n".to_vec(),
        ]
        .concat();
        let mut body = chunk.repeat(self.sent_bytes / chunk_bytes);
        if self.ends_chunks {
            body.extend_from_slice(b"0\r\n\r\n");
        }
        body
    }
}

/// Reads the status of the response on a connection; `None` if the connection ends before.
pub async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut buffer = BytesMut::new();
    let head = reading::head(stream, &mut buffer, RESPONSE_PREFIX, MAX_RESPONSE_HEAD).await;
    Some(parse_response(&head.ok()?).ok()?.status)
}

/// Sends one request; `None` if the connection can't be established.
async fn send_one(address: SocketAddr, head: &str, body: &[u8], pace: Pace) -> Option<TcpStream> {
    let connected = timeout(BLOCKED_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    let (piece_bytes, pause) = match pace {
        Pace::Burst => (body.len().max(1), Duration::ZERO),
        Pace::Writes(bytes) => (bytes, WRITE_INTERVAL),
    };
    for piece in std::iter::once(head.as_bytes()).chain(body.chunks(piece_bytes)) {
        let written = timeout(BLOCKED_TIMEOUT, stream.write_all(piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
        sleep(pause).await;
    }
    Some(stream)
}
