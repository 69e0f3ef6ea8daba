//! One request to a server or store for its cache events, and what the reply says.
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

/// How long a source may wait with its reply while there are no events, in milliseconds: the longest that the protocol
/// allows.
const MAX_WAIT_MS: u64 = 1_000;
/// How long a request may take in all.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest head and longest body of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Blocks of fewer tokens count as not cached: they are prefilled sooner than they are asked for.
const MIN_TOKENS: u64 = 64;

/// The body of a reply. The fields' names are those of PROTOCOL.md.
#[derive(Deserialize)]
struct EventsBody {
    epoch: u64,
    next_page_token: u64,
    /// A flag or a number, by the release of the source.
    lost_count: Option<Value>,
    events: Vec<Value>,
}

/// Requests the events from number `since` on; `None` without a reply that can be read. `connection`: the one of the last
/// request if it can carry another; set to the one that can carry the next.
pub(super) async fn request(
    net: &dyn Net,
    connection: &mut Option<Upstream>,
    address: SocketAddr,
    since: u64,
) -> Option<EventPage> {
    let exchange = async {
        // Bytes that arrived without a request would be taken for the reply to this one.
        let mut upstream = match connection.take().filter(Upstream::is_idle) {
            Some(upstream) => upstream,
            None => Upstream::dial(net, address).await?,
        };
        let head = format!(
            "GET /api/kv-events?since_time={since} HTTP/1.1\r\nHost: {address}\r\nWait-Ms: {MAX_WAIT_MS}\r\n\r\n"
        );
        let sent = upstream.send(&Bytes::from(head), &Bytes::new()).await;
        if sent == SendOutcome::Nothing {
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

/// Reads the body of a reply; events that cannot be read are skipped. `None` if it is no reply to this request.
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

/// Reads an event: `[number, + or -, salt, block id, tokens that are cached now, model]`.
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
