//! Requests cache events from a server or store, and parses the reply.
use crate::platform::http;
use crate::platform::net::Net;
use crate::platform::upstream::{SendOutcome, Upstream};
use bytes::Bytes;
use miniserde::json::{Number, Value};
use miniserde::{Deserialize, json};
use sparrouter_http::{head, reading};
use sparrouter_prefix_index::{BlockChange, EventPage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time for which a source may delay its reply while it has no events, in milliseconds: the maximum that the protocol
/// allows.
const MAX_WAIT_MS: u64 = 1_000;
/// Time-out of a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Maximum sizes of the head and the body of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Blocks of fewer tokens are treated as not cached: to prefill them is faster than to look them up.
const MIN_TOKENS: u64 = 64;

/// The JSON body of a reply. Field names are defined in PROTOCOL.md.
#[derive(Deserialize)]
struct EventsBody {
    epoch: u64,
    next_page_token: u64,
    /// A boolean or a number, depending on the release of the source.
    lost_count: Option<Value>,
    events: Vec<Value>,
}

/// Requests the events from number `since` on; `None` if there is no valid reply. `connection`: holds the reusable
/// connection of the previous request, if there is one, and receives the connection for the next request.
pub(super) async fn request(
    net: &dyn Net,
    connection: &mut Option<Upstream>,
    address: SocketAddr,
    since: u64,
) -> Option<EventPage> {
    let exchange = async {
        // Bytes that arrived without a request would be read as the reply to this request.
        let mut upstream = match connection.take().filter(Upstream::is_idle) {
            Some(upstream) => upstream,
            None => Upstream::dial(net, address).await?,
        };
        let head = format!(
            "GET /api/kv-events?since_time={since} HTTP/1.1\r\nHost: {address}\r\nWait-Ms: {MAX_WAIT_MS}\r\n\r\n"
        );
        let sent = upstream.send(&Bytes::from(head), &[]).await;
        if sent == SendOutcome::NotSent {
            return None;
        }
        let (stream, buffer) = (&mut upstream.stream, &mut upstream.buffer);
        let bytes = reading::head(stream, buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await;
        let head = head::parse_response(&bytes.ok()?).ok()?;
        let body = http::read_body(stream, buffer, head.framing, MAX_BODY_BYTES).await;
        let body = body.ok()??;
        let page = if head.status == 200 {
            parse(&body)
        } else {
            None
        };
        if upstream.is_reusable(&head) {
            *connection = Some(upstream);
        }
        page
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}

/// Parses the body of a reply and skips malformed events. `None` if the body itself is malformed.
pub fn parse(body: &[u8]) -> Option<EventPage> {
    let body: EventsBody = json::from_str(std::str::from_utf8(body).ok()?).ok()?;
    let events = body.events.iter().filter_map(parse_event).collect();
    let gap = match body.lost_count {
        Some(Value::Bool(is_lost)) => is_lost,
        Some(Value::Number(count)) => to_integer(&count) != Some(0),
        _ => false,
    };
    Some(EventPage {
        epoch: body.epoch,
        next: body.next_page_token,
        gap,
        events,
    })
}

/// Parses an event: `[number, + or -, salt, block id, tokens that are cached now, model]`. `None` if the event is
/// malformed.
fn parse_event(event: &Value) -> Option<BlockChange> {
    let Value::Array(fields) = event else {
        return None;
    };
    let (Value::String(salt), Value::String(id)) = (fields.get(2)?, fields.get(3)?) else {
        return None;
    };
    let Value::Number(tokens) = fields.get(4)? else {
        return None;
    };
    let tokens = to_integer(tokens).filter(|t| *t >= MIN_TOKENS).unwrap_or(0);
    let key = sparrouter_rendezvous::hash(format!("{salt}/{id}").as_bytes());
    Some(BlockChange {
        key,
        tokens: tokens.min(u64::from(u32::MAX)) as u32,
    })
}

fn to_integer(number: &Number) -> Option<u64> {
    match number {
        Number::U64(n) => Some(*n),
        Number::I64(n) => u64::try_from(*n).ok(),
        Number::F64(n) => Some(n.max(0.0) as u64),
    }
}
