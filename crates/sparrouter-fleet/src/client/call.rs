//! A single HTTP call to one node.
use crate::platform::http;
use crate::platform::net::{Net, Stream};
use bytes::BytesMut;
use sparrouter_http::reading::ReadError;
use sparrouter_http::{head, reading};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Time-out for connecting, and for the reply to a call without a body.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Speed at which a body is expected to be sent; its length extends the reply time-out accordingly.
const BYTES_PER_SECOND: usize = 1 << 20;
/// Maximum length of a reply's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a reply's body, in bytes: twice the maximum of a configuration, as a margin for fields of later
/// releases.
const MAX_BODY_BYTES: usize = 2 * sparrouter_config::MAX_BYTES;

/// An HTTP call that can be sent to any node.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Value of the header field `If-Match`.
    pub if_match: Option<u64>,
    /// JSON body.
    pub body: Option<Vec<u8>>,
}

impl Call {
    /// Builds a GET call without a body.
    pub fn get(path: &str) -> Call {
        Call {
            method: "GET",
            path: path.to_owned(),
            if_match: None,
            body: None,
        }
    }

    /// The bytes of the HTTP request for `path` of the node at `to`.
    fn bytes(&self, path: &str, to: SocketAddr) -> Vec<u8> {
        let mut text = format!(
            "{} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n",
            self.method
        );
        if let Some(version) = self.if_match {
            text.push_str(&format!("If-Match: {version}\r\n"));
        }
        if let Some(body) = &self.body {
            text.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body.as_deref().unwrap_or_default());
        bytes
    }
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body as text; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// Target address and path of a redirect.
    pub location: Option<(SocketAddr, String)>,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node sent a complete reply.
    Replied(Reply),
    /// No connection could be established, so nothing was sent. Holds the reason.
    NotConnected(String),
    /// The call was sent, at least in part, but no complete reply arrived. Holds the reason.
    NoAnswer(String),
}

/// Sends a call to one node. `path` is sent in place of the call's path, so that redirects can be followed.
pub async fn send_once(net: &dyn Net, call: &Call, path: &str, to: SocketAddr) -> Outcome {
    let mut stream = match timeout(TIMEOUT, net.dial(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Outcome::NotConnected(error.to_string()),
        Err(_) => return Outcome::NotConnected("no connection within a second".into()),
    };
    let length = call.body.as_ref().map_or(0, Vec::len);
    let reply_timeout = TIMEOUT + Duration::from_secs((length / BYTES_PER_SECOND) as u64);
    let request = call.bytes(path, to);
    let exchange = exchange(&mut stream, &request);
    match timeout(reply_timeout, exchange).await {
        Ok(Ok(reply)) => Outcome::Replied(reply),
        Ok(Err(error)) => Outcome::NoAnswer(error.to_string()),
        Err(_) => Outcome::NoAnswer(format!("no answer within {} s", reply_timeout.as_secs())),
    }
}

/// The reason why a request that was sent, at least in part, has no reply.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("{0}")]
    Write(#[from] io::Error),
    #[error("the connection ended before the answer was complete")]
    Closed,
    #[error("the connection was reset")]
    Reset,
    #[error("the answer is not valid HTTP: {0}")]
    NotHttp(&'static str),
    #[error("the head of the answer is invalid: {0}")]
    Head(&'static str),
    #[error("the answer exceeds the maximum length")]
    TooLong,
}

impl From<ReadError> for ExchangeError {
    fn from(error: ReadError) -> ExchangeError {
        match error {
            ReadError::Closed => ExchangeError::Closed,
            ReadError::Reset => ExchangeError::Reset,
            ReadError::Bad(error) => ExchangeError::NotHttp(error.0),
        }
    }
}

/// Sends a request and reads the reply.
async fn exchange(stream: &mut Stream, request: &[u8]) -> Result<Reply, ExchangeError> {
    stream.write_all(request).await?;
    let mut buffer = BytesMut::new();
    let bytes = reading::head(stream, &mut buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await?;
    let head = head::parse_response(&bytes).map_err(|error| ExchangeError::Head(error.0))?;
    let body = http::read_body(stream, &mut buffer, head.framing, MAX_BODY_BYTES).await?;
    let body = body.ok_or(ExchangeError::TooLong)?;
    Ok(Reply {
        status: head.status,
        body: String::from_utf8_lossy(&body).into_owned(),
        location: head.fields.text("location").and_then(location),
    })
}

/// Parses the address and path of a URL such as `http://10.0.0.4:8080/path`; `None` for any other form, which is not
/// followed.
fn location(text: &str) -> Option<(SocketAddr, String)> {
    let target = text.trim().strip_prefix("http://")?;
    let path_offset = target.find('/').unwrap_or(target.len());
    let (address, path) = target.split_at(path_offset);
    Some((
        address.parse().ok()?,
        if path.is_empty() {
            "/".into()
        } else {
            path.to_owned()
        },
    ))
}
