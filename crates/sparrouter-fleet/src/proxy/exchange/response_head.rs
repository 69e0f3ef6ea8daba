//! The head of a server's response: whether it is the one to this request, what it says of the server, and whether the
//! client may get the response.
use super::attempt::AttemptOutcome;
use super::{Exchange, MISDIRECTED};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http;
use crate::platform::upstream::Upstream;
use crate::settings::nanos;
use sparrouter_config::RouteKind;
use sparrouter_http::head::{self, ResponseHead};
use sparrouter_http::reading;
use sparrouter_routing::{Selection, ServerTable};
use std::time::Duration;

/// Most heads that are skipped ahead of the one of this response: interim ones, and responses to earlier requests.
const MAX_SURPLUS_RESPONSES: usize = 16;
/// Longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest body of a response that is read only to be dropped, in bytes.
const MAX_DROPPED_BODY_BYTES: usize = 1 << 20;
/// A server that declined a request counts as full for this long.
const FULL_TIME: Duration = Duration::from_millis(60);

impl Exchange<'_> {
    /// Reads the head of the response and judges it.
    pub(super) async fn await_response(
        &mut self,
        selection: &Selection,
        mut connection: Upstream,
        has_response_begun: bool,
    ) -> AttemptOutcome {
        let Some(head) = self.read_own_head(&mut connection).await else {
            return AttemptOutcome::MayHaveRun;
        };
        self.record_server_state(selection, &head);
        self.check_version_limit(selection, &head);
        let is_not_run = head.fields.get("sparrouter-not-executed").is_some();
        if is_not_run || head.status == MISDIRECTED {
            // The server may be gone from the table once the decline is recorded.
            let id = self.id_of(selection.server);
            self.record_decline(selection, &head);
            let status = head.status;
            self.pool_after_body(&id, connection, &head).await;
            return AttemptOutcome::NotRun { status };
        }
        if !self.may_relay(&head, has_response_begun) {
            return AttemptOutcome::MayHaveRun;
        }
        AttemptOutcome::Responded(Box::new(head), Box::new(connection))
    }

    /// The head that carries this request's attempt id. Interim heads and responses to other requests are skipped; `None`
    /// if the connection breaks before.
    async fn read_own_head(&self, connection: &mut Upstream) -> Option<ResponseHead> {
        let attempt_id = self.request.head.fields.get("sparrouter-attempt-id");
        for _ in 0..MAX_SURPLUS_RESPONSES {
            let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
            let bytes = reading::head(stream, buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await;
            let head = head::parse_response(&bytes.ok()?).ok()?;
            let is_interim = head.status < 200;
            if is_interim {
                continue;
            }
            // A response that names an id is not that of a request without one either.
            let is_own = head.fields.get("sparrouter-attempt-id") == attempt_id;
            if is_own || !rules::responses_match_request() {
                return Some(head);
            }
            let body = http::read_body(stream, buffer, head.framing, MAX_DROPPED_BODY_BYTES).await;
            let is_complete = matches!(body, Ok(Some(_)));
            if !is_complete || !head.keep_alive {
                return None;
            }
        }
        None
    }

    /// Drops the body of a response and keeps the connection for another request, if the body is complete.
    async fn pool_after_body(&self, id: &str, mut connection: Upstream, head: &ResponseHead) {
        let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
        let body = http::read_body(stream, buffer, head.framing, MAX_DROPPED_BODY_BYTES).await;
        if let Ok(Some(_)) = body {
            self.pool.put(id, connection, head);
        }
    }

    /// Whether the client may get this response; otherwise it proves nothing of the request.
    fn may_relay(&self, head: &ResponseHead, has_response_begun: bool) -> bool {
        let is_success = (200..300).contains(&head.status);
        if is_success {
            let is_sealed = head.fields.get("sparrouter-response-seal").is_some();
            return is_sealed && head.fields.get("content-encoding").is_none();
        }
        // Only a success continues a stream that the client already has the beginning of.
        if has_response_begun && rules::only_success_resumes_stream() {
            return false;
        }
        // They promise that the request has not run, which the server has not said.
        if matches!(head.status, 408 | 429 | 503) {
            return false;
        }
        let may_retry = self.route.is_idempotent() && self.sent_count < self.route.max_attempts;
        head.status < 500 || !may_retry
    }

    /// Records the version that the server runs, as the response says.
    fn record_server_state(&self, selection: &Selection, head: &ResponseHead) {
        let mut server_table = self.node.server_table.borrow_mut();
        let version = head
            .fields
            .text("versions")
            .and_then(|v| v.trim().parse().ok());
        if let (Some(model), Some(version)) = (&self.model, version) {
            server_table.record_loaded_version(selection.server, model, version);
        }
    }

    /// Reports a response whose run began on weights that no request may begin on any more. The head of a stream comes
    /// with the first token, so it began just now; when the run of any other response began is not known.
    fn check_version_limit(&self, selection: &Selection, head: &ResponseHead) {
        let version = head.fields.text("versions").and_then(|v| v.parse().ok());
        let began_now = self.route.kind == RouteKind::Streaming && head.status < 300;
        let (Some(model), Some(version), true) = (&self.model, version, began_now) else {
            return;
        };
        let now = self.node.now();
        let is_allowed = {
            let server_table = self.node.server_table.borrow();
            server_table.versions.allows(model, version, now)
        };
        if is_allowed {
            return;
        }
        count(&self.node.counters.began_beyond_limit);
        self.node.log_buffer.report_violation(&format!(
            "a request began on version {version} of {model} at {} after the time limit of a newer version",
            self.id_of(selection.server)
        ));
    }

    /// Records why a server declined the request: another one has its address, it runs other weights, or it is full.
    fn record_decline(&self, selection: &Selection, head: &ResponseHead) {
        let now = self.node.now();
        let full_time = nanos(self.node.jitter(FULL_TIME));
        if head.status == MISDIRECTED {
            let responder = head.fields.text("sparrouter-instance-id");
            let id = self.id_of(selection.server);
            if responder.is_some_and(|responder| !responder.is_empty() && responder != id) {
                return self.record_replaced_server(selection, &id);
            }
            self.record_newer_version(selection, head);
        }
        let mut server_table = self.node.server_table.borrow_mut();
        server_table.mark_full(selection.server, now + full_time);
    }

    /// Another server has the address: the one that was selected is not there any more.
    fn record_replaced_server(&self, selection: &Selection, id: &str) {
        let now = self.node.now();
        let mut membership = self.node.membership.borrow_mut();
        let mut server_table = self.node.server_table.borrow_mut();
        if membership.mark_server_unresponsive(id, now) {
            server_table.sync(&membership, now);
        }
        server_table.suspect(selection.server, now);
    }

    /// The selected server declined the version that it was selected for: it runs a newer one.
    fn record_newer_version(&self, selection: &Selection, head: &ResponseHead) {
        let (Some(model), Some(version)) = (&self.model, selection.version) else {
            return;
        };
        let names_version = head.fields.text("versions").is_some();
        let mut server_table = self.node.server_table.borrow_mut();
        let Some(newest) = newest_above(&server_table, model, version) else {
            return;
        };
        if !names_version {
            server_table.record_loaded_version(selection.server, model, newest);
        }
    }
}

/// The newest version of a model, if it is above this one.
fn newest_above(server_table: &ServerTable, model: &str, version: u64) -> Option<u64> {
    let newest = server_table.versions.required(model)?.version;
    (newest > version).then_some(newest)
}
