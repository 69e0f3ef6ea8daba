//! One call to one node: dialled, sent, answered, or not.
use crate::http;
use crate::net::Net;
use bytes::BytesMut;
use sparrouter_http::{head, reading};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// A node is silent after this; a body has more, by its length.
const SILENCE: Duration = Duration::from_secs(1);
const BYTES_A_SECOND: usize = 1 << 20;
const LONGEST_HEAD: usize = 16 << 10;
/// A configuration and room for what a later release may add to it.
const LONGEST_BODY: usize = 2 * sparrouter_config::MAX_BYTES;

/// What is asked, the same whichever node it goes to.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub if_match: Option<u64>,
    /// JSON.
    pub body: Option<Vec<u8>>,
}

impl Call {
    pub fn get(path: &str) -> Call {
        Call {
            method: "GET",
            path: path.to_owned(),
            if_match: None,
            body: None,
        }
    }

    fn bytes(&self, path: &str, to: SocketAddr) -> Vec<u8> {
        let mut text = format!(
            "{} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n",
            self.method
        );
        if let Some(number) = self.if_match {
            text.push_str(&format!("If-Match: {number}\r\n"));
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    /// Where a redirect points, and the path there.
    pub location: Option<(SocketAddr, String)>,
}

/// How one call came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Replied(Reply),
    /// No connection came up: nothing was sent.
    Unreached(String),
    /// Something was sent and no whole answer came.
    Silent(String),
}

/// `path` stands in for the call's own after a redirect.
pub async fn once(net: &dyn Net, call: &Call, path: &str, to: SocketAddr) -> Outcome {
    let mut stream = match timeout(SILENCE, net.dial(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(why)) => return Outcome::Unreached(why.to_string()),
        Err(_) => return Outcome::Unreached("no connection within a second".into()),
    };
    let length = call.body.as_ref().map_or(0, Vec::len);
    let patience = SILENCE + Duration::from_secs((length / BYTES_A_SECOND) as u64);
    let exchange = async {
        stream
            .write_all(&call.bytes(path, to))
            .await
            .map_err(|e| e.to_string())?;
        let mut buffer = BytesMut::new();
        let bytes = reading::head(&mut stream, &mut buffer, head::REPLY, LONGEST_HEAD).await;
        let head = head::reply(&bytes.map_err(broken)?).map_err(|bad| bad.0.to_owned())?;
        let body = http::body(&mut stream, &mut buffer, head.framing, LONGEST_BODY)
            .await
            .map_err(broken)?;
        let body = body.ok_or("the answer is longer than any that is known")?;
        Ok::<Reply, String>(Reply {
            status: head.status,
            body: String::from_utf8_lossy(&body).into_owned(),
            location: head.fields.text("location").and_then(location),
        })
    };
    match timeout(patience, exchange).await {
        Ok(Ok(reply)) => Outcome::Replied(reply),
        Ok(Err(why)) => Outcome::Silent(why),
        Err(_) => Outcome::Silent(format!("silent for {} s", patience.as_secs())),
    }
}

fn broken(broken: reading::Broken) -> String {
    match broken {
        reading::Broken::Ended => "the connection ended before a whole answer".into(),
        reading::Broken::Reset => "the connection was reset".into(),
        reading::Broken::Bad(bad) => format!("not an answer: {}", bad.0),
    }
}

/// The address and path in `http://10.0.0.4:8080/path`; redirects elsewhere are not followed.
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
