//! One server's turn: the request sent once, and the head of the answer that is its own.
use super::admission::urgency;
use super::api_key::KeyState;
use super::prefix_lookup::Memory;
use super::{Exchange, left};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::net::Stream;
use crate::platform::upstream::{SendOutcome, Upstream};
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_config::RouteKind;
use sparrouter_http::head::{self, Framing, ResponseHead};
use sparrouter_http::reading::{self};
use sparrouter_membership::LifecycleState;
use sparrouter_routing::Selection;
use std::time::Duration;
use tokio::io::ReadHalf;
use tokio::time::Instant;

/// Interim answers and surplus ones of earlier requests that are passed over ahead of the one that counts.
const MOST_SURPLUS: usize = 16;

/// How one server's turn went.
pub(super) enum Turn {
    /// Nothing was sent: it could not be reached, or left meanwhile.
    Unsent,
    /// Nothing was sent: the client's key is no longer known, or may be no longer in force.
    KeyRefused,
    /// It proved that it has not run it and won't.
    NotRun(u16),
    /// It may have run.
    Unknown,
    /// Its answer has begun.
    Replied(Box<ResponseHead>, Upstream),
    ClientGone,
    TimeUp,
}

pub(super) fn hop_by_hop(name: &[u8]) -> bool {
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
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// What we say to servers ourselves: never a client's word.
fn ours(name: &[u8]) -> bool {
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
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// Fields that a server gets as the client sent them, also where `Connection` names them (RFC 9110, 7.6.1: it must not
/// name a field that is meant for every recipient).
fn end_to_end(name: &[u8]) -> bool {
    const NAMES: [&[u8]; 6] = [
        b"host",
        b"last-event-id",
        b"sparrouter-attempt-id",
        b"sparrouter-model",
        b"sparrouter-token-usage",
        b"sparrouter-prompt-prefix",
    ];
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n)) && rules::end_to_end_fields_preserved()
}

