//! One HTTP call to one node.
use crate::platform::http;
use crate::platform::net::Net;
use bytes::BytesMut;
use sparrouter_http::{head, reading};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// How long connecting may take, and the answer to a call without a body.
const TIMEOUT: Duration = Duration::from_secs(1);
/// A body adds to the timeout by its length, at this speed.
const BYTES_PER_SECOND: usize = 1 << 20;
/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest body of an answer: a configuration, and room for what a later release may add to it.
const MAX_BODY_BYTES: usize = 2 * sparrouter_config::MAX_BYTES;

/// A call, the same whichever node it is sent to.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Value of the header field `If-Match`.
    pub if_match: Option<u64>,
    /// Body, as JSON.
    pub body: Option<Vec<u8>>,
}

impl Call {
    /// A GET without a body.
    pub fn get(path: &str) -> Call {
        Call {
            method: "GET",
            path: path.to_owned(),
            if_match: None,
            body: None,
        }
    }

    /// The request on the wire.
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

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// Address and path that a redirect points to.
    pub location: Option<(SocketAddr, String)>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node answered.
    Replied(Reply),
    /// No connection could be established, so nothing was sent. Holds the reason.
    NotConnected(String),
    /// The call was sent, at least in part, but no whole answer came. Holds the reason.
    NoAnswer(String),
}

/// Sends a call to one node. `path` replaces the call's own, for redirects.
pub async fn send_once(net: &dyn Net, call: &Call, path: &str, to: SocketAddr) -> Outcome {
    let mut stream = match timeout(TIMEOUT, net.dial(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(why)) => return Outcome::NotConnected(why.to_string()),
        Err(_) => return Outcome::NotConnected("no connection within a second".into()),
    };
    let length = call.body.as_ref().map_or(0, Vec::len);
    let patience = TIMEOUT + Duration::from_secs((length / BYTES_PER_SECOND) as u64);
    let exchange = async {
        stream
            .write_all(&call.bytes(path, to))
            .await
            .map_err(|e| e.to_string())?;
        let mut buffer = BytesMut::new();
        let bytes = reading::head(&mut stream, &mut buffer, head::REPLY, MAX_HEAD_BYTES).await;
        let head =
            head::parse_response(&bytes.map_err(describe)?).map_err(|bad| bad.0.to_owned())?;
        let body = http::read_body(&mut stream, &mut buffer, head.framing, MAX_BODY_BYTES)
            .await
            .map_err(describe)?;
        let body = body.ok_or("the answer is too long")?;
        Ok::<Reply, String>(Reply {
            status: head.status,
            body: String::from_utf8_lossy(&body).into_owned(),
            location: head.fields.text("location").and_then(location),
        })
    };
    match timeout(patience, exchange).await {
        Ok(Ok(reply)) => Outcome::Replied(reply),
        Ok(Err(why)) => Outcome::NoAnswer(why),
        Err(_) => Outcome::NoAnswer(format!("no answer within {} s", patience.as_secs())),
    }
}

/// Why reading an answer failed.
fn describe(broken: reading::ReadError) -> String {
    match broken {
        reading::ReadError::Closed => "the connection ended before the answer was complete".into(),
        reading::ReadError::Reset => "the connection was reset".into(),
        reading::ReadError::Bad(bad) => format!("not an HTTP answer: {}", bad.0),
    }
}

/// Address and path of a URL such as `http://10.0.0.4:8080/path`; `None` for any other kind, which is not followed.
fn location(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.trim().strip_prefix("http://")?;
    let at = rest.find('/').unwrap_or(rest.len());
    let (address, path) = rest.split_at(at);
    Some((
        address.parse().ok()?,
        if path.is_empty() {
            "/".into()
        } else {
            path.to_owned()
        },
    ))
}
