//! HTTP calls to a server: requests its report and reads replies.
use crate::platform::http;
use crate::platform::net::Net;
use crate::platform::upstream::{SendOutcome, Upstream};
use bytes::Bytes;
use miniserde::{Deserialize, json};
use sparrouter_http::{head, reading};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time-out for a server's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum sizes of the head and the body of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct ModelReport {
    name: String,
    version: u64,
}

/// A server's report of its own state, a few hundred milliseconds old. Field names are defined in PROTOCOL.md.
#[derive(Deserialize)]
pub(super) struct Report {
    models: Vec<ModelReport>,
    /// Whether the server is executing an order.
    pub(super) is_busy: bool,
    queued: u32,
    running: u32,
    /// Number of orders that the server has accepted.
    pub(super) call_sequence: u64,
}

impl Report {
    /// The version of a model that the server runs; 0 if it does not run the model.
    pub(super) fn version_of(&self, model: &str) -> u64 {
        let known = self.models.iter().find(|known| known.name == model);
        known.map_or(0, |known| known.version)
    }

    /// Number of running and queued requests.
    pub(super) fn load(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// Requests a server's report; `None` if the server does not reply with a valid report.
pub(super) async fn request_report(net: &dyn Net, address: SocketAddr) -> Option<Report> {
    let mut connection = Upstream::dial(net, address).await?;
    let head = format!("GET /api/report HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let sent = connection.send(&Bytes::from(head), &[]).await;
    if sent == SendOutcome::NotSent {
        return None;
    }
    let reply = read_reply(&mut connection).await?;
    if reply.status != 200 {
        return None;
    }
    json::from_str(std::str::from_utf8(&reply.body).ok()?).ok()
}

/// A server's reply to a call.
pub(super) struct ServerReply {
    /// HTTP status code.
    pub(super) status: u16,
    body: Bytes,
}

/// Reads the reply to a call; `None` if no complete reply arrives in time.
pub(super) async fn read_reply(connection: &mut Upstream) -> Option<ServerReply> {
    let reading = async {
        let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
        let bytes = reading::head(stream, buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await;
        let head = head::parse_response(&bytes.ok()?).ok()?;
        let body = http::read_body(stream, buffer, head.framing, MAX_BODY_BYTES).await;
        Some(ServerReply {
            status: head.status,
            body: body.ok()??,
        })
    };
    timeout(REPLY_TIMEOUT, reading).await.ok()?
}