impl Exchange<'_> {
    /// Sends to one server and waits for the head of its answer. `begun`: the client has the beginning of an answer.
    pub(super) async fn turn(
        &mut self,
        pick: &Selection,
        last_id: Option<&str>,
        begun: bool,
        from: &mut ReadHalf<&mut Stream>,
        ahead: &mut BytesMut,
    ) -> Turn {
        let Some((id, address)) = self
            .node
            .server_table
            .borrow()
            .get(pick.server)
            .map(|s| (s.id.clone(), s.address))
        else {
            return Turn::Unsent;
        };
        let until = self.until;
        if !rules::client_checked_before_send() {
            return tokio::select! {
                biased;
                turn = self.speak(pick, &id, address, last_id, begun) => turn,
                () = left(from, ahead) => Turn::ClientGone,
                () = tokio::time::sleep_until(until) => Turn::TimeUp,
            };
        }
        // The client and the deadline are looked at first: nothing is sent for a client that has left while the request
        // waited for its server, and nothing past its deadline.
        tokio::select! {
            biased;
            () = left(from, ahead) => Turn::ClientGone,
            () = tokio::time::sleep_until(until) => Turn::TimeUp,
            turn = self.speak(pick, &id, address, last_id, begun) => turn,
        }
    }

    pub(super) async fn speak(
        &mut self,
        pick: &Selection,
        id: &str,
        address: std::net::SocketAddr,
        last_id: Option<&str>,
        begun: bool,
    ) -> Turn {
        let memory = self.memory(pick, id).await;
        loop {
            let resting = self.pool.take(id);
            let mut link = match resting {
                Some(link) => link,
                None => match Upstream::dial(&*self.node.net, address).await {
                    Some(link) => link,
                    None => return Turn::Unsent,
                },
            };
            // Connections come up late: nothing new to one that meanwhile drains, or takes new weights.
            if !self.may_go(pick) {
                return Turn::Unsent;
            }
            if self.key_state() != KeyState::Good {
                return Turn::KeyRefused;
            }
            let head = self.forward_head(pick, id, last_id, &memory);
            let used = link.used;
            match link.send(&head, &self.request.body).await {
                // No byte of it left, so it can't have run. A resting connection may just have been closed.
                SendOutcome::Nothing if used => continue,
                SendOutcome::Nothing => return Turn::Unsent,
                SendOutcome::Begun => {}
            }
            self.sent += 1;
            self.count_older_weights(pick);
            return self.reply(pick, link, begun).await;
        }
    }

    fn count_older_weights(&self, pick: &Selection) {
        let (Some(model), Some(version)) = (&self.model, pick.version) else {
            return;
        };
        let wanted = self.node.server_table.borrow().versions.required(model);
        if wanted.is_some_and(|wanted| wanted.version > version) {
            count(&self.node.counters.sent_to_older_weights);
        }
    }

    pub(super) fn may_go(&self, pick: &Selection) -> bool {
        let server_table = self.node.server_table.borrow();
        let now = self.node.now();
        server_table.get(pick.server).is_some_and(|s| {
            s.state() == LifecycleState::Ready
                && !s.is_loading()
                && match (&self.model, pick.version) {
                    (Some(model), Some(version)) => {
                        server_table.versions.allows(model, version, now)
                    }
                    _ => true,
                }
        })
    }

    /// The head of the answer that carries this request's id; those of others on the connection are surplus.
    pub(super) async fn reply(
        &mut self,
        pick: &Selection,
        mut link: Upstream,
        begun: bool,
    ) -> Turn {
        let attempt_id = self
            .request
            .head
            .fields
            .get("sparrouter-attempt-id")
            .cloned();
        for _ in 0..MOST_SURPLUS {
            let bytes =
                reading::head(&mut link.stream, &mut link.buffer, head::REPLY, 64 << 10).await;
            let Ok(head) = bytes
                .map_err(drop)
                .and_then(|b| head::parse_response(&b).map_err(drop))
            else {
                return Turn::Unknown;
            };
            if head.status < 200 {
                continue;
            }
            let other = head.fields.get("sparrouter-attempt-id") != attempt_id.as_ref();
            if other && rules::responses_match_request() {
                // An answer to an earlier request: its bytes belong to nobody. An answer that names an id is not that
                // of a request without one either.
                match crate::platform::http::read_body(
                    &mut link.stream,
                    &mut link.buffer,
                    head.framing,
                    1 << 20,
                )
                .await
                {
                    Ok(Some(_)) if head.keep_alive => continue,
                    _ => return Turn::Unknown,
                }
            }
            self.learn(pick, &head);
            self.check_begun(pick, &head);
            let not_run =
                head.fields.get("sparrouter-not-executed").is_some() || head.status == 421;
            if not_run {
                let id = self.instance(pick.server);
                let status = head.status;
                self.declined(pick, &head);
                let whole = crate::platform::http::read_body(
                    &mut link.stream,
                    &mut link.buffer,
                    head.framing,
                    1 << 20,
                );
                if let Ok(Some(_)) = whole.await {
                    self.pool.put(&id, link, &head);
                }
                return Turn::NotRun(status);
            }
            let success = (200..300).contains(&head.status);
            let sealed = head.fields.get("sparrouter-response-seal").is_some();
            if success && (!sealed || head.fields.get("content-encoding").is_some()) {
                return Turn::Unknown;
            }
            // Only a success goes on with a stream that the client already has the beginning of.
            if begun && !success && rules::only_success_resumes_stream() {
                return Turn::Unknown;
            }
            // A promise that only a server's own word for it could make.
            if matches!(head.status, 408 | 429 | 503) {
                return Turn::Unknown;
            }
            if head.status >= 500
                && self.route.is_idempotent()
                && self.sent < self.route.max_attempts
            {
                return Turn::Unknown;
            }
            return Turn::Replied(Box::new(head), link);
        }
        Turn::Unknown
    }

    /// What the answer says of the server itself.
    pub(super) fn learn(&self, pick: &Selection, head: &ResponseHead) {
        let mut server_table = self.node.server_table.borrow_mut();
        let now = self.node.now();
        if let Some(load) = head.fields.text("sparrouter-instance-load") {
            let mut numbers = load
                .split(',')
                .map(|n| n.trim().parse::<u32>().unwrap_or(0));
            let (running, waiting) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0));
            server_table.record_load(pick.server, running, waiting, now);
        }
        let version = head
            .fields
            .text("versions")
            .and_then(|v| v.trim().parse().ok());
        if let (Some(model), Some(version)) = (&self.model, version) {
            server_table.record_loaded_version(pick.server, model, version);
        }
    }

    /// Reports an answer whose run began on weights that no request may begin on any more. The head of a stream comes
    /// with the first token, so it began just now; when the run of any other answer began is not known.
    fn check_begun(&self, pick: &Selection, head: &ResponseHead) {
        let version = head.fields.text("versions").and_then(|v| v.parse().ok());
        let began = self.route.kind == RouteKind::Streaming && head.status < 300;
        let (Some(model), Some(version), true) = (&self.model, version, began) else {
            return;
        };
        let now = self.node.now();
        if self
            .node
            .server_table
            .borrow()
            .versions
            .allows(model, version, now)
        {
            return;
        }
        count(&self.node.counters.begun_too_late);
        self.node.log_buffer.breach(&format!(
            "a request began on version {version} of {model} at {} after the time limit of a newer version",
            self.instance(pick.server)
        ));
    }

    pub(super) fn declined(&self, pick: &Selection, head: &ResponseHead) {
        let now = self.node.now();
        let jitter = crate::settings::nanos(self.node.jitter(Duration::from_millis(60)));
        if head.status == 421 {
            let other = head
                .fields
                .text("sparrouter-instance-id")
                .unwrap_or_default();
            let id = self.instance(pick.server);
            if !other.is_empty() && other != id {
                // Another one has its address: ours is not there any more.
                let mut rows = self.node.membership.borrow_mut();
                if rows.mark_server_unresponsive(&id, now) {
                    self.node.server_table.borrow_mut().sync(&rows, now);
                }
                self.node
                    .server_table
                    .borrow_mut()
                    .suspect(pick.server, now);
                return;
            }
            // Same server, other weights: newer ones than we knew of.
            if let (Some(model), Some(version)) = (&self.model, pick.version) {
                let wanted = self
                    .node
                    .server_table
                    .borrow()
                    .versions
                    .required(model)
                    .map(|w| w.version);
                let next = wanted.filter(|w| *w > version).unwrap_or(version + 1);
                if head.fields.text("versions").is_none() && wanted.is_some_and(|w| w >= next) {
                    self.node.server_table.borrow_mut().record_loaded_version(
                        pick.server,
                        model,
                        next,
                    );
                }
            }
        }
        self.node
            .server_table
            .borrow_mut()
            .mark_full(pick.server, now + jitter);
    }

    pub(super) fn forward_head(
        &self,
        pick: &Selection,
        id: &str,
        last_id: Option<&str>,
        memory: &Memory,
    ) -> Bytes {
        let head = &self.request.head;
        let mut out = BytesMut::with_capacity(1024);
        let mut put = |parts: &[&[u8]]| parts.iter().for_each(|p| out.put_slice(p));
        put(&[&head.method, b" ", &head.target, b" HTTP/1.1\r\n"]);
        for (name, value) in head.fields.iter() {
            let named = head
                .fields
                .lists("connection", std::str::from_utf8(name).unwrap_or("-"))
                && !end_to_end(name);
            let resumed = last_id.is_some() && name.eq_ignore_ascii_case(b"last-event-id");
            if !hop_by_hop(name) && !ours(name) && !named && !resumed {
                put(&[name, b": ", value, b"\r\n"]);
            }
        }
        let mut field =
            |name: &str, value: &str| put(&[name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        let left = self
            .until
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(1);
        field("Sparrouter-Deadline-Ms", &left.to_string());
        if rules::requests_name_instance() {
            field("Sparrouter-Expected-Instance", id);
        }
        if let Some(tenant) = self.tenant {
            field("Sparrouter-Tenant", &tenant.name);
        }
        if let Some(last_id) = last_id {
            field("Last-Event-Id", last_id);
        }
        if let Some(model) = &self.model {
            field("Priority", &urgency(self.prompt.tokens_in).to_string());
            let version = pick.version.unwrap_or(0);
            field("Cache-Salt", &self.salt(model, version));
            if version > 0 {
                field("Expect-Version", &version.to_string());
            }
            if let Some(source) = &memory.fetch {
                field("Kv-Fetch", source);
            }
            if let Some(store) = &memory.save {
                field("Kv-Save", store);
            }
        }
        let chunked = head.framing == Framing::Chunked;
        if !self.request.body.is_empty() || chunked || head.fields.get("content-length").is_some() {
            field("Content-Length", &self.request.body.len().to_string());
        }
        put(&[b"\r\n"]);
        out.freeze()
    }
}
