//! Builds the head of the request that is sent to a server.
use super::Exchange;
use super::admission::urgency;
use super::prefix_lookup::PrefixSources;
use crate::platform::defects::rules;
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_http::head::{Fields, Framing};
use tokio::time::Instant;

/// Initial buffer capacity in bytes, enough for most heads.
const TYPICAL_HEAD_BYTES: usize = 1024;

/// Data that is added to the client's request for a server.
pub(super) struct ForwardedRequest<'a> {
    pub(super) server_id: &'a str,
    /// The model version that the request is for; 0 if none is known.
    pub(super) version: u64,
    /// The id of the event after which the stream is to be resumed.
    pub(super) last_event_id: Option<&'a str>,
    pub(super) prefix: &'a PrefixSources,
}

/// Writer of a request head.
struct HeadWriter(BytesMut);

impl HeadWriter {
    fn put(&mut self, parts: &[&[u8]]) {
        for part in parts {
            self.0.put_slice(part);
        }
    }

    fn field(&mut self, name: &str, value: &str) {
        self.put(&[name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    }
}

fn is_one_of(name: &[u8], names: &[&[u8]]) -> bool {
    names.iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// Whether a header field is hop-by-hop, so that it is not forwarded (RFC 9110, section 7.6.1).
pub(super) fn is_hop_by_hop(name: &[u8]) -> bool {
    const NAMES: [&[u8]; 9] = [
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
        b"expect",
    ];
    is_one_of(name, &NAMES)
}

/// Whether the `Connection` field lists a field, which makes that field hop-by-hop.
pub(super) fn is_named_by_connection(fields: &Fields, name: &[u8]) -> bool {
    fields.lists("connection", std::str::from_utf8(name).unwrap_or("-"))
}

/// Whether only this node sets a header field; a client's value is dropped.
fn is_set_by_node(name: &[u8]) -> bool {
    const NAMES: [&[u8]; 9] = [
        b"sparrouter-key",
        b"sparrouter-tenant",
        b"sparrouter-expected-instance",
        b"sparrouter-deadline-ms",
        b"priority",
        b"cache-salt",
        b"kv-fetch",
        b"kv-save",
        b"expect-version",
    ];
    is_one_of(name, &NAMES)
}

/// Whether a field is end-to-end, and thus forwarded unchanged even if `Connection` lists it. A sender must not list
/// fields there that are meant for all recipients (RFC 9110, section 7.6.1).
fn is_end_to_end(name: &[u8]) -> bool {
    const NAMES: [&[u8]; 6] = [
        b"host",
        b"last-event-id",
        b"sparrouter-attempt-id",
        b"sparrouter-model",
        b"sparrouter-token-usage",
        b"sparrouter-prompt-prefix",
    ];
    is_one_of(name, &NAMES) && rules::end_to_end_fields_preserved()
}

impl Exchange<'_> {
    /// The request head for one server.
    pub(super) fn forwarded_head(&self, forwarded: &ForwardedRequest<'_>) -> Bytes {
        let mut head = HeadWriter(BytesMut::with_capacity(TYPICAL_HEAD_BYTES));
        let client_head = &self.request.head;
        head.put(&[
            &client_head.method,
            b" ",
            &client_head.target,
            b" HTTP/1.1\r\n",
        ]);
        self.put_client_fields(&mut head, forwarded);
        self.put_routing_fields(&mut head, forwarded);
        self.put_model_fields(&mut head, forwarded);
        self.put_length(&mut head);
        head.put(&[b"\r\n"]);
        head.0.freeze()
    }

    /// Appends the client's header fields, except hop-by-hop fields and fields that this node sets.
    fn put_client_fields(&self, head: &mut HeadWriter, forwarded: &ForwardedRequest<'_>) {
        let fields = &self.request.head.fields;
        for (name, value) in fields.iter() {
            let is_connection_field = is_hop_by_hop(name)
                || (is_named_by_connection(fields, name) && !is_end_to_end(name));
            let is_replaced =
                forwarded.last_event_id.is_some() && name.eq_ignore_ascii_case(b"last-event-id");
            if !is_connection_field && !is_set_by_node(name) && !is_replaced {
                head.put(&[name, b": ", value, b"\r\n"]);
            }
        }
    }

    fn put_routing_fields(&self, head: &mut HeadWriter, forwarded: &ForwardedRequest<'_>) {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = remaining.as_millis().max(1);
        head.field("Sparrouter-Deadline-Ms", &remaining_ms.to_string());
        if rules::requests_name_instance() {
            head.field("Sparrouter-Expected-Instance", forwarded.server_id);
        }
        if let Some(tenant) = self.tenant {
            head.field("Sparrouter-Tenant", &tenant.name);
        }
        if let Some(last_event_id) = forwarded.last_event_id {
            head.field("Last-Event-Id", last_event_id);
        }
    }

    fn put_model_fields(&self, head: &mut HeadWriter, forwarded: &ForwardedRequest<'_>) {
        let Some(model) = &self.model else {
            return;
        };
        let version = forwarded.version;
        head.field("Priority", &urgency(self.prompt.tokens_in).to_string());
        head.field("Cache-Salt", &self.cache_salt(model, version));
        if version > 0 {
            head.field("Expect-Version", &version.to_string());
        }
        if let Some(source) = &forwarded.prefix.fetch_from {
            head.field("Kv-Fetch", source);
        }
        if let Some(store) = &forwarded.prefix.save_to {
            head.field("Kv-Save", store);
        }
    }

    fn put_length(&self, head: &mut HeadWriter) {
        let client_head = &self.request.head;
        let has_body = !self.request.body.is_empty()
            || client_head.framing == Framing::Chunked
            || client_head.fields.get("content-length").is_some();
        if has_body {
            head.field("Content-Length", &self.request.body.len().to_string());
        }
    }
}
