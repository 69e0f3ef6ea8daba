//! What a run responds, with the faults that are injected.

use super::requests::Request;
use super::{ConnectionFate, Server, ServerFaults};
use crate::http_messages::response_text;
use crate::network::socket::Socket;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// What a server is asked to respond: the last segment of a path, `sN` for a stream of N events, `bN` for a body of N
/// bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseSpec {
    /// A stream; else a body.
    pub is_stream: bool,
    /// Events of the stream, or bytes of the body.
    pub count: u64,
}

impl ResponseSpec {
    /// What the path of a request asks for.
    pub fn of_path(path: &str) -> ResponseSpec {
        let path = path.split('?').next().unwrap_or_default();
        let segment = path.rsplit('/').next().unwrap_or_default();
        let count = segment.get(1..).and_then(|count| count.parse().ok());
        ResponseSpec {
            is_stream: segment.starts_with('s'),
            count: count.unwrap_or(1),
        }
    }
}

/// One event of a run.
pub fn event_of(run: u64, event: u64) -> String {
    format!("id: {event}\ndata: run {run} event {event}\n\n")
}

/// The body of a run, at least one byte long.
pub fn body_of(run: u64, length: usize) -> String {
    format!("run {run} ")
        .chars()
        .cycle()
        .take(length.max(1))
        .collect()
}

/// HTTP status of a run that fails: none that a node gives of its own.
pub const FAILURE_STATUS: u16 = 410;

/// The body of a run that fails.
pub fn failure_of(run: u64) -> String {
    format!("run {run} failed: this server has the path no more\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Server {
    /// Draws whether a fault of this probability happens. Probability 0 draws nothing.
    fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().f64() < probability
    }

    /// Responds to a request that runs.
    pub(super) async fn respond(
        &self,
        socket: &mut Socket,
        request: &Request<'_>,
        run: u64,
        surplus: &mut String,
    ) -> ConnectionFate {
        let faults = self.faults.get();
        if self.happens(faults.resets) {
            self.monitor.server_faulted(run);
            return ConnectionFate::Reset;
        }
        sleep(self.settings.prefill_time).await;
        if self.happens(faults.hangs) {
            self.monitor.server_faulted(run);
            std::future::pending::<()>().await;
        }
        if self.happens(faults.garbles) {
            self.monitor.server_faulted(run);
            // The connection is closed whether the bytes arrive or not.
            let _ = socket
                .write_all(b"\x16\x03\x01 no answer at all\r\n\r\n")
                .await;
            return ConnectionFate::Close;
        }
        let fields = self.response_fields(request.attempt_id(), run);
        if self.happens(faults.fails) {
            self.monitor.server_faulted(run);
            return self.send_failure(socket, run, &fields).await;
        }
        let spec = ResponseSpec::of_path(request.path);
        let sent = if spec.is_stream {
            let first = request.last_event_id();
            self.send_stream(socket, run, first..spec.count, faults, &fields, surplus)
                .await
        } else {
            let body = body_of(run, spec.count as usize);
            self.send_body(socket, &body, faults, &fields, surplus)
                .await
        };
        sent.unwrap_or(ConnectionFate::Reset)
    }

    fn response_fields(&self, attempt_id: &str, run: u64) -> String {
        format!(
            "Sparrouter-Attempt-Id: {attempt_id}\r\nSparrouter-Response-Seal: seal-{run}\r\nVersions: {}\r\n\
             Sparrouter-Instance-Load: {},{},{}\r\n",
            self.version.get(),
            self.running.get(),
            self.queued.get(),
            self.settings.slots
        )
    }

    /// Sends a failure, or breaks off in its body.
    async fn send_failure(&self, socket: &mut Socket, run: u64, fields: &str) -> ConnectionFate {
        let response = response_text(FAILURE_STATUS, fields, &failure_of(run));
        let (sent, fate) = if self.rng.borrow_mut().bool() {
            (&response[..], ConnectionFate::KeepOpen)
        } else {
            let missing = failure_of(run).len() / 2;
            let end = response.len() - missing;
            (&response[..end], ConnectionFate::Close)
        };
        match socket.write_all(sent.as_bytes()).await {
            Ok(()) => fate,
            Err(_) => ConnectionFate::Close,
        }
    }

    async fn send_body(
        &self,
        socket: &mut Socket,
        body: &str,
        faults: ServerFaults,
        fields: &str,
        surplus: &mut String,
    ) -> io::Result<ConnectionFate> {
        let response = response_text(200, fields, body);
        socket.write_all(response.as_bytes()).await?;
        if self.happens(faults.surplus) {
            self.send_surplus(socket, response, surplus).await?;
        }
        Ok(ConnectionFate::KeepOpen)
    }

    /// Sends the events after `events.start`, up to `events.end`.
    async fn send_stream(
        &self,
        socket: &mut Socket,
        run: u64,
        events: std::ops::Range<u64>,
        faults: ServerFaults,
        fields: &str,
        surplus: &mut String,
    ) -> io::Result<ConnectionFate> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).await?;
        let (first, count) = (events.start, events.end);
        let breaks_after = self
            .happens(faults.breaks)
            .then(|| self.rng.borrow_mut().u64(first..=count));
        let rots_after = self
            .happens(faults.rots)
            .then(|| self.rng.borrow_mut().u64(first + 1..=count.max(first + 1)));
        for event in first + 1..=count {
            let text = event_of(run, event);
            if rots_after == Some(event) {
                self.monitor.server_faulted(run);
                let rotten = format!("{}no chunk\r\n", chunk(&text));
                socket.write_all(rotten.as_bytes()).await?;
                return Ok(ConnectionFate::Close);
            }
            if breaks_after == Some(event - 1) {
                self.monitor.server_faulted(run);
                return self.break_off(socket, &text).await;
            }
            socket.write_all(chunk(&text).as_bytes()).await?;
            if event < count {
                sleep(self.settings.token_interval).await;
            }
        }
        socket.write_all(b"0\r\n\r\n").await?;
        if self.happens(faults.surplus) {
            let response = response_text(200, fields, "surplus");
            self.send_surplus(socket, response, surplus).await?;
        }
        Ok(ConnectionFate::KeepOpen)
    }

    /// Sends a part of an event, of random length, and as often all of it.
    async fn break_off(&self, socket: &mut Socket, event: &str) -> io::Result<ConnectionFate> {
        let length = self.rng.borrow_mut().usize(..event.len() * 2);
        let length = length.min(event.len());
        if length > 0 {
            socket.write_all(chunk(&event[..length]).as_bytes()).await?;
        }
        Ok(ConnectionFate::Reset)
    }

    /// Sends a surplus response now, or keeps it to be sent ahead of the next one.
    async fn send_surplus(
        &self,
        socket: &mut Socket,
        response: String,
        surplus: &mut String,
    ) -> io::Result<()> {
        if self.rng.borrow_mut().bool() {
            *surplus = response;
            return Ok(());
        }
        socket.write_all(response.as_bytes()).await
    }
}
