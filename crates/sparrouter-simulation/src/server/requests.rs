//! Admission of a request: it is declined, waits in the queue, or runs.

use super::{ConnectionBuffers, ConnectionFate, Server};
use crate::http_messages::response_text;
use crate::network::socket::Socket;
use bytes::{Bytes, BytesMut};
use sparrouter_http::head::RequestHead;
use sparrouter_http::reading;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::SemaphorePermit;
use tokio::time::{Instant, sleep_until};

/// Requests that may wait, for each slot.
const QUEUED_PER_SLOT: u32 = 3;
/// How long a request without a deadline may take, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// A request of a client, as a node forwarded it.
#[derive(Clone, Copy)]
pub(super) struct Request<'a> {
    pub head: &'a RequestHead,
    pub body: &'a Bytes,
    pub path: &'a str,
    /// The node.
    pub from: SocketAddr,
}

impl Request<'_> {
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.head.fields.text(name)
    }

    /// Its attempt id; empty if it has none.
    pub(super) fn attempt_id(&self) -> &str {
        self.field("sparrouter-attempt-id").unwrap_or_default()
    }

    fn deadline(&self) -> Instant {
        let remaining_ms = self.field("sparrouter-deadline-ms");
        let remaining_ms = remaining_ms.and_then(|ms| ms.parse().ok());
        Instant::now() + Duration::from_millis(remaining_ms.unwrap_or(DEFAULT_DEADLINE_MS))
    }

    fn accepts_version(&self, version: u64) -> bool {
        self.field("expect-version")
            .is_none_or(|expected| expected.parse() == Ok(version))
    }

    /// Number of the event that a stream continues after; 0: from the beginning.
    pub(super) fn last_event_id(&self) -> u64 {
        self.field("last-event-id")
            .and_then(|id| id.trim().parse().ok())
            .unwrap_or(0)
    }
}

impl Server {
    /// Declines with a response that proves that the request did not run.
    async fn decline(
        &self,
        socket: &mut Socket,
        request: &Request<'_>,
        status: u16,
    ) -> ConnectionFate {
        let fields = format!(
            "Sparrouter-Attempt-Id: {}\r\nSparrouter-Not-Executed: 1\r\nSparrouter-Instance-Id: {}\r\nVersions: {}\r\n",
            request.attempt_id(),
            self.settings.id,
            self.version.get()
        );
        let response = response_text(status, &fields, "");
        match socket.write_all(response.as_bytes()).await {
            Ok(()) => ConnectionFate::KeepOpen,
            Err(_) => ConnectionFate::Close,
        }
    }

    /// Why a request is declined as soon as it has arrived.
    fn refusal_on_arrival(&self, request: &Request) -> Option<u16> {
        if self.is_loading.get() {
            return Some(503);
        }
        if !request.accepts_version(self.version.get()) {
            return Some(421);
        }
        (self.queued.get() > self.settings.slots * QUEUED_PER_SLOT).then_some(503)
    }

    /// Why a request is declined when it gets a slot: weights may have been loaded since it arrived.
    fn refusal_at_slot(&self, request: &Request) -> Option<u16> {
        if self.is_loading.get() {
            return Some(503);
        }
        (!request.accepts_version(self.version.get())).then_some(421)
    }

    /// Serves one request.
    pub(super) async fn serve(
        &self,
        socket: &mut Socket,
        buffers: &mut ConnectionBuffers,
        request: &Request<'_>,
    ) -> ConnectionFate {
        let expected = request.field("sparrouter-expected-instance");
        if expected.is_some_and(|id| id != self.settings.id) {
            return self.decline(socket, request, 421).await;
        }
        if request.attempt_id().is_empty() {
            return self.decline(socket, request, 400).await;
        }
        self.monitor.request_arrived(
            &self.settings.service,
            request.attempt_id(),
            &self.settings.id,
            request.from.ip(),
        );
        if let Some(status) = self.refusal_on_arrival(request) {
            return self.decline(socket, request, status).await;
        }
        let deadline = request.deadline();
        let Some(slot) = self.wait_for_slot(socket, buffers, deadline).await else {
            return self.decline(socket, request, 503).await;
        };
        if let Some(status) = self.refusal_at_slot(request) {
            drop(slot);
            return self.decline(socket, request, status).await;
        }
        let run = self.start_run(request);
        self.running.set(self.running.get() + 1);
        let _running = RunningGuard(&self.running);
        let fate = tokio::select! {
            biased;
            fate = self.respond(socket, request, run, &mut buffers.surplus) => fate,
            () = sleep_until(deadline) => ConnectionFate::Close,
        };
        drop(slot);
        match fate {
            ConnectionFate::KeepOpen if !request.head.keep_alive => ConnectionFate::Close,
            fate => fate,
        }
    }

    /// Waits in the queue; `None` if the caller leaves or the deadline passes.
    async fn wait_for_slot(
        &self,
        socket: &mut Socket,
        buffers: &mut ConnectionBuffers,
        deadline: Instant,
    ) -> Option<SemaphorePermit<'_>> {
        self.queued.set(self.queued.get() + 1);
        let slot = tokio::select! {
            biased;
            slot = self.slots.acquire() => slot.ok(),
            () = caller_left(socket, &mut buffers.unread) => None,
            () = sleep_until(deadline) => None,
        };
        self.queued.set(self.queued.get() - 1);
        slot
    }
}

/// Ends once the caller has left.
async fn caller_left(socket: &mut Socket, buffer: &mut BytesMut) {
    while reading::more(socket, buffer).await.is_ok() {}
}

/// Counts a run until it is dropped.
struct RunningGuard<'a>(&'a Cell<u32>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
