//! Reads the head of a server's response, checks that it belongs to this request, records the server's model version,
//! and decides whether the response may be relayed to the client.
use super::attempt::AttemptOutcome;
use super::client_side::ResponseProgress;
use super::{Exchange, MISDIRECTED};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http;
use crate::platform::upstream::Upstream;
use crate::settings::nanos;
use bytes::Bytes;
use sparrouter_config::RouteKind;
use sparrouter_http::head::{self, ResponseHead};
use sparrouter_http::reading;
use sparrouter_routing::{Selection, ServerTable};
use std::time::Duration;

/// Maximum number of response heads that are read until one matches the request; interim responses and responses to
/// earlier requests are skipped.
const MAX_SKIPPED_HEADS: usize = 16;
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a discarded response body, in bytes; the connection is closed if a body is longer.
const MAX_DISCARDED_BODY_BYTES: usize = 1 << 20;
/// How long a server counts as full after it declined a request.
const FULL_DURATION: Duration = Duration::from_millis(60);

impl Exchange<'_> {
    /// Reads the head of the response and determines the outcome of the attempt.
    pub(super) async fn await_response(
        &mut self,
        selection: &Selection,
        mut connection: Upstream,
        progress: ResponseProgress,
    ) -> AttemptOutcome {
        let Some(head) = self.read_own_head(&mut connection).await else {
            return AttemptOutcome::MayHaveRun;
        };
        self.record_running_version(selection, &head);
        self.check_version_limit(selection, &head);
        let is_not_run = head.fields.get("sparrouter-not-executed").is_some();
        if is_not_run || head.status == MISDIRECTED {
            // The server may be removed from the table when the decline is recorded.
            let id = self.id_of(selection.server);
            self.record_decline(selection, &head);
            let status = head.status;
            self.pool_after_body(&id, connection, &head).await;
            return AttemptOutcome::NotRun { status };
        }
        if !self.may_relay(&head, progress) {
            return AttemptOutcome::MayHaveRun;
        }
        AttemptOutcome::Responded(Box::new(head), Box::new(connection))
    }

    /// Reads the head that carries this request's attempt id, skipping interim responses and responses to other
    /// requests. `None` if the connection breaks first.
    async fn read_own_head(&self, connection: &mut Upstream) -> Option<ResponseHead> {
        let attempt_id = self.request.head.fields.get("sparrouter-attempt-id");
        for _ in 0..MAX_SKIPPED_HEADS {
            let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
            let bytes = reading::head(stream, buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await;
            let head = self.parse_response_head(&bytes.ok()?)?;
            let is_interim = head.status < 200;
            if is_interim {
                continue;
            }
            // If the request has no attempt id, a response with an attempt id does not match it either.
            let is_own = head.fields.get("sparrouter-attempt-id") == attempt_id;
            if is_own || !rules::responses_match_request() {
                return Some(head);
            }
            // Whether this response to another request has a body is not known.
            if self.request.head.is_head() {
                return None;
            }
            let body =
                http::read_body(stream, buffer, head.framing, MAX_DISCARDED_BODY_BYTES).await;
            let is_complete = matches!(body, Ok(Some(_)));
            if !is_complete || !head.keep_alive {
                return None;
            }
        }
        None
    }

    fn parse_response_head(&self, bytes: &Bytes) -> Option<ResponseHead> {
        let head = if self.request.head.is_head() && rules::responses_to_head_have_no_body() {
            head::parse_response_to_head(bytes)
        } else {
            head::parse_response(bytes)
        };
        head.ok()
    }

    /// Discards the body of a response and returns the connection to the pool if the body was complete.
    async fn pool_after_body(&self, id: &str, mut connection: Upstream, head: &ResponseHead) {
        let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
        let body = http::read_body(stream, buffer, head.framing, MAX_DISCARDED_BODY_BYTES).await;
        if let Ok(Some(_)) = body {
            self.pool_connection(id, connection, head);
        }
    }

    /// Returns a connection to the pool after a complete response. After HEAD it is closed: a later request could not tell
    /// whether a body follows a second response to HEAD.
    pub(super) fn pool_connection(&self, id: &str, connection: Upstream, head: &ResponseHead) {
        if !self.request.head.is_head() {
            self.pool.put(id, connection, head);
        }
    }

    /// Whether this response may be relayed to the client. If not, the server may have run the request.
    fn may_relay(&self, head: &ResponseHead, progress: ResponseProgress) -> bool {
        // Only a successful response of the same kind can continue a stream whose beginning the client already has.
        if let ResponseProgress::ResumableStream { status } = progress
            && head.status != status
            && rules::only_success_resumes_stream()
        {
            return false;
        }
        let is_success = (200..300).contains(&head.status);
        if is_success {
            let is_sealed = head.fields.get("sparrouter-response-seal").is_some();
            return is_sealed && head.fields.get("content-encoding").is_none();
        }
        // These statuses would tell the client that the request has not run, which the server has not stated.
        if matches!(head.status, 408 | 429 | 503) {
            return false;
        }
        let may_retry = self.route.is_idempotent() && self.sent_count < self.route.max_attempts;
        head.status < 500 || !may_retry
    }

    /// Records the model version that the server runs, as stated in the response.
    fn record_running_version(&self, selection: &Selection, head: &ResponseHead) {
        let mut server_table = self.node.server_table.borrow_mut();
        let version = head
            .fields
            .text("versions")
            .and_then(|v| v.trim().parse().ok());
        if let (Some(model), Some(version)) = (&self.model, version) {
            server_table.record_loaded_version(selection.server, model, version);
        }
    }

    /// Reports a violation if a request began on a model version after its time limit. The head of a stream is sent
    /// with the first token, so the run has just begun; for other responses the start of the run is not known.
    fn check_version_limit(&self, selection: &Selection, head: &ResponseHead) {
        let version = head.fields.text("versions").and_then(|v| v.parse().ok());
        let has_just_begun = self.route.kind == RouteKind::Streaming && head.status < 300;
        let (Some(model), Some(version), true) = (&self.model, version, has_just_begun) else {
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

    /// Records why a server declined the request: another server has its address, it runs another version, or it is
    /// full.
    fn record_decline(&self, selection: &Selection, head: &ResponseHead) {
        let now = self.node.now();
        let full_duration = nanos(self.node.jitter(FULL_DURATION));
        if head.status == MISDIRECTED {
            let responder = head.fields.text("sparrouter-instance-id");
            let id = self.id_of(selection.server);
            if responder.is_some_and(|responder| !responder.is_empty() && responder != id) {
                return self.record_replaced_server(selection, &id);
            }
            self.record_newer_version(selection, head);
        }
        let mut server_table = self.node.server_table.borrow_mut();
        server_table.mark_full(selection.server, now + full_duration);
    }

    /// Marks the selected server unresponsive, because another server now has its address.
    fn record_replaced_server(&self, selection: &Selection, id: &str) {
        let now = self.node.now();
        let mut membership = self.node.membership.borrow_mut();
        let mut server_table = self.node.server_table.borrow_mut();
        if membership.mark_server_unresponsive(id, now) {
            server_table.sync(&membership, now);
        }
        server_table.suspect(selection.server, now);
    }

    /// Records that a server which declined the version for which it was selected runs the newest version, unless the
    /// response states the version.
    fn record_newer_version(&self, selection: &Selection, head: &ResponseHead) {
        let (Some(model), Some(version)) = (&self.model, selection.version) else {
            return;
        };
        let states_version = head.fields.text("versions").is_some();
        let mut server_table = self.node.server_table.borrow_mut();
        let Some(newest) = newest_above(&server_table, model, version) else {
            return;
        };
        if !states_version {
            server_table.record_loaded_version(selection.server, model, newest);
        }
    }
}

/// The newest version of a model if it is above `version`; otherwise `None`.
fn newest_above(server_table: &ServerTable, model: &str, version: u64) -> Option<u64> {
    let newest = server_table.versions.required(model)?.version;
    (newest > version).then_some(newest)
}
