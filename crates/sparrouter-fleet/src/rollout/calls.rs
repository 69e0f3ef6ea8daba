//! Calls to a server: what it runs, and the bytes of an answer.
use crate::platform::net::Net;
use crate::platform::upstream::{SendOutcome, Upstream};
use bytes::Bytes;
use miniserde::{Deserialize, json};
use sparrouter_http::head;
use sparrouter_http::reading;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// A call to a server, and to a shard, may take so long.
pub(super) const CALL: Duration = Duration::from_millis(700);
/// Longest head and longest body of an answer, bytes.
const MOST_HEAD_BYTES: usize = 16 << 10;
const MOST_BODY_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
pub(super) struct ModelReport {
    name: String,
    version: u64,
}

/// What a server tells of itself, as of some hundred milliseconds before.
#[derive(Deserialize)]
pub(super) struct Report {
    models: Vec<ModelReport>,
    /// An order is under way.
    pub(super) is_busy: bool,
    queued: u32,
    running: u32,
    /// Orders taken.
    pub(super) call_sequence: u64,
}

impl Report {
    /// The version that it runs of a model; 0 if it has none.
    pub(super) fn version_of(&self, model: &str) -> u64 {
        let known = self.models.iter().find(|known| known.name == model);
        known.map_or(0, |known| known.version)
    }

    /// Requests running and waiting.
    pub(super) fn load(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// Asks a server for its report; None where it does not answer with one.
pub(super) async fn report(net: &dyn Net, address: SocketAddr) -> Option<Report> {
    let mut link = Upstream::dial(net, address).await?;
    let head = format!("GET /api/report HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if link.send(&Bytes::from(head), &Bytes::new()).await == SendOutcome::Nothing {
        return None;
    }
    let (status, body) = answer(&mut link).await?;
    if status != 200 {
        return None;
    }
    json::from_str(std::str::from_utf8(&body).ok()?).ok()
}

/// Status and body of a server's answer to a call of ours.
pub(super) async fn answer(link: &mut Upstream) -> Option<(u16, Bytes)> {
    let reading = async {
        let (stream, buffer) = (&mut link.stream, &mut link.buffer);
        let bytes = reading::head(stream, buffer, head::REPLY, MOST_HEAD_BYTES)
            .await
            .ok()?;
        let head = head::parse_response(&bytes).ok()?;
        let body = crate::platform::http::read_body(stream, buffer, head.framing, MOST_BODY_BYTES)
            .await
            .ok()??;
        Some((head.status, body))
    };
    timeout(CALL, reading).await.ok()?
}
